// Package backpressure tracks the rate limits, refusals and shutdown announcements in the
// responses of endpoints. From these it decides whether and when this daemon sends requests to
// an endpoint, and it shares them with the other daemons.
package backpressure

import (
	"sync"
	"sync/atomic"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// retention is how long the state of an endpoint is kept if no response refreshes it.
const retention = 2 * time.Minute

// Tracker holds the last known backpressure state of each endpoint. It is safe for concurrent
// use. The zero value is ready for use in a daemon that runs alone. On a nil Tracker, the
// methods Accepts, RecordSent, WaitTime, Leaving and Restricted treat every endpoint as
// unrestricted.
type Tracker struct {
	mu        sync.Mutex
	endpoints map[string]*endpoint
	// cold holds the endpoints that are cold.
	cold    map[catalog.Instance]*coldState
	daemons Daemons
	// num is the number of endpoints with any state. Readers check it first, to avoid the lock
	// while there are none.
	num atomic.Int64
}

// endpoint is the state of one endpoint instance, a single run of a server process.
type endpoint struct {
	incarnation catalog.Incarnation
	limitState
	shedState
	// leaving is set once the endpoint has announced its shutdown; leavingAsOf is the time of the
	// latest announcement.
	leaving     bool
	leavingAsOf time.Time
	noticeState
}

// waitTime returns how long this daemon must wait before it may send a request to the endpoint.
// The second value is false if no such time is known.
func (ep *endpoint) waitTime(now time.Time, daemons int) (time.Duration, bool) {
	if ep.leaving {
		return 0, false
	}
	wait, known := ep.limitState.waitTime(now, daemons)
	return max(wait, ep.shedState.waitTime(now, ep.rank)), known
}

// expired reports whether all state of the endpoint is out of date.
func (ep *endpoint) expired(now time.Time) bool {
	return now.Sub(ep.limitAsOf) > retention && now.Sub(ep.leavingAsOf) > retention && now.Sub(ep.shedAt) > retention &&
		now.Sub(ep.backoffUntil) > refusalWindow
}

// SetRetryAfter records that the endpoint refused a request and asked this daemon to send none for
// the given time.
func (re *Tracker) SetRetryAfter(li catalog.Instance, retryAfter time.Duration, now time.Time) {
	re.mu.Lock()
	defer re.mu.Unlock()
	ep := re.ensure(li)
	if ep == nil {
		return
	}
	if until := now.Add(retryAfter); until.After(ep.backoffUntil) {
		ep.backoffUntil = until
	}
	ep.setShed(now, retryAfter+probeSpan)
	ep.pending, ep.firstHand = true, true
}

// SetRefused records that the endpoint refused a request without naming a retry time. sent is
// when the request was sent. Refusals of requests that were sent before the current back-off
// ends are ignored, so that requests in flight at the same time count once.
func (re *Tracker) SetRefused(li catalog.Instance, sent, now time.Time) {
	re.mu.Lock()
	defer re.mu.Unlock()
	if ep := re.ensure(li); ep != nil && !sent.Before(ep.backoffUntil) {
		ep.addRefusal(now)
	}
}

// SetAccepted records that the endpoint accepted a request. sent is when the request was sent.
func (re *Tracker) SetAccepted(li catalog.Instance, sent, now time.Time) {
	if re.num.Load() == 0 {
		return
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	ep := re.find(li)
	if ep == nil {
		return
	}
	ep.refusals = 0
	if now.Before(ep.shedUntil) && ep.setShed(sent, 0) {
		ep.pending, ep.firstHand = true, true
	}
}

// SetLimit records the limit that a response announced, or that it announced none, and reports
// whether it differs from the known limit. sent is when the request was sent.
func (re *Tracker) SetLimit(li catalog.Instance, limit Limit, sent, now time.Time) bool {
	if !limit.Named && re.num.Load() == 0 {
		return false
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	if re.endpoints[li.ID] == nil && !limit.Named {
		return false
	}
	at := now
	if !limit.Named {
		// Responses can be reordered: one that announces no limit may arrive after a newer one
		// that does.
		at = sent
	}
	ep := re.ensure(li)
	if ep == nil || at.Before(ep.limitAsOf) {
		return false
	}
	ep.firstHand = true
	return ep.setLimit(limit, at, now)
}

// setLimit replaces the limit of an endpoint as of at, and reports whether it has changed.
func (ep *endpoint) setLimit(limit Limit, at, now time.Time) bool {
	before := ep.limit
	if !limit.Named && !before.Named {
		return false
	}
	ep.limit, ep.limitAsOf = limit, at
	if limit == before {
		return false
	}
	ep.pending = true
	if !before.Named {
		ep.clear(now)
	}
	return true
}

// ensure returns the state of an endpoint instance and creates it if necessary. It returns nil
// if a later incarnation is known.
func (re *Tracker) ensure(li catalog.Instance) *endpoint {
	ep := re.endpoints[li.ID]
	if ep != nil && ep.incarnation.Differs(li.Incarnation) {
		if li.Incarnation < ep.incarnation {
			return nil
		}
		ep = nil
	}
	if ep == nil {
		if re.endpoints == nil {
			re.endpoints = make(map[string]*endpoint)
		}
		ep = &endpoint{}
		ep.rank = re.daemons.rank(li.ID)
		re.endpoints[li.ID] = ep
		re.countEndpoints()
	}
	if ep.incarnation == 0 {
		ep.incarnation = li.Incarnation
	}
	return ep
}

// find returns the state of an endpoint instance, or nil if there is none. State that was
// recorded without an incarnation is assigned to the first incarnation that is looked up.
func (re *Tracker) find(li catalog.Instance) *endpoint {
	ep := re.endpoints[li.ID]
	if ep == nil || ep.incarnation.Differs(li.Incarnation) {
		return nil
	}
	if ep.incarnation == 0 {
		ep.incarnation = li.Incarnation
	}
	return ep
}

// Accepts reports whether this daemon may send a request to the endpoint now.
func (re *Tracker) Accepts(li catalog.Instance, now time.Time) bool {
	if re == nil || re.num.Load() == 0 {
		return true
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	wait, known := re.waitTime(li, now)
	return known && wait <= 0
}

// waitTime implements WaitTime. The caller holds mu.
func (re *Tracker) waitTime(li catalog.Instance, now time.Time) (time.Duration, bool) {
	wait, known := time.Duration(0), true
	if ep := re.find(li); ep != nil {
		wait, known = ep.waitTime(now, re.daemons.num())
	}
	if cs := re.cold[li]; cs != nil && known {
		var coldWait time.Duration
		coldWait, known = cs.waitTime(now, re.daemons.num())
		wait = max(wait, coldWait)
	}
	return wait, known
}

// RecordSent deducts a request that is being sent to the endpoint from this daemon's share of its
// limit.
func (re *Tracker) RecordSent(li catalog.Instance, now time.Time) {
	if re == nil || re.num.Load() == 0 {
		return
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	if ep := re.find(li); ep != nil {
		ep.spendToken(now, re.daemons.num())
	}
	if cs := re.cold[li]; cs != nil {
		cs.take(now, cs.rate(re.daemons.num()))
	}
}

// WaitTime returns how long this daemon must wait before it may send a request to the endpoint.
// The result is 0 or less if it may send now. The second value is false if no such time is known:
// the endpoint is shutting down, or only other daemons send to it.
func (re *Tracker) WaitTime(li catalog.Instance, now time.Time) (time.Duration, bool) {
	if re == nil || re.num.Load() == 0 {
		return 0, true
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	return re.waitTime(li, now)
}

// SetLeaving records that the endpoint announced its shutdown at the given time, and reports
// whether that was unknown before. The announcement holds for the rest of the incarnation.
func (re *Tracker) SetLeaving(li catalog.Instance, at time.Time) bool {
	re.mu.Lock()
	defer re.mu.Unlock()
	ep := re.ensure(li)
	if ep == nil {
		return false
	}
	changed := !ep.leaving
	if at.After(ep.leavingAsOf) {
		ep.leavingAsOf = at
	}
	if changed {
		ep.leaving, ep.pending, ep.firstHand = true, true, true
	}
	return changed
}

// Leaving reports whether the endpoint has announced its shutdown.
func (re *Tracker) Leaving(li catalog.Instance) bool {
	if re == nil || re.num.Load() == 0 {
		return false
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	ep := re.find(li)
	return ep != nil && ep.leaving
}

// NumBackingOff returns the number of endpoints to which this daemon sends nothing because it backs
// off after a refusal.
func (re *Tracker) NumBackingOff(now time.Time) int {
	re.mu.Lock()
	defer re.mu.Unlock()
	num := 0
	for _, ep := range re.endpoints {
		if now.Before(ep.backoffUntil) {
			num++
		}
	}
	return num
}

// Restricted reports whether the endpoint has a limit, is cold, sheds load or is shutting down, so
// that at most a few daemons send to it now.
func (re *Tracker) Restricted(li catalog.Instance, now time.Time) bool {
	if re == nil || re.num.Load() == 0 {
		return false
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	if re.cold[li] != nil {
		return true
	}
	ep := re.find(li)
	return ep != nil && (ep.limit.Named || ep.leaving || now.Before(ep.shedUntil))
}

// NumLimited returns the number of endpoints with an announced limit.
func (re *Tracker) NumLimited() int {
	re.mu.Lock()
	defer re.mu.Unlock()
	num := 0
	for _, ep := range re.endpoints {
		if ep.limit.Named {
			num++
		}
	}
	return num
}

// SetDaemons sets the daemons that share limits.
func (re *Tracker) SetDaemons(daemons Daemons, now time.Time) {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.daemons = daemons
	re.updateColdRanks(now)
	for id, ep := range re.endpoints {
		rank := re.daemons.rank(id)
		if rank < ep.rank {
			// The daemon that held this rank before may have just used up its share.
			ep.clear(now)
		}
		ep.rank = rank
	}
}

// Sweep deletes the state of endpoints that no response has refreshed for the retention period.
func (re *Tracker) Sweep(now time.Time) {
	re.mu.Lock()
	defer re.mu.Unlock()
	for id, ep := range re.endpoints {
		if ep.expired(now) {
			delete(re.endpoints, id)
		}
	}
	re.countEndpoints()
}

// countEndpoints updates num. The caller holds mu.
func (re *Tracker) countEndpoints() { re.num.Store(int64(len(re.endpoints) + len(re.cold))) }
