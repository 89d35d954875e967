// Package retry bounds retries, so that a fault that makes requests fail does
// not multiply the load that made them fail.
package retry

import "sync/atomic"

const (
	// unit is one retry in the budget's own measure.
	unit = 10
	// earned is what each first attempt adds: one retry for ten requests.
	earned = 1
	// most is the largest budget, in retries, that quiet times save up.
	most = 20
)

// Budget is earned by first attempts and spent by retries. It is safe for
// use by several goroutines. Make it with NewBudget.
type Budget struct{ left atomic.Int64 }

// NewBudget returns a full budget.
func NewBudget() *Budget {
	bu := &Budget{}
	bu.left.Store(most * unit)
	return bu
}

// Earn counts a first attempt.
func (bu *Budget) Earn() {
	if bu.left.Load() < most*unit {
		bu.left.Add(earned)
	}
}

// Spend takes one retry from the budget and tells whether there was one.
func (bu *Budget) Spend() bool {
	if bu.left.Add(-unit) >= 0 {
		return true
	}
	bu.left.Add(unit)
	return false
}
