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
	// window is the span in which requests are counted; in it an endpoint may get ratio times
	// its limit and slack requests.
	window = 4 * time.Second
	ratio  = 1.5
	slack  = 5
	// learnt is how long daemons have to learn of a limit.
	learnt = 3 * time.Second
	// beatEvery is the time between two beats of a daemon.
	beatEvery = 50 * time.Millisecond
	// told is the time that words and beats take to all daemons.
	told = 300 * time.Millisecond
	// toldBefore is how long before a request its daemon must have had an answer that names the
	// limit for the request to count: others can't know of it.
	toldBefore = 500 * time.Millisecond
	// answerTime is the time from a request to the head of its answer.
	answerTime = 100 * time.Millisecond
	// refuseTime is the time until a refusal, rest what the endpoint asks for then.
	refuseTime = 10 * time.Millisecond
	rest       = 3 * time.Second
)

var limitedLife = catalog.Instance{ID: "head-1", Incarnation: 7}

// sim plays daemons that would send an endpoint more than its limit.
type sim struct {
	daemons []*simDaemon
	limit   func(at time.Duration) Limit
	// sheds is the part of the requests that the endpoint turns away, asking for rest; nil for
	// none. refused are those that it did.
	sheds   func(at time.Duration) float64
	refused int
	// demand is the number of requests a second that each daemon has and could send there.
	demand float64
	// arrivals are the requests that count.
	arrivals []time.Duration
	all      int
	rd       *rand.Rand
	later    []event
	at       time.Duration
}

type simDaemon struct {
	ip  string
	reg *Register
	// away daemons stand still or are gone; those that are cut don't hear others, nor are they
	// heard; idle ones get no requests.
	away, cut, idle bool
	// seen are the daemons that it last heard of.
	seen []string
	// answered is when its process first had an answer that names the limit; 0 before.
	answered time.Duration
}

// restart replaces the daemon's process, which knows nothing.
func (da *simDaemon) restart() { da.reg, da.answered, da.seen = &Register{}, 0, nil }

// counts tells whether a request of the daemon counts.
func (da *simDaemon) counts(at time.Duration) bool {
	return da.answered > 0 && at >= da.answered+toldBefore
}

type event struct {
	at time.Duration
	do func()
}

func newSim(daemons int, demand float64, limit func(at time.Duration) Limit) *sim {
	si := &sim{demand: demand, limit: limit, rd: rand.New(rand.NewPCG(1, uint64(daemons)))}
	for num := range daemons {
		si.daemons = append(si.daemons, &simDaemon{ip: fmt.Sprint("10.0.0.", num), reg: &Register{}})
	}
	return si
}

func (si *sim) now() time.Time { return time.Unix(0, 0).Add(si.at) }

func (si *sim) after(span time.Duration, do func()) {
	si.later = append(si.later, event{si.at + span, do})
}

// run plays until a moment. change may change daemons at each step.
func (si *sim) run(until time.Duration, change func(at time.Duration)) {
	for ; si.at < until; si.at += tick {
		change(si.at)
		si.deliver()
		if si.at%time.Second == 0 {
			si.spread()
		}
		for _, da := range si.daemons {
			if !da.away && !da.idle && si.rd.Float64() < si.demand*tick.Seconds() {
				si.send(da)
			}
		}
		if si.at%beatEvery == 0 {
			si.tell()
		}
	}
}

// deliver does what is due.
func (si *sim) deliver() {
	due := func(ev event) bool { return ev.at <= si.at }
	for _, ev := range si.later {
		if due(ev) {
			ev.do()
		}
	}
	si.later = slices.DeleteFunc(si.later, due)
}

// spread tells each daemon who else takes requests.
func (si *sim) spread() {
	var taking []string
	for _, da := range si.daemons {
		if !da.away && !da.cut {
			taking = append(taking, da.ip)
		}
	}
	for _, da := range si.daemons {
		seen := taking
		if da.cut {
			seen = []string{da.ip}
		}
		if !da.away && !slices.Equal(da.seen, seen) {
			da.seen = seen
			da.reg.SetDaemons(da.ip, seen, len(si.daemons), si.now())
		}
	}
}

func (si *sim) send(da *simDaemon) {
	if !da.reg.Accepts(limitedLife, si.now()) {
		return
	}
	da.reg.RecordSent(limitedLife, si.now())
	si.all++
	if da.counts(si.at) {
		si.arrivals = append(si.arrivals, si.at)
	}
	if si.sheds != nil && si.rd.Float64() < si.sheds(si.at) {
		si.refused++
		si.after(refuseTime, func() { da.reg.SetRetryAfter(limitedLife, rest, si.now()) })
		return
	}
	reg, sent, limit := da.reg, si.now(), si.limit(si.at)
	si.after(answerTime, func() {
		reg.SetAccepted(limitedLife, sent, si.now())
		reg.SetLimit(limitedLife, limit, sent, si.now())
		if limit.Named && reg == da.reg && da.answered == 0 {
			da.answered = si.at
		}
	})
}

// tell passes on what daemons have to tell. They tell everyone, as a steward does.
func (si *sim) tell() {
	for _, da := range si.daemons {
		words := da.reg.PendingNotices(si.now(), beatEvery, false)
		if len(words) == 0 || da.cut || da.away {
			continue
		}
		si.after(told, func() {
			for _, other := range si.daemons {
				if other != da && !other.cut && !other.away {
					other.reg.ApplyNotices(words, si.now())
				}
			}
		})
	}
}

// largest is the most that the endpoint got in one window that ends after a moment.
func (si *sim) largest(after time.Duration) int {
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

// perSecond is what counts of what the endpoint got between two moments.
func (si *sim) perSecond(from, to time.Duration) float64 {
	num := 0
	for _, at := range si.arrivals {
		if at >= from && at < to {
			num++
		}
	}
	return float64(num) / (to - from).Seconds()
}

func named(perSecond float64) func(time.Duration) Limit {
	return func(time.Duration) Limit { return Limit{perSecond, true} }
}

// Guards against limits that each daemon keeps by itself: an endpoint gets as many times its
// limit as there are daemons, or a request of each of them at once. The load is that of many
// daemons, each of which could send the endpoint a few requests a second and twice its part of
// the limit at least, while daemons stop and start one after the other, stand still, or are cut
// off from the others.
func TestLimitOverDaemons(t *testing.T) {
	const until = 42 * time.Second
	troubles := []struct {
		name   string
		change func(si *sim, at time.Duration)
	}{
		{"calm", func(*sim, time.Duration) {}},
		{"rolling restart", func(si *sim, at time.Duration) {
			for num, da := range si.daemons {
				begin := 10*time.Second + time.Duration(num)*700*time.Millisecond
				da.away = at >= begin && at < begin+2*time.Second
				if at == begin {
					da.restart()
				}
			}
		}},
		{"a third stands still", func(si *sim, at time.Duration) {
			for num, da := range si.daemons {
				da.away = num%3 == 0 && at >= 20*time.Second && at < 25*time.Second
			}
		}},
		{"two are cut off", func(si *sim, at time.Duration) {
			for _, da := range si.daemons[:2] {
				da.cut = at >= 20*time.Second && at < 40*time.Second
			}
		}},
	}
	for _, daemons := range []int{1, 6, 65, 370} {
		for _, perSecond := range []float64{0, 0.4, 1.4, 7, 40} {
			for _, tr := range troubles {
				// The smallest limits have as few holders among 370 daemons as among 65.
				if daemons < 6 && tr.name != "calm" || daemons > 65 && perSecond < 1 {
					continue
				}
				t.Run(fmt.Sprintf("%d daemons/%v a second/%s", daemons, perSecond, tr.name), func(t *testing.T) {
					t.Parallel()
					si := newSim(daemons, max(3, 2*perSecond/float64(daemons)), named(perSecond))
					si.run(until, func(at time.Duration) { tr.change(si, at) })
					allowed := ratio*perSecond*window.Seconds() + slack
					num, used := si.largest(learnt), si.perSecond(learnt, until)
					t.Logf("at most %d in %s, allowed %.1f; %.2f a second", num, window, allowed, used)
					if float64(num) > allowed {
						t.Errorf("%d requests in %s, allowed %.1f", num, window, allowed)
					}
					if tr.name == "calm" && used < perSecond/2 {
						t.Errorf("%.2f requests a second of a limit of %.2f", used, perSecond)
					}
				})
			}
		}
	}
}

// Guards against an endpoint that stays limited although it says so no more, and against one
// that nobody asks any more: with a limit of 0, or where those whose part it is get no requests.
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
						if weight(one.ip, limitedLife.ID) > weight(other.ip, limitedLife.ID) {
							return -1
						}
						return 1
					})
					for _, da := range byRank[:idle] {
						da.idle = true
					}
					si.run(until-10*time.Second, func(time.Duration) {})
					before := si.all
					si.run(until, func(time.Duration) {})
					want := demand * float64(daemons-idle) / 2
					if used := float64(si.all-before) / 10; used < want {
						t.Errorf("%.2f requests a second long after the limit ended, want %.2f", used, want)
					}
				})
			}
		}
	}
}

// Guards against an old answer, or an old word of another daemon, that ends a newer limit, and
// against one life's limit that holds for another.
func TestLimitsOrder(t *testing.T) {
	begin := time.Unix(100, 0)
	after := func(span time.Duration) time.Time { return begin.Add(span) }
	limit, none := Limit{2, true}, Limit{}
	next := catalog.Instance{ID: limitedLife.ID, Incarnation: limitedLife.Incarnation + 1}
	tests := []struct {
		name  string
		play  func(re *Register)
		named bool
	}{
		{"named", func(*Register) {}, true},
		{"withdrawn", func(re *Register) { re.SetLimit(limitedLife, none, after(time.Second), after(2*time.Second)) }, false},
		{"the answer to an earlier request comes late", func(re *Register) {
			re.SetLimit(limitedLife, none, after(-time.Second), after(2*time.Second))
		}, true},
		{"another daemon's newer word", func(re *Register) {
			re.ApplyNotices([]Notice{{Instance: limitedLife, Limit: none, LimitAge: time.Second}}, after(2*time.Second))
		}, false},
		{"another daemon's older word", func(re *Register) {
			re.ApplyNotices([]Notice{{Instance: limitedLife, Limit: none, LimitAge: 3 * time.Second}}, after(2*time.Second))
		}, true},
		{"another daemon's word that says nothing of a limit", func(re *Register) {
			other := &Register{}
			other.SetRetryAfter(limitedLife, 3*time.Second, after(time.Second))
			re.ApplyNotices(other.Notices(after(time.Second)), after(time.Second))
			other.SetLeaving(limitedLife, after(time.Second))
			re.ApplyNotices(other.Notices(after(2*time.Second)), after(2*time.Second))
		}, true},
		{"the process starts anew", func(re *Register) { re.SetLimit(next, none, after(time.Second), after(2*time.Second)) }, false},
		{"a word of its earlier life", func(re *Register) {
			re.SetLimit(next, limit, after(time.Second), after(2*time.Second))
			re.ApplyNotices([]Notice{{Instance: limitedLife, Limit: none, LimitAge: 1}}, after(3*time.Second))
		}, true},
		{"not repeated for long", func(re *Register) { re.Sweep(after(forgetAfter + time.Second)) }, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			re := &Register{}
			re.SetLimit(limitedLife, limit, after(-time.Millisecond), begin)
			tc.play(re)
			if got := re.NumLimited() == 1; got != tc.named {
				t.Errorf("limited: %v, want %v", got, tc.named)
			}
		})
	}
}

// Guards against words that are not told to daemons that come later, or that are told without
// end.
func TestTell(t *testing.T) {
	now := time.Unix(100, 0)
	const span = 200 * time.Millisecond
	re := &Register{}
	re.SetLimit(limitedLife, Limit{2, true}, now, now)
	steps := []struct {
		at    time.Duration
		again bool
		want  int
	}{{0, false, 1}, {100 * time.Millisecond, false, 1}, {300 * time.Millisecond, true, 0}, {time.Second, true, 0}, {4 * time.Second, true, 1},
		{5 * time.Second, false, 0}}
	for _, st := range steps {
		at := now.Add(st.at)
		if st.again {
			re.SetLimit(limitedLife, Limit{2, true}, at, at)
		}
		if got := len(re.PendingNotices(at, span, false)); got != st.want {
			t.Errorf("after %s: %d words, want %d", st.at, got, st.want)
		}
	}
	if num := len(re.Notices(now.Add(5500 * time.Millisecond))); num != 1 {
		t.Errorf("%d words for a daemon that has started", num)
	}
	re.ResendNotices()
	if num := len(re.PendingNotices(now.Add(5500*time.Millisecond), span, false)); num != 1 {
		t.Errorf("%d words for a steward that has started", num)
	}
	re.SetLimit(limitedLife, Limit{3, true}, now.Add(6*time.Second), now.Add(6*time.Second))
	re.SetRetryAfter(limitedLife, 20*time.Second, now.Add(6*time.Second))
	re.ApplyNotices(re.Notices(now.Add(6*time.Second)), now.Add(6100*time.Millisecond))
	re.PendingNotices(now.Add(7*time.Second), span, false)
	re.ResendNotices()
	if num := len(re.PendingNotices(now.Add(8*time.Second), span, false)); num != 1 {
		t.Errorf("%d words of its own left after they came back", num)
	}
	other := &Register{}
	other.ApplyNotices([]Notice{{Instance: limitedLife, Limit: Limit{2, true}, LimitAge: 1}}, now)
	if num := len(other.PendingNotices(now, span, false)); num != 0 {
		t.Errorf("%d words of others passed on", num)
	}
	if num := len(other.PendingNotices(now, span, true)); num != 1 {
		t.Errorf("the steward passes on %d words", num)
	}
}

// Guards against a word of leaving that outlasts the process that said it, and against one that
// a daemon forgets while the process still stops.
func TestLeavingIsOneLife(t *testing.T) {
	now := time.Unix(100, 0)
	unknown := catalog.Instance{ID: limitedLife.ID}
	next := catalog.Instance{ID: limitedLife.ID, Incarnation: limitedLife.Incarnation + 1}
	tests := []struct {
		name string
		play func(re *Register)
		want map[catalog.Instance]bool
	}{
		{"said in an answer", func(re *Register) { re.SetLeaving(limitedLife, now) }, map[catalog.Instance]bool{limitedLife: true, next: false}},
		{"said by a life whose start is learnt later", func(re *Register) {
			re.SetLeaving(unknown, now)
			re.Accepts(limitedLife, now)
		}, map[catalog.Instance]bool{limitedLife: true, next: false}},
		{"told by another daemon", func(re *Register) {
			if num := len(re.ApplyNotices([]Notice{{Instance: limitedLife, Leaving: true, LeavingAge: time.Second}}, now)); num != 1 {
				t.Errorf("%d endpoints new", num)
			}
		}, map[catalog.Instance]bool{limitedLife: true, next: false}},
		{"answers that don't repeat it", func(re *Register) {
			re.SetLeaving(limitedLife, now)
			re.SetLimit(limitedLife, Limit{}, now.Add(time.Second), now.Add(time.Second))
			re.Sweep(now.Add(time.Minute))
		}, map[catalog.Instance]bool{limitedLife: true}},
		{"long ago", func(re *Register) {
			re.SetLeaving(limitedLife, now)
			re.Sweep(now.Add(forgetAfter + time.Second))
		}, map[catalog.Instance]bool{limitedLife: false}},
	}
	for _, tc := range tests {
		re := &Register{}
		tc.play(re)
		for li, want := range tc.want {
			if got := re.Leaving(li); got != want || re.Accepts(li, now) == want {
				t.Errorf("%s: %v leaves: %v, want %v", tc.name, li, got, want)
			}
		}
	}
}
