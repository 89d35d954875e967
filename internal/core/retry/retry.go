// Package retry limits retries to a fraction of first attempts, so that a fault that makes requests
// fail does not multiply the load on the service.
package retry

import "sync/atomic"

const (
	// unitsPerRetry is the cost of one retry in budget units.
	unitsPerRetry = 10
	// unitsPerRequest is credited for each first attempt: one retry per ten requests.
	unitsPerRequest = 1
	// maxRetries is the largest budget, in retries, that can accumulate while nothing is retried.
	maxRetries = 20
)

// Budget is credited by first attempts and debited by retries. It is safe for concurrent use. Create
// it with NewBudget.
type Budget struct{ units atomic.Int64 }

// NewBudget returns a full budget.
func NewBudget() *Budget {
	bu := &Budget{}
	bu.units.Store(maxRetries * unitsPerRetry)
	return bu
}

// Earn credits the budget for a first attempt.
func (bu *Budget) Earn() {
	if bu.units.Load() < maxRetries*unitsPerRetry {
		bu.units.Add(unitsPerRequest)
	}
}

// Spend debits one retry and reports whether the budget covered it.
func (bu *Budget) Spend() bool {
	if bu.units.Add(-unitsPerRetry) >= 0 {
		return true
	}
	bu.units.Add(unitsPerRetry)
	return false
}
