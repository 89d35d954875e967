package entry

import (
	"slices"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/internal/mesh"
	"corianderhub.dev/corianderhub/platform"
)

// readEvacuation applies a full read of the operators' keys.
func (ct *control) readEvacuation(items []platform.Item, at catalog.Position) {
	revisions := make(map[string]int64)
	for _, it := range items {
		if dc, ok := ct.evacuatedDataCenter(it.Key); ok {
			revisions[dc] = it.Revision
		}
	}
	begun, ended := ct.evacuation.ReadAll(revisions, at, ct.da.Clock.Now())
	ct.evacuationChanged(begun, ended, fromStore)
}

// changeEvacuation applies changes of the operators' keys received from a watch.
func (ct *control) changeEvacuation(items []platform.Item) {
	for _, it := range items {
		if dc, ok := ct.evacuatedDataCenter(it.Key); ok {
			begun, ended := ct.evacuation.Change(dc, !it.Deleted, it.Position(), ct.da.Clock.Now())
			ct.evacuationChanged(begun, ended, fromStore)
		}
	}
}

// settleEvacuation applies what the store shows once it must be complete after a restore.
func (ct *control) settleEvacuation(now time.Time) {
	if ct.follows() {
		begun, ended := ct.evacuation.Settle(now)
		ct.evacuationChanged(begun, ended, fromStore)
	}
}

// evacuatedDataCenter returns the data centre whose evacuation a key orders. A key that names
// none is logged once and ignored. One that names an unknown data centre is logged once and
// stays in force, since endpoints may appear there later.
func (ct *control) evacuatedDataCenter(key string) (string, bool) {
	if !platform.IsEvacuation(key) {
		return "", false
	}
	dc, ok := platform.EvacuatedDataCenter(key)
	if ok && slices.Contains(ct.da.Settings.DataCenters, dc) {
		return dc, true
	}
	if !ct.loggedInvalid[key] && len(ct.loggedInvalid) < maxLoggedInvalid {
		ct.loggedInvalid[key] = true
		ct.da.Log.Warn("control: evacuation names no known data centre.", "key", brief(key), "data-center", brief(dc))
	}
	return dc, ok
}

// applyEvacuation applies the order in another daemon's heartbeat if it is newer.
func (ct *control) applyEvacuation(be mesh.Heartbeat) {
	begun, ended := ct.evacuation.Apply(be.Evacuation, ct.da.Clock.Now())
	ct.evacuationChanged(begun, ended, "daemon "+be.Name)
}

// evacuationChanged brings the order in force. begun and ended are the data centres that were
// added to it and removed from it. from names the source: fromStore or a daemon.
func (ct *control) evacuationChanged(begun, ended []string, from string) {
	if len(begun)+len(ended) == 0 {
		return
	}
	or := ct.evacuation.Order()
	for _, dc := range begun {
		ct.da.Log.Info("control: data centre evacuated.", "data-center", dc, "revision", or.Revision, "era", or.Era, "from", from)
	}
	for _, dc := range ended {
		ct.da.Log.Info("control: evacuation ended.", "data-center", dc, "revision", or.Revision, "era", or.Era, "from", from)
	}
	if ct.lease.core != nil {
		ct.lease.core.SetEvacuation(or)
	}
	ct.updateView()
	if from == fromStore || ct.da.mesh.Direct() {
		ct.sendHeartbeat(heartbeatExtra{to: mesh.ToEveryone})
	}
}

// maxLoggedEvacuations bounds the lines of logEvacuations.
const maxLoggedEvacuations = 16

// logEvacuations logs the state of each evacuation. It is called once per totalsInterval.
func (ct *control) logEvacuations(now time.Time) {
	for num, ev := range ct.evacuation.InForce() {
		if num == maxLoggedEvacuations {
			return
		}
		ct.da.Log.Info("control: evacuation in force.", "data-center", ev.DataCenter, "since", ev.Since.UTC(),
			"for-ms", now.Sub(ev.Since).Milliseconds(), "requests-left", ct.da.requestsIn(ev.DataCenter))
	}
}
