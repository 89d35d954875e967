package fleet

import (
	"cmp"
	"fmt"
	"slices"

	"corianderhub.dev/corianderhub/internal/core/intent"
)

// retire drains groups that are no longer declared for this data center.
func (pl *planner) retire() {
	undeclared := pl.groups(func(gr Group) bool {
		spec, ok := pl.in.Config.Groups[gr.Spec]
		return gr.DrainingSince.IsZero() && (!ok || spec.DataCenter != pl.in.DataCenter)
	})
	for _, lo := range undeclared {
		pl.drain(lo)
	}
}

// adjust brings the number and version of a declared group's replicas to
// what is declared. It changes at most one replica of each group at a time
// where that costs capacity in use.
func (pl *planner) adjust(spec intent.Group) {
	of := func(gr Group) bool { return gr.Spec == spec.Name }
	all := pl.groups(func(gr Group) bool { return of(gr) && gr.DrainingSince.IsZero() })
	var current, old []located
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
		pl.roll(spec, old)
	}
	for _, lo := range current {
		pl.adapt(spec, lo)
	}
}

// current tells whether gr already is what spec declares, adapters aside.
func (pl *planner) current(spec intent.Group, gr Group) bool {
	mo := pl.in.Config.Models[spec.Model]
	return gr.Model == mo.Name && gr.Version == mo.Version && gr.Size == mo.VMs && gr.Role == spec.Role
}

func (pl *planner) allSettled(found []located) bool {
	for _, lo := range found {
		if !pl.settled(*lo.group()) {
			return false
		}
	}
	return true
}

// form assigns free VMs to one more replica.
func (pl *planner) form(spec intent.Group) bool {
	name, ok := pl.place(spec)
	if !ok {
		return false
	}
	do := pl.work[name]
	mo := pl.in.Config.Models[spec.Model]
	gr := Group{ID: pl.unusedID(spec, do), Spec: spec.Name, Model: mo.Name, Version: mo.Version,
		Role: spec.Role, Adapters: mo.Adapters, Fence: unnumbered, Size: mo.VMs}
	for _, vm := range pl.warmFirst(pl.freeIn(name), gr)[:pl.in.Config.Size(spec)] {
		gr.Members = append(gr.Members, pl.member(vm, gr.ID))
	}
	do.Groups = append(do.Groups, gr)
	pl.changed[name] = true
	return true
}

// warmFirst sorts VMs that have the group's weights to the front.
func (pl *planner) warmFirst(free []VM, gr Group) []VM {
	slices.SortStableFunc(free, func(a, b VM) int {
		return cmp.Compare(toInt(!pl.warm(a, gr)), toInt(!pl.warm(b, gr)))
	})
	return free
}

func (pl *planner) warm(vm VM, gr Group) bool {
	re := pl.in.Observed[vm.Name].Report
	return re.Model == gr.Model && re.Version == gr.Version
}

// unusedID names a new group for its declaration, its domain and the write
// that makes it; groups of one write are numbered.
func (pl *planner) unusedID(spec intent.Group, do *Domain) string {
	for num := 1; ; num++ {
		id := fmt.Sprintf("%s.%s.%d-%d", spec.Name, do.Name, do.Sequence+1, num)
		if !slices.ContainsFunc(do.Groups, func(gr Group) bool { return gr.ID == id }) {
			return id
		}
	}
}

// shrink drains replicas that are too many: outdated ones first, then those
// that do not serve.
func (pl *planner) shrink(current, old []located, num int) {
	slices.SortStableFunc(current, func(a, b located) int {
		return cmp.Compare(toInt(pl.serving(*a.group())), toInt(pl.serving(*b.group())))
	})
	candidates := append(old, current...)
	if len(old) > 0 && !pl.allSettled(current) {
		// A surge replica is not serving yet: what it replaces stays.
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

func (pl *planner) drain(lo located) {
	lo.group().DrainingSince = pl.in.Now
	pl.changed[lo.do.Name] = true
}

// roll replaces one outdated replica: by a new one first where there is room,
// else by draining one, and that only while all others serve.
func (pl *planner) roll(spec intent.Group, old []located) {
	if pl.form(spec) || pl.roomSoon(spec) {
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

// roomSoon tells whether a domain has room for spec once the VMs that were
// told to leave their former group have done so.
func (pl *planner) roomSoon(spec intent.Group) bool {
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

// adapt puts changed adapters into the assignment. The ring stays as it is:
// engines load adapters while they serve.
func (pl *planner) adapt(spec intent.Group, lo located) {
	gr := lo.group()
	adapters := pl.in.Config.Models[spec.Model].Adapters
	if slices.Equal(gr.Adapters, adapters) {
		return
	}
	gr.Adapters = adapters
	pl.changed[lo.do.Name] = true
}
