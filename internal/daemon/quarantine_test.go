package daemon

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/quarantine"
	"corianderhub.dev/corianderhub/internal/standin"
	"corianderhub.dev/corianderhub/pkg/admin"
	"corianderhub.dev/corianderhub/pkg/verdict"
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
	sk.waitUntil("the new daemon knows the message", func() bool { return len(sk.held(daemons)) > 0 })
	rsp, _, err := sk.post(daemons, "/v1/chat/completions", chatWith(crashingMessage, -1), nil)
	if err != nil || rsp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("new daemon: got %v, error %v, want 503", rsp, err)
	}
	if num := crashes.Load() - before; num > 0 {
		t.Errorf("%d engines crashed under requests to a new daemon, want none", num)
	}
}

// held returns the subjects in quarantine at a daemon, as operators see them.
func (sk *testSystem) held(daemon int) []string {
	qu, err := sk.admin(daemon).Quarantine(context.Background())
	if err != nil {
		return nil
	}
	var subjects []string
	for _, su := range qu.Subjects {
		if su.Held {
			subjects = append(subjects, su.Subject)
		}
	}
	return subjects
}

// Guards against a release that one daemon forgets, that is accepted with invalid input, or that is reported
// as done although it can't be stored.
func TestReleaseOfMessage(t *testing.T) {
	sk, _ := newCrashingSystem(t, 2, 6)
	// Only the message that crashes engines is quarantined: sound requests have completed with the other.
	for num := range quarantine.CrashThreshold {
		_, _, _ = sk.post(0, "/v1/chat/completions", chatWith("sound", num), nil)
		_, _, _ = sk.post(0, "/v1/chat/completions", chatWith(crashingMessage, num), nil)
		time.Sleep(150 * time.Millisecond)
	}
	sk.waitUntil("quarantined at both daemons", func() bool { return len(sk.held(0)) > 0 && len(sk.held(1)) > 0 })
	subject := sk.held(0)[0]
	ctx := context.Background()
	for _, tc := range []struct {
		name string
		re   admin.Release
		// key is the one that the problem names, code that of the refusal.
		key  string
		code verdict.Code
	}{
		{"invalid subject", admin.Release{Subject: "dead", Reason: "fixed"}, "subject", verdict.CodeInvalid},
		{"no reason", admin.Release{Subject: subject, Reason: " "}, "reason", verdict.CodeInvalid},
		{"not in quarantine", admin.Release{Subject: strings.Repeat("0", 32), Reason: "fixed"}, "", verdict.CodeNoRoute},
	} {
		_, err := sk.admin(1).Release(ctx, tc.re)
		var re *admin.Refusal
		if !errors.As(err, &re) || re.Code != tc.code || (len(re.Problems) > 0) != (tc.key != "") || tc.key != "" && re.Problems[0].Key != tc.key {
			t.Errorf("%s: error %v, want %s with a problem of %q", tc.name, err, tc.code, tc.key)
		}
	}
	sk.platform.SetFaults(standin.PlatformFaults{StoreFaults: standin.StoreFaults{Down: true}})
	var re *admin.Refusal
	if _, err := sk.admin(1).Release(ctx, admin.Release{Subject: subject, Reason: "fixed"}); !errors.As(err, &re) || re.Code != verdict.CodePlatform {
		t.Errorf("without the store: error %v, want %s", err, verdict.CodePlatform)
	}
	if len(sk.held(1)) == 0 {
		t.Error("released although the release can't be stored")
	}
	sk.platform.SetFaults(standin.PlatformFaults{})
	sk.waitUntil("released", func() bool {
		_, err := sk.admin(1).Release(ctx, admin.Release{Subject: subject, Operator: "ann", Reason: "fixed"})
		return err == nil
	})
	sk.waitUntil("released at both daemons", func() bool {
		return !slices.Contains(sk.held(0), subject) && !slices.Contains(sk.held(1), subject)
	})
}
