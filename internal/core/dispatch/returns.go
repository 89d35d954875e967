package dispatch

import (
	"time"

	"corianderhub.dev/corianderhub/internal/core/admit"
)

// Returns is the rate of returning requests for a model.
type Returns struct {
	// Due is the number of requests that were promised a return in the present second, Came the
	// number of those that returned in the last one.
	Due  float32 `cbor:"1,keyasint,omitempty"`
	Came float32 `cbor:"2,keyasint,omitempty"`
}

func (re Returns) plus(other Returns) Returns {
	return Returns{re.Due + other.Due, re.Came + other.Came}
}

func (re Returns) minus(other Returns) Returns {
	return Returns{re.Due - other.Due, re.Came - other.Came}
}

const (
	// minReturns is the least rate that is relayed. The differences of sums have rounding errors.
	minReturns = 0.001
	// unreservedLate is the share of lateReserve that applies to returns without reserved capacity,
	// whose callers waited as they were told. The whole reserve would refuse more of them a second time,
	// without serving more first attempts in time.
	unreservedLate = 0.5
	// returnReserveTime is the time for whose due returns slots are held back from other requests:
	// about the age of the load reports.
	returnReserveTime = 250 * time.Millisecond
)

// returning reports whether the caller of the request was refused before and has waited as long as
// the least delay that is promised.
func (ne *Request) returning() bool { return !ne.Resumed && ne.Waited >= retryFull }

// dueReturns returns the returns at all daemons, as far as their promises are honoured: up to the
// capacity that is free now. The rate of new requests is smoothed, so too much is promised when a
// burst begins, and a daemon that knows an outdated number of daemons may promise too much. Returns
// beyond the free capacity would make first attempts late.
func (ta *Table) dueReturns(model string, finish float64, now time.Time) Returns {
	due, came := ta.calendar.Due(model, now)
	re := ta.peerReturns[model].plus(Returns{float32(due), float32(came)})
	re.Due = max(0, min(re.Due, float32(ta.freeCapacity(model, finish, now).Free())))
	return re
}

// freeCapacity returns the capacity for returning requests, given the rate at which the model's groups
// finish requests.
func (ta *Table) freeCapacity(model string, finish float64, now time.Time) admit.Capacity {
	return admit.Capacity{Finish: finish, New: ta.offeredRate(model, now), Daemons: ta.numDaemons}
}

// finishRate returns the rate, per second, at which the groups that accept the request finish
// requests when most of their slots are in use, and the number of slots.
func (ta *Table) finishRate(ne Request) (perSecond float64, slots int) {
	for _, gr := range ta.byName {
		if !gr.accepts(ne) {
			continue
		}
		slots += gr.engine.Slots
		lo := gr.ownLoad.plus(gr.peerLoad)
		lo.Requests = gr.engine.Slots
		answer := max(minAnswerTime, answerTime(gr.engine, lo, gr.model.TimeFactor()*gr.slowness()))
		perSecond += float64(gr.engine.Slots) / answer.Seconds()
	}
	return perSecond, slots
}

// reserve returns the fraction of each group's slots that is held back from the request, and counts
// it if it is a return. A returning request that kept its promise has all slots, as long as no more
// return than were promised. Other requests leave slots for the returns that are due.
func (ta *Table) reserve(ne Request, now time.Time) float64 {
	late := 0.0
	if ne.late() && !ne.FinalAttempt {
		late = lateReserve
	}
	if !ta.ScheduleReturns || ne.Resumed {
		return late
	}
	finish, slots := ta.finishRate(ne)
	re := ta.dueReturns(ne.Model, finish, now)
	if ne.returning() {
		if slots > 0 && len(ne.Exclude) == 0 && !ne.Repeated {
			ta.calendar.RecordReturn(ne.Model, now)
		}
		if ta.random()*float64(max(1, re.Came)) < float64(re.Due) {
			return 0
		}
		return late * unreservedLate
	}
	return max(late, min(lateReserve, float64(re.Due)*returnReserveTime.Seconds()/float64(max(1, slots))))
}

// promise sets the retry time of a request that is refused because all groups are full, if returns
// are scheduled and the caller has time for more than the least delay. A caller retries once, so
// nothing is reserved for one that has returned already, nor for a request that is not refused for
// good: no caller would come for it.
func (ta *Table) promise(ch *Choice, ne Request, now time.Time) {
	most := ne.Left / maxWaitDivisor
	if !ta.ScheduleReturns || ne.Resumed || ne.Polled || most <= retryFull {
		return
	}
	if ne.returning() {
		ch.RetryAfter, ch.Scheduled = most, true
		return
	}
	if ta.calendar.Random == nil {
		ta.calendar.Random = ta.random
	}
	finish, _ := ta.finishRate(ne)
	pr := ta.calendar.Promise(ne.Model, ne.Rank, now, retryFull, most, ta.freeCapacity(ne.Model, finish, now))
	ch.RetryAfter, ch.Scheduled, ch.Reserved = pr.Delay, true, pr.Reserved
}

// maxWaitDivisor is the part of the time left up to which callers obey a retry time: a third.
const maxWaitDivisor = 3

// offeredRate returns the rate of requests at all daemons, per second, without returning ones.
func (ta *Table) offeredRate(model string, now time.Time) float64 {
	total := max(0, float64(ta.peerRates[model]))
	if ra := ta.rates[model]; ra != nil {
		total += ra.decayed(now)
	}
	_, came := ta.calendar.Due(model, now)
	return max(0, total-came-float64(ta.peerReturns[model].Came))
}

// Returns returns the returning requests of all models at all daemons, for metrics.
func (ta *Table) Returns(now time.Time) Returns {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	var all Returns
	for _, re := range ta.ownReturns(now) {
		all = all.plus(re)
	}
	for _, re := range ta.peerReturns {
		all = all.plus(re)
	}
	return all
}

// ownReturns returns the returns at this daemon by model.
func (ta *Table) ownReturns(now time.Time) map[string]Returns {
	all := make(map[string]Returns)
	ta.calendar.Models(func(model string) {
		if due, came := ta.calendar.Due(model, now); due > 0 || came > 0 {
			all[model] = Returns{float32(due), float32(came)}
		}
	})
	return all
}
