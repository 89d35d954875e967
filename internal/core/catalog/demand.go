package catalog

// Demand is what callers ask of a model in a second.
type Demand struct {
	// Requests counts those that callers send for the first time.
	Requests float32 `cbor:"1,keyasint,omitempty"`
	// Prompt and Answer are their tokens to read and to write.
	Prompt float32 `cbor:"2,keyasint,omitempty"`
	Answer float32 `cbor:"3,keyasint,omitempty"`
}

// Plus adds up the demand of two daemons.
func (de Demand) Plus(other Demand) Demand {
	return Demand{de.Requests + other.Requests, de.Prompt + other.Prompt, de.Answer + other.Answer}
}

// Groups is how many groups of a model the demand keeps busy when each of them runs as
// many requests as it can.
func (de Demand) Groups(en *Engine, mo Model) float64 {
	if de.Requests <= 0 {
		return 0
	}
	requests, prompt, answer := float64(de.Requests), float64(de.Prompt), float64(de.Answer)
	// A request holds its prompt all the time, and half of its answer on average.
	context := (prompt + answer/2) / requests
	reading := 0.0
	if en.PrefillPerSecond > 0 {
		reading = prompt / en.PrefillPerSecond
	}
	pairs := prompt * prompt / requests / 2
	reading += pairs / 1e6 * en.TimePerMillionPairs.Seconds()
	perToken := en.StepPerRequest.Seconds() + context/1000*en.StepPerKContext.Seconds()
	perToken += en.Step.Seconds() / max(1, en.roomFor(context))
	return mo.TimeFactor() * (reading + answer*perToken)
}

// roomFor is how many requests of that many tokens a group runs at once.
func (en *Engine) roomFor(context float64) float64 {
	slots := float64(en.Slots)
	if en.KVTokens <= 0 || context <= 0 {
		return slots
	}
	return min(slots, float64(en.KVTokens)/context)
}
