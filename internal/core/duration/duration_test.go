package duration

import (
	"fmt"
	"testing"
	"time"
)

// Guards against an estimate that forgets a long request at once, keeps it forever, or grows without bound.
func TestLongest(t *testing.T) {
	var lo Longest
	now := time.Unix(1000, 0)
	lo.Add("slot", 6*time.Second, now)
	lo.Add("slot", time.Second, now)
	if got, ok := lo.Of("slot", now.Add(window)); got != 6*time.Second || !ok {
		t.Errorf("after a window: %v, %v; want 6s", got, ok)
	}
	if got, ok := lo.Of("slot", now.Add(4*window)); ok {
		t.Errorf("after four windows: %v, want none", got)
	}
	for num := range 2 * maxNames {
		lo.Add(fmt.Sprint(num), time.Second, now.Add(4*window))
	}
	if len(lo.current) > maxNames {
		t.Errorf("%d names are kept, want at most maxNames", len(lo.current))
	}
}
