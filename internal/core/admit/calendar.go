package admit

import "time"

// Calendar assigns return times to refused requests, so that their callers come back when capacity is
// expected to be free, and not all at once. Per model, it divides time into slices and promises at
// most the capacity of each. It is not safe for concurrent use.
type Calendar struct {
	// Random returns a random number in [0, 1).
	Random func() float64
	models map[string]*returns
}

// Capacity is the expected capacity for returning requests.
type Capacity struct {
	// Finish is the rate at which the model's groups finish requests, New the rate of new requests of
	// all daemons, both per second.
	Finish, New float64
	// Daemons is the number of daemons that promise parts of the same capacity.
	Daemons int
}

// Promise is the return time sent to the caller of a refused request.
type Promise struct {
	Delay time.Duration
	// Reserved is set if capacity is set aside for the request at that time.
	Reserved bool
}

const (
	// sliceLength is the length of a slice, the resolution of promises.
	sliceLength = 100 * time.Millisecond
	// numSlices is the length of the ring of slices: one second before the present, horizon after it.
	numSlices = 64
	// horizon bounds the delay of a promise. A third of the time that callers have left is less.
	horizon = 5 * time.Second
	// minFreeShare is the least share of the finished requests whose capacity is promised. In a burst
	// there is no free capacity, and how long it lasts is unknown. A larger share lets returns displace
	// first attempts.
	minFreeShare = 0.02
	// unreservedSpan is the share of the range of delays, at its end, over which returns without
	// reserved capacity are spread. Callers that are refused in one moment would return in one moment
	// if all got the longest delay.
	unreservedSpan = 0.25
	// urgentShare is the share of each slice that less urgent ranks leave to more urgent ones, if
	// any was refused within urgentMemory.
	urgentShare  = 0.2
	urgentMemory = 5 * time.Second
	// numRanks is the number of ranks, of which 0 is the most urgent.
	numRanks = 10
	// maxModels bounds the number of models with a calendar.
	maxModels = 256
)

// returns is the calendar of one model.
type returns struct {
	slices [numSlices]slice
	// refusedAt is when a request of a rank was last promised a return.
	refusedAt [numRanks]time.Time
}

// slice is the part of a calendar for one slice of time.
type slice struct {
	// number is the number of the slice since the Unix epoch. The ring holds old slices as well.
	number int64
	// promised is the number of requests promised to return in the slice, or a fraction of one if the
	// capacity for a request takes several slices. came is the number of those that kept a promise.
	promised, came float64
}

func sliceNumber(at time.Time) int64 { return at.UnixNano() / int64(sliceLength) }

// at returns the slice with the given number, empty if the ring holds an old one there.
func (re *returns) at(number int64) *slice {
	sl := &re.slices[number%numSlices]
	if sl.number != number {
		*sl = slice{number: number}
	}
	return sl
}

// sum returns the sum of the slices from the first to the one before end, without changing any.
func (re *returns) sum(first, end int64, read func(*slice) float64) float64 {
	total := 0.0
	for number := first; number < end; number++ {
		if sl := &re.slices[number%numSlices]; sl.number == number {
			total += read(sl)
		}
	}
	return total
}

// Free returns the rate of returning requests, per second, for which all daemons together have
// capacity.
func (ca Capacity) Free() float64 { return max(minFreeShare*ca.Finish, ca.Finish-ca.New) }

// part returns the part of the free capacity that this daemon may promise.
func (ca Capacity) part() float64 { return ca.Free() / float64(max(1, ca.Daemons)) }

// Promise returns when the caller of a request refused at now is to return: after least at the
// earliest and most at the latest. It reserves the first free capacity there. If there is none, the
// delay is in the last quarter of that range and nothing is reserved. If most is below least, the delay
// is least. An invalid rank counts as the least urgent one.
func (cr *Calendar) Promise(model string, rank int, now time.Time, least, most time.Duration, ca Capacity) Promise {
	most = min(most, horizon)
	if most <= least {
		return Promise{Delay: least}
	}
	re := cr.forModel(model)
	if re == nil {
		return cr.unreserved(least, most)
	}
	if rank < 0 || rank >= numRanks {
		rank = numRanks - 1
	}
	re.refusedAt[rank] = now
	// Only slices that are entirely in the range count.
	first := sliceNumber(now.Add(least + sliceLength - 1))
	end := sliceNumber(now.Add(most))
	moment, ok := cr.reserve(re, first, end, re.limit(rank, now)*ca.part()*sliceLength.Seconds())
	if !ok {
		return cr.unreserved(least, most)
	}
	return Promise{Delay: time.Unix(0, int64(moment*float64(sliceLength))).Sub(now), Reserved: true}
}

// unreserved returns a promise without reserved capacity.
func (cr *Calendar) unreserved(least, most time.Duration) Promise {
	return Promise{Delay: most - time.Duration(cr.Random()*unreservedSpan*float64(most-least))}
}

// reserve takes the capacity for one request from the first slices with free capacity, and returns a
// random moment in these slices, in slices since the Unix epoch. perSlice is the capacity of a slice.
// If there is less than the capacity for one request, it takes all of it and succeeds with the
// corresponding probability, so that on average promises equal the capacity. Otherwise many daemons
// with less than one free request each would promise nothing.
func (cr *Calendar) reserve(re *returns, first, end int64, perSlice float64) (float64, bool) {
	taken, moment := 0.0, 0.0
	for number := first; number < end && taken < 1; number++ {
		sl := re.at(number)
		part := min(1-taken, perSlice-sl.promised)
		if part <= 0 {
			continue
		}
		sl.promised += part
		taken += part
		// The last slice remains selected with a probability proportional to its part.
		if cr.Random()*taken < part {
			moment = float64(number) + cr.Random()
		}
	}
	// The tolerance covers rounding errors of the sums.
	const tolerance = 1e-9
	return moment, taken > tolerance && cr.Random() < taken+tolerance
}

// limit returns the share of the capacity that may be promised to a rank.
func (re *returns) limit(rank int, now time.Time) float64 {
	for _, at := range re.refusedAt[:rank] {
		if !at.IsZero() && now.Sub(at) <= urgentMemory {
			return 1 - urgentShare
		}
	}
	return 1
}

// forModel returns the calendar of a model and creates it if necessary. It returns nil if there are
// maxModels already.
func (cr *Calendar) forModel(model string) *returns {
	re := cr.models[model]
	if re == nil && len(cr.models) < maxModels {
		if cr.models == nil {
			cr.models = make(map[string]*returns)
		}
		re = &returns{}
		cr.models[model] = re
	}
	return re
}

// RecordReturn records that a request has returned that kept its promise.
func (cr *Calendar) RecordReturn(model string, now time.Time) {
	if re := cr.forModel(model); re != nil {
		re.at(sliceNumber(now)).came++
	}
}

// Due returns the promised returns per second, averaged over the second around now, and those that
// came in the second before it.
func (cr *Calendar) Due(model string, now time.Time) (promised, came float64) {
	re := cr.models[model]
	if re == nil {
		return 0, 0
	}
	const second, half = int64(time.Second / sliceLength), int64(time.Second / sliceLength / 2)
	number := sliceNumber(now)
	promised = re.sum(number-half, number+half, func(sl *slice) float64 { return sl.promised })
	return promised, re.sum(number-second+1, number+1, func(sl *slice) float64 { return sl.came })
}

// Models calls visit for each model with a calendar.
func (cr *Calendar) Models(visit func(model string)) {
	for model := range cr.models {
		visit(model)
	}
}
