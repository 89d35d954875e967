package dispatch

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

var begin = time.Unix(1000, 0)

func engine() *catalog.Engine {
	return &catalog.Engine{Slots: 26, Stride: 7, StepTime: 5950 * time.Microsecond, StepPerRequest: 44500 * time.Nanosecond,
		StepPerKContext: 8130 * time.Nanosecond, PrefillPerSecond: 50700, FormTime: 300 * time.Millisecond, MeanAnswer: 178,
		Models: []catalog.Model{{Name: "large", Size: 2, Pace: 1}, {Name: "small", Size: 2, Pace: 0.6}}}
}

func table(groups ...catalog.Group) *Table {
	ta := &Table{DataCenter: "here"}
	update(ta, begin, groups...)
	return ta
}

func update(ta *Table, now time.Time, groups ...catalog.Group) {
	ta.Update(&catalog.View{Groups: groups}, &catalog.Config{Services: map[string]catalog.Service{"engine": {Engine: engine()}}}, now)
}

func group(name, dataCenter string) catalog.Group {
	return catalog.Group{Name: name, Service: "engine", Model: "large", DataCenter: dataCenter,
		Members: []catalog.Member{{ID: name + "-0"}, {ID: name + "-1"}}}
}

func testRequest(exclude ...*Group) Request {
	return Request{Service: "engine", Model: "large", Prompt: 1000, Objective: 300 * time.Millisecond,
		MaxPause: 300 * time.Millisecond, MaxWait: time.Second, Exclude: exclude}
}

func ignore(error) {}

// Checks predictions for an empty, busy, full and slow group. A pass of an empty group prefills
// 1,000 tokens in 20 ms and runs seven decode steps of 6 ms. A pass of a full group takes longer,
// and a new request also waits for half of the current one.
func TestPredict(t *testing.T) {
	en := engine()
	empty := predict(en, en.Models[0], 1, Load{}, 1000)
	if empty.FirstEvent < 55*time.Millisecond || empty.FirstEvent > 70*time.Millisecond {
		t.Errorf("empty group: first event after %v, want 55 to 70 ms", empty.FirstEvent)
	}
	busy := predict(en, en.Models[0], 1, Load{Requests: 20, ContextTokens: 20000, PrefillTokens: 3000}, 1000)
	if busy.FirstEvent <= empty.FirstEvent || busy.Pass <= empty.Pass || busy.Full {
		t.Errorf("busy group: %+v, want slower than the empty one: %+v", busy, empty)
	}
	if full := predict(en, en.Models[0], 1, Load{Requests: 26, ContextTokens: 20000, PrefillTokens: 3000}, 1000); !full.Full || full.FirstEvent <= busy.FirstEvent {
		t.Errorf("full group: %+v, want full and slower than the busy one", full)
	}
	if slow := predict(en, en.Models[0], 4, Load{}, 1000); slow.FirstEvent < 3*empty.FirstEvent {
		t.Errorf("slow group: first event after %v, want at least 3 times the %v of the empty one", slow.FirstEvent, empty.FirstEvent)
	}
}

// Many requests arrive at once, as after a wave of refusals. Checks that they are distributed over
// the groups, and that those beyond the groups' slots are refused at once with a retry time.
func TestBurstIsSpreadAndBounded(t *testing.T) {
	ta := table(group("a", "here"), group("b", "here"), group("c", "there"))
	picked, refused := map[string]int{}, 0
	for range 120 {
		ch, ti := ta.Pick(testRequest(), ignore, begin)
		if ti == nil {
			refused++
			if ch.RetryAfter <= 0 {
				t.Fatal("refused without a retry time")
			}
			continue
		}
		picked[ch.Group.Name]++
	}
	for _, name := range []string{"a", "b", "c"} {
		if picked[name] == 0 || picked[name] > 26 {
			t.Errorf("%d requests at group %s, want 1 to 26", picked[name], name)
		}
	}
	if refused == 0 {
		t.Error("none of 120 requests was refused by 3 groups of 26 slots")
	}
}

// Each daemon receives a part of the traffic. Checks that the load reported by other daemons counts,
// and is discarded when their reports stop.
func TestPeerLoadCounts(t *testing.T) {
	ta := table(group("a", "here"), group("b", "here"))
	ta.ApplyPeerWork("other", Work{Loads: map[string]Load{"a": {Requests: 26, ContextTokens: 30000}}}, begin)
	for range 5 {
		if ch, _ := ta.Pick(testRequest(), ignore, begin); ch.Group == nil || ch.Group.Name != "b" {
			t.Fatalf("picked %v, want b: the other daemon has filled group a", ch.Group)
		}
	}
	ta.ApplyPeerWork("third", Work{}, begin.Add(maxPeerLoadAge+time.Second))
	if ch, _ := ta.Pick(testRequest(), ignore, begin.Add(maxPeerLoadAge+time.Second)); ch.Group.Name != "a" {
		t.Error("an expired report still counts")
	}
}

// One daemon aggregates the loads of all and relays to each one the load of the others. Checks that
// no load counts twice, whether it was reported directly or relayed last.
func TestRelayedWork(t *testing.T) {
	steward, other := table(group("a", "here"), group("b", "here")), table(group("a", "here"), group("b", "here"))
	if _, ti := steward.Pick(testRequest(other.groups["b"], steward.groups["b"]), ignore, begin); ti == nil {
		t.Fatal("request refused")
	}
	steward.ApplyPeerWork("one", Work{Loads: map[string]Load{"a": {Requests: 2}, "b": {Requests: 1}}}, begin)
	steward.ApplyPeerWork("two", Work{Loads: map[string]Load{"a": {Requests: 5}}}, begin)
	steward.ApplyPeerWork("two", Work{Loads: map[string]Load{"a": {Requests: 4}}}, begin)
	if got := steward.WorkExcept("one", begin).Loads; got["a"].Requests != 5 || got["b"].Requests != 0 {
		t.Errorf("work of all but daemon one: %v, want 4 + 1 requests at a", got)
	}
	other.ApplyPeerWork("two", Work{Loads: map[string]Load{"a": {Requests: 9}}}, begin)
	other.ApplyRelayedWork(steward.WorkExcept("one", begin), begin)
	if got := other.groups["a"].peerLoad.Requests; got != 5 {
		t.Errorf("%d requests of other daemons at a, want 5", got)
	}
	other.ApplyPeerWork("two", Work{Loads: map[string]Load{"a": {Requests: 3}}}, begin)
	if got := other.groups["a"].peerLoad.Requests; got != 3 {
		t.Errorf("%d requests of other daemons at a after a direct report, want 3", got)
	}
}

// The streams of a group stall. Checks that new requests are sent to other groups at once, and that
// the stall callbacks of its requests are called if it has lost a member.
func TestStall(t *testing.T) {
	ta := table(group("a", "here"), group("b", "here"))
	ctx, cancel := context.WithCancelCause(context.Background())
	ch, ti := ta.Pick(testRequest(), cancel, begin)
	ti.Event(begin.Add(50 * time.Millisecond))
	if got := ta.StalledGroups(begin.Add(200 * time.Millisecond)); len(got) != 0 {
		t.Fatalf("groups %v stalled after 150 ms, want none", got)
	}
	later := begin.Add(time.Second)
	if got := ta.StalledGroups(later); len(got) != 1 || got[0].Name != ch.Group.Name {
		t.Fatalf("stalled groups: %v, want %s", got, ch.Group.Name)
	}
	for range 10 {
		if other, _ := ta.Pick(testRequest(), ignore, later); other.Group == ch.Group {
			t.Fatal("a request was sent to a stalled group")
		}
	}
	ta.MarkBroken(ch.Group.Name, later)
	if !errors.Is(context.Cause(ctx), ErrStalled) {
		t.Errorf("stall callback of a request at the broken group called with %v, want ErrStalled", context.Cause(ctx))
	}
}

// Checks that an event after a stall makes the group available again.
func TestStallEnds(t *testing.T) {
	ta := table(group("a", "here"))
	_, ti := ta.Pick(testRequest(), ignore, begin)
	ta.StalledGroups(begin.Add(time.Second))
	if ch, _ := ta.Pick(testRequest(), ignore, begin.Add(time.Second)); ch.Group != nil {
		t.Fatal("picked a stalled group")
	}
	ti.Event(begin.Add(1100 * time.Millisecond))
	if ch, _ := ta.Pick(testRequest(), ignore, begin.Add(1100*time.Millisecond)); ch.Group == nil {
		t.Error("the group is not used after its stall has ended")
	}
}

// A loaded group takes long for its first event, and no other stream of this daemon emits events
// there. Checks that it counts as stalled only far beyond the prediction, and is used again once its
// members have responded.
func TestSlowFirstEventIsNoStall(t *testing.T) {
	ta := table(group("a", "here"))
	ta.ApplyPeerWork("other", Work{Loads: map[string]Load{"a": {Requests: 22, ContextTokens: 30000, PrefillTokens: 9000}}}, begin)
	ne := testRequest()
	ne.Objective, ne.MaxPause = time.Second, time.Second
	if _, ti := ta.Pick(ne, ignore, begin); ti == nil {
		t.Fatal("request refused")
	}
	if got := ta.StalledGroups(begin.Add(400 * time.Millisecond)); len(got) != 0 {
		t.Errorf("stalled after 400 ms although the first event is predicted after about 300 ms")
	}
	later := begin.Add(3 * time.Second)
	if got := ta.StalledGroups(later); len(got) != 1 {
		t.Fatal("not stalled after 3 s")
	}
	ta.MarkHealthy("a")
	if ch, _ := ta.Pick(ne, ignore, later); ch.Group == nil {
		t.Error("not used although all members have responded")
	}
}

// The leader of a group fails while this daemon has no stream there, so no stall is observed. Checks
// that the first failed connection excludes the group: otherwise each request waits for the
// connection timeout first, and its answer from the next group is late.
func TestUnreachableLeaderExcludesGroup(t *testing.T) {
	ta := table(group("a", "here"), group("b", "here"))
	ch, ti := ta.Pick(testRequest(), ignore, begin)
	ta.MarkUnreachable(ch.Group)
	ti.End()
	if got := ta.StalledGroups(begin); len(got) != 1 || got[0].Name != ch.Group.Name {
		t.Errorf("groups to probe: %v, want %s", got, ch.Group.Name)
	}
	for range 10 {
		other, ti := ta.Pick(testRequest(), ignore, begin)
		if other.Group == ch.Group {
			t.Fatal("a request was sent to a group whose leader is unreachable")
		}
		ti.End()
	}
	ta.MarkHealthy(ch.Group.Name)
	if got := ta.StalledGroups(begin.Add(time.Minute)); len(got) != 0 {
		t.Errorf("groups to probe: %v, want none after all members have responded", got)
	}
	used := false
	for range 40 {
		other, _ := ta.Pick(testRequest(), ignore, begin)
		used = used || other.Group == ch.Group
	}
	if !used {
		t.Error("the group is not used although all members have responded")
	}
}

// A group leaves the view while its streams emit events: they must finish. If they stall, they must
// have their stall callbacks called, without probes of the members.
func TestGroupLeavesView(t *testing.T) {
	ta := table(group("a", "here"))
	ctx, cancel := context.WithCancelCause(context.Background())
	_, ti := ta.Pick(testRequest(), cancel, begin)
	ti.Event(begin)
	ta.Update(&catalog.View{}, &catalog.Config{}, begin)
	ta.StalledGroups(begin.Add(100 * time.Millisecond))
	if ctx.Err() != nil {
		t.Fatal("the stall callback of an active stream was called")
	}
	ta.StalledGroups(begin.Add(time.Second))
	if ctx.Err() == nil {
		t.Error("the stall callback of a stalled stream at a group outside the view was not called")
	}
}

// Guards against trying another group for streams that emit events at a group outside the view because
// one connection to its leader has failed: that connection was opened for a request picked before the group left.
func TestFailedConnectionKeepsActiveStreams(t *testing.T) {
	ta := table(group("a", "here"))
	ctx, cancel := context.WithCancelCause(context.Background())
	ch, ti := ta.Pick(testRequest(), cancel, begin)
	ti.Event(begin)
	ta.Update(&catalog.View{}, &catalog.Config{}, begin)
	ta.MarkUnreachable(ch.Group)
	ta.StalledGroups(begin.Add(100 * time.Millisecond))
	if ctx.Err() != nil {
		t.Fatal("the stall callback of an active stream was called")
	}
	ta.StalledGroups(begin.Add(time.Second))
	if ctx.Err() == nil {
		t.Error("the stall callback of a stalled stream at a group outside the view was not called")
	}
}

// Checks that the load of a request is counted until it ends, and exactly once.
func TestLoadIsReleased(t *testing.T) {
	ta := table(group("a", "here"))
	_, ti := ta.Pick(testRequest(), ignore, begin)
	if got, want := ta.OwnWork(begin).Loads["a"], (Load{Requests: 1, PrefillTokens: 1000}); got != want {
		t.Errorf("before the first event: %+v, want %+v", got, want)
	}
	ti.Event(begin)
	ti.Event(begin)
	if got, want := ta.OwnWork(begin).Loads["a"], (Load{Requests: 1, ContextTokens: 1014}); got != want {
		t.Errorf("after two events: %+v, want %+v", got, want)
	}
	ti.End()
	ti.End()
	if got := ta.OwnWork(begin).Loads; len(got) != 0 {
		t.Errorf("after the end: %+v, want no load", got)
	}
}

// Checks that retries stay within the ratio and the slack in any window, however many requests fail.
func TestBudget(t *testing.T) {
	bu := &Budget{Ratio: 0.2, Slack: 5, Window: 10 * time.Second}
	var spent []time.Time
	for i := range 2000 {
		now := begin.Add(time.Duration(i) * 20 * time.Millisecond)
		bu.Earn("some", now)
		if bu.Spend("some", now) {
			spent = append(spent, now)
		}
	}
	const most = 0.2*500 + 5
	for i, from := range spent {
		num := 0
		for _, at := range spent[i:] {
			if at.Sub(from) < 10*time.Second {
				num++
			}
		}
		if float64(num) > most*1.1 {
			t.Fatalf("%d retries in a window of 500 requests, want at most the ratio plus the slack", num)
		}
	}
	if len(spent) < 300 {
		t.Errorf("%d retries of 2,000 requests, want at least 300", len(spent))
	}
	if !bu.Spend("other", begin) {
		t.Error("the first retry to another service was refused")
	}
}

func plainView(ids ...string) *catalog.View {
	vi := &catalog.View{}
	for _, id := range ids {
		vi.Plain = append(vi.Plain, catalog.PlainEndpoint{ID: id, Service: "desk", DataCenter: "here"})
	}
	return vi
}

// An endpoint accepts connections but fails all requests. Checks that it gets few requests while
// another endpoint works.
func TestFailingEndpointIsAvoided(t *testing.T) {
	pl := &PlainTable{DataCenter: "here"}
	pl.Update(plainView("good", "bad"))
	now := begin
	picked := map[string]int{}
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		ep := pl.Pick("desk", nil, now)
		picked[ep.ID]++
		if ep.ID == "bad" {
			pl.RecordFailure(ep, now)
			continue
		}
		pl.RecordResponse(ep, time.Millisecond, false, now)
	}
	if picked["bad"] > 10 {
		t.Errorf("%d of 200 requests went to the failing endpoint, want at most 10", picked["bad"])
	}
	if picked["good"] == 0 {
		t.Error("the working endpoint was not used")
	}
}

// Guards against an endpoint that is avoided forever after failures because the others always have a
// lower cost while there are few requests.
func TestFailedEndpointIsRetried(t *testing.T) {
	pl := &PlainTable{DataCenter: "here"}
	pl.Update(plainView("good", "bad"))
	now, failures := begin, 0
	for range 400 {
		now = now.Add(100 * time.Millisecond)
		ep := pl.Pick("desk", nil, now)
		if ep.ID == "bad" && failures < 3 {
			failures++
			pl.RecordFailure(ep, now)
			continue
		}
		pl.RecordResponse(ep, time.Millisecond, false, now)
		if ep.ID == "bad" {
			return
		}
	}
	t.Errorf("not used within 40 s after %d failures", failures)
}

// Checks that a leaving endpoint gets no new requests, even if it is the only one.
func TestLeavingEndpoint(t *testing.T) {
	pl := &PlainTable{}
	vi := plainView("only")
	vi.Plain[0].Leaving = true
	pl.Update(vi)
	if ep := pl.Pick("desk", nil, begin); ep != nil {
		t.Errorf("picked %s, which is leaving", ep.ID)
	}
}

func BenchmarkPick(b *testing.B) {
	var groups []catalog.Group
	for i := range 40 {
		groups = append(groups, group(fmt.Sprint("group-", i), "here"))
	}
	ta := table(groups...)
	for b.Loop() {
		if _, ti := ta.Pick(testRequest(), ignore, begin); ti != nil {
			ti.End()
		}
	}
}

// An endpoint that failed is avoided. Checks that it gets its share of the requests at once after a
// restart under the same ID.
func TestRestartedEndpointIsNotAvoided(t *testing.T) {
	now := time.Unix(1000, 0)
	pl := &PlainTable{}
	view := func(in catalog.Incarnation) *catalog.View {
		return &catalog.View{Plain: []catalog.PlainEndpoint{{ID: "i-1", Service: "desk", Incarnation: in}, {ID: "i-2", Service: "desk", Incarnation: 1}}}
	}
	pl.Update(view(1))
	for range 20 {
		ep := pl.Pick("desk", nil, now)
		if ep.ID == "i-1" {
			pl.RecordFailure(ep, now)
		} else {
			pl.Release(ep)
		}
	}
	pl.Update(view(2))
	picked := 0
	for range 100 {
		if ep := pl.Pick("desk", nil, now); ep.ID == "i-1" {
			picked++
		}
	}
	if picked < 25 {
		t.Errorf("%d of 100 requests went to the restarted endpoint, want at least 25", picked)
	}
}
