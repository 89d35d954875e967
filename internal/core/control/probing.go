package control

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"corianderhub.dev/corianderhub/internal/core/fleet"
	"corianderhub.dev/corianderhub/internal/core/gossip"
	"corianderhub.dev/corianderhub/internal/core/permit"
)

// sighting is this daemon's own evidence of one VM.
type sighting struct {
	fleet.Observation
	// change is the value of Core.changes when this last changed.
	change uint64
	// probedAt is when the last probe was emitted.
	probedAt time.Time
	// sameSince is when the first of the answers arrived that all showed the
	// VM in the state of the last one.
	sameSince time.Time
}

// assignment says why this daemon probes a VM.
type assignment struct {
	vm fleet.VM
	// group is the VM's group; empty for a VM that is in none.
	group string
}

// idleFactor stretches the pause between probes of VMs that are in no group.
const idleFactor = 4

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func millis(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

func (co *Core) takeDomain(do gossip.Doc) {
	var dom fleet.Domain
	if json.Unmarshal(do.Value, &dom) != nil || !co.docs.Put(do) {
		return
	}
	co.domains[do.Name] = dom
	co.regroup()
}

// vmsDoc is the platform's list of one data center as its steward read it.
type vmsDoc struct {
	DataCenter string     `json:"data-center"`
	VMs        []fleet.VM `json:"vms"`
}

func (co *Core) takeVMs(do gossip.Doc) {
	var vd vmsDoc
	if json.Unmarshal(do.Value, &vd) != nil || !co.docs.Put(do) || vd.DataCenter != co.set.DataCenter {
		return
	}
	clear(co.vms)
	for _, vm := range vd.VMs {
		co.vms[vm.Name] = vm
	}
	co.assign()
}

// regroup rebuilds what is derived from the domains.
func (co *Core) regroup() {
	clear(co.groups)
	clear(co.byHash)
	for _, dom := range co.domains {
		for _, gr := range dom.Groups {
			co.groups[gr.ID] = gr
			co.byHash[groupHash(gr)] = gr.ID
		}
	}
	co.permits.Retain(func(group string) bool { _, ok := co.groups[group]; return ok })
	maps.DeleteFunc(co.rings, func(group string, _ []string) bool { _, ok := co.groups[group]; return !ok })
	co.assign()
}

// assign works out which VMs this daemon probes: two daemons for each group,
// one for each VM that is in none. All daemons that know the same come to the
// same answer.
func (co *Core) assign() {
	near := co.near()
	next := make(map[string]assignment)
	grouped := make(map[string]bool)
	for _, name := range sortedKeys(co.domains) {
		dom := co.domains[name]
		if dom.DataCenter != co.set.DataCenter {
			continue
		}
		for _, gr := range dom.Groups {
			mine := co.ranked(near, gr.ID, probers)
			for _, me := range gr.Members {
				grouped[me.VM] = true
				if mine {
					next[me.VM] = assignment{vm: fleet.VM{Name: me.VM, Address: me.Address, Domain: dom.Name}, group: gr.ID}
				}
			}
		}
	}
	for _, name := range sortedKeys(co.vms) {
		if !grouped[name] && co.ranked(near, name, 1) {
			next[name] = assignment{vm: co.vms[name]}
		}
	}
	co.probing = next
	for _, vm := range sortedKeys(co.seen) {
		if _, ok := next[vm]; !ok {
			co.unsee(vm)
		}
	}
}

// unsee ends the probing of a VM and tells the steward so: a last good
// sighting kept there would hide what the VM's next prober finds.
func (co *Core) unsee(vm string) {
	delete(co.seen, vm)
	co.changes++
	co.dropped[vm] = co.changes
}

func (co *Core) ranked(near []gossip.Daemon, key string, num int) bool {
	for _, dm := range gossip.Ranked(near, key, num) {
		if dm.Name == co.set.Name {
			return true
		}
	}
	return false
}

// probePause is the pause between probes of one VM, stretched so that all of
// this daemon's probes stay within their share of bytes.
func (co *Core) probePause() time.Duration {
	pause := co.set.Timing.Probe
	if budget := co.set.Timing.ProbeBytes; budget > 0 {
		pause = max(pause, time.Duration(len(co.probing))*probeCost*time.Second/time.Duration(budget))
	}
	return pause
}

func (co *Core) probeRound() {
	pause := co.probePause()
	for _, vm := range sortedKeys(co.probing) {
		as := co.probing[vm]
		si := co.sightingOf(vm)
		if co.now.Sub(si.probedAt) < co.pauseFor(as, pause) {
			continue
		}
		si.probedAt = co.now
		co.emitOnce(flyProbe+vm, Probe{VM: as.vm})
	}
}

// pauseFor spares probes where requests already prove the group whole.
func (co *Core) pauseFor(as assignment, pause time.Duration) time.Duration {
	gr, ok := co.groups[as.group]
	if !ok {
		return idleFactor * pause
	}
	pe, ok := co.permits.Permit(gr, co.now)
	if ok && co.rings[gr.ID] != nil && co.now.Sub(pe.At) < co.set.Timing.Permit/3 && co.provenByTraffic(gr, pe) {
		return max(pause, co.set.Timing.Sweep)
	}
	return pause
}

// provenByTraffic tells whether the evidence is newer than this daemon's own
// probes, so that it came from requests or from the other prober.
func (co *Core) provenByTraffic(gr fleet.Group, pe permit.Permit) bool {
	for _, me := range gr.Members {
		if si, ok := co.seen[me.VM]; !ok || si.At.IsZero() || !si.At.Before(pe.At) {
			return false
		}
	}
	return true
}

func (co *Core) sightingOf(vm string) *sighting {
	si, ok := co.seen[vm]
	if !ok {
		si = &sighting{}
		co.seen[vm] = si
		delete(co.dropped, vm)
	}
	return si
}

func (co *Core) probed(ev Probed) {
	delete(co.flying, flyProbe+ev.VM)
	as, ok := co.probing[ev.VM]
	if !ok {
		return
	}
	si := co.sightingOf(ev.VM)
	if ev.Report == nil {
		co.probeFailed(si, ev)
	} else if si.At.Before(ev.SentAt) {
		co.probeAnswered(si, ev)
	}
	if gr, ok := co.groups[as.group]; ok {
		co.judge(gr, ev)
	}
}

func (co *Core) probeFailed(si *sighting, ev Probed) {
	if si.FailingSince.IsZero() {
		si.FailingSince = ev.SentAt
		co.changes++
		si.change = co.changes
	}
}

func (co *Core) probeAnswered(si *sighting, ev Probed) {
	if si.At.IsZero() || !si.FailingSince.IsZero() || !si.Report.EqualExceptTokens(*ev.Report) {
		co.changes++
		si.change = co.changes
	}
	if si.sameSince.IsZero() || !si.FailingSince.IsZero() || !sameMembership(si.Report, *ev.Report) {
		si.sameSince = co.now
	}
	si.Report = *ev.Report
	si.At = ev.SentAt
	si.FailingSince = time.Time{}
}

// judge turns the newest probe into a permit or its withdrawal.
func (co *Core) judge(gr fleet.Group, ev Probed) {
	if co.denies(gr, ev) {
		if co.permits.Revoke(gr.ID, co.now) {
			co.emit(BroadcastRevocation{Group: gr.ID, Fence: gr.Fence, Peers: co.region()})
		}
		return
	}
	ring, ok := gr.ServingRing(co.fresh)
	if !ok {
		return
	}
	co.rings[gr.ID] = ring
	oldest, newest := co.seen[ring[0]].At, time.Time{}
	load := fleet.Load{}
	for _, vm := range ring {
		si := co.seen[vm]
		if si.At.Before(oldest) {
			oldest = si.At
		}
		if si.sameSince.After(newest) {
			newest = si.sameSince
		}
		load.PendingTokens += si.Report.Load.PendingTokens
		load.ResidentTokens += si.Report.Load.ResidentTokens
		load.Requests += si.Report.Load.Requests
	}
	// The members were probed one after the other. One may have died before
	// another became ready, so that the group never was whole at one moment.
	// Each member served from its first such answer to its last probe: the
	// group was whole at a moment that lies within all of these times.
	if oldest.Before(newest) {
		return
	}
	co.permits.Add(permit.Evidence{Group: gr.ID, Fence: gr.Fence, Leader: ring[0], At: oldest, Load: load})
}

// sameMembership tells whether a VM has stayed in one state between two
// reports: it can't leave a ring and come back to it with the same turn.
func sameMembership(re, next fleet.Report) bool {
	re.Load, next.Load = fleet.Load{}, fleet.Load{}
	return re.EqualExceptTokens(next)
}

// revoked withdraws a permit on another daemon's word. A daemon that was
// frozen during a repair wakes up, finds the replaced member gone and tells
// all of the group as it was: that says nothing of the group as it is now.
func (co *Core) revoked(ev Revoked) {
	if gr, ok := co.groups[ev.Group]; ok && ev.Fence >= gr.Fence {
		co.permits.Revoke(ev.Group, co.now)
	}
}

// fresh returns the report of a VM that was seen within a permit's lifetime
// and has not failed since.
func (co *Core) fresh(vm string) (fleet.Report, bool) {
	si, ok := co.seen[vm]
	if !ok || si.At.IsZero() || !si.FailingSince.IsZero() || co.now.Sub(si.At) >= co.set.Timing.Permit {
		return fleet.Report{}, false
	}
	return si.Report, true
}

// denies tells whether the probe is direct evidence that gr is not whole. A
// timeout is none: the prober itself may be cut off. A spare's loss is none
// either.
func (co *Core) denies(gr fleet.Group, ev Probed) bool {
	ring, known := co.rings[gr.ID]
	if known && !slices.Contains(ring, ev.VM) {
		return false
	}
	if ev.Report == nil {
		return ev.Refused
	}
	me, ok := gr.Member(ev.VM)
	re := ev.Report
	return ok && (re.Incarnation != me.Incarnation || re.Leaving || re.Group != gr.ID || !re.Ready)
}

// answered takes a request's first token as evidence.
func (co *Core) answered(ev ResponseStarted) {
	gr, ok := co.groups[ev.Group]
	if !ok || gr.Fence != ev.Fence {
		return
	}
	// The load is that of the last report: an answer carries none.
	pe, _ := co.permits.Permit(gr, co.now)
	co.permits.Add(permit.Evidence{Group: gr.ID, Fence: ev.Fence, Leader: ev.Leader, At: ev.SentAt, Load: pe.Load})
}

// SightingsAnswer tells the steward which VMs' sightings have changed.
type ObservationsAnswer struct {
	// Boot tells answers of one run of a daemon from those of another.
	Boot int64 `cbor:"1,keyasint"`
	// Change is where the next pull goes on.
	Change uint64            `cbor:"2,keyasint"`
	VMs    []AgedObservation `cbor:"3,keyasint,omitempty"`
	// Whole says that VMs holds all sightings and not only changes.
	Full bool `cbor:"4,keyasint,omitempty"`
	// Dropped names VMs that this daemon no longer probes.
	Dropped []string `cbor:"5,keyasint,omitempty"`
}

// SightingAged is a sighting with ages in place of times.
type AgedObservation struct {
	VM     string       `cbor:"1,keyasint"`
	Report fleet.Report `cbor:"2,keyasint"`
	// SeenAgeMS is the age of the report, -1 if there is none.
	ReportAgeMS int64 `cbor:"3,keyasint"`
	// FailingAgeMS is how long probes have failed, -1 if they succeed.
	FailingAgeMS int64 `cbor:"4,keyasint"`
}

// SightingsAt returns what has changed since the given change, for a steward
// that asks at now.
func (co *Core) ObservationsAt(now time.Time, since uint64) ObservationsAnswer {
	co.now = now
	an := ObservationsAnswer{Boot: co.started.UnixNano(), Change: co.changes, Full: since == 0}
	for _, vm := range sortedKeys(co.seen) {
		si := co.seen[vm]
		if si.change > since {
			an.VMs = append(an.VMs, AgedObservation{VM: vm, Report: si.Report,
				ReportAgeMS: co.age(si.At), FailingAgeMS: co.age(si.FailingSince)})
		}
	}
	for _, vm := range sortedKeys(co.dropped) {
		if co.dropped[vm] > since && !an.Full {
			an.Dropped = append(an.Dropped, vm)
		}
	}
	return an
}

func (co *Core) age(at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return co.now.Sub(at).Milliseconds()
}
