// Package dispatch decides which group or endpoint a request is sent to, and
// whether it may be sent again. It does no input or output; the time is passed
// in. Its methods are safe for use by several goroutines.
package dispatch

import (
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// Load is the work that a group has. Daemons tell each other of it many times
// a second, hence the short names.
type Load struct {
	// Requests is how many run or wait.
	Requests int `cbor:"1,keyasint,omitempty"`
	// Reading is the number of prompt tokens that are still to be read.
	Prefill int64 `cbor:"2,keyasint,omitempty"`
	// Context is the number of tokens that the writing requests hold.
	Context int64 `cbor:"3,keyasint,omitempty"`
}

func (lo Load) plus(other Load) Load {
	return Load{lo.Requests + other.Requests, lo.Prefill + other.Prefill, lo.Context + other.Context}
}

func (lo Load) minus(other Load) Load {
	return Load{lo.Requests - other.Requests, lo.Prefill - other.Prefill, lo.Context - other.Context}
}

// Prediction is what a request can expect of a group.
type Prediction struct {
	// First is the time until its first event.
	FirstEvent time.Duration
	// Pass is the longest pause that it causes for all requests of the group.
	Pass time.Duration
	// Full is set when the group runs as many requests as it can.
	Full bool
}

// predict returns what a request with a prompt of that many tokens can expect.
//
// An engine works in passes. A pass reads the prompts that wait and then runs
// a stride of steps, at the end of which each writer emits an event. A new
// request waits for the end of the current pass, half of it on average, and
// for the whole next one.
func predict(en *catalog.Engine, mo catalog.Model, slowness float64, lo Load, prompt int64) Prediction {
	pace := mo.TimeFactor() * max(slowness, 1)
	steps := passTime(en, lo.Requests+1, lo.Context+prompt)
	read := readTime(en, lo.Prefill+prompt)
	current := passTime(en, lo.Requests, lo.Context)
	pass := scale(steps+read, pace)
	pr := Prediction{FirstEvent: scale(current, pace)/2 + pass, Pass: pass, Full: lo.Requests >= en.Slots}
	if lo.Requests == 0 {
		pr.FirstEvent = pass
	}
	if pr.Full {
		// One of the running requests has to end for each that waits before.
		life := answerTime(en, lo, pace)
		pr.FirstEvent += life * time.Duration(lo.Requests-en.Slots+1) / time.Duration(max(1, en.Slots))
	}
	return pr
}

func scale(dur time.Duration, by float64) time.Duration { return time.Duration(float64(dur) * by) }

// passTime is the time of a stride of steps for that many writers.
func passTime(en *catalog.Engine, writers int, context int64) time.Duration {
	step := en.Step + time.Duration(writers)*en.StepPerRequest + scale(en.StepPerKContext, float64(context)/1000)
	return step * time.Duration(en.Stride)
}

// readTime is the time to read prompts of that many tokens.
func readTime(en *catalog.Engine, tokens int64) time.Duration {
	if en.PrefillPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / en.PrefillPerSecond * float64(time.Second))
}

// answerTime is how long a usual answer takes to write.
func answerTime(en *catalog.Engine, lo Load, pace float64) time.Duration {
	passes := max(1, en.MeanAnswer/float64(en.Stride))
	return scale(passTime(en, min(lo.Requests, en.Slots), lo.Context), pace*passes)
}
