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

// pool is the state shared by all requests for one model.
type pool struct {
	router *route.Router
	gate   *admissionGate
}

// Update applies a new view: it updates the groups of each model and the
// capacity of its gate. Requests that wait for a model which is no longer
// declared are refused.
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
		po := ps.poolLocked(name)
		po.router.Update(targets[name])
		po.gate.setCapacity(daemonCapacity(po.router.Groups(), countServingDaemons(vi)))
	}
	for name, po := range ps.byModel {
		if _, ok := vi.Config.Models[name]; !ok {
			po.router.Update(nil)
			po.gate.refuseAll()
		}
	}
}

// poolLocked returns the pool of a model, creating it if needed. The caller must
// hold ps.mu.
func (ps *Pools) poolLocked(model string) *pool {
	if ps.byModel == nil {
		ps.byModel = make(map[string]*pool)
	}
	po, ok := ps.byModel[model]
	if !ok {
		po = &pool{router: route.New(ps.Policy), gate: newAdmissionGate(ps.Clock)}
		ps.byModel[model] = po
	}
	return po
}

// find returns the pool of a declared model, and false if no view has declared
// it.
func (ps *Pools) find(model string) (*pool, bool) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	po, ok := ps.byModel[model]
	return po, ok
}

// daemonCapacity returns how many tokens this daemon may have in flight. Each
// group adds the larger of two amounts: an equal share of its capacity, or the
// tokens already in flight plus an equal share of the capacity that the group's
// report shows as free.
// Daemons share a group this way without coordination, and a daemon with more
// callers uses what the others leave free.
func daemonCapacity(groups []*route.Group, daemons int) int64 {
	total := int64(0)
	for _, gr := range groups {
		share := gr.Capacity() / int64(daemons)
		free := max(0, gr.Capacity()-gr.Load())
		total += max(share, gr.OpenTokens()+free/int64(daemons))
	}
	return total
}

func countServingDaemons(vi *control.View) int {
	num := 0
	for _, dm := range vi.Daemons {
		if dm.State == gossip.Serving {
			num++
		}
	}
	return max(1, num)
}

// admissionGate is an admission queue with blocking waits.
type admissionGate struct {
	clock  clock.Clock
	nextID atomic.Uint64

	mu      sync.Mutex
	queue   *admit.Queue
	waiting map[uint64]*waiter
}

// waiter is a request that waits to be admitted.
type waiter struct {
	item admit.Item
	// ended is closed when the wait is over: refused is set if the request is
	// not admitted.
	ended   chan struct{}
	refused bool
}

func newAdmissionGate(cl clock.Clock) *admissionGate {
	return &admissionGate{clock: cl, queue: admit.New(0, cl.Now()), waiting: make(map[uint64]*waiter)}
}

// enter waits until the request is admitted and returns nil; the caller must
// then call leave. Otherwise it returns an error with verdict not-run.
func (ga *admissionGate) enter(ctx context.Context, it admit.Item) error {
	it.ID = ga.nextID.Add(1)
	ga.mu.Lock()
	if ga.queue.Capacity() == 0 {
		ga.mu.Unlock()
		return errNoGroup()
	}
	de := ga.queue.Arrive(ga.clock.Now(), it)
	wa := &waiter{item: it, ended: make(chan struct{})}
	if de.Verdict == admit.Queued {
		ga.waiting[it.ID] = wa
	}
	ga.mu.Unlock()
	switch de.Verdict {
	case admit.Admitted:
		return nil
	case admit.Refused:
		return &verdict.Error{Code: verdict.CodeOverloaded, Verdict: verdict.NotRun, RetryAfter: de.RetryAfter,
			Message: "the request would not start before its deadline"}
	}
	return ga.wait(ctx, wa)
}

func (ga *admissionGate) wait(ctx context.Context, wa *waiter) error {
	it := wa.item
	ctx, cancel := context.WithTimeout(ctx, it.Deadline.Sub(ga.clock.Now()))
	defer cancel()
	select {
	case <-wa.ended:
		if wa.refused {
			return errNoGroup()
		}
		return nil
	case <-ctx.Done():
	}
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if wa.refused {
		return errNoGroup()
	}
	delete(ga.waiting, it.ID)
	if !ga.queue.Cancel(it.Workspace, it.ID) {
		// The request was admitted concurrently; its tokens go to the next
		// ones.
		ga.start(ga.queue.Finish(ga.clock.Now(), it.Tokens))
	}
	return &verdict.Error{Code: verdict.CodeDeadline, Verdict: verdict.NotRun, RetryAfter: time.Second,
		Message: "the request did not start before its deadline"}
}

func (ga *admissionGate) leave(tokens int64) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.start(ga.queue.Finish(ga.clock.Now(), tokens))
}

func (ga *admissionGate) setCapacity(tokens int64) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.start(ga.queue.SetCapacity(ga.clock.Now(), tokens))
}

// start wakes the admitted requests. The caller must hold ga.mu.
func (ga *admissionGate) start(items []admit.Item) {
	for _, it := range items {
		if wa, ok := ga.waiting[it.ID]; ok {
			close(wa.ended)
			delete(ga.waiting, it.ID)
		}
	}
}

// refuseAll refuses the requests that wait, and new ones until the capacity is
// set again.
func (ga *admissionGate) refuseAll() {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	for id, wa := range ga.waiting {
		ga.queue.Cancel(wa.item.Workspace, id)
		wa.refused = true
		close(wa.ended)
		delete(ga.waiting, id)
	}
	ga.queue.SetCapacity(ga.clock.Now(), 0) // No request is left to be admitted.
}

func errNoGroup() *verdict.Error {
	return &verdict.Error{Code: verdict.CodeNoGroup, Verdict: verdict.NotRun, RetryAfter: 2 * time.Second,
		Message: "no group serves this model now"}
}
