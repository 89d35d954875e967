package daemon

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/endpoint"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

// callTimeout is the timeout of the test system's service.
const callTimeout = 2 * time.Second

// silentService delays the response to the first call and handles all later calls with others.
type silentService struct {
	calls  atomic.Int64
	open   atomic.Int64
	silent time.Duration
	others http.HandlerFunc
}

func (ss *silentService) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		ss.open.Add(1)
		defer ss.open.Add(-1)
		if ss.calls.Add(1) > 1 && ss.others != nil {
			ss.others(w, req)
			return
		}
		if ss.calls.Load() == 1 {
			select {
			case <-time.After(ss.silent):
			case <-req.Context().Done():
				panic(http.ErrAbortHandler)
			}
		}
		next.ServeHTTP(w, req)
	})
}

func refuseCall(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(endpoint.HeaderVerdict, string(verdict.NotRun))
	w.WriteHeader(http.StatusServiceUnavailable)
}

func dropCall(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func hangCall(_ http.ResponseWriter, req *http.Request) {
	<-req.Context().Done()
	panic(http.ErrAbortHandler)
}

// get calls the service and returns the status, the body and the time that the call took.
func (sk *testSystem) get(t *testing.T) (int, string, time.Duration) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+sk.caller(0)+"/orders/list", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+workspaceKey)
	begin := time.Now()
	rsp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer rsp.Body.Close()
	raw, err := io.ReadAll(rsp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return rsp.StatusCode, string(raw), time.Since(begin)
}

// Guards against a call that is given up for a silent service when another address does not answer
// it either, and against a call that outlives its timeouts or is reported as not run.
func TestCallOutlivesSilence(t *testing.T) {
	tests := []struct {
		name   string
		silent time.Duration
		others http.HandlerFunc
		status int
		// least and most bound the time that the call takes.
		least, most time.Duration
	}{
		{"another refuses", callTimeout + 500*time.Millisecond, refuseCall, http.StatusOK, callTimeout, 2 * callTimeout},
		{"another breaks off", callTimeout + 500*time.Millisecond, dropCall, http.StatusOK, callTimeout, 2 * callTimeout},
		{"another hangs", callTimeout + 500*time.Millisecond, hangCall, http.StatusOK, callTimeout, 2 * callTimeout},
		{"another answers", waitLimit, nil, http.StatusOK, callTimeout, 2 * callTimeout},
		{"all hang", waitLimit, hangCall, http.StatusBadGateway, 2 * callTimeout, 3 * callTimeout},
		{"hangs and another refuses", waitLimit, refuseCall, http.StatusBadGateway, callTimeout, 3 * callTimeout},
		{"breaks off and another refuses", -1, refuseCall, http.StatusBadGateway, 0, callTimeout},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			ss := &silentService{silent: tc.silent, others: tc.others}
			wrap := ss.wrap
			if tc.silent < 0 {
				wrap = func(next http.Handler) http.Handler { return ss.wrap(http.HandlerFunc(dropCall)) }
			}
			sk := newTestSystem(t, systemSize{daemons: 1, vms: 1, vmsPerGroup: 1, replicas: 1, wrapService: wrap})
			status, body, took := sk.get(t)
			if status != tc.status {
				t.Errorf("status = %d, want %d: %s", status, tc.status, body)
			}
			if tc.status != http.StatusOK && !strings.Contains(body, `"may-have-run"`) {
				t.Errorf("body = %s, want may-have-run", body)
			}
			if took < tc.least || took > tc.most {
				t.Errorf("the call took %v, want %v to %v", took, tc.least, tc.most)
			}
			sk.waitUntil("the calls end", func() bool { return ss.open.Load() == 0 })
		})
	}
}
