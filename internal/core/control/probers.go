package control

import (
	"time"

	"corianderhub.dev/corianderhub/internal/core/fleet"
)

// The steward does not probe the VMs of its data centre. Once per second it
// pulls the changed observations from the probing daemons and merges them.

const (
	// observationsInterval is the interval between pulls of observations.
	observationsInterval = time.Second
	// proberStateMaxAge is how long the observations of a prober stay in use
	// after its last response.
	proberStateMaxAge = 6 * time.Second
)

// proberState holds the observations received from one daemon.
type proberState struct {
	// boot and change are ObservationsResponse.Boot and Change of the last response,
	// at is when its pull was sent, and vms holds the observations by VM name.
	boot   int64
	change uint64
	at     time.Time
	vms    map[string]fleet.Observation
}

func (co *Core) pullObservations() {
	if !co.due("sightings", observationsInterval) {
		return
	}
	for _, dm := range co.localDaemons() {
		if dm.Name == co.set.Name {
			co.applyObservations(dm.Name, co.now, co.ObservationsAt(co.now, co.proberStateOf(dm.Name).change))
			continue
		}
		co.emitOnce(keyObservations+dm.Name, PullObservations{Daemon: dm.Name, Peer: dm.Peer, Since: co.proberStateOf(dm.Name).change})
	}
}

func (co *Core) proberStateOf(daemon string) *proberState {
	so, ok := co.steward.probers[daemon]
	if !ok {
		so = &proberState{vms: make(map[string]fleet.Observation)}
		co.steward.probers[daemon] = so
	}
	return so
}

func (co *Core) observationsArrived(ev ObservationsArrived) {
	delete(co.inFlight, keyObservations+ev.Daemon)
	if ev.Response != nil && co.steward.role != follower {
		co.applyObservations(ev.Daemon, ev.SentAt, *ev.Response)
	}
}

// applyObservations merges a daemon's response into its proberState.
func (co *Core) applyObservations(daemon string, sentAt time.Time, an ObservationsResponse) {
	so := co.proberStateOf(daemon)
	restarted := an.Boot != so.boot
	if restarted || an.Full {
		*so = proberState{boot: an.Boot, vms: make(map[string]fleet.Observation)}
	}
	if restarted && !an.Full {
		// The change numbers belong to an earlier run of the daemon. Start
		// over: the next pull requests all observations.
		return
	}
	so.change = an.Change
	so.at = sentAt
	for _, vm := range an.Dropped {
		delete(so.vms, vm)
	}
	for _, sa := range an.VMs {
		so.vms[sa.VM] = fleet.Observation{Report: sa.Report, At: timeFromAge(sentAt, sa.ReportAgeMS), FailingSince: timeFromAge(sentAt, sa.FailingAgeMS)}
	}
}

// timeFromAge converts an age in milliseconds to a time, and a negative age to
// the zero time.
func timeFromAge(from time.Time, ms int64) time.Time {
	if ms < 0 {
		return time.Time{}
	}
	return from.Add(-time.Duration(ms) * time.Millisecond)
}

// mergedObservations merges the observations of all probers. A VM counts as
// failing only if all of its probers report it as failing: a single prober may
// be cut off from a VM that works.
func (co *Core) mergedObservations() map[string]fleet.Observation {
	merged := make(map[string]fleet.Observation)
	for _, name := range sortedKeys(co.steward.probers) {
		so := co.steward.probers[name]
		if co.now.Sub(so.at) > proberStateMaxAge {
			continue
		}
		for vm, si := range so.vms {
			old, ok := merged[vm]
			if !ok || preferred(si, old) {
				merged[vm] = si
			}
		}
	}
	return merged
}

// preferred reports whether si takes precedence over other: a succeeding
// observation over a failing one, then the later start of failure, then the
// newer report.
func preferred(si, other fleet.Observation) bool {
	if si.FailingSince.IsZero() != other.FailingSince.IsZero() {
		return si.FailingSince.IsZero()
	}
	if !si.FailingSince.IsZero() {
		return si.FailingSince.After(other.FailingSince)
	}
	return si.At.After(other.At)
}
