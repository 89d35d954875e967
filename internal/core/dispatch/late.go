package dispatch

import (
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

const (
	// lateShare is the fraction of a model's capacity available to late requests, that is, to those
	// past their latency objective, in the first seconds after a start. After a loss of all daemons,
	// the requests that callers sent meanwhile arrive all at once, and new requests would otherwise
	// wait behind their prompts.
	lateShare = 0.6
	// lateBurst is the amount of late work that is admitted at once, as time at a model's full
	// capacity.
	lateBurst = 50 * time.Millisecond
	// lateHoldPeriod is the time after its first request in which a daemon delays late requests.
	// Afterwards it has an estimate of the groups' load and of the capacity that other requests need.
	lateHoldPeriod = 5 * time.Second
	// lateAnswerTimes is the time, in mean answer times, that a late request must have left for its
	// own answer.
	lateAnswerTimes = 2
)

// SetDaemonCount sets the number of daemons, which share the capacity for late requests.
func (ta *Table) SetDaemonCount(num int) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.numDaemons = num
}

// Hold is the delay to apply to a late request. It is zero for a request that need not wait.
type Hold struct {
	// Delay is the delay before the first call of Pick.
	Delay time.Duration
	// MaxDelay is the total time that the request may be delayed if Pick finds no group at first.
	MaxDelay time.Duration
}

// HoldLate returns the delay before a request is passed to Pick, and reserves capacity for its work.
// left is the time until the caller's timeout. Only late requests are delayed, and only in the first
// lateHoldPeriod: a daemon that has just started has no estimate of the groups' load.
func (ta *Table) HoldLate(ne Request, left time.Duration, now time.Time) Hold {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if ta.firstRequestAt.IsZero() {
		ta.firstRequestAt = now
	}
	if !ne.late() || now.Sub(ta.firstRequestAt) > lateHoldPeriod {
		return Hold{}
	}
	groups, sample := 0, (*Group)(nil)
	for _, gr := range ta.byName {
		if gr.accepts(ne) {
			groups, sample = groups+1, gr
		}
	}
	if groups == 0 {
		return Hold{}
	}
	most := left - lateAnswerTimes*answerTime(sample.engine, Load{Requests: sample.engine.Slots}, sample.model.TimeFactor())
	if most <= 0 {
		return Hold{}
	}
	if ta.nextLate == nil {
		ta.nextLate = make(map[string]time.Time)
	}
	// This daemon has 1/numDaemons of the share, so each request takes that many times longer.
	work := scale(ta.serviceTime(sample, ne.Prompt), float64(max(1, ta.numDaemons))/(lateShare*float64(groups)))
	next := ta.nextLate[ne.Model]
	if earliest := now.Add(-max(lateBurst, work)); next.Before(earliest) {
		next = earliest
	}
	if next.Sub(now) < most {
		ta.nextLate[ne.Model] = next.Add(work)
	}
	return Hold{Delay: min(most, max(0, next.Sub(now))), MaxDelay: most}
}

// serviceTime returns the capacity that a request with the given number of prompt tokens uses, as
// time of a group whose slots are all in use.
func (ta *Table) serviceTime(gr *Group, prompt int64) time.Duration {
	answer := gr.engine.MeanAnswer
	if de := ta.demands[gr.Model]; de != nil && de.answerCount > 0 {
		answer = de.meanAnswer
	}
	one := catalog.Demand{Requests: 1, Prompt: float32(prompt), Answer: float32(answer)}
	return time.Duration(one.Groups(gr.engine, gr.model) * float64(time.Second))
}
