package dispatch

import (
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/backpressure"
	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// Guards against requests for a group that takes none now, and against a wait for it that the
// caller isn't told of: groups with room must get all, and if there is none, the answer says
// when to come again.
func TestLimitedGroup(t *testing.T) {
	now := time.Unix(100, 0)
	en := &catalog.Engine{Slots: 26, Stride: 7, Step: 6 * time.Millisecond, PrefillPerSecond: 50000, MeanAnswer: 100,
		Models: []catalog.Model{{Name: "large", Size: 1, Pace: 1}}}
	cfg := &catalog.Config{Services: map[string]catalog.Service{"engine": {Engine: en}}}
	vi := &catalog.View{}
	for _, name := range []string{"one", "other"} {
		vi.Groups = append(vi.Groups, catalog.Group{Name: name, Service: "engine", Model: "large", Members: []catalog.Member{{ID: "head-" + name}}})
	}
	ne := Request{Service: "engine", Model: "large", Prompt: 100, Objective: time.Second, MaxPause: time.Second, MaxWait: time.Second}
	reg := &backpressure.Register{}
	ta := &Table{Backpressure: reg}
	ta.Update(vi, cfg, now)
	limit := backpressure.Limit{PerSecond: 2, Named: true}
	reg.SetLimit(vi.Groups[0].Members[0].Instance(), limit, now, now)
	for range 10 {
		ch, ti := ta.Pick(ne, nil, now)
		if ti == nil || ch.Group.Name != "other" {
			t.Fatalf("picked %+v", ch)
		}
		ti.End()
	}
	reg.SetLimit(vi.Groups[1].Members[0].Instance(), limit, now, now)
	ch, ti := ta.Pick(ne, nil, now)
	if ti != nil || !ch.AllLimited || ch.RetryAfter <= 0 || ch.RetryAfter > 500*time.Millisecond {
		t.Errorf("both limited: %+v", ch)
	}
	if ch, ti = ta.Pick(ne, nil, now.Add(ch.RetryAfter)); ti == nil {
		t.Errorf("not taken when it was told to come: %+v", ch)
	}
}

// Guards against the same on services without groups.
func TestLimitedPlainEndpoint(t *testing.T) {
	now := time.Unix(100, 0)
	vi := &catalog.View{Plain: []catalog.PlainEndpoint{{ID: "one", Service: "desk"}, {ID: "other", Service: "desk"}}}
	reg := &backpressure.Register{}
	pl := &Plain{Backpressure: reg}
	pl.Update(vi)
	limit := backpressure.Limit{PerSecond: 2, Named: true}
	reg.SetLimit(vi.Plain[0].Instance(), limit, now, now)
	for range 10 {
		if ep := pl.Pick("desk", nil, now); ep == nil || ep.ID != "other" {
			t.Fatalf("picked %+v", ep)
		}
	}
	reg.SetLimit(vi.Plain[1].Instance(), limit, now, now)
	if ep := pl.Pick("desk", nil, now); ep != nil {
		t.Errorf("both limited: picked %s", ep.ID)
	}
	again := pl.WaitTime("desk", now)
	if again <= 0 || again > 500*time.Millisecond {
		t.Errorf("to come again after %s", again)
	}
	if pl.Pick("desk", nil, now.Add(again)) == nil {
		t.Error("not taken when it was told to come")
	}
}
