package entry

import (
	"maps"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/platform"
)

// snapshot takes in all endpoints that the store has registered. Those that
// are not there any more are gone, unless the store was away: then they may be
// back soon.
func (ct *control) snapshot(items []platform.Item, revision int64, wasAway bool) {
	now := ct.da.Clock.Now()
	away := ct.age(now) > staleAfter
	seen := make(map[string]bool, len(items))
	ct.firstRead = len(ct.endpoints) == 0
	for _, it := range items {
		if ep, ok := ct.decode(it); ok {
			seen[ep.ID] = true
			ct.register(ep)
		}
	}
	if ct.firstRead {
		ct.da.Log.Info("control: endpoints read.", "count", len(seen), "revision", revision)
		ct.firstRead = false
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

// outageAge is the age of the store's last word from which entries may be missing
// because the store was away. They lapse after three heartbeats, which is 3.6 s where
// the deployments have them, and are back within 2 s. A daemon that has just started
// does not know of an outage before.
const outageAge = 2 * staleAfter

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
	lapsed := wasAway || ct.age(now) > outageAge || now.Sub(ct.begun) < outageAge
	for _, li := range ct.told.Instances() {
		if _, known := ct.endpoints[li.ID]; known || seen[li.ID] {
			continue
		}
		if !lapsed {
			ct.newGone = ct.gone.note(li, now) || ct.newGone
		} else if _, ok := ct.missing[li.ID]; !ok {
			ct.missing[li.ID] = now
		}
	}
}

// forgetDropped forgets endpoints without groups that were read in an earlier turn of
// following and that the steward's newer view does not name any more. They have left since.
// The store does not name them either, but what it lacks after a silence counts as missing
// for a while: a daemon that began to follow took an endpoint back into use that had left
// 2 s before, and sent it requests 4.3 s after its leave.
func (ct *control) forgetDropped() {
	cfg := ct.da.currentConfig()
	if ct.told == nil || ct.told.Term == 0 || cfg == nil || ct.lease.core != nil {
		return
	}
	named := make(map[string]bool, len(ct.told.Plain))
	for _, pe := range ct.told.Plain {
		named[pe.ID] = true
	}
	for id, ep := range ct.endpoints {
		if cfg.Services[ep.Service].Engine == nil && !named[id] && ep.Revision <= ct.told.Revision {
			delete(ct.endpoints, id)
			delete(ct.missing, id)
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
	// Its entry may say later than its answers that it leaves.
	ep.Leaving = ep.Leaving || ct.da.backpressure.Leaving(ep.Instance())
	switch {
	case !ok && ct.firstRead:
		// A line for each of 1,100 endpoints would delay a small machine that starts.
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
		ct.newGone = ct.gone.note(ep.Instance(), ct.da.Clock.Now()) || ct.newGone
	} else {
		delete(ct.gone, ep.Instance())
	}
	if ct.lease.core != nil {
		ct.lease.core.Register(ep, ct.da.Clock.Now())
	}
}

// saidLeaving takes in that an endpoint has said in an answer that it stops soon.
func (ct *control) saidLeaving(li catalog.Instance) {
	ep, ok := ct.endpoints[li.ID]
	if ok && !ep.Incarnation.Differs(li.Incarnation) {
		ct.register(ep)
	} else {
		ct.da.Log.Info("control: endpoint leaves.", "endpoint", li.ID)
		ct.newGone = ct.gone.note(li, ct.da.Clock.Now()) || ct.newGone
	}
	ct.updateView()
}

// restarted forgets the earlier life of a server that started again under its ID.
// Its connections end with the old process, so idle ones to it are closed: what is
// sent on them would be reset, and might have run.
func (ct *control) restarted(had, ep catalog.Endpoint) {
	ct.da.Log.Info("control: endpoint started again.", "endpoint", ep.ID, "service", ep.Service,
		"incarnation", ep.Incarnation, "before", had.Incarnation, "revision", ep.Revision)
	ct.newGone = ct.gone.note(had.Instance(), ct.da.Clock.Now()) || ct.newGone
	ct.da.pool.CloseIdle(had.Address)
}

func (ct *control) unregister(id string) {
	ep, ok := ct.endpoints[id]
	if !ok {
		return
	}
	ct.da.Log.Info("control: endpoint gone.", "endpoint", id, "service", ep.Service)
	delete(ct.endpoints, id)
	delete(ct.missing, id)
	ct.newGone = ct.gone.note(ep.Instance(), ct.da.Clock.Now()) || ct.newGone
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
	for _, li := range ct.told.Instances() {
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
