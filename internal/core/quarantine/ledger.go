package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// CrashThreshold is the number of endpoint crashes during a request that puts it in quarantine.
	// A crash interrupts all requests of the endpoint; an unrelated request is unlikely to be
	// present at three crashes. The same number holds for a part that no completed request had.
	CrashThreshold = 3
	// provenPartThreshold is the number for a part that completed requests have had: its other
	// requests may take longer to complete than endpoints to crash.
	provenPartThreshold = 5
	// minPartRequests is the number of different requests that must have run during the crashes of
	// a part. Otherwise the one request explains them.
	minPartRequests = 3
	// TTL is how long a request stays in quarantine. A request that crashes endpoints does so until
	// their software is fixed.
	TTL = 24 * time.Hour
	// firstProbeInterval is the time from the quarantine of a part until a request with it is sent
	// in spite of that. The time doubles with each probe, up to maxProbeDoublings times.
	firstProbeInterval = 2 * time.Minute
	maxProbeDoublings  = 7
	// suspectTTL is how long the record of a subject that was never quarantined is kept after its
	// last update.
	suspectTTL = 15 * time.Minute
	// duplicateWindow is the time within which reports of a crash of the same endpoint are taken
	// as the same crash. Several daemons report each crash, and an endpoint takes longer than this
	// to restart.
	duplicateWindow = time.Second
	// maxRecords bounds the number of subjects with a record, at about 1 MB of memory.
	maxRecords = 4096
	// maxCrashes bounds the crashes whose reports are merged.
	maxCrashes = 256
)

// Crash describes a crash of a server process, with the requests that it was running.
type Crash struct {
	Endpoint string `cbor:"1,keyasint"`
	// At is when the crash was detected.
	At time.Time `cbor:"-"`
	// Age is the time since then when a daemon reports the crash to another, whose clock may differ.
	Age      time.Duration `cbor:"4,keyasint"`
	Requests []Request     `cbor:"5,keyasint"`
}

// Completion reports that a request has completed: an endpoint has sent the complete response and
// survived it.
type Completion struct {
	// Subject is the request or a part of its prompt.
	Subject Fingerprint `cbor:"1,keyasint"`
	// At is when the request completed, Age the time since then as in Crash.
	At  time.Time     `cbor:"-"`
	Age time.Duration `cbor:"4,keyasint"`
	// Took is the time from sending the request to the endpoint until it completed.
	Took time.Duration `cbor:"5,keyasint"`
}

// Ledger records the endpoint crashes during each request and with each part of prompts, as this
// daemon and others detect them. Crashes and completions may be reported in any order and more than
// once. The zero value is an empty ledger. A Ledger is safe for concurrent use.
//
// A subject is quarantined once it was present at enough crashes since it last completed that no
// quarantined subject explains. It is released if another subject turns out to explain them all.
type Ledger struct {
	mu       sync.Mutex
	subjects map[Fingerprint]*record
	// quarantined holds the records of subjects that were ever quarantined, including those that
	// have completed since.
	quarantined map[Fingerprint]*record
	// crashes are the latest crashes, oldest report first.
	crashes []*endpointCrash
	proven  provenParts
	// trial is the latest request that ClaimTrial granted, or nil.
	trial *trial
	// num is len(subjects). Readers check it first, to avoid the lock while there are none.
	num atomic.Int64
	// deferring is set by SetDeferring.
	deferring atomic.Bool
}

// SetDeferring sets whether another daemon, which receives all reports, judges parts. A part that is
// at all crashes that one daemon sees may not be at all of them.
func (le *Ledger) SetDeferring(on bool) { le.deferring.Store(on) }

// RecordCrash records an endpoint crash, and returns the subjects that are newly quarantined by it.
func (le *Ledger) RecordCrash(en Crash, now time.Time) []Entry {
	le.mu.Lock()
	defer le.mu.Unlock()
	se := le.crash(en.Endpoint, en.At)
	var present []Fingerprint
	for _, rq := range en.Requests {
		for i, fp := range rq.Subjects() {
			if rq.provenAt(i) {
				le.proven.add(fp)
			}
			re := le.record(fp, i > 0, now)
			re.proven = re.proven || rq.provenAt(i)
			re.addCrash(se, rq.Content)
			present = append(present, fp)
			if re.quarantined(now) {
				re.quarantinedAt = latest(re.quarantinedAt, en.At)
				se.addQuarantined(re)
			}
		}
	}
	le.noteTrialCrash(en)
	newly := le.judge(present, en.At, now)
	le.release(now)
	return newly
}

// crash returns the crash of an endpoint at a time, and adds it if no report of it came before.
func (le *Ledger) crash(endpoint string, at time.Time) *endpointCrash {
	same := func(se *endpointCrash) bool { return se.endpoint == endpoint && se.at.Sub(at).Abs() < duplicateWindow }
	if i := slices.IndexFunc(le.crashes, same); i >= 0 {
		return le.crashes[i]
	}
	se := &endpointCrash{endpoint: endpoint, at: at}
	le.crashes = append(le.crashes[max(0, len(le.crashes)+1-maxCrashes):], se)
	return se
}

// addQuarantined notes a quarantined subject of the crash.
func (se *endpointCrash) addQuarantined(re *record) {
	if !slices.Contains(se.quarantined, re) {
		se.quarantined = append(se.quarantined, re)
	}
}

// judge quarantines the guilty ones of the subjects that were present at a crash, and returns those
// that are newly quarantined. Parts come first, since they explain the crashes of single requests.
func (le *Ledger) judge(present []Fingerprint, at, now time.Time) []Entry {
	var newly []Entry
	for _, part := range []bool{true, false} {
		if part && le.deferring.Load() {
			continue
		}
		var guilty []Fingerprint
		for _, fp := range present {
			if re := le.subjects[fp]; re != nil && re.part == part && re.guilty() {
				guilty = append(guilty, fp)
			}
		}
		for _, fp := range guilty {
			re := le.subjects[fp]
			if le.quarantine(fp, re, at, now) {
				newly = append(newly, Entry{fp, re.part, re.quarantinedAt, re.completedAt, re.releasedAt})
			}
		}
	}
	return newly
}

// quarantine puts a subject in quarantine as of since, and reports whether it is newly quarantined.
func (le *Ledger) quarantine(fp Fingerprint, re *record, since, now time.Time) bool {
	before := re.quarantined(now)
	re.quarantinedAt = latest(re.quarantinedAt, since)
	if le.quarantined == nil {
		le.quarantined = make(map[Fingerprint]*record)
	}
	le.quarantined[fp] = re
	for _, se := range re.crashes {
		se.addQuarantined(re)
	}
	return !before && re.quarantined(now)
}

// release ends the quarantine of the subjects whose crashes others explain.
func (le *Ledger) release(now time.Time) {
	for _, re := range le.quarantined {
		if re.quarantined(now) && re.evidence() > 0 && re.unexplained() == 0 {
			re.completedAt = latest(re.completedAt, re.quarantinedAt)
		}
	}
}

// RecordCompletion records the completion of a request, or of one with a part.
func (le *Ledger) RecordCompletion(an Completion, now time.Time) {
	le.mu.Lock()
	defer le.mu.Unlock()
	re := le.record(an.Subject, false, now)
	re.complete(an)
	re.requests, re.proven = nil, true
	le.proven.add(an.Subject)
}

// Complete notes that a request has completed, and returns those of its subjects during which
// endpoints have crashed since they last completed.
func (le *Ledger) Complete(rq Request) []Fingerprint {
	le.mu.Lock()
	defer le.mu.Unlock()
	for _, fp := range rq.Parts {
		le.proven.add(fp)
	}
	return le.suspected(rq)
}

// Suspected returns the subjects of the request during which endpoints have crashed since they last
// completed.
func (le *Ledger) Suspected(rq Request) []Fingerprint {
	if le.num.Load() == 0 {
		return nil
	}
	le.mu.Lock()
	defer le.mu.Unlock()
	return le.suspected(rq)
}

func (le *Ledger) suspected(rq Request) []Fingerprint {
	if len(le.subjects) == 0 {
		return nil
	}
	return slices.DeleteFunc(rq.Subjects(), func(fp Fingerprint) bool {
		re := le.subjects[fp]
		return re == nil || re.evidence() == 0 && !re.quarantinedAt.After(re.completedAt)
	})
}

// MarkProven sets which parts of the requests have been proven, for the report of a crash.
func (le *Ledger) MarkProven(requests []Request) {
	le.mu.Lock()
	defer le.mu.Unlock()
	for i := range requests {
		rq := &requests[i]
		rq.Proven = 0
		for num, fp := range rq.Parts {
			if le.proven.contains(fp) {
				rq.Proven |= 1 << num
			}
		}
	}
}

// Unproven reports whether no request has completed lately with one of the parts of the request.
func (le *Ledger) Unproven(rq Request) bool {
	le.mu.Lock()
	defer le.mu.Unlock()
	return slices.ContainsFunc(rq.Parts, func(fp Fingerprint) bool { return !le.proven.contains(fp) })
}

// Quarantined returns the subject of a request that is in quarantine for longest, the remaining time,
// and whether there is one.
func (le *Ledger) Quarantined(rq Request, now time.Time) (subject Fingerprint, left time.Duration, quarantined bool) {
	if le.num.Load() == 0 {
		return Fingerprint{}, 0, false
	}
	le.mu.Lock()
	defer le.mu.Unlock()
	for _, fp := range rq.Subjects() {
		re := le.subjects[fp]
		if re == nil || !re.quarantined(now) {
			continue
		}
		if until := min(TTL-now.Sub(re.quarantinedAt), max(minRetryAfter, re.nextProbe().Sub(now))); until > left {
			subject, left, quarantined = fp, until, true
		}
	}
	return subject, left, quarantined
}

// Holds reports whether a subject is in quarantine.
func (le *Ledger) Holds(subject Fingerprint, now time.Time) bool {
	le.mu.Lock()
	defer le.mu.Unlock()
	re := le.subjects[subject]
	return re != nil && re.quarantined(now)
}

// minRetryAfter is the least remaining time of a quarantine that callers are given.
const minRetryAfter = time.Second

// ClaimProbe reports whether a request may be sent although it has quarantined parts, to learn
// whether endpoints still crash. It grants one request in the time until the next probe.
func (le *Ledger) ClaimProbe(rq Request, now time.Time) bool {
	le.mu.Lock()
	defer le.mu.Unlock()
	var held []*record
	for _, fp := range rq.Subjects() {
		re := le.subjects[fp]
		if re == nil || !re.quarantined(now) {
			continue
		}
		if now.Before(re.nextProbe()) {
			return false
		}
		held = append(held, re)
	}
	for _, re := range held {
		re.probedAt = now
		re.probes++
	}
	return len(held) > 0
}

// Sweep deletes expired records.
func (le *Ledger) Sweep(now time.Time) {
	if le.num.Load() == 0 {
		return
	}
	le.mu.Lock()
	defer le.mu.Unlock()
	for fp, re := range le.subjects {
		if re.expired(now) {
			le.remove(fp)
		}
	}
	le.crashes = slices.DeleteFunc(le.crashes, func(se *endpointCrash) bool { return now.Sub(se.at) >= suspectTTL })
}

// remove deletes the record of a subject.
func (le *Ledger) remove(fp Fingerprint) {
	delete(le.subjects, fp)
	delete(le.quarantined, fp)
	le.num.Store(int64(len(le.subjects)))
}

// record returns the record of a subject, and creates it if there is none. At the limit of
// maxRecords, a new record replaces an old one.
func (le *Ledger) record(fp Fingerprint, part bool, now time.Time) *record {
	if le.subjects == nil {
		le.subjects = make(map[Fingerprint]*record)
	}
	re := le.subjects[fp]
	if re == nil {
		if len(le.subjects) >= maxRecords {
			le.evictOldest()
		}
		re = &record{}
		le.subjects[fp] = re
		le.num.Store(int64(len(le.subjects)))
	}
	if part && !re.part {
		// A completion, which doesn't tell, may have created the record.
		re.part = true
	}
	if re.part && len(re.crashes) == 0 {
		re.proven = le.proven.contains(fp)
	}
	re.updatedAt = now
	return re
}

// evictOldest deletes the least recently updated record, preferably one of a subject that was never
// quarantined.
func (le *Ledger) evictOldest() {
	order := func(one, two Fingerprint) int {
		first, second := le.subjects[one], le.subjects[two]
		if byRank := cmp.Compare(first.evictionRank(), second.evictionRank()); byRank != 0 {
			return byRank
		}
		return first.updatedAt.Compare(second.updatedAt)
	}
	le.remove(slices.MinFunc(slices.Collect(maps.Keys(le.subjects)), order))
}
