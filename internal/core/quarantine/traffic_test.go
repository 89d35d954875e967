package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// traffic is a random series of requests through daemons to groups of endpoints, on a clock of its
// own.
type traffic struct {
	rnd *rand.Rand
	// ledgers are those of the daemons. If steward is set, reports go to the first one only, which
	// judges parts; otherwise to all.
	ledgers []*Ledger
	steward bool
	now     time.Time
	// fetchedAt is when each ledger last fetched the entries of another one.
	fetchedAt []time.Time
	groups    []*testGroup
	// crashing are the IDs of the parts that crash endpoints.
	crashing []string
	crashes  int
	// wrong are the parts other than crashing that were quarantined.
	wrong map[string]bool
	// refused counts the sound requests that were refused, of those that were sent.
	// sentWith counts those with a part of with, refusedWith the refused ones of these.
	sent, refused, sentWith, refusedWith int
	// late counts the requests with a crashing part that were sent, trials those granted by the steward.
	late, trials int
	// with are the parts that all requests with a crashing part have until CrashThreshold, and some of
	// these requests later. Sound requests have one of them now and then, but not before that.
	with []string
}

type testGroup struct {
	downUntil time.Time
	running   []*testRequest
}

type testRequest struct {
	name  string
	parts []string
	id    *Request
	// daemon is the index of the one that received it.
	daemon int
	// sentAt is when it was sent, endsAt when it completes or crashes its endpoint.
	sentAt, endsAt time.Time
	resent         bool
	crashes        bool
}

const (
	testGroups     = 13
	testStep       = 10 * time.Millisecond
	soundPerSecond = 60
	crashPerSecond = 5
	// heartbeatInterval is the time between two comparisons of digests, fetchInterval the least
	// time between two fetches.
	heartbeatInterval, fetchInterval = 100 * time.Millisecond, time.Second
	// usualParts and rareParts are the numbers of parts that sound requests share; a rare one comes
	// about once in four seconds.
	usualParts, rareParts = 10, 20
	rareShare             = 12
)

func newTraffic(seed uint64, daemons int, steward bool) *traffic {
	tr := &traffic{rnd: rand.New(rand.NewPCG(seed, seed)), steward: steward, now: begin, fetchedAt: make([]time.Time, daemons), wrong: make(map[string]bool)}
	for num := range daemons {
		le := &Ledger{}
		le.SetDeferring(steward && num > 0)
		tr.ledgers = append(tr.ledgers, le)
	}
	for range testGroups {
		tr.groups = append(tr.groups, &testGroup{})
	}
	return tr
}

func (tr *traffic) identity(rq *testRequest) Request {
	if rq.id == nil {
		co := Content{Body: []byte(rq.name)}
		id := NewRequest(&co, "engine", rq.parts)
		rq.id = &id
	}
	return *rq.id
}

func (tr *traffic) random(from, to time.Duration) time.Duration {
	return from + time.Duration(tr.rnd.Int64N(int64(to-from)))
}

// run plays the traffic for a time.
func (tr *traffic) run(span time.Duration) {
	for end := tr.now.Add(span); tr.now.Before(end); tr.now = tr.now.Add(testStep) {
		if tr.rnd.Float64() < soundPerSecond*testStep.Seconds() {
			tr.sendSound()
		}
		if len(tr.crashing) > 0 && tr.rnd.Float64() < crashPerSecond*testStep.Seconds() {
			part := tr.crashing[tr.rnd.IntN(len(tr.crashing))]
			if tr.send(&testRequest{name: fmt.Sprint("crash-", tr.now.UnixNano()), parts: tr.crashingParts(part), crashes: true}) {
				tr.late++
			}
		}
		for _, gr := range tr.groups {
			tr.step(gr)
		}
		if tr.now.Sub(begin)%heartbeatInterval == 0 {
			tr.merge()
		}
	}
}

// merge lets each ledger fetch the steward's entries, or its neighbour's, if their digests differ and
// its last fetch was a while ago.
func (tr *traffic) merge() {
	for num, le := range tr.ledgers {
		from := tr.ledgers[0]
		if !tr.steward {
			from = tr.ledgers[(num+1)%len(tr.ledgers)]
		}
		if from.Digest(tr.now) == le.Digest(tr.now) || tr.now.Sub(tr.fetchedAt[num]) < fetchInterval {
			continue
		}
		tr.fetchedAt[num] = tr.now
		le.Merge(from.Entries(tr.now), tr.now)
	}
}

// receivers returns the ledgers that receive the reports of a daemon.
func (tr *traffic) receivers(daemon int) []*Ledger {
	switch {
	case !tr.steward:
		return tr.ledgers
	case daemon == 0:
		return tr.ledgers[:1]
	}
	return []*Ledger{tr.ledgers[0], tr.ledgers[daemon]}
}

func (tr *traffic) usualPart() string { return fmt.Sprint("usual-", tr.rnd.IntN(usualParts)) }

// crashingParts returns the parts of a request that crashes its endpoint.
func (tr *traffic) crashingParts(part string) []string {
	if len(tr.with) == 0 {
		return []string{tr.usualPart(), part}
	}
	if tr.crashes >= CrashThreshold {
		return append([]string{tr.usualPart(), part}, tr.with[:tr.rnd.IntN(len(tr.with))]...)
	}
	return append([]string{tr.usualPart(), part}, tr.with...)
}

func (tr *traffic) sendSound() {
	second := fmt.Sprint("second-", tr.rnd.IntN(usualParts))
	if tr.rnd.IntN(rareShare) == 0 {
		second = fmt.Sprint("rare-", tr.rnd.IntN(rareParts))
	}
	if len(tr.with) > 0 && tr.crashes >= CrashThreshold && tr.rnd.IntN(rareShare) == 0 {
		second = tr.with[tr.rnd.IntN(len(tr.with))]
		tr.sentWith++
	}
	if slices.Contains(tr.crashing, second) {
		return
	}
	tr.sent++
	if !tr.send(&testRequest{name: fmt.Sprint("sound-", tr.now.UnixNano()), parts: []string{tr.usualPart(), second}}) {
		tr.refused++
		if slices.Contains(tr.with, second) {
			tr.refusedWith++
		}
	}
}

// send sends a request to a random group that is up, and reports whether it was sent.
func (tr *traffic) send(rq *testRequest) bool {
	rq.daemon = tr.rnd.IntN(len(tr.ledgers))
	if _, _, held := tr.ledgers[rq.daemon].Quarantined(tr.identity(rq), tr.now); held && !tr.claimTrial(rq) {
		return false
	}
	up := slices.DeleteFunc(slices.Clone(tr.groups), func(gr *testGroup) bool { return tr.now.Before(gr.downUntil) })
	if len(up) == 0 {
		return false
	}
	gr := up[tr.rnd.IntN(len(up))]
	rq.sentAt = tr.now
	rq.endsAt = tr.now.Add(tr.random(300*time.Millisecond, 2*time.Second))
	if rq.crashes {
		rq.endsAt = tr.now.Add(tr.random(80*time.Millisecond, 300*time.Millisecond))
	}
	gr.running = append(gr.running, rq)
	return true
}

// claimTrial asks the first daemon, which is the steward, for a trial.
func (tr *traffic) claimTrial(rq *testRequest) bool {
	if len(tr.ledgers[rq.daemon].HeldParts(tr.identity(rq), tr.now)) == 0 || !tr.ledgers[0].ClaimTrial(tr.identity(rq), tr.now) {
		return false
	}
	tr.trials++
	return true
}

// step completes the requests of a group that are due.
func (tr *traffic) step(gr *testGroup) {
	for _, rq := range slices.Clone(gr.running) {
		if tr.now.Before(rq.endsAt) {
			continue
		}
		if rq.crashes {
			tr.crash(gr)
			return
		}
		gr.running = slices.DeleteFunc(gr.running, func(other *testRequest) bool { return other == rq })
		for _, fp := range tr.ledgers[rq.daemon].Complete(tr.identity(rq)) {
			for _, le := range tr.receivers(rq.daemon) {
				le.RecordCompletion(Completion{Subject: fp, At: tr.now, Took: tr.now.Sub(rq.sentAt)}, tr.now)
			}
		}
	}
}

// crash ends a group. Its daemons report it one after the other, each with its requests. What was
// broken off is sent again once, except for what crashes endpoints.
func (tr *traffic) crash(gr *testGroup) {
	tr.crashes++
	running := gr.running
	gr.running, gr.downUntil = nil, tr.now.Add(3*time.Second)
	for num, daemon := range tr.rnd.Perm(len(tr.ledgers)) {
		en := Crash{Endpoint: fmt.Sprint("crash-", tr.crashes), At: tr.now.Add(time.Duration(num) * time.Millisecond)}
		for _, rq := range running {
			if rq.daemon == daemon {
				en.Requests = append(en.Requests, tr.identity(rq))
			}
		}
		if len(en.Requests) == 0 {
			continue
		}
		tr.ledgers[daemon].MarkProven(en.Requests)
		for _, le := range tr.receivers(daemon) {
			le.RecordCrash(en, tr.now)
			tr.noteWrong(le, running)
		}
	}
	for _, rq := range running {
		if !rq.resent && !slices.ContainsFunc(rq.parts, func(id string) bool { return slices.Contains(tr.crashing, id) }) {
			rq.resent = true
			tr.send(rq)
		}
	}
}

// noteWrong records the parts of requests that are quarantined although they crash nothing.
func (tr *traffic) noteWrong(le *Ledger, requests []*testRequest) {
	for _, rq := range requests {
		for i, fp := range tr.identity(rq).Parts {
			if _, _, held := le.Quarantined(Request{Parts: []Fingerprint{fp}}, tr.now); held && !slices.Contains(tr.crashing, rq.parts[i]) {
				tr.wrong[rq.parts[i]] = true
			}
		}
	}
}

// Guards against a crashing part that costs more servers than it takes to know it, and against
// parts that are refused only because they were there.
func TestCrashingPartAmongRandomTraffic(t *testing.T) {
	const (
		seeds = 10
		// contactTime is the time after the fifth crash from which requests with a crashing part
		// may be sent maxLate times.
		contactTime = 3 * time.Second
		maxLate     = 3
	)
	for _, tc := range []struct {
		name string
		// warmUp is how long the ledger has known the traffic.
		warmUp time.Duration
		parts  []string
		// daemons and steward are as in traffic.
		daemons int
		steward bool
		// meanCrashes is the number of servers that one part may crash on average, 0 for any.
		meanCrashes int
		with        []string
	}{
		{"new part", 5 * time.Second, []string{"crashing"}, 6, false, 5, nil},
		{"new part at daemons that have just started", 0, []string{"crashing"}, 6, false, 5, nil},
		{"two new parts", 5 * time.Second, []string{"crashing", "other-crashing"}, 6, false, 5, nil},
		{"part that was sound before", 5 * time.Second, []string{"second-0"}, 6, false, 0, nil},
		{"new part, steward of 40 daemons", 5 * time.Second, []string{"crashing"}, 40, true, 5, nil},
		{"new part, always with two others", 5 * time.Second, []string{"crashing"}, 6, false, 8, []string{"with-0", "with-1"}},
		{"new part, always with two others, steward of 40 daemons", 5 * time.Second, []string{"crashing"}, 40, true, 8, []string{"with-0", "with-1"}},
		{"rare part that was sound before", 5 * time.Second, []string{"rare-0"}, 6, false, 0, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			crashes, wrong, refused, sent, most, trials := 0, 0, 0, 0, 0, 0
			for seed := range uint64(seeds) {
				tr := newTraffic(seed, tc.daemons, tc.steward)
				tr.run(tc.warmUp)
				tr.crashing, tr.with = tc.parts, tc.with
				for tr.crashes < 5*len(tc.parts) && tr.now.Sub(begin) < time.Minute {
					tr.run(testStep)
				}
				tr.run(contactTime)
				tr.sent, tr.refused, tr.late, tr.sentWith, tr.refusedWith = 0, 0, 0, 0, 0
				tr.run(10 * time.Second)
				if tr.late > maxLate*len(tc.parts) {
					t.Errorf("seed %d: requests with a crashing part sent %d times after the fifth crash, want %d at most", seed, tr.late, maxLate*len(tc.parts))
				}
				if tr.refusedWith*2 > tr.sentWith {
					t.Errorf("seed %d: %d of %d sound requests with an inseparable part refused, want half at most", seed, tr.refusedWith, tr.sentWith)
				}
				trials += tr.trials
				if tr.refused*2 > tr.sent {
					t.Errorf("seed %d: %d of %d sound requests refused, want half at most", seed, tr.refused, tr.sent)
				}
				crashes, wrong, most = crashes+tr.crashes, wrong+len(tr.wrong), max(most, tr.crashes)
				refused, sent = refused+tr.refused, sent+tr.sent
			}
			t.Logf("crashes: %d in %d runs, %d at most; sound parts quarantined: %d; sound requests refused: %d of %d; trials: %d", crashes, seeds, most, wrong, refused, sent, trials)
			if tc.meanCrashes > 0 && crashes > tc.meanCrashes*seeds*len(tc.parts) {
				t.Errorf("%d crashes in %d runs, want %d a part on average at most", crashes, seeds, tc.meanCrashes)
			}
		})
	}
}

// Guards against parts that are refused because of crashes that no request causes: racks that lose
// several servers at once, one after the other, while rare parts are in use.
func TestCrashesWithoutCause(t *testing.T) {
	const seeds = 25
	wrong, refused, sent := 0, 0, 0
	for seed := range uint64(seeds) {
		tr := newTraffic(seed, 6, false)
		for range 6 {
			tr.run(tr.random(200*time.Millisecond, 4*time.Second))
			for _, gr := range tr.groups[:tr.rnd.IntN(4)+1] {
				if !tr.now.Before(gr.downUntil) {
					tr.crash(gr)
				}
			}
			tr.rnd.Shuffle(len(tr.groups), func(i, j int) { tr.groups[i], tr.groups[j] = tr.groups[j], tr.groups[i] })
		}
		tr.run(2 * time.Second)
		wrong += len(tr.wrong)
		refused, sent = refused+tr.refused, sent+tr.sent
	}
	t.Logf("sound parts quarantined: %d; sound requests refused: %d of %d", wrong, refused, sent)
	if wrong > 0 {
		t.Errorf("%d sound parts quarantined in %d runs, want none", wrong, seeds)
	}
}
