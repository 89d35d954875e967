// Package permit decides whether a daemon may send to a group now. The right
// comes from evidence that expires: some daemon probed every member at a
// known moment and found the group whole. A daemon that is frozen, cut off or
// uninformed loses the right by the passing of time alone, without a message.
//
// All times are of this daemon's own clock. Evidence from a peer arrives as
// an age, and is dated from the moment this daemon asked for it: however long
// the answer took, the evidence can only look older than it is, never newer.
package permit

import (
	"time"

	"corianderhub.dev/corianderhub/internal/core/fleet"
)

// Evidence says that a group was whole at a moment.
type Evidence struct {
	Group string
	Fence uint64
	// Leader is the VM that takes the group's requests.
	Leader string
	// At is when the oldest of the probes behind the evidence was sent.
	At   time.Time
	Load fleet.Load
}

// Permit is the right to send to a group until it expires.
type Permit struct {
	Evidence
	Expires time.Time
}

// Valid tells whether the permit may be used at now.
func (pe Permit) Valid(now time.Time) bool { return now.Before(pe.Expires) }

// Table holds the newest evidence for each group. Make it with NewTable.
type Table struct {
	// lifetime is how long evidence permits after it was gathered.
	lifetime time.Duration
	newest   map[string]Evidence
	revoked  map[string]time.Time
}

// NewTable returns a table whose evidence permits for lifetime.
func NewTable(lifetime time.Duration) *Table {
	return &Table{lifetime: lifetime, newest: make(map[string]Evidence), revoked: make(map[string]time.Time)}
}

// Add keeps the evidence if it is newer than what is known and newer than the
// last loss.
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

// Revoke withdraws the right at once: a member was found missing, leaving or
// of another incarnation at the moment at. Only evidence gathered after that
// permits again. It tells whether a right was withdrawn.
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

// Forget drops what is known of groups that keep is false for.
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

// Permit returns the right to send to gr, if there is one at now.
func (tb *Table) Permit(gr fleet.Group, now time.Time) (Permit, bool) {
	ev, ok := tb.newest[gr.ID]
	if !ok || ev.Fence != gr.Fence {
		return Permit{}, false
	}
	pe := Permit{Evidence: ev, Expires: ev.At.Add(tb.lifetime)}
	return pe, pe.Valid(now)
}

// Fresh returns the evidence that is still valid at now, for a peer.
func (tb *Table) Fresh(now time.Time) []Evidence {
	var evs []Evidence
	for _, ev := range tb.newest {
		if now.Sub(ev.At) < tb.lifetime {
			evs = append(evs, ev)
		}
	}
	return evs
}
