// Package permit decides whether a daemon may send requests to a group at a
// given moment. A permit is derived from evidence that expires: some daemon
// probed every member of the group at a known time and found the group
// complete. A daemon that is suspended, partitioned or out of date loses its
// permits when they expire; no message is needed.
//
// All times are read from the local daemon's clock. Evidence from a peer
// carries an age instead of a time and is dated from the moment this daemon
// sent its pull. Transfer delay can therefore make the evidence look older than
// it is, never newer.
package permit

import (
	"time"

	"corianderhub.dev/corianderhub/internal/core/fleet"
)

// Evidence states that a group was complete at a given time.
type Evidence struct {
	Group string
	Fence uint64
	// Leader is the name of the VM that accepts the group's requests.
	Leader string
	// At is when the oldest of the underlying probes was sent, or when the
	// answered request was dispatched.
	At   time.Time
	Load fleet.Load
}

// Permit allows requests to be sent to a group until Expires.
type Permit struct {
	Evidence
	Expires time.Time
}

// Valid reports whether the permit has not yet expired at now.
func (pe Permit) Valid(now time.Time) bool { return now.Before(pe.Expires) }

// Table holds the newest evidence and the last revocation of each group. Use
// NewTable to create one. A Table is not safe for concurrent use.
type Table struct {
	// lifetime is how long a permit lasts, counted from Evidence.At.
	lifetime time.Duration
	newest   map[string]Evidence
	revoked  map[string]time.Time
}

// NewTable returns an empty table whose permits expire lifetime after their
// evidence was gathered.
func NewTable(lifetime time.Duration) *Table {
	return &Table{lifetime: lifetime, newest: make(map[string]Evidence), revoked: make(map[string]time.Time)}
}

// Add stores ev and reports whether it did. It ignores evidence that is not
// newer than the group's last revocation, that has a lower fencing token than
// the stored evidence, or that has the same token and is not newer.
func (tb *Table) Add(ev Evidence) bool {
	if at, ok := tb.revoked[ev.Group]; ok && !ev.At.After(at) {
		return false
	}
	old, ok := tb.newest[ev.Group]
	if ok && (old.Fence > ev.Fence || (old.Fence == ev.Fence && !ev.At.After(old.At))) {
		return false
	}
	tb.newest[ev.Group] = ev
	return true
}

// Revoke withdraws the group's permit because a member was found missing,
// leaving or restarted at the given time. Only evidence gathered after that
// time grants a permit again. Revoke reports whether it removed stored
// evidence.
func (tb *Table) Revoke(group string, at time.Time) bool {
	if !at.After(tb.revoked[group]) {
		return false
	}
	tb.revoked[group] = at
	ev, ok := tb.newest[group]
	if !ok || ev.At.After(at) {
		return false
	}
	delete(tb.newest, group)
	return true
}

// Retain keeps the evidence and revocations of only those groups for which keep
// returns true.
func (tb *Table) Retain(keep func(group string) bool) {
	for group := range tb.newest {
		if !keep(group) {
			delete(tb.newest, group)
		}
	}
	for group := range tb.revoked {
		if !keep(group) {
			delete(tb.revoked, group)
		}
	}
}

// Permit returns the permit for gr and whether it is valid at now. Evidence for
// another fencing token of the group does not count.
func (tb *Table) Permit(gr fleet.Group, now time.Time) (Permit, bool) {
	ev, ok := tb.newest[gr.ID]
	if !ok || ev.Fence != gr.Fence {
		return Permit{}, false
	}
	pe := Permit{Evidence: ev, Expires: ev.At.Add(tb.lifetime)}
	return pe, pe.Valid(now)
}

// Fresh returns the evidence that still grants a permit at now. Peers receive
// it in the response to a pull.
func (tb *Table) Fresh(now time.Time) []Evidence {
	var evs []Evidence
	for _, ev := range tb.newest {
		if now.Sub(ev.At) < tb.lifetime {
			evs = append(evs, ev)
		}
	}
	return evs
}
