package control

import (
	"time"

	"corianderhub.dev/corianderhub/internal/core/chain"
	"corianderhub.dev/corianderhub/internal/core/intent"
)

// reapplyInterval is the time between two attempts to apply lost changes again.
const reapplyInterval = time.Second

// Reapply applies changes again that a restore of the key-value service has taken back.
type Reapply struct {
	Config  *intent.Config
	Entries []chain.Entry
	// Base is a revision of Config. Later changes of the same objects take precedence.
	Base uint64
}

// deferForLost reports whether the arrived configuration lacks changes of this daemon that must be
// applied again before it is adopted, so that they do not go out of force in between. If the first
// attempt fails, it is adopted without them.
func (co *Core) deferForLost(ev ConfigArrived) bool {
	if ev.Source == SourcePlatformConfig && ev.Known && ev.StoredRevision < co.cfg.Revision {
		co.rewriteHead()
	}
	re, ok := co.lostChanges(ev.Snapshot)
	switch {
	case !ok:
		return false
	case re.Base == co.triedBase:
		return newestRevision(ev) < co.reappliedAt
	}
	co.lost = &re
	co.emitOnce(keyReapply, re)
	return true
}

// rewriteHead writes the configuration in force to a key-value service that is behind it, by
// applying its last change again.
func (co *Core) rewriteHead() {
	if num := len(co.recentEntries); num > 0 {
		co.emitOnce(keyReapply, Reapply{Config: co.cfg, Entries: co.recentEntries[num-1:], Base: co.cfg.Revision})
	}
}

// lostChanges returns the changes in force here that a configuration of a later era does not
// continue from.
func (co *Core) lostChanges(cfg *intent.Config) (Reapply, bool) {
	if cfg == nil || cfg.Base <= co.cfg.Revision || cfg.Continues >= co.cfg.Revision {
		return Reapply{}, false
	}
	re := Reapply{Config: cfg, Base: cfg.Base}
	for _, en := range co.recentEntries {
		if en.Revision > cfg.Continues {
			re.Entries = append(re.Entries, en)
		}
	}
	return re, len(re.Entries) > 0
}

// newestRevision returns the revision that a configuration with a snapshot leads to.
func newestRevision(ev ConfigArrived) uint64 {
	if num := len(ev.Entries); num > 0 {
		return ev.Entries[num-1].Revision
	}
	return ev.Snapshot.Revision
}

func (co *Core) reapplied(ev Reapplied) {
	delete(co.inFlight, keyReapply)
	if co.lost == nil {
		return
	}
	if ev.Base != co.lost.Base {
		co.emitOnce(keyReapply, *co.lost)
		return
	}
	co.triedBase, co.reappliedAt = co.lost.Base, 0
	if ev.Failed {
		return
	}
	co.reappliedAt = ev.Revision
	co.lost = nil
	co.emitOnce(SourcePlatformConfig, ReadConfig{After: co.cfg.Revision})
}

// retryReapply repeats an attempt that has failed.
func (co *Core) retryReapply() {
	if co.lost != nil && co.due("reapply", reapplyInterval) {
		co.emitOnce(keyReapply, *co.lost)
	}
}
