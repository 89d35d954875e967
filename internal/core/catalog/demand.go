package catalog

// Demand is the load that callers place on a model per second.
type Demand struct {
	// Requests is the number of new requests; repeated attempts are not
	// counted.
	Requests float32 `cbor:"1,keyasint,omitempty"`
	// Prompt and Answer are the numbers of tokens to prefill and to decode.
	Prompt float32 `cbor:"2,keyasint,omitempty"`
	Answer float32 `cbor:"3,keyasint,omitempty"`
}

// Plus returns the sum of two demands.
func (de Demand) Plus(other Demand) Demand {
	return Demand{de.Requests + other.Requests, de.Prompt + other.Prompt, de.Answer + other.Answer}
}

// Groups returns the number of groups of a model that the demand keeps busy if
// each of them runs as many requests at once as it can.
func (de Demand) Groups(en *Engine, mo Model) float64 {
	if de.Requests <= 0 {
		return 0
	}
	requests, prompt, answer := float64(de.Requests), float64(de.Prompt), float64(de.Answer)
	// A request occupies memory for its whole prompt and, on average, for half
	// of its answer.
	context := (prompt + answer/2) / requests
	prefill := 0.0
	if en.PrefillPerSecond > 0 {
		prefill = prompt / en.PrefillPerSecond
	}
	pairs := prompt * prompt / requests / 2
	prefill += pairs / 1e6 * en.TimePerMillionPairs.Seconds()
	perToken := en.StepPerRequest.Seconds() + context/1000*en.StepPerKContext.Seconds()
	perToken += en.StepTime.Seconds() / max(1, en.concurrency(context))
	return mo.TimeFactor() * (prefill + answer*perToken)
}

// concurrency returns the number of requests with a context of that many tokens
// that a group runs at once.
func (en *Engine) concurrency(context float64) float64 {
	slots := float64(en.Slots)
	if en.KVTokens <= 0 || context <= 0 {
		return slots
	}
	return min(slots, float64(en.KVTokens)/context)
}
