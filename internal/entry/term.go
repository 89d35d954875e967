package entry

import (
	"time"

	"corianderhub.dev/corianderhub/internal/clock"
)

// adoptTerm continues under a new term with the current state. It reports whether the
// published view must be applied again under that term.
func (sh *stewardship) adoptTerm(term int64) bool {
	sh.term, sh.core.Term = term, term
	if sh.published == nil {
		return false
	}
	vi := *sh.published
	vi.Term = term
	sh.published = &vi
	return true
}

// nextTerm returns the term of a steward that has acquired the lease at a revision of the store.
// It is higher than all terms before: that of the revision, unless the store was restored from a
// copy and its revisions went back.
func (ct *control) nextTerm(revision int64) int64 {
	ct.maxTerm = max(revision, ct.maxTerm+1)
	return ct.maxTerm
}

// raiseTerm gives this steward a higher term if daemons know of a higher one than its own, which
// they would obey. That is so if it acquired the lease after a restore of the store and had not
// heard of its predecessor. A steward that is still heard is left to the lease.
func (ct *control) raiseTerm(now time.Time) {
	sh := &ct.lease
	if ct.maxTerm <= sh.term || clock.SinceBoot() >= sh.until || now.Sub(ct.lastStewardHeartbeat) <= relayedStewardTimeout {
		return
	}
	before := sh.term
	if sh.adoptTerm(ct.nextTerm(0)) {
		ct.applyView(sh.published)
	}
	ct.da.Log.Warn("steward: term raised.", "term", sh.term, "before", before)
}
