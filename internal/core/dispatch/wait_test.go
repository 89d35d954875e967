package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"
)

// waitingTable returns a table with a full group whose requests end at a rate of 100 per second, and
// the tickets of the running ones.
func waitingTable(t *testing.T) (*Table, []*Ticket) {
	t.Helper()
	ta := table(group("a", "here"))
	ta.BoundedWait = true
	// Refusals are drawn at random while the requests of a lost group move.
	ta.Rand = rand.New(rand.NewPCG(1, 1))
	now := begin.Add(-2 * time.Second)
	for ; now.Before(begin); now = now.Add(10 * time.Millisecond) {
		_, ti := ta.Pick(slotSimRequest(), ignore, now)
		if ti == nil {
			t.Fatal("refused by an empty group")
		}
		ti.EndAt(now)
	}
	var running []*Ticket
	for {
		_, ti := ta.Pick(slotSimRequest(), ignore, begin)
		if ti == nil {
			return ta, running
		}
		running = append(running, ti)
	}
}

// wait sends a request of the rank that has to wait. woken is set when the wait is over.
func wait(t *testing.T, ta *Table, rank int) (wa *Waiter, woken *bool) {
	t.Helper()
	woken = new(bool)
	ne := slotSimRequest()
	ne.Rank, ne.Wake = rank, func() { *woken = true }
	ch, ti := ta.Pick(ne, ignore, begin)
	if ti != nil || ch.Waiter == nil {
		t.Fatalf("request of rank %d: %+v, want it to wait", rank, ch)
	}
	return ch.Waiter, woken
}

// Guards against giving one free slot to two waiting requests, or to the less urgent one, and against
// counting an arrival for it.
func TestFreedSlotGoesToOneWaiter(t *testing.T) {
	ta, running := waitingTable(t)
	later, laterWoken := wait(t, ta, 2)
	first, firstWoken := wait(t, ta, 0)
	rate := ta.OwnWork(begin).Rates["large"]
	running[0].EndAt(begin)
	running[0].EndAt(begin)
	if !*firstWoken || *laterWoken {
		t.Errorf("woken: rank 0 %v, rank 2 %v; want rank 0 only", *firstWoken, *laterWoken)
	}
	if ch, ti := ta.EndWait(first); ti == nil || ch.Group == nil || !ch.MeetsObjective {
		t.Errorf("rank 0 got %+v, want the group", ch)
	}
	if ch, ti := ta.EndWait(later); ti != nil || ch.Group != nil || ch.RetryAfter <= 0 {
		t.Errorf("rank 2 got %+v, want a refusal with a retry time", ch)
	}
	if after := ta.OwnWork(begin); after.Rates["large"] != rate || after.Loads["a"].Requests != len(running) {
		t.Errorf("rate %v and %d requests, want %v and %d", after.Rates["large"], after.Loads["a"].Requests, rate, len(running))
	}
}

// Guards against a wait by a request that is late anyway, by one that nobody can wake, with the switch
// off, and where this daemon's requests do not end.
func TestNoWait(t *testing.T) {
	ta, _ := waitingTable(t)
	late, silent := slotSimRequest(), slotSimRequest()
	late.Objective, late.Wake = -time.Second, func() {}
	for _, ne := range []Request{late, silent} {
		if ch, ti := ta.Pick(ne, ignore, begin); ti != nil || ch.Waiter != nil {
			t.Errorf("%+v waits or was sent", ne)
		}
	}
	ne := slotSimRequest()
	ne.Wake = func() {}
	if ch, _ := ta.Pick(ne, ignore, begin.Add(20*time.Second)); ch.Waiter != nil {
		t.Error("a request waits although no request has ended for 20 s")
	}
	ta.BoundedWait = false
	if ch, _ := ta.Pick(ne, ignore, begin); ch.Waiter != nil {
		t.Error("a request waits although waits are off")
	}
}

// The caller of a waiting request leaves, before or after it gets a slot. Guards against losing the
// slot.
func TestCallerLeavesWhileWaiting(t *testing.T) {
	ta, running := waitingTable(t)
	left, _ := wait(t, ta, 0)
	next, _ := wait(t, ta, 0)
	last, lastWoken := wait(t, ta, 0)
	ta.EndWait(left)
	running[0].EndAt(begin)
	_, ti := ta.EndWait(next)
	if ti == nil {
		t.Fatal("the slot went to the caller that has left")
	}
	ti.Return(begin)
	if !*lastWoken {
		t.Error("the slot of a caller that has left was not handed over")
	}
	if _, ti := ta.EndWait(last); ti == nil {
		t.Error("the last request got no slot")
	}
}

// The group is lost, stalls or drains while requests wait. Guards against sending them to it, and
// against ending their waits: another group serves them.
func TestGroupLostWhileWaiting(t *testing.T) {
	for name, lose := range map[string]func(*Table){
		"lost":    func(ta *Table) { update(ta, begin, group("b", "here")) },
		"stalled": func(ta *Table) { ta.MarkBroken("a", begin) },
		"draining": func(ta *Table) {
			gr := group("a", "here")
			gr.Draining = true
			update(ta, begin, gr, group("b", "here"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			ta, running := waitingTable(t)
			wa, woken := wait(t, ta, 0)
			lose(ta)
			running[0].EndAt(begin)
			if *woken {
				t.Fatal("the wait is over although the group is lost")
			}
			update(ta, begin, group("a", "here"), group("b", "here"))
			_, ti := ta.Pick(slotSimRequest(), ignore, begin)
			if ti == nil {
				t.Fatal("refused by an empty group")
			}
			ti.EndAt(begin)
			if ch, ti := ta.EndWait(wa); ti == nil || ch.Group.Name != "b" {
				t.Errorf("got %+v, want group b", ch)
			}
		})
	}
}

// The daemon stops while requests wait. Guards against callers that wait for nothing.
func TestStopWhileWaiting(t *testing.T) {
	ta, running := waitingTable(t)
	wa, woken := wait(t, ta, 0)
	ta.StopWaiting()
	running[0].EndAt(begin)
	if ch, ti := ta.EndWait(wa); !*woken || ti != nil || ch.RetryAfter <= 0 {
		t.Errorf("woken %v, %+v; want a refusal at once", *woken, ch)
	}
	ne := slotSimRequest()
	ne.Wake = func() {}
	for {
		ch, ti := ta.Pick(ne, ignore, begin)
		if ti == nil {
			if ch.Waiter != nil {
				t.Error("a request waits at a stopped daemon")
			}
			return
		}
	}
}

// Requests wait at ten daemons under twice the capacity, and at 60, each of which frees too few slots.
// Guards against overfilling groups with requests that waited, and against waits at daemons that
// cannot end them.
func TestWaitDoesNotOverfill(t *testing.T) {
	overfilled := func(daemons int, on bool) (over, served float64, waited int) {
		rs := &rankSim{slotSim: newSlotSim(3, daemons, 12)}
		rs.reportLatency = slotSimRelayLatency
		for _, ta := range rs.daemons {
			ta.BoundedWait = on
		}
		rates := rs.rates(0.4, 0.4, 1.2)
		rs.simulate(rates, 3*time.Second)
		inTime, steps, above := rs.inTime, rs.steps, rs.over
		rs.simulate(rates, 6*time.Second)
		return float64(rs.over-above) / float64(rs.steps-steps), float64(rs.inTime-inTime) / 6 / rs.capacity(), rs.waited
	}
	for _, daemons := range []int{10, 60} {
		off, servedOff, _ := overfilled(daemons, false)
		on, servedOn, waited := overfilled(daemons, true)
		t.Logf("%d daemons: groups above their slots for %.3f of the time with waits, %.3f without; served in time %.3f and %.3f; %d waited",
			daemons, on, off, servedOn, servedOff, waited)
		if on > off+0.06 || servedOn < servedOff-0.03 {
			t.Errorf("%d daemons: waits overfill groups or serve less", daemons)
		}
		if daemons == 10 && waited == 0 {
			t.Error("no request got a slot after a wait")
		}
	}
}

// Guards against memory beyond 1 MB in a queue of requests that wait at one daemon.
func TestWaitMemory(t *testing.T) {
	ta, _ := waitingTable(t)
	ta.freed.add("large", begin)
	ta.freed["large"].perSecond = 1e6
	for range 300 {
		ne := slotSimRequest()
		ne.Bytes, ne.Wake = 8<<10, func() {}
		ta.Pick(ne, ignore, begin)
	}
	if got := ta.waiting.Bytes(); got > maxWaitBytes || got < maxWaitBytes/2 {
		t.Errorf("%d bytes of waiting requests, want at most %d and at least half of it", got, maxWaitBytes)
	}
}
