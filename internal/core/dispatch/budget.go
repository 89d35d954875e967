package dispatch

import (
	"sync"
	"time"
)

// Budget limits the retries to each service. The limit holds over all daemons together: each
// one applies the ratio to its own requests and has its own part of the slack, so no coordination is
// needed. It is safe for concurrent use.
type Budget struct {
	// Ratio is the fraction of the requests that may be sent once more.
	Ratio float64
	// Slack is the number of retries that this daemon may send in each window beyond the ratio.
	Slack float64
	// Window is the length of the sliding window over which the limit holds.
	Window time.Duration
	// StartedAt is the start time of the daemon.
	StartedAt time.Time

	mu       sync.Mutex
	services map[string]*usage
}

// windowParts is the number of parts into which a window is divided for counting.
const windowParts = 10

// usage counts a service's requests and retries over the last window, in a ring of parts.
type usage struct {
	requests, retries [windowParts + 1]int
	part              int64
}

// Earn records a first send of a request to a service.
func (bu *Budget) Earn(service string, now time.Time) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	ac := bu.usageOf(service, now)
	ac.requests[ac.part%(windowParts+1)]++
}

// Spend records a retry if the budget allows it, and reports whether it does.
func (bu *Budget) Spend(service string, now time.Time) bool {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	ac := bu.usageOf(service, now)
	if float64(sum(ac.retries)+1) > bu.allowed(ac, now) {
		return false
	}
	ac.retries[ac.part%(windowParts+1)]++
	return true
}

// Remaining returns the number of retries that the budget of the service still allows in this window.
func (bu *Budget) Remaining(service string, now time.Time) float64 {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	ac := bu.usageOf(service, now)
	return bu.allowed(ac, now) - float64(sum(ac.retries))
}

// allowed returns the number of retries permitted in the window that ends now. In the first window
// after its start, a daemon has no record of what it spent before a restart, so it may use only
// startupShare of its slack and nothing for its requests. The oldest part of the ring is only partly
// within the window: its retries count, its requests do not.
func (bu *Budget) allowed(ac *usage, now time.Time) float64 {
	if now.Sub(bu.StartedAt) < bu.Window {
		return startupShare * bu.Slack
	}
	return bu.Ratio*float64(sum(ac.requests)-ac.requests[(ac.part+1)%(windowParts+1)]) + bu.Slack
}

// startupShare is the fraction of its slack that a daemon may use in the first window after its
// start. All daemons together are assigned half of the total slack, so that with this share two
// restarts of all daemons within one window stay within the total slack.
const startupShare = 0.5

// usageOf returns the counts of a service, advanced to now. The caller holds mu.
func (bu *Budget) usageOf(service string, now time.Time) *usage {
	if bu.services == nil {
		bu.services = make(map[string]*usage)
	}
	ac := bu.services[service]
	if ac == nil {
		ac = &usage{}
		bu.services[service] = ac
	}
	ac.advance(now.UnixNano() / max(1, int64(bu.Window)/windowParts))
	return ac
}

// advance clears the parts of the ring that have left the window.
func (ac *usage) advance(to int64) {
	if to-ac.part > windowParts {
		*ac = usage{part: to}
		return
	}
	for ac.part < to {
		ac.part++
		ac.requests[ac.part%(windowParts+1)] = 0
		ac.retries[ac.part%(windowParts+1)] = 0
	}
}

func sum(parts [windowParts + 1]int) int {
	total := 0
	for _, num := range parts {
		total += num
	}
	return total
}

// SetSlack changes the number of retries that this daemon may send in each window beyond the ratio.
func (bu *Budget) SetSlack(slack float64) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.Slack = slack
}
