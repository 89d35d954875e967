package caller

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/admit"
	"corianderhub.dev/corianderhub/internal/core/control"
	"corianderhub.dev/corianderhub/internal/core/fleet"
	"corianderhub.dev/corianderhub/internal/core/intent"
	"corianderhub.dev/corianderhub/internal/core/route"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

// viewOf returns a view with the model "m" and a group that serves it, or with neither.
func viewOf(declared bool) *control.View {
	vi := &control.View{Config: &intent.Config{Models: map[string]intent.Model{}}}
	if declared {
		vi.Config.Models["m"] = intent.Model{Name: "m", CapacityTokens: 100}
		vi.Groups = []control.Target{{Group: fleet.Group{ID: "g", Model: "m"}, Local: true}}
	}
	return vi
}

// Guards against a request that waits until its deadline for a model that the configuration has removed,
// and against a group of that model that is still chosen.
func TestRemovedModelRefusesWaitingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ps := &Pools{Clock: clock.System{}, Policy: route.TokenAffinity{}}
		ps.Update(viewOf(true))
		po, ok := ps.find("m")
		if !ok {
			t.Fatal("the model has no pool")
		}
		item := admit.Item{Workspace: "nursery", Share: 1, Tokens: 100, Deadline: time.Now().Add(maxStartWait)}
		if err := po.gate.enter(context.Background(), item); err != nil {
			t.Fatal(err)
		}
		begin := time.Now()
		refused := make(chan error, 1)
		go func() { refused <- po.gate.enter(context.Background(), item) }()
		synctest.Wait()
		ps.Update(viewOf(false))
		err := <-refused
		if took := time.Since(begin); took != 0 || verdict.Of(err) != verdict.NotRun {
			t.Errorf("got %v after %v, want a refusal at once", err, took)
		}
		if gr := po.router.Pick(route.Request{}); gr != nil {
			t.Errorf("got group %s of the removed model, want none", gr.ID)
		}
		po.gate.leave(item.Tokens)
		ps.Update(viewOf(true))
		if err := po.gate.enter(context.Background(), item); err != nil {
			t.Errorf("model declared again: %v", err)
		}
	})
}
