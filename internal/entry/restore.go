package entry

import (
	"context"
	"slices"
	"time"

	"corianderhub.dev/corianderhub/internal/mesh"
	"corianderhub.dev/corianderhub/platform"
)

// registerSpread is the time over which the daemons of a large deployment check their
// registrations after a restore of the store.
const registerSpread = time.Second

// handleRestore handles a restore of the store from a copy: what was written since the copy was
// made is gone, and revisions are given out again. The operators and the endpoints write again
// what is theirs, the daemons what is theirs.
func (ct *control) handleRestore(before, era int64) {
	ct.da.Log.Warn("store: restored from a copy.", "era", era, "before", before)
	// The lease may be gone, so that another daemon may acquire it. Until it is renewed, only the
	// promises of the others prove that none has.
	ct.lease.until = 0
	ct.quarantine.nextSync = time.Time{}
}

// recordPeerEra records the store's era that another daemon names.
func (ct *control) recordPeerEra(be mesh.Heartbeat) { ct.peerEra = max(ct.peerEra, be.StoreEra) }

// stepRegistration checks this daemon's registration at the store once for each era. It may have
// been written after the copy that the store was restored from.
func (ct *control) stepRegistration() {
	era := max(ct.peerEra, ct.da.store.Era())
	if !ct.knowsDaemons || ct.registering || era <= ct.registeredEra {
		return
	}
	ct.registering = true
	wait := ct.registerDelay()
	ct.da.spawn(&ct.wg, func(ctx context.Context) {
		if ct.da.Clock.Sleep(ctx, wait) != nil {
			return
		}
		ct.registerAgain(ctx)
		ct.post(func() { ct.registering, ct.registeredEra = false, max(era, ct.registeredEra) })
	})
}

// registerDelay returns how long this daemon waits, so that the daemons of a large deployment don't
// all call the store at once.
func (ct *control) registerDelay() time.Duration {
	if ct.da.mesh.Direct() {
		return 0
	}
	known := slices.Sorted(slices.Values(ct.da.mesh.Known()))
	rank := slices.Index(known, ct.da.Settings.IP)
	return registerSpread * time.Duration(rank) / time.Duration(len(known))
}

// registerAgain writes this daemon's registration unless the store has it. It repeats failed calls
// until ctx ends.
func (ct *control) registerAgain(ctx context.Context) {
	pause := retryPause
	for ctx.Err() == nil {
		it, err := ct.da.store.Get(ctx, daemonPrefix+ct.da.Settings.IP)
		if err == nil && it.Revision == 0 {
			err = ct.writeRegistration(ctx)
		}
		if err == nil {
			return
		}
		ct.da.Log.Info("control: registering at the store failed.", "cause", err.Error())
		_ = ct.da.Clock.Sleep(ctx, pause) // The loop checks ctx.
		pause = min(maxJoinPause, 2*pause)
	}
}

// writeRegistration writes this daemon's registration.
func (ct *control) writeRegistration(ctx context.Context) error {
	put := platform.Put{Key: daemonPrefix + ct.da.Settings.IP, Value: []byte(ct.da.Settings.Name)}
	_, err := ct.da.store.Txn(ctx, nil, []platform.Put{put}, nil)
	return err
}
