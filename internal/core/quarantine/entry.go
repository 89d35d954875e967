package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Entry is a subject that was quarantined, as daemons exchange it and the store keeps it.
type Entry struct {
	Subject Fingerprint `json:"request"`
	// Part is set for a part of prompts.
	Part bool `json:"part,omitempty"`
	// Since is the time of the latest crash that put the subject in quarantine.
	Since time.Time `json:"since"`
	// CompletedAt is when the request, or one with the part, last completed, or zero. If it is not
	// before Since, the subject is no longer quarantined.
	CompletedAt time.Time `json:"answered,omitzero"`
	// ReleasedAt is when an operator last released the subject, or zero. Crashes before that don't
	// count against it.
	ReleasedAt time.Time `json:"released,omitzero"`
}

// Held reports whether the subject is in quarantine.
func (en *Entry) Held(now time.Time) bool {
	return en.Since.After(latest(en.CompletedAt, en.ReleasedAt)) && now.Sub(en.Since) < TTL
}

// Entries returns the subjects that were quarantined within the last TTL, including those that
// have completed since, in order of their fingerprints.
func (le *Ledger) Entries(now time.Time) []Entry {
	le.mu.Lock()
	defer le.mu.Unlock()
	var entries []Entry
	for fp, re := range le.quarantined {
		if now.Sub(re.quarantinedAt) < TTL {
			entries = append(entries, Entry{fp, re.part, re.quarantinedAt, re.completedAt, re.releasedAt})
		}
	}
	slices.SortFunc(entries, func(one, two Entry) int { return slices.Compare(one.Subject[:], two.Subject[:]) })
	return entries
}

// Held returns the entries that are in quarantine.
func (le *Ledger) Held(now time.Time) []Entry {
	return slices.DeleteFunc(le.Entries(now), func(en Entry) bool { return !en.Held(now) })
}

// Release ends the quarantine of a subject on the order of an operator, and returns its entry and
// whether it was in quarantine. It is quarantined again if enough endpoints crash from then on.
func (le *Ledger) Release(subject Fingerprint, now time.Time) (Entry, bool) {
	le.mu.Lock()
	defer le.mu.Unlock()
	re := le.subjects[subject]
	if re == nil || !re.quarantined(now) {
		return Entry{}, false
	}
	// The latest crash may have been dated by a clock ahead of this one.
	re.release(latest(now, re.quarantinedAt))
	return Entry{subject, re.part, re.quarantinedAt, re.completedAt, re.releasedAt}, true
}

// Merge adds the entries of another daemon or of the store, and returns the subjects that are newly
// quarantined by them.
func (le *Ledger) Merge(entries []Entry, now time.Time) []Entry {
	le.mu.Lock()
	defer le.mu.Unlock()
	var newly []Entry
	for _, en := range entries {
		if now.Sub(en.Since) >= TTL {
			continue
		}
		re := le.record(en.Subject, en.Part, now)
		re.completedAt = latest(re.completedAt, en.CompletedAt)
		re.release(en.ReleasedAt)
		if le.quarantine(en.Subject, re, en.Since, now) {
			newly = append(newly, en)
		}
	}
	return newly
}

// Digest returns a digest of the quarantined subjects and of whether each has completed since.
// Daemons compare digests to detect that their ledgers differ. It is 0 if no subject was
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
