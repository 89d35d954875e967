package quarantine

import (
	"slices"
	"time"
)

const (
	// maxTrials bounds the trials of a part since it last completed. With those of the probes it is
	// what a crashing part may cost after its quarantine.
	maxTrials = 3
	// trialTimeout is how long the result of a trial is awaited before the next one. Endpoints
	// crash or complete within about 2 s; a lost report must not end all trials.
	trialTimeout = 4 * time.Second
	// trialDelay is the least time from the last crash of a part to its trial: the other
	// daemons' reports of that crash arrive in it, and crashes within partInterval count as one.
	trialDelay = 300 * time.Millisecond
	// minCommonCrashes is the number of crashes that two parts must share before a trial is made to tell
	// them apart. Parts of a single crash each are no explanation of a series.
	minCommonCrashes = 2
)

// trial is a request that was sent although parts of its prompt are quarantined, because it lacks
// other parts that were at the same crashes.
type trial struct {
	content Fingerprint
	parts   []*record
	at      time.Time
	crashed bool
	// rivals are the parts that the request lacks and that seem to have been at the same crashes. They are
	// set where this ledger learned of all of them from others.
	rivals []*record
}

// pending reports whether the result of the trial is awaited.
func (tr *trial) pending(now time.Time) bool {
	if tr == nil || tr.crashed || now.Sub(tr.at) >= trialTimeout {
		return false
	}
	return slices.ContainsFunc(tr.parts, func(re *record) bool { return re.quarantined(now) })
}

// ClaimTrial reports whether a request may be sent although it has quarantined parts, because its
// result tells them from others: each crash of these parts has a part that the request lacks, and one of
// those shared several of the crashes. If the request completes, its parts are cleared. If
// it crashes its endpoint, the parts that it lacks were absent at a crash of its own parts, which
// then explain all crashes. It grants one request at a time.
func (le *Ledger) ClaimTrial(rq Request, now time.Time) bool {
	le.mu.Lock()
	defer le.mu.Unlock()
	held := le.heldParts(rq, now)
	if len(held) == 0 || le.trial.pending(now) {
		return false
	}
	var rivals []*record
	for _, re := range held {
		others := le.rivals(rq, re, now)
		if re.trials >= maxTrials || len(others) == 0 && !le.separates(rq, re, now) {
			return false
		}
		rivals = append(rivals, others...)
	}
	for _, re := range held {
		re.trials++
	}
	le.trial = &trial{content: rq.Content, parts: held, at: now, rivals: rivals}
	return true
}

// HeldParts returns the quarantined parts of a request. It returns nil if the request itself is in
// quarantine: no trial can end that.
func (le *Ledger) HeldParts(rq Request, now time.Time) []Fingerprint {
	le.mu.Lock()
	defer le.mu.Unlock()
	if re := le.subjects[rq.Content]; re != nil && re.quarantined(now) {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(rq.Parts), func(fp Fingerprint) bool {
		re := le.subjects[fp]
		return re == nil || !re.quarantined(now)
	})
}

// heldParts returns the records of the quarantined parts of a request, as HeldParts.
func (le *Ledger) heldParts(rq Request, now time.Time) []*record {
	if re := le.subjects[rq.Content]; re != nil && re.quarantined(now) {
		return nil
	}
	var held []*record
	for _, fp := range rq.Parts {
		if re := le.subjects[fp]; re != nil && re.quarantined(now) {
			held = append(held, re)
		}
	}
	return held
}

// separates reports whether the result of a request tells its part with the record from the others
// that were at the part's crashes.
func (le *Ledger) separates(rq Request, re *record, now time.Time) bool {
	var open []*endpointCrash
	for _, se := range re.crashes {
		if !re.attributed(se) {
			continue
		}
		if now.Sub(se.at) < trialDelay {
			return false
		}
		open = append(open, se)
	}
	if len(open) < minCommonCrashes {
		return false
	}
	most := 0
	for fp, other := range le.subjects {
		if !other.part || other == re || other.proven && !re.proven || slices.Contains(rq.Parts, fp) {
			continue
		}
		shared := func(se *endpointCrash) bool { return other.attributed(se) && slices.Contains(other.crashes, se) }
		most = max(most, re.count(shared))
		open = slices.DeleteFunc(open, shared)
	}
	return len(open) == 0 && most >= minCommonCrashes
}

// rivals returns the quarantined parts that a request lacks and that were quarantined by the same crash as
// its part with the record, if this ledger has seen no crash of either. So it is after a start, when the
// entries come from the store or from another daemon: parts of the same crashes have the same time.
func (le *Ledger) rivals(rq Request, re *record, now time.Time) []*record {
	if re.evidence() > 0 || now.Sub(re.quarantinedAt) < trialDelay {
		return nil
	}
	var rivals []*record
	for fp, other := range le.quarantined {
		if other.part && other != re && other.quarantined(now) && other.evidence() == 0 && other.quarantinedAt.Equal(re.quarantinedAt) && !slices.Contains(rq.Parts, fp) {
			rivals = append(rivals, other)
		}
	}
	return rivals
}

// noteTrialCrash ends the awaited trial if a crash was during its request. It releases the rivals: where
// their crashes are not known, release has no evidence to do so.
func (le *Ledger) noteTrialCrash(en Crash) {
	if le.trial != nil && slices.ContainsFunc(en.Requests, func(rq Request) bool { return rq.Content == le.trial.content }) {
		le.trial.crashed = true
		for _, re := range le.trial.rivals {
			if re.evidence() == 0 {
				re.completedAt = latest(re.completedAt, re.quarantinedAt)
			}
		}
		le.trial.rivals = nil
	}
}
