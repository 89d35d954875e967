package control

import (
	"time"

	"corianderhub.dev/corianderhub/internal/core/fleet"
)

// The steward does not probe its data center's VMs: it asks the probers for
// what has changed, once a second, and joins their words.

const (
	// sightingsPause is the pause between two pulls of sightings.
	sightingsPause = time.Second
	// sourceLimit is how long a prober's sightings count without an answer.
	sourceLimit = 6 * time.Second
)

// source is one daemon's sightings.
type source struct {
	boot   int64
	change uint64
	at     time.Time
	vms    map[string]fleet.Observation
}

func (co *Core) pullSightings() {
	if !co.every("sightings", sightingsPause) {
		return
	}
	for _, dm := range co.near() {
		if dm.Name == co.set.Name {
			co.takeSightings(dm.Name, co.now, co.ObservationsAt(co.now, co.sourceOf(dm.Name).change))
			continue
		}
		co.emitOnce(flySightings+dm.Name, PullObservations{Daemon: dm.Name, Peer: dm.Peer, Since: co.sourceOf(dm.Name).change})
	}
}

func (co *Core) sourceOf(daemon string) *source {
	so, ok := co.steward.sources[daemon]
	if !ok {
		so = &source{vms: make(map[string]fleet.Observation)}
		co.steward.sources[daemon] = so
	}
	return so
}

func (co *Core) sightingsArrived(ev ObservationsArrived) {
	delete(co.flying, flySightings+ev.Daemon)
	if ev.Answer != nil && co.steward.standing != follower {
		co.takeSightings(ev.Daemon, ev.SentAt, *ev.Answer)
	}
}

func (co *Core) takeSightings(daemon string, sentAt time.Time, an ObservationsAnswer) {
	so := co.sourceOf(daemon)
	restarted := an.Boot != so.boot
	if restarted || an.Full {
		*so = source{boot: an.Boot, vms: make(map[string]fleet.Observation)}
	}
	if restarted && !an.Full {
		// The changes continue a former run's count: ask for everything.
		return
	}
	so.change = an.Change
	so.at = sentAt
	for _, vm := range an.Dropped {
		delete(so.vms, vm)
	}
	for _, sa := range an.VMs {
		so.vms[sa.VM] = fleet.Observation{Report: sa.Report, At: aged(sentAt, sa.ReportAgeMS), FailingSince: aged(sentAt, sa.FailingAgeMS)}
	}
}

func aged(from time.Time, ms int64) time.Time {
	if ms < 0 {
		return time.Time{}
	}
	return from.Add(-time.Duration(ms) * time.Millisecond)
}

// merged joins the probers' sightings. A VM fails only while every prober
// that sees it says so: one prober that is cut off is no evidence of a death.
func (co *Core) merged() map[string]fleet.Observation {
	seen := make(map[string]fleet.Observation)
	for _, name := range sortedKeys(co.steward.sources) {
		so := co.steward.sources[name]
		if co.now.Sub(so.at) > sourceLimit {
			continue
		}
		for vm, si := range so.vms {
			old, ok := seen[vm]
			if !ok || better(si, old) {
				seen[vm] = si
			}
		}
	}
	return seen
}

func better(si, than fleet.Observation) bool {
	if si.FailingSince.IsZero() != than.FailingSince.IsZero() {
		return si.FailingSince.IsZero()
	}
	if !si.FailingSince.IsZero() {
		return si.FailingSince.After(than.FailingSince)
	}
	return si.At.After(than.At)
}
