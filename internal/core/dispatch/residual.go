package dispatch

import "time"

// residuals are by how much first events come later than predicted, by model: engines add
// times that their descriptions don't state.
type residuals map[string]*residual

// residual is a smoothed difference. It is learnt of requests at sound groups alone.
type residual struct {
	value time.Duration
	// count is of how many first events it was learnt, up to residualMemory.
	count int
}

const (
	// residualMemory is how many first events a residual goes back.
	residualMemory = 32
	// residualStep bounds what one first event changes, as one that waited for a stall
	// says nothing about others.
	residualStep = 200 * time.Millisecond
)

// learn takes in a first event that came that much later than predicted without residual.
func (rs residuals) learn(model string, late time.Duration) {
	re := rs[model]
	if re == nil {
		re = &residual{}
		rs[model] = re
	}
	re.count = min(residualMemory, re.count+1)
	change := max(-residualStep, min(residualStep, late-re.value))
	re.value += change / time.Duration(re.count)
}

// of returns a model's residual. Until its own is known, that of the other models stands in:
// they run on the same engine.
func (rs residuals) of(model string) time.Duration {
	if re := rs[model]; re != nil {
		return re.value
	}
	sum, count := time.Duration(0), 0
	for _, re := range rs {
		sum += re.value * time.Duration(re.count)
		count += re.count
	}
	if count == 0 {
		return 0
	}
	return sum / time.Duration(count)
}
