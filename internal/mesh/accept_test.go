package mesh

import (
	"testing"
	"time"
)

// Guards against a daemon that the others ignore for ever since its machine's clock was set back
// before it restarted, and against heartbeats of the old process that count after those of the new.
func TestAcceptAfterClockStep(t *testing.T) {
	cr := newTestMesh(1)
	accept := func(started int64, number uint64) bool {
		return cr.Accept(Heartbeat{IP: peerIP(0), Started: started, Number: number})
	}
	steps := []struct {
		name    string
		pause   time.Duration
		started int64
		number  uint64
		want    bool
	}{
		{"first process", 0, 2000, 5, true},
		{"late heartbeat", 0, 2000, 4, false},
		{"earlier start while the first process is heard", 0, 1000, 1, false},
		{"restarted after its clock was set back", time.Minute, 1000, 1, true},
		{"its next heartbeat", 0, 1000, 2, true},
		{"restarted with the right clock", 0, 3000, 1, true},
		{"late heartbeat of the process before", 0, 1000, 3, false},
	}
	for _, st := range steps {
		cr.clock.Advance(st.pause)
		if got := accept(st.started, st.number); got != st.want {
			t.Errorf("%s: accepted %t, want %t", st.name, got, st.want)
		}
	}
}
