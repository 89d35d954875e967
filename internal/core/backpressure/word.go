package backpressure

import (
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// retellEvery is the time after which the others are told again of what an endpoint goes on
// saying.
const retellEvery = 3 * time.Second

// echoSlack is by how much older a word is taken that says what is known already: ages grow on
// the way, and what a daemon told comes back to it.
const echoSlack = 500 * time.Millisecond

// Word is what an endpoint said, as daemons tell each other.
type Notice struct {
	Instance catalog.Instance `json:"life" cbor:"1,keyasint"`
	Limit    Limit            `json:"limit" cbor:"2,keyasint"`
	// LimitAge is how long ago the endpoint held to the limit, or to none, for certain; 0 if it
	// never named one. Ages are told and not times: the clocks of machines differ.
	LimitAge time.Duration `json:"limit-age,omitempty" cbor:"3,keyasint,omitempty"`
	// Leaving is set if the endpoint has said that it stops soon, LeavingAge is how long ago.
	Leaving    bool          `json:"leaving,omitempty" cbor:"4,keyasint,omitempty"`
	LeavingAge time.Duration `json:"leaving-age,omitempty" cbor:"5,keyasint,omitempty"`
	// Shed is for how long, from when the endpoint last turned a request away, few daemons only
	// send to it; 0 if it has taken one since. ShedAge is how long ago either was; 0 for never.
	Shed    time.Duration `json:"shed,omitempty" cbor:"6,keyasint,omitempty"`
	ShedAge time.Duration `json:"shed-age,omitempty" cbor:"7,keyasint,omitempty"`
}

// tellings is what the other daemons were told of an endpoint.
type tellings struct {
	// heard is set if the endpoint itself said last what is known of it.
	heard bool
	// due is set if the others are to be told, until is for how long they are.
	due   bool
	until time.Time
	// told is as of when they were told last.
	told time.Time
}

// Tell returns what the others are to be told now: what has changed, for some time since
// messages may be lost, and what endpoints go on saying, now and then. relay adds what this
// daemon has heard from others.
func (re *Register) PendingNotices(now time.Time, span time.Duration, relay bool) []Notice {
	if re.num.Load() == 0 {
		return nil
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	var words []Notice
	for id, ep := range re.endpoints {
		if !ep.heard && !relay {
			continue
		}
		if ep.due || ep.limitAt.Sub(ep.told) >= retellEvery {
			ep.due, ep.until, ep.told = false, now.Add(span), ep.limitAt
		}
		if now.Before(ep.until) {
			words = append(words, ep.word(catalog.Instance{ID: id, Incarnation: ep.incarnation}, now))
		}
	}
	return words
}

// word is what there is to tell of the endpoint.
func (ep *endpoint) word(li catalog.Instance, now time.Time) Notice {
	wo := Notice{Instance: li, Limit: ep.limit, Leaving: ep.leaving}
	if !ep.limitAt.IsZero() {
		wo.LimitAge = max(1, now.Sub(ep.limitAt))
	}
	if ep.leaving {
		wo.LeavingAge = now.Sub(ep.leftAt)
	}
	if !ep.shedAt.IsZero() {
		wo.Shed = max(0, ep.shedUntil.Sub(ep.shedAt))
		wo.ShedAge = max(1, now.Sub(ep.shedAt))
	}
	return wo
}

// Known returns all that is known, for a daemon that has just started.
func (re *Register) Notices(now time.Time) []Notice {
	re.mu.Lock()
	defer re.mu.Unlock()
	var words []Notice
	for id, ep := range re.endpoints {
		words = append(words, ep.word(catalog.Instance{ID: id, Incarnation: ep.incarnation}, now))
	}
	return words
}

// Retell has the others told again of what endpoints said to this daemon: a new steward may
// not know it.
func (re *Register) ResendNotices() {
	if re.num.Load() == 0 {
		return
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	for _, ep := range re.endpoints {
		ep.due = ep.due || ep.heard
	}
}

// Hear takes in what another daemon told, and returns the endpoints of which it is new that they
// leave.
func (re *Register) ApplyNotices(words []Notice, now time.Time) (leaving []catalog.Instance) {
	for _, wo := range words {
		if wo.Leaving && re.hearLeaving(wo, now) {
			leaving = append(leaving, wo.Instance)
		}
		re.hearLimit(wo, now)
		re.hearShed(wo, now)
	}
	return leaving
}

func (re *Register) hearLeaving(wo Notice, now time.Time) bool {
	if !re.SetLeaving(wo.Instance, now.Add(-wo.LeavingAge)) {
		return false
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	if ep := re.find(wo.Instance); ep != nil {
		ep.heard = false
	}
	return true
}

func (re *Register) hearLimit(wo Notice, now time.Time) {
	if wo.LimitAge == 0 {
		return
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	if re.endpoints[wo.Instance.ID] == nil && !wo.Limit.Named {
		return
	}
	ep := re.life(wo.Instance)
	if ep == nil {
		return
	}
	at := now.Add(-wo.LimitAge)
	if wo.Limit == ep.limit {
		at = at.Add(-echoSlack)
	}
	if at.After(ep.limitAt) && ep.setLimit(wo.Limit, at, now) {
		ep.heard = false
	}
}

func (re *Register) hearShed(wo Notice, now time.Time) {
	if wo.ShedAge == 0 {
		return
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	ep := re.life(wo.Instance)
	if ep == nil {
		return
	}
	at := now.Add(-wo.ShedAge)
	if wo.Shed == ep.shedUntil.Sub(ep.shedAt) {
		at = at.Add(-echoSlack)
	}
	if ep.setShed(at, wo.Shed) {
		ep.due, ep.heard = true, false
	}
}
