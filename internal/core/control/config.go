package control

import (
	"corianderhub.dev/corianderhub/internal/core/chain"
	"corianderhub.dev/corianderhub/internal/core/intent"
)

// fetchInitialConfig reads the configuration from the platform while this
// daemon has none. It waits for peers first: after an outage many daemons start
// at once, and the platform should not have to serve all of them.
func (co *Core) fetchInitialConfig() {
	if co.cfgKnown || co.now.Sub(co.started) < peerConfigWait && len(co.set.Seeds) > 0 {
		return
	}
	if co.due("boot-config", peerConfigWait) {
		co.emitOnce(SourcePlatformConfig, ReadConfig{After: co.cfg.Revision})
	}
}

// configArrived applies a newer configuration. It never goes back to an older
// revision, because platform reads may be stale and peers may lag.
func (co *Core) configArrived(ev ConfigArrived) {
	delete(co.inFlight, ev.Source)
	if ev.Known {
		co.cfgKnown = true
	}
	if co.deferForLost(ev) {
		return
	}
	if ev.Snapshot != nil && ev.Snapshot.Revision > co.cfg.Revision {
		co.cfg = ev.Snapshot
		co.cfgKnown = true
		co.recentEntries = nil
	}
	for _, en := range ev.Entries {
		co.applyEntry(en)
	}
}

// applyEntry applies the configuration entry that directly follows the current
// revision and keeps it for peers. It ignores any other entry and entries that
// do not apply.
func (co *Core) applyEntry(en chain.Entry) {
	if en.Revision != co.cfg.Revision+1 {
		return
	}
	next, err := chain.Advance(co.cfg, en)
	if err != nil {
		return
	}
	co.cfg = next
	co.cfgKnown = true
	co.recentEntries = append(co.recentEntries, en)
	if len(co.recentEntries) > maxRecentEntries {
		co.recentEntries = append([]chain.Entry(nil), co.recentEntries[len(co.recentEntries)-maxRecentEntries/2:]...)
	}
}

// ConfigResponse updates a peer from the revision it requested to the one of this
// daemon.
type ConfigResponse struct {
	// Known reports whether the responding daemon has a configuration.
	Known bool `cbor:"1,keyasint"`
	// Pieces hold the whole configuration if the recent entries do not reach
	// back to the requested revision.
	Pieces  []chain.Piece `cbor:"2,keyasint,omitempty"`
	Entries []chain.Entry `cbor:"3,keyasint,omitempty"`
}

// ConfigAfter returns the update for a peer that has the configuration up to
// revision after. The error, if any, comes from encoding the whole
// configuration.
func (co *Core) ConfigAfter(after uint64) (ConfigResponse, error) {
	an := ConfigResponse{Known: co.cfgKnown}
	if after >= co.cfg.Revision {
		return an, nil
	}
	first := co.cfg.Revision - uint64(len(co.recentEntries)) + 1
	if after+1 >= first {
		an.Entries = co.recentEntries[after+1-first:]
		return an, nil
	}
	var err error
	an.Pieces, err = chain.Pieces(co.cfg)
	return an, err
}

// Config returns the configuration in force, and whether it has been received
// yet. The result must not be modified.
func (co *Core) Config() (*intent.Config, bool) { return co.cfg, co.cfgKnown }
