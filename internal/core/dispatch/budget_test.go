package dispatch

import (
	"testing"
	"time"
)

// budgetSim simulates daemons that send as many retries as their budgets allow.
type budgetSim struct {
	budgets []*Budget
	// requests and retries are the counts per time step of budgetStep.
	requests, retries []int
	slack             float64
}

const (
	budgetStep   = 20 * time.Millisecond
	budgetWindow = 10 * time.Second
	budgetRatio  = 0.2
	// slackShare is the fraction of the total slack that all daemons together get.
	slackShare = 0.5
)

// start starts or restarts a daemon with an empty budget history.
func (bp *budgetSim) start(num int, now time.Time) {
	bp.budgets[num] = &Budget{Ratio: budgetRatio, Slack: bp.slack * slackShare / float64(len(bp.budgets)), Window: budgetWindow, StartedAt: now}
}

// step simulates one time step: requests spread over the daemons, each retried if wanted and
// allowed.
func (bp *budgetSim) step(requests int, wanted bool, now time.Time) {
	retries := 0
	for num := range requests {
		bu := bp.budgets[num%len(bp.budgets)]
		bu.Earn("some", now)
		if wanted && bu.Spend("some", now) {
			retries++
		}
	}
	bp.requests, bp.retries = append(bp.requests, requests), append(bp.retries, retries)
}

// excess returns the number of retries above the limit in the worst window. The limit is the slack
// plus budgetRatio times the requests of that window, of the one before it or of the one half a
// window before it, whichever has the most.
func (bp *budgetSim) excess() float64 {
	span := int(budgetWindow / budgetStep)
	sum := func(counts []int, from int) int {
		num := 0
		for _, count := range counts[max(0, from):max(0, min(len(counts), from+span))] {
			num += count
		}
		return num
	}
	worst := -bp.slack
	for from := range bp.retries {
		requests := max(sum(bp.requests, from), sum(bp.requests, from-span/2), sum(bp.requests, from-span))
		worst = max(worst, float64(sum(bp.retries, from))-budgetRatio*float64(requests)-bp.slack)
	}
	return worst
}

// Guards against daemons that restart without a record of the retries sent before and exceed the
// total budget. After a calm period, groups refuse requests, callers who retry double the request
// rate, and daemons are killed. The limit must hold in each window, however much budget was left
// unused before.
func TestBudgetOverRestarts(t *testing.T) {
	const daemons, slack, calm, until = 6, 130, 20 * time.Second, 45 * time.Second
	begin := time.Unix(1000, 0)
	tests := []struct {
		name  string
		kills map[time.Duration]int
	}{
		{"none", nil},
		{"two of six", map[time.Duration]int{23 * time.Second: 2}},
		{"all", map[time.Duration]int{23 * time.Second: daemons}},
		{"all as the trouble begins", map[time.Duration]int{calm + 500*time.Millisecond: daemons}},
		{"all, twice", map[time.Duration]int{23 * time.Second: daemons, 27 * time.Second: daemons}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			bp := &budgetSim{budgets: make([]*Budget, daemons), slack: slack}
			for num := range daemons {
				bp.start(num, begin.Add(-budgetWindow))
			}
			for at := time.Duration(0); at < until; at += budgetStep {
				for num := range tc.kills[at] {
					bp.start(num, begin.Add(at))
				}
				requests := 3
				if at >= calm {
					requests = 6
				}
				bp.step(requests, at >= calm, begin.Add(at))
			}
			if over := bp.excess(); over > 0 {
				t.Errorf("%.0f retries above the limit in one window, want none", over)
			}
		})
	}
}
