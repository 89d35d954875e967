package fleet

import (
	"cmp"
	"slices"
	"time"

	"corianderhub.dev/corianderhub/internal/core/intent"
)

const (
	// restartTime is how long a restarted VM takes to answer again, where a
	// plan weighs waiting for it. Most losses are restarts: by the users'
	// figures 1,100 of 1,162 a day.
	restartTime = 2 * time.Minute
)

// located is a group in the working copy of its domain.
type located struct {
	do *Domain
	ix int
}

func (lo located) group() *Group { return &lo.do.Groups[lo.ix] }

// groups returns the groups for which pick is true, in a stable order.
func (pl *planner) groups(pick func(Group) bool) []located {
	var found []located
	for _, name := range pl.names {
		do := pl.work[name]
		for i, gr := range do.Groups {
			if pick(gr) {
				found = append(found, located{do, i})
			}
		}
	}
	return found
}

func (pl *planner) priority(gr Group) int { return pl.in.Config.Groups[gr.Spec].Priority }

// broken returns the groups with too few living members, important ones first.
func (pl *planner) broken() []located {
	found := pl.groups(func(gr Group) bool {
		return gr.DrainingSince.IsZero() && len(pl.alive(gr)) < len(gr.Members)
	})
	slices.SortStableFunc(found, func(a, b located) int {
		return cmp.Compare(pl.priority(*b.group()), pl.priority(*a.group()))
	})
	return found
}

// repair deals with groups that lost members. Only whole groups serve, so a
// group below its size is down until it is complete again.
func (pl *planner) repair() {
	if pl.in.Policy == FirstFit {
		pl.removeIf(func(gr Group) bool { return len(pl.alive(gr)) < gr.Size })
		pl.disown()
		return
	}
	for _, lo := range pl.broken() {
		if pl.idleLeavers(*lo.group()) {
			pl.heal(lo)
		}
	}
	pl.abandon()
}

// disown forgets the owners of VMs whose group was removed. They become free
// only after they report to be in no group.
func (pl *planner) disown() {
	clear(pl.owner)
	for _, do := range pl.work {
		for _, gr := range do.Groups {
			for _, me := range gr.Members {
				pl.owner[me.VM] = gr.ID
			}
		}
	}
}

// heal gives lost members' places to free VMs of the same fabric domain, or
// to the same VM at its new incarnation once it is clean. The survivors keep
// their weights: one load replaces a whole group's.
func (pl *planner) heal(lo located) {
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
			pl.makeRoom(lo, len(members)-len(alive))
		}
		if !ok {
			continue
		}
		delete(pl.owner, me.VM)
		members[i] = pl.member(vm, gr.ID)
		replaced = true
	}
	if !replaced {
		return
	}
	gr.Members = members
	// A group that serves from its spares keeps its fencing number: changing
	// it would stop the group until every member has followed.
	if down {
		gr.Fence = unnumbered
	}
	pl.changed[lo.do.Name] = true
}

// replacement finds a VM for a lost member's place.
func (pl *planner) replacement(domain string, me Member) (VM, bool) {
	if re, ok := pl.report(me.VM); ok && re.Group == "" && re.Incarnation != me.Incarnation && !pl.leaving(me.VM) {
		return pl.vms[me.VM], pl.vms[me.VM].Domain == domain
	}
	return pl.warmest(pl.freeIn(domain), pl.groupOf(me.VM))
}

// groupOf returns the group that the VM is assigned to.
func (pl *planner) groupOf(vm string) Group {
	for _, lo := range pl.groups(func(gr Group) bool { return gr.ID == pl.owner[vm] }) {
		return *lo.group()
	}
	return Group{}
}

// warmest returns a VM that has the group's weights already, or else any.
func (pl *planner) warmest(free []VM, gr Group) (VM, bool) {
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

// prepareFree has free VMs load the weights of the most important group of
// their domain, with what is left of the budget for loads. A replacement then
// costs a group the time to re-form its ring and not that of a load. Free VMs
// strand no more accelerators for having weights in them.
func (pl *planner) prepareFree() {
	if pl.in.Policy == FirstFit {
		return
	}
	for _, name := range pl.names {
		gr, ok := pl.mostImportant(name)
		if !ok {
			continue
		}
		for _, vm := range pl.freeIn(name) {
			pl.prepare(vm, gr)
		}
	}
}

func (pl *planner) mostImportant(domain string) (Group, bool) {
	var best Group
	for _, gr := range pl.work[domain].Groups {
		if gr.DrainingSince.IsZero() && (best.ID == "" || pl.priority(gr) > pl.priority(best)) {
			best = gr
		}
	}
	return best, best.ID != ""
}

func (pl *planner) prepare(vm VM, gr Group) {
	re := pl.in.Observed[vm.Name].Report
	if pl.warm(vm, gr) || pl.in.LoadBudget <= 0 || !pl.due(vm.Name) || pl.loading(gr, vm.Name) {
		return
	}
	pl.in.LoadBudget--
	pl.out.Orders = append(pl.out.Orders, Prepare{VM: vm, Incarnation: re.Incarnation,
		Fence: pl.in.Domains[vm.Domain].Sequence, Generation: max(re.Generation, pl.in.Epoch<<turnBits), Model: gr.Model, Version: gr.Version})
}

// makeRoom drains a less important group of the same domain when its VMs can
// complete this one, if the weights say that this costs less. The VMs are
// used in a later plan, once they have been released.
func (pl *planner) makeRoom(lo located, missing int) {
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
		if pl.worth(*gr, *victim.group()) {
			pl.drain(victim)
			return
		}
	}
}

// worth weighs one group's downtime, multiplied by how much more important
// it is, against the victim's downtime and the accelerators that its
// remaining VMs strand.
func (pl *planner) worth(gr, victim Group) bool {
	po := pl.in.Config.Policy
	gain := po.DowntimeWeight * float64(1+pl.priority(gr)-pl.priority(victim))
	stranded := max(0, len(victim.Members)-gr.Size)
	cost := po.DowntimeWeight + po.StrandedWeight*float64(stranded)
	return gain > cost
}

// abandon dissolves broken groups that another domain can serve sooner than
// their own domain gets a VM back, one at a time for each declared group.
func (pl *planner) abandon() {
	taken := make(map[string]bool)
	pl.removeIf(func(gr Group) bool {
		if len(pl.alive(gr)) >= gr.Size || taken[gr.Spec] || !pl.idleLeavers(gr) {
			return false
		}
		spec, ok := pl.in.Config.Groups[gr.Spec]
		if !ok || pl.moveTime(gr) >= pl.waitTime(gr) {
			return false
		}
		_, ok = pl.place(spec)
		taken[gr.Spec] = ok
		return ok
	})
	pl.disown()
}

// moveTime estimates the downtime of forming the whole group elsewhere.
func (pl *planner) moveTime(gr Group) time.Duration {
	return pl.loadTime(gr, gr.Size)
}

// waitTime estimates the remaining downtime until the lost VMs are back.
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
		// A VM that is away for longer than a restart takes is expected to
		// stay away for as long again.
		wait = max(wait, restartTime-down, down)
	}
	return wait + pl.loadTime(gr, missing)
}

func (pl *planner) loadTime(gr Group, loads int) time.Duration {
	load := time.Duration(pl.in.Config.Models[gr.Model].LoadTime)
	if rate := pl.in.Config.Policy.LoadsPerMinute; rate > 0 {
		load += time.Minute * time.Duration(loads) / time.Duration(rate)
	}
	return load
}

// place returns the domain for one more replica of spec.
//
// A free VM left in a domain repairs any group there with a single load. So
// a domain that keeps a free VM is preferred, the fullest such one, which
// leaves the larger gaps whole for other groups.
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
		if best == "" || betterLeft(left, bestLeft) {
			best, bestLeft = name, left
		}
	}
	return best, best != ""
}

// betterLeft compares how many VMs stay free: one or more is better than
// none, and then fewer.
func betterLeft(left, than int) bool {
	if (left > 0) != (than > 0) {
		return left > 0
	}
	return left < than
}
