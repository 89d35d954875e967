package dispatch

import (
	"time"

	"corianderhub.dev/corianderhub/internal/core/admit"
)

// maxWaitBytes bounds the memory of the requests that wait for a slot.
const maxWaitBytes = 1 << 20

// Waiter is a request that waits at this daemon for one of the slots that its own requests use. The
// daemon whose request ends is the first to know that the slot is free, and the only one that hands
// it to a waiting request; other daemons do not wake up for it. The caller must call EndWait.
type Waiter struct {
	// Limit is the longest useful wait.
	Limit   time.Duration
	ta      *Table
	ne      Request
	onStall func(error)
	since   time.Time
	entry   *admit.Waiter[*Waiter]
	// choice is the refusal until the request gets a slot, then the choice of its group.
	choice Choice
	ticket *Ticket
}

// wait queues a request that Pick refuses and returns its waiter. It returns nil if the request
// cannot meet its objective after a wait, or if this daemon's requests are not expected to end in
// time. ca is the best candidate.
func (ta *Table) wait(ca candidate, ch Choice, ne Request, onStall func(error), now time.Time) *Waiter {
	if !ta.BoundedWait || ta.waitStopped || ne.Wake == nil || ne.late() || ta.freed[ne.Model] == nil {
		return nil
	}
	lo := ca.gr.ownLoad.plus(ca.gr.peerLoad)
	lo.Requests = min(int(ca.running), ca.gr.engine.Slots-1)
	pr := predict(ca.gr.engine, ca.gr.model, ca.gr.slowness(), lo, ne.Prompt)
	limit := ne.Objective - pr.FirstEvent - ta.residuals.forModel(ne.Model)
	if limit <= 0 {
		return nil
	}
	wa := &Waiter{Limit: limit, ta: ta, ne: ne, onStall: onStall, since: now, choice: ch}
	wa.entry = &admit.Waiter[*Waiter]{Resumed: ne.Resumed, Rank: ne.Rank, Deadline: now.Add(limit), Bytes: ne.Bytes, Request: wa}
	ta.waiting.MaxBytes = maxWaitBytes
	evicted, ok := ta.waiting.Join(ne.Model, wa.entry, ta.freed[ne.Model].decayed(now), now)
	for _, out := range evicted {
		out.Request.ne.Wake()
	}
	if !ok {
		return nil
	}
	return wa
}

// EndWait ends the wait of a request. It returns the choice and the ticket of the request if it got a
// slot, and the refusal otherwise.
func (ta *Table) EndWait(wa *Waiter) (Choice, *Ticket) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.waiting.Cancel(wa.ne.Model, wa.entry)
	return wa.choice, wa.ticket
}

// RefuseWaiter returns the refusal of a request whose wait has ended without a slot, with the time at
// which its caller is to return. Nothing is reserved before: the request could still get a slot.
func (ta *Table) RefuseWaiter(wa *Waiter, now time.Time) Choice {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ch, ne := wa.choice, wa.ne
	if ne.Left > 0 {
		ne.Left -= now.Sub(wa.since)
	}
	ta.promise(&ch, ne, now)
	return ch
}

// Waiting returns the number of requests that wait for a slot, and the memory that they take.
func (ta *Table) Waiting() (num int, bytes int64) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return ta.waiting.Len(), ta.waiting.Bytes()
}

// StopWaiting ends all waits, because the daemon stops. Requests that Pick refuses wait no more.
func (ta *Table) StopWaiting() {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.waitStopped = true
	for _, out := range ta.waiting.Drain() {
		out.Request.ne.Wake()
	}
}

// EndAt records that the request has ended at the group because its answer is complete, and hands its
// slot to a waiting request. Requests that failed end with End instead: their group may be broken.
// Further calls of either have no effect.
func (ti *Ticket) EndAt(now time.Time) { ti.pass(true, now) }

// Return ends a request that was not sent because its caller has left, and hands its slot to the next
// waiting request.
func (ti *Ticket) Return(now time.Time) { ti.pass(false, now) }

// pass implements EndAt and Return. complete is set if the request has run.
func (ti *Ticket) pass(complete bool, now time.Time) {
	ta := ti.ta
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if ti.done {
		return
	}
	ti.end()
	gr := ti.Group
	if !ta.BoundedWait || !gr.inView || gr.draining || gr.stalled || !ta.Backpressure.Accepts(gr.leader(), now) {
		return
	}
	if complete && ta.hasRoom(gr, 0, now) {
		if ta.freed == nil {
			ta.freed = make(arrivals)
		}
		ta.freed.add(gr.Model, now)
	}
	ta.handOver(gr, now)
}

// hasRoom reports whether the group has room for one more request that leaves the fraction reserve of
// the slots free.
func (ta *Table) hasRoom(gr *Group, reserve float64, now time.Time) bool {
	le := ta.level(gr, now)
	return le.load+1 <= le.room-reserve*float64(gr.engine.Slots)
}

// handOver gives a slot of the group to the first waiting request that can use it.
func (ta *Table) handOver(gr *Group, now time.Time) {
	if ta.waiting.Waiting(gr.Model) == 0 {
		return
	}
	ta.estimatePeers(gr.Model, now)
	ranks := ta.ranksOf(gr.Model, now)
	var ca candidate
	next := ta.waiting.Next(gr.Model, func(wt *admit.Waiter[*Waiter]) bool {
		ne := wt.Request.ne
		if !gr.accepts(ne) || !ta.hasRoom(gr, ranks.Reserve(ne.Rank), now) {
			return false
		}
		ne.Objective -= now.Sub(wt.Request.since)
		ca = candidate{gr: gr, running: ta.level(gr, now).load}
		lo := gr.ownLoad.plus(gr.peerLoad)
		lo.Requests = int(ca.running)
		ta.predict(&ca, ne, lo)
		return ca.fits
	}, now)
	if next == nil {
		return
	}
	wa := next.Request
	wa.choice.describe(ca)
	wa.choice.Group, wa.choice.RetryAfter = gr, 0
	wa.ticket = ta.start(ca, wa.ne, wa.onStall, now)
	if co := ta.rankCounters[gr.Model]; co != nil && !wa.ne.Resumed {
		co.sent[wa.ne.Rank].add(now)
	}
	wa.ne.Wake()
}
