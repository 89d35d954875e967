package entry

import (
	"time"

	"corianderhub.dev/corianderhub/internal/core/backpressure"
	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// coldEndpoints records until when endpoints are cold, by ID, according to their entries. It is
// kept by the daemons that follow the store; the others learn of it from the view.
type coldEndpoints struct {
	until map[string]time.Time
	// viewExpiresAt is when an endpoint of the current view stops being cold because the
	// evacuation of its data centre ended long enough ago; zero if there is none.
	viewExpiresAt time.Time
	// logged is the number of cold endpoints that was last logged.
	logged int
}

// add records how long an endpoint stays cold according to an entry that was just read.
func (ce *coldEndpoints) add(ep catalog.Endpoint, now time.Time) {
	if ep.ColdLeft > 0 {
		ce.until[ep.ID] = now.Add(ep.ColdLeft)
	} else {
		delete(ce.until, ep.ID)
	}
}

// isCold reports whether an endpoint is cold and its service limits the requests to it then.
func (ct *control) isCold(ep catalog.Endpoint, now time.Time) bool {
	cfg := ct.da.currentConfig()
	return cfg != nil && cfg.Services[ep.Service].ColdPerSecond > 0 && now.Before(ct.cold.until[ep.ID])
}

// stepCold updates the view when an endpoint stops being cold.
func (ct *control) stepCold(now time.Time) {
	if at := ct.cold.viewExpiresAt; !at.IsZero() && !now.Before(at) {
		ct.updateView()
	}
	for _, until := range ct.cold.until {
		if !now.Before(until) {
			ct.refreshCold(now)
			return
		}
	}
}

// refreshCold updates which endpoints are cold.
func (ct *control) refreshCold(now time.Time) {
	changed := false
	for id, until := range ct.cold.until {
		ep, ok := ct.endpoints[id]
		if cold := ct.isCold(ep, now); ok && cold != ep.Cold {
			ep.Cold, changed = cold, true
			ct.endpoints[id] = ep
			if ct.lease.core != nil {
				ct.lease.core.SetCold(id, cold)
			}
		}
		if !now.Before(until) {
			delete(ct.cold.until, id)
		}
	}
	if changed {
		ct.endpointsChanged()
	}
}

// limitCold limits the requests to the cold endpoints that vi sends requests to.
func (ct *control) limitCold(vi *catalog.View, cfg *catalog.Config, now time.Time) {
	cold := ct.coldLimits(vi, cfg, now)
	ct.da.backpressure.SetCold(cold, now)
	if len(cold) != ct.cold.logged {
		ct.cold.logged = len(cold)
		ct.da.Log.Info("control: cold endpoints.", "count", len(cold))
	}
}

// coldLimits returns the limits of the cold endpoints that vi sends requests to.
func (ct *control) coldLimits(vi *catalog.View, cfg *catalog.Config, now time.Time) []backpressure.Cold {
	ct.cold.viewExpiresAt = time.Time{}
	bo := ct.da.Settings.Bounds
	var cold []backpressure.Cold
	for _, ta := range targets(vi) {
		se := cfg.Services[ta.service]
		if se.ColdPerSecond > 0 && (ta.cold || ct.coldAfterEvacuation(ta.dataCenter, se.ColdStart, now)) {
			cold = append(cold, backpressure.Cold{Instance: ta.instance, PerSecond: se.ColdPerSecond,
				Peak: se.ColdPerSecond*bo.ColdOvershoot + bo.ColdSlack})
		}
	}
	return cold
}

// coldAfterEvacuation reports whether the endpoints of a data centre may be cold because its
// evacuation has just ended, although no entry says so yet. span is how long they stay cold.
func (ct *control) coldAfterEvacuation(dataCenter string, span time.Duration, now time.Time) bool {
	end, ok := ct.evacuation.EndedAt(dataCenter)
	warmAt := end.Add(span)
	if !ok || !now.Before(warmAt) {
		return false
	}
	if ct.cold.viewExpiresAt.IsZero() || warmAt.Before(ct.cold.viewExpiresAt) {
		ct.cold.viewExpiresAt = warmAt
	}
	return true
}

// target is an endpoint that a view sends requests to.
type target struct {
	instance            catalog.Instance
	service, dataCenter string
	// cold is set if the endpoint's entry says so.
	cold bool
}

// targets returns the endpoints that vi sends requests to.
func targets(vi *catalog.View) []target {
	var all []target
	for _, pe := range vi.Plain {
		all = append(all, target{pe.Instance(), pe.Service, pe.DataCenter, pe.Cold})
	}
	for _, gr := range vi.Groups {
		leader := gr.Leader()
		all = append(all, target{leader.Instance(), gr.Service, gr.DataCenter, gr.Cold})
	}
	return all
}
