package front

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/platform"
	"corianderhub.dev/corianderhub/platform/emulator"
)

// silence is a stream whose group is silent after its first events.
type silence struct {
	*rig
	first   *emulator.Server
	results chan result
}

// beginSilence sends a stream to the only group, which is silent after two events. interval is the time
// between two events.
func beginSilence(t *testing.T, path string, interval time.Duration) *silence {
	t.Helper()
	si := &silence{rig: newRig(t), results: make(chan result, 1)}
	si.first = si.addGroup(always(emulator.Pauses))
	si.first.Resume, si.first.EventInterval = make(chan struct{}), interval
	go func() { si.results <- si.send(path, "id", setTokenCounts) }()
	sent := len(emulator.Event("id", 1) + emulator.Event("id", 2))
	si.eventually("the first events", func() bool { return si.receivedBytes.Load() == int64(sent) })
	return si
}

// eventually waits until done returns true.
func (si *silence) eventually(what string, done func() bool) {
	si.t.Helper()
	for limit := time.Now().Add(longTimeout); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			si.t.Fatalf("waited %v for %s", longTimeout, what)
		}
	}
}

// removeFirst takes the silent group out of the view, as a change of the models' shares does.
func (si *silence) removeFirst() {
	si.view.Groups = si.view.Groups[1:]
	si.update()
}

// detect lets the daemon detect the silence again and again, as the control loop does, for a time.
func (si *silence) detect(dur time.Duration) {
	for until := time.Now().Add(dur); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		si.table.StalledGroups(time.Now().Add(time.Minute))
		si.table.MarkBroken("group-"+si.first.ID, time.Now())
	}
}

// checkComplete checks that the caller has received the complete stream.
func (si *silence) checkComplete() {
	si.t.Helper()
	re := <-si.results
	if re.status != http.StatusOK || re.err != nil || re.body != completeStream("id") {
		si.t.Errorf("status %d, error %v, body %q, want 200 and the complete stream", re.status, re.err, re.body)
	}
}

// silentFor is how long a group is silent in a test before it goes on.
const silentFor = 150 * time.Millisecond

// Guards against closing a caller's connection (LOST) because a sound group is silent for a moment
// and no other group can take over: the group goes on, and so must the stream.
func TestStreamOutlivesSilenceOfItsGroup(t *testing.T) {
	beside := map[string]func(si *silence){
		"no other group": func(*silence) {},
		"another group without a free slot": func(si *silence) {
			si.addGroup(nil)
			si.fill()
		},
		"another group, retry budget spent": func(si *silence) {
			si.addGroup(nil)
			si.front.Budget.Ratio, si.front.Budget.Slack = 0, 0
		},
		"another group that refuses":        func(si *silence) { si.addGroup(always(emulator.Refuses)) },
		"another group that fails":          func(si *silence) { si.addGroup(always(emulator.Fails)) },
		"another group that drops requests": func(si *silence) { si.addGroup(always(emulator.DropsResponse)) },
		"another group that hangs":          func(si *silence) { si.addGroup(always(emulator.Hangs)) },
		"another group that crashes": func(si *silence) {
			sv := si.addGroup(always(emulator.Truncates))
			sv.Stop()
		},
	}
	for name, prepare := range beside {
		for _, removed := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", silent group removed from the view: ", removed), func(t *testing.T) {
				t.Parallel()
				si := beginSilence(t, "/draft/x", 0)
				prepare(si)
				if removed {
					si.removeFirst()
				}
				si.detect(silentFor)
				close(si.first.Resume)
				si.checkComplete()
			})
		}
	}
}

// Guards against giving up a request without a response because its group is silent before the first
// event and no other group can take over.
func TestRequestOutlivesSilenceBeforeFirstEvent(t *testing.T) {
	si := &silence{rig: newRig(t), results: make(chan result, 1)}
	si.first = si.addGroup(always(emulator.Pauses))
	si.first.Resume = make(chan struct{})
	// A stream of two events pauses before the first one.
	go func() {
		si.results <- si.send("/draft/x", "id", func(req *http.Request) { req.Header.Set(platform.HeaderTokens, "100,14") })
	}()
	si.eventually("the request", func() bool { return len(si.first.Runs()) == 1 })
	si.removeFirst()
	si.detect(silentFor)
	close(si.first.Resume)
	re := <-si.results
	if want := emulator.Event("id", 1) + emulator.Event("id", 2); re.status != http.StatusOK || re.err != nil || re.body != want {
		t.Errorf("status %d, error %v, body %q, want 200 and the complete stream", re.status, re.err, re.body)
	}
}

// Guards against waiting for a silent group while another one can take over.
func TestStreamMovesFromSilentGroup(t *testing.T) {
	si := beginSilence(t, "/draft/x", 0)
	si.addGroup(nil)
	si.detect(silentFor)
	si.checkComplete()
	if num := si.runs("id"); num != 2 {
		t.Errorf("ran %d times, want 2", num)
	}
	si.eventually("the end of the first attempt", func() bool { return si.table.Requests(false) == 0 })
}

// The silent group goes on at about the time at which another one takes over. Guards against joining
// events of both runs, and against losing or repeating events.
func TestSilentGroupGoesOnAtTakeover(t *testing.T) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rnd := rand.New(rand.NewPCG(seed, 0))
			si := beginSilence(t, "/draft/x", 0)
			si.addGroup(nil).EventInterval = time.Duration(rnd.IntN(2000)) * time.Microsecond
			time.AfterFunc(time.Duration(rnd.IntN(4000))*time.Microsecond, func() { close(si.first.Resume) })
			si.detect(10 * time.Millisecond)
			si.checkComplete()
		})
	}
}

// Guards against trying another group for a stream that must not run twice.
func TestUnresumableStreamStaysAtSilentGroup(t *testing.T) {
	si := beginSilence(t, "/once/x", 0)
	si.addGroup(nil)
	si.detect(silentFor)
	close(si.first.Resume)
	si.checkComplete()
	if num := si.runs("id"); num != 1 {
		t.Errorf("ran %d times, want 1", num)
	}
}

// Guards against endpoints that work for a caller that has left: both attempts must end with it.
func TestBothAttemptsEndWithCaller(t *testing.T) {
	si := beginSilence(t, "/draft/x", 0)
	si.addGroup(always(emulator.Hangs))
	si.detect(silentFor)
	if num := si.table.Requests(false); num != 2 {
		t.Errorf("%d attempts during the silence, want 2", num)
	}
	si.hs.CloseClientConnections()
	<-si.results
	si.eventually("the end of both attempts", func() bool { return si.table.Requests(false) == 0 })
}

// A silent group goes on, and is dissolved for its silence right after. Guards against closing the
// caller's connection because the standby was canceled by the first event.
func TestSilentGroupGoesOnAndBreaks(t *testing.T) {
	si := beginSilence(t, "/draft/x", 50*time.Millisecond)
	other := si.addGroup(nil)
	other.EventInterval = 20 * time.Millisecond
	si.table.MarkBroken("group-"+si.first.ID, time.Now())
	si.eventually("the standby", func() bool { return len(other.Runs()) == 1 })
	received := si.receivedBytes.Load()
	close(si.first.Resume)
	si.eventually("another event", func() bool { return si.receivedBytes.Load() > received })
	si.first.Stop()
	si.checkComplete()
}
