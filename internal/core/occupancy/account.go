package occupancy

import (
	"math"
	"time"
)

// Account corrects the estimate of the number of requests at one group by readings. The correction
// is the difference between a reading and the known requests at the same moment: those of this daemon
// then, and those that the other daemons report one report delay later. A comparison with the estimate
// at the moment itself would also contain the requests not yet reported, which are known by the time
// at which the correction is used. The correction is smoothed, and decays as requests end.
type Account struct {
	history history
	// pending is a reading that waits until the others have reported their requests as of its moment.
	pending Known
	// correction is the correction at the moment correctedAt, at which a reading was last compared.
	// It is zero before the first one.
	correction  float64
	correctedAt time.Time
	// newest is the newest reading, from whichever daemon.
	newest Known
}

// Known is a reading with its origin.
type Known struct {
	Requests int
	// AsOf is the moment of the reading; zero if there is none. LearnedAt is when this daemon
	// received it.
	AsOf, LearnedAt time.Time
	// Own is set for a reading that this daemon took itself. Otherwise From is the daemon that sent it.
	Own  bool
	From string
}

const (
	// smoothingAnswers is the time constant of the smoothing in answer times. A longer one follows
	// requests that reports lack too slowly: at 0.8, the median error in TestLoadEstimateUnderFaults
	// is 3.9 requests instead of 3.6.
	smoothingAnswers = 0.4
	// maxWeight is the most weight of a single reading.
	maxWeight = 0.6
	// maxSlotsFactor bounds readings, in multiples of the slots: a group that seems too full gets no
	// requests and so gives no readings that would prove otherwise.
	maxSlotsFactor = 4
)

// State is what a daemon knows about a group's load now.
type State struct {
	// Known are the requests that this daemon has at the group and those reported by the others.
	Known Parts
	// Delay is the mean age of the others' reports.
	Delay time.Duration
	// Slots is the number of slots of the group, Answer the mean duration of an answer.
	Slots  int
	Answer time.Duration
	// Blind is set while no other daemon has reported its requests, so that readings alone tell what
	// they have sent.
	Blind bool
}

// Add records a reading. It returns false if the reading is not newer than the last one or is older
// than MaxAge.
func (ac *Account) Add(re Known, st State, now time.Time) bool {
	if !re.AsOf.After(ac.newest.AsOf) || now.Sub(re.AsOf) > MaxAge || re.AsOf.After(now) {
		return false
	}
	ac.newest = re
	if ac.pending.AsOf.IsZero() || st.Blind {
		ac.pending = re
	}
	ac.Update(st, now)
	return true
}

// Update records the known requests, and compares a reading with those at its moment once the others
// have reported them.
func (ac *Account) Update(st State, now time.Time) {
	ac.history.record(st.Known, now)
	re := ac.pending
	if re.AsOf.IsZero() || !st.Blind && now.Sub(re.AsOf) < st.Delay {
		return
	}
	ac.pending = Known{}
	then, known := ac.history.partsAt(re.AsOf, st.Known, now)
	later, _ := ac.history.partsAt(re.AsOf.Add(st.Delay), st.Known, now)
	if !known || now.Sub(re.AsOf) > MaxAge {
		return
	}
	requests := min(re.Requests, maxSlotsFactor*max(1, st.Slots))
	before := ac.Correction(now, st.Answer)
	difference := float64(requests) - then.Own - later.Reported
	ac.correction = before + ac.weight(now, st)*(difference-before)
	ac.correctedAt = now
}

// weight returns the weight of a reading that is compared at now. It grows with the time since the
// last one, so that the smoothing does not depend on the number of readings.
func (ac *Account) weight(now time.Time, st State) float64 {
	if st.Blind {
		return 1
	}
	if ac.correctedAt.IsZero() {
		return maxWeight
	}
	since := now.Sub(ac.correctedAt).Seconds()
	return min(maxWeight, 1-math.Exp(-since/(smoothingAnswers*st.Answer.Seconds())))
}

// Correction returns the number of requests to add to the estimate at now. answer is the mean
// duration of an answer. The correction decays once no reading was compared for the time constant of
// the smoothing. If it decayed between comparisons, it would settle at 0.7 of the differences.
func (ac *Account) Correction(now time.Time, answer time.Duration) float64 {
	if ac.correction == 0 {
		return 0
	}
	since := now.Sub(ac.correctedAt).Seconds() / answer.Seconds()
	return ac.correction * math.Exp(-max(0, since-smoothingAnswers))
}

// Newest returns the newest reading. It returns false if there is none younger than MaxAge.
func (ac *Account) Newest(now time.Time) (Known, bool) {
	return ac.newest, !ac.newest.AsOf.IsZero() && now.Sub(ac.newest.AsOf) <= MaxAge
}

// Withdraw records that the report of one daemon, with that many requests at the group, no longer
// counts. If readings have corrected the estimate since the report was made, they have done so
// for its requests as well, and the corrected estimate stays as it is.
func (ac *Account) Withdraw(requests float64, answer time.Duration, now time.Time) {
	for i := range ac.history.samples {
		ac.history.samples[i].Reported -= requests
	}
	if !ac.correctedAt.IsZero() && now.Sub(ac.correctedAt) <= MaxAge {
		ac.correction, ac.correctedAt = ac.Correction(now, answer)+requests, now
	}
}

// Reset drops the correction and the history. It is called when the reports of the other daemons
// begin or end, so that earlier differences say nothing about the requests known now.
func (ac *Account) Reset() {
	ac.history, ac.pending = history{}, Known{}
	ac.correction, ac.correctedAt = 0, time.Time{}
}
