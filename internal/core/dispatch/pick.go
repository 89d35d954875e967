package dispatch

import (
	"context"
	"slices"
	"time"
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
	// Excess is the fraction of the present requests for the model that exceeds the capacity of its
	// groups, FreeSlots the estimated number of free slots at them, and SumsAge the age of the oldest
	// report of other daemons in these estimates, negative without any. They are set if the request
	// is refused though there are groups.
	Excess    float64
	FreeSlots float64
	SumsAge   time.Duration
}

// Pick selects the group for a request and counts the request there. If it refuses the request,
// Choice.Group and the Ticket are nil. cancel is called with ErrStalled if the request has to
// continue at another group.
func (ta *Table) Pick(ne Request, cancel context.CancelCauseFunc, now time.Time) (Choice, *Ticket) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if ta.rates == nil {
		ta.rates, ta.estimatedUntil, ta.demands = make(arrivals), make(map[string]time.Time), make(demands)
	}
	if !ne.Resumed {
		ta.rates.add(ne.Model, now)
	}
	if !ne.Resumed && !ne.late() && len(ne.Exclude) == 0 {
		ta.demands.recordRequest(ne.Model, ne.Prompt, now)
	}
	ta.estimatePeers(ne.Model, now)
	cands, left := ta.candidates(ne, now)
	ch := Choice{Groups: len(cands)}
	if len(cands) == 0 {
		ch.RetryAfter = ta.waitTime(ne, now)
		ch.AllLimited = ch.RetryAfter > 0
		if !ch.AllLimited {
			ch.RetryAfter = retryNoGroup
		}
		return ch, nil
	}
	best := choose(cands, ta.random())
	ch.Prediction, ch.MeetsObjective, ch.Running = best.Prediction, best.fits, best.running
	ch.Idle = best.running < float64(best.gr.engine.Slots)/2
	if overloaded := !ne.Resumed && ta.random() < left; overloaded || !best.fits && !admissible(best, ne) {
		ch.RetryAfter = max(retryFull, best.FirstEvent-ne.Objective)
		ta.promise(&ch, ne, now)
		ta.recordInputs(&ch, cands, left, now)
		return ch, nil
	}
	ch.Group = best.gr
	return ch, ta.start(best, ne, cancel, now)
}

// admissible reports whether a request that misses its objective is sent nevertheless: a late answer
// is still useful to its caller, but the request must not delay all other requests.
func admissible(ca candidate, ne Request) bool {
	return !ca.Full && ca.FirstEvent < ne.MaxWait && ca.Pass <= ne.MaxPause
}

// candidates returns the groups that accept the request, and the fraction of the concurrent requests
// for its model that exceeds the room of these groups.
func (ta *Table) candidates(ne Request, now time.Time) ([]candidate, float64) {
	var cands []candidate
	var levels []level
	reserve := ta.reserve(ne, now)
	for _, gr := range ta.byName {
		if !gr.accepts(ne) || !ta.Backpressure.Accepts(gr.leader(), now) {
			continue
		}
		le, remoteCost := ta.level(gr), ta.remoteCost(gr)
		le.room -= reserve * float64(gr.engine.Slots)
		cands = append(cands, candidate{gr: gr, running: le.load})
		levels = append(levels, level{le.load + remoteCost, le.room + remoteCost})
	}
	limit := ne.Objective
	if ne.late() {
		limit = ne.MaxWait
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
		ca.Prediction = predict(ca.gr.engine, ca.gr.model, ca.gr.slowness(), lo, ne.Prompt)
		ca.baseline = ca.FirstEvent
		ca.FirstEvent += ta.residuals.forModel(ne.Model)
		ca.fits = !ca.Full && ca.FirstEvent <= limit && ca.Pass <= scale(ne.MaxPause, pauseMargin)
	}
	return cands, left / (concurrent + 1)
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
func (ta *Table) start(ca candidate, ne Request, cancel context.CancelCauseFunc, now time.Time) *Ticket {
	gr := ca.gr
	ta.Backpressure.RecordSent(gr.leader(), now)
	ti := &Ticket{Group: gr, ta: ta, load: Load{Requests: 1, PrefillTokens: ne.Prompt}, cancel: cancel, sent: now}
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
