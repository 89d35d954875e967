// Package evacuation records which data centres the operators have evacuated: no new request
// may be sent to an endpoint there. It does no input or output.
package evacuation

import (
	"maps"
	"slices"
	"sync"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// Order is the set of evacuated data centres as one daemon knows it. Daemons pass it on in their
// heartbeats.
type Order struct {
	// Revision is the store's revision at which the set was read or last changed as a whole; 0
	// if it has never been read. Era is the store's era of it. NamesEra is not set by daemons
	// of earlier releases, which don't know eras.
	Revision int64 `cbor:"1,keyasint"`
	Era      int64 `cbor:"3,keyasint,omitempty"`
	NamesEra bool  `cbor:"5,keyasint,omitempty"`
	// DataCenters is sorted.
	DataCenters []string `cbor:"2,keyasint,omitempty"`
	// Changes are single data centres that the operators have ordered since then. Only the
	// seconds after a restore of the store have any.
	Changes []Change `cbor:"4,keyasint,omitempty"`
}

// Change is the last change of one data centre.
type Change struct {
	DataCenter string `cbor:"1,keyasint"`
	Evacuated  bool   `cbor:"2,keyasint,omitempty"`
	Era        int64  `cbor:"3,keyasint"`
	Revision   int64  `cbor:"4,keyasint"`
}

func (ch Change) position() catalog.Position {
	return catalog.Position{Era: ch.Era, Revision: ch.Revision}
}

const (
	// unsureEra precedes all eras. It is that of a set read by a process that can't tell
	// whether the store was just restored. unknownEra precedes it.
	unsureEra  = -1
	unknownEra = -2
)

// position returns the position of the set as a whole.
func (or Order) position() catalog.Position {
	if or.Revision == 0 {
		return catalog.Position{Era: unknownEra}
	}
	return catalog.Position{Era: or.Era, Revision: or.Revision}
}

// Has reports whether a data centre is evacuated.
func (or Order) Has(dataCenter string) bool { return slices.Contains(or.DataCenters, dataCenter) }

// last returns the last known change of a data centre.
func (or Order) last(dataCenter string) Change {
	for _, ch := range or.Changes {
		if ch.DataCenter == dataCenter {
			return ch
		}
	}
	at := or.position()
	return Change{dataCenter, or.Has(dataCenter), at.Era, at.Revision}
}

// With returns the order after a change of one data centre at a later position.
func (or Order) With(dataCenter string, evacuated bool, at catalog.Position) Order {
	set := map[string]bool{dataCenter: true}
	for _, dc := range or.DataCenters {
		set[dc] = true
	}
	if !evacuated {
		delete(set, dataCenter)
	}
	return Order{Revision: at.Revision, Era: at.Era, DataCenters: slices.Sorted(maps.Keys(set))}
}

// merge returns what is known from two orders: the later change of each data centre.
func merge(one, other Order) Order {
	merged := Order{Revision: one.Revision, Era: one.Era}
	if one.position().Before(other.position()) {
		merged.Revision, merged.Era = other.Revision, other.Era
	}
	all := make(map[string]bool)
	for _, or := range []Order{one, other} {
		for _, dc := range or.DataCenters {
			all[dc] = true
		}
		for _, ch := range or.Changes {
			all[ch.DataCenter] = true
		}
	}
	for _, dc := range slices.Sorted(maps.Keys(all)) {
		last := one.last(dc)
		if ch := other.last(dc); last.position().Before(ch.position()) {
			last = ch
		}
		if last.Evacuated {
			merged.DataCenters = append(merged.DataCenters, dc)
		}
		if merged.position().Before(last.position()) {
			merged.Changes = append(merged.Changes, last)
		}
	}
	return merged
}

// Tracker holds the newest order that is known. It is safe for concurrent use, and the zero
// value is ready for use.
type Tracker struct {
	mu    sync.Mutex
	order Order
	// begunAt and endedAt are when this process learned that an evacuation had begun or ended, by
	// data centre.
	begunAt, endedAt map[string]time.Time
	// shown is what the store shows, era its era and eraSince when this process first read it
	// in that era. settled is set once shown is in force as a whole.
	shown    Order
	era      int64
	eraSince time.Time
	settled  bool
}

// Order returns the newest known order.
func (tr *Tracker) Order() Order {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.order
}

// Announcement returns the newest known order for other daemons.
func (tr *Tracker) Announcement() Order {
	or := tr.Order()
	or.NamesEra = or.Revision > 0
	return or
}

// Apply adds what another daemon knows and returns the data centres whose evacuation began or
// ended. What is not newer is ignored: messages may arrive late or from a daemon that has not
// learned of a change.
func (tr *Tracker) Apply(heard Order, now time.Time) (begun, ended []string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if !heard.NamesEra {
		// The sender is of an earlier release and follows the same store.
		heard.Era = tr.era
	}
	return tr.apply(heard, now)
}

// apply adds what another order knows. tr.mu must be held.
func (tr *Tracker) apply(other Order, now time.Time) (begun, ended []string) {
	if other.position() == tr.order.position() && len(other.Changes) == 0 {
		// Most heartbeats say nothing new.
		return nil, nil
	}
	next := merge(tr.order, other)
	for _, dc := range next.DataCenters {
		if !tr.order.Has(dc) {
			begun = append(begun, dc)
			delete(tr.endedAt, dc)
			tr.recordBegin(dc, now)
		}
	}
	for _, dc := range tr.order.DataCenters {
		if !next.Has(dc) {
			ended = append(ended, dc)
			delete(tr.begunAt, dc)
			tr.recordEnd(dc, now)
		}
	}
	tr.order = next
	return begun, ended
}

func (tr *Tracker) recordBegin(dataCenter string, now time.Time) {
	if tr.begunAt == nil {
		tr.begunAt = make(map[string]time.Time)
	}
	tr.begunAt[dataCenter] = now
}

func (tr *Tracker) recordEnd(dataCenter string, now time.Time) {
	if tr.endedAt == nil {
		tr.endedAt = make(map[string]time.Time)
	}
	tr.endedAt[dataCenter] = now
}

// Evacuation is a data centre that is evacuated.
type Evacuation struct {
	DataCenter string
	// Since is when this process learned of the evacuation. The operators may have ordered it before.
	Since time.Time
}

// InForce returns the evacuations in force, sorted by data centre.
func (tr *Tracker) InForce() []Evacuation {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var all []Evacuation
	for _, dc := range tr.order.DataCenters {
		all = append(all, Evacuation{dc, tr.begunAt[dc]})
	}
	return all
}

// EndedAt returns when this process learned that the last evacuation of the data centre had
// ended. The second value is false if it has seen none end, or if the data centre is evacuated.
func (tr *Tracker) EndedAt(dataCenter string) (time.Time, bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	at, ok := tr.endedAt[dataCenter]
	return at, ok
}
