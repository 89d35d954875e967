package admit

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func newCalendar(seed uint64) *Calendar {
	return &Calendar{Random: rand.New(rand.NewPCG(seed, 1)).Float64}
}

// Guards against promises outside of the time in which a caller returns, and against more promises
// for a slice than its capacity.
func TestPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cr := newCalendar(rapid.Uint64().Draw(t, "seed"))
		now := time.Unix(1000, rapid.Int64Range(0, int64(time.Second)).Draw(t, "offset"))
		ca := Capacity{Finish: rapid.Float64Range(0, 500).Draw(t, "finish"), New: rapid.Float64Range(0, 900).Draw(t, "new"),
			Daemons: rapid.IntRange(0, 985).Draw(t, "daemons")}
		const least = time.Second
		for range rapid.IntRange(1, 200).Draw(t, "refusals") {
			most := time.Duration(rapid.IntRange(0, 6000).Draw(t, "most")) * time.Millisecond
			rank := rapid.IntRange(-1, 12).Draw(t, "rank")
			pr := cr.Promise("model", rank, now, least, most, ca)
			if pr.Delay < least || pr.Delay > max(least, most) {
				t.Fatalf("delay %v, want between %v and %v", pr.Delay, least, most)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
		}
		for _, sl := range cr.forModel("model").slices {
			if most := ca.part() * sliceLength.Seconds(); sl.promised > most+1e-6 {
				t.Fatalf("%.3f returns promised in a slice, want at most %.3f", sl.promised, most)
			}
		}
	})
}

// After a loss of all daemons, all 60 calendars are empty and callers come at once, while 100 requests
// per second are free. Guards against daemons that each promise the same first moment, or all
// capacity, and against more than the free capacity once more from a daemon that takes itself for the
// only one.
func TestEmptyCalendars(t *testing.T) {
	const daemons, least, most, free = 60, time.Second, 2400 * time.Millisecond, 140
	tests := []struct {
		name     string
		requests int
		// outdated makes the first daemon know no other one.
		outdated bool
		// leastReserved and mostReserved bound the promises, mostPerSlice the returns in any slice.
		leastReserved, mostReserved, mostPerSlice int
	}{
		{"few", 120, false, 110, 120, 20},
		{"many", 1200, false, free * 8 / 10, free * 12 / 10, 450},
		{"outdated", 1200, true, free * 8 / 10, 2 * free * 12 / 10, 450},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			reserved, perSlice := 0, make(map[time.Duration]int)
			for num := range daemons {
				cr, ca := newCalendar(uint64(num)), Capacity{Finish: 250, New: 150, Daemons: daemons}
				if tc.outdated && num == 0 {
					ca.Daemons = 1
				}
				for range tc.requests / daemons {
					pr := cr.Promise("model", 0, time.Unix(1000, 0), least, most, ca)
					perSlice[pr.Delay/sliceLength]++
					if pr.Reserved {
						reserved++
					}
				}
			}
			if reserved < tc.leastReserved || reserved > tc.mostReserved {
				t.Errorf("%d returns reserved, want %d to %d", reserved, tc.leastReserved, tc.mostReserved)
			}
			for at, returns := range perSlice {
				if returns > tc.mostPerSlice {
					t.Errorf("%d of %d callers return in slice %d, want at most %d", returns, tc.requests, at, tc.mostPerSlice)
				}
			}
		})
	}
}

// Guards against less urgent ranks that take all free capacity: a more urgent rank finds a part of
// each slice free.
func TestUrgentRank(t *testing.T) {
	cr, now := newCalendar(1), time.Unix(1000, 0)
	promise := func(rank int) bool {
		return cr.Promise("model", rank, now, time.Second, 2500*time.Millisecond, Capacity{Finish: 100, New: 80, Daemons: 1}).Reserved
	}
	promise(0)
	for range 100 {
		promise(1)
	}
	reserved := 0
	for range 20 {
		if promise(0) {
			reserved++
		}
	}
	if reserved < 4 {
		t.Errorf("%d returns of the urgent rank reserved, want at least 4 of the 30 that are free", reserved)
	}
}

// Guards against returns that are reported as due in another second than they were promised for.
func TestDue(t *testing.T) {
	cr, now := newCalendar(1), time.Unix(1000, 0)
	for range 50 {
		cr.Promise("model", 0, now, time.Second, 2*time.Second, Capacity{Finish: 20, Daemons: 1})
	}
	for _, tc := range []struct {
		after time.Duration
		want  float64
	}{{0, 0}, {1500 * time.Millisecond, 20}, {3 * time.Second, 0}, {time.Minute, 0}} {
		if due, _ := cr.Due("model", now.Add(tc.after)); due < tc.want-1e-6 || due > tc.want+1e-6 {
			t.Errorf("%.2f returns due after %v, want %.0f", due, tc.after, tc.want)
		}
	}
	cr.RecordReturn("model", now)
	if _, came := cr.Due("model", now.Add(900*time.Millisecond)); came != 1 {
		t.Errorf("%.0f returns came in the last second, want 1", came)
	}
	if _, came := cr.Due("model", now.Add(1100*time.Millisecond)); came != 0 {
		t.Errorf("%.0f returns came in the last second, want 0", came)
	}
}
