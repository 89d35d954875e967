package evacuation

import (
	"maps"
	"slices"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// settleTime is how long after a restore of the store the operators may take to write again
// what is missing in the copy. Until then, absence from the store proves nothing.
const settleTime = 2300 * time.Millisecond

// ReadAll applies a full read of the operators' orders at a position of the store's history.
// revisions holds those of the evacuated data centres. It returns the data centres whose
// evacuation began or ended.
func (tr *Tracker) ReadAll(revisions map[string]int64, at catalog.Position, now time.Time) (begun, ended []string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.recordEra(at.Era, now)
	tr.shown = Order{Revision: at.Revision, Era: at.Era, DataCenters: slices.Sorted(maps.Keys(revisions))}
	if !tr.settling(now) {
		tr.settled = true
		return tr.apply(tr.shown, now)
	}
	if tr.order.Revision == 0 {
		unsure := tr.shown
		unsure.Era = unsureEra
		return tr.apply(unsure, now)
	}
	return tr.apply(tr.additions(revisions), now)
}

// Change applies the operators' change of one data centre.
func (tr *Tracker) Change(dataCenter string, evacuated bool, at catalog.Position, now time.Time) (begun, ended []string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.recordEra(at.Era, now)
	tr.shown = tr.shown.With(dataCenter, evacuated, at)
	if !tr.settling(now) {
		tr.settled = true
		return tr.apply(tr.shown, now)
	}
	return tr.apply(Order{Changes: []Change{{dataCenter, evacuated, at.Era, at.Revision}}}, now)
}

// Settle applies what the store shows once the operators have had the time to write again what
// a restore took away. Only a daemon that follows the store may call it.
func (tr *Tracker) Settle(now time.Time) (begun, ended []string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.settled || tr.shown.Revision == 0 || tr.settling(now) {
		return nil, nil
	}
	tr.settled = true
	return tr.apply(tr.shown, now)
}

// additions returns the evacuations that the store shows after a restore, at their revisions as
// if they were of the era before: those in the copy are not later than what this daemon knows.
func (tr *Tracker) additions(revisions map[string]int64) Order {
	var added Order
	for dc, rev := range revisions {
		added.Changes = append(added.Changes, Change{dc, true, tr.order.Era, rev})
	}
	return added
}

// recordEra records the store's era and when this process first read it.
func (tr *Tracker) recordEra(era int64, now time.Time) {
	if era == tr.era && !tr.eraSince.IsZero() {
		return
	}
	tr.era, tr.eraSince, tr.settled = era, now, false
}

// settling reports whether the store may lack what the operators wrote before a restore. A
// store that has never been restored lacks nothing, and another daemon may have waited already.
func (tr *Tracker) settling(now time.Time) bool {
	waited := tr.order.Revision > 0 && tr.order.Era == tr.era
	return tr.era > 0 && !waited && now.Sub(tr.eraSince) < settleTime
}
