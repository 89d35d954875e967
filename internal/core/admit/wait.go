package admit

import (
	"slices"
	"time"
)

// Waiter is a request that waits for a slot. Set the exported fields before it joins a queue.
type Waiter[T any] struct {
	// Resumed is set for a request whose caller has received a part of the answer.
	Resumed bool
	// Rank is the urgency of the request; 0 is the most urgent.
	Rank int
	// Deadline is the time by which the request must get a slot.
	Deadline time.Time
	// Bytes is the size of the request in memory.
	Bytes int64
	// Request is the caller's description of the request.
	Request T
}

// waiterBytes is the memory that a waiter takes beside its request: its entry, its timer and the
// stack of its goroutine.
const waiterBytes = 10 << 10

// minFreed is the least number of slots expected to become free before the deadline of a waiter, for
// itself. If they become free at random, one does in time with a probability of a third. Of 60 daemons
// each frees one slot in 270 ms at full load, so a higher value would let hardly any request wait.
const minFreed = 0.4

// before reports whether the waiter goes before another one.
func (wt *Waiter[T]) before(other *Waiter[T]) bool {
	switch {
	case wt.Resumed != other.Resumed:
		return wt.Resumed
	case wt.Rank != other.Rank:
		return wt.Rank < other.Rank
	}
	return wt.Deadline.Before(other.Deadline)
}

// WaitQueues holds the requests that wait for a slot, by model: resumed streams first, then by rank,
// then by deadline. It is not safe for concurrent use. The zero value is ready for use once MaxBytes
// is set.
type WaitQueues[T any] struct {
	// MaxBytes bounds the memory of all waiting requests.
	MaxBytes int64
	bytes    int64
	byModel  map[string][]*Waiter[T]
}

// Join adds a waiter to a model's queue and reports whether it was added. It is not if more slots are
// wanted before the deadline than become free: perSecond is the rate at which slots become free. The
// waiters that had to leave for lack of memory are returned; all of them were behind the new one.
func (wq *WaitQueues[T]) Join(model string, wt *Waiter[T], perSecond float64, now time.Time) (evicted []*Waiter[T], ok bool) {
	wq.expire(model, now)
	line := wq.byModel[model]
	at := len(line)
	for at > 0 && wt.before(line[at-1]) {
		at--
	}
	if perSecond*wt.Deadline.Sub(now).Seconds() < float64(at)+minFreed {
		return nil, false
	}
	need := wq.bytes + wt.size() - wq.MaxBytes
	from := len(line)
	for ; need > 0 && from > at; from-- {
		need -= line[from-1].size()
	}
	if need > 0 {
		return nil, false
	}
	evicted = slices.Clone(line[from:])
	for _, out := range evicted {
		wq.bytes -= out.size()
	}
	wq.bytes += wt.size()
	wq.set(model, slices.Insert(line[:from:from], at, wt))
	return evicted, true
}

func (wt *Waiter[T]) size() int64 { return wt.Bytes + waiterBytes }

// Next removes and returns the first waiter of a model's queue that takes the free slot, or nil.
func (wq *WaitQueues[T]) Next(model string, takes func(*Waiter[T]) bool, now time.Time) *Waiter[T] {
	wq.expire(model, now)
	for _, wt := range wq.byModel[model] {
		if takes(wt) {
			wq.Cancel(model, wt)
			return wt
		}
	}
	return nil
}

// Cancel removes a waiter and reports whether it was in the queue.
func (wq *WaitQueues[T]) Cancel(model string, wt *Waiter[T]) bool {
	line := wq.byModel[model]
	at := slices.Index(line, wt)
	if at < 0 {
		return false
	}
	wq.bytes -= wt.size()
	wq.set(model, slices.Delete(line, at, at+1))
	return true
}

// expire removes the waiters whose deadline has passed.
func (wq *WaitQueues[T]) expire(model string, now time.Time) {
	wq.set(model, slices.DeleteFunc(wq.byModel[model], func(wt *Waiter[T]) bool {
		over := now.After(wt.Deadline)
		if over {
			wq.bytes -= wt.size()
		}
		return over
	}))
}

// set replaces a model's queue. Empty ones are not kept: callers can send arbitrary model names.
func (wq *WaitQueues[T]) set(model string, line []*Waiter[T]) {
	if len(line) == 0 {
		delete(wq.byModel, model)
		return
	}
	if wq.byModel == nil {
		wq.byModel = make(map[string][]*Waiter[T])
	}
	wq.byModel[model] = line
}

// Drain removes and returns all waiters.
func (wq *WaitQueues[T]) Drain() []*Waiter[T] {
	var all []*Waiter[T]
	for _, line := range wq.byModel {
		all = append(all, line...)
	}
	wq.byModel, wq.bytes = nil, 0
	return all
}

// Waiting returns the number of waiters in the queue of a model.
func (wq *WaitQueues[T]) Waiting(model string) int { return len(wq.byModel[model]) }

// Len returns the number of waiters of all models.
func (wq *WaitQueues[T]) Len() int {
	num := 0
	for _, line := range wq.byModel {
		num += len(line)
	}
	return num
}

// Bytes returns the memory of the waiters of all models.
func (wq *WaitQueues[T]) Bytes() int64 { return wq.bytes }
