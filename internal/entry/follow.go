package entry

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"corianderhub.dev/corianderhub/internal/core/catalog"
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
	// maxRetryPauseOthers is the same for daemons that are no deputies: they
	// hear of the store's return from those.
	maxRetryPauseOthers = 4 * time.Second
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
	if errors.Is(err, platform.ErrHistoryGone) {
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
	fo.pause = min(fo.ct.maxPause(), max(retryPause, 2*fo.pause))
	fo.failing = true
	fo.after = 0
}

func (fo *follower) regained() {
	if fo.failing {
		fo.ct.da.Log.Info("store: regained.", "prefix", fo.prefix)
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
	ct.confirm(at)
}

// maxPause is the longest time between calls to a store that does not answer.
func (ct *control) maxPause() time.Duration {
	if ct.deputy.Load() {
		return maxRetryPause
	}
	return maxRetryPauseOthers
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
	ct.haveAll = ct.haveAll && want
	ct.da.Log.Info("control: following the store.", "on", want, "age-ms", age.Milliseconds())
	ct.updateView()
}

// Without a steward every daemon would read the store and wait for its changes,
// and each change would answer a call of each of them. Where daemons are many, the
// deputies of each data centre do so and tell the rest.
const (
	// deputies is how many daemons of a data centre follow the store in the
	// steward's place. The store may turn a third of the daemons away.
	deputies = 3
	// deputyPatience is added to the silence of the deputies before others read
	// the store themselves.
	deputyPatience = 700 * time.Millisecond
	// startSettle is how long a daemon that starts does not know yet who is
	// alive. When 68 daemons start together and all follow the store, each entry
	// of 300 endpoints that register wakes all of them: 1,377 calls before the
	// first request of a measured day.
	startSettle = 2 * time.Second
)

// isDeputy tells whether this daemon is one of the first of its data centre, or
// when it starts, one of the first that are known.
func (ct *control) isDeputy(now time.Time) bool {
	if now.Sub(ct.begun) < startSettle {
		return slices.Index(slices.Sorted(slices.Values(ct.da.mesh.Known())), ct.da.Settings.IP) < deputies
	}
	if ct.da.mesh.Direct() {
		return true
	}
	before := 0
	for _, pe := range ct.da.mesh.Alive() {
		if pe.DataCenter == ct.da.Settings.DataCenter && ct.before(pe) {
			before++
		}
	}
	return before < deputies
}

// deputySilence is how long no deputy has told anything fresh, since this daemon
// started or itself last knew what the store says at most. While a steward tells that,
// no deputy speaks: counted from the last word of one, the silence was always long
// enough, and all daemons of a data centre followed the store at once when the
// steward was cut off from it.
func (ct *control) deputySilence(now time.Time) time.Duration {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return min(now.Sub(ct.deputyAt), now.Sub(ct.begun), now.Sub(ct.confirmed))
}

// hearDeputy takes in how fresh a daemon of the same data centre is that follows
// the store. Its configuration must be in force here; what it saw leave came
// with the same beat.
func (ct *control) hearDeputy(be mesh.Beat, now time.Time) {
	co := ct.da.config.Load()
	if !be.Follows || be.DataCenter != ct.da.Settings.DataCenter || co == nil || co.Revision < be.Config {
		return
	}
	ct.mu.Lock()
	defer ct.mu.Unlock()
	if at := now.Add(-be.Age - hearDelay); at.After(ct.deputyAt) {
		ct.deputyAt = at
	}
}

// snapshot takes in all endpoints that the store has registered. Those that
// are not there any more are gone, unless the store was away: then they may be
// back soon.
func (ct *control) snapshot(items []platform.Item, revision int64, wasAway bool) {
	now := ct.da.Clock.Now()
	away := ct.age(now) > staleAfter
	seen := make(map[string]bool, len(items))
	for _, it := range items {
		if ep, ok := ct.decode(it); ok {
			seen[ep.ID] = true
			ct.register(ep)
		}
	}
	for id := range maps.Clone(ct.endpoints) {
		switch {
		case seen[id]:
		case away:
			if _, ok := ct.missing[id]; !ok {
				ct.missing[id] = now
			}
		default:
			ct.unregister(id)
		}
	}
	ct.compareView(seen, revision, wasAway)
	ct.revision = max(ct.revision, revision)
	ct.haveAll = true
	ct.endpointsChanged()
}

// compareView looks for endpoints that the steward's view names and that were gone
// already when this daemon began to follow the store. It has never seen their
// entries, so it can't see them go. Daemons that rely on it as a deputy go on by the
// view of a steward that is cut off from the store, and sent requests to an endpoint
// 3.2 s after its entry had been removed.
func (ct *control) compareView(seen map[string]bool, revision int64, wasAway bool) {
	if ct.told == nil || ct.told.Revision > revision {
		// What a newer view names may have registered since.
		return
	}
	now := ct.da.Clock.Now()
	for _, li := range ct.told.Lives() {
		if _, known := ct.endpoints[li.ID]; known || seen[li.ID] {
			continue
		}
		if !wasAway {
			ct.newGone = ct.gone.note(li, now) || ct.newGone
		} else if _, ok := ct.missing[li.ID]; !ok {
			ct.missing[li.ID] = now
		}
	}
}

func (ct *control) changed(items []platform.Item) {
	for _, it := range items {
		ct.revision = max(ct.revision, it.Revision)
		ep, ok := catalog.Endpoint{}, false
		if !it.Deleted {
			ep, ok = ct.decode(it)
		}
		if !ok {
			// Deleted, or overwritten with what names no server.
			ct.unregister(platform.EndpointID(it.Key))
			continue
		}
		ct.register(ep)
	}
	ct.endpointsChanged()
}

// maxSetAside bounds the entries that are remembered as told of in the log.
const maxSetAside = 1000

// decode decodes an entry. One that names no server is logged once, until it
// names one: its writer may repeat it with each heartbeat.
func (ct *control) decode(it platform.Item) (catalog.Endpoint, bool) {
	ep, err := platform.DecodeEndpoint(it)
	if err == nil {
		delete(ct.setAside, it.Key)
		return ep, true
	}
	setAsideCount.Inc()
	if !ct.setAside[it.Key] && len(ct.setAside) < maxSetAside {
		ct.setAside[it.Key] = true
		ct.da.Log.Warn("control: entry set aside.", "key", it.Key, "revision", it.Revision, "cause", err.Error())
	}
	return catalog.Endpoint{}, false
}

var setAsideCount = metrics.NewCounter("corianderhub_entries_set_aside_total")

func (ct *control) register(ep catalog.Endpoint) {
	had, ok := ct.endpoints[ep.ID]
	if ok && had.Revision > ep.Revision {
		return
	}
	switch {
	case !ok:
		ct.da.Log.Info("control: endpoint live.", "endpoint", ep.ID, "service", ep.Service, "domain", ep.Domain,
			"incarnation", ep.Incarnation, "revision", ep.Revision)
	case had.Incarnation.Differs(ep.Incarnation):
		ct.restarted(had, ep)
	case ep.Leaving && !had.Leaving:
		ct.da.Log.Info("control: endpoint leaves.", "endpoint", ep.ID, "service", ep.Service, "revision", ep.Revision)
	}
	delete(ct.missing, ep.ID)
	ct.endpoints[ep.ID] = ep
	if ep.Leaving {
		ct.newGone = ct.gone.note(ep.Life(), ct.da.Clock.Now()) || ct.newGone
	} else {
		delete(ct.gone, ep.Life())
	}
	if ct.lease.core != nil {
		ct.lease.core.Register(ep, ct.da.Clock.Now())
	}
}

// restarted forgets the earlier life of a server that started again under its ID.
// Its connections end with the old process, so idle ones to it are closed: what is
// sent on them would be reset, and might have run.
func (ct *control) restarted(had, ep catalog.Endpoint) {
	ct.da.Log.Info("control: endpoint started again.", "endpoint", ep.ID, "service", ep.Service,
		"incarnation", ep.Incarnation, "before", had.Incarnation, "revision", ep.Revision)
	ct.newGone = ct.gone.note(had.Life(), ct.da.Clock.Now()) || ct.newGone
	ct.da.pool.Drop(had.Address)
}

func (ct *control) unregister(id string) {
	ep, ok := ct.endpoints[id]
	if !ok {
		return
	}
	ct.da.Log.Info("control: endpoint gone.", "endpoint", id, "service", ep.Service)
	delete(ct.endpoints, id)
	delete(ct.missing, id)
	ct.newGone = ct.gone.note(ep.Life(), ct.da.Clock.Now()) || ct.newGone
	if ct.lease.core != nil {
		ct.lease.core.Unregister(id, ct.da.Clock.Now())
	}
}

// stepMissing gives up endpoints that did not come back after an outage.
func (ct *control) stepMissing(now time.Time) {
	before := len(ct.missing)
	for id, since := range ct.missing {
		if now.Sub(since) > returnGrace {
			ct.giveUp(id, now)
		}
	}
	if len(ct.missing) != before {
		ct.endpointsChanged()
	}
}

// giveUp takes an endpoint whose entry did not come back as gone. It may be known by
// the steward's view alone.
func (ct *control) giveUp(id string, now time.Time) {
	delete(ct.missing, id)
	if _, ok := ct.endpoints[id]; ok || ct.told == nil {
		ct.unregister(id)
		return
	}
	for _, li := range ct.told.Lives() {
		if li.ID == id {
			ct.newGone = ct.gone.note(li, now) || ct.newGone
		}
	}
}

// endpointsChanged brings the view up to the endpoints. The steward publishes
// its own.
func (ct *control) endpointsChanged() {
	if ct.lease.core == nil {
		ct.updateView()
	}
}
