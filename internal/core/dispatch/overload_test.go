package dispatch

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// slotSim simulates many daemons that send requests to the same groups and receive each other's load
// reports with a delay. A group runs as many requests at once as it has slots, in order of arrival,
// for exponentially distributed times.
type slotSim struct {
	rnd     *rand.Rand
	now     time.Time
	daemons []*Table
	groups  map[string]*slotQueue
	list    []catalog.Group
	// names lists the group names in order, so that a seed gives the same run each time.
	names []string
	// reportLatency is the delivery time of a report.
	reportLatency time.Duration
	// reports holds the reports in transit.
	reports []delayedReport
	// inTime counts the requests that started within their objective, late those that started later,
	// refused the first attempts without a group, sent all requests with one, and refusedTwice the
	// retries without one.
	inTime, late, refused, sent, refusedTwice int
	// retryRefused makes callers whose first attempt was refused retry once, after the time that
	// retryDelay returns, or after slotSimRetryDelay if it is nil. retries holds the retry times in
	// order.
	retryRefused bool
	retryDelay   func(Choice) time.Duration
	retries      []slotSimRetry
}

// slotSimRetry is a retry with the time that its caller will have waited.
type slotSimRetry struct {
	at     time.Time
	waited time.Duration
}

// delayedReport is a daemon's load report and its time of delivery.
type delayedReport struct {
	at   time.Time
	from int
	work Work
}

// slotQueue simulates a group: the running requests with their end times, and the waiting ones.
type slotQueue struct {
	slots   int
	running []runningRequest
	waiting []waitingRequest
}

type runningRequest struct {
	until  time.Time
	ticket *Ticket
}

type waitingRequest struct {
	since  time.Time
	ticket *Ticket
	// retry is set for a request whose caller was refused before.
	retry bool
}

const (
	slotSimStep = 5 * time.Millisecond
	// slotSimReportInterval is the interval between a daemon's load reports.
	slotSimReportInterval = 100 * time.Millisecond
	// slotSimLatency is the delivery time of direct reports, slotSimRelayLatency that of reports
	// relayed by one daemon.
	slotSimLatency      = 30 * time.Millisecond
	slotSimRelayLatency = 80 * time.Millisecond
	// slotSimMaxWait is the longest wait for a slot with which a request is in time.
	slotSimMaxWait = 120 * time.Millisecond
	// slotSimRetryDelay is the time from a refusal to the retry.
	slotSimRetryDelay = 1250 * time.Millisecond
	// slotSimTimeout is the callers' timeout from their first attempt.
	slotSimTimeout = 7 * time.Second
)

func newSlotSim(seed uint64, daemons, groups int) *slotSim {
	cw := &slotSim{rnd: rand.New(rand.NewPCG(seed, 3)), now: begin, reportLatency: slotSimLatency, groups: make(map[string]*slotQueue)}
	for range daemons {
		ta := table()
		ta.Rand = cw.rnd
		cw.daemons = append(cw.daemons, ta)
	}
	for i := range groups {
		cw.form(fmt.Sprint("group-", i))
	}
	return cw
}

// form adds a group, which appears in the views of all daemons at once.
func (cw *slotSim) form(name string) {
	cw.list = append(cw.list, group(name, "here"))
	cw.names = append(cw.names, name)
	cw.groups[name] = &slotQueue{slots: engine().Slots}
	for _, ta := range cw.daemons {
		update(ta, cw.now, cw.list...)
	}
}

// breakGroup removes a group. All daemons get the new view at once and move its streams.
func (cw *slotSim) breakGroup(name string) {
	broken := cw.groups[name]
	delete(cw.groups, name)
	cw.names = slices.DeleteFunc(cw.names, func(nm string) bool { return nm == name })
	cw.list = slices.DeleteFunc(cw.list, func(gr catalog.Group) bool { return gr.Name == name })
	for _, ta := range cw.daemons {
		update(ta, cw.now, cw.list...)
	}
	for _, rr := range broken.running {
		ti := rr.ticket
		ne := slotSimRequest()
		ne.Resumed, ne.Exclude = true, []*Group{ti.Group}
		ch, moved := ti.ta.Pick(ne, ignore, cw.now)
		ti.End()
		if moved != nil {
			gr := cw.groups[ch.Group.Name]
			gr.waiting = append(gr.waiting, waitingRequest{cw.now, moved, false})
		}
	}
}

// size returns the number of running and waiting requests.
func (sq *slotQueue) size() int { return len(sq.running) + len(sq.waiting) }

// meanServiceTime returns the mean time that a request occupies a slot.
func (cw *slotSim) meanServiceTime() time.Duration {
	return answerTime(engine(), Load{Requests: engine().Slots}, 1)
}

// capacity returns the number of requests per second that all groups can serve.
func (cw *slotSim) capacity() float64 {
	return float64(len(cw.groups)*engine().Slots) / cw.meanServiceTime().Seconds()
}

// simulate advances the simulation by dur while requests arrive at the given rate per second.
func (cw *slotSim) simulate(perSecond float64, dur time.Duration) {
	for _, ta := range cw.daemons {
		ta.SetReportDelay(slotSimReportInterval/2 + cw.reportLatency)
	}
	due := 0.0
	for end := cw.now.Add(dur); cw.now.Before(end); cw.now = cw.now.Add(slotSimStep) {
		for due += perSecond * slotSimStep.Seconds(); due >= 1; due-- {
			cw.arrive(0)
		}
		for len(cw.retries) > 0 && !cw.retries[0].at.After(cw.now) {
			waited := cw.retries[0].waited
			cw.retries = cw.retries[1:]
			cw.arrive(waited)
		}
		for _, name := range cw.names {
			cw.run(cw.groups[name])
		}
		cw.exchangeReports()
	}
}

func slotSimRequest() Request {
	return Request{Service: "engine", Model: "large", Prompt: 100, Objective: 200 * time.Millisecond,
		MaxPause: 200 * time.Millisecond, MaxWait: time.Second}
}

// arrive sends a request to a random daemon. waited is how long the caller of a retry has waited, 0
// for a first attempt.
func (cw *slotSim) arrive(waited time.Duration) {
	ta := cw.daemons[cw.rnd.IntN(len(cw.daemons))]
	ne, retry := slotSimRequest(), waited > 0
	ne.Objective -= waited
	ne.Waited, ne.Left = waited, slotSimTimeout-waited
	ch, ti := ta.Pick(ne, ignore, cw.now)
	switch {
	case ti != nil:
		cw.sent++
		gr := cw.groups[ch.Group.Name]
		gr.waiting = append(gr.waiting, waitingRequest{cw.now, ti, retry})
	case retry:
		cw.refusedTwice++
	default:
		cw.refused++
		if cw.retryRefused {
			cw.retryAfter(ch)
		}
	}
}

// retryAfter schedules the retry of a refused caller.
func (cw *slotSim) retryAfter(ch Choice) {
	delay := slotSimRetryDelay
	if cw.retryDelay != nil {
		delay = cw.retryDelay(ch)
	}
	re := slotSimRetry{cw.now.Add(delay), delay}
	at, _ := slices.BinarySearchFunc(cw.retries, re, func(one, other slotSimRetry) int {
		// Retries at the same time stay in the order of the refusals.
		return cmp.Or(one.at.Compare(other.at), -1)
	})
	cw.retries = slices.Insert(cw.retries, at, re)
}

// run ends the requests that are done and starts waiting ones in their slots.
func (cw *slotSim) run(gr *slotQueue) {
	still := gr.running[:0]
	for _, rr := range gr.running {
		if rr.until.After(cw.now) {
			still = append(still, rr)
			continue
		}
		rr.ticket.EndAt(cw.now)
	}
	gr.running = still
	for len(gr.running) < gr.slots && len(gr.waiting) > 0 {
		wr := gr.waiting[0]
		gr.waiting = gr.waiting[1:]
		if !wr.retry && cw.now.Sub(wr.since) <= slotSimMaxWait {
			cw.inTime++
		} else {
			cw.late++
		}
		duration := time.Duration(float64(cw.meanServiceTime()) * cw.rnd.ExpFloat64())
		gr.running = append(gr.running, runningRequest{cw.now.Add(duration), wr.ticket})
	}
}

// exchangeReports makes each daemon send its periodic load report and delivers the reports that are
// due.
func (cw *slotSim) exchangeReports() {
	for i, ta := range cw.daemons {
		if cw.now.Sub(begin)/slotSimStep%(slotSimReportInterval/slotSimStep) == time.Duration(i)%(slotSimReportInterval/slotSimStep) {
			cw.reports = append(cw.reports, delayedReport{cw.now.Add(cw.reportLatency), i, ta.OwnWork(cw.now)})
		}
	}
	for len(cw.reports) > 0 && !cw.reports[0].at.After(cw.now) {
		dr := cw.reports[0]
		cw.reports = cw.reports[1:]
		for i, ta := range cw.daemons {
			if i != dr.from {
				ta.ApplyPeerWork(fmt.Sprint(dr.from), dr.work, dr.at)
			}
		}
	}
}

// Many daemons with stale load reports receive more requests than the groups can serve. Guards
// against all of them sending to the groups with the lowest reported load, which get several times
// their capacity while others are idle. Selecting the better of two random groups by reported load
// serves 0.65, 0.39, 0.28 and 0.21 of the capacity in time at 1, 1.4, 2 and 3 times the load;
// filling groups to their last slot serves 0.79. The present algorithm serves 0.88 to 0.94 at all of
// these loads; the test requires 0.82.
func TestOverloadThroughManyDaemons(t *testing.T) {
	for _, times := range []float64{1, 1.4, 2, 3} {
		t.Run(fmt.Sprint(times), func(t *testing.T) {
			cw := newSlotSim(1, 40, 12)
			cw.simulate(times*cw.capacity(), 5*time.Second)
			before, sent := cw.inTime, cw.sent
			const span = 10 * time.Second
			cw.simulate(times*cw.capacity(), span)
			served := float64(cw.inTime-before) / span.Seconds() / cw.capacity()
			t.Logf("load %.1f times the capacity: %.2f of the capacity served in time, %.2f sent", times, served,
				float64(cw.sent-sent)/span.Seconds()/cw.capacity())
			if served < 0.82 {
				t.Errorf("%.2f of the capacity served in time, want at least 0.82", served)
			}
		})
	}
}

// The groups receive more requests than they can serve, and refused callers retry once. Only first
// attempts can be in time, so they take precedence, and retries get the remaining capacity. Treating
// both alike serves about 0.5 of the capacity in time.
func TestFirstAttemptsTakePrecedence(t *testing.T) {
	for _, times := range []float64{1.2, 1.5, 2} {
		t.Run(fmt.Sprint(times), func(t *testing.T) {
			cw := newSlotSim(1, 40, 12)
			cw.retryRefused = true
			cw.simulate(times*cw.capacity(), 5*time.Second)
			inTime, late, refusedTwice := cw.inTime, cw.late, cw.refusedTwice
			const span = 10 * time.Second
			cw.simulate(times*cw.capacity(), span)
			part := func(num int) float64 { return float64(num) / span.Seconds() / cw.capacity() }
			t.Logf("load %.1f times the capacity: %.2f of the capacity served in time, %.2f late, %.2f refused twice", times,
				part(cw.inTime-inTime), part(cw.late-late), part(cw.refusedTwice-refusedTwice))
			if part(cw.inTime-inTime) < 0.75 {
				t.Errorf("%.2f of the capacity served in time, want at least 0.75", part(cw.inTime-inTime))
			}
		})
	}
}

// A group is formed while the others are three quarters full, and every daemon sees an empty group.
// Guards against each daemon filling it by itself until it has received the reports of the others,
// which gives the group half more requests than the others have.
func TestNewGroupIsNotFlooded(t *testing.T) {
	worst := 0
	for seed := range uint64(10) {
		cw := newSlotSim(seed, 40, 12)
		cw.reportLatency = slotSimRelayLatency
		cw.simulate(0.75*cw.capacity(), 4*time.Second)
		cw.form("group-new")
		for range 30 {
			cw.simulate(0.75*cw.capacity(), 20*time.Millisecond)
			worst = max(worst, cw.groups["group-new"].size())
		}
	}
	t.Logf("at most %d requests at the new group", worst)
	if worst > engine().Slots {
		t.Errorf("%d requests at the new group, want at most its %d slots", worst, engine().Slots)
	}
}

// A group breaks, and all daemons move its streams at the same time while they see the same
// least-loaded group, one that was formed just before. Guards against all of them selecting it: it
// would prefill the prompts of a whole group at once, and its own requests would wait.
func TestStreamsOfBrokenGroupAreSpread(t *testing.T) {
	worst := 0
	for seed := range uint64(10) {
		cw := newSlotSim(seed, 40, 8)
		cw.reportLatency = slotSimRelayLatency
		cw.simulate(0.5*cw.capacity(), 4*time.Second)
		cw.form("group-new")
		cw.simulate(0.5*cw.capacity(), 100*time.Millisecond)
		before := make(map[string]int)
		for name, gr := range cw.groups {
			before[name] = gr.size()
		}
		cw.breakGroup("group-0")
		for name, gr := range cw.groups {
			worst = max(worst, gr.size()-before[name])
		}
	}
	t.Logf("at most %d streams moved to one group", worst)
	if worst > 10 {
		t.Errorf("%d streams moved from the broken group to one other, want at most 10", worst)
	}
}

// Checks that at half of the groups' capacity almost no request is refused because of the estimated
// requests of other daemons.
func TestNoRefusalsAtHalfLoad(t *testing.T) {
	cw := newSlotSim(2, 40, 12)
	cw.simulate(0.5*cw.capacity(), 10*time.Second)
	if cw.refused*200 > cw.sent {
		t.Errorf("%d of %d requests were refused at half of the capacity, want at most 1 for 200 sent", cw.refused, cw.refused+cw.sent)
	}
}

// The configuration states no times for an engine. Checks that requests are sent up to the number of
// slots, and that no NaN or infinity affects the selection.
func TestEngineWithoutTimes(t *testing.T) {
	ta := &Table{}
	ta.Update(&catalog.View{Groups: []catalog.Group{group("a", "here"), group("b", "there")}},
		&catalog.Config{Services: map[string]catalog.Service{"engine": {Engine: &catalog.Engine{Slots: 2, Stride: 1}}}}, begin)
	for i := range 4 {
		if _, ti := ta.Pick(testRequest(), ignore, begin); ti == nil {
			t.Fatalf("request %d of 4 was refused by groups with 4 slots", i+1)
		}
	}
	if _, ti := ta.Pick(testRequest(), ignore, begin); ti != nil {
		t.Error("a fifth request was sent to groups with 4 slots")
	}
}

func TestFill(t *testing.T) {
	tests := []struct {
		name     string
		groups   []level
		requests float64
		shares   []float64
		left     float64
	}{
		{"to the emptiest", []level{{2, 10}, {5, 10}}, 2, []float64{2, 0}, 0},
		{"to a common level", []level{{2, 10}, {5, 10}}, 5, []float64{4, 1}, 0},
		{"what one has no room for goes to the other", []level{{2, 3}, {5, 10}}, 4, []float64{1, 3}, 0},
		{"no room", []level{{2, 4}, {9, 10}, {12, 10}}, 6, []float64{2, 1, 0}, 3},
		{"no groups", nil, 2, []float64{}, 2},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			shares, left := fill(tc.groups, tc.requests)
			if fmt.Sprint(shares) != fmt.Sprint(tc.shares) || left != tc.left {
				t.Errorf("shares %v, left %v; want %v and %v", shares, left, tc.shares, tc.left)
			}
		})
	}
}
