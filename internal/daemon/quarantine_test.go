package daemon

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/quarantine"
	"corianderhub.dev/corianderhub/internal/standin"
)

// crashingMessage is a message that crashes engines.
const crashingMessage = "crashing system prompt"

// chatWith returns the body of a chat with a shared message, another one and one of its own.
func chatWith(message string, num int) string {
	return fmt.Sprintf(`{"model":"linden","max_tokens":4,"messages":[{"role":"system","content":"shared"},{"role":"system","content":%q},{"role":"user","content":"question %d"}]}`, message, num)
}

// newCrashingSystem starts a system whose engines, each a group, crash on crashingMessage, and returns it
// with the number of crashes.
func newCrashingSystem(t *testing.T, daemons, vms int) (*testSystem, *atomic.Int64) {
	t.Helper()
	var system atomic.Pointer[testSystem]
	crashes := new(atomic.Int64)
	crash := func(en *standin.Engine) {
		crashes.Add(1)
		for _, eh := range system.Load().engines {
			if eh.engine == en {
				eh.kill()
			}
		}
		panic(http.ErrAbortHandler)
	}
	sk := newTestSystem(t, systemSize{daemons: daemons, vms: vms, vmsPerGroup: 1, replicas: vms, engine: func(en *standin.Engine) {
		en.OnPrompt = func(prompt string) {
			if strings.Contains(prompt, crashingMessage) {
				crash(en)
			}
		}
	}})
	system.Store(sk)
	return sk, crashes
}

// Guards against a message that crashes engine after engine, up to six for each request, because it
// comes in requests that are all different. Sound requests with the same first message must be served.
func TestCrashingMessageIsQuarantined(t *testing.T) {
	const vms, maxCrashes = 6, 3
	sk, crashes := newCrashingSystem(t, 1, vms)
	for num := range 2 * maxCrashes {
		if rsp, _, err := sk.post(0, "/v1/chat/completions", chatWith("sound", num), nil); err != nil || rsp.StatusCode != http.StatusOK {
			t.Errorf("sound request %d: %v, error %v, want 200", num, rsp, err)
		}
		_, _, _ = sk.post(0, "/v1/chat/completions", chatWith(crashingMessage, num), nil)
		// Crashes that come together are one piece of evidence.
		time.Sleep(150 * time.Millisecond)
	}
	if num := crashes.Load(); num > maxCrashes {
		t.Errorf("%d engines crashed under one message, want %d at most", num, maxCrashes)
	}
	rsp, body, err := sk.post(0, "/v1/chat/completions", chatWith(crashingMessage, -1), nil)
	if err != nil || rsp.StatusCode != http.StatusServiceUnavailable || rsp.Header.Get("Retry-After") == "" || !strings.Contains(string(body), "quarantined") {
		t.Errorf("got %v with %s, error %v, want 503 quarantined with Retry-After", rsp, body, err)
	}
	want := strings.TrimSpace(standin.Token(`system"shared"system"sound"user"question 9"`, 0))
	if _, body, err := sk.post(0, "/v1/chat/completions", chatWith("sound", 9), nil); err != nil || !strings.Contains(string(body), want) {
		t.Errorf("sound request afterwards: got %s, error %v, want a text with %q", body, err, want)
	}
}

// Guards against daemons that count crashes each by itself, so that one message crashes three engines at
// each of them, and against a daemon that has just started and doesn't know what is quarantined.
func TestCrashingMessageIsQuarantinedAtAllDaemons(t *testing.T) {
	const daemons, vms, maxCrashes = 3, 11, 5
	sk, crashes := newCrashingSystem(t, daemons, vms)
	for num := range daemons * quarantine.CrashThreshold {
		if rsp, _, err := sk.post(num%daemons, "/v1/chat/completions", chatWith("sound", num), nil); err != nil || rsp.StatusCode != http.StatusOK {
			t.Errorf("sound request %d: %v, error %v, want 200", num, rsp, err)
		}
		_, _, _ = sk.post(num%daemons, "/v1/chat/completions", chatWith(crashingMessage, num), nil)
		// Crashes that come together are one piece of evidence.
		time.Sleep(150 * time.Millisecond)
	}
	if num := crashes.Load(); num < quarantine.CrashThreshold || num > maxCrashes {
		t.Errorf("%d engines crashed under one message at %d daemons, want %d to %d", num, daemons, quarantine.CrashThreshold, maxCrashes)
	}
	before := crashes.Load()
	t.Logf("%d engines crashed at %d daemons", before, daemons)
	sk.addDaemon("late")
	sk.waitUntil("the new daemon serves", func() bool { return sk.servingGroups(sk.daemons[daemons]) > 0 })
	sk.waitUntil("the new daemon refuses the message", func() bool {
		if rsp, _, err := sk.post(daemons, "/v1/chat/completions", chatWith("sound", -1), nil); err != nil || rsp.StatusCode != http.StatusOK {
			return false
		}
		rsp, _, err := sk.post(daemons, "/v1/chat/completions", chatWith(crashingMessage, -1), nil)
		return err == nil && rsp.StatusCode == http.StatusServiceUnavailable
	})
	if num := crashes.Load() - before; num > 0 {
		t.Errorf("%d engines crashed under requests to a new daemon, want none", num)
	}
}
