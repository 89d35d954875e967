// Package admit decides which requests may go on to the engines when there
// are more than capacity allows. Waiting requests are served by weighted fair
// queueing over workspaces: a workspace gets its share when all want more,
// and what others leave when they don't. A request that cannot be started
// before its deadline is refused when it arrives, not after it has waited.
package admit

import (
	"cmp"
	"slices"
	"time"
)

// Item is a request that asks to be admitted.
type Item struct {
	ID        uint64
	Workspace string
	// Share is the workspace's weight, above zero.
	Share float64
	// Tokens is the estimated work of the request.
	Tokens int64
	// Priority orders requests of one workspace; higher goes first.
	Priority int
	// Deadline is when the request must have started.
	Deadline time.Time
}

// Verdict is the decision on an arriving item.
type Verdict int

// Decisions.
const (
	// Admitted: the request may go on now.
	Admitted Verdict = iota + 1
	// Queued: it waits until Queue returns its ID.
	Queued
	// Refused: it would miss its deadline.
	Refused
)

// Decision is the answer to an arrival.
type Decision struct {
	Verdict Verdict
	// RetryAfter is when a refused request may find room.
	RetryAfter time.Duration
}

const (
	// maxQueued bounds the queue whatever the deadlines are.
	maxQueued = 10000
	// rateWindow is the period over which the rate of work is measured.
	rateWindow = time.Second
	// rateDecay smooths the rate over several windows.
	rateDecay = 0.7
	minRetry  = 200 * time.Millisecond
	maxRetry  = 30 * time.Second
)

// flow is one workspace's queue.
type flow struct {
	share float64
	// finish is the virtual time at which the work given so far is paid for.
	finish  float64
	waiting []Item
	tokens  int64
}

// Queue admits requests to a capacity in tokens. It is not safe for use by
// several goroutines. Make it with New.
type Queue struct {
	capacity int64
	open     int64
	virtual  float64
	flows    map[string]*flow
	size     int
	// rate is the smoothed rate of finished work in tokens a second.
	rate     float64
	finished int64
	window   time.Time
}

// New returns a queue for that capacity in tokens.
func New(capacity int64, now time.Time) *Queue {
	return &Queue{capacity: capacity, flows: make(map[string]*flow), window: now}
}

// Arrive decides on a new request.
func (qu *Queue) Arrive(now time.Time, it Item) Decision {
	qu.measure(now)
	if qu.size == 0 && qu.fits(it) {
		qu.admit(qu.flow(it), it)
		return Decision{Verdict: Admitted}
	}
	fl := qu.flow(it)
	wait := qu.estimate(fl, it)
	if now.Add(wait).After(it.Deadline) || qu.size >= maxQueued {
		return Decision{Verdict: Refused, RetryAfter: min(max(wait, minRetry), maxRetry)}
	}
	qu.enqueue(fl, it)
	return Decision{Verdict: Queued}
}

func (qu *Queue) flow(it Item) *flow {
	fl, ok := qu.flows[it.Workspace]
	if !ok {
		fl = &flow{}
		qu.flows[it.Workspace] = fl
	}
	fl.share = it.Share
	return fl
}

func (qu *Queue) enqueue(fl *flow, it Item) {
	at, _ := slices.BinarySearchFunc(fl.waiting, it, func(a, b Item) int {
		// Equal priorities keep the order of arrival.
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), -1)
	})
	fl.waiting = slices.Insert(fl.waiting, at, it)
	fl.tokens += it.Tokens
	qu.size++
}

// fits tells whether the request may start now. One larger than the whole
// capacity starts when nothing else runs.
func (qu *Queue) fits(it Item) bool {
	return qu.capacity > 0 && (qu.open == 0 || qu.open+it.Tokens <= qu.capacity)
}

// admit charges the workspace for the request and moves the virtual time to
// its start. A workspace that was idle starts from there: it gains nothing by
// having waited, and one that used what others left owes nothing for it.
func (qu *Queue) admit(fl *flow, it Item) {
	qu.open += it.Tokens
	qu.virtual = max(fl.finish, qu.virtual)
	fl.finish = qu.virtual + float64(it.Tokens)/fl.share
}

// estimate returns how long the request would wait: the work of its workspace
// that stands before it, at the workspace's share of the measured rate.
func (qu *Queue) estimate(fl *flow, it Item) time.Duration {
	if qu.rate <= 0 {
		return 0
	}
	shares := it.Share
	for _, other := range qu.flows {
		if other != fl && len(other.waiting) > 0 {
			shares += other.share
		}
	}
	ahead := it.Tokens
	for _, wi := range fl.waiting {
		if wi.Priority >= it.Priority {
			ahead += wi.Tokens
		}
	}
	sec := float64(ahead) / (qu.rate * it.Share / shares)
	return time.Duration(min(sec, maxRetry.Seconds()*10) * float64(time.Second))
}

// Finish says that an admitted request of that many tokens has ended, and
// returns the requests that may start now.
func (qu *Queue) Finish(now time.Time, tokens int64) []Item {
	qu.open -= tokens
	qu.finished += tokens
	return qu.next(now)
}

// SetCapacity changes the capacity and returns the requests that may start.
func (qu *Queue) SetCapacity(now time.Time, capacity int64) []Item {
	qu.capacity = capacity
	return qu.next(now)
}

// next admits waiting requests in fair order while they fit.
func (qu *Queue) next(now time.Time) []Item {
	qu.measure(now)
	var items []Item
	for qu.size > 0 {
		fl := qu.first()
		it := fl.waiting[0]
		if !qu.fits(it) {
			break
		}
		fl.waiting = slices.Delete(fl.waiting, 0, 1)
		fl.tokens -= it.Tokens
		qu.size--
		qu.admit(fl, it)
		items = append(items, it)
	}
	return items
}

// first returns the waiting workspace that has had the least for its share.
func (qu *Queue) first() *flow {
	var best *flow
	for _, fl := range qu.flows {
		if len(fl.waiting) > 0 && (best == nil || less(fl, best)) {
			best = fl
		}
	}
	return best
}

func less(fl, than *flow) bool {
	if fl.finish != than.finish {
		return fl.finish < than.finish
	}
	return fl.waiting[0].ID < than.waiting[0].ID
}

// Cancel removes a waiting request and tells whether it was there.
func (qu *Queue) Cancel(workspace string, id uint64) bool {
	fl, ok := qu.flows[workspace]
	if !ok {
		return false
	}
	at := slices.IndexFunc(fl.waiting, func(it Item) bool { return it.ID == id })
	if at < 0 {
		return false
	}
	fl.tokens -= fl.waiting[at].Tokens
	fl.waiting = slices.Delete(fl.waiting, at, at+1)
	qu.size--
	return true
}

// measure keeps the rate of finished work.
func (qu *Queue) measure(now time.Time) {
	gone := now.Sub(qu.window)
	if gone < rateWindow {
		return
	}
	rate := float64(qu.finished) / gone.Seconds()
	if qu.size > 0 || qu.open > 0 {
		qu.rate = qu.rate*rateDecay + rate*(1-rateDecay)
	}
	qu.finished = 0
	qu.window = now
	qu.forgetIdle()
}

// forgetIdle drops workspaces that have nothing waiting and nothing to pay.
func (qu *Queue) forgetIdle() {
	for name, fl := range qu.flows {
		if len(fl.waiting) == 0 && fl.finish <= qu.virtual {
			delete(qu.flows, name)
		}
	}
}

// Size returns the number of waiting requests.
func (qu *Queue) Size() int { return qu.size }

// Open returns the tokens of admitted requests that have not ended.
func (qu *Queue) InFlight() int64 { return qu.open }

// Capacity returns the capacity in tokens.
func (qu *Queue) Capacity() int64 { return qu.capacity }
