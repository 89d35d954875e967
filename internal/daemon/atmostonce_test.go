package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/standin"
	"corianderhub.dev/corianderhub/pkg/hub"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

// confirmPath is the path of the calls that must not be repeated.
const confirmPath = "/orders/confirm"

// book sends one booking to one daemon and returns the status and verdict.
func (sk *testSystem) book(daemon int, key string) (int, verdict.Verdict, error) {
	rsp, raw, err := sk.post(daemon, confirmPath, `{"pallets":2}`, map[string]string{hub.HeaderIdempotencyKey: key})
	if err != nil {
		return 0, verdict.MayHaveRun, err
	}
	var eb hub.ErrorBody
	_ = json.Unmarshal(raw, &eb)
	return rsp.StatusCode, eb.Error.Verdict, nil
}

// checkRuns checks how many times the service ran the key.
func (sk *testSystem) checkRuns(t *testing.T, key string, want int) {
	t.Helper()
	if got := sk.runs(key); got != want {
		t.Errorf("%s ran %d times, want %d", key, got, want)
	}
}

// Checks that a booking, which must not be repeated, runs at most once under
// concurrent duplicates, lost messages and the loss of a daemon.
func TestHoldAtMostOnce(t *testing.T) {
	sk := newTestSystem(t, smallSystem)
	// Concurrent duplicates of a booking arrive through both daemons.
	t.Run("same-moment", func(t *testing.T) {
		for i := range 20 {
			key := fmt.Sprint("same-", i)
			var fns []func()
			for j := range 6 {
				fns = append(fns, func() { sk.book(j%2, key) })
			}
			runConcurrently(fns...)
			sk.checkRuns(t, key, 1)
		}
	})
	// The service runs the booking and its response is lost. The caller gets
	// the verdict may-have-run, and a retry must not run the booking again.
	t.Run("lost-answer", func(t *testing.T) {
		sk.service.SetFaults(standin.ServiceFaults{DropResponses: 1})
		for i := range 4 {
			if _, ve, err := sk.book(i%2, "lost"); err != nil || ve != verdict.MayHaveRun {
				t.Errorf("verdict = %q, %v; want %q", ve, err, verdict.MayHaveRun)
			}
		}
		sk.checkRuns(t, "lost", 1)
	})
	// The service accepts the booking and never responds, while the connection
	// stays open.
	t.Run("silent-connection", func(t *testing.T) {
		sk.service.SetFaults(standin.ServiceFaults{Unresponsive: true})
		if _, ve, err := sk.book(0, "silent"); err != nil || ve != verdict.MayHaveRun {
			t.Errorf("verdict = %q, %v; want %q", ve, err, verdict.MayHaveRun)
		}
		sk.service.SetFaults(standin.ServiceFaults{})
		if _, ve, err := sk.book(1, "silent"); err != nil || ve != verdict.MayHaveRun {
			t.Errorf("verdict = %q, %v; want %q", ve, err, verdict.MayHaveRun)
		}
		sk.checkRuns(t, "silent", 1)
	})
	// The response to the write of the claim is lost. The claim is read back
	// and found.
	t.Run("lost-claim", func(t *testing.T) {
		sk.platform.SetFaults(standin.PlatformFaults{StoreFaults: standin.StoreFaults{DropResponses: 1}})
		if status, _, err := sk.book(0, "claim"); err != nil || status != http.StatusOK {
			t.Errorf("status = %d, %v; want %d", status, err, http.StatusOK)
		}
		sk.book(1, "claim")
		sk.checkRuns(t, "claim", 1)
	})
	// No claim can be made while the platform is down. The booking is refused
	// immediately as not run, and the same key succeeds after the outage.
	t.Run("platform-outage", func(t *testing.T) {
		sk.platform.SetFaults(standin.PlatformFaults{StoreFaults: standin.StoreFaults{Down: true}})
		if _, ve, err := sk.book(0, "outage"); err != nil || ve != verdict.NotRun {
			t.Errorf("verdict = %q, %v; want %q", ve, err, verdict.NotRun)
		}
		sk.checkRuns(t, "outage", 0)
		sk.platform.SetFaults(standin.PlatformFaults{})
		sk.waitUntil("the booking succeeds after the outage", func() bool {
			status, _, err := sk.book(1, "outage")
			return err == nil && status == http.StatusOK
		})
		sk.checkRuns(t, "outage", 1)
	})
	// A key that was used for a different request is refused as not run.
	t.Run("key-reused", func(t *testing.T) {
		sk.book(0, "reused")
		rsp, raw, err := sk.post(1, confirmPath, `{"pallets":3}`, map[string]string{hub.HeaderIdempotencyKey: "reused"})
		if err != nil {
			t.Fatal(err)
		}
		if rsp.StatusCode != http.StatusUnprocessableEntity || !strings.Contains(string(raw), "not-run") {
			t.Errorf("status = %d, body %s; want a refusal as not run", rsp.StatusCode, raw)
		}
		sk.checkRuns(t, "reused", 1)
	})
	// A booking without a key whose response is lost is not retried, although
	// the endpoint has another address.
	t.Run("without-key", func(t *testing.T) {
		before := sk.runs("")
		sk.service.SetFaults(standin.ServiceFaults{DropResponses: 1})
		rsp, raw, err := sk.post(0, confirmPath, `{}`, nil)
		if err != nil {
			t.Fatal(err)
		}
		if rsp.StatusCode == http.StatusOK || !strings.Contains(string(raw), "may-have-run") {
			t.Errorf("status = %d, body %s; want may-have-run", rsp.StatusCode, raw)
		}
		sk.checkRuns(t, "", before+1)
	})
	// A daemon is killed while the booking is in flight, and the client retries
	// at the other daemon. The verdict must not be not-run, and the booking
	// must not run twice.
	t.Run("kill", func(t *testing.T) {
		sk.service.SetFaults(standin.ServiceFaults{Delay: 300 * time.Millisecond})
		defer sk.service.SetFaults(standin.ServiceFaults{})
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		defer cancel()
		killed := make(chan struct{})
		go func() {
			defer close(killed)
			sk.waitUntil("the booking runs", func() bool { return sk.runs("killed") > 0 })
			sk.daemons[0].daemon.abort()
		}()
		cl := sk.client(0)
		cl.Seeds = append(cl.Seeds, sk.caller(1))
		cl.Attempts = 4
		_, err := cl.Do(ctx, hub.Call{Method: http.MethodPost, Path: confirmPath, Body: []byte(`{}`), Key: "killed"})
		<-killed
		if err != nil && verdict.Of(err) == verdict.NotRun {
			t.Errorf("the booking ran, but the caller got verdict not-run: %v", err)
		}
		sk.checkRuns(t, "killed", 1)
	})
}

// Checks that a request refused as not run has not run, and that its
// idempotency key is free again afterwards.
func TestHoldRefusalNotRun(t *testing.T) {
	sk := newTestSystem(t, smallSystem)
	// Each case makes a daemon refuse a booking as not run. The booking must
	// not have run, and the same key must succeed after the cause is removed.
	tests := []struct {
		name  string
		begin func()
		end   func()
	}{
		// The service responds that it did not run the call.
		{"refused",
			func() { sk.service.SetFaults(standin.ServiceFaults{Refuse: true}) },
			func() { sk.service.SetFaults(standin.ServiceFaults{}) }},
		// The claim cannot be written.
		{"platform-outage",
			func() {
				sk.platform.SetFaults(standin.PlatformFaults{StoreFaults: standin.StoreFaults{Down: true}})
			},
			func() { sk.platform.SetFaults(standin.PlatformFaults{}) }},
		// Every write of the claim is lost before it is stored.
		{"lost-answer",
			func() {
				sk.platform.SetFaults(standin.PlatformFaults{StoreFaults: standin.StoreFaults{DropWrites: 1000}})
			},
			func() { sk.platform.SetFaults(standin.PlatformFaults{}) }},
		// The platform stores the claim, but responds only after the claim has
		// timed out.
		{"slow",
			func() { sk.platform.SetFaults(standin.PlatformFaults{Delay: 3 * time.Second}) },
			func() { sk.platform.SetFaults(standin.PlatformFaults{}) }},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			tc.begin()
			status, ve, err := sk.book(0, tc.name)
			if err != nil || status == http.StatusOK || ve != verdict.NotRun {
				t.Errorf("status = %d, verdict = %q, %v; want a refusal as %q", status, ve, err, verdict.NotRun)
			}
			sk.checkRuns(t, tc.name, 0)
			tc.end()
			sk.waitUntil("a booking with the key succeeds", func() bool {
				status, _, err := sk.book(1, tc.name)
				return err == nil && status == http.StatusOK
			})
			sk.checkRuns(t, tc.name, 1)
		})
	}
	// No address of the service accepts connections, so the call cannot have
	// run.
	t.Run("kill", func(t *testing.T) {
		sk.apply(0, fmt.Sprintf("[[endpoint]]\nname = \"gone\"\nroute = \"/gone/\"\naddresses = [%q]\nnot-repeatable = [\"POST /gone/\"]\n", sk.freeAddress()))
		rsp, raw, err := sk.post(0, "/gone/x", `{}`, map[string]string{hub.HeaderIdempotencyKey: "gone"})
		if err != nil {
			t.Fatal(err)
		}
		if rsp.StatusCode == http.StatusOK || !strings.Contains(string(raw), `"not-run"`) {
			t.Errorf("status = %d, body %s; want a refusal as not run", rsp.StatusCode, raw)
		}
	})
}
