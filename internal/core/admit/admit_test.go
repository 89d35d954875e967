package admit

import (
	"fmt"
	"testing"
	"time"
)

var begin = time.Unix(1000, 0)

func item(id int, workspace string, share float64, tokens int64) Item {
	return Item{ID: uint64(id), Workspace: workspace, Share: share, Tokens: tokens, Deadline: begin.Add(time.Hour)}
}

// driver keeps ten requests of each workspace waiting.
type driver struct {
	qu      *Queue
	now     time.Time
	id      int
	waiting map[string]int
	running []Item
}

func newDriver(qu *Queue) *driver { return &driver{qu: qu, now: begin, waiting: make(map[string]int)} }

// drive ends that many requests and returns the tokens each workspace got.
func (dr *driver) drive(shares map[string]float64, rounds int) map[string]int64 {
	got := make(map[string]int64)
	for range rounds {
		for name, share := range shares {
			for dr.waiting[name] < 10 && dr.arrive(name, share) {
			}
		}
		dr.now = dr.now.Add(10 * time.Millisecond)
		it := dr.running[0]
		dr.running = dr.running[1:]
		got[it.Workspace] += it.Tokens
		for _, next := range dr.qu.Finish(dr.now, it.Tokens) {
			dr.waiting[next.Workspace]--
			dr.running = append(dr.running, next)
		}
	}
	return got
}

func (dr *driver) arrive(name string, share float64) bool {
	dr.id++
	it := item(dr.id, name, share, 10)
	it.Deadline = dr.now.Add(time.Hour)
	switch dr.qu.Arrive(dr.now, it).Verdict {
	case Admitted:
		dr.running = append(dr.running, it)
	case Queued:
		dr.waiting[name]++
	case Refused:
		return false
	}
	return true
}

// One workspace is larger than all others together. When all want more than
// there is, each gets its share.
func TestShares(t *testing.T) {
	qu := New(100, begin)
	got := newDriver(qu).drive(map[string]float64{"large": 60, "mid": 30, "small": 10}, 4000)
	total := got["large"] + got["mid"] + got["small"]
	for name, share := range map[string]int64{"large": 60, "mid": 30, "small": 10} {
		if part := got[name] * 100 / total; part < share-3 || part > share+3 {
			t.Errorf("%s got %d%%, want %d%%", name, part, share)
		}
	}
}

// A workspace uses what others leave and owes nothing for it: when they come
// back it does not have to wait until they have caught up.
func TestLeftoversAreNoDebt(t *testing.T) {
	dr := newDriver(New(100, begin))
	if got := dr.drive(map[string]float64{"large": 50}, 1000)["large"]; got != 10000 {
		t.Fatalf("alone it got %d tokens, want all 10000", got)
	}
	got := dr.drive(map[string]float64{"large": 50, "late": 50}, 1000)
	if got["large"] < 4500 || got["late"] < 4500 {
		t.Errorf("got %v, want about half each", got)
	}
}

func TestArrive(t *testing.T) {
	slow := func() *Queue {
		qu := New(100, begin)
		qu.Arrive(begin, item(1, "a", 1, 100))
		// A hundred tokens a second are finished from here on.
		qu.rate = 100
		return qu
	}
	tests := []struct {
		name string
		qu   *Queue
		item Item
		wait time.Duration
		want Verdict
	}{
		{"room", New(100, begin), item(1, "a", 1, 50), 0, Admitted},
		{"no capacity", New(0, begin), item(1, "a", 1, 50), time.Hour, Queued},
		{"larger than all, alone", New(100, begin), item(1, "a", 1, 500), 0, Admitted},
		{"full", slow(), item(2, "a", 1, 50), time.Minute, Queued},
		{"would miss its deadline", slow(), item(2, "a", 1, 500), time.Second, Refused},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			it := tc.item
			it.Deadline = begin.Add(tc.wait)
			de := tc.qu.Arrive(begin, it)
			if de.Verdict != tc.want {
				t.Errorf("verdict = %v, want %v", de.Verdict, tc.want)
			}
			if de.Verdict == Refused && de.RetryAfter <= 0 {
				t.Error("a refusal does not say when to come back")
			}
		})
	}
}

func TestPriorityWithinWorkspace(t *testing.T) {
	qu := New(10, begin)
	qu.Arrive(begin, item(1, "a", 1, 10))
	for i, priority := range []int{0, 5, 0, 5} {
		it := item(i+2, "a", 1, 10)
		it.Priority = priority
		qu.Arrive(begin, it)
	}
	order := ""
	for range 4 {
		for _, it := range qu.Finish(begin, 10) {
			order += fmt.Sprint(it.ID, " ")
		}
	}
	if want := "3 5 2 4 "; order != want {
		t.Errorf("order = %q, want %q", order, want)
	}
}

func TestCancel(t *testing.T) {
	qu := New(10, begin)
	qu.Arrive(begin, item(1, "a", 1, 10))
	qu.Arrive(begin, item(2, "a", 1, 10))
	if !qu.Cancel("a", 2) || qu.Cancel("a", 2) {
		t.Error("cancel must find a waiting request once")
	}
	if items := qu.Finish(begin, 10); len(items) != 0 || qu.InFlight() != 0 {
		t.Errorf("a cancelled request was admitted: %v", items)
	}
}
