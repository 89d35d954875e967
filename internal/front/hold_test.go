package front

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/http1"
	"corianderhub.dev/corianderhub/platform"
	"corianderhub.dev/corianderhub/platform/emulator"
)

// A caller gets the whole answer of the endpoint that ran its request, or is
// told that it does not, whatever the endpoint does to the answer.
func TestHoldOwnAnswer(t *testing.T) {
	faults := []struct {
		name  string
		fault emulator.Fault
	}{
		{"sound", emulator.None}, {"another request's answer", emulator.MismatchedResponse}, {"cut off", emulator.Truncates},
		{"lost", emulator.DropsResponse}, {"refused", emulator.Refuses}, {"failed", emulator.Fails},
	}
	for _, tc := range faults {
		t.Run(tc.name, func(t *testing.T) {
			ri := newRig(t)
			ri.desk(always(tc.fault))
			ri.desk(first(tc.fault))
			for _, path := range []string{"/confirm/x", "/slot/x"} {
				id := "id-" + path[1:5]
				re := ri.ask(path, id, nil)
				if re.err != nil {
					t.Fatalf("%s: no answer: %v", path, re.err)
				}
				if re.status == http.StatusOK && (re.body != emulator.Body(id) || !strings.HasSuffix(re.header.Get(platform.HeaderSeal), id)) {
					t.Errorf("%s: got %q with seal %q", path, re.body, re.header.Get(platform.HeaderSeal))
				}
				if tc.fault == emulator.None && re.status != http.StatusOK {
					t.Errorf("%s: status %d from a sound endpoint", path, re.status)
				}
			}
		})
	}
}

// A request that must not repeat is sent again only when an endpoint promised
// that it has not run and never will. A disbursement is booked once at most.
func TestHoldAtMostOnce(t *testing.T) {
	for _, fault := range []emulator.Fault{emulator.MismatchedResponse, emulator.Truncates, emulator.DropsResponse, emulator.Fails, emulator.Refuses} {
		ri := newRig(t)
		ri.desk(always(fault))
		ri.desk(always(fault))
		re := ri.ask("/confirm/x", "booking", nil)
		if num := ri.runs("booking"); num > 1 {
			t.Errorf("fault %v: the request ran %d times", fault, num)
		}
		if fault != emulator.Refuses && re.status != http.StatusBadGateway && re.status != http.StatusInternalServerError {
			t.Errorf("fault %v: status %d, though it may have run", fault, re.status)
		}
	}
	ri := newRig(t)
	ri.head(always(emulator.Truncates))
	ri.head(always(emulator.Truncates))
	ri.ask("/once/x", "stream", streaming)
	if num := ri.runs("stream"); num > 1 {
		t.Errorf("a stream that can't be resumed ran %d times", num)
	}
}

// 503 promises that the request has not run. It is given only then, and says
// when to come back.
func TestHoldRefusalNotRun(t *testing.T) {
	tests := []struct {
		name  string
		setup func(ri *rig)
	}{
		{"no endpoint", func(*rig) {}},
		{"endpoints refuse", func(ri *rig) {
			ri.desk(always(emulator.Refuses))
			ri.desk(always(emulator.Refuses))
			ri.head(always(emulator.Refuses))
			ri.head(always(emulator.Refuses))
		}},
		{"endpoints gone", func(ri *rig) {
			ri.desk(nil).Stop()
			ri.head(nil).Stop()
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			ri := newRig(t)
			tc.setup(ri)
			for _, path := range []string{"/confirm/x", "/slot/x", "/draft/x", "/once/x"} {
				re := ri.ask(path, "id", streaming)
				if re.status != http.StatusServiceUnavailable || re.header.Get(platform.HeaderRetryAfter) == "" {
					t.Errorf("%s: status %d, retry after %q", path, re.status, re.header.Get(platform.HeaderRetryAfter))
				}
			}
			if num := ri.runs("id"); num != 0 {
				t.Errorf("ran %d times though refused", num)
			}
		})
	}
}

// An endpoint refuses, another one has room: the caller notices nothing.
func TestRefusedRequestGoesElsewhere(t *testing.T) {
	ri := newRig(t)
	ri.desk(always(emulator.Refuses))
	ri.desk(nil)
	ri.head(always(emulator.Refuses))
	ri.head(nil)
	for _, path := range []string{"/confirm/x", "/slot/x"} {
		if re := ri.ask(path, "id"+path, nil); re.status != http.StatusOK {
			t.Errorf("%s: status %d", path, re.status)
		}
	}
	for _, path := range []string{"/draft/x", "/once/x"} {
		if re := ri.ask(path, "id"+path, streaming); re.status != http.StatusOK || re.body != wholeStream("id"+path) {
			t.Errorf("%s: status %d, %q", path, re.status, re.body)
		}
	}
}

// A stream breaks off within an event. The caller sees neither the part of the
// event nor a seam: the rest comes from another group, under the first one's
// head.
func TestStreamIsResumed(t *testing.T) {
	ri := newRig(t)
	fault := first(emulator.Truncates)
	ri.head(fault)
	ri.head(fault)
	re := ri.ask("/draft/x", "id", streaming)
	if re.status != http.StatusOK || re.err != nil || re.body != wholeStream("id") {
		t.Errorf("status %d, %v, body %q", re.status, re.err, re.body)
	}
	if num := ri.runs("id"); num != 2 {
		t.Errorf("ran %d times, want 2", num)
	}
}

// A stream breaks off and there is no other group. It must not look whole.
func TestBrokenStreamDoesNotLookWhole(t *testing.T) {
	ri := newRig(t)
	ri.head(always(emulator.Truncates))
	re := ri.ask("/once/x", "id", streaming)
	if re.err == nil {
		t.Errorf("the broken stream ended like a whole one: %q", re.body)
	}
	if !strings.HasPrefix(wholeStream("id"), re.body) {
		t.Errorf("body %q is no beginning of the stream", re.body)
	}
}

// A stream's group stands still, and so does the one where it goes on. It may not be
// sent to a third one. The caller would lose the rest of its answer if the stream
// were cut off, for instance while a configuration changes: it waits, and gets the
// rest when the second group goes on.
func TestStreamStaysAtItsLastGroup(t *testing.T) {
	ri := newRig(t)
	for range 3 {
		ri.head(always(emulator.Pauses)).Resume = make(chan struct{})
	}
	answer := make(chan result, 1)
	go func() { answer <- ri.ask("/draft/x", "id", streaming) }()
	standing := func(but *emulator.Server) *emulator.Server {
		for {
			for _, sv := range ri.heads {
				if sv != but && len(sv.Runs()) > 0 {
					return sv
				}
			}
			time.Sleep(time.Millisecond)
		}
	}
	first := standing(nil)
	ri.table.MarkBroken("group-"+first.ID, time.Now())
	second := standing(first)
	ri.table.MarkBroken("group-"+second.ID, time.Now())
	close(second.Resume)
	if re := <-answer; re.status != http.StatusOK || re.body != wholeStream("id") {
		t.Errorf("status %d, %v, body %q", re.status, re.err, re.body)
	}
	if num := ri.runs("id"); num != 2 {
		t.Errorf("ran %d times, want 2", num)
	}
}

// A caller resumes a stream itself: it gets what it lacks and nothing twice.
func TestCallerResumes(t *testing.T) {
	ri := newRig(t)
	ri.head(nil)
	re := ri.ask("/draft/x", "id", func(req *http.Request) {
		streaming(req)
		req.Header.Set(platform.HeaderLastEventID, "4")
	})
	if want := emulator.Event("id", 5) + emulator.Event("id", 6); re.body != want {
		t.Errorf("got %q, want %q", re.body, want)
	}
}

// A safe request fails at one endpoint and is answered by the next.
func TestSafeRequestIsRepeated(t *testing.T) {
	for _, fault := range []emulator.Fault{emulator.Fails, emulator.DropsResponse, emulator.Truncates, emulator.MismatchedResponse} {
		ri := newRig(t)
		once := first(fault)
		ri.desk(once)
		ri.desk(once)
		if re := ri.ask("/slot/x", "id", nil); re.status != http.StatusOK || re.body != emulator.Body("id") {
			t.Errorf("fault %v: status %d, %q", fault, re.status, re.body)
		}
	}
}

// All endpoints fail at once. What is sent again stays within the budget, or
// the repeats would keep the endpoints down.
func TestRepeatsStayWithinBudget(t *testing.T) {
	ri := newRig(t)
	ri.front.Budget.SetSlack(3)
	ri.front.Budget.Ratio = 0
	ri.desk(always(emulator.Fails))
	ri.desk(always(emulator.Fails))
	const requests = 20
	for range requests {
		ri.ask("/slot/x", "id", nil)
	}
	if num := ri.runs("id"); num > requests+3 {
		t.Errorf("%d runs of %d requests with a budget of 3", num, requests)
	}
}

// The key stays here; the endpoint gets the workspace's name, whatever the
// caller claims, and nothing that concerns one connection only.
func TestHeadersToEndpoint(t *testing.T) {
	ri := newRig(t)
	sv := ri.desk(nil)
	ri.ask("/slot/x?a=b%2fc", "id", func(req *http.Request) {
		req.Header.Set(platform.HeaderWorkspace, "forged")
		req.Header.Set(platform.HeaderExpectEndpoint, "forged")
		req.Header.Set(platform.HeaderPriority, "0")
		req.Header.Set("Connection", "X-Secret")
		req.Header.Set("X-Secret", "1")
		req.Header.Set("X-Other", "kept")
		req.Header.Set(platform.HeaderDeadline, "1500")
	})
	ru := sv.Runs()[0]
	if ru.URI != "/slot/x?a=b%2fc" || ru.Body != "question id" {
		t.Errorf("request changed: %+v", ru)
	}
	want := map[string]string{platform.HeaderWorkspace: "nursery", platform.HeaderExpectEndpoint: sv.ID, platform.HeaderPriority: "3",
		platform.HeaderAuthorization: "", "X-Secret": "", "X-Other": "kept"}
	for name, val := range want {
		if got := ru.Header.Get(name); got != val {
			t.Errorf("%s: %q, want %q", name, got, val)
		}
	}
	if left := ru.Header.Get(platform.HeaderDeadline); left == "" || len(left) > 4 || left > "1500" {
		t.Errorf("deadline %q handed on of 1500", left)
	}
}

func TestOwnAnswers(t *testing.T) {
	ri := newRig(t)
	ri.desk(nil)
	ri.cfg.Limits.BodyBytes = 100
	tests := []struct {
		name, path string
		change     func(*http.Request)
		status     int
	}{
		{"no route", "/nowhere/x", nil, http.StatusNotFound},
		{"other host", "/slot/x", func(req *http.Request) { req.Host = "other.example" }, http.StatusNotFound},
		{"unknown key", "/slot/x", func(req *http.Request) { req.Header.Set(platform.HeaderAuthorization, "Token other") }, http.StatusUnauthorized},
		{"no key", "/slot/x", func(req *http.Request) { req.Header.Del(platform.HeaderAuthorization) }, http.StatusUnauthorized},
		{"no key needed", "/open/x", func(req *http.Request) { req.Header.Del(platform.HeaderAuthorization) }, http.StatusOK},
		{"large body", "/slot/x", func(req *http.Request) {
			req.Body, req.ContentLength = http.NoBody, 0
			req.GetBody = nil
			*req = *req.WithContext(context.Background())
			req.Body = readCloser{strings.NewReader(strings.Repeat("x", 200))}
			req.ContentLength = 200
		}, http.StatusRequestEntityTooLarge},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			if re := ri.ask(tc.path, "id", tc.change); re.status != tc.status {
				t.Errorf("status %d (%v), want %d", re.status, re.err, tc.status)
			}
		})
	}
	ri.cfg = nil
	if re := ri.ask("/slot/x", "id", nil); re.status != http.StatusServiceUnavailable {
		t.Errorf("without a configuration: status %d", re.status)
	}
}

type readCloser struct{ *strings.Reader }

func (readCloser) Close() error { return nil }

// An endpoint never answers. The caller hears so at the route's timeout, with
// a status that promises nothing, and the endpoint sees the connection close.
func TestTimeoutAnswer(t *testing.T) {
	ri := newRig(t)
	for i := range ri.cfg.Routes {
		ri.cfg.Routes[i].Timeout = 100 * time.Millisecond
	}
	ri.desk(always(emulator.Hangs))
	ri.head(always(emulator.Hangs))
	for _, path := range []string{"/confirm/x", "/slot/x", "/draft/x"} {
		if re := ri.ask(path, "id", streaming); re.status != http.StatusGatewayTimeout {
			t.Errorf("%s: status %d (%v)", path, re.status, re.err)
		}
	}
}

// The caller leaves while the endpoint works. The endpoint is told by the end
// of its connection.
func TestCallerLeaves(t *testing.T) {
	ri := newRig(t)
	arrived, left := make(chan struct{}), make(chan struct{})
	ri.head(func(req *http.Request) emulator.Fault {
		close(arrived)
		go func() {
			<-req.Context().Done()
			close(left)
		}()
		return emulator.Hangs
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	ri.ask("/draft/x", "id", func(req *http.Request) {
		streaming(req)
		*req = *req.WithContext(ctx)
	})
	<-left
}

// An endpoint's address has been given to another one. That refuses what is
// not for it, and the request goes on to an endpoint that is.
func TestReusedAddress(t *testing.T) {
	ri := newRig(t)
	ri.head(nil)
	ri.view.Groups[0].Members[0].ID = "former"
	ri.head(nil)
	wrong := make(chan struct{}, 1)
	ri.front.OnMisrouted = func() { wrong <- struct{}{} }
	for len(wrong) == 0 {
		if re := ri.ask("/draft/x", "id", streaming); re.status != http.StatusOK {
			t.Fatalf("status %d", re.status)
		}
	}
	if num := len(ri.heads[0].Runs()); num != 0 {
		t.Errorf("%d requests ran at an endpoint that was not meant", num)
	}
}

// A daemon that stops tells its callers to close their connections.
func TestStoppingClosesConnections(t *testing.T) {
	ri := newRig(t)
	ri.desk(nil)
	ri.head(nil)
	ri.front.SetStopping()
	hc := &http.Client{Transport: &http.Transport{}}
	for _, path := range []string{"/slot/x", "/draft/x"} {
		req, err := http.NewRequest(http.MethodPost, ri.hs.URL+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Host = "some.example"
		req.Header.Set(platform.HeaderRequestID, "id")
		req.Header.Set(platform.HeaderAuthorization, "Token key-1")
		req.Header.Set(platform.HeaderModel, "large")
		streaming(req)
		rsp, err := hc.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		rsp.Body.Close()
		if !rsp.Close {
			t.Errorf("%s: the answer does not end its connection", path)
		}
	}
}

// Many daemons share what connections an endpoint accepts. All of them together
// keep less than a third idle.
func TestMaxIdleIsShared(t *testing.T) {
	tests := []struct{ accepts, daemons, want int }{
		{0, 9, 0},
		{414, 9, 13},
		{110, 9, 3},
		{110, 33, 1},
		{110, 34, http1.NoIdle},
		{342, 68, 1},
		{110, 0, 33},
	}
	for _, tc := range tests {
		if got := maxIdle(tc.accepts, tc.daemons); got != tc.want {
			t.Errorf("%d connections, %d daemons: %d, want %d", tc.accepts, tc.daemons, got, tc.want)
		}
	}
}
