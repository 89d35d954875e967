package steward

import (
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// SetServices adds or updates the engines from the configuration in force. Services without an
// engine are ignored.
func (co *Core) SetServices(cfg *catalog.Config) {
	for name, se := range cfg.Services {
		if se.Engine != nil {
			co.services[name] = se.Engine
		}
	}
	co.timeouts = make(map[string]time.Duration)
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
