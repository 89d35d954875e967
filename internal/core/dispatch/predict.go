// Package dispatch selects the group or endpoint for each request and decides whether a request may
// be sent again. It performs no I/O, and the current time is passed in by the caller. All exported
// methods are safe for concurrent use.
package dispatch

import (
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// Load is the work at a group. Daemons exchange it many times a second, hence the integer keys in
// its encoding.
type Load struct {
	// Requests is the number of running and waiting requests.
	Requests int `cbor:"1,keyasint,omitempty"`
	// PrefillTokens is the number of prompt tokens that are still to be prefilled.
	PrefillTokens int64 `cbor:"2,keyasint,omitempty"`
	// ContextTokens is the number of tokens in the context of the decoding requests.
	ContextTokens int64 `cbor:"3,keyasint,omitempty"`
}

func (lo Load) plus(other Load) Load {
	return Load{lo.Requests + other.Requests, lo.PrefillTokens + other.PrefillTokens, lo.ContextTokens + other.ContextTokens}
}

func (lo Load) minus(other Load) Load {
	return Load{lo.Requests - other.Requests, lo.PrefillTokens - other.PrefillTokens, lo.ContextTokens - other.ContextTokens}
}

// Prediction is the expected latency of a request at a group.
type Prediction struct {
	// FirstEvent is the time until the first event of the request.
	FirstEvent time.Duration
	// Pass is the longest pause between events that the request causes for all requests of the
	// group.
	Pass time.Duration
	// Full is set if all slots of the group are in use.
	Full bool
}

// predict returns the prediction for a request with that many prompt tokens at a group with load lo.
//
// An engine works in passes. A pass prefills the waiting prompts and then runs a stride of decode
// steps, at the end of which each decoding request emits an event. A new request waits for the rest
// of the current pass, half of it on average, and for the whole next one.
func predict(en *catalog.Engine, mo catalog.Model, slowness float64, lo Load, prompt int64) Prediction {
	pace := mo.TimeFactor() * max(slowness, 1)
	// Requests beyond the slots wait and take no part in a pass.
	decoding := lo.Requests
	if en.Slots > 0 {
		decoding = min(decoding, en.Slots)
	}
	steps := passTime(en, decoding+1, lo.ContextTokens+prompt)
	prefill := prefillTime(en, lo.PrefillTokens+prompt)
	current := passTime(en, decoding, lo.ContextTokens)
	pass := scale(steps+prefill, pace)
	pr := Prediction{FirstEvent: scale(current, pace)/2 + pass, Pass: pass, Full: lo.Requests >= en.Slots}
	if lo.Requests == 0 {
		pr.FirstEvent = pass
	}
	if pr.Full {
		// For each request in the queue, one of the running requests has to end first.
		answer := answerTime(en, lo, pace)
		pr.FirstEvent += answer * time.Duration(lo.Requests-en.Slots+1) / time.Duration(max(1, en.Slots))
	}
	return pr
}

func scale(dur time.Duration, by float64) time.Duration { return time.Duration(float64(dur) * by) }

// passTime returns the time of a stride of decode steps with that many decoding requests.
func passTime(en *catalog.Engine, decoding int, context int64) time.Duration {
	step := en.StepTime + time.Duration(decoding)*en.StepPerRequest + scale(en.StepPerKContext, float64(context)/1000)
	return step * time.Duration(en.Stride)
}

// prefillTime returns the time to prefill that many prompt tokens.
func prefillTime(en *catalog.Engine, tokens int64) time.Duration {
	if en.PrefillPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / en.PrefillPerSecond * float64(time.Second))
}

// answerTime returns the time to generate an answer of mean length under load lo.
func answerTime(en *catalog.Engine, lo Load, pace float64) time.Duration {
	passes := max(1, en.MeanAnswer/float64(en.Stride))
	return scale(passTime(en, min(lo.Requests, en.Slots), lo.ContextTokens), pace*passes)
}
