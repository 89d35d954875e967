package dispatch

import (
	"slices"
	"time"

	"corianderhub.dev/corianderhub/internal/core/admit"
)

// candidate is a group with the prediction for the request.
type candidate struct {
	gr *Group
	Prediction
	// baseline is the predicted time to the first event without the residual.
	baseline time.Duration
	fits     bool
	// running is the estimated number of requests at the group.
	running float64
	// weight is the group's share of the requests that all daemons are sending now.
	weight float64
}

// Choice is the result of Pick.
type Choice struct {
	// Group is the selected group, or nil if the request is refused.
	Group *Group
	Prediction
	// Running is the estimated number of other requests at the group.
	Running float64
	// Correction is the part of the estimate that results from the load that servers state, ReadingAge
	// the age of the newest such statement of the group; 0 if there is none.
	Correction float64
	ReadingAge time.Duration
	// Idle is set if at least half of the group's slots are estimated to be free.
	Idle bool
	// MeetsObjective is set if the request is expected to meet its objective.
	MeetsObjective bool
	// Groups is the number of groups that accept the request. AllLimited is set if there are groups
	// for the model but the limits reported by their leaders currently reject requests at all of them.
	Groups     int
	AllLimited bool
	// RetryAfter is the suggested time before a retry if Group is nil. If Scheduled is set, it is
	// already spread over the callers and must not be extended. Reserved is set if capacity is set
	// aside for the request at that time.
	RetryAfter          time.Duration
	Scheduled, Reserved bool
	// Rank is the request's rank. Excess is the fraction of the requests for the model that exceeds
	// the room of its groups for this rank, FreeSlots the estimated room of all these groups.
	Rank      int
	Excess    float64
	FreeSlots float64
	// SumsAge is the time since the last report of other daemons, or negative if there was none.
	SumsAge time.Duration
	// Waiter is set if Group is nil and the request waits for a slot. The caller must call EndWait
	// when the request's Wake was called, after Waiter.Limit, or when the request is canceled.
	Waiter *Waiter
}

// excess is the fraction of the concurrent requests for a model that exceeds the room of its groups.
type excess struct {
	// all is the fraction without the room reserved for more urgent ranks, rank that with it.
	all, rank float64
	// free is the sum of the groups' room for the rank, in requests.
	free float64
}

// Pick selects the group for a request and counts the request there. If it refuses the request,
// Choice.Group and the Ticket are nil; the request waits if Choice.Waiter is set. onStall is called
// when the group has stalled.
func (ta *Table) Pick(ne Request, onStall func(error), now time.Time) (Choice, *Ticket) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.initMeasurements()
	ne.Rank = min(admit.NumRanks-1, max(0, ne.Rank))
	var counter *rankCounter
	measured := !ne.Resumed && !ne.Repeated && ta.measures(ne.Model)
	if measured {
		ta.rates.add(ne.Model, now)
		ta.rankCounters.offer(ne, now)
	}
	if !ne.Resumed {
		counter = ta.rankCounters[ne.Model]
	}
	if measured && !ne.late() && len(ne.Exclude) == 0 {
		ta.demands.recordRequest(ne.Model, ne.Prompt, now)
	}
	ta.estimatePeers(ne.Model, now)
	ranks := ta.ranksOf(ne.Model, now)
	cands, ex := ta.candidates(ne, ranks.Reserve(ne.Rank), now)
	ch := Choice{Groups: len(cands), Rank: ne.Rank, Excess: ex.rank, FreeSlots: ex.free, SumsAge: ta.sumsAge(now)}
	if len(cands) == 0 {
		ch.RetryAfter = ta.waitTime(ne, now)
		ch.AllLimited = ch.RetryAfter > 0
		if !ch.AllLimited {
			ch.RetryAfter = retryNoGroup
		}
		return ch, nil
	}
	ta.recordWork(ne, cands[0].gr, now)
	best := choose(cands, ta.random())
	ch.describe(best)
	ch.Correction, ch.ReadingAge = best.gr.account.Correction(now, best.gr.answerTime()), best.gr.readingAge(now)
	if ta.overloaded(ne, ex, &ranks, now) || !best.fits && !admissible(best, ne) {
		ch.RetryAfter = max(retryFull, best.FirstEvent-ne.Objective)
		if ch.Waiter = ta.wait(best, ch, ne, onStall, now); ch.Waiter == nil {
			ta.promise(&ch, ne, now)
		}
		return ch, nil
	}
	ch.Group = best.gr
	if counter != nil {
		counter.sent[ne.Rank].add(now)
	}
	return ch, ta.start(best, ne, onStall, now)
}

// describe sets the fields about the group that the request is, or would be, sent to.
func (ch *Choice) describe(ca candidate) {
	ch.Prediction, ch.MeetsObjective, ch.Running = ca.Prediction, ca.fits, ca.running
	ch.Idle = ca.running < float64(ca.gr.engine.Slots)/2
}

// overloaded draws whether a request is refused because the requests for its model exceed the room of
// the groups. Where the requests have more than one rank, the less urgent ones are refused first, and
// within a rank those of workspaces above their share.
func (ta *Table) overloaded(ne Request, ex excess, ranks *admit.Ranks, now time.Time) bool {
	if ne.Resumed {
		return false
	}
	refusal := ex.all
	if ranks.Mixed() {
		if ex.all >= 1 {
			// Without weights, all daemons would choose the same group.
			return true
		}
		refusal = ranks.Refusal(ne.Rank, ex.rank)
	}
	byShare := admit.RefusalByShare(ta.overOf(ne.Model, now), ne.Workspace, refusal)
	// A workspace above its share whose requests are all of a refused rank is refused for both, and
	// must still keep the least service.
	return ta.random() < min(byShare, max(refusal, ranks.MaxRefusal()))
}

// admissible reports whether a request that misses its objective is sent nevertheless: a late answer
// is still useful to its caller, but the request must not delay all other requests.
func admissible(ca candidate, ne Request) bool {
	return !ca.Full && ca.FirstEvent < ne.MaxWait && ca.Pass <= ne.MaxPause
}

// candidates returns the groups that accept the request, and the excess of the concurrent requests
// for its model. reserve is the fraction of the slots that the request leaves to more urgent ones.
func (ta *Table) candidates(ne Request, reserve float64, now time.Time) ([]candidate, excess) {
	var cands []candidate
	var levels []level
	lateReserved := ta.reserve(ne, now)
	for _, gr := range ta.byName {
		if !gr.accepts(ne) || !ta.Backpressure.Accepts(gr.leader(), now) {
			continue
		}
		le, remoteCost := ta.level(gr, now), ta.remoteCost(gr)
		le.room -= lateReserved * float64(gr.engine.Slots)
		cands = append(cands, candidate{gr: gr, running: le.load})
		levels = append(levels, level{le.load + remoteCost, le.room + remoteCost})
	}
	moving := ta.moves.forModel(ne.Model, now)
	concurrent := max(0, float64(ta.peerRates[ne.Model]))*concurrentWindow.Seconds() + moving
	if moving > 0 {
		boundMoves(levels, moving)
	}
	shares, left := fill(levels, concurrent+1)
	for i := range cands {
		ca := &cands[i]
		ca.weight = shares[i]
		lo := ca.gr.ownLoad.plus(ca.gr.peerLoad)
		lo.Requests = int(ca.running + shares[i]*concurrent/(concurrent+1))
		lo.PrefillTokens += int64(shares[i] * moving / (concurrent + 1) * float64(ne.Prompt))
		ta.predict(ca, ne, lo)
	}
	ex := excess{all: left / (concurrent + 1), rank: left / (concurrent + 1)}
	if reserve > 0 {
		for i := range levels {
			levels[i].room -= reserve * float64(cands[i].gr.engine.Slots)
		}
		_, left = fill(levels, concurrent+1)
		ex.rank = left / (concurrent + 1)
	}
	for _, le := range levels {
		ex.free += max(0, le.room-le.load)
	}
	return cands, ex
}

// predict sets the prediction of a candidate for the request at load lo.
func (ta *Table) predict(ca *candidate, ne Request, lo Load) {
	limit := ne.Objective
	if ne.late() {
		limit = ne.MaxWait
	}
	ca.Prediction = predict(ca.gr.engine, ca.gr.model, ca.gr.slowness(), lo, ne.Prompt)
	ca.baseline = ca.FirstEvent
	ca.FirstEvent += ta.residuals.forModel(ne.Model)
	ca.fits = !ca.Full && ca.FirstEvent <= limit && ca.Pass <= scale(ne.MaxPause, pauseMargin)
}

// accepts reports whether the request may be sent to the group, limits of its leader aside.
func (gr *Group) accepts(ne Request) bool {
	if !gr.inView || gr.draining || gr.stalled {
		return false
	}
	return gr.Service == ne.Service && gr.Model == ne.Model && !slices.Contains(ne.Exclude, gr)
}

// remoteCost returns the number of requests added to the group's load if it is in another data
// centre.
func (ta *Table) remoteCost(gr *Group) float64 {
	if gr.DataCenter == ta.DataCenter {
		return 0
	}
	return remoteLoad
}

// choose returns one of the candidates that fit, with probabilities proportional to their weights.
// If none fits, it returns the one with the earliest first event, groups with free slots first.
// random is a number in [0, 1).
func choose(cands []candidate, random float64) candidate {
	sum := 0.0
	for _, ca := range cands {
		if ca.fits {
			sum += ca.weight
		}
	}
	at := random * sum
	for _, ca := range cands {
		if !ca.fits || ca.weight <= 0 {
			continue
		}
		if at -= ca.weight; at < 0 {
			return ca
		}
	}
	best := cands[0]
	for _, ca := range cands[1:] {
		if ca.Full == best.Full && ca.FirstEvent < best.FirstEvent || best.Full && !ca.Full {
			best = ca
		}
	}
	return best
}

// start counts the request at the candidate's group and returns its ticket.
func (ta *Table) start(ca candidate, ne Request, onStall func(error), now time.Time) *Ticket {
	gr := ca.gr
	ta.Backpressure.RecordSent(gr.leader(), now)
	ti := &Ticket{Group: gr, ta: ta, load: Load{Requests: 1, PrefillTokens: ne.Prompt}, onStall: onStall, sent: now}
	if gr.slowness() <= 1 && !ca.Full {
		ti.baseline = ca.baseline
	}
	if gr.ownLoad.Requests == 0 {
		gr.lastActivity = now
	}
	gr.ownLoad = gr.ownLoad.plus(ti.load)
	gr.streams[ti] = struct{}{}
	return ti
}
