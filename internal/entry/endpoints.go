package entry

import (
	"maps"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/platform"
)

// applySnapshot applies a full read of the endpoints. Endpoints that are no longer
// registered have departed. If the store was unavailable or restored from a copy, they count
// as missing first, since their entries may reappear soon.
func (ct *control) applySnapshot(items []platform.Item, at catalog.Position, wasUnavailable bool) {
	now := ct.da.Clock.Now()
	if ct.read.Revision > 0 && at.Era > ct.read.Era {
		ct.restoredAt = now
	}
	restored := ct.justRestored(now)
	maybeLapsed := restored || ct.age(now) > staleAfter
	seen := make(map[string]bool, len(items))
	ct.firstRead = len(ct.endpoints) == 0
	for _, it := range items {
		ep, ok := ct.decode(it)
		if !ok {
			seen[platform.EndpointID(it.Key)] = false
			continue
		}
		if restored && ct.outdated(ep) {
			continue
		}
		seen[ep.ID] = true
		ct.register(ep)
	}
	if ct.firstRead {
		ct.da.Log.Info("control: endpoints read.", "count", len(ct.endpoints), "revision", at.Revision, "era", at.Era)
		ct.firstRead = false
	}
	for id := range maps.Clone(ct.endpoints) {
		valid, present := seen[id]
		switch {
		case valid:
		case present || maybeLapsed:
			ct.miss(id, now)
		default:
			ct.unregister(id)
		}
	}
	ct.compareView(seen, at, wasUnavailable || restored)
	ct.advance(at)
	ct.haveAll = true
	ct.endpointsChanged()
}

// miss records that an endpoint has no valid entry, unless that is recorded already. The last
// valid one counts until the entry would have reappeared.
func (ct *control) miss(id string, now time.Time) {
	if _, ok := ct.missing[id]; !ok {
		ct.missing[id] = now
	}
}

// justRestored reports whether the store may still show entries of a copy that their servers
// are about to write again.
func (ct *control) justRestored(now time.Time) bool {
	return !ct.restoredAt.IsZero() && now.Sub(ct.restoredAt) <= returnGrace
}

// outdated reports whether an entry in a restored store is older than what this daemon knows
// of the endpoint: that it leaves, has restarted, or has departed.
func (ct *control) outdated(ep catalog.Endpoint) bool {
	had, ok := ct.endpoints[ep.ID]
	switch {
	case !ok:
		return ct.departed.has(ep.Instance())
	case had.Incarnation.Differs(ep.Incarnation):
		return had.Incarnation > ep.Incarnation
	}
	return had.Leaving && !ep.Leaving
}

// advance records that the endpoints have been read up to a position.
func (ct *control) advance(at catalog.Position) {
	if ct.read.Before(at) {
		ct.read = at
	}
}

// outageAge is the age of the last confirmation by the store after which entries may be
// missing because of an outage. Entries lapse after three heartbeats (3.6 s in the
// deployments) and reappear within 2 s. A daemon that has just started cannot know of an
// earlier outage.
const outageAge = 2 * staleAfter

// compareView finds endpoints in the steward's view whose entries were removed before this
// daemon began to follow the store, so that it cannot see the removal itself. Without this,
// daemons that rely on this one as a deputy use the view of a steward that is cut off from
// the store; they sent requests to an endpoint 3.2 s after its entry had been removed. seen has
// the IDs of the entries that were read, and whether they are valid.
func (ct *control) compareView(seen map[string]bool, at catalog.Position, wasUnavailable bool) {
	if ct.stewardView == nil || at.Before(ct.stewardView.Position()) {
		// Endpoints in a newer view may have registered since.
		return
	}
	now := ct.da.Clock.Now()
	lapsed := wasUnavailable || ct.age(now) > outageAge || now.Sub(ct.startedAt) < outageAge
	for _, li := range ct.stewardView.Instances() {
		valid, present := seen[li.ID]
		if _, known := ct.endpoints[li.ID]; known || valid {
			continue
		}
		if !lapsed && !present {
			ct.newDeparture = ct.departed.add(li, now) || ct.newDeparture
		} else {
			ct.miss(li.ID, now)
		}
	}
}

// removeDropped removes plain endpoints that were read in an earlier generation and that
// the steward's newer view no longer contains. They have departed since. Entries absent
// from the store after an outage count as missing for a while, so without this a daemon
// that began to follow the store used an endpoint again that had left 2 s before, and sent
// it requests 4.3 s after its departure.
func (ct *control) removeDropped() {
	cfg := ct.da.currentConfig()
	if ct.stewardView == nil || ct.stewardView.Term == 0 || cfg == nil || ct.lease.core != nil {
		return
	}
	named := make(map[string]bool, len(ct.stewardView.Plain))
	for _, pe := range ct.stewardView.Plain {
		named[pe.ID] = true
	}
	for id, ep := range ct.endpoints {
		if cfg.Services[ep.Service].Engine == nil && !named[id] && !ct.stewardView.Position().Before(ep.Position()) {
			delete(ct.endpoints, id)
			delete(ct.missing, id)
		}
	}
}

// applyChanges applies changes of endpoint entries received from a watch. An invalid entry is no
// server's and no sign that one leaves: the server writes its own again with its next heartbeat.
func (ct *control) applyChanges(items []platform.Item) {
	for _, it := range items {
		ct.advance(it.Position())
		id := platform.EndpointID(it.Key)
		if it.Deleted {
			ct.removed(id, it.Position())
			continue
		}
		if ep, ok := ct.decode(it); ok {
			ct.register(ep)
		} else if _, known := ct.endpoints[id]; known {
			ct.miss(id, ct.da.Clock.Now())
		}
	}
	ct.endpointsChanged()
}

// maxLoggedInvalid bounds the number of keys remembered as logged.
const maxLoggedInvalid = 1000

// decode decodes an entry. An invalid entry is logged once per key until the key is valid
// again, since its writer may repeat it with each heartbeat.
func (ct *control) decode(it platform.Item) (catalog.Endpoint, bool) {
	ep, err := platform.DecodeEndpoint(it)
	if err == nil {
		delete(ct.loggedInvalid, it.Key)
		return ep, true
	}
	invalidEntryCount.Inc()
	if !ct.loggedInvalid[it.Key] && len(ct.loggedInvalid) < maxLoggedInvalid {
		ct.loggedInvalid[it.Key] = true
		ct.da.Log.Warn("control: invalid entry ignored.", "key", brief(it.Key), "revision", it.Revision, "cause", brief(err.Error()))
	}
	return catalog.Endpoint{}, false
}

// maxLoggedText bounds what a log line contains of an entry.
const maxLoggedText = 300

// brief returns the beginning of a text from the store.
func brief(text string) string {
	if len(text) <= maxLoggedText {
		return text
	}
	return strings.ToValidUTF8(text[:maxLoggedText], "") + "..."
}

var invalidEntryCount = metrics.NewCounter("corianderhub_entries_set_aside_total")

// register adds or updates an endpoint. An entry older than the known one is ignored.
func (ct *control) register(ep catalog.Endpoint) {
	had, ok := ct.endpoints[ep.ID]
	if ok && ep.Position().Before(had.Position()) {
		return
	}
	// The endpoint may have announced its shutdown in a response before its entry shows
	// it.
	ep.Leaving = ep.Leaving || ct.da.backpressure.Leaving(ep.Instance())
	switch {
	case !ok && ct.firstRead:
		// Logging each of 1,100 endpoints would delay the start on a small machine.
	case !ok:
		ct.da.Log.Info("control: endpoint live.", "endpoint", ep.ID, "service", ep.Service, "domain", ep.Domain,
			"incarnation", ep.Incarnation, "revision", ep.Revision)
	case had.Incarnation.Differs(ep.Incarnation):
		ct.endpointRestarted(had, ep)
	case ep.Leaving && !had.Leaving:
		ct.da.Log.Info("control: endpoint leaves.", "endpoint", ep.ID, "service", ep.Service, "revision", ep.Revision)
	}
	delete(ct.missing, ep.ID)
	if !ok || had.Position() != ep.Position() {
		ct.cold.add(ep, ct.da.Clock.Now())
	}
	ep.Cold = ct.isCold(ep, ct.da.Clock.Now())
	ct.endpoints[ep.ID] = ep
	if ep.Leaving {
		ct.newDeparture = ct.departed.add(ep.Instance(), ct.da.Clock.Now()) || ct.newDeparture
	} else {
		delete(ct.departed, ep.Instance())
	}
	if ct.lease.core != nil {
		ct.lease.core.Register(ep, ct.da.Clock.Now())
	}
}

// endpointLeaving handles an endpoint's announcement in a response that it will stop soon.
func (ct *control) endpointLeaving(li catalog.Instance) {
	ep, ok := ct.endpoints[li.ID]
	if ok && !ep.Incarnation.Differs(li.Incarnation) {
		ct.register(ep)
	} else {
		ct.da.Log.Info("control: endpoint leaves.", "endpoint", li.ID)
		ct.newDeparture = ct.departed.add(li, ct.da.Clock.Now()) || ct.newDeparture
	}
	ct.updateView()
}

// endpointRestarted records that the previous instance of an endpoint has departed and
// closes idle connections to it. They end with the old process: a request sent on one would
// be reset and might have run.
func (ct *control) endpointRestarted(had, ep catalog.Endpoint) {
	ct.da.Log.Info("control: endpoint restarted.", "endpoint", ep.ID, "service", ep.Service,
		"incarnation", ep.Incarnation, "before", had.Incarnation, "revision", ep.Revision)
	ct.newDeparture = ct.departed.add(had.Instance(), ct.da.Clock.Now()) || ct.newDeparture
	ct.da.pool.CloseIdle(had.Address)
}

// removed handles the removal of an endpoint's entry. The endpoint may be known from the steward's
// view only, in which it may have registered since.
func (ct *control) removed(id string, at catalog.Position) {
	_, missing := ct.missing[id]
	if missing && (ct.stewardView == nil || !at.Before(ct.stewardView.Position())) {
		ct.dropMissing(id, ct.da.Clock.Now())
		return
	}
	ct.unregister(id)
}

// unregister removes an endpoint and records its departure.
func (ct *control) unregister(id string) {
	ep, ok := ct.endpoints[id]
	if !ok {
		return
	}
	ct.da.Log.Info("control: endpoint gone.", "endpoint", id, "service", ep.Service)
	delete(ct.endpoints, id)
	delete(ct.missing, id)
	ct.newDeparture = ct.departed.add(ep.Instance(), ct.da.Clock.Now()) || ct.newDeparture
	if ct.lease.core != nil {
		ct.lease.core.Unregister(id, ct.da.Clock.Now())
	}
}

// stepMissing drops endpoints whose entries did not reappear after an outage, or after an invalid one.
func (ct *control) stepMissing(now time.Time) {
	before := len(ct.missing)
	for id, since := range ct.missing {
		if now.Sub(since) > returnGrace {
			ct.dropMissing(id, now)
		}
	}
	if len(ct.missing) != before {
		ct.endpointsChanged()
	}
}

// dropMissing treats an endpoint whose entry did not reappear as departed. The endpoint may
// be known from the steward's view only.
func (ct *control) dropMissing(id string, now time.Time) {
	delete(ct.missing, id)
	if _, ok := ct.endpoints[id]; ok || ct.stewardView == nil {
		ct.unregister(id)
		return
	}
	for _, li := range ct.stewardView.Instances() {
		if li.ID == id {
			ct.newDeparture = ct.departed.add(li, now) || ct.newDeparture
		}
	}
}

// endpointsChanged updates the view after a change of the endpoints. A steward publishes
// its own view instead.
func (ct *control) endpointsChanged() {
	if ct.lease.core == nil {
		ct.updateView()
	}
}
