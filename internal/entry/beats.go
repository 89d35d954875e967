package entry

import (
	"context"
	"time"

	"corianderhub.dev/corianderhub/internal/core/backpressure"
	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/internal/core/dispatch"
	"corianderhub.dev/corianderhub/internal/mesh"
)

// beatExtra is what a beat tells besides what all of them do.
type beatExtra struct {
	suspects []mesh.GroupRef
	// advancing are groups that were suspected and whose streams go on.
	advancing []mesh.GroupRef
	change    *catalog.Change
	to        mesh.Audience
}

// sendBeat tells the others what this daemon is and knows.
func (ct *control) sendBeat(ex beatExtra) {
	now := ct.da.Clock.Now()
	ct.number++
	set := ct.da.Settings
	be := mesh.Heartbeat{IP: set.IP, Started: ct.da.started, Number: ct.number, Name: set.Name, DataCenter: set.DataCenter,
		Callers: set.Callers, Accepting: ct.da.taking(), Age: ct.age(now), Served: ct.served || ct.da.front.Received() > 0,
		Departed: ct.gone.lately(now, ct.stewardKnowledge(), ct.follows()), StallReports: ex.suspects, ProgressReports: ex.advancing, Change: ex.change,
		MilliCPU: int(set.CPUShare * 1000), FollowsStore: ct.follows()}
	if co := ct.da.config.Load(); co != nil {
		be.Config = co.Revision
	}
	be.Leaving = ct.da.stopping.Load()
	be.Uptime = now.Sub(ct.begun)
	ct.promise(&be)
	ct.tellQuarantine(&be, now)
	relay := ct.lease.settled() && !ct.da.mesh.Direct()
	be.Backpressure = ct.da.backpressure.PendingNotices(now, ct.tellFor(), relay)
	ct.lease.sent(ct.number)
	work := mesh.Work{Own: ct.da.table.OwnWork(now)}
	if ct.lease.settled() {
		be.Steward, be.Term, be.View = true, ct.lease.term, ct.lease.sequence
		be.Unresponsive = ct.da.mesh.Unresponsive()
		be.Healthy = ct.sound.lately(now)
		work.Except = func(ip string) dispatch.Work { return ct.da.table.WorkExcept(ip, now) }
	}
	if err := ct.da.mesh.Send(be, work, ex.to); err != nil {
		ct.da.Log.Error("control: beat not sent.", "cause", err.Error())
	}
}

// beat takes in what another daemon told.
func (ct *control) beat(be mesh.Heartbeat) {
	now := ct.da.Clock.Now()
	switch be.WorkOf {
	case mesh.WorkOwn:
		ct.da.table.ApplyPeerWork(be.IP, be.Work, now)
	case mesh.WorkRelayed:
		ct.da.table.ApplyRelayedWork(be.Work, now)
	case mesh.WorkNone:
	}
	ct.served = ct.served || be.Served
	ct.lease.promised(be)
	ct.hearGone(be.Departed, now)
	if ct.lease.core != nil {
		for _, su := range be.StallReports {
			ct.lease.core.HandleStallReport(su.Group, su.Epoch, false, now)
		}
		for _, su := range be.ProgressReports {
			ct.lease.core.HandleProgressReport(su.Group, su.Epoch, now)
		}
	}
	ct.hearConfig(be)
	ct.hearDeputy(be, now)
	ct.hearQuarantine(be, now)
	ct.hearBackpressure(be.Backpressure, now)
	if ct.told == nil && be.FollowsStore && be.Accepting && !ct.follows() {
		// No steward yet, as after a loss of all daemons: the groups that serve
		// can be used by what a daemon that reads the store made of the entries.
		ct.fetchView(be)
	}
	if !be.Steward || be.Term < ct.steward.Term || ct.lease.core != nil && be.Term <= ct.lease.term {
		return
	}
	if be.Term > ct.steward.Term {
		ct.da.Log.Info("control: steward heard.", "steward", be.Name, "term", be.Term)
		ct.retell(now)
		ct.learnBackpressure(be)
	}
	ct.steward, ct.heard = be, now
	ct.da.mesh.SetSteward(be.IP)
	for _, su := range be.Healthy {
		ct.da.table.MarkHealthy(su.Group)
	}
	ct.confirm(now.Add(-be.Age - hearDelay))
	if ct.told == nil || be.Term > ct.told.Term || be.Term == ct.told.Term && be.View > ct.told.Sequence {
		ct.learnView(be)
	}
}

// hearBackpressure takes in what another daemon told of what endpoints said.
func (ct *control) hearBackpressure(words []backpressure.Notice, now time.Time) {
	for _, li := range ct.da.backpressure.ApplyNotices(words, now) {
		ct.saidLeaving(li)
	}
}

// learnBackpressure evens out with a steward that was not heard before what either knows of
// what endpoints said: one of both may have just started.
func (ct *control) learnBackpressure(be mesh.Heartbeat) {
	ct.da.backpressure.ResendNotices()
	ct.fetch("backpressure", func(ctx context.Context) func() {
		words, err := ct.da.peers.Backpressure(ctx, be.IP)
		if err != nil {
			ct.da.Log.Info("control: backpressure not fetched.", "from", be.Name, "cause", err.Error())
			return nil
		}
		return func() { ct.hearBackpressure(words, ct.da.Clock.Now()) }
	})
}

// learnView takes in the steward's new view: by what changed, if that came with
// the beat and fits, and else by fetching all of it.
func (ct *control) learnView(be mesh.Heartbeat) {
	if be.Change != nil {
		if next := ct.told.Apply(be.Change); next != nil {
			ct.hearView(next)
			return
		}
	}
	ct.fetchView(be)
}

// hearDelay is added to the age that another daemon tells, for the way.
const hearDelay = 10 * time.Millisecond

// hearConfig fetches a configuration that another daemon has and this one not.
func (ct *control) hearConfig(be mesh.Heartbeat) {
	co := ct.da.config.Load()
	if be.Config == 0 || co != nil && co.Revision >= be.Config {
		return
	}
	ct.fetch("config", func(ctx context.Context) func() {
		raw, rev, err := ct.da.peers.Config(ctx, be.IP)
		if err != nil {
			ct.da.Log.Info("control: configuration not fetched.", "from", be.Name, "cause", err.Error())
			return nil
		}
		return func() { ct.setConfig(raw, rev, "daemon "+be.Name) }
	})
}

func (ct *control) fetchView(be mesh.Heartbeat) {
	ct.fetch("view", func(ctx context.Context) func() {
		vi, err := ct.da.peers.View(ctx, be.IP)
		if err != nil {
			ct.da.Log.Info("control: view not fetched.", "from", be.Name, "cause", err.Error())
			return nil
		}
		return func() { ct.hearView(vi) }
	})
}

// fetch runs one call of a kind at a time, and its outcome in the loop.
func (ct *control) fetch(kind string, call func(context.Context) func()) {
	if ct.fetching[kind] {
		return
	}
	ct.fetching[kind] = true
	ct.da.once(&ct.wg, func(ctx context.Context) {
		done := call(ctx)
		ct.post(func() {
			ct.fetching[kind] = false
			if done != nil {
				done()
			}
		})
	})
}
