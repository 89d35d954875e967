package entry

import (
	"context"
	"errors"
	"time"

	"corianderhub.dev/corianderhub/internal/mesh"
	"corianderhub.dev/corianderhub/platform"
)

const (
	// watchWait is how long a watch of the store waits. A watch may hear
	// nothing of a change, so its silence is believed no longer than this.
	watchWait = 800 * time.Millisecond
	// watchPause is the time after a change during which others may come that
	// are then fetched with the same call.
	watchPause = 40 * time.Millisecond
	// retryPause is the time between calls to a store that does not answer; it
	// doubles up to maxRetryPause, since refused calls count like others.
	retryPause    = 250 * time.Millisecond
	maxRetryPause = time.Second
	// retryPauseOthers and maxRetryPauseOthers are the same for daemons that are no
	// deputies: they hear of the store's return from those.
	retryPauseOthers    = time.Second
	maxRetryPauseOthers = 8 * time.Second
	// idlePause is the time between looks whether to follow the store again.
	idlePause = 100 * time.Millisecond
)

// follower reads a prefix of the store and keeps up with its changes.
type follower struct {
	ct     *control
	prefix string
	// snapshot gets all items, and whether the store did not answer before; changed
	// gets those that changed since.
	snapshot func(items []platform.Item, revision int64, wasAway bool)
	changed  func(items []platform.Item)
	// after is the revision to go on from; 0 makes it read all. turn is the turn
	// of following that it holds for.
	after   int64
	turn    int
	failing bool
	// pause is the time until the next try, while the store does not answer.
	pause time.Duration
}

func (ct *control) followConfig(ctx context.Context) {
	take := func(items []platform.Item) {
		for _, it := range items {
			if it.Key == platform.ConfigKey && !it.Deleted {
				ct.setConfig(it.Value, it.Revision, fromStore)
			}
		}
	}
	fo := &follower{ct: ct, prefix: platform.ConfigPrefix, changed: take,
		snapshot: func(items []platform.Item, _ int64, _ bool) { take(items) }}
	fo.run(ctx)
}

func (ct *control) followEndpoints(ctx context.Context) {
	fo := &follower{ct: ct, prefix: platform.EndpointPrefix, snapshot: ct.snapshot, changed: ct.changed}
	fo.run(ctx)
}

// run follows the store while this daemon is to do so.
func (fo *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		turn := fo.ct.followTurn()
		if turn != fo.turn {
			fo.after, fo.turn = 0, turn
		}
		if turn == 0 {
			_ = fo.ct.da.Clock.Sleep(ctx, idlePause) // The loop looks at ctx.
			continue
		}
		if err := fo.once(ctx); err != nil && ctx.Err() == nil {
			fo.lost(err)
			_ = fo.ct.da.Clock.Sleep(ctx, fo.pause) // The loop looks at ctx.
		}
	}
}

func (fo *follower) once(ctx context.Context) error {
	if fo.after == 0 {
		items, rev, err := fo.ct.da.store.Range(ctx, fo.prefix)
		if err != nil {
			return err
		}
		wasAway := fo.failing
		fo.regained()
		fo.after = rev
		fo.ct.post(func() {
			fo.snapshot(items, rev, wasAway)
			fo.ct.confirmPart(fo.prefix)
		})
	}
	items, _, err := fo.ct.da.store.Watch(ctx, fo.prefix, fo.after, watchWait)
	if errors.Is(err, platform.ErrCompacted) {
		fo.ct.da.Log.Info("store: history is gone, reading all.", "prefix", fo.prefix)
		fo.after = 0
		return nil
	}
	if err != nil {
		return err
	}
	// Only changes that came move the place to go on from: a quiet answer may
	// tell a revision behind changes that the watch has not delivered.
	for _, it := range items {
		fo.after = max(fo.after, it.Revision)
	}
	fo.regained()
	fo.ct.post(func() {
		if len(items) > 0 {
			fo.changed(items)
		}
		fo.ct.confirmPart(fo.prefix)
	})
	if len(items) > 0 {
		return fo.ct.da.Clock.Sleep(ctx, watchPause)
	}
	return nil
}

func (fo *follower) lost(err error) {
	if !fo.failing {
		fo.ct.da.Log.Warn("store: lost.", "prefix", fo.prefix, "cause", err.Error())
	}
	least, most := fo.ct.retryPauses()
	fo.pause = min(most, max(least, 2*fo.pause))
	if fo.prefix == platform.EndpointPrefix {
		fo.ct.storeAway.Store(true)
	} else if fo.ct.storeAway.Load() {
		// The endpoints' follower finds out when the store is back.
		fo.pause = most
	}
	fo.failing = true
	fo.after = 0
}

func (fo *follower) regained() {
	if fo.failing {
		fo.ct.da.Log.Info("store: regained.", "prefix", fo.prefix)
	}
	if fo.prefix == platform.EndpointPrefix {
		fo.ct.storeAway.Store(false)
	}
	fo.failing, fo.pause = false, 0
}

// confirmPart notes that what is below a prefix was confirmed just now. The
// endpoints count; the configuration is followed at the same pace.
func (ct *control) confirmPart(prefix string) {
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
		// The others begin to follow by themselves unless they hear of it in time.
		ct.sendBeat(beatExtra{to: mesh.ToEveryone})
	}
}

// retryPauses returns the bounds of the time between calls to a store that does not
// answer.
func (ct *control) retryPauses() (least, most time.Duration) {
	if ct.deputy.Load() || ct.da.mesh.Direct() {
		return retryPause, maxRetryPause
	}
	return retryPauseOthers, maxRetryPauseOthers
}

// follows tells whether this daemon follows the store itself.
func (ct *control) follows() bool { return ct.followTurn() > 0 }

// followTurn returns the present turn of following, or 0 when this daemon
// does not follow the store.
func (ct *control) followTurn() int {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	if !ct.following {
		return 0
	}
	return ct.turn
}

// stepFollowing decides whether to follow the store: the steward does, and
// whoever has not heard from it lately.
func (ct *control) stepFollowing(now time.Time) {
	age := ct.age(now)
	following := ct.follows()
	want := following
	switch {
	case ct.lease.core != nil:
		want = true
	case age > staleAfter && (ct.isDeputy(now) || ct.deputySilence(now) > staleAfter+deputyPatience):
		want = true
	case now.Sub(ct.heard) < freshAfter && ct.steward.Age < freshAfter:
		want = false
	case following && !ct.isDeputy(now) && now.Sub(ct.deputyFresh()) < freshAfter:
		// A deputy was late once: each daemon that goes on following the store for it
		// costs two calls a second and one for each change.
		want = false
	}
	if want == following {
		return
	}
	ct.mu.Lock()
	ct.following = want
	if want {
		ct.turn++
	}
	ct.mu.Unlock()
	if want {
		ct.forgetDropped()
	}
	ct.haveAll = ct.haveAll && want
	ct.da.Log.Info("control: following the store.", "on", want, "age-ms", age.Milliseconds())
	ct.updateView()
}
