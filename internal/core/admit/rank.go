package admit

// NumRanks is the number of ranks of requests. Rank 0 is the most urgent.
const NumRanks = 10

const (
	// minService is the least service of a rank under excess, as a fraction of the mean service of
	// all ranks. A rank that gets less counts as starved (docs/overload.md: at least a quarter); the
	// rest is a margin for the delay of the sums.
	minService = 0.3
	// minRankRate is the rate in requests per second below which a rank does not count as present.
	minRankRate = 0.05
	// maxReserve is the fraction of a group's slots that a rank leaves to more urgent ones, and
	// reserveShare the share of these in all requests from which it leaves that much. A larger reserve
	// leaves slots empty: at 0.1, TestLeastUrgentBurst serves 5% less and no more urgent requests.
	maxReserve   = 0.03
	reserveShare = 0.5
)

// RankRates holds a number for each rank: a rate in requests per second, or a fraction.
type RankRates [NumRanks]float64

// Ranks is the load of a model by rank.
type Ranks struct {
	// Offered is the rate of requests that arrive, Sent that of requests that are sent to a group.
	Offered, Sent RankRates
}

// total returns the sum over all ranks.
func (rr *RankRates) total() float64 {
	sum := 0.0
	for _, val := range rr {
		sum += val
	}
	return sum
}

// Mixed reports whether requests of more than one rank arrive.
func (ra *Ranks) Mixed() bool {
	num := 0
	for _, val := range ra.Offered {
		if val > minRankRate {
			num++
		}
	}
	return num > 1
}

// Shed returns the fraction of the requests to refuse by rank so that the fraction excess of all
// requests is refused: least urgent ranks first, each up to the floor that minService sets. offered
// holds the rates of requests by rank, excess is from 0 to 1.
func Shed(offered *RankRates, excess float64) RankRates {
	var refused RankRates
	excess = min(1, max(0, excess))
	most := 1 - minService*(1-excess)
	left := excess * offered.total()
	for rank := NumRanks - 1; rank >= 0 && left > 0; rank-- {
		if offered[rank] <= 0 {
			continue
		}
		refused[rank] = min(most, left/offered[rank])
		left -= refused[rank] * offered[rank]
	}
	return refused
}

// Refusal returns the probability with which to refuse a request of a rank when excess is the
// fraction of all requests that exceeds the room of the rank now. The room varies within fractions
// of a second, so the floor also follows the service measured over all daemons.
func (ra *Ranks) Refusal(rank int, excess float64) float64 {
	refusal := Shed(&ra.Offered, excess)[rank]
	if ra.Offered[rank] <= 0 {
		return refusal
	}
	most := ra.MaxRefusal()
	if ra.Sent[rank] < (1-most)*ra.Offered[rank] {
		return 0
	}
	return min(refusal, most)
}

// MaxRefusal returns the greatest probability with which to refuse any kind of request, so that it
// keeps minService of the mean service.
func (ra *Ranks) MaxRefusal() float64 { return 1 - minService*ra.Service() }

// Service returns the fraction of all requests that are sent to a group; 1 if there are none.
func (ra *Ranks) Service() float64 {
	offered := ra.Offered.total()
	if offered <= 0 {
		return 1
	}
	return min(1, ra.Sent.total()/offered)
}

// Reserve returns the fraction of a group's slots that requests of a rank leave free for more urgent
// ones (trunk reservation). It grows with the share of the more urgent ranks, and is 0 if there are
// none.
func (ra *Ranks) Reserve(rank int) float64 {
	total, urgent := ra.Offered.total(), 0.0
	for _, val := range ra.Offered[:rank] {
		if val > minRankRate {
			urgent += val
		}
	}
	if total <= 0 {
		return 0
	}
	return maxReserve * min(1, urgent/total/reserveShare)
}
