package entry

import (
	"context"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/internal/mesh"
)

// applyView makes vi the steward view if it is newer than the current one.
func (ct *control) applyView(vi *catalog.View) {
	if vi == nil || ct.stewardView != nil && !vi.Newer(ct.stewardView) {
		return
	}
	if !vi.Valid() {
		ct.da.Log.Warn("control: invalid view ignored, a group has no members.", "term", vi.Term, "view", vi.Sequence)
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
	if ct.lease.core == nil && ct.follows() && (ct.haveAll || ct.stewardView == nil) && ct.read.Revision > 0 {
		vi = catalog.ViewFromEntries(ct.endpoints, cfg, ct.stewardView, ct.read)
	}
	if vi == nil {
		return
	}
	now := ct.da.Clock.Now()
	if ct.ignoresReassignments = ct.reassignmentsVoid(now); ct.ignoresReassignments {
		vi = vi.WithoutReassignments()
	}
	vi = ct.departed.filter(vi)
	first := ct.da.view.Swap(vi) == nil
	if or := ct.evacuation.Order(); len(or.DataCenters) > 0 {
		// Other daemons fetch the view without the effects of an evacuation, since they could
		// not undo them.
		vi = vi.Drained(or.Has)
	}
	ct.limitCold(vi, cfg, now)
	ct.da.table.Update(vi, cfg, now)
	ct.da.plain.Update(vi)
	if first && ct.follows() {
		// Daemons that have just started can use what this daemon has read.
		ct.sendHeartbeat(heartbeatExtra{to: mesh.ToEveryone})
	}
}

// stepReassignments updates the view when reassignments in it begin or cease to count. The exchange
// of a group ends with the steward that decided it, since its successor starts without reservations.
// Otherwise the groups that drained for it would serve nothing until the successor's first view.
func (ct *control) stepReassignments(now time.Time) {
	if ct.reassignmentsVoid(now) != ct.ignoresReassignments {
		ct.updateView()
	}
}

// reassignmentsVoid reports whether the steward whose view this daemon uses has been replaced, or
// has not been heard for staleAfter.
func (ct *control) reassignmentsVoid(now time.Time) bool {
	switch vi := ct.stewardView; {
	case vi == nil || vi.Term == 0:
		return false
	case ct.lease.core != nil:
		return vi.Term < ct.lease.term
	case ct.lastStewardHeartbeat.IsZero():
		return false
	default:
		return vi.Term < ct.steward.Term || now.Sub(ct.lastStewardHeartbeat) > staleAfter
	}
}

// applyViewUpdate brings the view up to the steward's new one. It applies the change sent
// with the heartbeat if that matches the current view, and fetches the whole view
// otherwise.
func (ct *control) applyViewUpdate(be mesh.Heartbeat) {
	if be.Change != nil {
		if next := ct.stewardView.Apply(be.Change); next != nil {
			ct.applyView(next)
			return
		}
	}
	ct.fetchView(be)
}

// fetchView fetches the whole view of the heartbeat's sender.
func (ct *control) fetchView(be mesh.Heartbeat) {
	ct.fetch("view", func(ctx context.Context) func() {
		vi, err := ct.da.peers.View(ctx, be.IP)
		if err != nil {
			ct.da.Log.Info("control: fetching the view failed.", "from", be.Name, "cause", err.Error())
			return nil
		}
		return func() { ct.applyView(vi) }
	})
}
