package control

import (
	"corianderhub.dev/corianderhub/internal/core/chain"
	"corianderhub.dev/corianderhub/internal/core/intent"
)

// bootConfig asks the platform for the configuration while a new daemon has
// none. Peers come first: after an outage many daemons start at once, and the
// platform should not have to serve each of them.
func (co *Core) bootConfig() {
	if co.cfgKnown || co.now.Sub(co.started) < bootWait && len(co.set.Seeds) > 0 {
		return
	}
	if co.every("boot-config", bootWait) {
		co.emitOnce(SourcePlatformConfig, ReadConfig{After: co.cfg.Revision})
	}
}

// configArrived moves to the newest configuration. It never moves back:
// a read may be served stale and a peer may lag.
func (co *Core) configArrived(ev ConfigArrived) {
	delete(co.flying, ev.Source)
	if ev.Known {
		co.cfgKnown = true
	}
	if ev.Snapshot != nil && ev.Snapshot.Revision > co.cfg.Revision {
		co.cfg = ev.Snapshot
		co.cfgKnown = true
		co.entries = nil
	}
	for _, en := range ev.Entries {
		co.advance(en)
	}
}

func (co *Core) advance(en chain.Entry) {
	if en.Revision != co.cfg.Revision+1 {
		return
	}
	next, err := chain.Advance(co.cfg, en)
	if err != nil {
		return
	}
	co.cfg = next
	co.cfgKnown = true
	co.entries = append(co.entries, en)
	if len(co.entries) > keptEntries {
		co.entries = append([]chain.Entry(nil), co.entries[len(co.entries)-keptEntries/2:]...)
	}
}

// ConfigAnswer brings a peer from the revision it named to this daemon's.
type ConfigAnswer struct {
	Known bool `cbor:"1,keyasint"`
	// Pieces hold the whole configuration when the entries do not reach back
	// far enough.
	Pieces  []chain.Piece `cbor:"2,keyasint,omitempty"`
	Entries []chain.Entry `cbor:"3,keyasint,omitempty"`
}

// ConfigAfter answers a peer that has the configuration up to revision after.
func (co *Core) ConfigAfter(after uint64) (ConfigAnswer, error) {
	an := ConfigAnswer{Known: co.cfgKnown}
	if after >= co.cfg.Revision {
		return an, nil
	}
	first := co.cfg.Revision - uint64(len(co.entries)) + 1
	if after+1 >= first {
		an.Entries = co.entries[after+1-first:]
		return an, nil
	}
	var err error
	an.Pieces, err = chain.Pieces(co.cfg)
	return an, err
}

// Config returns the configuration in force and whether it is known yet.
func (co *Core) Config() (*intent.Config, bool) { return co.cfg, co.cfgKnown }
