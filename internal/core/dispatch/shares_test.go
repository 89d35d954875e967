package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"corianderhub.dev/corianderhub/internal/core/admit"
)

// One workspace sends three quarters of twice the capacity to 60 daemons, five others the rest. Guards
// against refusing the small ones for it, against starving it, and against serving less in all.
func TestLargeWorkspaceYields(t *testing.T) {
	run := func(on bool) (large, small, inTime float64) {
		rs := newRankSim(4)
		rs.workspace = func() string {
			if at := rs.rnd.IntN(20); at < 5 {
				return fmt.Sprint("small-", at)
			}
			return "large"
		}
		for _, ta := range rs.daemons {
			ta.FairShares = on
		}
		rates := rs.rates(2)
		rs.served, rs.asked = map[string]int{}, map[string]int{}
		rs.simulate(rates, 4*time.Second)
		rs.served, rs.asked = map[string]int{}, map[string]int{}
		before := rs.inTime
		rs.simulate(rates, 6*time.Second)
		served, asked := 0, 0
		for at := range 5 {
			name := fmt.Sprint("small-", at)
			served, asked = served+rs.served[name], asked+rs.asked[name]
		}
		return float64(rs.served["large"]) / float64(rs.asked["large"]), float64(served) / float64(asked), float64(rs.inTime-before) / 6 / rs.capacity()
	}
	largeOff, smallOff, offTime := run(false)
	large, small, inTime := run(true)
	t.Logf("large %.2f, small %.2f, in time %.2f; without shares %.2f, %.2f, %.2f", large, small, inTime, largeOff, smallOff, offTime)
	if small < 0.8 || large < 0.2 {
		t.Errorf("served %.2f of the small workspaces and %.2f of the large one, want at least 0.8 and 0.2", small, large)
	}
	if inTime < offTime-0.05 {
		t.Errorf("%.2f of the capacity served in time, %.2f without shares", inTime, offTime)
	}
}

// The steward sums the work of workspaces and announces those above their share. Guards against an
// announcement that daemons obey after the steward is lost, and against one without excess.
func TestAnnouncedShares(t *testing.T) {
	steward, other := table(group("a", "here")), table(group("a", "here"))
	steward.FairShares, other.FairShares = true, true
	report := func(sent float32) Work {
		return Work{Ranks: rankRates{"large": {1: {Offered: 10, Sent: sent}}},
			Shares: Shares{Demand: map[string]map[string]float32{"large": {"large": 40, "small": 2}}}}
	}
	steward.ApplyPeerWork("one", report(10), begin)
	if over := steward.WorkExcept("two", begin).Shares.Over; len(over) != 0 {
		t.Errorf("announced without excess: %+v", over)
	}
	now := begin.Add(overInterval)
	steward.ApplyPeerWork("one", report(5), now)
	raw, err := cbor.Marshal(steward.WorkExcept("two", now))
	if err != nil {
		t.Fatal(err)
	}
	var wo Work
	if err := cbor.Unmarshal(raw, &wo); err != nil {
		t.Fatal(err)
	}
	other.ApplyRelayedWork(wo, now)
	over := other.overOf("large", now)
	if large, small := admit.RefusalByShare(over, "large", 0.5), admit.RefusalByShare(over, "small", 0.5); large <= 0.5 || small != 0 {
		t.Errorf("refused with probability %v and %v, want large above 0.5 and small 0", large, small)
	}
	if over := other.overOf("large", now.Add(maxPeerLoadAge+time.Millisecond)); len(over) != 0 {
		t.Errorf("an announcement of a lost steward still counts: %+v", over)
	}
	other.FairShares = false
	if over := other.overOf("large", now); over != nil {
		t.Errorf("shares count although they are off: %+v", over)
	}
}

// A workspace above its share sends only requests of the least urgent rank. Guards against refusing it
// for its rank and then again for its share, until it gets less than a quarter of the mean service.
func TestFloorOfLargeWorkspaceInLastRank(t *testing.T) {
	ta := table(group("a", "here"))
	ta.FairShares = true
	ta.ApplyRelayedWork(Work{Shares: Shares{Over: map[string]map[string]admit.Overuse{"large": {"greedy": {Part: 0.6, Over: 0.9}}}}}, begin)
	ranks := admit.Ranks{}
	ranks.Offered[0], ranks.Sent[0] = 40, 40
	ranks.Offered[2], ranks.Sent[2] = 60, 20
	ne := slotSimRequest()
	ne.Rank, ne.Workspace = 2, "greedy"
	const tries = 20000
	served := 0.0
	for range tries {
		if !ta.overloaded(ne, excess{all: 0.5, rank: 0.5}, &ranks, begin) {
			served += 1.0 / tries
		}
	}
	if least := 0.25 * ranks.Service(); served < least {
		t.Errorf("%.3f served, want at least %.3f", served, least)
	}
}
