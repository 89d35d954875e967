package backpressure

import (
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// retellEvery is the time after which the others are told again of what an endpoint goes on
// saying.
const retellEvery = 3 * time.Second

// Word is what an endpoint said, as daemons tell each other.
type Word struct {
	Life  catalog.Life `cbor:"1,keyasint"`
	Limit Limit        `cbor:"2,keyasint"`
	// LimitAge is how long ago the endpoint held to the limit for certain. Ages are told and
	// not times: the clocks of machines differ.
	LimitAge time.Duration `cbor:"3,keyasint,omitempty"`
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
func (re *Register) Tell(now time.Time, span time.Duration, relay bool) []Word {
	if re.num.Load() == 0 {
		return nil
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	var words []Word
	for id, ep := range re.endpoints {
		if !ep.heard && !relay {
			continue
		}
		if ep.due || ep.limitAt.Sub(ep.told) >= retellEvery {
			ep.due, ep.until, ep.told = false, now.Add(span), ep.limitAt
		}
		if now.Before(ep.until) {
			words = append(words, Word{catalog.Life{ID: id, Incarnation: ep.incarnation}, ep.limit, now.Sub(ep.limitAt)})
		}
	}
	return words
}

// Retell has the others told again of everything that they aren't being told now, as a daemon
// has started that knows nothing.
func (re *Register) Retell(now time.Time) {
	if re.num.Load() == 0 {
		return
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	for _, ep := range re.endpoints {
		ep.due = ep.due || now.After(ep.until)
	}
}

// Hear takes in what another daemon told.
func (re *Register) Hear(words []Word, now time.Time) {
	if len(words) == 0 {
		return
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	for _, wo := range words {
		ep := re.life(wo.Life)
		if at := now.Add(-wo.LimitAge); ep != nil && at.After(ep.limitAt) {
			ep.heard = false
			re.setLimit(wo.Life.ID, ep, wo.Limit, at, now)
		}
	}
}
