package fleet

import (
	"cmp"
	"fmt"
	"slices"

	"corianderhub.dev/corianderhub/internal/core/intent"
)

// retire drains groups that are no longer declared for this data centre.
func (pl *planner) retire() {
	undeclared := pl.groups(func(gr Group) bool {
		spec, ok := pl.in.Config.Groups[gr.Spec]
		return gr.DrainingSince.IsZero() && (!ok || spec.DataCenter != pl.in.DataCenter)
	})
	for _, lo := range undeclared {
		pl.drain(lo)
	}
}

// adjust reconciles the number and version of a declared group's replicas with
// the declaration. Where a change costs capacity in use, at most one replica of
// each group changes at a time.
func (pl *planner) adjust(spec intent.Group) {
	of := func(gr Group) bool { return gr.Spec == spec.Name }
	all := pl.groups(func(gr Group) bool { return of(gr) && gr.DrainingSince.IsZero() })
	var current, old []groupRef
	for _, lo := range all {
		if pl.current(spec, *lo.group()) {
			current = append(current, lo)
		} else {
			old = append(old, lo)
		}
	}
	draining := len(pl.groups(of)) - len(all)
	missing := spec.Replicas - len(all)
	for ; missing > 0 && pl.form(spec); missing-- {
	}
	if missing < 0 {
		pl.shrink(current, old, -missing)
		return
	}
	if len(old) > 0 && draining == 0 && pl.allSettled(current) {
		pl.rollOut(spec, old)
	}
	for _, lo := range current {
		pl.updateAdapters(spec, lo)
	}
}

// current reports whether gr matches the model, version, size and role that
// spec declares. Adapters are not compared: updateAdapters changes them in
// place.
func (pl *planner) current(spec intent.Group, gr Group) bool {
	mo := pl.in.Config.Models[spec.Model]
	return gr.Model == mo.Name && gr.Version == mo.Version && gr.Size == mo.VMs && gr.Role == spec.Role
}

// allSettled reports whether all given groups are settled.
func (pl *planner) allSettled(found []groupRef) bool {
	for _, lo := range found {
		if !pl.settled(*lo.group()) {
			return false
		}
	}
	return true
}

// form assigns free VMs to one more replica. It reports whether a domain had
// enough of them.
func (pl *planner) form(spec intent.Group) bool {
	name, ok := pl.place(spec)
	if !ok {
		return false
	}
	do := pl.work[name]
	mo := pl.in.Config.Models[spec.Model]
	gr := Group{ID: pl.unusedID(spec, do), Spec: spec.Name, Model: mo.Name, Version: mo.Version,
		Role: spec.Role, Adapters: mo.Adapters, Fence: fenceUnassigned, Size: mo.VMs}
	for _, vm := range pl.warmFirst(pl.freeIn(name), gr)[:pl.in.Config.Size(spec)] {
		gr.Members = append(gr.Members, pl.assignMember(vm, gr.ID))
	}
	do.Groups = append(do.Groups, gr)
	pl.changed[name] = true
	return true
}

// warmFirst sorts VMs that already hold the group's weights to the front.
func (pl *planner) warmFirst(free []VM, gr Group) []VM {
	slices.SortStableFunc(free, func(a, b VM) int {
		return cmp.Compare(toInt(!pl.warm(a, gr)), toInt(!pl.warm(b, gr)))
	})
	return free
}

// warm reports whether the VM already holds the weights of gr.
func (pl *planner) warm(vm VM, gr Group) bool {
	re := pl.in.Observed[vm.Name].Report
	return re.Model == gr.Model && re.Version == gr.Version
}

// unusedID returns an ID for a new group, made from its declaration, its
// domain, the sequence number of the write that creates it, and a counter for
// groups of the same write.
func (pl *planner) unusedID(spec intent.Group, do *Domain) string {
	for num := 1; ; num++ {
		id := fmt.Sprintf("%s.%s.%d-%d", spec.Name, do.Name, do.Sequence+1, num)
		if !slices.ContainsFunc(do.Groups, func(gr Group) bool { return gr.ID == id }) {
			return id
		}
	}
}

// shrink drains num surplus replicas: outdated ones first, then those that do
// not serve.
func (pl *planner) shrink(current, old []groupRef, num int) {
	slices.SortStableFunc(current, func(a, b groupRef) int {
		return cmp.Compare(toInt(pl.serving(*a.group())), toInt(pl.serving(*b.group())))
	})
	candidates := append(old, current...)
	if len(old) > 0 && !pl.allSettled(current) {
		// The surge replica does not serve yet, so the replica that it replaces
		// stays.
		return
	}
	for _, lo := range candidates[:num] {
		pl.drain(lo)
	}
}

func toInt(ok bool) int {
	if ok {
		return 1
	}
	return 0
}

// drain marks a group as draining from now on.
func (pl *planner) drain(lo groupRef) {
	lo.group().DrainingSince = pl.in.Now
	pl.changed[lo.do.Name] = true
}

// rollOut replaces one outdated replica. Where there is room it forms the new
// replica first. Otherwise it drains an outdated one; adjust calls it only
// while all current replicas serve.
func (pl *planner) rollOut(spec intent.Group, old []groupRef) {
	if pl.form(spec) || pl.roomAfterReleases(spec) {
		return
	}
	for _, lo := range old {
		if !pl.serving(*lo.group()) {
			pl.drain(lo)
			return
		}
	}
	pl.drain(old[0])
}

// roomAfterReleases reports whether a domain will have room for spec once all
// unassigned VMs have left their former groups.
func (pl *planner) roomAfterReleases(spec intent.Group) bool {
	room := make(map[string]int)
	for _, vm := range pl.in.VMs {
		_, owned := pl.owner[vm.Name]
		_, answers := pl.report(vm.Name)
		if answers && !owned && !pl.leaving(vm.Name) {
			room[vm.Domain]++
		}
	}
	for _, num := range room {
		if num >= pl.in.Config.Size(spec) {
			return true
		}
	}
	return false
}

// updateAdapters writes changed adapters into the assignment. The ring stays as
// it is, because engines load adapters while they serve.
func (pl *planner) updateAdapters(spec intent.Group, lo groupRef) {
	gr := lo.group()
	adapters := pl.in.Config.Models[spec.Model].Adapters
	if slices.Equal(gr.Adapters, adapters) {
		return
	}
	gr.Adapters = adapters
	pl.changed[lo.do.Name] = true
}
