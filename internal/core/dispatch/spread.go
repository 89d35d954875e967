package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// What other daemons tell of their load is old by the time it counts: by 40 ms
// among few daemons, by 130 ms among many. Meanwhile all of them send to the
// groups that looked best, which then get several times what they have room
// for, while the rest run empty: on a measured day with 68 daemons, groups with
// 23 places were sent up to 69 requests, and the first event took 600 ms where
// 61 ms were predicted.
//
// So each daemon reckons with the requests that the others have sent since, as
// in M. Dahlin, "Interpreting Stale Load Information" (1999): those fill the
// emptiest groups up to a common level. A request goes to a group with the
// probability that the level gives it, so that all daemons together fill the
// groups evenly, and is refused with the probability that the level lies above
// the places.

// level is a group's load and room in requests.
type level struct {
	// load is what the group is expected to run, without the requests that are
	// not known of yet.
	load float64
	// room is the load up to which it may be filled.
	room float64
}

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

// rate is a smoothed number of requests a second.
type rate struct {
	at        time.Time
	perSecond float64
}

// rateSpan is the time over which rates are smoothed. A daemon of many gets
// some ten requests a second, and bursts last seconds.
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
	ra.perSecond = ra.decayed(now) + 1/rateSpan.Seconds()
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
