package entry

import (
	"time"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/mesh"
)

// The store's outages outlast a steward's lease, and groups lose members meanwhile. So
// with each beat a daemon promises the steward not to look at the lease for a while, and
// a steward whose promises of all daemons hold can't be replaced.

const (
	// stewardSilence is how long a steward must be silent before another daemon looks
	// at the lease where all daemons tell each other everything. manySilence is the
	// same where they are many: a steward hears of 195 daemons 0.5 s late whether they
	// have heard it, with a beat lost 0.8 s, and gave its lease up in an outage of the
	// store with less than that.
	stewardSilence = 500 * time.Millisecond
	manySilence    = time.Second
	// promiseMargin is taken off the time that a promise holds.
	promiseMargin = 100 * time.Millisecond
	// maxPromise bounds a promise: daemons that are not among the first to look at the
	// lease wait longer anyway, and the first may be gone with the steward. The lease
	// itself lasts nearly as long.
	maxPromise = 2 * time.Second
	// electorateSpan is how long a silent daemon's promise is still asked for.
	electorateSpan = 8 * time.Second
	// lapseGrace is how long a steward that does not hold the lease for certain does
	// nothing before it gives up: a beat or two may be lost. With leaseMargin it ends
	// before another daemon can hold the lease.
	lapseGrace = 200 * time.Millisecond
	// maxNamed bounds the daemons that a log line names.
	maxNamed = 5
)

// promise is a daemon's word not to look at the lease until then, since boot.
type promise struct {
	started int64
	until   time.Duration
}

// sent notes when a beat was sent.
func (sh *stewardship) sent(number uint64) {
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

// promised takes in what another daemon has heard of this steward.
func (sh *stewardship) promised(be mesh.Heartbeat) {
	if sh.core == nil {
		return
	}
	if be.Uptime < startSilence && sh.promises[be.IP].started != be.Started {
		// A daemon that has just started waits longer, whatever it has heard.
		sh.promises[be.IP] = promise{be.Started, clock.SinceBoot() - be.Uptime + startSilence}
	}
	if be.AckTerm != sh.term {
		return
	}
	if at, ok := sh.sentAt[be.AckNumber]; ok {
		sh.promises[be.IP] = promise{be.Started, at + min(maxPromise, max(stewardSilence, be.PromiseDuration))}
	}
}

// promise makes a beat promise the steward not to look at the lease for a while, and
// notes that.
func (ct *control) promise(be *mesh.Heartbeat) {
	if ct.campaigning || ct.heard.IsZero() {
		return
	}
	be.AckTerm, be.AckNumber = ct.steward.Term, ct.steward.Number
	be.PromiseDuration = min(maxPromise, ct.patience())
	if until := ct.heard.Add(be.PromiseDuration); until.After(ct.promisedUntil) {
		ct.promisedUntil = until
	}
}

// patience is how long a steward that was heard must be silent before this daemon looks
// at the lease.
func (ct *control) patience() time.Duration {
	if ct.da.mesh.Direct() {
		return stewardSilence + rankWait(ct.rank)
	}
	return manySilence + rankWait(ct.rank)
}

// holds tells whether no other daemon can be the steward: because the lease is
// certainly still this daemon's, or because every other daemon has promised not
// to look at it yet.
func (ct *control) holds() bool {
	return clock.SinceBoot() < ct.lease.until || len(ct.unpromised()) == 0
}

// unpromised returns the daemons whose promises do not hold any more. Daemons
// that were silent for longer than cuts usually last are taken as gone, and so are those
// whose name a later process has at another address: the machine was replaced. One
// that leaves will not become steward.
func (ct *control) unpromised() []string {
	now := clock.SinceBoot()
	heard := ct.da.mesh.AliveWithin(electorateSpan)
	started := make(map[string]int64, len(heard))
	for _, pe := range heard {
		started[pe.Name] = max(started[pe.Name], pe.Started)
	}
	var names []string
	for _, pe := range heard {
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

// lapsed tells whether this daemon may not act as the steward now, and gives the lease
// up once that has lasted.
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
		ct.da.Log.Info("steward: lease not held.", "term", sh.term, "unpromised", len(names), "daemons", names[:min(len(names), maxNamed)])
		ct.loseSteward("lease lapsed")
	}
	return true
}
