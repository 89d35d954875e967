package caller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/admit"
	"corianderhub.dev/corianderhub/internal/core/control"
	"corianderhub.dev/corianderhub/internal/core/gossip"
	"corianderhub.dev/corianderhub/internal/core/route"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

// Pools holds a router and an admission gate for each model. Set the exported
// fields before use.
type Pools struct {
	Clock  clock.Clock
	Policy route.Policy

	mu      sync.Mutex
	byModel map[string]*pool
}

// pool is what requests for one model share.
type pool struct {
	router *route.Router
	gate   *gate
}

// Update takes over a new view of the groups.
func (ps *Pools) Update(vi *control.View) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	targets := make(map[string][]route.Target)
	for _, ta := range vi.Groups {
		mo, ok := vi.Config.Models[ta.Group.Model]
		if !ok {
			continue
		}
		targets[mo.Name] = append(targets[mo.Name], route.Target{
			ID:         ta.Group.ID,
			Reported:   ta.Permit.Load.PendingTokens + ta.Permit.Load.ResidentTokens,
			ReportedAt: ta.Permit.At,
			Requests:   ta.Permit.Load.Requests,
			Capacity:   mo.CapacityTokens,
			Local:      ta.Local,
		})
	}
	for name := range vi.Config.Models {
		po := ps.pool(name)
		po.router.Update(targets[name])
		po.gate.setCapacity(capacity(po.router.Groups(), servingDaemons(vi)))
	}
}

// pool returns the pool of a model. Callers hold mu.
func (ps *Pools) pool(model string) *pool {
	if ps.byModel == nil {
		ps.byModel = make(map[string]*pool)
	}
	po, ok := ps.byModel[model]
	if !ok {
		po = &pool{router: route.New(ps.Policy), gate: newGate(ps.Clock)}
		ps.byModel[model] = po
	}
	return po
}

// find returns the pool of a declared model.
func (ps *Pools) find(model string) (*pool, bool) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	po, ok := ps.byModel[model]
	return po, ok
}

// capacity is how many tokens this daemon may have open: its part of every
// group, and beyond that its part of what the group's report shows as free.
// Daemons so share a group without asking each other, and one with more
// callers than its neighbours takes what they leave.
func capacity(groups []*route.Group, daemons int) int64 {
	total := int64(0)
	for _, gr := range groups {
		part := gr.Capacity() / int64(daemons)
		free := max(0, gr.Capacity()-gr.Load())
		total += max(part, gr.OpenTokens()+free/int64(daemons))
	}
	return total
}

func servingDaemons(vi *control.View) int {
	num := 0
	for _, dm := range vi.Daemons {
		if dm.State == gossip.Serving {
			num++
		}
	}
	return max(1, num)
}

// gate is an admission queue that requests can wait at.
type gate struct {
	clock  clock.Clock
	nextID atomic.Uint64

	mu      sync.Mutex
	queue   *admit.Queue
	waiting map[uint64]chan struct{}
}

func newGate(cl clock.Clock) *gate {
	return &gate{clock: cl, queue: admit.New(0, cl.Now()), waiting: make(map[uint64]chan struct{})}
}

// enter returns nil once the request may go on; leave must follow.
func (ga *gate) enter(ctx context.Context, it admit.Item) error {
	it.ID = ga.nextID.Add(1)
	ga.mu.Lock()
	if ga.queue.Capacity() == 0 {
		ga.mu.Unlock()
		return errNoGroup()
	}
	de := ga.queue.Arrive(ga.clock.Now(), it)
	start := make(chan struct{})
	if de.Verdict == admit.Queued {
		ga.waiting[it.ID] = start
	}
	ga.mu.Unlock()
	switch de.Verdict {
	case admit.Admitted:
		return nil
	case admit.Refused:
		return &verdict.Error{Code: verdict.CodeOverloaded, Verdict: verdict.NotRun, RetryAfter: de.RetryAfter,
			Message: "the request would not start before its deadline"}
	}
	return ga.wait(ctx, it, start)
}

func (ga *gate) wait(ctx context.Context, it admit.Item, start <-chan struct{}) error {
	ctx, cancel := context.WithTimeout(ctx, it.Deadline.Sub(ga.clock.Now()))
	defer cancel()
	select {
	case <-start:
		return nil
	case <-ctx.Done():
	}
	ga.mu.Lock()
	defer ga.mu.Unlock()
	delete(ga.waiting, it.ID)
	if !ga.queue.Cancel(it.Workspace, it.ID) {
		// It was admitted at the same moment.
		ga.release(ga.queue.Finish(ga.clock.Now(), it.Tokens))
	}
	return &verdict.Error{Code: verdict.CodeDeadline, Verdict: verdict.NotRun, RetryAfter: time.Second,
		Message: "the request did not start before its deadline"}
}

func (ga *gate) leave(tokens int64) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.release(ga.queue.Finish(ga.clock.Now(), tokens))
}

func (ga *gate) setCapacity(tokens int64) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.release(ga.queue.SetCapacity(ga.clock.Now(), tokens))
}

// release lets admitted requests go on. Callers hold mu.
func (ga *gate) release(items []admit.Item) {
	for _, it := range items {
		if start, ok := ga.waiting[it.ID]; ok {
			close(start)
			delete(ga.waiting, it.ID)
		}
	}
}

func errNoGroup() *verdict.Error {
	return &verdict.Error{Code: verdict.CodeNoGroup, Verdict: verdict.NotRun, RetryAfter: 2 * time.Second,
		Message: "no group serves this model now"}
}
