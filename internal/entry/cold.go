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
	expired := !ct.cold.viewExpiresAt.IsZero() && !now.Before(ct.cold.viewExpiresAt)
	if expired {
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
				ct.lease.core.Register(ep, now)
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

// coldLimits returns the cold endpoints that vi sends requests to. When an evacuation ends, the
// endpoints of the data centre may be cold although no entry says so yet.
func (ct *control) coldLimits(vi *catalog.View, cfg *catalog.Config, now time.Time) []backpressure.Cold {
	ct.cold.viewExpiresAt = time.Time{}
	var cold []backpressure.Cold
	add := func(li catalog.Instance, service, dataCenter string, reported bool) {
		se := cfg.Services[service]
		if se.ColdPerSecond <= 0 {
			return
		}
		if !reported {
			end, ok := ct.evacuation.EndedAt(dataCenter)
			warmAt := end.Add(se.ColdStart)
			if !ok || !now.Before(warmAt) {
				return
			}
			if ct.cold.viewExpiresAt.IsZero() || warmAt.Before(ct.cold.viewExpiresAt) {
				ct.cold.viewExpiresAt = warmAt
			}
		}
		bo := ct.da.Settings.Bounds
		cold = append(cold, backpressure.Cold{Instance: li, PerSecond: se.ColdPerSecond,
			Peak: se.ColdPerSecond*bo.ColdOvershoot + bo.ColdSlack})
	}
	for i := range vi.Plain {
		ep := &vi.Plain[i]
		add(ep.Instance(), ep.Service, ep.DataCenter, ep.Cold)
	}
	for i := range vi.Groups {
		gr := &vi.Groups[i]
		leader := gr.Leader()
		add(leader.Instance(), gr.Service, gr.DataCenter, gr.Cold)
	}
	return cold
}
