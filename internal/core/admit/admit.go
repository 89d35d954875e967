// Package admit provides admission control for requests to the engines when
// demand exceeds capacity. Waiting requests are served by weighted fair
// queueing over workspaces: under contention each workspace gets its share, and
// unused shares are available to the others. A request that is not expected to
// start before its deadline is refused on arrival instead of after waiting.
package admit

import (
	"cmp"
	"slices"
	"time"
)

// Item is a request for admission.
type Item struct {
	ID        uint64
	Workspace string
	// Share is the workspace's weight. It is above zero.
	Share float64
	// Tokens is the estimated work of the request.
	Tokens int64
	// Priority orders requests of one workspace; higher goes first.
	Priority int
	// Deadline is the time by which the request must have started.
	Deadline time.Time
}

// Verdict is the decision on an arriving item.
type Verdict int

// Verdicts.
const (
	// Admitted means that the request may start now.
	Admitted Verdict = iota + 1
	// Queued means that the request waits until Finish or SetCapacity returns
	// it.
	Queued
	// Refused means that the request would miss its deadline, or that the queue
	// is full.
	Refused
)

// Decision is the result of Arrive.
type Decision struct {
	Verdict Verdict
	// RetryAfter is how long the caller of a refused request should wait before
	// it retries.
	RetryAfter time.Duration
}

const (
	// maxQueued bounds the number of queued requests, whatever their deadlines
	// are.
	maxQueued = 10000
	// rateWindow is the minimum period over which the rate of finished work is
	// measured.
	rateWindow = time.Second
	// rateDecay is the weight of earlier windows in the smoothed rate.
	rateDecay = 0.7
	// minRetry and maxRetry bound Decision.RetryAfter.
	minRetry = 200 * time.Millisecond
	maxRetry = 30 * time.Second
)

// flow is the queue of one workspace.
type flow struct {
	share float64
	// virtualFinish is the virtual time at which the workspace's share covers
	// the work admitted so far.
	virtualFinish float64
	// waiting holds the queued items by descending priority, tokens the sum of
	// their tokens.
	waiting []Item
	tokens  int64
}

// Queue admits requests to a capacity in tokens. It is not safe for concurrent
// use. Create it with New.
type Queue struct {
	// capacity is in tokens.
	capacity int64
	// inFlight is the number of tokens of admitted requests that have not
	// ended.
	inFlight int64
	// virtualTime is the virtual start time of the request admitted last, in
	// tokens per share.
	virtualTime float64
	flows       map[string]*flow
	// size is the number of waiting requests.
	size int
	// rate is the smoothed rate of finished work in tokens per second.
	rate float64
	// finished counts the tokens finished since window, the start of the
	// current rate window.
	finished int64
	window   time.Time
}

// New returns a queue with the given capacity in tokens.
func New(capacity int64, now time.Time) *Queue {
	return &Queue{capacity: capacity, flows: make(map[string]*flow), window: now}
}

// Arrive decides on a new request: it is admitted, queued or refused.
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

// flow returns the workspace's flow with the share of the item. It creates a
// missing flow.
func (qu *Queue) flow(it Item) *flow {
	fl, ok := qu.flows[it.Workspace]
	if !ok {
		fl = &flow{}
		qu.flows[it.Workspace] = fl
	}
	fl.share = it.Share
	return fl
}

// enqueue inserts the item by descending priority.
func (qu *Queue) enqueue(fl *flow, it Item) {
	at, _ := slices.BinarySearchFunc(fl.waiting, it, func(a, b Item) int {
		// Requests of equal priority stay in order of arrival.
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), -1)
	})
	fl.waiting = slices.Insert(fl.waiting, at, it)
	fl.tokens += it.Tokens
	qu.size++
}

// fits reports whether the request may start now. A request larger than the
// whole capacity starts when nothing else runs.
func (qu *Queue) fits(it Item) bool {
	return qu.capacity > 0 && (qu.inFlight == 0 || qu.inFlight+it.Tokens <= qu.capacity)
}

// admit charges the workspace for the request and advances the virtual time to
// the request's start. A workspace that was idle starts from the current
// virtual time: it accumulates no credit while idle, and one that used the
// unused shares of others is not charged for that later.
func (qu *Queue) admit(fl *flow, it Item) {
	qu.inFlight += it.Tokens
	qu.virtualTime = max(fl.virtualFinish, qu.virtualTime)
	fl.virtualFinish = qu.virtualTime + float64(it.Tokens)/fl.share
}

// estimate returns the expected waiting time of the request: the work of its
// workspace that is queued before it plus its own, divided by the workspace's
// share of the measured rate. It is zero while no rate has been measured.
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

// Finish records that an admitted request with the given number of tokens has
// ended, and returns the requests that may start now.
func (qu *Queue) Finish(now time.Time, tokens int64) []Item {
	qu.inFlight -= tokens
	qu.finished += tokens
	return qu.next(now)
}

// SetCapacity changes the capacity and returns the requests that may start now.
func (qu *Queue) SetCapacity(now time.Time, capacity int64) []Item {
	qu.capacity = capacity
	return qu.next(now)
}

// next admits waiting requests in fair order while they fit.
func (qu *Queue) next(now time.Time) []Item {
	qu.measure(now)
	var items []Item
	for qu.size > 0 {
		fl := qu.nextFlow()
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

// nextFlow returns the flow with waiting requests that has received the least
// work relative to its share.
func (qu *Queue) nextFlow() *flow {
	var best *flow
	for _, fl := range qu.flows {
		if len(fl.waiting) > 0 && (best == nil || less(fl, best)) {
			best = fl
		}
	}
	return best
}

// less orders flows by virtual finish time, then by the ID of their first
// request, so that the order does not depend on map iteration.
func less(fl, other *flow) bool {
	if fl.virtualFinish != other.virtualFinish {
		return fl.virtualFinish < other.virtualFinish
	}
	return fl.waiting[0].ID < other.waiting[0].ID
}

// Cancel removes a waiting request and reports whether it was queued.
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

// measure updates the smoothed rate of finished work once per rateWindow.
func (qu *Queue) measure(now time.Time) {
	elapsed := now.Sub(qu.window)
	if elapsed < rateWindow {
		return
	}
	rate := float64(qu.finished) / elapsed.Seconds()
	if qu.size > 0 || qu.inFlight > 0 {
		qu.rate = qu.rate*rateDecay + rate*(1-rateDecay)
	}
	qu.finished = 0
	qu.window = now
	qu.removeIdleFlows()
}

// removeIdleFlows removes workspaces without waiting requests whose shares
// cover all their admitted work.
func (qu *Queue) removeIdleFlows() {
	for name, fl := range qu.flows {
		if len(fl.waiting) == 0 && fl.virtualFinish <= qu.virtualTime {
			delete(qu.flows, name)
		}
	}
}

// Size returns the number of waiting requests.
func (qu *Queue) Size() int { return qu.size }

// InFlight returns the number of tokens of admitted requests that have not
// ended.
func (qu *Queue) InFlight() int64 { return qu.inFlight }

// Capacity returns the capacity in tokens.
func (qu *Queue) Capacity() int64 { return qu.capacity }
