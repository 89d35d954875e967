package fleet

import (
	"cmp"
	"slices"
	"time"

	"corianderhub.dev/corianderhub/internal/core/intent"
)

const (
	// restartTime is how long a restarted VM is assumed to take until it
	// answers again. Most losses are restarts: 1,100 of 1,162 a day by the
	// operators' figures.
	restartTime = 2 * time.Minute
)

// groupRef refers to a group in the working copy of its domain.
type groupRef struct {
	do *Domain
	ix int
}

func (lo groupRef) group() *Group { return &lo.do.Groups[lo.ix] }

// groups returns the groups for which pick is true, by domain name and then in
// stored order.
func (pl *planner) groups(pick func(Group) bool) []groupRef {
	var found []groupRef
	for _, name := range pl.names {
		do := pl.work[name]
		for i, gr := range do.Groups {
			if pick(gr) {
				found = append(found, groupRef{do, i})
			}
		}
	}
	return found
}

// priority returns the declared priority of gr, or 0 if it is no longer
// declared.
func (pl *planner) priority(gr Group) int { return pl.in.Config.Groups[gr.Spec].Priority }

// broken returns the groups that lost members, by descending priority.
func (pl *planner) broken() []groupRef {
	found := pl.groups(func(gr Group) bool {
		return gr.DrainingSince.IsZero() && len(pl.alive(gr)) < len(gr.Members)
	})
	slices.SortStableFunc(found, func(a, b groupRef) int {
		return cmp.Compare(pl.priority(*b.group()), pl.priority(*a.group()))
	})
	return found
}

// repair handles groups that lost members. Only complete groups serve, so a
// group with fewer than Size members is down until it is complete again.
func (pl *planner) repair() {
	if pl.in.Policy == FirstFit {
		pl.removeIf(func(gr Group) bool { return len(pl.alive(gr)) < gr.Size })
		pl.rebuildOwners()
		return
	}
	for _, lo := range pl.broken() {
		if pl.mayReformRing(*lo.group()) {
			pl.replaceLost(lo)
		}
	}
	pl.relocate()
}

// rebuildOwners recomputes the owners of VMs after groups were removed. A VM of
// a removed group becomes free only after it reports that it is in no group.
func (pl *planner) rebuildOwners() {
	clear(pl.owner)
	for _, do := range pl.work {
		for _, gr := range do.Groups {
			for _, me := range gr.Members {
				pl.owner[me.VM] = gr.ID
			}
		}
	}
}

// replaceLost replaces lost members by free VMs of the same fabric domain, or
// by the same VM at its new incarnation once that is in no group. The remaining
// members keep their weights, so a repair costs one load instead of one for
// each member.
func (pl *planner) replaceLost(lo groupRef) {
	gr := lo.group()
	alive := pl.alive(*gr)
	down := len(alive) < gr.Size
	members := slices.Clone(gr.Members)
	replaced := false
	for i, me := range members {
		if !pl.lost(me) {
			continue
		}
		vm, ok := pl.replacement(lo.do.Name, me)
		if !ok && down {
			pl.preempt(lo, len(members)-len(alive))
		}
		if !ok {
			continue
		}
		delete(pl.owner, me.VM)
		members[i] = pl.assignMember(vm, gr.ID)
		replaced = true
	}
	if !replaced {
		return
	}
	gr.Members = members
	// A group that serves from its spares keeps its fencing token: a new one
	// would interrupt the group until every member has followed.
	if down {
		gr.Fence = fenceUnassigned
	}
	pl.changed[lo.do.Name] = true
}

// replacement returns a VM that can replace the lost member me.
func (pl *planner) replacement(domain string, me Member) (VM, bool) {
	if re, ok := pl.report(me.VM); ok && re.Group == "" && re.Incarnation != me.Incarnation && !pl.leaving(me.VM) {
		return pl.vms[me.VM], pl.vms[me.VM].Domain == domain
	}
	return pl.pickPreferWarm(pl.freeIn(domain), pl.groupOf(me.VM))
}

// groupOf returns the group that the VM is assigned to.
func (pl *planner) groupOf(vm string) Group {
	for _, lo := range pl.groups(func(gr Group) bool { return gr.ID == pl.owner[vm] }) {
		return *lo.group()
	}
	return Group{}
}

// pickPreferWarm returns a VM that already has the group's weights, or else the
// first one.
func (pl *planner) pickPreferWarm(free []VM, gr Group) (VM, bool) {
	for _, vm := range free {
		if pl.warm(vm, gr) {
			return vm, true
		}
	}
	if len(free) == 0 {
		return VM{}, false
	}
	return free[0], true
}

// prepareFree orders free VMs to load the weights of the group with the highest
// priority in their domain, within what is left of the load budget. A later
// replacement then costs the group only the time to re-form its ring. A free VM
// counts as stranded whether or not it holds weights.
func (pl *planner) prepareFree() {
	if pl.in.Policy == FirstFit {
		return
	}
	for _, name := range pl.names {
		gr, ok := pl.highestPriority(name)
		if !ok {
			continue
		}
		for _, vm := range pl.freeIn(name) {
			pl.prepare(vm, gr)
		}
	}
}

// highestPriority returns the group of the domain with the highest priority
// that is not draining.
func (pl *planner) highestPriority(domain string) (Group, bool) {
	var best Group
	for _, gr := range pl.work[domain].Groups {
		if gr.DrainingSince.IsZero() && (best.ID == "" || pl.priority(gr) > pl.priority(best)) {
			best = gr
		}
	}
	return best, best.ID != ""
}

// prepare orders one free VM to load the weights of gr, unless it has them, was
// ordered recently or may still be loading, or the load budget is used up.
func (pl *planner) prepare(vm VM, gr Group) {
	re := pl.in.Observed[vm.Name].Report
	if pl.warm(vm, gr) || pl.in.LoadBudget <= 0 || !pl.orderDue(vm.Name) || pl.loading(gr, vm.Name) {
		return
	}
	pl.in.LoadBudget--
	pl.out.Orders = append(pl.out.Orders, Prepare{VM: vm, Incarnation: re.Incarnation,
		Fence: pl.in.Domains[vm.Domain].Sequence, Generation: max(re.Generation, pl.in.Epoch<<generationBits), Model: gr.Model, Version: gr.Version})
}

// preempt drains a group of lower priority in the same domain if its VMs can
// complete this one and the policy's weights favor it. A later plan uses the
// VMs, after they have been released.
func (pl *planner) preempt(lo groupRef, missing int) {
	gr := lo.group()
	victims := pl.groups(func(other Group) bool {
		return pl.priority(other) < pl.priority(*gr) && len(pl.alive(other)) >= missing
	})
	for _, victim := range victims {
		if victim.do != lo.do {
			continue
		}
		if !victim.group().DrainingSince.IsZero() {
			return
		}
		if pl.preemptionPays(*gr, *victim.group()) {
			pl.drain(victim)
			return
		}
	}
}

// preemptionPays compares the cost of the group's downtime, multiplied by one
// plus the difference in priority, with the cost of the victim's downtime and
// of the victim's VMs that remain stranded.
func (pl *planner) preemptionPays(gr, victim Group) bool {
	po := pl.in.Config.Policy
	gain := po.DowntimeWeight * float64(1+pl.priority(gr)-pl.priority(victim))
	stranded := max(0, len(victim.Members)-gr.Size)
	cost := po.DowntimeWeight + po.StrandedWeight*float64(stranded)
	return gain > cost
}

// relocate dissolves broken groups that can be formed in another domain sooner
// than their own domain gets its lost VMs back. It dissolves at most one of
// each declared group at a time.
func (pl *planner) relocate() {
	relocating := make(map[string]bool)
	pl.removeIf(func(gr Group) bool {
		if len(pl.alive(gr)) >= gr.Size || relocating[gr.Spec] || !pl.mayReformRing(gr) {
			return false
		}
		spec, ok := pl.in.Config.Groups[gr.Spec]
		if !ok || pl.moveTime(gr) >= pl.waitTime(gr) {
			return false
		}
		_, ok = pl.place(spec)
		relocating[gr.Spec] = ok
		return ok
	})
	pl.rebuildOwners()
}

// moveTime estimates the downtime if the whole group is formed in another
// domain.
func (pl *planner) moveTime(gr Group) time.Duration {
	return pl.loadTime(gr, gr.Size)
}

// waitTime estimates the remaining downtime if the group waits for its lost
// VMs.
func (pl *planner) waitTime(gr Group) time.Duration {
	wait := time.Duration(0)
	missing := 0
	for _, me := range gr.Members {
		if !pl.lost(me) {
			continue
		}
		missing++
		since := pl.in.Observed[me.VM].FailingSince
		if since.IsZero() {
			continue
		}
		down := pl.in.Now.Sub(since)
		// A VM that has been down for longer than a restart takes is expected
		// to stay down for as long again.
		wait = max(wait, restartTime-down, down)
	}
	return wait + pl.loadTime(gr, missing)
}

// loadTime estimates how long the given number of weight loads takes, including
// the wait for the rate limit of the weight store.
func (pl *planner) loadTime(gr Group, loads int) time.Duration {
	load := time.Duration(pl.in.Config.Models[gr.Model].LoadTime)
	if rate := pl.in.Config.Policy.LoadsPerMinute; rate > 0 {
		load += time.Minute * time.Duration(loads) / time.Duration(rate)
	}
	return load
}

// place returns the domain for one more replica of spec.
//
// A domain that keeps at least one free VM is preferred, because one free VM
// repairs any group of the domain with a single load. Among such domains the
// one with the fewest remaining VMs is chosen, which preserves large gaps for
// other groups.
func (pl *planner) place(spec intent.Group) (string, bool) {
	size := pl.in.Config.Size(spec)
	best, bestLeft := "", 0
	for _, name := range pl.names {
		left := len(pl.freeIn(name)) - size
		if left < 0 {
			continue
		}
		if pl.in.Policy == FirstFit {
			return name, true
		}
		if best == "" || betterRemainder(left, bestLeft) {
			best, bestLeft = name, left
		}
	}
	return best, best != ""
}

// betterRemainder reports whether left remaining free VMs are better than
// other: one or more is better than none, and then fewer is better.
func betterRemainder(left, other int) bool {
	if (left > 0) != (other > 0) {
		return left > 0
	}
	return left < other
}
