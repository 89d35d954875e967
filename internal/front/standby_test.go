package front

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/platform"
	"corianderhub.dev/corianderhub/platform/emulator"
)

// blockingWriter is the response to a caller that stops reading before the event number at.
type blockingWriter struct {
	*httptest.ResponseRecorder
	at, num          int
	blocked, unblock chan struct{}
	// err is the result of the blocked write.
	err error
}

func newBlockingWriter(at int) *blockingWriter {
	return &blockingWriter{ResponseRecorder: httptest.NewRecorder(), at: at, blocked: make(chan struct{}), unblock: make(chan struct{})}
}

// Write implements http.ResponseWriter.
func (bw *blockingWriter) Write(buf []byte) (int, error) {
	bw.num++
	if bw.num == bw.at {
		close(bw.blocked)
		<-bw.unblock
		if bw.err != nil {
			return 0, bw.err
		}
	}
	return bw.ResponseRecorder.Write(buf)
}

// SetWriteDeadline implements what http.ResponseController calls.
func (bw *blockingWriter) SetWriteDeadline(time.Time) error { return nil }

// newDraft returns a request for a resumable stream.
func newDraft(id string) *http.Request {
	req := httptest.NewRequest(http.MethodPost, "/draft/x", strings.NewReader("question "+id))
	req.Host = "some.example"
	req.Header.Set(platform.HeaderRequestID, id)
	req.Header.Set(platform.HeaderAuthorization, "Token key-1")
	req.Header.Set(platform.HeaderModel, "large")
	setTokenCounts(req)
	return req
}

// serve handles a request and recovers from an aborted one, as the server does.
func (ri *rig) serve(w http.ResponseWriter, req *http.Request) {
	defer func() {
		if re := recover(); re != nil && re != http.ErrAbortHandler {
			panic(re)
		}
	}()
	ri.front.ServeHTTP(w, req)
}

// Guards against counting a request at a group for good after it has ended: its caller stops reading
// and leaves while a standby is ready to continue the stream.
func TestStandbyEndsWithCallerThatStopsReading(t *testing.T) {
	ri := newRig(t)
	first := ri.addGroup(nil)
	bw, ended := newBlockingWriter(2), make(chan struct{})
	bw.err = errors.New("connection lost")
	go func() {
		defer close(ended)
		ri.serve(bw, newDraft("id"))
	}()
	ri.await("the blocked write", bw.blocked)
	other := ri.addGroup(always(emulator.Pauses))
	other.Resume = make(chan struct{})
	ri.table.MarkBroken("group-"+first.ID, time.Now())
	si := &silence{rig: ri}
	si.eventually("the standby", func() bool { return len(other.Runs()) == 1 })
	time.Sleep(silentFor)
	close(bw.unblock)
	ri.await("the end of the request", ended)
	si.eventually("the end of all attempts", func() bool { return ri.table.Requests(false) == 0 })
}

// addGroupWithoutIDs adds a group whose events have no ID. The first event waits for begin.
func (ri *rig) addGroupWithoutIDs(begin <-chan struct{}) {
	name := fmt.Sprint("plain-leader-", len(ri.view.Groups))
	hs := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body) // An error ends the request.
		w.Header().Set(platform.HeaderRequestID, req.Header.Get(platform.HeaderRequestID))
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush() // An error ends the request.
		select {
		case <-begin:
		case <-req.Context().Done():
			return
		}
		for num := range 3 {
			fmt.Fprintf(w, "data: %d\n\n", num)
		}
	}))
	ri.t.Cleanup(hs.Close)
	ri.view.Groups = append(ri.view.Groups, catalog.Group{Name: name, Service: "engine", Model: "large",
		Members: []catalog.Member{{ID: name, Address: hs.Listener.Addr().String()}}})
	ri.update()
}

// Guards against repeating an event (ORDER) that is being written to the caller while a standby
// becomes ready. Duplicates of events without ID can't be detected.
func TestStandbyDoesNotRepeatEventBeingWritten(t *testing.T) {
	ri := newRig(t)
	begin := make(chan struct{})
	close(begin)
	ri.addGroupWithoutIDs(begin)
	bw, ended := newBlockingWriter(1), make(chan struct{})
	go func() {
		defer close(ended)
		ri.serve(bw, newDraft("id"))
	}()
	ri.await("the blocked write", bw.blocked)
	first := ri.view.Groups[0].Name
	ri.addGroupWithoutIDs(begin)
	ri.table.MarkBroken(first, time.Now())
	time.Sleep(silentFor)
	close(bw.unblock)
	ri.await("the end of the request", ended)
	if got, want := bw.Body.String(), "data: 0\n\ndata: 1\n\ndata: 2\n\n"; got != want {
		t.Errorf("the caller got %q, want %q", got, want)
	}
}

// addSteppedGroup adds a group that emits an event for each value that is sent on the channel.
func (ri *rig) addSteppedGroup() (name string, step chan<- struct{}) {
	steps := make(chan struct{})
	name = fmt.Sprint("stepped-leader-", len(ri.view.Groups))
	hs := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body) // An error ends the request.
		id := req.Header.Get(platform.HeaderRequestID)
		w.Header().Set(platform.HeaderRequestID, id)
		last, _ := strconv.Atoi(req.Header.Get(platform.HeaderLastEventID))
		for num := last + 1; num <= numEvents; num++ {
			select {
			case <-steps:
			case <-req.Context().Done():
				return
			}
			_, _ = io.WriteString(w, emulator.Event(id, num))
			_ = http.NewResponseController(w).Flush() // An error ends the request.
		}
	}))
	ri.t.Cleanup(hs.Close)
	ri.view.Groups = append(ri.view.Groups, catalog.Group{Name: name, Service: "engine", Model: "large",
		Members: []catalog.Member{{ID: name, Address: hs.Listener.Addr().String()}}})
	ri.update()
	return name, steps
}

// A group is silent twice. Guards against a standby that waits in the second silence because the group
// went on after the first one.
func TestStandbyDuringSecondSilence(t *testing.T) {
	si := &silence{rig: newRig(t), results: make(chan result, 1)}
	name, step := si.addSteppedGroup()
	go func() { si.results <- si.send("/draft/x", "id", setTokenCounts) }()
	received := func(num int) {
		t.Helper()
		step <- struct{}{}
		si.eventually("an event", func() bool { return si.receivedBytes.Load() == int64(num*len(emulator.Event("id", 1))) })
	}
	received(1)
	refuses := si.addGroup(always(emulator.Refuses))
	si.table.MarkBroken(name, time.Now())
	si.eventually("the first standby", func() bool { return len(refuses.Arrivals()) == 1 })
	received(2)
	time.Sleep(silentFor)
	si.addGroup(nil)
	si.table.MarkBroken(name, time.Now())
	si.checkComplete()
}

// Guards against counting a request at a group that has closed its connection while a standby's group
// has the request: a suspended group would be held for it.
func TestFailedAttemptLeavesGroupBeforeStandbyEnds(t *testing.T) {
	si := beginSilence(t, "/draft/x", 0)
	other := si.addGroup(always(emulator.Hangs))
	si.table.MarkBroken("group-"+si.first.ID, time.Now())
	si.eventually("the standby", func() bool { return len(other.Arrivals()) == 1 })
	si.first.Stop()
	si.eventually("the end of the first attempt", func() bool { return si.table.RequestsAt("group-"+si.first.ID, time.Now()) == 0 })
	if num := si.table.Requests(false); num != 1 {
		t.Errorf("%d requests at groups, want 1, that of the standby", num)
	}
	si.hs.CloseClientConnections()
	<-si.results
}

// A group stalls while one of its events is being written to a slow caller. Guards against canceling the
// standby when that event is written: the event was read before the stall, and the attempt would be
// used up in vain.
func TestStandbyOutlivesEventReadBeforeStall(t *testing.T) {
	ri := newRig(t)
	first := ri.addGroup(always(emulator.Pauses))
	first.Resume = make(chan struct{})
	bw, ended := newBlockingWriter(2), make(chan struct{})
	go func() {
		defer close(ended)
		ri.serve(bw, newDraft("id"))
	}()
	ri.await("the blocked write", bw.blocked)
	other := ri.addGroup(always(emulator.Hangs))
	ri.table.MarkBroken("group-"+first.ID, time.Now())
	si := &silence{rig: ri}
	si.eventually("the standby", func() bool { return len(other.Arrivals()) == 1 })
	close(bw.unblock)
	time.Sleep(silentFor)
	if num := ri.table.RequestsAt("group-"+other.ID, time.Now()); num != 1 {
		t.Errorf("%d requests at the standby's group, want 1", num)
	}
	close(first.Resume)
	ri.await("the end of the request", ended)
}

// Guards against endpoints that work for a caller that has left while a standby waits in overtake.
func TestParkedStandbyEndsWithCaller(t *testing.T) {
	si := &silence{rig: newRig(t), results: make(chan result, 1)}
	name, step := si.addSteppedGroup()
	go func() { si.results <- si.send("/draft/x", "id", setTokenCounts) }()
	size := int64(len(emulator.Event("id", 1)))
	step <- struct{}{}
	si.eventually("an event", func() bool { return si.receivedBytes.Load() == size })
	other, otherStep := si.addSteppedGroup()
	si.table.MarkBroken(name, time.Now())
	si.eventually("the standby", func() bool { return si.table.RequestsAt(other, time.Now()) == 1 })
	step <- struct{}{}
	si.eventually("an event", func() bool { return si.receivedBytes.Load() == 2*size })
	otherStep <- struct{}{}
	time.Sleep(50 * time.Millisecond)
	begin := time.Now()
	si.hs.CloseClientConnections()
	<-si.results
	si.eventually("the end of both attempts", func() bool { return si.table.Requests(false) == 0 && si.front.inFlight.Load() == 0 })
	if took := time.Since(begin); took > 500*time.Millisecond {
		t.Errorf("both attempts ended after %v, want at most 500 ms", took)
	}
}
