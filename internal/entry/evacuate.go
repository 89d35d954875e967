package entry

import (
	"slices"

	"corianderhub.dev/corianderhub/internal/core/evacuation"
	"corianderhub.dev/corianderhub/internal/mesh"
	"corianderhub.dev/corianderhub/platform"
)

// readEvacuation applies a full read of the operators' keys.
func (ct *control) readEvacuation(items []platform.Item, revision int64) {
	or := evacuation.Order{Revision: revision}
	for _, it := range items {
		if dc, ok := ct.evacuatedDataCenter(it.Key); ok {
			or = or.With(dc, true, revision)
		}
	}
	ct.applyEvacuation(or, fromStore)
}

// changeEvacuation applies changes of the operators' keys received from a watch.
func (ct *control) changeEvacuation(items []platform.Item) {
	for _, it := range items {
		if dc, ok := ct.evacuatedDataCenter(it.Key); ok {
			ct.applyEvacuation(ct.evacuation.Order().With(dc, !it.Deleted, it.Revision), fromStore)
		}
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
		ct.da.Log.Warn("control: evacuation names no known data centre.", "key", key, "data-center", dc)
	}
	return dc, ok
}

// applyEvacuation applies the operators' order if it is newer than the known one. from names
// its source: fromStore or a daemon.
func (ct *control) applyEvacuation(or evacuation.Order, from string) {
	begun, ended := ct.evacuation.Apply(or, ct.da.Clock.Now())
	if len(begun)+len(ended) == 0 {
		return
	}
	for _, dc := range begun {
		ct.da.Log.Info("control: data centre evacuated.", "data-center", dc, "revision", or.Revision, "from", from)
	}
	for _, dc := range ended {
		ct.da.Log.Info("control: evacuation ended.", "data-center", dc, "revision", or.Revision, "from", from)
	}
	if ct.lease.core != nil {
		ct.lease.core.SetEvacuation(or)
	}
	ct.updateView()
	if from == fromStore || ct.da.mesh.Direct() {
		ct.sendHeartbeat(heartbeatExtra{to: mesh.ToEveryone})
	}
}
