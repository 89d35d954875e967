package entry

import (
	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/internal/mesh"
	"corianderhub.dev/corianderhub/platform"
)

// setConfig decodes and applies a configuration unless the current one is at least as new.
// revision is its revision in the store. from names its source: fromStore or a daemon.
func (ct *control) setConfig(raw []byte, revision int64, from string) {
	if co := ct.da.config.Load(); co != nil && co.Revision >= revision {
		return
	}
	cfg, err := platform.DecodeConfig(raw, revision)
	if err != nil {
		ct.da.Log.Error("control: configuration rejected, keeping the previous one.", "revision", revision, "cause", err.Error())
		return
	}
	ct.da.config.Store(&configuration{cfg, raw})
	ct.da.Log.Info("control: configuration in force.", "version", cfg.Version, "revision", revision, "routes", len(cfg.Routes), "from", from)
	for _, what := range cfg.Ignored {
		ct.da.Log.Warn("control: invalid value in the configuration ignored.", "version", cfg.Version, "value", what)
	}
	if ct.lease.core != nil {
		ct.lease.core.SetServices(cfg)
	}
	ct.refreshCold(ct.da.Clock.Now())
	ct.updateView()
	if from == fromStore || ct.da.mesh.Direct() {
		ct.sendHeartbeat(heartbeatExtra{to: mesh.ToEveryone})
	}
}

// fromStore is the source of a configuration read from the store. Unless the mesh is in
// direct mode, only such a configuration is announced immediately to the other daemons,
// since one fetched from a daemon is already known to others.
const fromStore = "store"

// applyView makes vi the steward view if it is newer than the current one.
func (ct *control) applyView(vi *catalog.View) {
	if vi == nil || ct.stewardView != nil && !vi.Newer(ct.stewardView) {
		return
	}
	ct.stewardView = vi
	ct.updateView()
}

// updateView rebuilds the view used for traffic. It uses the steward's view, or a view
// built from the store's entries while this daemon follows the store and is not the
// steward.
func (ct *control) updateView() {
	cfg := ct.da.currentConfig()
	if cfg == nil {
		return
	}
	vi := ct.stewardView
	// Entries read in an earlier generation may be minutes old, so the steward's last view
	// is used until the store has been read again. Otherwise, in an outage of the store,
	// all groups formed since would be missing and half of the requests refused.
	if ct.lease.core == nil && ct.follows() && (ct.haveAll || ct.stewardView == nil) && ct.revision > 0 {
		vi = catalog.ViewFromEntries(ct.endpoints, cfg, ct.stewardView, ct.revision)
	}
	if vi == nil {
		return
	}
	now := ct.da.Clock.Now()
	vi = ct.departed.filter(vi)
	first := ct.da.view.Swap(vi) == nil
	// Other daemons fetch the view without the effects of an evacuation, since they could not
	// undo them.
	vi = vi.Drained(ct.evacuation.Order().Has)
	ct.limitCold(vi, cfg, now)
	ct.da.table.Update(vi, cfg, now)
	ct.da.plain.Update(vi)
	if first && ct.follows() {
		// Daemons that have just started can use what this daemon has read.
		ct.sendHeartbeat(heartbeatExtra{to: mesh.ToEveryone})
	}
}
