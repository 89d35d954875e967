package admit

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// Guards against refusing more or less than the excess, against refusing an urgent rank before a less
// urgent one has reached its floor, and against starving a rank.
func TestShed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var offered RankRates
		for rank := range offered {
			if rapid.Bool().Draw(t, "present") {
				offered[rank] = rapid.Float64Range(0.1, 1000).Draw(t, "rate")
			}
		}
		excess := rapid.Float64Range(0, 1).Draw(t, "excess")
		refused := Shed(&offered, excess)
		sum, urgentRefused := 0.0, false
		for rank, part := range refused {
			sum += part * offered[rank]
			if offered[rank] <= 0 {
				continue
			}
			if floor := minService * (1 - excess); 1-part < floor-1e-9 {
				t.Fatalf("rank %d keeps %v, want at least %v", rank, 1-part, floor)
			}
			if urgentRefused && 1-part > minService*(1-excess)+1e-9 {
				t.Fatalf("rank %d keeps %v although a more urgent rank is refused", rank, 1-part)
			}
			urgentRefused = urgentRefused || part > 1e-9
		}
		if want := excess * offered.total(); math.Abs(sum-want) > 1e-6*(1+want) {
			t.Fatalf("refused %v, want %v", sum, want)
		}
	})
}

// A rank whose measured service is below its floor is not refused by rank, and the most urgent rank
// leaves no room to others. Guards against starvation when the room changes faster than the sums.
func TestRefusalKeepsFloor(t *testing.T) {
	ra := Ranks{Offered: RankRates{0: 100, 2: 50}, Sent: RankRates{0: 60, 2: 5}}
	if got := ra.Refusal(2, 1); got != 0 {
		t.Errorf("underserved rank refused with probability %v, want 0", got)
	}
	ra.Sent[2] = 40
	if got := ra.Refusal(2, 1); got <= 0 || got >= 1 {
		t.Errorf("served rank without room refused with probability %v, want above 0 and below 1", got)
	}
	if zero, two := ra.Reserve(0), ra.Reserve(2); zero != 0 || two != maxReserve {
		t.Errorf("reserves %v and %v, want 0 and %v", zero, two, maxReserve)
	}
}
