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

// observation is this daemon's own evidence about one VM.
type observation struct {
	fleet.Observation
	// changeSeq is the value of Core.changeSeq when the observation last
	// changed.
	changeSeq uint64
	// probedAt is when the last probe was emitted.
	probedAt time.Time
	// unchangedSince is the arrival time of the first report in the current
	// series of reports with the same membership state. A failed probe ends the
	// series.
	unchangedSince time.Time
}

// probeAssignment is a VM that this daemon probes.
type probeAssignment struct {
	vm fleet.VM
	// group is the ID of the VM's group, empty if it is in none.
	group string
}

// ungroupedIntervalFactor multiplies the probe interval of VMs that are in no
// group.
const ungroupedIntervalFactor = 4

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func millis(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// applyDomain applies the assignment of a fabric domain, of any data centre.
func (co *Core) applyDomain(do gossip.Doc) {
	var dom fleet.Domain
	if json.Unmarshal(do.Value, &dom) != nil || dom.Check() != nil || !co.docs.Put(do) {
		return
	}
	co.domains[do.Name] = dom
	co.rebuildGroups()
}

// vmsDoc is the list of VMs in one data centre, as its steward read it from the
// platform.
type vmsDoc struct {
	DataCenter string     `json:"data-center"`
	VMs        []fleet.VM `json:"vms"`
}

// applyVMs applies the VM list of this data centre.
func (co *Core) applyVMs(do gossip.Doc) {
	var vd vmsDoc
	if json.Unmarshal(do.Value, &vd) != nil || !co.docs.Put(do) || vd.DataCenter != co.set.DataCenter {
		return
	}
	clear(co.vms)
	for _, vm := range vd.VMs {
		co.vms[vm.Name] = vm
	}
	co.assignProbes()
}

// rebuildGroups recomputes the state derived from the domains.
func (co *Core) rebuildGroups() {
	clear(co.groups)
	clear(co.groupByHash)
	for _, dom := range co.domains {
		for _, gr := range dom.Groups {
			co.groups[gr.ID] = gr
			co.groupByHash[groupHash(gr)] = gr.ID
		}
	}
	co.permits.Retain(func(group string) bool { _, ok := co.groups[group]; return ok })
	maps.DeleteFunc(co.rings, func(group string, _ []string) bool { _, ok := co.groups[group]; return !ok })
	co.assignProbes()
}

// assignProbes determines which VMs this daemon probes. Each group is probed by
// probersPerGroup daemons and each VM outside of any group by one. Daemons with
// the same documents compute the same assignment.
func (co *Core) assignProbes() {
	local := co.localDaemons()
	next := make(map[string]probeAssignment)
	grouped := make(map[string]bool)
	for _, name := range sortedKeys(co.domains) {
		dom := co.domains[name]
		if dom.DataCenter != co.set.DataCenter {
			continue
		}
		for _, gr := range dom.Groups {
			mine := co.ranksWithin(local, gr.ID, probersPerGroup)
			for _, me := range gr.Members {
				grouped[me.VM] = true
				if mine {
					next[me.VM] = probeAssignment{vm: fleet.VM{Name: me.VM, Address: me.Address, Domain: dom.Name}, group: gr.ID}
				}
			}
		}
	}
	for _, name := range sortedKeys(co.vms) {
		if !grouped[name] && co.ranksWithin(local, name, 1) {
			next[name] = probeAssignment{vm: co.vms[name]}
		}
	}
	co.probing = next
	for _, vm := range sortedKeys(co.observations) {
		if _, ok := next[vm]; !ok {
			co.stopProbing(vm)
		}
	}
}

// stopProbing drops the observation of a VM and reports this to the steward.
// Otherwise the last good observation would stay with the steward and hide what
// the VM's next prober finds.
func (co *Core) stopProbing(vm string) {
	delete(co.observations, vm)
	co.changeSeq++
	co.droppedAt[vm] = co.changeSeq
}

// ranksWithin reports whether this daemon is among the first num daemons for
// key.
func (co *Core) ranksWithin(dms []gossip.Daemon, key string, num int) bool {
	for _, dm := range gossip.Ranked(dms, key, num) {
		if dm.Name == co.set.Name {
			return true
		}
	}
	return false
}

// probeInterval returns the interval between probes of a VM, extended so that
// the probes of this daemon stay below Timing.ProbeBytes.
func (co *Core) probeInterval() time.Duration {
	interval := co.set.Timing.Probe
	if budget := co.set.Timing.ProbeBytes; budget > 0 {
		interval = max(interval, time.Duration(len(co.probing))*probeWireBytes*time.Second/time.Duration(budget))
	}
	return interval
}

func (co *Core) probeRound() {
	interval := co.probeInterval()
	for _, vm := range sortedKeys(co.probing) {
		as := co.probing[vm]
		si := co.observationOf(vm)
		if co.now.Sub(si.probedAt) < co.probeIntervalFor(as, interval) {
			continue
		}
		si.probedAt = co.now
		co.emitOnce(keyProbe+vm, Probe{VM: as.vm})
	}
}

// probeIntervalFor returns the probe interval for one VM. It is extended to
// Timing.Sweep while requests prove that the VM's group is complete.
func (co *Core) probeIntervalFor(as probeAssignment, interval time.Duration) time.Duration {
	gr, ok := co.groups[as.group]
	if !ok {
		return ungroupedIntervalFactor * interval
	}
	pe, ok := co.permits.Permit(gr, co.now)
	if ok && co.rings[gr.ID] != nil && co.now.Sub(pe.At) < co.set.Timing.Permit/3 && co.provenByTraffic(gr, pe) {
		return max(interval, co.set.Timing.Sweep)
	}
	return interval
}

// provenByTraffic reports whether the evidence is newer than this daemon's own
// probes, which means that it came from requests or from the other prober.
func (co *Core) provenByTraffic(gr fleet.Group, pe permit.Permit) bool {
	for _, me := range gr.Members {
		if si, ok := co.observations[me.VM]; !ok || si.At.IsZero() || !si.At.Before(pe.At) {
			return false
		}
	}
	return true
}

func (co *Core) observationOf(vm string) *observation {
	si, ok := co.observations[vm]
	if !ok {
		si = &observation{}
		co.observations[vm] = si
		delete(co.droppedAt, vm)
	}
	return si
}

// probed records the result of a probe and updates the permit of the VM's
// group. It ignores results for VMs that are no longer assigned to this daemon.
func (co *Core) probed(ev Probed) {
	delete(co.inFlight, keyProbe+ev.VM)
	as, ok := co.probing[ev.VM]
	if !ok {
		return
	}
	si := co.observationOf(ev.VM)
	if ev.Report == nil {
		co.probeFailed(si, ev)
	} else if si.At.Before(ev.SentAt) {
		co.probeAnswered(si, ev)
	}
	if gr, ok := co.groups[as.group]; ok {
		co.updatePermit(gr, ev)
	}
}

func (co *Core) probeFailed(si *observation, ev Probed) {
	if si.FailingSince.IsZero() {
		si.FailingSince = ev.SentAt
		co.changeSeq++
		si.changeSeq = co.changeSeq
	}
}

func (co *Core) probeAnswered(si *observation, ev Probed) {
	if si.At.IsZero() || !si.FailingSince.IsZero() || !si.Report.EqualExceptTokens(*ev.Report) {
		co.changeSeq++
		si.changeSeq = co.changeSeq
	}
	if si.unchangedSince.IsZero() || !si.FailingSince.IsZero() || !sameMembership(si.Report, *ev.Report) {
		si.unchangedSince = co.now
	}
	si.Report = *ev.Report
	si.At = ev.SentAt
	si.FailingSince = time.Time{}
}

// updatePermit grants, renews or revokes the permit for gr after a probe of one
// of its members. Other daemons learn of a revocation at once.
func (co *Core) updatePermit(gr fleet.Group, ev Probed) {
	if co.disproves(gr, ev) {
		if co.permits.Revoke(gr.ID, co.now) {
			co.emit(BroadcastRevocation{Group: gr.ID, Fence: gr.Fence, Peers: co.regionPeers()})
		}
		return
	}
	ring, ok := gr.ServingRing(co.freshReport)
	if !ok {
		return
	}
	co.rings[gr.ID] = ring
	oldest, newest := co.observations[ring[0]].At, time.Time{}
	load := fleet.Load{}
	for _, vm := range ring {
		si := co.observations[vm]
		if si.At.Before(oldest) {
			oldest = si.At
		}
		if si.unchangedSince.After(newest) {
			newest = si.unchangedSince
		}
		load.PendingTokens += si.Report.Load.PendingTokens
		load.ResidentTokens += si.Report.Load.ResidentTokens
		load.Requests += si.Report.Load.Requests
	}
	// The members are probed one after the other, so one may have died before
	// another became ready and the group was never complete at any one time.
	// Each member was ready from its unchangedSince until its last probe. Only
	// if all these intervals overlap was the group complete.
	if oldest.Before(newest) {
		return
	}
	co.permits.Add(permit.Evidence{Group: gr.ID, Fence: gr.Fence, Leader: ring[0], At: oldest, Load: load})
}

// sameMembership reports whether two reports show that the VM stayed in one
// membership state in between. A VM that leaves a ring never rejoins it with
// the same generation, so comparing the two reports is enough.
func sameMembership(re, next fleet.Report) bool {
	re.Load, next.Load = fleet.Load{}, fleet.Load{}
	return re.EqualExceptTokens(next)
}

// revoked withdraws a permit on another daemon's evidence. It ignores evidence
// about an older fencing token: a daemon that was suspended during a repair may
// resume, find the replaced member missing and report the group as it was
// before the repair.
func (co *Core) revoked(ev Revoked) {
	if gr, ok := co.groups[ev.Group]; ok && ev.Fence >= gr.Fence {
		co.permits.Revoke(ev.Group, co.now)
	}
}

// freshReport returns the last report of a VM if it is younger than the
// lifetime of a permit and no probe has failed since.
func (co *Core) freshReport(vm string) (fleet.Report, bool) {
	si, ok := co.observations[vm]
	if !ok || si.At.IsZero() || !si.FailingSince.IsZero() || co.now.Sub(si.At) >= co.set.Timing.Permit {
		return fleet.Report{}, false
	}
	return si.Report, true
}

// disproves reports whether the probe is direct evidence that gr is not
// complete. A timeout is not, because the prober itself may be cut off. Neither
// is the loss of a spare.
func (co *Core) disproves(gr fleet.Group, ev Probed) bool {
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

// responseStarted uses the first token of a response as evidence.
func (co *Core) responseStarted(ev ResponseStarted) {
	gr, ok := co.groups[ev.Group]
	if !ok || gr.Fence != ev.Fence {
		return
	}
	// A response carries no load, so keep the load of the last report.
	pe, _ := co.permits.Permit(gr, co.now)
	co.permits.Add(permit.Evidence{Group: gr.ID, Fence: ev.Fence, Leader: ev.Leader, At: ev.SentAt, Load: pe.Load})
}

// ObservationsResponse is the response to PullObservations: the observations that
// have changed since the last pull.
type ObservationsResponse struct {
	// Boot identifies the run of the responding daemon.
	Boot int64 `cbor:"1,keyasint"`
	// Change is the change number from which the next pull continues.
	Change uint64            `cbor:"2,keyasint"`
	VMs    []AgedObservation `cbor:"3,keyasint,omitempty"`
	// Full is set if VMs holds all observations and not only the changed ones.
	Full bool `cbor:"4,keyasint,omitempty"`
	// Dropped holds the names of VMs that the daemon no longer probes.
	Dropped []string `cbor:"5,keyasint,omitempty"`
}

// AgedObservation is an observation with ages in place of times, because clocks
// differ between daemons.
type AgedObservation struct {
	VM     string       `cbor:"1,keyasint"`
	Report fleet.Report `cbor:"2,keyasint"`
	// ReportAgeMS is the age of the report in milliseconds, or -1 if there is
	// none.
	ReportAgeMS int64 `cbor:"3,keyasint"`
	// FailingAgeMS is how long probes have been failing, in milliseconds, or -1
	// if the last one succeeded.
	FailingAgeMS int64 `cbor:"4,keyasint"`
}

// ObservationsAt returns the observations changed after change number since, or
// all of them if since is 0, for a pull that arrives at now.
func (co *Core) ObservationsAt(now time.Time, since uint64) ObservationsResponse {
	co.now = now
	an := ObservationsResponse{Boot: co.started.UnixNano(), Change: co.changeSeq, Full: since == 0}
	for _, vm := range sortedKeys(co.observations) {
		si := co.observations[vm]
		if si.changeSeq > since {
			an.VMs = append(an.VMs, AgedObservation{VM: vm, Report: si.Report,
				ReportAgeMS: co.ageMS(si.At), FailingAgeMS: co.ageMS(si.FailingSince)})
		}
	}
	for _, vm := range sortedKeys(co.droppedAt) {
		if co.droppedAt[vm] > since && !an.Full {
			an.Dropped = append(an.Dropped, vm)
		}
	}
	return an
}

// ageMS returns the age of at in milliseconds, or -1 if at is zero.
func (co *Core) ageMS(at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return co.now.Sub(at).Milliseconds()
}
