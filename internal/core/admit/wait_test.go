package admit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var waitBegin = time.Unix(1000, 0)

// join adds a waiter with the limit at a rate that gives all of them a slot.
func join(t *testing.T, wq *WaitQueues[string], name string, resumed bool, rank int, limit time.Duration) *Waiter[string] {
	t.Helper()
	wt := &Waiter[string]{Request: name, Resumed: resumed, Rank: rank, Deadline: waitBegin.Add(limit)}
	if _, ok := wq.Join("large", wt, 1000, waitBegin); !ok {
		t.Fatalf("%s was refused", name)
	}
	return wt
}

func takeAny(*Waiter[string]) bool { return true }

// Guards against serving a new request before a stream that its caller is already reading, a less
// urgent one before a more urgent one, and one whose time is over.
func TestWaitOrder(t *testing.T) {
	wq := &WaitQueues[string]{MaxBytes: 1 << 20}
	join(t, wq, "rank-2", false, 2, 200*time.Millisecond)
	join(t, wq, "rank-1-late", false, 1, 300*time.Millisecond)
	join(t, wq, "rank-1-soon", false, 1, 100*time.Millisecond)
	join(t, wq, "rank-0-over", false, 0, 10*time.Millisecond)
	join(t, wq, "resumed", true, 2, 300*time.Millisecond)
	left := join(t, wq, "left", false, 0, 300*time.Millisecond)
	if !wq.Cancel("large", left) || wq.Cancel("large", left) {
		t.Error("a waiter is to be canceled exactly once")
	}
	now := waitBegin.Add(50 * time.Millisecond)
	notSoon := func(wt *Waiter[string]) bool { return wt.Request != "rank-1-soon" }
	for _, want := range []string{"resumed", "rank-1-late", "rank-2"} {
		if wt := wq.Next("large", notSoon, now); wt == nil || wt.Request != want {
			t.Errorf("next is %+v, want %s", wt, want)
		}
	}
	if wt := wq.Next("large", takeAny, now); wt == nil || wt.Request != "rank-1-soon" {
		t.Errorf("next is %+v, want rank-1-soon, which did not fit before", wt)
	}
	if wq.Bytes() != 0 || wq.Next("large", takeAny, now) != nil {
		t.Errorf("%d bytes in an empty queue", wq.Bytes())
	}
}

// Guards against waits that end in a refusal for lack of slots: the caller would lose that time.
func TestHopelessWaitIsRefused(t *testing.T) {
	wq := &WaitQueues[string]{MaxBytes: 1 << 20}
	wait := func(perSecond float64) bool {
		_, ok := wq.Join("large", &Waiter[string]{Deadline: waitBegin.Add(100 * time.Millisecond)}, perSecond, waitBegin)
		return ok
	}
	if wait(0) || wait(3) {
		t.Error("a request waits for a slot that is not expected")
	}
	if !wait(10) || wait(10) {
		t.Error("one slot is expected in time, and not exactly one request waits for it")
	}
}

// Guards against unbounded memory, and against keeping a less urgent waiter in place of a more urgent
// one when the memory is used up.
func TestWaitMemoryIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wq := &WaitQueues[int]{MaxBytes: 1 << 20}
		now, waiting := waitBegin, 0
		for i := range rapid.IntRange(1, 200).Draw(t, "arrivals") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "ms")) * time.Millisecond)
			wt := &Waiter[int]{Request: i, Rank: rapid.IntRange(0, 2).Draw(t, "rank"), Bytes: rapid.Int64Range(0, 1<<18).Draw(t, "bytes"),
				Deadline: now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "limit")) * time.Millisecond)}
			evicted, ok := wq.Join("large", wt, 1e6, now)
			for _, out := range evicted {
				if !ok || !wt.before(out) {
					t.Fatalf("waiter %d made room for %d, which is behind it", out.Request, wt.Request)
				}
			}
			if wq.Bytes() > wq.MaxBytes || wq.Bytes() < 0 {
				t.Fatalf("%d bytes, at most %d allowed", wq.Bytes(), wq.MaxBytes)
			}
			waiting = wq.Waiting("large")
		}
		if got := len(wq.Drain()); got != waiting || wq.Bytes() != 0 {
			t.Fatalf("drained %d of %d waiters, %d bytes left", got, waiting, wq.Bytes())
		}
	})
}
