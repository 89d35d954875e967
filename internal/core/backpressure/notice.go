package backpressure

import (
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// resendInterval is the time after which a limit that the endpoint keeps announcing is sent to the
// other daemons again.
const resendInterval = 3 * time.Second

// echoTolerance is how much newer than the local state a notice with the same content must be to
// be applied. A daemon's own notices come back to it, and transit time distorts their ages.
const echoTolerance = 500 * time.Millisecond

// Notice is a message between daemons with the state of one endpoint.
type Notice struct {
	Instance catalog.Instance `json:"life" cbor:"1,keyasint"`
	Limit    Limit            `json:"limit" cbor:"2,keyasint"`
	// LimitAge is how long ago the limit, or its absence, was last known to be in force; 0 if the
	// endpoint has never announced a limit. Notices carry ages instead of times because the
	// clocks of the daemons differ.
	LimitAge time.Duration `json:"limit-age,omitempty" cbor:"3,keyasint,omitempty"`
	// Leaving is set if the endpoint has announced its shutdown; LeavingAge is how long ago.
	Leaving    bool          `json:"leaving,omitempty" cbor:"4,keyasint,omitempty"`
	LeavingAge time.Duration `json:"leaving-age,omitempty" cbor:"5,keyasint,omitempty"`
	// Shed is how long, counted from its last refusal, the endpoint is restricted to a few
	// daemons; 0 if it has accepted a request since. ShedAge is how long ago that refusal or
	// acceptance was; 0 if there was none.
	Shed    time.Duration `json:"shed,omitempty" cbor:"6,keyasint,omitempty"`
	ShedAge time.Duration `json:"shed-age,omitempty" cbor:"7,keyasint,omitempty"`
}

// noticeState tracks which notices about an endpoint are sent to the other daemons.
type noticeState struct {
	// firstHand is set if the latest information came from a response to this daemon, and not
	// from a notice.
	firstHand bool
	// pending is set if there is a change to send; notices are repeated until sendUntil.
	pending   bool
	sendUntil time.Time
	// sentAsOf is the limitAsOf of the last notice that was scheduled.
	sentAsOf time.Time
}

// PendingNotices returns the notices to send to the other daemons now. A change is repeated in each
// call for the given span, since messages may be lost, and a limit that the endpoint keeps
// announcing is sent again every resendInterval. If relay is set, the result includes state that
// this daemon received from others.
func (re *Tracker) PendingNotices(now time.Time, span time.Duration, relay bool) []Notice {
	if re.num.Load() == 0 {
		return nil
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	var notices []Notice
	for id, ep := range re.endpoints {
		if !ep.firstHand && !relay {
			continue
		}
		if ep.pending || ep.limitAsOf.Sub(ep.sentAsOf) >= resendInterval {
			ep.pending, ep.sendUntil, ep.sentAsOf = false, now.Add(span), ep.limitAsOf
		}
		if now.Before(ep.sendUntil) {
			notices = append(notices, ep.notice(catalog.Instance{ID: id, Incarnation: ep.incarnation}, now))
		}
	}
	return notices
}

// notice returns the notice with the current state of the endpoint.
func (ep *endpoint) notice(li catalog.Instance, now time.Time) Notice {
	nt := Notice{Instance: li, Limit: ep.limit, Leaving: ep.leaving}
	if !ep.limitAsOf.IsZero() {
		nt.LimitAge = max(1, now.Sub(ep.limitAsOf))
	}
	if ep.leaving {
		nt.LeavingAge = now.Sub(ep.leavingAsOf)
	}
	if !ep.shedAt.IsZero() {
		nt.Shed = max(0, ep.shedUntil.Sub(ep.shedAt))
		nt.ShedAge = max(1, now.Sub(ep.shedAt))
	}
	return nt
}

// Notices returns one notice for each known endpoint, for a daemon that has just started.
func (re *Tracker) Notices(now time.Time) []Notice {
	re.mu.Lock()
	defer re.mu.Unlock()
	var notices []Notice
	for id, ep := range re.endpoints {
		notices = append(notices, ep.notice(catalog.Instance{ID: id, Incarnation: ep.incarnation}, now))
	}
	return notices
}

// ResendNotices schedules all first-hand state to be sent to the other daemons again, as a new
// steward may not have it.
func (re *Tracker) ResendNotices() {
	if re.num.Load() == 0 {
		return
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	for _, ep := range re.endpoints {
		ep.pending = ep.pending || ep.firstHand
	}
}

// ApplyNotices applies the notices of another daemon, and returns the endpoints whose shutdown was
// unknown before.
func (re *Tracker) ApplyNotices(notices []Notice, now time.Time) (leaving []catalog.Instance) {
	for _, nt := range notices {
		if nt.Leaving && re.applyLeaving(nt, now) {
			leaving = append(leaving, nt.Instance)
		}
		re.applyLimit(nt, now)
		re.applyShed(nt, now)
	}
	return leaving
}

// applyLeaving records a shutdown announcement that another daemon received, and reports whether
// it was unknown before.
func (re *Tracker) applyLeaving(nt Notice, now time.Time) bool {
	if !re.SetLeaving(nt.Instance, now.Add(-nt.LeavingAge)) {
		return false
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	if ep := re.find(nt.Instance); ep != nil {
		ep.firstHand = false
	}
	return true
}

// applyLimit records a limit that another daemon received, if it is newer than the known one.
func (re *Tracker) applyLimit(nt Notice, now time.Time) {
	if nt.LimitAge == 0 {
		return
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	if re.endpoints[nt.Instance.ID] == nil && !nt.Limit.Named {
		return
	}
	ep := re.ensure(nt.Instance)
	if ep == nil {
		return
	}
	at := now.Add(-nt.LimitAge)
	if nt.Limit == ep.limit {
		at = at.Add(-echoTolerance)
	}
	if at.After(ep.limitAsOf) && ep.setLimit(nt.Limit, at, now) {
		ep.firstHand = false
	}
}

// applyShed records a refusal or acceptance that another daemon received, if it is newer than the
// known one.
func (re *Tracker) applyShed(nt Notice, now time.Time) {
	if nt.ShedAge == 0 {
		return
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	ep := re.ensure(nt.Instance)
	if ep == nil {
		return
	}
	at := now.Add(-nt.ShedAge)
	if nt.Shed == ep.shedUntil.Sub(ep.shedAt) {
		at = at.Add(-echoTolerance)
	}
	if ep.setShed(at, nt.Shed) {
		ep.pending, ep.firstHand = true, false
	}
}
