package dispatch

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/internal/core/occupancy"
)

// faultSim is a passSim of many daemons whose reports go through the first one, as through a steward,
// with Poisson arrivals and requests that the reports do not contain.
type faultSim struct {
	*passSim
	// readings makes the groups state their load with the first event of a request.
	readings bool
	// runOn is the fraction of requests that their daemon ends early while the group runs them on.
	runOn float64
	// transit holds the messages between daemons, by time of delivery.
	transit []delivery
	// uncorrected and corrected are the absolute errors of the estimates at the choice, overfull counts
	// the choices of a group with all slots in use while another had ten free, and most is the highest
	// number of requests at a group.
	uncorrected, corrected []float64
	overfull, most         int
}

type delivery struct {
	at    time.Time
	apply func()
}

func newFaultSim(seed uint64, daemons, groups int) *faultSim {
	fs := &faultSim{passSim: newPassSim(seed, daemons, groups)}
	for i, ta := range fs.daemons {
		fs.connect(i, ta)
	}
	return fs
}

// connect sets the delay of a daemon's reports: the steward gets them directly.
func (fs *faultSim) connect(i int, ta *Table) {
	ta.SetReportDelay(150 * time.Millisecond)
	if i == 0 {
		ta.SetReportDelay(80 * time.Millisecond)
	}
}

// kill replaces a daemon by one that has just started. Its requests run on at the groups.
func (fs *faultSim) kill(i int) {
	ta := &Table{DataCenter: "here", Rand: fs.rnd}
	fs.update(ta)
	fs.connect(i, ta)
	ta.SetDaemonCount(len(fs.daemons))
	fs.daemons[i] = ta
}

// run advances the simulation by dur with Poisson arrivals at the given rate per second.
func (fs *faultSim) run(perSecond float64, dur time.Duration) {
	next := fs.now
	for end := fs.now.Add(dur); fs.now.Before(end); fs.now = fs.now.Add(passStep) {
		for !next.After(fs.now) {
			next = next.Add(time.Duration(fs.rnd.ExpFloat64() / perSecond * float64(time.Second)))
			fs.choose(fs.request(0))
		}
		for _, name := range fs.names {
			fs.advanceGroup(name)
		}
		fs.exchange()
	}
}

// choose sends a request and records the error of the estimates on which the choice was made.
func (fs *faultSim) choose(rq *passRequest) {
	free := 0
	for _, gr := range fs.groups {
		free = max(free, fs.engine.Slots-len(gr.decoding)-len(gr.waiting))
	}
	ch, ti := rq.ta.Pick(fs.dispatchRequest(rq), ignore, fs.now)
	fs.fresh.sent++
	if ti == nil {
		fs.fresh.refused++
		return
	}
	gr := fs.groups[ch.Group.Name]
	size := len(gr.decoding) + len(gr.waiting)
	fs.corrected = append(fs.corrected, math.Abs(ch.Running-float64(size)))
	fs.uncorrected = append(fs.uncorrected, math.Abs(ch.Running-ch.Correction-float64(size)))
	if size >= fs.engine.Slots && free >= 10 {
		fs.overfull++
	}
	rq.ticket, rq.sent, rq.predicted = ti, fs.now, ch.FirstEvent
	gr.waiting = append(gr.waiting, rq)
	fs.most = max(fs.most, size+1)
}

// advanceGroup advances a group, states its load with first events, and makes daemons lose requests.
func (fs *faultSim) advanceGroup(name string) {
	gr := fs.groups[name]
	due := !gr.until.After(fs.now)
	before := slices.Clone(gr.decoding)
	fs.advance(gr)
	if !due {
		return
	}
	for _, rq := range before {
		if rq.events == 1 && fs.readings {
			re := occupancy.Reading{Running: len(gr.decoding), Waiting: len(gr.waiting), Slots: fs.engine.Slots}
			rq.ta.ApplyReading(rq.ticket.Group.leader(), re, false, fs.now)
		}
		if rq.events == 2 && fs.rnd.Float64() < fs.runOn {
			rq.ticket.End()
		}
	}
}

// exchange makes each daemon report its work to the first one, and that one relay the sums to each
// other daemon, with intervals as of the mesh.
func (fs *faultSim) exchange() {
	tick := fs.now.Sub(begin) / passStep
	send := func(apply func()) {
		latency := time.Duration(10+fs.rnd.IntN(50)) * time.Millisecond
		fs.transit = append(fs.transit, delivery{fs.now.Add(latency), apply})
	}
	for i, ta := range fs.daemons[1:] {
		if tick%50 == time.Duration(i)%50 {
			wo, from := ta.OwnWork(fs.now), fmt.Sprint(i+1)
			send(func() { fs.daemons[0].ApplyPeerWork(from, wo, fs.now) })
		}
		if tick%40 == time.Duration(i)%40 {
			wo, to := fs.daemons[0].WorkExcept(fmt.Sprint(i+1), fs.now), i+1
			send(func() { fs.daemons[to].ApplyRelayedWork(wo, fs.now) })
		}
	}
	fs.transit = slices.DeleteFunc(fs.transit, func(de delivery) bool {
		arrived := !de.at.After(fs.now)
		if arrived {
			de.apply()
		}
		return arrived
	})
}

// slowGroups makes the first groups slower by a factor.
func (fs *faultSim) slowGroups(num int, factor float64) {
	for _, name := range fs.names[:num] {
		fs.groups[name].slowness = factor
	}
}

// addUnknown adds requests that no daemon knows of.
func (fs *faultSim) addUnknown(names []string, num int) {
	for _, name := range names {
		for range num {
			rq := fs.request(0)
			rq.answer, rq.events = 370, 1
			rq.ticket = &Ticket{Group: rq.ta.groups[name], ta: rq.ta, done: true}
			fs.groups[name].waiting = append(fs.groups[name].waiting, rq)
		}
	}
}

// quantile returns the value below which the given part of the values is.
func quantile(values []float64, part float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(part*float64(len(sorted)-1))]
}

// measure advances the simulation and returns what was counted meanwhile.
func (fs *faultSim) measure(t *testing.T, step func()) (median, high, inTime float64) {
	fs.uncorrected, fs.corrected, fs.overfull, fs.most, fs.fresh = nil, nil, 0, 0, outcomes{}
	step()
	median, high, inTime = quantile(fs.corrected, 0.5), quantile(fs.corrected, 0.9), float64(fs.fresh.inTime)/float64(fs.fresh.sent)
	t.Logf("readings %v: error of the estimate at the choice %.1f (median) and %.1f (90th percentile), without the correction %.1f and %.1f; "+
		"%d of %d choices of a full group while another had room; at most %d requests at a group; %.3f in time, %d refused", fs.readings, median, high,
		quantile(fs.uncorrected, 0.5), quantile(fs.uncorrected, 0.9), fs.overfull, len(fs.corrected), fs.most, inTime, fs.fresh.refused)
	return median, high, inTime
}

// Sixty daemons whose reports are 100 to 200 ms old send to 18 groups. First two groups get 40 requests
// each that no daemon knows of. Then daemons are killed while their requests run on, a tenth of the
// requests run on after their daemon has ended them, and three groups are slow. Guards against choosing
// full groups while others have room, against estimates that lack requests, and against a correction
// that makes all daemons send to the groups that read low.
func TestLoadEstimateUnderFaults(t *testing.T) {
	type result struct {
		overfull, most       int
		median, high, inTime float64
	}
	var results [2]result
	for i := range results {
		fs, re := newFaultSim(2, 60, 18), &results[i]
		fs.readings = i == 1
		fs.run(0.6*fs.capacity(), 3*time.Second)
		fs.addUnknown(fs.names[:2], 40)
		fs.run(0.6*fs.capacity(), 400*time.Millisecond)
		fs.measure(t, func() { fs.run(0.6*fs.capacity(), 2*time.Second) })
		re.overfull = fs.overfull
		fs.run(0.6*fs.capacity(), 3*time.Second)
		if num := len(fs.groups[fs.names[0]].decoding); num < 10 {
			t.Errorf("%d requests at a group after the unknown ones have ended, want it to be used again", num)
		}
		fs.run(fs.capacity(), 2*time.Second)
		fs.slowGroups(3, 1.5)
		fs.runOn = 0.1
		re.median, re.high, re.inTime = fs.measure(t, func() {
			for i := range 4 {
				fs.kill(7 + 3*i)
				fs.run(fs.capacity(), 2*time.Second)
			}
		})
		re.most = fs.most
	}
	base, got := results[0], results[1]
	if base.overfull < 20 || got.overfull > base.overfull/2 {
		t.Errorf("%d choices of a full group with readings, want at most half of the %d without, and those at least 20", got.overfull, base.overfull)
	}
	if got.median > 0.8*base.median || got.high > 0.9*base.high {
		t.Errorf("error %.1f and %.1f with readings, want at most 0.8 and 0.9 times those without, %.1f and %.1f", got.median, got.high, base.median, base.high)
	}
	if got.most > base.most+4 || got.inTime < base.inTime-0.01 {
		t.Errorf("at most %d requests at a group and %.3f in time, without readings %d and %.3f", got.most, got.inTime, base.most, base.inTime)
	}
}

// Guards against readings that say nothing about the group now, and against an estimate below this
// daemon's own requests.
func TestReadingFailures(t *testing.T) {
	leader := catalog.Instance{ID: "a-0", Incarnation: 5}
	shared := func(requests int, age time.Duration) map[string]occupancy.Shared {
		return map[string]occupancy.Shared{"a": {Requests: requests, AgeMillis: age.Milliseconds()}, "gone": {Requests: 9}}
	}
	tests := []struct {
		name  string
		apply func(ta *Table, now time.Time)
		want  bool
	}{
		{"valid", func(ta *Table, now time.Time) {
			ta.ApplyReading(leader, occupancy.Reading{Running: 20, Slots: 26}, false, now)
		}, true},
		{"shared", func(ta *Table, now time.Time) {
			ta.ApplyRelayedWork(Work{Readings: shared(20, 50*time.Millisecond)}, now)
		}, true},
		{"another incarnation", func(ta *Table, now time.Time) {
			ta.ApplyReading(catalog.Instance{ID: "a-0", Incarnation: 6}, occupancy.Reading{Running: 20, Slots: 26}, false, now)
		}, false},
		{"another server", func(ta *Table, now time.Time) {
			ta.ApplyReading(catalog.Instance{ID: "a-1"}, occupancy.Reading{Running: 20, Slots: 26}, false, now)
		}, false},
		{"stale", func(ta *Table, now time.Time) {
			ta.ApplyRelayedWork(Work{Readings: shared(20, 2100*time.Millisecond)}, now)
		}, false},
		{"negative", func(ta *Table, now time.Time) { ta.ApplyRelayedWork(Work{Readings: shared(-1, 0)}, now) }, false},
		{"negative age", func(ta *Table, now time.Time) { ta.ApplyRelayedWork(Work{Readings: shared(20, -time.Second)}, now) }, false},
	}
	for _, tc := range tests {
		cg := group("a", "here")
		cg.Members[0].Incarnation = leader.Incarnation
		ta := table(cg)
		ta.SetReportDelay(40 * time.Millisecond)
		now := begin
		ta.ApplyRelayedWork(Work{}, now)
		ta.readings = true
		for range 10 {
			now = now.Add(100 * time.Millisecond)
			tc.apply(ta, now)
			ta.ApplyRelayedWork(Work{}, now)
		}
		if got := ta.level(ta.groups["a"], now).load; (got > 5) != tc.want || got < 0 || got > 20 {
			t.Errorf("%s: estimate %.1f, want above 5 is %v", tc.name, got, tc.want)
		}
		if _, known := ta.OwnWork(now).Readings["a"]; known != (tc.name == "valid") {
			t.Errorf("%s: own reading is sent: %v", tc.name, known)
		}
		if got := len(ta.OwnWork(now.Add(occupancy.MaxAge + time.Millisecond)).Readings); got != 0 {
			t.Errorf("%s: %d expired readings are sent", tc.name, got)
		}
		// Readings are lost from now on.
		if got := ta.level(ta.groups["a"], now.Add(10*time.Second)).load; got > 0.5 {
			t.Errorf("%s: estimate %.1f 10 s after the last reading, want the correction gone", tc.name, got)
		}
	}
}

// A leader states fewer requests than this daemon has there. Checks that the estimate stays at these,
// and that a correction made without reports is dropped when the reports come.
func TestReadingsBounds(t *testing.T) {
	ta := table(group("a", "here"))
	ta.SetReportDelay(40 * time.Millisecond)
	gr, leader := ta.groups["a"], catalog.Instance{ID: "a-0"}
	for range 5 {
		ta.Pick(testRequest(), ignore, begin)
	}
	ta.ApplyReading(leader, occupancy.Reading{Running: 1, Slots: 26}, false, begin)
	if got := ta.level(gr, begin).load; got != 5 {
		t.Errorf("estimate %.1f with 5 own requests and a reading of 1, want 5", got)
	}
	now := begin.Add(10 * time.Millisecond)
	ta.ApplyReading(leader, occupancy.Reading{Running: 20, Waiting: 3, Slots: 26}, false, now)
	if got := ta.level(gr, now).load; got != 23 {
		t.Errorf("estimate %.1f of a daemon without reports, want the reading of 23", got)
	}
	ta.ApplyPeerWork("other", Work{Loads: map[string]Load{"a": {Requests: 18}}}, now)
	if got := ta.level(gr, now).load; got < 20 || got > 23 {
		t.Errorf("estimate %.1f after a report of 18 requests, want about 23", got)
	}
	// The daemon that reported is killed, its requests end, and its report expires.
	for last := now.Add(maxPeerLoadAge + time.Second); now.Before(last); now = now.Add(50 * time.Millisecond) {
		ta.ApplyPeerWork("third", Work{}, now)
		ta.ApplyReading(leader, occupancy.Reading{Running: 12, Slots: 26}, false, now)
		if got := ta.level(gr, now).load; now.Sub(begin) > maxPeerLoadAge/2 && (got < 10 || got > 14) {
			t.Errorf("estimate %.1f %v after the last report of a killed daemon, want the 12 of the readings", got, now.Sub(begin))
		}
	}
}

// Guards against ignoring what other daemons run at a plain endpoint, and against favouring the
// endpoints with the oldest readings.
func TestOthersAtPlainEndpoint(t *testing.T) {
	pl := &PlainTable{}
	pl.Update(&catalog.View{Plain: []catalog.PlainEndpoint{{ID: "p", Service: "desk"}, {ID: "q", Service: "desk"}, {ID: "r", Service: "desk"}}})
	pl.ApplyReading(catalog.Instance{ID: "p"}, occupancy.Reading{Running: 8, Waiting: 6, Slots: 8}, false, begin)
	pl.ApplyReading(catalog.Instance{ID: "q"}, occupancy.Reading{Running: 2, Slots: 8}, false, begin)
	if ep := pl.Pick("desk", nil, begin); ep.ID != "q" {
		t.Errorf("picked %s, want q with the fewest requests", ep.ID)
	}
	if own := pl.find(catalog.Instance{ID: "q"}); own.othersAt(0, begin) != 2 {
		t.Errorf("%.1f other requests at q, want the 2 of the reading", own.othersAt(0, begin))
	}
	picked := make(map[string]bool)
	for range 300 {
		ep := pl.Pick("desk", nil, begin.Add(occupancy.MaxAge+time.Millisecond))
		picked[ep.ID] = true
		pl.Release(ep)
	}
	if !picked["p"] || picked["q"] {
		t.Errorf("picked %v by expired readings, want p and r, which have no open request", picked)
	}
}
