package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a daemon that asks the steward for each request that it refuses.
func TestPauses(t *testing.T) {
	var pa Pauses
	asked := 0
	for i := range 10_000 {
		// 1,000 requests a second, of two sets of parts.
		now := begin.Add(time.Duration(i) * time.Millisecond)
		if pa.MayAsk([]Fingerprint{fingerprint(fmt.Sprint(i % 2))}, now) {
			asked++
		}
	}
	if want := 2 * int(10*time.Second/trialPause+1); asked < want-2 || asked > want {
		t.Errorf("asked %d times in 10 s, want about %d", asked, want)
	}
	asked = 0
	for i := range 10_000 {
		if pa.MayAsk([]Fingerprint{fingerprint(fmt.Sprint("set-", i))}, begin.Add(time.Minute)) {
			asked++
		}
	}
	if asked != maxTrialPauses || len(pa.askedAt) > maxTrialPauses {
		t.Errorf("asked %d times at once for different parts, %d remembered, want %d", asked, len(pa.askedAt), maxTrialPauses)
	}
}
