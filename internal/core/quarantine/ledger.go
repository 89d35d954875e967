package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// CrashThreshold is the number of endpoint crashes during a request that puts it in quarantine.
	// A crash interrupts all requests of the endpoint; an unrelated request is unlikely to be
	// present at three crashes.
	CrashThreshold = 3
	// TTL is how long a request stays in quarantine. A request that crashes endpoints does so until
	// their software is fixed.
	TTL = 24 * time.Hour
	// suspectTTL is how long the record of a request that was never quarantined is kept after its
	// last update.
	suspectTTL = 15 * time.Minute
	// duplicateWindow is the time within which reports of a crash of the same endpoint are taken
	// as the same crash. Several daemons report each crash, and an endpoint takes longer than this
	// to restart.
	duplicateWindow = time.Second
	// maxRecords bounds the number of requests with a record, at about 1 MB of memory.
	maxRecords = 4096
)

// Crash describes a crash of a server process, with the requests that it was running.
type Crash struct {
	Endpoint string `cbor:"1,keyasint"`
	// At is when the crash was detected.
	At time.Time `cbor:"-"`
	// Age is the time since then when a daemon reports the crash to another, whose clock may differ.
	Age      time.Duration `cbor:"4,keyasint"`
	Requests []Fingerprint `cbor:"3,keyasint"`
}

// Completion reports that a request has completed: an endpoint has sent the complete response and
// survived it.
type Completion struct {
	Request Fingerprint `cbor:"1,keyasint"`
	// At is when the request completed, Age the time since then as in Crash.
	At  time.Time     `cbor:"-"`
	Age time.Duration `cbor:"4,keyasint"`
}

// Entry is a request that was quarantined, as daemons exchange it and the store keeps it.
type Entry struct {
	Request Fingerprint `json:"request"`
	// Since is the time of the latest crash that put the request in quarantine.
	Since time.Time `json:"since"`
	// CompletedAt is when the request last completed, or zero. If it is not before Since, the
	// request is no longer quarantined.
	CompletedAt time.Time `json:"answered,omitzero"`
}

// Ledger records the endpoint crashes during each request, as this daemon and others detect them.
// Crashes and completions may be reported in any order and more than once. The zero value is an
// empty ledger. A Ledger is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	requests map[Fingerprint]*record
	// quarantined holds the records of requests that were ever quarantined, including those that
	// have completed since.
	quarantined map[Fingerprint]*record
	// num is len(requests). Readers check it first, to avoid the lock while there are none.
	num atomic.Int64
}

// record is the state of one request.
type record struct {
	crashes []endpointCrash
	// completedAt is when the request last completed. Crashes before that are not attributed to
	// it.
	completedAt time.Time
	// quarantinedAt is the time of the latest crash that put the request in quarantine; zero if it
	// never was.
	quarantinedAt time.Time
	// updatedAt is when the record was last updated.
	updatedAt time.Time
}

// endpointCrash is one crash of the server process of an endpoint.
type endpointCrash struct {
	endpoint string
	at       time.Time
}

// crashesSinceCompletion returns the number of crashes since the request last completed.
func (re *record) crashesSinceCompletion() int {
	num := 0
	for _, se := range re.crashes {
		if se.at.After(re.completedAt) {
			num++
		}
	}
	return num
}

// quarantined reports whether the request is in quarantine.
func (re *record) quarantined(now time.Time) bool {
	return re.quarantinedAt.After(re.completedAt) && now.Sub(re.quarantinedAt) < TTL
}

// addCrash records a crash, unless it is a duplicate of a recorded one.
func (re *record) addCrash(se endpointCrash) {
	same := func(other endpointCrash) bool {
		return other.endpoint == se.endpoint && other.at.Sub(se.at).Abs() < duplicateWindow
	}
	if !slices.ContainsFunc(re.crashes, same) {
		re.crashes = append(re.crashes, se)
	}
}

// RecordCrash records an endpoint crash, and returns the requests that are newly quarantined by it.
func (le *Ledger) RecordCrash(en Crash, now time.Time) []Fingerprint {
	le.mu.Lock()
	defer le.mu.Unlock()
	at := en.At
	var quarantined []Fingerprint
	for _, fp := range en.Requests {
		re := le.record(fp, now)
		re.addCrash(endpointCrash{en.Endpoint, at})
		if re.crashesSinceCompletion() < CrashThreshold {
			continue
		}
		if le.quarantine(fp, re, at, now) {
			quarantined = append(quarantined, fp)
		}
	}
	return quarantined
}

// quarantine puts a request in quarantine as of since, and reports whether the request is newly
// quarantined.
func (le *Ledger) quarantine(fp Fingerprint, re *record, since, now time.Time) bool {
	before := re.quarantined(now)
	re.quarantinedAt = latest(re.quarantinedAt, since)
	if le.quarantined == nil {
		le.quarantined = make(map[Fingerprint]*record)
	}
	le.quarantined[fp] = re
	return !before && re.quarantined(now)
}

// RecordCompletion records the completion of a request.
func (le *Ledger) RecordCompletion(an Completion, now time.Time) {
	le.mu.Lock()
	defer le.mu.Unlock()
	re := le.record(an.Request, now)
	re.completedAt = latest(re.completedAt, an.At)
}

// Suspected reports whether an endpoint has crashed during the request since it last completed.
func (le *Ledger) Suspected(fp Fingerprint) bool {
	if le.num.Load() == 0 {
		return false
	}
	le.mu.Lock()
	defer le.mu.Unlock()
	re := le.requests[fp]
	return re != nil && re.crashesSinceCompletion() > 0
}

// Quarantined returns the remaining time of a request in quarantine, and whether it is quarantined.
func (le *Ledger) Quarantined(fp Fingerprint, now time.Time) (time.Duration, bool) {
	if le.num.Load() == 0 {
		return 0, false
	}
	le.mu.Lock()
	defer le.mu.Unlock()
	re := le.requests[fp]
	if re == nil || !re.quarantined(now) {
		return 0, false
	}
	return TTL - now.Sub(re.quarantinedAt), true
}

// Entries returns the requests that were quarantined within the last TTL, including those that
// have completed since, in order of their fingerprints.
func (le *Ledger) Entries(now time.Time) []Entry {
	le.mu.Lock()
	defer le.mu.Unlock()
	var entries []Entry
	for fp, re := range le.quarantined {
		if now.Sub(re.quarantinedAt) < TTL {
			entries = append(entries, Entry{fp, re.quarantinedAt, re.completedAt})
		}
	}
	slices.SortFunc(entries, func(one, two Entry) int { return slices.Compare(one.Request[:], two.Request[:]) })
	return entries
}

// Merge adds the entries of another daemon or of the store, and returns the requests that are newly
// quarantined by them.
func (le *Ledger) Merge(entries []Entry, now time.Time) []Fingerprint {
	le.mu.Lock()
	defer le.mu.Unlock()
	var quarantined []Fingerprint
	for _, en := range entries {
		if now.Sub(en.Since) >= TTL {
			continue
		}
		re := le.record(en.Request, now)
		re.completedAt = latest(re.completedAt, en.CompletedAt)
		if le.quarantine(en.Request, re, en.Since, now) {
			quarantined = append(quarantined, en.Request)
		}
	}
	return quarantined
}

// Digest returns a digest of the quarantined requests and of whether each has completed since.
// Daemons compare digests to detect that their ledgers differ. It is 0 if no request was
// quarantined within the last TTL.
func (le *Ledger) Digest(now time.Time) uint64 {
	if le.num.Load() == 0 {
		return 0
	}
	le.mu.Lock()
	defer le.mu.Unlock()
	var digest uint64
	for fp, re := range le.quarantined {
		if now.Sub(re.quarantinedAt) >= TTL {
			continue
		}
		text := fp.String()
		if !re.quarantined(now) {
			text += " answered"
		}
		digest ^= xxhash.Sum64String(text)
	}
	return digest
}

// Sweep deletes expired records.
func (le *Ledger) Sweep(now time.Time) {
	if le.num.Load() == 0 {
		return
	}
	le.mu.Lock()
	defer le.mu.Unlock()
	for fp, re := range le.requests {
		if re.expired(now) {
			le.remove(fp)
		}
	}
}

// expired reports whether the record can be deleted: TTL after the request was quarantined, or
// suspectTTL after the last update of one that never was.
func (re *record) expired(now time.Time) bool {
	if re.quarantinedAt.IsZero() {
		return now.Sub(re.updatedAt) >= suspectTTL
	}
	return now.Sub(re.quarantinedAt) >= TTL
}

// remove deletes the record of a request.
func (le *Ledger) remove(fp Fingerprint) {
	delete(le.requests, fp)
	delete(le.quarantined, fp)
	le.num.Store(int64(len(le.requests)))
}

// record returns the record of a request, and creates it if there is none. At the limit of
// maxRecords, a new record replaces an old one.
func (le *Ledger) record(fp Fingerprint, now time.Time) *record {
	if le.requests == nil {
		le.requests = make(map[Fingerprint]*record)
	}
	re := le.requests[fp]
	if re == nil {
		if len(le.requests) >= maxRecords {
			le.evictOldest()
		}
		re = &record{}
		le.requests[fp] = re
		le.num.Store(int64(len(le.requests)))
	}
	re.updatedAt = now
	return re
}

// evictOldest deletes the least recently updated record, preferably one of a request that was never
// quarantined.
func (le *Ledger) evictOldest() {
	order := func(one, two Fingerprint) int {
		first, second := le.requests[one], le.requests[two]
		if byRank := cmp.Compare(evictionRank(first), evictionRank(second)); byRank != 0 {
			return byRank
		}
		return first.updatedAt.Compare(second.updatedAt)
	}
	le.remove(slices.MinFunc(slices.Collect(maps.Keys(le.requests)), order))
}

// evictionRank returns 1 for a request that was quarantined and 0 for one that is only suspected.
// Lower ranks are evicted first.
func evictionRank(re *record) int {
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
