package dispatch

import (
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

const (
	// lateShare is the part of a model's capacity that requests which can't be in time any
	// more may take at first. After a loss of all daemons those that callers have
	// sent meanwhile come at once, and what comes next would wait behind their prompts.
	lateShare = 0.6
	// lateBurst is the work of late requests that goes on at once, in a model's capacity.
	lateBurst = 50 * time.Millisecond
	// lateSpan is how long after its start a daemon holds late requests back. After that
	// it knows the groups' load and what it must keep free for others.
	lateSpan = 5 * time.Second
	// lateAnswers is how many usual answers' time a late request must have left for its own.
	lateAnswers = 2
)

// SetDaemons tells how many daemons there are. They share what late requests may take.
func (ta *Table) SetDaemonCount(num int) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.numDaemons = num
}

// Hold is for how long a late request is held back.
type Hold struct {
	// For is the time before it is picked a group.
	Delay time.Duration
	// Most is how long it may be held back in all, if it finds no group then.
	MaxDelay time.Duration
}

// HoldLate returns for how long to hold back a request before it is picked a group, and
// counts its work. left is the time until its caller gives up. A request that can be in time
// is not held back, and none is by a daemon that has been running for some time: one that
// has just started knows nothing of the groups' load.
func (ta *Table) HoldLate(ne Request, left time.Duration, now time.Time) Hold {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if ta.began.IsZero() {
		ta.began = now
	}
	if !ne.late() || now.Sub(ta.began) > lateSpan {
		return Hold{}
	}
	groups, sample := 0, (*Group)(nil)
	for _, gr := range ta.byName {
		if gr.takes(ne) {
			groups, sample = groups+1, gr
		}
	}
	if groups == 0 {
		return Hold{}
	}
	most := left - lateAnswers*answerTime(sample.engine, Load{Requests: sample.engine.Slots}, sample.model.TimeFactor())
	if most <= 0 {
		return Hold{}
	}
	if ta.lateNext == nil {
		ta.lateNext = make(map[string]time.Time)
	}
	// Each daemon has its part of the share, so a request takes as many times longer there.
	work := scale(ta.workOf(sample, ne.Prompt), float64(max(1, ta.numDaemons))/(lateShare*float64(groups)))
	next := ta.lateNext[ne.Model]
	if earliest := now.Add(-max(lateBurst, work)); next.Before(earliest) {
		next = earliest
	}
	if next.Sub(now) < most {
		ta.lateNext[ne.Model] = next.Add(work)
	}
	return Hold{Delay: min(most, max(0, next.Sub(now))), MaxDelay: most}
}

// workOf is the time that a request with such a prompt takes of a group whose slots are all
// taken.
func (ta *Table) workOf(gr *Group, prompt int64) time.Duration {
	answer := gr.engine.MeanAnswer
	if de := ta.demands[gr.Model]; de != nil && de.answers > 0 {
		answer = de.answer
	}
	one := catalog.Demand{Requests: 1, Prompt: float32(prompt), Answer: float32(answer)}
	return time.Duration(one.Groups(gr.engine, gr.model) * float64(time.Second))
}
