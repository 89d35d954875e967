package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"
)

// burstResult counts the requests of a simulated burst as shares of all first attempts.
type burstResult struct{ refused, refusedTwice, inTime, late float64 }

// burst simulates daemons that receive 0.6 times the capacity, 1.7 times the capacity for three
// seconds, and 0.6 again, with callers that retry once.
func burst(seed uint64, daemons int, schedule bool, delay func(cw *slotSim, ch Choice) time.Duration) burstResult {
	cw := newSlotSim(seed, daemons, 12)
	for _, ta := range cw.daemons {
		ta.ScheduleReturns = schedule
		ta.SetDaemonCount(daemons)
	}
	cw.retryRefused = true
	cw.retryDelay = func(ch Choice) time.Duration { return delay(cw, ch) }
	for _, ph := range []struct {
		times float64
		dur   time.Duration
	}{{0.6, 3 * time.Second}, {1.7, 3 * time.Second}, {0.6, 6 * time.Second}} {
		cw.simulate(ph.times*cw.capacity(), ph.dur)
	}
	all := (0.6*9 + 1.7*3) * cw.capacity()
	return burstResult{float64(cw.refused) / all, float64(cw.refusedTwice) / all, float64(cw.inTime) / all, float64(cw.late) / all}
}

// Guards against callers that return while the groups are still full, and against returns that
// displace first attempts: with scheduled returns, fewer requests are refused twice than with the
// fixed delay of 1 s, with or without jitter, and nearly as many first attempts are in time.
func TestBurstWithScheduledReturns(t *testing.T) {
	const daemons, seeds = 60, 2
	mean := func(schedule bool, delay func(cw *slotSim, ch Choice) time.Duration) (sum burstResult) {
		for seed := range uint64(seeds) {
			re := burst(seed+1, daemons, schedule, delay)
			sum.refused += re.refused / seeds
			sum.refusedTwice += re.refusedTwice / seeds
			sum.inTime += re.inTime / seeds
			sum.late += re.late / seeds
		}
		return sum
	}
	fixed := mean(false, func(*slotSim, Choice) time.Duration { return retryFull })
	jitter := mean(false, func(cw *slotSim, _ Choice) time.Duration { return scale(retryFull, 1+0.5*cw.rnd.Float64()) })
	scheduled := mean(true, func(_ *slotSim, ch Choice) time.Duration { return ch.RetryAfter })
	t.Logf("refused, refused twice, in time, late: fixed delay %.3f, with jitter %.3f, scheduled %.3f", fixed, jitter, scheduled)
	if most := 0.85 * min(fixed.refusedTwice, jitter.refusedTwice); scheduled.refusedTwice > most {
		t.Errorf("%.3f of the requests refused twice, want at most %.3f", scheduled.refusedTwice, most)
	}
	if least := jitter.inTime - 0.02; scheduled.inTime < least {
		t.Errorf("%.3f of the requests in time, want at least %.3f", scheduled.inTime, least)
	}
}

// All daemons were lost, and callers that have waited return at once to daemons whose calendars are
// empty. Guards against returns that displace new requests, which would be late, or that are all
// refused.
func TestBacklogWithScheduledReturns(t *testing.T) {
	const seeds = 2
	var late, lost [2]float64
	for i, schedule := range []bool{false, true} {
		for seed := range uint64(seeds) {
			pw := simulateBacklog(seed, true, schedule)
			late[i] += pw.missedFraction() / seeds
			lost[i] += (1 - float64(pw.late.complete)/float64(pw.late.sent)) / seeds
		}
	}
	t.Logf("new requests late %.3f, with scheduled returns %.3f; backlog not answered %.3f and %.3f", late[0], late[1], lost[0], lost[1])
	if late[1] > late[0]+0.01 || lost[1] > lost[0]+0.01 {
		t.Errorf("%.3f of the new requests late and %.3f of the backlog not answered, want at most %.3f and %.3f", late[1], lost[1], late[0], lost[0])
	}
}

// returningRequest returns a request whose caller has waited that long.
func returningRequest(waited time.Duration) Request {
	ne := testRequest()
	ne.Objective, ne.Waited, ne.Left = ne.Objective-waited, waited, 6*time.Second
	return ne
}

// Guards against precedence for callers that return early, for more returns than were promised, and
// for promises beyond the free capacity, as of daemons that know an outdated number of daemons.
func TestPrecedenceOfReturns(t *testing.T) {
	const early, kept = 600 * time.Millisecond, 1100 * time.Millisecond
	tests := []struct {
		name     string
		waited   time.Duration
		peers    Returns
		schedule bool
		// least and most bound the mean fraction of the slots that are held back.
		least, most float64
	}{
		{"off", kept, Returns{Due: 5, Came: 5}, false, lateReserve, lateReserve},
		{"early", early, Returns{Due: 5, Came: 5}, true, lateReserve, lateReserve},
		{"kept", kept, Returns{Due: 5, Came: 3}, true, 0, 0},
		{"twice as many as promised", kept, Returns{Due: 5, Came: 9}, true, 0.4 * unreservedLate * lateReserve, 0.6 * unreservedLate * lateReserve},
		{"none promised", kept, Returns{Came: 5}, true, unreservedLate * lateReserve, unreservedLate * lateReserve},
		{"first attempt", 0, Returns{Due: 5, Came: 5}, true, 0.001, lateReserve},
		{"first attempt, too many promised", 0, Returns{Due: 1e6}, true, 0.001, lateReserve},
		{"first attempt, none promised", 0, Returns{}, true, 0, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			const tries = 4000
			mean := 0.0
			for i := range uint64(tries) {
				ta := table(group("one", "here"))
				ta.Rand = rand.New(rand.NewPCG(1, i))
				ta.ScheduleReturns = tc.schedule
				ta.ApplyPeerWork("peer", Work{Returns: map[string]Returns{"large": tc.peers}}, begin)
				mean += ta.reserve(returningRequest(tc.waited), begin) / tries
			}
			if tolerance := 1e-9; mean < tc.least-tolerance || mean > tc.most+tolerance {
				t.Errorf("%.4f of the slots held back, want %.4f to %.4f", mean, tc.least, tc.most)
			}
		})
	}
	ta := table(group("one", "here"))
	ta.ApplyPeerWork("peer", Work{Rates: map[string]float32{"large": 15}, Returns: map[string]Returns{"large": {Due: 1e6}}}, begin)
	if re := ta.dueReturns("large", 20, begin); re.Due != 20-15 {
		t.Errorf("%.1f returns per second honoured, want the 5 that are free", re.Due)
	}
}

// Guards against delays that exceed a third of the time left, and against a fixed delay without jitter
// for callers that have too little time for a schedule.
func TestDelayOfRefusedRequests(t *testing.T) {
	tests := []struct {
		name            string
		left, waited    time.Duration
		schedule, exact bool
	}{
		{"off", 6 * time.Second, 0, false, false},
		{"scheduled", 6 * time.Second, 0, true, true},
		{"returned before", 4500 * time.Millisecond, 1500 * time.Millisecond, true, true},
		{"too little time", 2900 * time.Millisecond, 0, true, false},
		{"unknown time", 0, 0, true, false},
	}
	for _, tc := range tests {
		ta := table(group("one", "here"))
		ta.ScheduleReturns = tc.schedule
		for ti := new(Ticket); ti != nil; {
			_, ti = ta.Pick(Request{Service: "engine", Model: "large", Resumed: true, MaxWait: time.Hour, MaxPause: time.Hour, Objective: time.Hour}, ignore, begin)
		}
		ne := returningRequest(tc.waited)
		ne.Left = tc.left
		ch, _ := ta.Pick(ne, ignore, begin)
		if ch.Scheduled != tc.exact || ch.RetryAfter < retryFull || tc.exact && ch.RetryAfter > tc.left/maxWaitDivisor {
			t.Errorf("%s: delay %v, scheduled %v", tc.name, ch.RetryAfter, ch.Scheduled)
		}
	}
}

// Guards against returns that are counted twice or lost when the steward relays them, and against
// those of a daemon that is gone.
func TestRelayedReturns(t *testing.T) {
	ta := table(group("one", "here"))
	ta.ScheduleReturns = true
	ta.ApplyPeerWork("one", Work{Returns: map[string]Returns{"large": {Due: 3, Came: 1}}}, begin)
	ta.ApplyPeerWork("two", Work{Returns: map[string]Returns{"large": {Due: 4}}}, begin)
	ta.calendar.RecordReturn("large", begin)
	if got, want := ta.WorkExcept("two", begin).Returns["large"], (Returns{Due: 3, Came: 2}); got != want {
		t.Errorf("relayed returns %v, want %v", got, want)
	}
	ta.ApplyRelayedWork(Work{Returns: map[string]Returns{"large": {Due: 5}}}, begin)
	if got, want := ta.dueReturns("large", 100, begin), (Returns{Due: 5, Came: 1}); got != want {
		t.Errorf("returns %v, want %v", got, want)
	}
	if got, want := ta.Returns(begin), (Returns{Due: 5, Came: 1}); got != want {
		t.Errorf("returns of all models %v, want %v", got, want)
	}
	ta.ApplyPeerWork("two", Work{}, begin.Add(2*maxPeerLoadAge))
	if got := ta.dueReturns("large", 100, begin.Add(2*maxPeerLoadAge)).Due; got != 0 {
		t.Errorf("%.1f returns due after their reports expired, want 0", got)
	}
}

// Guards against slots that are held back for returns of nobody: of requests that are passed to Pick
// again, that wait for a slot, or whose caller already receives a stream; and against counting the
// first ones several times.
func TestNoReturnOfUnfinishedRequests(t *testing.T) {
	ta, _ := waitingTable(t)
	ta.ScheduleReturns = true
	waits, polled, resumed := slotSimRequest(), slotSimRequest(), slotSimRequest()
	waits.Wake = func() {}
	polled.Polled, polled.Repeated, resumed.Resumed = true, true, true
	counted := ta.OwnWork(begin)
	var waiter *Waiter
	for _, ne := range []Request{polled, resumed, waits} {
		ne.Left = 6 * time.Second
		ch, ti := ta.Pick(ne, ignore, begin)
		if ti != nil || ch.Scheduled {
			t.Errorf("%+v got %+v, want a refusal without a scheduled return", ne, ch)
		}
		waiter = ch.Waiter
	}
	if due, _ := ta.calendar.Due("large", begin.Add(1500*time.Millisecond)); due != 0 {
		t.Errorf("%.2f returns promised, want none", due)
	}
	again := returningRequest(1100 * time.Millisecond)
	again.Repeated = true
	ta.Pick(again, ignore, begin)
	if _, came := ta.calendar.Due("large", begin); came != 0 {
		t.Errorf("%.0f returns counted again", came)
	}
	// One request, the one that waits, has arrived.
	arrived := ta.OwnWork(begin).Ranks["large"][0].Offered - counted.Ranks["large"][0].Offered
	if one := float32(1 / rankTimeConstant.Seconds()); arrived > 1.01*one {
		t.Errorf("%.1f requests counted, want 1", arrived/one)
	}
	// The wait ends after 300 ms without a slot.
	ta.EndWait(waiter)
	if ch := ta.RefuseWaiter(waiter, begin.Add(300*time.Millisecond)); !ch.Scheduled || ch.RetryAfter > 1900*time.Millisecond {
		t.Errorf("refusal %+v, want a return within a third of the 5.7 s left", ch)
	}
}
