package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// The load that other daemons report is stale by the time it counts. Meanwhile all of
// them send to the groups that looked best, which then get several times what they have
// room for, while the rest run empty.
//
// So each daemon estimates the requests that the others have sent since their last report,
// as in M. Dahlin, "Interpreting Stale Load Information" (1999). A daemon knows the rate at
// which requests come to all of them, and that the others choose as it does itself: at each
// moment, what comes raises the lowest loads to a common level. The estimate fades as the
// others report.
//
// A request goes to a group with the probability that the level gives it, and is
// refused with the probability that the level lies above the slots.

const (
	// estimateStep is the step in which requests that the others send are estimated,
	// and estimateDelays how many times the delay back that is done.
	estimateStep   = 10 * time.Millisecond
	estimateDelays = 4
	// besideSpan is the time within which daemons choose without knowing of each
	// other's choice. Were it left out, all would choose the same group.
	besideSpan = 10 * time.Millisecond
)

// estimatePeers brings the requests up to now that the others are expected to have sent
// to a model's groups since their last reports.
func (ta *Table) estimatePeers(model string, now time.Time) {
	var groups []*Group
	var closed []bool
	for _, gr := range ta.byName {
		if gr.Model == model && gr.listed {
			groups = append(groups, gr)
			closed = append(closed, gr.leaving || gr.stalled || ta.Backpressure.Restricted(gr.head(), now))
		}
	}
	if ta.delay <= 0 || len(groups) == 0 {
		// Callers may name any model: those without a group are not kept.
		return
	}
	perSecond := max(0, float64(ta.peerRates[model]))
	from := ta.estimated[model]
	ta.estimated[model] = now
	since := min(now.Sub(from), estimateDelays*ta.delay)
	for ; since > 0; since -= estimateStep {
		step := min(since, estimateStep)
		levels := make([]level, len(groups))
		for i, gr := range groups {
			levels[i] = ta.level(gr)
			if closed[i] {
				levels[i].room = 0
			}
		}
		shares, _ := fill(levels, perSecond*step.Seconds())
		told := math.Exp(-step.Seconds() / ta.delay.Seconds())
		for i, gr := range groups {
			gr.untold = (gr.untold + shares[i]) * told
		}
	}
}

// level is a group's load and room in requests.
type level struct {
	// load is what the group is expected to run.
	load float64
	// room is the load up to which it may be filled.
	room float64
}

// level estimates a group's load: what this daemon sent, what the others told less
// what has ended since, and what they are expected to have sent since.
func (ta *Table) level(gr *Group) level {
	life := max(minLife, answerTime(gr.engine, gr.own.plus(gr.peers), gr.model.TimeFactor()*gr.slowness()))
	still := max(0, 1-ta.delay.Seconds()/life.Seconds())
	slots := float64(gr.engine.Slots)
	return level{
		load: float64(gr.own.Requests) + float64(gr.peers.Requests)*still + gr.untold,
		room: slots - untoldMargin*untoldSpread(slots, ta.delay, life),
	}
}

// untoldMargin is how many standard deviations of what is not known of a group's
// load are left free.
const untoldMargin = 0.6

// untoldSpread is the standard deviation of how far a full group's load has moved
// since it was told: requests come and go at random, as many as there are slots in
// the life of one. A group filled up to its last slot gets more than that half of
// the time, and what waits for a slot is late.
func untoldSpread(slots float64, delay, life time.Duration) float64 {
	return min(slots, math.Sqrt(2*slots*delay.Seconds()/life.Seconds()))
}

// minLife stands in for an engine whose stated times are all zero.
const minLife = 10 * time.Millisecond

// fill spreads the requests that are not known of yet over groups: it raises
// the lowest loads to a common level, none above its room. It returns what each
// group gets, and how many requests found no room.
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
		height := common(groups, open, requests)
		full := func(i int) bool { return groups[i].room <= height }
		if !slices.ContainsFunc(open, full) {
			for _, i := range open {
				shares[i] = max(0, height-groups[i].load)
			}
			return shares, 0
		}
		// What these have no room for goes to the others.
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

// common returns the level to which the requests raise the lowest groups, if
// rooms did not matter. order holds the groups by load.
func common(groups []level, order []int, requests float64) float64 {
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

// arrivals measures the rate of requests for each model.
type arrivals map[string]*rate

// rate is a smoothed number of requests or tokens a second.
type rate struct {
	at        time.Time
	perSecond float64
}

// rateSpan is the time over which rates are smoothed: long enough for a daemon that gets
// few requests, and shorter than a burst.
const rateSpan = 2 * time.Second

// maxRates bounds the models whose rates are kept, since callers name them.
const maxRates = 256

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

// add counts what came just now.
func (ra *rate) add(num float64, now time.Time) {
	ra.perSecond = ra.decayed(now) + num/rateSpan.Seconds()
	ra.at = now
}

// all returns the rates of all models that are asked for.
func (ar arrivals) all(now time.Time) map[string]float32 {
	rates := make(map[string]float32, len(ar))
	for model, ra := range ar {
		if perSecond := ra.decayed(now); perSecond > minRate {
			rates[model] = float32(perSecond)
		}
	}
	return rates
}

// minRate is the rate below which a model is not worth telling of.
const minRate = 0.05

// decayed is the rate now if nothing has come since.
func (ra *rate) decayed(now time.Time) float64 {
	return ra.perSecond * math.Exp(-now.Sub(ra.at).Seconds()/rateSpan.Seconds())
}
