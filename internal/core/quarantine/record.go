package quarantine

import (
	"slices"
	"time"
)

const (
	// partInterval is the time after a crash in which further crashes are no more evidence against
	// a part. Endpoints that crash together, as with their rack, may all run requests with it.
	partInterval = 100 * time.Millisecond
	// maxRecordCrashes bounds the crashes that a record keeps.
	maxRecordCrashes = 32
)

// endpointCrash is one crash of the server process of an endpoint.
type endpointCrash struct {
	endpoint string
	at       time.Time
	// quarantined are the records of subjects of the crash that were quarantined.
	quarantined []*record
}

// record is the state of one subject.
type record struct {
	// part is set for a part of prompts.
	part    bool
	crashes []*endpointCrash
	// requests are the different requests with a part that ran during its crashes, up to
	// minPartRequests.
	requests []Fingerprint
	// proven is set if requests with the part had completed before its first crash.
	proven bool
	// completedAt is when the request, or one with the part, last completed, and clearedTo the
	// latest time at which one was sent that has completed. Crashes before clearedTo are not
	// attributed to the subject: what crashes endpoints since then may have been sound before.
	completedAt, clearedTo time.Time
	// releasedAt is when an operator last released the subject.
	releasedAt time.Time
	// quarantinedAt is the time of the latest crash that put the subject in quarantine; zero if it
	// never was.
	quarantinedAt time.Time
	// probedAt is when a request was last sent in spite of the quarantine, probes how often.
	probedAt time.Time
	probes   int
	// trials counts the requests that ClaimTrial granted since the subject last completed.
	trials int
	// updatedAt is when the record was last updated.
	updatedAt time.Time
}

// addCrash adds a crash during a request, unless the record has it. It drops the crashes that no
// longer count.
func (re *record) addCrash(se *endpointCrash, request Fingerprint) {
	if re.part && len(re.requests) < minPartRequests && !slices.Contains(re.requests, request) {
		re.requests = append(re.requests, request)
	}
	if slices.Contains(re.crashes, se) {
		return
	}
	re.crashes = slices.DeleteFunc(re.crashes, func(other *endpointCrash) bool { return !re.attributed(other) })
	re.crashes = append(re.crashes, se)
	slices.SortFunc(re.crashes, func(one, two *endpointCrash) int { return one.at.Compare(two.at) })
	re.crashes = re.crashes[max(0, len(re.crashes)-maxRecordCrashes):]
}

// complete records a completion. One of a request that was sent before the first crash does not end
// the quarantine.
func (re *record) complete(an Completion) {
	sent := an.At.Add(-an.Took)
	first := slices.IndexFunc(re.crashes, re.attributed)
	if first < 0 || sent.After(re.crashes[first].at) {
		re.completedAt = latest(re.completedAt, an.At)
		re.trials = 0
	}
	re.clearedTo = latest(re.clearedTo, sent)
}

// release records that an operator has released the subject.
func (re *record) release(at time.Time) {
	if !at.After(re.releasedAt) {
		return
	}
	re.releasedAt, re.requests, re.trials, re.probes = at, nil, 0, 0
	re.completedAt, re.clearedTo = latest(re.completedAt, at), latest(re.clearedTo, at)
}

// attributed reports whether a crash may be due to the subject.
func (re *record) attributed(se *endpointCrash) bool { return se.at.After(re.clearedTo) }

// evidence returns the number of crashes that may be due to the subject, with those of a part that come
// together counted as one.
func (re *record) evidence() int {
	return re.count(func(*endpointCrash) bool { return true })
}

// unexplained returns the part of the evidence that no other subject explains better.
func (re *record) unexplained() int {
	evidence := re.evidence()
	return re.count(func(se *endpointCrash) bool {
		return !slices.ContainsFunc(se.quarantined, func(other *record) bool { return other.explains(re, evidence) })
	})
}

// count returns the number of attributed crashes that match.
func (re *record) count(match func(*endpointCrash) bool) int {
	num := 0
	var last time.Time
	for _, se := range re.crashes {
		if !re.attributed(se) || !match(se) {
			continue
		}
		if re.part && num > 0 && se.at.Sub(last) < partInterval {
			continue
		}
		num++
		last = se.at
	}
	return num
}

// explains reports whether this quarantined subject is a better explanation of their common crashes
// than another one with the given evidence. An unproven part is better than one with which requests
// complete. Otherwise it takes more evidence, or as much for a part against a single request.
func (re *record) explains(other *record, evidence int) bool {
	if re == other || !re.quarantinedAt.After(re.completedAt) {
		return false
	}
	if re.part && !re.proven && other.part && other.proven {
		return true
	}
	// A daemon that learned of the quarantine from others hasn't seen all of its crashes.
	own := max(re.evidence(), CrashThreshold)
	return own > evidence || own == evidence && re.part && !other.part
}

// guilty reports whether the unexplained crashes suffice for a quarantine.
func (re *record) guilty() bool {
	num := re.unexplained()
	switch {
	case !re.part:
		return num >= CrashThreshold
	case len(re.requests) < minPartRequests:
		return false
	case re.proven:
		return num >= provenPartThreshold
	}
	return num >= CrashThreshold
}

// quarantined reports whether the subject is in quarantine.
func (re *record) quarantined(now time.Time) bool {
	return re.quarantinedAt.After(re.completedAt) && now.Sub(re.quarantinedAt) < TTL
}

// nextProbe returns when a request with the subject may next be sent to learn whether endpoints
// still crash.
func (re *record) nextProbe() time.Time {
	if !re.part {
		return re.quarantinedAt.Add(TTL)
	}
	interval := firstProbeInterval
	for range min(re.probes, maxProbeDoublings) {
		interval *= 2
	}
	return latest(re.quarantinedAt, re.probedAt).Add(interval)
}

// expired reports whether the record can be deleted: TTL after the subject was quarantined, or
// suspectTTL after the last update of one that never was.
func (re *record) expired(now time.Time) bool {
	if re.quarantinedAt.IsZero() {
		return now.Sub(re.updatedAt) >= suspectTTL
	}
	return now.Sub(re.quarantinedAt) >= TTL
}

// evictionRank returns 1 for a subject that was quarantined and 0 for one that is only suspected.
// Lower ranks are evicted first.
func (re *record) evictionRank() int {
	if re.quarantinedAt.IsZero() {
		return 0
	}
	return 1
}

// latest returns the later of two times.
func latest(one, two time.Time) time.Time {
	if two.After(one) {
		return two
	}
	return one
}
