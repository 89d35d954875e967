package dispatch

import (
	"sync"
	"time"
)

// Budget bounds what is sent to a service beyond the first time. The bound
// holds over all daemons, so each one uses a part of the slack and its own
// requests' part of the ratio, and needs to ask nobody.
type Budget struct {
	// Ratio is the part of the requests that may be sent once more.
	Ratio float64
	// Slack is what this daemon may send besides in each window.
	Slack  float64
	Window time.Duration
	// Began is when the daemon started.
	StartedAt time.Time

	mu       sync.Mutex
	services map[string]*account
}

// slots is how many parts a window is counted in.
const slots = 10

// account counts a service's requests and repeats over the last window.
type account struct {
	requests, repeats [slots + 1]int
	at                int64
}

// Earn counts a request for a service.
func (bu *Budget) Earn(service string, now time.Time) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	ac := bu.account(service, now)
	ac.requests[ac.at%(slots+1)]++
}

// Spend counts a repeat if there is budget for it, and tells whether there was.
func (bu *Budget) Spend(service string, now time.Time) bool {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	ac := bu.account(service, now)
	if float64(sum(ac.repeats)+1) > bu.allowed(ac, now) {
		return false
	}
	ac.repeats[ac.at%(slots+1)]++
	return true
}

// Left returns how many repeats the service may still be sent in this window.
func (bu *Budget) Remaining(service string, now time.Time) float64 {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	ac := bu.account(service, now)
	return bu.allowed(ac, now) - float64(sum(ac.repeats))
}

// allowed is how many repeats there may be in the window that ends now. A daemon that has just
// started does not know what it spent before: what is left to it is a part of the slack, which
// all daemons together use half of.
func (bu *Budget) allowed(ac *account, now time.Time) float64 {
	if now.Sub(bu.StartedAt) < bu.Window {
		return freshShare * bu.Slack
	}
	return bu.Ratio*float64(sum(ac.requests)-ac.requests[(ac.at+1)%(slots+1)]) + bu.Slack
}

// freshShare is the part of its slack that a daemon uses in the first window after its start.
// Two starts of all daemons in one window stay within the slack.
const freshShare = 0.5

func (bu *Budget) account(service string, now time.Time) *account {
	if bu.services == nil {
		bu.services = make(map[string]*account)
	}
	ac := bu.services[service]
	if ac == nil {
		ac = &account{}
		bu.services[service] = ac
	}
	ac.advance(now.UnixNano() / max(1, int64(bu.Window)/slots))
	return ac
}

// advance forgets the parts of the window that have passed.
func (ac *account) advance(to int64) {
	if to-ac.at > slots {
		*ac = account{at: to}
		return
	}
	for ac.at < to {
		ac.at++
		ac.requests[ac.at%(slots+1)] = 0
		ac.repeats[ac.at%(slots+1)] = 0
	}
}

func sum(parts [slots + 1]int) int {
	total := 0
	for _, num := range parts {
		total += num
	}
	return total
}

// SetSlack changes what this daemon may send besides in each window.
func (bu *Budget) SetSlack(slack float64) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.Slack = slack
}
