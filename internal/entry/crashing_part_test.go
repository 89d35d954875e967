package entry

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/platform"
)

const (
	// sharedPart is a part of the prompt of all requests in these tests, crashingPart one that
	// crashes servers, and soundPart one that takes its place in sound requests.
	sharedPart, crashingPart, soundPart = "5c1e07a2", "dead0001", "91bd3f06"
	// maxPartCrashes is the number of servers that may crash under one part before requests with it
	// are no longer sent, and maxLaterSends the number of sends after that.
	maxPartCrashes, maxLaterSends = 5, 3
)

// sendWithParts sends a request of its own ID and body whose prompt has the parts and one of its
// own, and returns the same as send.
func (sk *stack) sendWithParts(ru *testDaemon, id string, parts ...string) string {
	return sk.sendRequest(ru, "/draft/", id, func(req *http.Request) {
		req.Body = io.NopCloser(strings.NewReader(id))
		req.ContentLength = int64(len(id))
		req.Header.Set(platform.HeaderPrefix, strings.Join(parts, ":40,")+":40,"+fmt.Sprintf("%x", id)+":60")
	})
}

// untilServed sends sound requests to a daemon until one is served.
func (sk *stack) untilServed(ru *testDaemon) {
	sk.t.Helper()
	sk.until("a sound request is served", func() bool {
		id := fmt.Sprint("sound-", time.Now().UnixNano())
		return sk.sendWithParts(ru, id, sharedPart, soundPart) == completeStream(id)
	})
}

// sendWithCrashingPart sends different requests with a part to one daemon after the other, each as
// soon as a sound request was served.
func (sk *stack) sendWithCrashingPart(part string, times int) {
	sk.t.Helper()
	for num := range times {
		ru := sk.daemons[num%len(sk.daemons)]
		sk.untilServed(ru)
		sk.sendWithParts(ru, fmt.Sprint("crash-", num, "-", time.Now().UnixNano()), sharedPart, part)
	}
}

// checkPartIsQuarantined fails the test if more servers crashed than one crashing part may take, or
// if a sound request is not served at its first attempt.
func (sk *stack) checkPartIsQuarantined(parts int) {
	sk.t.Helper()
	if num, most := sk.de.Crashes(), parts*(maxPartCrashes+maxLaterSends); num > most {
		sk.t.Errorf("%d servers crashed under %d parts, want %d at most", num, parts, most)
	}
	for num, ru := range sk.daemons {
		id := fmt.Sprint("after-", num)
		if got := sk.sendWithParts(ru, id, sharedPart, soundPart); got != completeStream(id) {
			sk.t.Errorf("daemon %d: got %q for a sound request, want the complete stream", num, got)
		}
	}
	sk.checkInvariants()
}

// Guards against a part of a prompt that crashes server after server because it comes in requests
// that are all different. Sound requests with the same caller and the other part must be served.
func TestCrashingPartIsQuarantined(t *testing.T) {
	for _, tc := range []struct {
		name     string
		unframed bool
	}{{"framed responses", false}, {"responses without length or chunks", true}} {
		t.Run(tc.name, func(t *testing.T) {
			sk := newStack(t, 3)
			sk.de.SetUnframed(tc.unframed)
			sk.de.ReplacementDelay = 300 * time.Millisecond
			sk.de.CrashOnPart(crashingPart)
			sk.sendWithCrashingPart(crashingPart, 15)
			sk.checkPartIsQuarantined(1)
		})
	}
}

// Guards against sound parts that stay refused because they were at all crashes of a crashing part, and
// no request with them had completed before: no crash tells these parts apart.
func TestInseparablePartsAreDecided(t *testing.T) {
	const first, last = "aaaa", "dddd"
	const crashing, sound, wantServed = 12, 20, 10
	sk := newStack(t, 3)
	sk.de.ReplacementDelay = 300 * time.Millisecond
	sk.de.CrashOnPart(crashingPart)
	for num := range crashing {
		ru := sk.daemons[num%len(sk.daemons)]
		sk.untilServed(ru)
		sk.sendWithParts(ru, fmt.Sprint("crash-", num), first, crashingPart, last)
	}
	for _, parts := range [][]string{{first}, {first, last}} {
		served := 0
		for num := range sound {
			id := fmt.Sprint("sound-", len(parts), "-", num)
			if sk.sendWithParts(sk.daemons[num%len(sk.daemons)], id, parts...) == completeStream(id) {
				served++
			}
		}
		if served < wantServed {
			t.Errorf("%d of %d sound requests with parts %v served, want %d", served, sound, parts, wantServed)
		}
	}
	if num := sk.de.Crashes(); num > maxPartCrashes+maxLaterSends {
		t.Errorf("%d servers crashed, want %d at most", num, maxPartCrashes+maxLaterSends)
	}
	sk.checkInvariants()
}
