package dispatch

import "time"

// residuals maps each model to the amount by which first events arrive later than predicted: engines
// have overheads that their descriptions do not include.
type residuals map[string]*residual

// residual is a smoothed prediction error. It is measured only at groups that are neither slow nor
// full.
type residual struct {
	value time.Duration
	// count is the number of samples in value, up to residualWindow.
	count int
}

const (
	// residualWindow is the number of first events over which a residual is smoothed.
	residualWindow = 32
	// maxResidualStep limits the difference that one sample contributes: a first event delayed by a
	// stall says nothing about other requests.
	maxResidualStep = 200 * time.Millisecond
)

// observe records a first event that arrived later, by the duration late, than predicted without a
// residual.
func (rs residuals) observe(model string, late time.Duration) {
	re := rs[model]
	if re == nil {
		re = &residual{}
		rs[model] = re
	}
	re.count = min(residualWindow, re.count+1)
	change := max(-maxResidualStep, min(maxResidualStep, late-re.value))
	re.value += change / time.Duration(re.count)
}

// forModel returns a model's residual. Without samples for the model it returns the mean over the
// other models, which run on the same engine.
func (rs residuals) forModel(model string) time.Duration {
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
