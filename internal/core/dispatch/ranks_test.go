package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"corianderhub.dev/corianderhub/internal/core/admit"
	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// rankSim is a slotSim whose requests have ranks.
type rankSim struct {
	*slotSim
	// due is the fraction of the next request of each rank that has accrued.
	due [admit.NumRanks]float64
	// offered and started count the requests by rank, peak is the largest number of requests at a
	// group.
	offered, started [admit.NumRanks]int
	peak             int
	// workspace returns the workspace of the next request, served and asked count by workspace.
	workspace     func() string
	served, asked map[string]int
	// waits lists the requests that wait for a slot, waited counts those that got one.
	waits  []pendingWait
	waited int
	// loads counts the simulation steps by the number of requests at a group above its slots.
	steps, over int
}

// pendingWait is a request that waits for a slot until its time is over or Wake is called.
type pendingWait struct {
	wa    *Waiter
	since time.Time
	until time.Time
	woken *bool
}

// newRankSim returns a simulation of 60 daemons and 12 groups whose reports a steward relays.
func newRankSim(seed uint64) *rankSim {
	rs := &rankSim{slotSim: newSlotSim(seed, 60, 12)}
	rs.reportLatency = slotSimRelayLatency
	return rs
}

// rates returns the rates by rank for the given fractions of the capacity.
func (rs *rankSim) rates(parts ...float64) []float64 {
	for i := range parts {
		parts[i] *= rs.capacity()
	}
	return parts
}

// simulate advances the simulation by dur while requests arrive at the given rates per second.
func (rs *rankSim) simulate(perSecond []float64, dur time.Duration) {
	for _, ta := range rs.daemons {
		ta.SetReportDelay(slotSimReportInterval/2 + rs.reportLatency)
	}
	rs.offered, rs.started, rs.peak = [admit.NumRanks]int{}, [admit.NumRanks]int{}, 0
	for end := rs.now.Add(dur); rs.now.Before(end); rs.now = rs.now.Add(slotSimStep) {
		for rank, rate := range perSecond {
			for rs.due[rank] += rate * slotSimStep.Seconds(); rs.due[rank] >= 1; rs.due[rank]-- {
				rs.arrive(rank)
			}
		}
		for _, name := range rs.names {
			gr := rs.groups[name]
			rs.peak = max(rs.peak, gr.size())
			rs.steps++
			if gr.size() > gr.slots {
				rs.over++
			}
			rs.run(gr)
		}
		rs.endWaits()
		rs.exchangeReports()
	}
}

// arrive sends a request of the rank to a random daemon.
func (rs *rankSim) arrive(rank int) {
	ta := rs.daemons[rs.rnd.IntN(len(rs.daemons))]
	ne := slotSimRequest()
	ne.Rank = rank
	rs.offered[rank]++
	if rs.workspace != nil {
		ne.Workspace = rs.workspace()
		rs.asked[ne.Workspace]++
	}
	woken := new(bool)
	ne.Wake = func() { *woken = true }
	ch, ti := ta.Pick(ne, ignore, rs.now)
	switch {
	case ti != nil:
		rs.start(rank, ti, rs.now)
		if rs.workspace != nil {
			rs.served[ne.Workspace]++
		}
	case ch.Waiter != nil:
		rs.waits = append(rs.waits, pendingWait{ch.Waiter, rs.now, rs.now.Add(ch.Waiter.Limit), woken})
	}
}

// start adds a request that arrived at since to its group.
func (rs *rankSim) start(rank int, ti *Ticket, since time.Time) {
	rs.started[rank]++
	gr := rs.groups[ti.Group.Name]
	gr.waiting = append(gr.waiting, waitingRequest{since, ti, false})
}

// endWaits ends the waits that are over.
func (rs *rankSim) endWaits() {
	rs.waits = slices.DeleteFunc(rs.waits, func(pw pendingWait) bool {
		if !*pw.woken && rs.now.Before(pw.until) {
			return false
		}
		if ch, ti := pw.wa.ta.EndWait(pw.wa); ti != nil {
			rs.waited++
			rs.start(ch.Rank, ti, pw.since)
		}
		return true
	})
}

// service returns the fraction of a rank's requests that were sent to a group.
func (rs *rankSim) service(rank int) float64 {
	return float64(rs.started[rank]) / float64(max(1, rs.offered[rank]))
}

// Requests of the least urgent rank arrive in a burst at 60 daemons, each of which sees few requests.
// Guards against urgent requests being refused for it, and against starving it. Before the ranks
// counted, all ranks were served alike, 0.44 of the requests.
func TestLeastUrgentBurst(t *testing.T) {
	rs := newRankSim(1)
	before, burst := rs.rates(0.2, 0.3, 0.3), rs.rates(0.2, 0.3, 1.5)
	rs.simulate(before, 3*time.Second)
	rs.simulate(burst, 2*time.Second)
	for rank := range 2 {
		if rs.service(rank) < 0.95 {
			t.Errorf("rank %d: %.2f of the requests served as the burst began, want at least 0.95", rank, rs.service(rank))
		}
	}
	inTime := rs.inTime
	const span = 8 * time.Second
	rs.simulate(burst, span)
	served := float64(rs.inTime-inTime) / span.Seconds() / rs.capacity()
	t.Logf("service %.2f, %.2f, %.2f; %.2f of the capacity served in time", rs.service(0), rs.service(1), rs.service(2), served)
	for rank, least := range []float64{0.97, 0.97, 0.2} {
		if rs.service(rank) < least {
			t.Errorf("rank %d: %.2f of the requests served, want at least %.2f", rank, rs.service(rank), least)
		}
	}
	if served < 0.82 {
		t.Errorf("%.2f of the capacity served in time, want at least 0.82", served)
	}
}

// The most urgent rank alone exceeds the capacity. Guards against starving the others: each rank keeps
// a quarter of the mean service.
func TestUrgentRankStarvesNone(t *testing.T) {
	rs := newRankSim(2)
	rates := rs.rates(1.5, 0.3, 0.3)
	rs.simulate(rates, 3*time.Second)
	rs.simulate(rates, 8*time.Second)
	offered, started := 0, 0
	for rank := range 3 {
		offered, started = offered+rs.offered[rank], started+rs.started[rank]
	}
	mean := float64(started) / float64(offered)
	for rank := range 3 {
		t.Logf("rank %d: service %.2f of mean %.2f", rank, rs.service(rank), mean)
		if rs.service(rank) < mean/4 {
			t.Errorf("rank %d: service %.2f, want at least a quarter of the mean %.2f", rank, rs.service(rank), mean)
		}
	}
}

// A daemon that hears no other, as after a loss of the steward, sees only its own ranks. Guards
// against deciding by sums that are no longer true: after 2 s its requests are of one rank.
func TestRanksWithoutSums(t *testing.T) {
	ta := table(group("a", "here"))
	ne := testRequest()
	ne.Rank = 2
	if ch, _ := ta.Pick(ne, ignore, begin); ch.Group == nil || ch.SumsAge >= 0 || ch.Rank != 2 {
		t.Errorf("before any report: %+v, want a group and a negative age", ch)
	}
	urgent := Work{Ranks: rankRates{"large": {0: {Offered: 500, Sent: 300}, 77: {Offered: 9}}}}
	ta.ApplyRelayedWork(urgent, begin)
	if ranks := ta.ranksOf("large", begin.Add(time.Second)); !ranks.Mixed() || ranks.Offered[0] != 500 {
		t.Errorf("1 s after the report: %+v, want rates of ranks 0 and 2", ranks)
	}
	now := begin.Add(maxPeerLoadAge + time.Millisecond)
	if ranks := ta.ranksOf("large", now); ranks.Mixed() {
		t.Errorf("after the report's time: %+v, want the own rank only", ranks)
	}
	if ch, _ := ta.Pick(ne, ignore, now); ch.Group == nil || ch.SumsAge < maxPeerLoadAge {
		t.Errorf("after the report's time: %+v, want a group", ch)
	}
}

// The steward relays the rates by rank of all daemons but the receiver. Guards against counting the
// receiver's own requests twice, and against a rank that is lost in the encoding.
func TestRelayedRanks(t *testing.T) {
	steward := table(group("a", "here"))
	steward.ApplyPeerWork("one", Work{Ranks: rankRates{"large": {0: {Offered: 2, Sent: 1}, 2: {Offered: 3}}}}, begin)
	steward.ApplyPeerWork("two", Work{Ranks: rankRates{"large": {2: {Offered: 5, Sent: 4}}}}, begin)
	steward.ApplyPeerWork("two", Work{Ranks: rankRates{"large": {2: {Offered: 6, Sent: 4}}}}, begin)
	raw, err := cbor.Marshal(steward.WorkExcept("one", begin))
	if err != nil {
		t.Fatal(err)
	}
	var wo Work
	if err := cbor.Unmarshal(raw, &wo); err != nil {
		t.Fatal(err)
	}
	want := rankRates{"large": {2: {Offered: 6, Sent: 4}}}
	if diff := cmp.Diff(want, wo.Ranks); diff != "" {
		t.Errorf("relayed ranks (-want +got):\n%s", diff)
	}
}

// Requests of 985 daemons for 60 groups, of three ranks. A choice may take 200 us.
func BenchmarkPickRanks(b *testing.B) {
	var groups []catalog.Group
	loads := make(map[string]Load)
	for i := range 60 {
		groups = append(groups, group(fmt.Sprint("group-", i), "here"))
		loads[groups[i].Name] = Load{Requests: 22, ContextTokens: 20000}
	}
	ta := table(groups...)
	ta.SetReportDelay(130 * time.Millisecond)
	wo := Work{Loads: loads, Rates: map[string]float32{"large": 1000},
		Ranks: rankRates{"large": {0: {200, 200}, 1: {300, 300}, 2: {500, 200}}}}
	now := begin
	for i := range b.N {
		if i%8 == 0 {
			ta.ApplyRelayedWork(wo, now)
		}
		ne := slotSimRequest()
		ne.Rank = i % 3
		_, ti := ta.Pick(ne, ignore, now)
		if ti != nil {
			ti.End()
		}
		now = now.Add(10 * time.Millisecond)
	}
}
