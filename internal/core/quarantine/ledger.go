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
	// Limit is how many servers must have ended under a request for it to be quarantined.
	// Under one end all requests of the server break off, and hardly one that is there by
	// chance meets three.
	Limit = 3
	// HoldFor is how long a quarantined request is sent to no server. A request that ends
	// servers does so until their software is mended.
	HoldFor = 24 * time.Hour
	// suspectFor is how long ends count after the request's last one.
	suspectFor = 15 * time.Minute
	// sameEnd is the time within which several daemons tell of the same end of a server,
	// which takes longer than that to be back.
	sameEnd = time.Second
	// maxRequests bounds the requests that are remembered: some 1 MB.
	maxRequests = 4096
)

// End is the end of a server's process with the requests that it had.
type Crash struct {
	Endpoint string `cbor:"1,keyasint"`
	// AtMillis is when it was noticed, in milliseconds of Unix time.
	AtMillis int64         `cbor:"2,keyasint"`
	Requests []Fingerprint `cbor:"3,keyasint"`
}

// Answered is a request that a server has answered whole, and outlived.
type Completion struct {
	Request Fingerprint `cbor:"1,keyasint"`
	// AtMillis is when it was answered, in milliseconds of Unix time.
	AtMillis int64 `cbor:"2,keyasint"`
}

// Entry is a request that was quarantined.
type Entry struct {
	Request Fingerprint `json:"request"`
	// Since is when the last server ended that it took.
	Since time.Time `json:"since"`
	// Answered is when it was last answered whole; it counts no more if that is later.
	CompletedAt time.Time `json:"answered,omitzero"`
}

// Ledger remembers under which requests servers ended, by what this daemon and others have
// seen. What it learns may come in any order and more than once. It may be used from
// several goroutines.
type Ledger struct {
	mu       sync.Mutex
	requests map[Fingerprint]*record
	// quarantined are those of the requests that were, also if they were answered since.
	quarantined map[Fingerprint]*record
	// num is the number of requests, so that nothing is locked while there are none.
	num atomic.Int64
}

// record is what is known of one request.
type record struct {
	ends []serverEnd
	// answered is when it was last answered whole: ends before that were not its work.
	answered time.Time
	// heldSince is when it was quarantined; zero before.
	heldSince time.Time
	// seen is when something was last learnt of it.
	seen time.Time
}

type serverEnd struct {
	endpoint string
	at       time.Time
}

// counts is how many servers ended under it since it was last answered.
func (re *record) counts() int {
	num := 0
	for _, se := range re.ends {
		if se.at.After(re.answered) {
			num++
		}
	}
	return num
}

// held tells whether it is quarantined.
func (re *record) held(now time.Time) bool {
	return re.heldSince.After(re.answered) && now.Sub(re.heldSince) < HoldFor
}

// add notes an end, unless it was told of before.
func (re *record) add(se serverEnd) {
	same := func(other serverEnd) bool {
		return other.endpoint == se.endpoint && other.at.Sub(se.at).Abs() < sameEnd
	}
	if !slices.ContainsFunc(re.ends, same) {
		re.ends = append(re.ends, se)
	}
}

// Ended takes in the end of a server, and returns the requests that are quarantined by it.
func (le *Ledger) RecordCrash(en Crash, now time.Time) []Fingerprint {
	le.mu.Lock()
	defer le.mu.Unlock()
	at := time.UnixMilli(en.AtMillis)
	var quarantined []Fingerprint
	for _, fp := range en.Requests {
		re := le.record(fp, now)
		re.add(serverEnd{en.Endpoint, at})
		if re.counts() < Limit {
			continue
		}
		if le.hold(fp, re, at, now) {
			quarantined = append(quarantined, fp)
		}
	}
	return quarantined
}

// hold quarantines a request from a time on, and tells whether it was not quarantined yet
// and is now.
func (le *Ledger) hold(fp Fingerprint, re *record, since, now time.Time) bool {
	was := re.held(now)
	re.heldSince = later(re.heldSince, since)
	if le.quarantined == nil {
		le.quarantined = make(map[Fingerprint]*record)
	}
	le.quarantined[fp] = re
	return !was && re.held(now)
}

// Answered takes in that a request was answered whole.
func (le *Ledger) RecordCompletion(an Completion, now time.Time) {
	le.mu.Lock()
	defer le.mu.Unlock()
	re := le.record(an.Request, now)
	re.answered = later(re.answered, time.UnixMilli(an.AtMillis))
}

// Suspected tells whether servers ended under a request that was not answered whole since.
func (le *Ledger) Suspected(fp Fingerprint) bool {
	if le.num.Load() == 0 {
		return false
	}
	le.mu.Lock()
	defer le.mu.Unlock()
	re := le.requests[fp]
	return re != nil && re.counts() > 0
}

// Held returns for how long a request is quarantined still, and whether it is.
func (le *Ledger) Quarantined(fp Fingerprint, now time.Time) (time.Duration, bool) {
	if le.num.Load() == 0 {
		return 0, false
	}
	le.mu.Lock()
	defer le.mu.Unlock()
	re := le.requests[fp]
	if re == nil || !re.held(now) {
		return 0, false
	}
	return HoldFor - now.Sub(re.heldSince), true
}

// Entries returns the requests that were quarantined, in a fixed order, also those that
// were answered since.
func (le *Ledger) Entries(now time.Time) []Entry {
	le.mu.Lock()
	defer le.mu.Unlock()
	var entries []Entry
	for fp, re := range le.quarantined {
		if now.Sub(re.heldSince) < HoldFor {
			entries = append(entries, Entry{fp, re.heldSince, re.answered})
		}
	}
	slices.SortFunc(entries, func(one, two Entry) int { return slices.Compare(one.Request[:], two.Request[:]) })
	return entries
}

// Merge takes in what another daemon or the store knows, and returns the requests that are
// quarantined by it.
func (le *Ledger) Merge(entries []Entry, now time.Time) []Fingerprint {
	le.mu.Lock()
	defer le.mu.Unlock()
	var quarantined []Fingerprint
	for _, en := range entries {
		if now.Sub(en.Since) >= HoldFor {
			continue
		}
		re := le.record(en.Request, now)
		re.answered = later(re.answered, en.CompletedAt)
		if le.hold(en.Request, re, en.Since, now) {
			quarantined = append(quarantined, en.Request)
		}
	}
	return quarantined
}

// Digest differs between ledgers that don't know the same of quarantined requests; it is 0
// for one that never held any.
func (le *Ledger) Digest(now time.Time) uint64 {
	if le.num.Load() == 0 {
		return 0
	}
	le.mu.Lock()
	defer le.mu.Unlock()
	var digest uint64
	for fp, re := range le.quarantined {
		if now.Sub(re.heldSince) >= HoldFor {
			continue
		}
		text := fp.String()
		if !re.held(now) {
			text += " answered"
		}
		digest ^= xxhash.Sum64String(text)
	}
	return digest
}

// Sweep forgets what counts no more.
func (le *Ledger) Sweep(now time.Time) {
	if le.num.Load() == 0 {
		return
	}
	le.mu.Lock()
	defer le.mu.Unlock()
	for fp, re := range le.requests {
		if re.over(now) {
			le.forget(fp)
		}
	}
}

// over tells whether a request counts no more.
func (re *record) over(now time.Time) bool {
	if re.heldSince.IsZero() {
		return now.Sub(re.seen) >= suspectFor
	}
	return now.Sub(re.heldSince) >= HoldFor
}

func (le *Ledger) forget(fp Fingerprint) {
	delete(le.requests, fp)
	delete(le.quarantined, fp)
	le.num.Store(int64(len(le.requests)))
}

// record returns a request's record, made anew if there is none.
func (le *Ledger) record(fp Fingerprint, now time.Time) *record {
	if le.requests == nil {
		le.requests = make(map[Fingerprint]*record)
	}
	re := le.requests[fp]
	if re == nil {
		if len(le.requests) >= maxRequests {
			le.forgetOldest()
		}
		re = &record{}
		le.requests[fp] = re
		le.num.Store(int64(len(le.requests)))
	}
	re.seen = now
	return re
}

// forgetOldest makes room for a request: those go first that are not quarantined.
func (le *Ledger) forgetOldest() {
	order := func(one, two Fingerprint) int {
		first, second := le.requests[one], le.requests[two]
		if byHold := cmp.Compare(rank(first), rank(second)); byHold != 0 {
			return byHold
		}
		return first.seen.Compare(second.seen)
	}
	le.forget(slices.MinFunc(slices.Collect(maps.Keys(le.requests)), order))
}

// rank is 1 for a request that was quarantined and 0 for one that is suspected.
func rank(re *record) int {
	if re.heldSince.IsZero() {
		return 0
	}
	return 1
}

func later(one, two time.Time) time.Time {
	if two.After(one) {
		return two
	}
	return one
}
