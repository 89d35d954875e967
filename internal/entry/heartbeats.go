package entry

import (
	"context"
	"time"

	"corianderhub.dev/corianderhub/internal/core/backpressure"
	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/internal/core/dispatch"
	"corianderhub.dev/corianderhub/internal/mesh"
)

// heartbeatExtra holds the optional parts of a heartbeat.
type heartbeatExtra struct {
	stallReports []mesh.GroupRef
	// progressReports are groups that were reported as stalled and whose streams advance
	// again.
	progressReports []mesh.GroupRef
	change          *catalog.Change
	to              mesh.Audience
}

// sendHeartbeat sends this daemon's state to the other daemons.
func (ct *control) sendHeartbeat(ex heartbeatExtra) {
	now := ct.da.Clock.Now()
	ct.heartbeatNumber++
	set := ct.da.Settings
	be := mesh.Heartbeat{IP: set.IP, Started: ct.da.started, Number: ct.heartbeatNumber, Name: set.Name, DataCenter: set.DataCenter,
		Callers: set.Callers, Accepting: ct.da.accepting(), StateAge: ct.age(now), RequestReceived: ct.served || ct.da.front.Received() > 0,
		Departed: ct.departed.recent(now, ct.stewardConfirmedAt(), ct.follows()), StallReports: ex.stallReports, ProgressReports: ex.progressReports, Change: ex.change,
		MilliCPU: int(set.CPUShare * 1000), FollowsStore: ct.follows()}
	if co := ct.da.config.Load(); co != nil {
		be.ConfigRevision, be.ConfigVersion = co.Revision, co.Version
	}
	be.StoreEra = ct.da.store.Era()
	_, be.LostPaths = ct.da.dialer.Paths.Counts(now)
	be.Leaving = ct.da.stopping.Load()
	be.Uptime = now.Sub(ct.startedAt)
	be.Evacuation = ct.evacuation.Announcement()
	ct.addPromise(&be)
	ct.addQuarantine(&be, now)
	relay := ct.lease.ready() && !ct.da.mesh.Direct()
	be.Backpressure = ct.da.backpressure.PendingNotices(now, ct.announceFor(), relay)
	ct.lease.recordHeartbeat(ct.heartbeatNumber)
	work := mesh.Work{Own: ct.da.table.OwnWork(now)}
	if ct.lease.ready() {
		be.Steward, be.Term, be.ViewSequence = true, ct.lease.term, ct.lease.sequence
		be.Unresponsive = ct.da.mesh.Unresponsive()
		be.Healthy = ct.healthy.recent(now)
		work.Except = func(ip string) dispatch.Work { return ct.da.table.WorkExcept(ip, now) }
	}
	if err := ct.da.mesh.Send(be, work, ex.to); err != nil {
		ct.da.Log.Error("control: heartbeat not sent.", "cause", err.Error())
	}
}

// handleHeartbeat applies a heartbeat received from another daemon.
func (ct *control) handleHeartbeat(be mesh.Heartbeat) {
	now := ct.da.Clock.Now()
	switch be.WorkOf {
	case mesh.WorkOwn:
		ct.da.table.ApplyPeerWork(be.IP, be.Work, now)
	case mesh.WorkRelayed:
		ct.da.table.ApplyRelayedWork(be.Work, now)
	case mesh.WorkNone:
	}
	ct.served = ct.served || be.RequestReceived
	ct.maxTerm = max(ct.maxTerm, be.Term, be.AckTerm)
	ct.lease.recordPromise(be)
	ct.applyDepartures(be.Departed, now)
	if ct.lease.core != nil {
		for _, su := range be.StallReports {
			ct.lease.core.HandleStallReport(su.Group, su.Epoch, false, now)
		}
		for _, su := range be.ProgressReports {
			ct.lease.core.HandleProgressReport(su.Group, su.Epoch, now)
		}
	}
	ct.applyEvacuation(be)
	ct.recordPeerEra(be)
	ct.fetchNewerConfig(be)
	ct.recordDeputy(be, now)
	ct.applyQuarantine(be, now)
	ct.applyBackpressure(be.Backpressure, now)
	if ct.stewardView == nil && be.FollowsStore && be.Accepting && !ct.follows() {
		// There is no steward yet, as after a loss of all daemons. Until there is one,
		// use the view that a daemon reading the store has built from the entries, so
		// that the existing groups serve.
		ct.fetchView(be)
	}
	if !be.Steward || be.Term < ct.steward.Term || ct.lease.core != nil && be.Term <= ct.lease.term {
		return
	}
	if be.Term > ct.steward.Term {
		ct.da.Log.Info("control: steward heard.", "steward", be.Name, "term", be.Term)
		ct.reannounce(now)
		ct.syncBackpressure(be)
	}
	ct.steward, ct.lastStewardHeartbeat = be, now
	ct.da.mesh.SetSteward(be.IP)
	ct.da.trials.steward.Store(&stewardContact{be.IP, now})
	for _, su := range be.Healthy {
		ct.da.table.MarkHealthy(su.Group)
	}
	ct.confirm(now.Add(-be.StateAge - heartbeatLatency))
	if ct.stewardView == nil || be.Term > ct.stewardView.Term || be.Term == ct.stewardView.Term && be.ViewSequence > ct.stewardView.Sequence {
		ct.applyViewUpdate(be)
	}
}

// applyBackpressure applies backpressure notices received from another daemon.
func (ct *control) applyBackpressure(notices []backpressure.Notice, now time.Time) {
	for _, li := range ct.da.backpressure.ApplyNotices(notices, now) {
		ct.endpointLeaving(li)
	}
}

// syncBackpressure exchanges all backpressure notices with a new steward. Either side may
// have just started and lack notices that the other has.
func (ct *control) syncBackpressure(be mesh.Heartbeat) {
	ct.da.backpressure.ResendNotices()
	ct.fetch("backpressure", func(ctx context.Context) func() {
		notices, err := ct.da.peers.Backpressure(ctx, be.IP)
		if err != nil {
			ct.da.Log.Info("control: fetching backpressure notices failed.", "from", be.Name, "cause", err.Error())
			return nil
		}
		return func() { ct.applyBackpressure(notices, ct.da.Clock.Now()) }
	})
}

// heartbeatLatency is added to the age in a heartbeat to allow for its transit time.
const heartbeatLatency = 10 * time.Millisecond

// fetch runs call in a goroutine unless one of the same kind is already in flight. The
// function that call returns, if any, runs in the control loop.
func (ct *control) fetch(kind string, call func(context.Context) func()) {
	if ct.fetching[kind] {
		return
	}
	ct.fetching[kind] = true
	ct.da.spawn(&ct.wg, func(ctx context.Context) {
		done := call(ctx)
		ct.post(func() {
			ct.fetching[kind] = false
			if done != nil {
				done()
			}
		})
	})
}
