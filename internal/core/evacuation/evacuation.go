// Package evacuation records which data centres the operators have evacuated: no new request
// may be sent to an endpoint there. It does no input or output.
package evacuation

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Order is the set of evacuated data centres at one revision of the store. Daemons pass it
// on in their heartbeats.
type Order struct {
	// Revision is the store's revision at which the set was read or last changed; 0 if it
	// has never been read.
	Revision int64 `cbor:"1,keyasint"`
	// DataCenters is sorted.
	DataCenters []string `cbor:"2,keyasint,omitempty"`
}

// Has reports whether a data centre is evacuated.
func (or Order) Has(dataCenter string) bool { return slices.Contains(or.DataCenters, dataCenter) }

// With returns the order after a change of one data centre at a later revision.
func (or Order) With(dataCenter string, evacuated bool, revision int64) Order {
	set := map[string]bool{dataCenter: true}
	for _, dc := range or.DataCenters {
		set[dc] = true
	}
	if !evacuated {
		delete(set, dataCenter)
	}
	return Order{Revision: revision, DataCenters: slices.Sorted(maps.Keys(set))}
}

// Tracker holds the newest order that is known. It is safe for concurrent use, and the zero
// value is ready for use.
type Tracker struct {
	mu    sync.Mutex
	order Order
	// endedAt is when this process learned that an evacuation had ended, by data centre.
	endedAt map[string]time.Time
}

// Order returns the newest known order.
func (tr *Tracker) Order() Order {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.order
}

// Apply replaces the order by a newer one and returns the data centres that were added to it
// or removed from it. An order that is not newer is ignored: messages may arrive late or from
// a daemon that has not learned of a change.
func (tr *Tracker) Apply(next Order, now time.Time) (begun, ended []string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if next.Revision <= tr.order.Revision {
		return nil, nil
	}
	for _, dc := range next.DataCenters {
		if !tr.order.Has(dc) {
			begun = append(begun, dc)
			delete(tr.endedAt, dc)
		}
	}
	for _, dc := range tr.order.DataCenters {
		if !next.Has(dc) {
			ended = append(ended, dc)
			tr.recordEnd(dc, now)
		}
	}
	tr.order = next
	return begun, ended
}

func (tr *Tracker) recordEnd(dataCenter string, now time.Time) {
	if tr.endedAt == nil {
		tr.endedAt = make(map[string]time.Time)
	}
	tr.endedAt[dataCenter] = now
}

// EndedAt returns when this process learned that the last evacuation of the data centre had
// ended. The second value is false if it has seen none end, or if the data centre is evacuated.
func (tr *Tracker) EndedAt(dataCenter string) (time.Time, bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	at, ok := tr.endedAt[dataCenter]
	return at, ok
}
