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
	return &catalog.Engine{Slots: 26, Stride: 7, Step: 5950 * time.Microsecond, StepPerRequest: 44500 * time.Nanosecond,
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

func need(except ...*Group) Request {
	return Request{Service: "engine", Model: "large", Prompt: 1000, Objective: 300 * time.Millisecond,
		MaxPause: 300 * time.Millisecond, MaxWait: time.Second, Exclude: except}
}

func ignore(error) {}

// A pass of an empty group reads 1,000 tokens in 20 ms and runs seven steps of
// 6 ms; a full one takes longer, and a new request waits for half of it more.
func TestPredict(t *testing.T) {
	en := engine()
	empty := predict(en, en.Models[0], 1, Load{}, 1000)
	if empty.FirstEvent < 55*time.Millisecond || empty.FirstEvent > 70*time.Millisecond {
		t.Errorf("empty group: first event after %v", empty.FirstEvent)
	}
	busy := predict(en, en.Models[0], 1, Load{Requests: 20, Context: 20000, Prefill: 3000}, 1000)
	if busy.FirstEvent <= empty.FirstEvent || busy.Pass <= empty.Pass || busy.Full {
		t.Errorf("busy group: %+v, empty one: %+v", busy, empty)
	}
	if full := predict(en, en.Models[0], 1, Load{Requests: 26, Context: 20000, Prefill: 3000}, 1000); !full.Full || full.FirstEvent <= busy.FirstEvent {
		t.Errorf("full group: %+v", full)
	}
	if slow := predict(en, en.Models[0], 4, Load{}, 1000); slow.FirstEvent < 3*empty.FirstEvent {
		t.Errorf("slow group: first event after %v, sound one after %v", slow.FirstEvent, empty.FirstEvent)
	}
}

// Many requests arrive at once, as after a wave of refusals. They are spread
// over the groups, and those that no group could start in time are told so at
// once, with a time to come back.
func TestBurstIsSpreadAndBounded(t *testing.T) {
	ta := table(group("a", "here"), group("b", "here"), group("c", "there"))
	taken, refused := map[string]int{}, 0
	for range 120 {
		ch, ti := ta.Pick(need(), ignore, begin)
		if ti == nil {
			refused++
			if ch.RetryAfter <= 0 {
				t.Fatal("refused without a time to come back")
			}
			continue
		}
		taken[ch.Group.Name]++
	}
	for _, name := range []string{"a", "b", "c"} {
		if taken[name] == 0 || taken[name] > 26 {
			t.Errorf("%d requests at group %s", taken[name], name)
		}
	}
	if refused == 0 {
		t.Error("no request of 120 was refused by 3 groups of 26")
	}
}

// Daemons see a part of the traffic each. What the others tell of theirs
// counts, and stops counting when they fall silent.
func TestPeersCount(t *testing.T) {
	ta := table(group("a", "here"), group("b", "here"))
	ta.ApplyPeerWork("other", Work{Loads: map[string]Load{"a": {Requests: 26, Context: 30000}}}, begin)
	for range 5 {
		if ch, _ := ta.Pick(need(), ignore, begin); ch.Group == nil || ch.Group.Name != "b" {
			t.Fatalf("picked %v though the other daemon has filled group a", ch.Group)
		}
	}
	ta.ApplyPeerWork("third", Work{}, begin.Add(peerLoadAge+time.Second))
	if ch, _ := ta.Pick(need(), ignore, begin.Add(peerLoadAge+time.Second)); ch.Group.Name != "a" {
		t.Error("load told long ago still counts")
	}
}

// One daemon adds up the loads of all and tells each one what the others have
// sent. Nobody's load counts twice, whichever way it was told last.
func TestRelayedWork(t *testing.T) {
	steward, other := table(group("a", "here"), group("b", "here")), table(group("a", "here"), group("b", "here"))
	if _, ti := steward.Pick(need(other.groups["b"], steward.groups["b"]), ignore, begin); ti == nil {
		t.Fatal("not picked")
	}
	steward.ApplyPeerWork("one", Work{Loads: map[string]Load{"a": {Requests: 2}, "b": {Requests: 1}}}, begin)
	steward.ApplyPeerWork("two", Work{Loads: map[string]Load{"a": {Requests: 5}}}, begin)
	steward.ApplyPeerWork("two", Work{Loads: map[string]Load{"a": {Requests: 4}}}, begin)
	if got := steward.WorkExcept("one", begin).Loads; got["a"].Requests != 5 || got["b"].Requests != 0 {
		t.Errorf("others than one have sent %v, want 4 + 1 requests to a", got)
	}
	other.ApplyPeerWork("two", Work{Loads: map[string]Load{"a": {Requests: 9}}}, begin)
	other.ApplyRelayedWork(steward.WorkExcept("one", begin), begin)
	if got := other.groups["a"].peers.Requests; got != 5 {
		t.Errorf("%d requests of others at a, want 5", got)
	}
	other.ApplyPeerWork("two", Work{Loads: map[string]Load{"a": {Requests: 3}}}, begin)
	if got := other.groups["a"].peers.Requests; got != 3 {
		t.Errorf("%d requests of others at a after one told directly, want 3", got)
	}
}

// A group's streams stand still. New requests go elsewhere at once; when a
// member turns out to be lost, the requests end there so that they can go on
// at another group.
func TestStall(t *testing.T) {
	ta := table(group("a", "here"), group("b", "here"))
	ctx, cancel := context.WithCancelCause(context.Background())
	ch, ti := ta.Pick(need(), cancel, begin)
	ti.Event(begin.Add(50 * time.Millisecond))
	if got := ta.StalledGroups(begin.Add(200 * time.Millisecond)); len(got) != 0 {
		t.Fatalf("groups %v taken as standing still after 150 ms", got)
	}
	later := begin.Add(time.Second)
	if got := ta.StalledGroups(later); len(got) != 1 || got[0].Name != ch.Group.Name {
		t.Fatalf("standing still: %v, want %s", got, ch.Group.Name)
	}
	for range 10 {
		if other, _ := ta.Pick(need(), ignore, later); other.Group == ch.Group {
			t.Fatal("a request was sent to a group that stands still")
		}
	}
	ta.MarkBroken(ch.Group.Name, later)
	if !errors.Is(context.Cause(ctx), ErrStalled) {
		t.Errorf("the request goes on at the broken group: %v", context.Cause(ctx))
	}
}

// An event after a stall shows that the group goes on: it is used again.
func TestStallEnds(t *testing.T) {
	ta := table(group("a", "here"))
	_, ti := ta.Pick(need(), ignore, begin)
	ta.StalledGroups(begin.Add(time.Second))
	if ch, _ := ta.Pick(need(), ignore, begin.Add(time.Second)); ch.Group != nil {
		t.Fatal("picked a group that stands still")
	}
	ti.Event(begin.Add(1100 * time.Millisecond))
	if ch, _ := ta.Pick(need(), ignore, begin.Add(1100*time.Millisecond)); ch.Group == nil {
		t.Error("the group is not used although it goes on")
	}
}

// A loaded group takes long for its first event, and nothing of this daemon's
// writes there yet. It stands still only if it is far beyond the prediction;
// and once its members have answered it is used again.
func TestSlowFirstEventIsNoStall(t *testing.T) {
	ta := table(group("a", "here"))
	ta.ApplyPeerWork("other", Work{Loads: map[string]Load{"a": {Requests: 22, Context: 30000, Prefill: 9000}}}, begin)
	ne := need()
	ne.Objective, ne.MaxPause = time.Second, time.Second
	if _, ti := ta.Pick(ne, ignore, begin); ti == nil {
		t.Fatal("not picked")
	}
	if got := ta.StalledGroups(begin.Add(400 * time.Millisecond)); len(got) != 0 {
		t.Errorf("taken as standing still after 400 ms with a first event predicted at some 300 ms")
	}
	later := begin.Add(3 * time.Second)
	if got := ta.StalledGroups(later); len(got) != 1 {
		t.Fatal("not taken as standing still after 3 s")
	}
	ta.MarkHealthy("a")
	if ch, _ := ta.Pick(ne, ignore, later); ch.Group == nil {
		t.Error("not used although all members have answered")
	}
}

// A group's head dies while this daemon has no stream there, so nothing stands
// still. The first request that can't connect must be the last one: each waits for
// its time-out in vain, and the answer of the next group is late.
func TestUnreachableHeadIsSuspected(t *testing.T) {
	ta := table(group("a", "here"), group("b", "here"))
	ch, ti := ta.Pick(need(), ignore, begin)
	ta.MarkUnreachable(ch.Group)
	ti.End()
	if got := ta.StalledGroups(begin); len(got) != 1 || got[0].Name != ch.Group.Name {
		t.Errorf("members of %v are asked, want those of %s", got, ch.Group.Name)
	}
	for range 10 {
		other, ti := ta.Pick(need(), ignore, begin)
		if other.Group == ch.Group {
			t.Fatal("a request was sent to a group whose head can't be reached")
		}
		ti.End()
	}
	ta.MarkHealthy(ch.Group.Name)
	if got := ta.StalledGroups(begin.Add(time.Minute)); len(got) != 0 {
		t.Errorf("members of %v are asked again though all have answered", got)
	}
	used := false
	for range 40 {
		other, _ := ta.Pick(need(), ignore, begin)
		used = used || other.Group == ch.Group
	}
	if !used {
		t.Error("the group is not used although all members have answered")
	}
}

// A group leaves the view while its streams flow: they finish. If they stand
// still, they go on elsewhere without any question.
func TestGroupLeavesView(t *testing.T) {
	ta := table(group("a", "here"))
	ctx, cancel := context.WithCancelCause(context.Background())
	_, ti := ta.Pick(need(), cancel, begin)
	ti.Event(begin)
	ta.Update(&catalog.View{}, &catalog.Config{}, begin)
	ta.StalledGroups(begin.Add(100 * time.Millisecond))
	if ctx.Err() != nil {
		t.Fatal("a stream that flows was ended")
	}
	ta.StalledGroups(begin.Add(time.Second))
	if ctx.Err() == nil {
		t.Error("a stream that stands still at a group that is gone was not ended")
	}
}

// What a group works on is counted while it works on it, and no longer.
func TestLoadIsGivenBack(t *testing.T) {
	ta := table(group("a", "here"))
	_, ti := ta.Pick(need(), ignore, begin)
	if got, want := ta.OwnWork(begin).Loads["a"], (Load{Requests: 1, Prefill: 1000}); got != want {
		t.Errorf("before the first event: %+v, want %+v", got, want)
	}
	ti.Event(begin)
	ti.Event(begin)
	if got, want := ta.OwnWork(begin).Loads["a"], (Load{Requests: 1, Context: 1014}); got != want {
		t.Errorf("after two events: %+v, want %+v", got, want)
	}
	ti.End()
	ti.End()
	if got := ta.OwnWork(begin).Loads; len(got) != 0 {
		t.Errorf("after the end: %+v", got)
	}
}

// Endpoints fail many requests. What is sent once more stays within the ratio
// and the slack in any window, however many requests fail.
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
			t.Fatalf("%d repeats in a window of 500 requests", num)
		}
	}
	if len(spent) < 300 {
		t.Errorf("only %d repeats of 2,000 requests", len(spent))
	}
	if !bu.Spend("other", begin) {
		t.Error("another service has no slack of its own")
	}
}

func plainView(ids ...string) *catalog.View {
	vi := &catalog.View{}
	for _, id := range ids {
		vi.Plain = append(vi.Plain, catalog.PlainEndpoint{ID: id, Service: "desk", DataCenter: "here"})
	}
	return vi
}

// An endpoint accepts connections and fails what it is sent. Requests keep
// away from it, and come back once it has answered well again.
func TestFailingEndpointIsAvoided(t *testing.T) {
	pl := &Plain{DataCenter: "here"}
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
		t.Errorf("%d of 200 requests went to the failing endpoint", picked["bad"])
	}
	if picked["good"] == 0 {
		t.Error("the good endpoint was not used")
	}
}

// Guards against an endpoint that is left out for good after failures, since others always have
// less to do while requests are few.
func TestFailedEndpointIsTriedAgain(t *testing.T) {
	pl := &Plain{DataCenter: "here"}
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
	t.Errorf("not tried again in 40 s after %d failures", failures)
}

// An endpoint that leaves gets no new request, also when no other is there.
func TestLeavingEndpoint(t *testing.T) {
	pl := &Plain{}
	vi := plainView("only")
	vi.Plain[0].Leaving = true
	pl.Update(vi)
	if ep := pl.Pick("desk", nil, begin); ep != nil {
		t.Errorf("picked %s, which leaves", ep.ID)
	}
}

func BenchmarkPick(b *testing.B) {
	var groups []catalog.Group
	for i := range 40 {
		groups = append(groups, group(fmt.Sprint("group-", i), "here"))
	}
	ta := table(groups...)
	for b.Loop() {
		if _, ti := ta.Pick(need(), ignore, begin); ti != nil {
			ti.End()
		}
	}
}

// An endpoint that failed is avoided. When it has started again under its ID it is
// another one, and gets its part of the requests at once.
func TestRestartedEndpointIsNotAvoided(t *testing.T) {
	now := time.Unix(1000, 0)
	pl := &Plain{}
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
		t.Errorf("%d of 100 requests go to the endpoint that has started again", picked)
	}
}
