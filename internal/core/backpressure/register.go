// Package backpressure holds what endpoints say in their answers of how much they take, and
// decides by that what they are sent.
package backpressure

import (
	"sync"
	"sync/atomic"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// forgetAfter is how long what an endpoint said is kept if no answer repeats it.
const forgetAfter = 2 * time.Minute

// Register holds what endpoints said last. It may be used from several goroutines; the zero
// value is that of a daemon without others. A nil register lets everything pass.
type Register struct {
	mu        sync.Mutex
	endpoints map[string]*endpoint
	daemons   daemons
	// num is the number of endpoints, so that nothing is locked while there are none.
	num atomic.Int64
}

// endpoint is what one process of an endpoint said.
type endpoint struct {
	incarnation catalog.Incarnation
	limited
	rested
	// leaving is set once it has said that it stops soon, leftAt is when it last did.
	leaving bool
	leftAt  time.Time
	tellings
}

// opens returns after what time the endpoint takes a request of this daemon; false if that
// isn't known.
func (ep *endpoint) opens(now time.Time, daemons int) (time.Duration, bool) {
	if ep.leaving {
		return 0, false
	}
	wait, known := ep.limited.opens(now, daemons)
	return max(wait, ep.rested.opens(now, ep.rank)), known
}

// takes tells whether the endpoint takes a request of this daemon now.
func (ep *endpoint) takes(now time.Time, daemons int) bool {
	wait, known := ep.opens(now, daemons)
	return known && wait <= 0
}

// idle tells whether nothing is known of the endpoint that holds still.
func (ep *endpoint) idle(now time.Time) bool {
	return now.Sub(ep.limitAt) > forgetAfter && now.Sub(ep.leftAt) > forgetAfter && now.Sub(ep.shedAt) > forgetAfter &&
		now.Sub(ep.restUntil) > refusalsKept
}

// SetRest takes in that the endpoint turned a request away and wants none of this daemon for
// that long.
func (re *Register) SetRetryAfter(li catalog.Instance, rest time.Duration, now time.Time) {
	re.mu.Lock()
	defer re.mu.Unlock()
	ep := re.life(li)
	if ep == nil {
		return
	}
	if until := now.Add(rest); until.After(ep.restUntil) {
		ep.restUntil = until
	}
	ep.setShed(now, rest+probeSpan)
	ep.due, ep.heard = true, true
}

// SetRefused takes in that the endpoint turned a request away that was sent then, without asking
// for rest. Refusals to requests that were sent while it was left out count once.
func (re *Register) SetRefused(li catalog.Instance, sent, now time.Time) {
	re.mu.Lock()
	defer re.mu.Unlock()
	if ep := re.life(li); ep != nil && !sent.Before(ep.restUntil) {
		ep.refuse(now)
	}
}

// SetTaken takes in that the endpoint took a request that was sent then.
func (re *Register) SetAccepted(li catalog.Instance, sent, now time.Time) {
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
		ep.due, ep.heard = true, true
	}
}

// SetLimit takes in the limit of an answer to a request that was sent then, and tells whether
// it differs from what was known.
func (re *Register) SetLimit(li catalog.Instance, limit Limit, sent, now time.Time) bool {
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
		// An answer may come late, after one that the endpoint made later.
		at = sent
	}
	ep := re.life(li)
	if ep == nil || at.Before(ep.limitAt) {
		return false
	}
	ep.heard = true
	return ep.setLimit(limit, at, now)
}

// setLimit replaces an endpoint's limit, and tells whether it has changed.
func (ep *endpoint) setLimit(limit Limit, at, now time.Time) bool {
	before := ep.limit
	if !limit.Named && !before.Named {
		return false
	}
	ep.limit, ep.limitAt = limit, at
	if limit == before {
		return false
	}
	ep.due = true
	if !before.Named {
		ep.empty(now)
	}
	return true
}

// life returns what is known of a life of an endpoint, or nil if a later life is known.
func (re *Register) life(li catalog.Instance) *endpoint {
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
		re.num.Store(int64(len(re.endpoints)))
	}
	if ep.incarnation == 0 {
		ep.incarnation = li.Incarnation
	}
	return ep
}

// find returns what is known of that life of an endpoint, or nil. What was said by a life whose
// start wasn't known belongs to the first one that is.
func (re *Register) find(li catalog.Instance) *endpoint {
	ep := re.endpoints[li.ID]
	if ep == nil || ep.incarnation.Differs(li.Incarnation) {
		return nil
	}
	if ep.incarnation == 0 {
		ep.incarnation = li.Incarnation
	}
	return ep
}

// Takes tells whether the endpoint takes a request of this daemon now.
func (re *Register) Accepts(li catalog.Instance, now time.Time) bool {
	if re == nil || re.num.Load() == 0 {
		return true
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	ep := re.find(li)
	return ep == nil || ep.takes(now, re.daemons.num())
}

// Sent counts a request that is sent to the endpoint.
func (re *Register) RecordSent(li catalog.Instance, now time.Time) {
	if re == nil || re.num.Load() == 0 {
		return
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	if ep := re.find(li); ep != nil {
		ep.spend(now, re.daemons.num())
	}
}

// Opens returns after what time the endpoint takes a request of this daemon: 0 if it does now.
// The second value is false if that isn't known.
func (re *Register) WaitTime(li catalog.Instance, now time.Time) (time.Duration, bool) {
	if re == nil || re.num.Load() == 0 {
		return 0, true
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	ep := re.find(li)
	if ep == nil {
		return 0, true
	}
	return ep.opens(now, re.daemons.num())
}

// SetLeaving takes in that the endpoint said then that it stops soon, and tells whether that is
// new. It can't be taken back but by another incarnation.
func (re *Register) SetLeaving(li catalog.Instance, at time.Time) bool {
	re.mu.Lock()
	defer re.mu.Unlock()
	ep := re.life(li)
	if ep == nil {
		return false
	}
	news := !ep.leaving
	if at.After(ep.leftAt) {
		ep.leftAt = at
	}
	if news {
		ep.leaving, ep.due, ep.heard = true, true, true
	}
	return news
}

// Leaving tells whether the endpoint has said that it stops soon.
func (re *Register) Leaving(li catalog.Instance) bool {
	if re == nil || re.num.Load() == 0 {
		return false
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	ep := re.find(li)
	return ep != nil && ep.leaving
}

// Resting returns the number of endpoints that want no request of this daemon.
func (re *Register) NumBackingOff(now time.Time) int {
	re.mu.Lock()
	defer re.mu.Unlock()
	num := 0
	for _, ep := range re.endpoints {
		if now.Before(ep.restUntil) {
			num++
		}
	}
	return num
}

// Restricted tells whether few daemons or none send to the endpoint now.
func (re *Register) Restricted(li catalog.Instance, now time.Time) bool {
	if re == nil || re.num.Load() == 0 {
		return false
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	ep := re.find(li)
	return ep != nil && (ep.limit.Named || ep.leaving || now.Before(ep.shedUntil))
}

// NumLimited returns the number of endpoints that name a limit.
func (re *Register) NumLimited() int {
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

// SetDaemons tells the address of this daemon, which daemons take requests, with this one if
// it does, and how many are known.
func (re *Register) SetDaemons(own string, taking []string, known int, now time.Time) {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.daemons = daemons{own, taking, known}
	for id, ep := range re.endpoints {
		rank := re.daemons.rank(id)
		if rank < ep.rank {
			// The daemon whose part it takes over may just have used it.
			ep.empty(now)
		}
		ep.rank = rank
	}
}

// Sweep forgets what was not repeated for long.
func (re *Register) Sweep(now time.Time) {
	re.mu.Lock()
	defer re.mu.Unlock()
	for id, ep := range re.endpoints {
		if ep.idle(now) {
			delete(re.endpoints, id)
		}
	}
	re.num.Store(int64(len(re.endpoints)))
}
