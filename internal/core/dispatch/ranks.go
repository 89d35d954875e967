package dispatch

import (
	"maps"
	"math"
	"time"

	"corianderhub.dev/corianderhub/internal/core/admit"
)

// RankRate is the rate of a model's requests of one rank, per second.
type RankRate struct {
	// Offered counts requests as they arrive, Sent those that are sent to a group.
	Offered float32 `cbor:"1,keyasint,omitempty"`
	Sent    float32 `cbor:"2,keyasint,omitempty"`
}

// rankRates holds the rates by model and rank. Ranks without requests are absent.
type rankRates map[string]map[uint8]RankRate

// add adds the rates of others, times sign.
func (rr rankRates) add(others rankRates, sign float32) {
	for model, byRank := range others {
		if rr[model] == nil {
			rr[model] = make(map[uint8]RankRate, len(byRank))
		}
		for rank, ra := range byRank {
			sum := rr[model][rank]
			rr[model][rank] = RankRate{sum.Offered + sign*ra.Offered, sum.Sent + sign*ra.Sent}
		}
	}
}

// trim removes the rates that are not above minRate.
func (rr rankRates) trim() {
	for model, byRank := range rr {
		maps.DeleteFunc(byRank, func(_ uint8, ra RankRate) bool { return ra.Offered <= minRate })
		if len(byRank) == 0 {
			delete(rr, model)
		}
	}
}

// addTo adds a model's rates to ranks. Ranks out of range come from a faulty daemon and are ignored.
func (rr rankRates) addTo(ranks *admit.Ranks, model string) {
	for rank, ra := range rr[model] {
		if rank < admit.NumRanks {
			ranks.Offered[rank] += max(0, float64(ra.Offered))
			ranks.Sent[rank] += max(0, float64(ra.Sent))
		}
	}
}

// rankTimeConstant is the time constant of the smoothing of rates by rank. Sums over all daemons need
// little smoothing, and until the rates follow, a burst of the least urgent rank takes slots from the
// others.
const rankTimeConstant = 500 * time.Millisecond

// rankRate is a number of requests per second, smoothed with rankTimeConstant.
type rankRate struct {
	at        time.Time
	perSecond float64
}

// add counts a request.
func (ra *rankRate) add(now time.Time) {
	ra.perSecond = ra.decayed(now) + 1/rankTimeConstant.Seconds()
	ra.at = now
}

// decayed returns the rate at now if no request has arrived since the last one.
func (ra *rankRate) decayed(now time.Time) float64 {
	return ra.perSecond * math.Exp(-now.Sub(ra.at).Seconds()/rankTimeConstant.Seconds())
}

// rankCounter measures this daemon's requests of one model by rank.
type rankCounter struct{ offered, sent [admit.NumRanks]rankRate }

// rankCounters holds the counters by model.
type rankCounters map[string]*rankCounter

// offer counts the arrival of a request, unless maxRates models are already tracked: callers can send
// arbitrary model names.
func (rc rankCounters) offer(ne Request, now time.Time) {
	co := rc[ne.Model]
	if co == nil && len(rc) < maxRates {
		co = &rankCounter{}
		rc[ne.Model] = co
	}
	if co != nil {
		co.offered[ne.Rank].add(now)
	}
}

// all returns the rates above minRate.
func (rc rankCounters) all(now time.Time) rankRates {
	all := make(rankRates, len(rc))
	for model, co := range rc {
		for rank := range co.offered {
			offered := co.offered[rank].decayed(now)
			if offered <= minRate {
				continue
			}
			if all[model] == nil {
				all[model] = make(map[uint8]RankRate)
			}
			all[model][uint8(rank)] = RankRate{float32(offered), float32(co.sent[rank].decayed(now))}
		}
	}
	return all
}

// addTo adds a model's rates to ranks.
func (rc rankCounters) addTo(ranks *admit.Ranks, model string, now time.Time) {
	co := rc[model]
	if co == nil {
		return
	}
	for rank := range co.offered {
		ranks.Offered[rank] += co.offered[rank].decayed(now)
		ranks.Sent[rank] += co.sent[rank].decayed(now)
	}
}

// ranksOf returns the rates of a model's requests by rank at all daemons. Sums older than
// maxPeerLoadAge do not count: a daemon that hears no other decides by its own arrivals.
func (ta *Table) ranksOf(model string, now time.Time) admit.Ranks {
	var ranks admit.Ranks
	ta.rankCounters.addTo(&ranks, model, now)
	if age := ta.sumsAge(now); age >= 0 && age <= maxPeerLoadAge {
		ta.peerRanks.addTo(&ranks, model)
	}
	return ranks
}

// sumsAge returns the time since the last report of other daemons, or -1 if there was none.
func (ta *Table) sumsAge(now time.Time) time.Duration {
	if ta.reportedAt.IsZero() {
		return -1
	}
	return max(0, now.Sub(ta.reportedAt))
}

// fillRanks distributes the requests that the other daemons send within dur over the groups, as fill
// does. Less urgent ranks leave room to more urgent ones.
func (ta *Table) fillRanks(model string, groups []*Group, levels []level, perSecond float64, dur time.Duration) []float64 {
	var ranks admit.Ranks
	ta.peerRanks.addTo(&ranks, model)
	if !ranks.Mixed() {
		shares, _ := fill(levels, perSecond*dur.Seconds())
		return shares
	}
	sums := make([]float64, len(levels))
	reduced := make([]level, len(levels))
	for rank, rate := range ranks.Offered {
		if rate <= 0 {
			continue
		}
		reserve := ranks.Reserve(rank)
		for i, le := range levels {
			reduced[i] = level{le.load + sums[i], le.room - reserve*float64(groups[i].engine.Slots)}
		}
		shares, _ := fill(reduced, rate*dur.Seconds())
		for i, share := range shares {
			sums[i] += share
		}
	}
	return sums
}
