package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// The load that other daemons report is stale by the time it is used. If all daemons sent to the
// groups with the lowest reported load, these groups would get several times what they have room for
// while the others stay empty.
//
// Therefore each daemon estimates the requests that the others have sent since their last reports,
// as in M. Dahlin, "Interpreting Stale Load Information" (1999). It uses the rate at which requests
// arrive at all daemons and assumes that the others select groups by the same algorithm: at each
// moment, new requests raise the lowest loads to a common level. The estimate decays as the others
// report.
//
// A request is sent to a group with a probability proportional to the group's share in that level,
// and is refused with the probability that the level exceeds the available slots.

const (
	// estimateStep is the time step of the estimate of the others' requests. estimateHorizonDelays
	// limits how far back the estimate goes, in report delays.
	estimateStep          = 10 * time.Millisecond
	estimateHorizonDelays = 4
	// concurrentWindow is the time within which daemons select groups without information about each
	// other's selections. Without it all of them would select the same group.
	concurrentWindow = 10 * time.Millisecond
)

// estimatePeers advances to now the estimates of the requests that the other daemons have sent to a
// model's groups since their last reports.
func (ta *Table) estimatePeers(model string, now time.Time) {
	ta.expirePeers(now)
	groups, unavailable := make([]*Group, 0, len(ta.byName)), make([]bool, 0, len(ta.byName))
	for _, gr := range ta.byName {
		if gr.Model == model && gr.inView {
			groups = append(groups, gr)
			unavailable = append(unavailable, gr.draining || gr.stalled || ta.Backpressure.Restricted(gr.leader(), now))
		}
	}
	if ta.reportDelay <= 0 || len(groups) == 0 {
		// Callers can send arbitrary model names; models without a group are not stored.
		return
	}
	perSecond := max(0, float64(ta.peerRates[model]))
	from := ta.estimatedUntil[model]
	ta.estimatedUntil[model] = now
	since := min(now.Sub(from), estimateHorizonDelays*ta.reportDelay)
	if since <= 0 {
		return
	}
	bases, levels := make([]levelBase, len(groups)), make([]level, len(groups))
	for i, gr := range groups {
		bases[i] = ta.levelBase(gr, now)
		if unavailable[i] {
			bases[i].room = 0
		}
	}
	for ; since > 0; since -= estimateStep {
		step := min(since, estimateStep)
		for i, gr := range groups {
			levels[i] = bases[i].level(gr.unreported)
		}
		shares := ta.fillRanks(model, groups, levels, perSecond, step)
		decay := math.Exp(-step.Seconds() / ta.reportDelay.Seconds())
		for i, gr := range groups {
			gr.unreported = (gr.unreported + shares[i]) * decay
		}
	}
}

// level is a group's load and its maximum load, in requests.
type level struct {
	// load is the estimated number of requests at the group.
	load float64
	// room is the load up to which the group may be filled.
	room float64
}

// level estimates a group's load, corrected by the load that its leader states. The correction never
// lowers the estimate below the requests that this daemon itself has at the group.
func (ta *Table) level(gr *Group, now time.Time) level {
	return ta.levelBase(gr, now).level(gr.unreported)
}

// levelBase is what a group's level is computed from, besides the requests that the other daemons have
// sent since their reports.
type levelBase struct {
	// own is the number of requests that this daemon sent, reported the one that the others reported
	// minus those that have ended since.
	own, reported float64
	// correction is the correction by the load that the leader states.
	correction float64
	room       float64
}

// level returns the level if the others have sent that many requests since their reports.
func (lb levelBase) level(unreported float64) level {
	return level{load: lb.own + max(0, lb.reported+unreported+lb.correction), room: lb.room}
}

// levelBase returns the base of a group's level at now.
func (ta *Table) levelBase(gr *Group, now time.Time) levelBase {
	answer := gr.answerTime()
	remaining := max(0, 1-ta.reportDelay.Seconds()/answer.Seconds())
	slots := float64(gr.engine.Slots)
	return levelBase{
		own:        float64(gr.ownLoad.Requests),
		reported:   float64(gr.peerLoad.Requests) * remaining,
		correction: gr.account.Correction(now, answer),
		room:       slots - unreportedMargin*unreportedDeviation(slots, ta.reportDelay, answer),
	}
}

// answerTime returns the mean duration of an answer of the group under its present load.
func (gr *Group) answerTime() time.Duration {
	return max(minAnswerTime, answerTime(gr.engine, gr.ownLoad.plus(gr.peerLoad), gr.model.TimeFactor()*gr.slowness()))
}

// unreportedMargin is the headroom left in each group, in standard deviations of the unreported
// change of its load.
const unreportedMargin = 0.6

// unreportedDeviation returns the standard deviation of the change of a full group's load since it
// was reported: requests arrive and end at random, on average as many as there are slots within the
// duration of one answer. Without headroom, a group is overfilled half of the time, and the requests
// that wait for a slot are late.
func unreportedDeviation(slots float64, delay, answer time.Duration) float64 {
	return min(slots, math.Sqrt(2*slots*delay.Seconds()/answer.Seconds()))
}

// minAnswerTime replaces the answer time of an engine whose description states no times, to avoid a
// division by zero.
const minAnswerTime = 10 * time.Millisecond

// fill distributes requests over groups by water-filling: it raises the lowest loads to a common
// level, none above its room. It returns the share of each group and the number of requests left
// over.
func fill(groups []level, requests float64) (shares []float64, left float64) {
	shares = make([]float64, len(groups))
	var open []int
	for i, gr := range groups {
		if gr.load < gr.room {
			open = append(open, i)
		}
	}
	slices.SortFunc(open, func(one, other int) int { return cmp.Compare(groups[one].load, groups[other].load) })
	for len(open) > 0 {
		height := waterLevel(groups, open, requests)
		full := func(i int) bool { return groups[i].room <= height }
		if !slices.ContainsFunc(open, full) {
			for _, i := range open {
				shares[i] = max(0, height-groups[i].load)
			}
			return shares, 0
		}
		// These groups are filled to their room; the rest is distributed over the others.
		for _, i := range open {
			if full(i) {
				shares[i] = groups[i].room - groups[i].load
				requests -= shares[i]
			}
		}
		open = slices.DeleteFunc(open, full)
	}
	return shares, max(0, requests)
}

// waterLevel returns the level to which the requests raise the lowest groups, ignoring their rooms.
// order lists the groups by increasing load.
func waterLevel(groups []level, order []int, requests float64) float64 {
	sum := 0.0
	for num, i := range order {
		sum += groups[i].load
		height := (requests + sum) / float64(num+1)
		if num+1 == len(order) || height <= groups[order[num+1]].load {
			return height
		}
	}
	return 0
}

// arrivals maps each model to its rate of requests.
type arrivals map[string]*rate

// rate is a smoothed number of requests or tokens per second.
type rate struct {
	at        time.Time
	perSecond float64
}

// rateTimeConstant is the time constant of the smoothing: long enough for a daemon that gets few
// requests, and shorter than a burst.
const rateTimeConstant = 2 * time.Second

// maxRates is the number of models whose rates are tracked; callers can send arbitrary model names.
const maxRates = 256

// add counts a request for a model.
func (ar arrivals) add(model string, now time.Time) {
	ra := ar[model]
	if ra == nil {
		if len(ar) >= maxRates {
			return
		}
		ra = &rate{at: now}
		ar[model] = ra
	}
	ra.add(1, now)
}

// add counts num requests or tokens that arrived at now.
func (ra *rate) add(num float64, now time.Time) {
	ra.perSecond = ra.decayed(now) + num/rateTimeConstant.Seconds()
	ra.at = now
}

// all returns the rates, per second, of all models whose rate exceeds minRate.
func (ar arrivals) all(now time.Time) map[string]float32 {
	rates := make(map[string]float32, len(ar))
	for model, ra := range ar {
		if perSecond := ra.decayed(now); perSecond > minRate {
			rates[model] = float32(perSecond)
		}
	}
	return rates
}

// minRate is the rate per second below which a model is not reported.
const minRate = 0.05

// decayed returns the rate at now if nothing has arrived since the last update.
func (ra *rate) decayed(now time.Time) float64 {
	return ra.perSecond * math.Exp(-now.Sub(ra.at).Seconds()/rateTimeConstant.Seconds())
}
