package dispatch

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// configs are configurations that may follow each other, with the view that goes with each.
func configs() []*catalog.Config {
	full, other := engine(), engine()
	full.Slots, other.Slots = 2, 3
	other.Models = []catalog.Model{{Name: "small", Size: 2, Pace: 0.6}}
	var all []*catalog.Config
	for _, services := range []map[string]catalog.Service{
		{"engine": {Engine: full}},
		{"engine": {Engine: other}},
		{"engine": {}},
		{},
	} {
		all = append(all, &catalog.Config{Services: services})
	}
	return all
}

// Guards against a request that ends without a response because a change of the configuration or of
// the view, while it waits or runs, makes its handler panic.
func TestChangesWhileRequestsRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, all := begin, configs()
		ta := &Table{DataCenter: "here", BoundedWait: true, ScheduleReturns: true, FairShares: true}
		type request struct {
			ctx context.Context
			ti  *Ticket
		}
		var running []request
		var waiting []*Waiter
		names := rapid.SampledFrom([]string{"a", "b", "c"})
		t.Repeat(map[string]func(*rapid.T){
			"update": func(t *rapid.T) {
				var vi catalog.View
				for _, name := range rapid.SliceOfDistinct(names, rapid.ID[string]).Draw(t, "groups") {
					gr := group(name, "here")
					gr.Model = rapid.SampledFrom([]string{"large", "small"}).Draw(t, "model of group")
					gr.Draining = rapid.Bool().Draw(t, "draining")
					vi.Groups = append(vi.Groups, gr)
				}
				ta.Update(&vi, rapid.SampledFrom(all).Draw(t, "configuration"), now)
			},
			"pick": func(t *rapid.T) {
				ne := testRequest()
				ne.Model = rapid.SampledFrom([]string{"large", "small", "unknown"}).Draw(t, "model")
				ne.Resumed, ne.Rank = rapid.Bool().Draw(t, "resumed"), rapid.IntRange(0, 9).Draw(t, "rank")
				ne.Wake, ne.Left = func() {}, 5*time.Second
				ctx, cancel := context.WithCancelCause(context.Background())
				ch, ti := ta.Pick(ne, cancel, now)
				if ti != nil {
					running = append(running, request{ctx, ti})
				}
				if ch.Waiter != nil {
					waiting = append(waiting, ch.Waiter)
				}
			},
			"end": func(t *rapid.T) {
				if len(running) > 0 {
					at := rapid.IntRange(0, len(running)-1).Draw(t, "request")
					rapid.SampledFrom([]func(){running[at].ti.End, func() { running[at].ti.EndAt(now) }, func() { running[at].ti.Return(now) }}).Draw(t, "way")()
					running = append(running[:at], running[at+1:]...)
				}
			},
			"event": func(t *rapid.T) {
				if len(running) > 0 {
					running[rapid.IntRange(0, len(running)-1).Draw(t, "request")].ti.Event(now)
				}
			},
			"end wait": func(t *rapid.T) {
				if len(waiting) > 0 {
					if _, ti := ta.EndWait(waiting[0]); ti == nil {
						ta.RefuseWaiter(waiting[0], now)
					} else {
						ti.End()
					}
					waiting = waiting[1:]
				}
			},
			"broken":  func(t *rapid.T) { ta.MarkBroken(names.Draw(t, "group"), now) },
			"healthy": func(t *rapid.T) { ta.MarkHealthy(names.Draw(t, "group")) },
			"late":    func(*rapid.T) { ta.HoldLate(testRequest(), time.Second, now) },
			"stalls":  func(*rapid.T) { ta.StalledGroups(now); ta.RecoveredGroups() },
			"lost path": func(*rapid.T) {
				ta.ReportSilent(func(string) (time.Time, bool) { return now, true }, now)
			},
			"unreachable": func(t *rapid.T) {
				if len(running) > 0 {
					ta.MarkUnreachable(running[0].ti.Group)
				}
			},
			"wait time":   func(*rapid.T) { ta.WaitTime(testRequest(), now) },
			"daemon stop": func(*rapid.T) { ta.StopWaiting() },
			"": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}
