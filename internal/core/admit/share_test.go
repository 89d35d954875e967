package admit

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// One workspace asks for most of the work. Guards against refusing the small ones for it, and against
// giving it less than its share.
func TestOverusers(t *testing.T) {
	demand := map[string]float64{"large": 80, "middle": 30, "small-1": 5, "small-2": 5}
	over := Overusers(demand, 0.5)
	// 60 slots: 5 for each of the small ones, the rest in equal parts for the two others.
	if len(over) != 2 || math.Abs(float64(over["large"].Over)-1+25.0/80) > 1e-6 || math.Abs(float64(over["middle"].Over)-1+25.0/30) > 1e-6 {
		t.Errorf("above their share: %+v, want large and middle with 25 slots each", over)
	}
	for name, want := range map[string]float64{"large": 1 - 25.0/80, "middle": 1 - 25.0/30, "small-1": 0} {
		if got := RefusalByShare(over, name, 0.5); math.Abs(got-want) > 1e-6 {
			t.Errorf("%s refused with probability %v, want %v", name, got, want)
		}
	}
	if over := Overusers(demand, 1); len(over) != 0 {
		t.Errorf("above their share without excess: %+v", over)
	}
	if over := Overusers(map[string]float64{"only": 10}, 0.5); len(over) != 0 {
		t.Errorf("a single workspace is above its share: %+v", over)
	}
}

// Guards against refusing less or more than the excess, against starving a workspace, and against
// announcements that grow with the number of workspaces.
func TestSharesKeepTheSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demand, total := make(map[string]float64), 0.0
		for i := range rapid.IntRange(2, 40).Draw(t, "workspaces") {
			work := rapid.Float64Range(0.1, 100).Draw(t, "work")
			demand[fmt.Sprint("ws-", i)] = work
			total += work
		}
		over := Overusers(demand, rapid.Float64Range(0.1, 1).Draw(t, "service"))
		if len(over) > maxOverusers {
			t.Fatalf("%d workspaces announced", len(over))
		}
		refusal := rapid.Float64Range(0, 0.95).Draw(t, "refusal")
		sum := 0.0
		for name, work := range demand {
			part := RefusalByShare(over, name, refusal)
			if floor := minService * (1 - refusal); 1-part < floor-1e-6 {
				t.Fatalf("%s keeps %v, want at least %v", name, 1-part, floor)
			}
			sum += part * work / total
		}
		if math.Abs(sum-refusal) > 0.01 {
			t.Fatalf("%v refused, want %v", sum, refusal)
		}
	})
}
