package dispatch

import (
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/backpressure"
	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// Guards against requests to a group whose leader limits its request rate, and against refusals
// without a wait time: groups below their limits must get all requests, and if there are none, the
// choice says when to retry.
func TestLimitedGroup(t *testing.T) {
	now := time.Unix(100, 0)
	en := &catalog.Engine{Slots: 26, Stride: 7, StepTime: 6 * time.Millisecond, PrefillPerSecond: 50000, MeanAnswer: 100,
		Models: []catalog.Model{{Name: "large", Size: 1, Pace: 1}}}
	cfg := &catalog.Config{Services: map[string]catalog.Service{"engine": {Engine: en}}}
	vi := &catalog.View{}
	for _, name := range []string{"one", "other"} {
		vi.Groups = append(vi.Groups, catalog.Group{Name: name, Service: "engine", Model: "large", Members: []catalog.Member{{ID: "head-" + name}}})
	}
	ne := Request{Service: "engine", Model: "large", Prompt: 100, Objective: time.Second, MaxPause: time.Second, MaxWait: time.Second}
	tracker := &backpressure.Tracker{}
	ta := &Table{Backpressure: tracker}
	ta.Update(vi, cfg, now)
	limit := backpressure.Limit{PerSecond: 2, Named: true}
	tracker.SetLimit(vi.Groups[0].Members[0].Instance(), limit, now, now)
	for range 10 {
		ch, ti := ta.Pick(ne, nil, now)
		if ti == nil || ch.Group.Name != "other" {
			t.Fatalf("picked %+v, want group other", ch)
		}
		ti.End()
	}
	tracker.SetLimit(vi.Groups[1].Members[0].Instance(), limit, now, now)
	ch, ti := ta.Pick(ne, nil, now)
	if ti != nil || !ch.AllLimited || ch.RetryAfter <= 0 || ch.RetryAfter > 500*time.Millisecond {
		t.Errorf("both groups limited: got %+v, want no ticket and a wait of up to 500 ms", ch)
	}
	if ch, ti = ta.Pick(ne, nil, now.Add(ch.RetryAfter)); ti == nil {
		t.Errorf("refused after the stated wait: %+v", ch)
	}
}

// The same as TestLimitedGroup for the endpoints of a service without groups.
func TestLimitedPlainEndpoint(t *testing.T) {
	now := time.Unix(100, 0)
	vi := &catalog.View{Plain: []catalog.PlainEndpoint{{ID: "one", Service: "desk"}, {ID: "other", Service: "desk"}}}
	tracker := &backpressure.Tracker{}
	pl := &PlainTable{Backpressure: tracker}
	pl.Update(vi)
	limit := backpressure.Limit{PerSecond: 2, Named: true}
	tracker.SetLimit(vi.Plain[0].Instance(), limit, now, now)
	for range 10 {
		if ep := pl.Pick("desk", nil, now); ep == nil || ep.ID != "other" {
			t.Fatalf("picked %+v, want endpoint other", ep)
		}
	}
	tracker.SetLimit(vi.Plain[1].Instance(), limit, now, now)
	if ep := pl.Pick("desk", nil, now); ep != nil {
		t.Errorf("both endpoints limited: picked %s, want none", ep.ID)
	}
	wait := pl.WaitTime("desk", now)
	if wait <= 0 || wait > 500*time.Millisecond {
		t.Errorf("wait of %s, want up to 500 ms", wait)
	}
	if pl.Pick("desk", nil, now.Add(wait)) == nil {
		t.Error("refused after the stated wait")
	}
}
