package entry

import (
	"context"
	"errors"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/internal/mesh"
	"corianderhub.dev/corianderhub/platform"
)

const (
	// watchTimeout is the duration of a watch. A watch may miss a change, so a lack of
	// changes is trusted no longer than this.
	watchTimeout = 800 * time.Millisecond
	// watchPause is the time to wait after a change, so that changes close together are
	// fetched in one call.
	watchPause = 40 * time.Millisecond
	// retryPause is the time between calls to a store that does not answer. It doubles up
	// to maxRetryPause, since rejected calls count toward the store's limits too.
	retryPause    = 250 * time.Millisecond
	maxRetryPause = time.Second
	// retryPauseOthers and maxRetryPauseOthers apply to daemons that are not deputies; the
	// deputies notify them when the store is back.
	retryPauseOthers    = time.Second
	maxRetryPauseOthers = 8 * time.Second
	// idlePause is the time between checks whether to follow the store again.
	idlePause = 100 * time.Millisecond
)

// follower reads all items under a prefix of the store and watches them for changes.
type follower struct {
	ct     *control
	prefix string
	// snapshot receives all items, and whether the store was unavailable before. changed
	// receives the items that have changed.
	snapshot func(items []platform.Item, at catalog.Position, wasUnavailable bool)
	changed  func(items []platform.Item)
	// after is the position from which to continue; the zero value means to read everything.
	// generation is the follow generation for which it is valid.
	after      catalog.Position
	generation int
	failing    bool
	// pause is the time until the next attempt while the store does not answer.
	pause time.Duration
}

// followConfig follows the configuration in the store until ctx ends.
func (ct *control) followConfig(ctx context.Context) {
	apply := func(items []platform.Item) {
		for _, it := range items {
			if it.Key == platform.ConfigKey && !it.Deleted {
				ct.setConfig(it.Value, it.Revision, fromStore)
			}
		}
	}
	fo := &follower{ct: ct, prefix: platform.ConfigPrefix,
		changed: func(items []platform.Item) {
			ct.changeEvacuation(items)
			apply(items)
		},
		snapshot: func(items []platform.Item, at catalog.Position, _ bool) {
			ct.readEvacuation(items, at)
			apply(items)
		}}
	fo.run(ctx)
}

// followEndpoints follows the endpoint entries in the store until ctx ends.
func (ct *control) followEndpoints(ctx context.Context) {
	fo := &follower{ct: ct, prefix: platform.EndpointPrefix, snapshot: ct.applySnapshot, changed: ct.applyChanges}
	fo.run(ctx)
}

// run follows the store whenever this daemon is to follow it, until ctx ends.
func (fo *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		generation := fo.ct.followGeneration()
		if generation != fo.generation {
			fo.after, fo.generation = catalog.Position{}, generation
		}
		if generation == 0 {
			_ = fo.ct.da.Clock.Sleep(ctx, idlePause) // The loop checks ctx.
			continue
		}
		if err := fo.followOnce(ctx); err != nil && ctx.Err() == nil {
			fo.handleFailure(err)
			_ = fo.ct.da.Clock.Sleep(ctx, fo.pause) // The loop checks ctx.
		}
	}
}

// followOnce reads all items if needed and then watches for changes once.
func (fo *follower) followOnce(ctx context.Context) error {
	if fo.after == (catalog.Position{}) {
		items, at, err := fo.ct.da.store.Range(ctx, fo.prefix)
		if err != nil {
			return err
		}
		wasUnavailable := fo.failing
		fo.handleRecovery()
		fo.after = at
		fo.ct.post(func() {
			fo.snapshot(items, at, wasUnavailable)
			fo.ct.confirmPrefix(fo.prefix)
		})
	}
	items, _, err := fo.ct.da.store.Watch(ctx, fo.prefix, fo.after, watchTimeout)
	if errors.Is(err, platform.ErrCompacted) || errors.Is(err, platform.ErrRestored) {
		fo.ct.da.Log.Info("store: history compacted, reading all items again.", "prefix", fo.prefix, "cause", err.Error())
		fo.after = catalog.Position{}
		return nil
	}
	if err != nil {
		return err
	}
	// Only received changes advance the revision: a response without changes may carry a
	// revision newer than changes that the watch has not delivered yet.
	for _, it := range items {
		fo.after.Revision = max(fo.after.Revision, it.Revision)
	}
	fo.handleRecovery()
	fo.ct.post(func() {
		if len(items) > 0 {
			fo.changed(items)
		}
		fo.ct.confirmPrefix(fo.prefix)
	})
	if len(items) > 0 {
		return fo.ct.da.Clock.Sleep(ctx, watchPause)
	}
	return nil
}

// handleFailure records a failed call to the store and sets the pause before the next
// attempt. Following restarts with a full read.
func (fo *follower) handleFailure(err error) {
	if !fo.failing {
		fo.ct.da.Log.Warn("store: lost.", "prefix", fo.prefix, "cause", err.Error())
	}
	least, most := fo.ct.retryPauses()
	fo.pause = min(most, max(least, 2*fo.pause))
	if fo.prefix == platform.EndpointPrefix {
		fo.ct.storeUnavailable.Store(true)
	} else if fo.ct.storeUnavailable.Load() {
		// The follower of the endpoints detects when the store is back.
		fo.pause = most
	}
	fo.failing = true
	fo.after = catalog.Position{}
}

// handleRecovery records a successful call to the store.
func (fo *follower) handleRecovery() {
	if fo.failing {
		fo.ct.da.Log.Info("store: regained.", "prefix", fo.prefix)
	}
	if fo.prefix == platform.EndpointPrefix {
		fo.ct.storeUnavailable.Store(false)
	}
	fo.failing, fo.pause = false, 0
}

// confirmPrefix records that the store has just confirmed the items under prefix. The state
// is as old as the older of the endpoints and the configuration.
func (ct *control) confirmPrefix(prefix string) {
	now := ct.da.Clock.Now()
	if prefix == platform.EndpointPrefix {
		ct.lease.endpointsAt = now
	} else {
		ct.lease.configAt = now
	}
	at := ct.lease.endpointsAt
	if ct.lease.configAt.Before(at) {
		at = ct.lease.configAt
	}
	wasStale := ct.age(now) > staleAfter
	ct.confirm(at)
	if wasStale && ct.age(now) < freshAfter && ct.lease.core == nil && ct.deputy.Load() && !ct.da.mesh.Direct() {
		// Without this heartbeat the other daemons would begin to follow the store
		// themselves.
		ct.sendHeartbeat(heartbeatExtra{to: mesh.ToEveryone})
	}
}

// retryPauses returns the minimum and maximum time between calls to a store that does not
// answer.
func (ct *control) retryPauses() (least, most time.Duration) {
	if ct.deputy.Load() || ct.da.mesh.Direct() {
		return retryPause, maxRetryPause
	}
	return retryPauseOthers, maxRetryPauseOthers
}

// follows reports whether this daemon follows the store itself.
func (ct *control) follows() bool { return ct.followGeneration() > 0 }

// followGeneration returns the current follow generation, or 0 if this daemon does not
// follow the store.
func (ct *control) followGeneration() int {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	if !ct.following {
		return 0
	}
	return ct.generation
}

// stepFollowing decides whether to follow the store. The steward does, and so do daemons
// without a recent heartbeat from the steward or a deputy.
func (ct *control) stepFollowing(now time.Time) {
	age := ct.age(now)
	following := ct.follows()
	want := following
	switch {
	case ct.lease.core != nil:
		want = true
	case age > staleAfter && (ct.isDeputy(now) || ct.deputyStaleness(now) > staleAfter+deputyTimeout):
		want = true
	case now.Sub(ct.lastStewardHeartbeat) < freshAfter && ct.steward.StateAge < freshAfter:
		want = false
	case following && !ct.isDeputy(now) && now.Sub(ct.deputyConfirmedAt()) < freshAfter:
		// The deputy that was late is up to date again. Each other daemon that keeps
		// following the store costs two calls per second and one per change.
		want = false
	}
	if want == following {
		return
	}
	ct.mu.Lock()
	ct.following = want
	if want {
		ct.generation++
	}
	ct.mu.Unlock()
	if want {
		ct.removeDropped()
	}
	ct.haveAll = ct.haveAll && want
	ct.da.Log.Info("control: following the store.", "on", want, "age-ms", age.Milliseconds())
	ct.updateView()
}
