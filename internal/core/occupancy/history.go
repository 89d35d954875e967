package occupancy

import "time"

const (
	// historySamples and historyInterval are the number of samples in a history and the least time
	// between two of them. Together they cover MaxAge.
	historySamples  = 36
	historyInterval = 60 * time.Millisecond
)

// Parts are the known requests at a group: those of this daemon, and those that the other daemons
// have reported.
type Parts struct{ Own, Reported float64 }

// history holds the recent values of the known requests at a group, so that a reading can be compared
// with the ones at the moment of the reading.
type history struct {
	// samples is allocated with the first one, to keep groups small where servers state no load.
	samples []sample
	// next is the index of the next sample to write, count the number of valid ones.
	next, count int
}

type sample struct {
	at time.Time
	Parts
}

// record adds the values at now, unless the last sample is too recent.
func (hi *history) record(parts Parts, now time.Time) {
	if hi.count > 0 && now.Sub(hi.newest(0).at) < historyInterval {
		return
	}
	if hi.samples == nil {
		hi.samples = make([]sample, historySamples)
	}
	hi.samples[hi.next] = sample{now, parts}
	hi.next = (hi.next + 1) % historySamples
	hi.count = min(historySamples, hi.count+1)
}

// newest returns the sample before which num newer ones were recorded.
func (hi *history) newest(num int) sample {
	return hi.samples[(hi.next-1-num+2*historySamples)%historySamples]
}

// partsAt returns the values at a moment, interpolated between samples. It returns false for moments
// before the oldest sample. parts are the values at now.
func (hi *history) partsAt(at time.Time, parts Parts, now time.Time) (Parts, bool) {
	if !at.Before(now) {
		return parts, true
	}
	later := sample{now, parts}
	for num := range hi.count {
		earlier := hi.newest(num)
		if !at.Before(earlier.at) {
			ratio := float64(at.Sub(earlier.at)) / float64(max(1, later.at.Sub(earlier.at)))
			return Parts{
				Own:      earlier.Own + ratio*(later.Own-earlier.Own),
				Reported: earlier.Reported + ratio*(later.Reported-earlier.Reported),
			}, true
		}
		later = earlier
	}
	return Parts{}, false
}
