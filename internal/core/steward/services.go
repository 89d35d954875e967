package steward

import (
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// SetServices adds or updates the engines from the configuration in force. Services without an
// engine are ignored. Timeouts of routes that an earlier one had stay in effect for draining: requests that
// were accepted with them may still run.
func (co *Core) SetServices(cfg *catalog.Config) {
	for name, se := range cfg.Services {
		if se.Engine != nil {
			co.services[name] = se.Engine
		}
	}
	if co.timeouts == nil {
		co.timeouts = make(map[string]time.Duration)
	}
	for _, ro := range cfg.Routes {
		for _, be := range ro.Backends {
			co.timeouts[be.Service] = max(co.timeouts[be.Service], ro.Timeout)
		}
	}
}

// drainTimeout returns how long a group may take to finish its requests when it is drained.
func (co *Core) drainTimeout(gr *group) time.Duration {
	return min(maxDrainTimeout, max(minDrainTimeout, co.timeouts[gr.service]))
}
