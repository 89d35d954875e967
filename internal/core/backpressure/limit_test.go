package backpressure

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

const (
	// tick is the step of the simulated clock.
	tick = 10 * time.Millisecond
	// window is the span over which requests are counted. In any window an endpoint may receive
	// ratio times its limit plus slack requests.
	window = 4 * time.Second
	ratio  = 1.5
	slack  = 5
	// settleTime is how long the daemons have to learn of a limit at the start of a run; requests
	// in that time are not checked against it.
	settleTime = 3 * time.Second
	// heartbeatInterval is the time between two heartbeats of a daemon.
	heartbeatInterval = 50 * time.Millisecond
	// noticeDelay is the time from sending a notice to its arrival at the other daemons.
	noticeDelay = 300 * time.Millisecond
	// awareAfter is how long after its first response that announces the limit the requests of a
	// daemon count. Before that, the daemon cannot know of the limit.
	awareAfter = 500 * time.Millisecond
	// responseDelay is the time from a request to the header of its response.
	responseDelay = 100 * time.Millisecond
	// refusalDelay is the time from a request to its refusal, retryAfter the retry time that the
	// refusal names.
	refusalDelay = 10 * time.Millisecond
	retryAfter   = 3 * time.Second
)

var limitedInstance = catalog.Instance{ID: "head-1", Incarnation: 7}

// sim simulates daemons whose demand for one endpoint exceeds its limit.
type sim struct {
	daemons []*simDaemon
	// limit returns the limit that the endpoint announces at a time.
	limit func(at time.Duration) Limit
	// shedFraction returns the fraction of requests that the endpoint refuses with a retry time;
	// nil for none. refused is the number of refused requests.
	shedFraction func(at time.Duration) float64
	refused      int
	// demand is the rate of requests for the endpoint at each daemon, in requests a second.
	demand float64
	// arrivals are the times of the requests that count; sent is the number of all requests.
	arrivals []time.Duration
	sent     int
	rd       *rand.Rand
	// scheduled holds the events that have not run yet; at is the time since the start of the run.
	scheduled []event
	at        time.Duration
}

// simDaemon is one daemon of the simulation.
type simDaemon struct {
	ip      string
	tracker *Tracker
	// A down daemon has stalled or stopped; a partitioned one exchanges no messages with the
	// others; an idle one receives no requests.
	down, partitioned, idle bool
	// part is the part of a network partition that the daemon is in; daemons of different parts
	// exchange no messages.
	part int
	// seen are the daemons that were last passed to SetDaemons.
	seen []string
	// limitKnownAt is when its process first received a response that announces the limit; 0
	// before.
	limitKnownAt time.Duration
}

// restart replaces the daemon's process by one without state.
func (da *simDaemon) restart() { da.tracker, da.limitKnownAt, da.seen = &Tracker{}, 0, nil }

// counts reports whether a request that the daemon sends at the given time counts toward the
// limit.
func (da *simDaemon) counts(at time.Duration) bool {
	return da.limitKnownAt > 0 && at >= da.limitKnownAt+awareAfter
}

// event is an action scheduled for a time.
type event struct {
	at  time.Duration
	run func()
}

// newSim returns a simulation of a number of daemons, each with the given demand in requests a
// second, and an endpoint with the given limit.
func newSim(daemons int, demand float64, limit func(at time.Duration) Limit) *sim {
	si := &sim{demand: demand, limit: limit, rd: rand.New(rand.NewPCG(1, uint64(daemons)))}
	for num := range daemons {
		si.daemons = append(si.daemons, &simDaemon{ip: fmt.Sprint("10.0.0.", num), tracker: &Tracker{}})
	}
	return si
}

func (si *sim) now() time.Time { return time.Unix(0, 0).Add(si.at) }

// schedule runs an action after a time span.
func (si *sim) schedule(span time.Duration, action func()) {
	si.scheduled = append(si.scheduled, event{si.at + span, action})
}

// run advances the simulation to the given time. It calls change at each step, which may change
// daemons.
func (si *sim) run(until time.Duration, change func(at time.Duration)) {
	for ; si.at < until; si.at += tick {
		change(si.at)
		si.runDue()
		if si.at%time.Second == 0 {
			si.updateMembers()
		}
		for _, da := range si.daemons {
			if !da.down && !da.idle && si.rd.Float64() < si.demand*tick.Seconds() {
				si.send(da)
			}
		}
		if si.at%heartbeatInterval == 0 {
			si.sendNotices()
		}
	}
}

// runDue runs the scheduled events that are due.
func (si *sim) runDue() {
	due := func(ev event) bool { return ev.at <= si.at }
	for _, ev := range si.scheduled {
		if due(ev) {
			ev.run()
		}
	}
	si.scheduled = slices.DeleteFunc(si.scheduled, due)
}

// ips returns the addresses of all daemons.
func (si *sim) ips() []string {
	var all []string
	for _, da := range si.daemons {
		all = append(all, da.ip)
	}
	return all
}

// updateMembers passes to each daemon the daemons that accept requests.
func (si *sim) updateMembers() {
	accepting := make(map[int][]string)
	for _, da := range si.daemons {
		if !da.down && !da.partitioned {
			accepting[da.part] = append(accepting[da.part], da.ip)
		}
	}
	for _, da := range si.daemons {
		seen := accepting[da.part]
		if da.partitioned {
			seen = []string{da.ip}
		}
		if !da.down && !slices.Equal(da.seen, seen) {
			da.seen = seen
			da.tracker.SetDaemons(Daemons{Own: da.ip, Accepting: seen, Known: si.ips(), Complete: true}, si.now())
		}
	}
}

// send sends a request from the daemon if its tracker permits it, and schedules the response.
func (si *sim) send(da *simDaemon) {
	if !da.tracker.Accepts(limitedInstance, si.now()) {
		return
	}
	da.tracker.RecordSent(limitedInstance, si.now())
	si.sent++
	if da.counts(si.at) {
		si.arrivals = append(si.arrivals, si.at)
	}
	if si.shedFraction != nil && si.rd.Float64() < si.shedFraction(si.at) {
		si.refused++
		si.schedule(refusalDelay, func() { da.tracker.SetRetryAfter(limitedInstance, retryAfter, si.now()) })
		return
	}
	tracker, sent, limit := da.tracker, si.now(), si.limit(si.at)
	si.schedule(responseDelay, func() {
		tracker.SetAccepted(limitedInstance, sent, si.now())
		tracker.SetLimit(limitedInstance, limit, sent, si.now())
		if limit.Named && tracker == da.tracker && da.limitKnownAt == 0 {
			da.limitKnownAt = si.at
		}
	})
}

// sendNotices delivers the pending notices of each daemon to all others, as a steward relays them.
func (si *sim) sendNotices() {
	for _, da := range si.daemons {
		notices := da.tracker.PendingNotices(si.now(), heartbeatInterval, false)
		if len(notices) == 0 || da.partitioned || da.down {
			continue
		}
		si.schedule(noticeDelay, func() {
			for _, other := range si.daemons {
				if other != da && !other.partitioned && !other.down && other.part == da.part {
					other.tracker.ApplyNotices(notices, si.now())
				}
			}
		})
	}
}

// maxInWindow returns the largest number of counted requests in any window that starts at the
// given time or later.
func (si *sim) maxInWindow(after time.Duration) int {
	largest := 0
	for i := range si.arrivals {
		num := 0
		for _, at := range si.arrivals[i:] {
			if at-si.arrivals[i] < window {
				num++
			}
		}
		if si.arrivals[i] >= after {
			largest = max(largest, num)
		}
	}
	return largest
}

// rate returns the rate of counted requests between two times, in requests a second.
func (si *sim) rate(from, to time.Duration) float64 {
	num := 0
	for _, at := range si.arrivals {
		if at >= from && at < to {
			num++
		}
	}
	return float64(num) / (to - from).Seconds()
}

// constantLimit returns a limit function for a limit that does not change.
func constantLimit(perSecond float64) func(time.Duration) Limit {
	return func(time.Duration) Limit { return Limit{perSecond, true} }
}

// Guards against daemons that enforce the limit independently of each other: the endpoint then
// receives its limit times the number of daemons, or one request from each of them at once. The
// demand at each daemon is a few requests a second and at least twice its share of the limit,
// while daemons restart one after another, stall, or are partitioned from the others.
func TestLimitAcrossDaemons(t *testing.T) {
	const until = 42 * time.Second
	scenarios := []struct {
		name   string
		change func(si *sim, at time.Duration)
	}{
		{"calm", func(*sim, time.Duration) {}},
		{"rolling restart", func(si *sim, at time.Duration) {
			for num, da := range si.daemons {
				begin := 10*time.Second + time.Duration(num)*700*time.Millisecond
				da.down = at >= begin && at < begin+2*time.Second
				if at == begin {
					da.restart()
				}
			}
		}},
		{"a third stands still", func(si *sim, at time.Duration) {
			for num, da := range si.daemons {
				da.down = num%3 == 0 && at >= 20*time.Second && at < 25*time.Second
			}
		}},
		{"halves are cut off from each other", func(si *sim, at time.Duration) {
			for num, da := range si.daemons {
				da.part = 0
				if at >= 20*time.Second && at < 30*time.Second {
					da.part = num % 2
				}
			}
		}},
		{"all are cut off from each other", func(si *sim, at time.Duration) {
			for num, da := range si.daemons {
				da.part = 0
				if at >= 20*time.Second && at < 30*time.Second {
					da.part = num
				}
			}
		}},
		{"two are cut off", func(si *sim, at time.Duration) {
			for _, da := range si.daemons[:2] {
				da.partitioned = at >= 20*time.Second && at < 40*time.Second
			}
		}},
	}
	for _, daemons := range []int{1, 6, 65, 370} {
		for _, perSecond := range []float64{0, 0.4, 1.4, 7, 40} {
			for _, tr := range scenarios {
				// The smallest limits have the same number of senders among 370 daemons as among 65.
				if daemons < 6 && tr.name != "calm" || daemons > 65 && perSecond < 1 {
					continue
				}
				t.Run(fmt.Sprintf("%d daemons/%v a second/%s", daemons, perSecond, tr.name), func(t *testing.T) {
					t.Parallel()
					si := newSim(daemons, max(3, 2*perSecond/float64(daemons)), constantLimit(perSecond))
					si.run(until, func(at time.Duration) { tr.change(si, at) })
					allowed := ratio*perSecond*window.Seconds() + slack
					num, achieved := si.maxInWindow(settleTime), si.rate(settleTime, until)
					t.Logf("at most %d requests in %s, allowed %.1f; %.2f requests a second", num, window, allowed, achieved)
					if float64(num) > allowed {
						t.Errorf("%d requests in %s, allowed %.1f", num, window, allowed)
					}
					if tr.name == "calm" && achieved < perSecond/2 {
						t.Errorf("%.2f requests a second, want at least half of the limit of %.2f", achieved, perSecond)
					}
				})
			}
		}
	}
}

// Guards against an endpoint that stays limited after it has stopped announcing a limit, and
// against one that no daemon sends to anymore, because its limit is 0 or because its senders
// receive no requests.
func TestLimitIsWithdrawn(t *testing.T) {
	const ends, until = 20 * time.Second, 90 * time.Second
	for _, perSecond := range []float64{0, 1.4} {
		for _, daemons := range []int{1, 6, 65} {
			for _, idle := range []int{0, 5} {
				if idle >= daemons {
					continue
				}
				t.Run(fmt.Sprintf("%v a second/%d daemons/%d idle", perSecond, daemons, idle), func(t *testing.T) {
					t.Parallel()
					const demand = 3
					si := newSim(daemons, demand, func(at time.Duration) Limit {
						if at < ends {
							return Limit{perSecond, true}
						}
						return Limit{}
					})
					byRank := slices.Clone(si.daemons)
					slices.SortFunc(byRank, func(one, other *simDaemon) int {
						if weight(one.ip, limitedInstance.ID) > weight(other.ip, limitedInstance.ID) {
							return -1
						}
						return 1
					})
					for _, da := range byRank[:idle] {
						da.idle = true
					}
					si.run(until-10*time.Second, func(time.Duration) {})
					before := si.sent
					si.run(until, func(time.Duration) {})
					want := demand * float64(daemons-idle) / 2
					if used := float64(si.sent-before) / 10; used < want {
						t.Errorf("%.2f requests a second long after the limit ended, want at least %.2f", used, want)
					}
				})
			}
		}
	}
}

// Guards against an old response, or an old notice of another daemon, that replaces a newer limit,
// and against the limit of one incarnation being applied to another.
func TestLimitOrdering(t *testing.T) {
	begin := time.Unix(100, 0)
	after := func(span time.Duration) time.Time { return begin.Add(span) }
	limit, none := Limit{2, true}, Limit{}
	next := catalog.Instance{ID: limitedInstance.ID, Incarnation: limitedInstance.Incarnation + 1}
	tests := []struct {
		name  string
		run   func(re *Tracker)
		named bool
	}{
		{"named", func(*Tracker) {}, true},
		{"withdrawn", func(re *Tracker) { re.SetLimit(limitedInstance, none, after(time.Second), after(2*time.Second)) }, false},
		{"the answer to an earlier request comes late", func(re *Tracker) {
			re.SetLimit(limitedInstance, none, after(-time.Second), after(2*time.Second))
		}, true},
		{"another daemon's newer word", func(re *Tracker) {
			re.ApplyNotices([]Notice{{Instance: limitedInstance, Limit: none, LimitAge: time.Second}}, after(2*time.Second))
		}, false},
		{"another daemon's older word", func(re *Tracker) {
			re.ApplyNotices([]Notice{{Instance: limitedInstance, Limit: none, LimitAge: 3 * time.Second}}, after(2*time.Second))
		}, true},
		{"another daemon's word that says nothing of a limit", func(re *Tracker) {
			other := &Tracker{}
			other.SetRetryAfter(limitedInstance, 3*time.Second, after(time.Second))
			re.ApplyNotices(other.Notices(after(time.Second)), after(time.Second))
			other.SetLeaving(limitedInstance, after(time.Second))
			re.ApplyNotices(other.Notices(after(2*time.Second)), after(2*time.Second))
		}, true},
		{"the process starts anew", func(re *Tracker) { re.SetLimit(next, none, after(time.Second), after(2*time.Second)) }, false},
		{"a word of its earlier life", func(re *Tracker) {
			re.SetLimit(next, limit, after(time.Second), after(2*time.Second))
			re.ApplyNotices([]Notice{{Instance: limitedInstance, Limit: none, LimitAge: 1}}, after(3*time.Second))
		}, true},
		{"not repeated for long", func(re *Tracker) { re.Sweep(after(retention + time.Second)) }, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			re := &Tracker{}
			re.SetLimit(limitedInstance, limit, after(-time.Millisecond), begin)
			tc.run(re)
			if got := re.NumLimited() == 1; got != tc.named {
				t.Errorf("limited: %v, want %v", got, tc.named)
			}
		})
	}
}

// Guards against notices that do not reach daemons that start later, and against notices that are
// repeated without end.
func TestPendingNotices(t *testing.T) {
	now := time.Unix(100, 0)
	const span = 200 * time.Millisecond
	re := &Tracker{}
	re.SetLimit(limitedInstance, Limit{2, true}, now, now)
	steps := []struct {
		at    time.Duration
		again bool
		want  int
	}{{0, false, 1}, {100 * time.Millisecond, false, 1}, {300 * time.Millisecond, true, 0}, {time.Second, true, 0}, {4 * time.Second, true, 1},
		{5 * time.Second, false, 0}}
	for _, st := range steps {
		at := now.Add(st.at)
		if st.again {
			re.SetLimit(limitedInstance, Limit{2, true}, at, at)
		}
		if got := len(re.PendingNotices(at, span, false)); got != st.want {
			t.Errorf("after %s: %d notices, want %d", st.at, got, st.want)
		}
	}
	if num := len(re.Notices(now.Add(5500 * time.Millisecond))); num != 1 {
		t.Errorf("%d notices for a daemon that has just started, want 1", num)
	}
	re.ResendNotices()
	if num := len(re.PendingNotices(now.Add(5500*time.Millisecond), span, false)); num != 1 {
		t.Errorf("%d notices for a new steward, want 1", num)
	}
	re.SetLimit(limitedInstance, Limit{3, true}, now.Add(6*time.Second), now.Add(6*time.Second))
	re.SetRetryAfter(limitedInstance, 20*time.Second, now.Add(6*time.Second))
	re.ApplyNotices(re.Notices(now.Add(6*time.Second)), now.Add(6100*time.Millisecond))
	re.PendingNotices(now.Add(7*time.Second), span, false)
	re.ResendNotices()
	if num := len(re.PendingNotices(now.Add(8*time.Second), span, false)); num != 1 {
		t.Errorf("%d first-hand notices after they were echoed back, want 1", num)
	}
	other := &Tracker{}
	other.ApplyNotices([]Notice{{Instance: limitedInstance, Limit: Limit{2, true}, LimitAge: 1}}, now)
	if num := len(other.PendingNotices(now, span, false)); num != 0 {
		t.Errorf("%d notices of other daemons relayed without relay, want 0", num)
	}
	if num := len(other.PendingNotices(now, span, true)); num != 1 {
		t.Errorf("%d notices of other daemons relayed by the steward, want 1", num)
	}
}

// Guards against a shutdown announcement that outlasts the process that made it, and against one
// that a daemon drops while the process is still shutting down.
func TestLeavingEndsWithIncarnation(t *testing.T) {
	now := time.Unix(100, 0)
	unknown := catalog.Instance{ID: limitedInstance.ID}
	next := catalog.Instance{ID: limitedInstance.ID, Incarnation: limitedInstance.Incarnation + 1}
	tests := []struct {
		name string
		run  func(re *Tracker)
		want map[catalog.Instance]bool
	}{
		{"announced in a response", func(re *Tracker) { re.SetLeaving(limitedInstance, now) }, map[catalog.Instance]bool{limitedInstance: true, next: false}},
		{"announced before the incarnation is known", func(re *Tracker) {
			re.SetLeaving(unknown, now)
			re.Accepts(limitedInstance, now)
		}, map[catalog.Instance]bool{limitedInstance: true, next: false}},
		{"notice from another daemon", func(re *Tracker) {
			if num := len(re.ApplyNotices([]Notice{{Instance: limitedInstance, Leaving: true, LeavingAge: time.Second}}, now)); num != 1 {
				t.Errorf("%d endpoints with a new shutdown announcement, want 1", num)
			}
		}, map[catalog.Instance]bool{limitedInstance: true, next: false}},
		{"responses that do not repeat it", func(re *Tracker) {
			re.SetLeaving(limitedInstance, now)
			re.SetLimit(limitedInstance, Limit{}, now.Add(time.Second), now.Add(time.Second))
			re.Sweep(now.Add(time.Minute))
		}, map[catalog.Instance]bool{limitedInstance: true}},
		{"retention period over", func(re *Tracker) {
			re.SetLeaving(limitedInstance, now)
			re.Sweep(now.Add(retention + time.Second))
		}, map[catalog.Instance]bool{limitedInstance: false}},
	}
	for _, tc := range tests {
		re := &Tracker{}
		tc.run(re)
		for li, want := range tc.want {
			if got := re.Leaving(li); got != want || re.Accepts(li, now) == want {
				t.Errorf("%s: %v: leaving %v, want %v", tc.name, li, got, want)
			}
		}
	}
}
