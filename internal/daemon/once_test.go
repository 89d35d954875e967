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

const confirm = "/orders/confirm"

// book sends one booking to one daemon and returns the status and verdict.
func (sk *stack) book(daemon int, key string) (int, verdict.Verdict, error) {
	rsp, raw, err := sk.post(daemon, confirm, `{"pallets":2}`, map[string]string{hub.HeaderIdempotencyKey: key})
	if err != nil {
		return 0, verdict.MayHaveRun, err
	}
	var eb hub.ErrorBody
	_ = json.Unmarshal(raw, &eb)
	return rsp.StatusCode, eb.Error.Verdict, nil
}

// wantRuns checks how often the key ran.
func (sk *stack) wantRuns(t *testing.T, key string, want int) {
	t.Helper()
	if got := sk.runs(key); got != want {
		t.Errorf("%s ran %d times, want %d", key, got, want)
	}
}

func TestHoldAtMostOnce(t *testing.T) {
	sk := newStack(t, small)
	// The same booking through both daemons at the same moment, many times.
	t.Run("same-moment", func(t *testing.T) {
		for i := range 20 {
			key := fmt.Sprint("same-", i)
			var fns []func()
			for j := range 6 {
				fns = append(fns, func() { sk.book(j%2, key) })
			}
			together(fns...)
			sk.wantRuns(t, key, 1)
		}
	})
	// The service runs the booking and its answer is lost. The caller is told
	// that it may have run, and trying again does not run it again.
	t.Run("lost-answer", func(t *testing.T) {
		sk.service.SetFaults(standin.ServiceFaults{DropResponses: 1})
		for i := range 4 {
			if _, ve, err := sk.book(i%2, "lost"); err != nil || ve != verdict.MayHaveRun {
				t.Errorf("verdict = %q, %v; want %q", ve, err, verdict.MayHaveRun)
			}
		}
		sk.wantRuns(t, "lost", 1)
	})
	// The service takes the booking and never answers: a connection that is
	// silent for good.
	t.Run("silent-connection", func(t *testing.T) {
		sk.service.SetFaults(standin.ServiceFaults{Unresponsive: true})
		if _, ve, err := sk.book(0, "silent"); err != nil || ve != verdict.MayHaveRun {
			t.Errorf("verdict = %q, %v; want %q", ve, err, verdict.MayHaveRun)
		}
		sk.service.SetFaults(standin.ServiceFaults{})
		if _, ve, err := sk.book(1, "silent"); err != nil || ve != verdict.MayHaveRun {
			t.Errorf("verdict = %q, %v; want %q", ve, err, verdict.MayHaveRun)
		}
		sk.wantRuns(t, "silent", 1)
	})
	// The answer to the claim's write is lost: it is read back and found.
	t.Run("lost-claim", func(t *testing.T) {
		sk.platform.SetFaults(standin.PlatformFaults{StoreFaults: standin.StoreFaults{DropResponses: 1}})
		if status, _, err := sk.book(0, "claim"); err != nil || status != http.StatusOK {
			t.Errorf("status = %d, %v; want %d", status, err, http.StatusOK)
		}
		sk.book(1, "claim")
		sk.wantRuns(t, "claim", 1)
	})
	// No claim can be made while the platform is down. The booking is refused
	// at once as not run, and afterwards the same key goes through.
	t.Run("platform-outage", func(t *testing.T) {
		sk.platform.SetFaults(standin.PlatformFaults{StoreFaults: standin.StoreFaults{Down: true}})
		if _, ve, err := sk.book(0, "outage"); err != nil || ve != verdict.NotRun {
			t.Errorf("verdict = %q, %v; want %q", ve, err, verdict.NotRun)
		}
		sk.wantRuns(t, "outage", 0)
		sk.platform.SetFaults(standin.PlatformFaults{})
		sk.until("the booking goes through", func() bool {
			status, _, err := sk.book(1, "outage")
			return err == nil && status == http.StatusOK
		})
		sk.wantRuns(t, "outage", 1)
	})
	// A key that is used for another request is refused as not run.
	t.Run("key-reused", func(t *testing.T) {
		sk.book(0, "reused")
		rsp, raw, err := sk.post(1, confirm, `{"pallets":3}`, map[string]string{hub.HeaderIdempotencyKey: "reused"})
		if err != nil {
			t.Fatal(err)
		}
		if rsp.StatusCode != http.StatusUnprocessableEntity || !strings.Contains(string(raw), "not-run") {
			t.Errorf("status = %d, body %s; want a refusal as not run", rsp.StatusCode, raw)
		}
		sk.wantRuns(t, "reused", 1)
	})
	// A booking without a key whose answer is lost is not sent again, though
	// the endpoint has another address.
	t.Run("without-key", func(t *testing.T) {
		before := sk.runs("")
		sk.service.SetFaults(standin.ServiceFaults{DropResponses: 1})
		rsp, raw, err := sk.post(0, confirm, `{}`, nil)
		if err != nil {
			t.Fatal(err)
		}
		if rsp.StatusCode == http.StatusOK || !strings.Contains(string(raw), "may-have-run") {
			t.Errorf("status = %d, body %s; want may-have-run", rsp.StatusCode, raw)
		}
		sk.wantRuns(t, "", before+1)
	})
	// A daemon is killed with the booking under way; the caller's client goes
	// to the other one. The booking ran or it may have; it never runs twice.
	t.Run("kill", func(t *testing.T) {
		sk.service.SetFaults(standin.ServiceFaults{Delay: 300 * time.Millisecond})
		defer sk.service.SetFaults(standin.ServiceFaults{})
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		defer cancel()
		killed := make(chan struct{})
		go func() {
			defer close(killed)
			sk.until("the booking runs", func() bool { return sk.runs("killed") > 0 })
			sk.daemons[0].daemon.abort()
		}()
		cl := sk.client(0)
		cl.Seeds = append(cl.Seeds, sk.caller(1))
		cl.Attempts = 4
		_, err := cl.Do(ctx, hub.Call{Method: http.MethodPost, Path: confirm, Body: []byte(`{}`), Key: "killed"})
		<-killed
		if err != nil && verdict.Of(err) == verdict.NotRun {
			t.Errorf("the booking ran and the caller was told %v", err)
		}
		sk.wantRuns(t, "killed", 1)
	})
}

func TestHoldRefusalNotRun(t *testing.T) {
	sk := newStack(t, small)
	// Each of these refuses a booking as not run. It must not have run, and
	// the same key must go through once the cause is gone.
	tests := []struct {
		name  string
		begin func()
		end   func()
	}{
		// The service itself says that it did not run the call.
		{"refused",
			func() { sk.service.SetFaults(standin.ServiceFaults{Refuse: true}) },
			func() { sk.service.SetFaults(standin.ServiceFaults{}) }},
		// The claim can't be written.
		{"platform-outage",
			func() {
				sk.platform.SetFaults(standin.PlatformFaults{StoreFaults: standin.StoreFaults{Down: true}})
			},
			func() { sk.platform.SetFaults(standin.PlatformFaults{}) }},
		// The claim is lost on its way, again and again.
		{"lost-answer",
			func() {
				sk.platform.SetFaults(standin.PlatformFaults{StoreFaults: standin.StoreFaults{DropWrites: 1000}})
			},
			func() { sk.platform.SetFaults(standin.PlatformFaults{}) }},
		// The platform answers so late that the claim is given up, and stores
		// it all the same.
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
			sk.wantRuns(t, tc.name, 0)
			tc.end()
			sk.until("the key goes through", func() bool {
				status, _, err := sk.book(1, tc.name)
				return err == nil && status == http.StatusOK
			})
			sk.wantRuns(t, tc.name, 1)
		})
	}
	// No address of the service accepts connections: nothing can have run.
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
