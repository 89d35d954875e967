package entry

import (
	"time"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/mesh"
)

// Outages of the store outlast the steward's lease, and groups lose members meanwhile. With
// each heartbeat a daemon therefore promises the steward not to try to acquire the lease
// for a while. A steward cannot be replaced as long as the promises of all daemons hold.

const (
	// stewardTimeout is how long there must be no heartbeat from a steward before another
	// daemon tries to acquire the lease, if all daemons communicate directly.
	// relayedStewardTimeout is the same for large deployments: the steward of 195 daemons
	// gets their acknowledgments 0.5 s late, or 0.8 s late if a heartbeat is lost, and
	// with a shorter timeout it lost its lease in an outage of the store.
	stewardTimeout        = 500 * time.Millisecond
	relayedStewardTimeout = time.Second
	// promiseMargin is subtracted from the duration of a promise.
	promiseMargin = 100 * time.Millisecond
	// maxPromise bounds a promise. Daemons of a higher rank wait longer anyway, and those
	// of the first ranks may have failed together with the steward. The lease itself lasts
	// nearly as long.
	maxPromise = 2 * time.Second
	// promiseRequiredFor is how long after its last heartbeat the promise of an
	// unresponsive daemon is still required.
	promiseRequiredFor = 8 * time.Second
	// lapseGrace is how long a steward that does not certainly hold the lease pauses
	// before it stops being steward, since a heartbeat or two may be lost. It is
	// shorter than leaseMargin, so it ends before another daemon can acquire the lease.
	lapseGrace = 200 * time.Millisecond
	// maxLoggedDaemons bounds the daemons named in a log line.
	maxLoggedDaemons = 5
)

// promise is a daemon's commitment not to try to acquire the lease before the given time
// since boot. started identifies the daemon's process.
type promise struct {
	started int64
	until   time.Duration
}

// recordHeartbeat records the send time of a heartbeat.
func (sh *stewardship) recordHeartbeat(number uint64) {
	if sh.core == nil {
		return
	}
	now := clock.SinceBoot()
	sh.sentAt[number] = now
	for old, at := range sh.sentAt {
		if now-at > maxPromise {
			delete(sh.sentAt, old)
		}
	}
}

// recordPromise records the promise in another daemon's heartbeat, based on the last
// heartbeat of this steward that it has received.
func (sh *stewardship) recordPromise(be mesh.Heartbeat) {
	if sh.core == nil {
		return
	}
	if be.Uptime < startupStewardTimeout && sh.promises[be.IP].started != be.Started {
		// A daemon that has just started does not try before startupStewardTimeout,
		// whatever it has received.
		sh.promises[be.IP] = promise{be.Started, clock.SinceBoot() - be.Uptime + startupStewardTimeout}
	}
	if be.AckTerm != sh.term {
		return
	}
	if at, ok := sh.sentAt[be.AckNumber]; ok {
		sh.promises[be.IP] = promise{be.Started, at + min(maxPromise, max(stewardTimeout, be.PromiseDuration))}
	}
}

// addPromise adds a promise to a heartbeat and records it, unless this daemon is trying to
// acquire the lease.
func (ct *control) addPromise(be *mesh.Heartbeat) {
	if ct.campaigning || ct.lastStewardHeartbeat.IsZero() {
		return
	}
	be.AckTerm, be.AckNumber = ct.steward.Term, ct.steward.Number
	be.PromiseDuration = min(maxPromise, ct.campaignDelay())
	if until := ct.lastStewardHeartbeat.Add(be.PromiseDuration); until.After(ct.promisedUntil) {
		ct.promisedUntil = until
	}
}

// campaignDelay returns how long after the last heartbeat of a steward this daemon tries to
// acquire the lease.
func (ct *control) campaignDelay() time.Duration {
	if ct.da.mesh.Direct() {
		return stewardTimeout + rankWait(ct.rank)
	}
	return relayedStewardTimeout + rankWait(ct.rank)
}

// holds reports whether no other daemon can be the steward: either the lease is certainly
// still this daemon's, or all other daemons have promised not to try to acquire it yet.
func (ct *control) holds() bool {
	return clock.SinceBoot() < ct.lease.until || len(ct.unpromised()) == 0
}

// unpromised returns the names of the daemons whose promises have expired. It skips daemons
// that were unresponsive for longer than network partitions usually last, daemons that are
// leaving, since they will not become steward, and daemons of which a newer process with
// the same name runs at another address, since the machine was replaced.
func (ct *control) unpromised() []string {
	now := clock.SinceBoot()
	peers := ct.da.mesh.AliveWithin(promiseRequiredFor)
	started := make(map[string]int64, len(peers))
	for _, pe := range peers {
		started[pe.Name] = max(started[pe.Name], pe.Started)
	}
	var names []string
	for _, pe := range peers {
		pr := ct.lease.promises[pe.IP]
		if pe.Leaving || pe.Started < started[pe.Name] {
			continue
		}
		if pr.started != pe.Started || now > pr.until-promiseMargin {
			names = append(names, pe.Name)
		}
	}
	return names
}

// lapsed reports whether this daemon must not act as the steward now. If that lasts for
// longer than lapseGrace, the daemon stops being steward.
func (ct *control) lapsed(now time.Time) bool {
	sh := &ct.lease
	if ct.holds() {
		sh.unheldSince = time.Time{}
		return false
	}
	if sh.unheldSince.IsZero() {
		sh.unheldSince = now
	}
	if now.Sub(sh.unheldSince) > lapseGrace {
		names := ct.unpromised()
		ct.da.Log.Info("steward: lease not held.", "term", sh.term, "unpromised", len(names), "daemons", names[:min(len(names), maxLoggedDaemons)])
		ct.loseSteward("lease lapsed")
	}
	return true
}
