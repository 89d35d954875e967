package steward

import (
	"maps"
	"slices"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

const (
	// convertAfter is how long a VM must have been of no use before it loads
	// another model. A replacement for the member that its group lacks may have
	// come by then.
	convertAfter = 3 * time.Second
	// partialValue is what a load counts that does not complete a group yet,
	// against one of those that do.
	partialValue = 0.3
)

// startLoads makes VMs load models, those first that bring a group into being
// with the fewest loads. The weight store gives its full speed to few loads at
// once; more would make each of them last as much longer, and a load that
// completes a group would wait for one that does not.
func (co *Core) startLoads(service string, en *catalog.Engine, doms []*domain, now time.Time) []Call {
	var calls []Call
	calls = append(calls, co.stageWarm(service, doms, now)...)
	room := len(co.vms)
	if !co.InitialLoads {
		room = en.LoadsAtOnce - co.loadsUnderWay(service)
	}
	for room > 0 {
		ch := co.bestLoad(service, en, doms, now)
		if ch == nil || !co.InitialLoads && !co.loads.take(1) {
			return calls
		}
		room--
		ch.do.remove(ch.vm)
		ch.vm.wanted = ""
		calls = append(calls, co.hold(service, ch.model, ch.vm, now)...)
	}
	return calls
}

// stageWarm makes VMs that have a model on their host, but not in memory, hold
// it: that takes a second or two and nothing of the weight store.
func (co *Core) stageWarm(service string, doms []*domain, now time.Time) []Call {
	var calls []Call
	for _, do := range doms {
		for _, vm := range append([]*vm(nil), do.free...) {
			if vm.ep.Member == nil && vm.last == "" && len(vm.ep.Staged) > 0 && vm.wanted == "" {
				do.remove(vm)
				calls = append(calls, co.hold(service, vm.ep.Staged[0], vm, now)...)
			}
		}
	}
	return calls
}

func (do *domain) remove(gone *vm) {
	for i, vm := range do.free {
		if vm == gone {
			do.free = append(do.free[:i:i], do.free[i+1:]...)
			return
		}
	}
}

// loadsUnderWay counts the VMs that fetch weights now.
func (co *Core) loadsUnderWay(service string) int {
	num := 0
	for _, vm := range co.vms {
		mb := vm.ep.Member
		if vm.ep.Service == service && !vm.down && (vm.loading && mb != nil && mb.State == catalog.Joining) {
			num++
		}
	}
	for _, gr := range co.groups {
		if gr.service != service || gr.planned.IsZero() || gr.doomed {
			continue
		}
		for _, id := range gr.members {
			if vm := co.vms[id]; vm != nil && !co.belongs(vm, gr) && !vm.has(gr.model) {
				num++
			}
		}
	}
	return num
}

// loadChoice is a VM that could load a model.
type loadChoice struct {
	do    *domain
	vm    *vm
	model string
	// lack is how many VMs the next group of the model lacks in the domain.
	lack  int
	value float64
}

// converts tells whether the VM gives up a model that it holds as a spare.
func (ch *loadChoice) converts() bool { return ch.vm.last != "" && ch.vm.wanted == "" }

// conversions judges whether VMs should give up a model that they hold. Its zero
// value learns what the domains hold when it is first asked.
type conversions struct {
	plan map[string]split
	ba   *balance
}

// gains tells whether a domain is better off with another group of the model than
// with the spares that it is made of. Spares stand idle until a group loses a
// member, which is no reason to give them up: a group of sixteen without a spare is
// lost with its first member.
func (cv *conversions) gains(co *Core, service string, en *catalog.Engine, ch *loadChoice, mi int) bool {
	if cv.plan == nil {
		cv.plan = co.splits(service, en)
		cv.ba = newBalance(slices.Collect(maps.Values(cv.plan)), co.weightedSizes(en))
	}
	now := cv.plan[ch.do.name]
	then := slices.Clone(now)
	for from, mo := range en.Models {
		if mo.Name == ch.vm.last {
			num := min(ch.lack, now[from])
			then[from] -= num
			then[mi] += num
		}
	}
	return cv.ba.valueWith(now, then) > cv.ba.value()+balanceStep
}

// bestLoad returns the most useful load that can be begun now.
func (co *Core) bestLoad(service string, en *catalog.Engine, doms []*domain, now time.Time) *loadChoice {
	weights, counts := co.weights(en), co.counts(service, en)
	held := co.heldOrLoading(service)
	var cv conversions
	var best *loadChoice
	for _, do := range doms {
		for mi, mo := range en.Models {
			ch := loadFor(do, mo, held[holding{do.name, mo.Name}], now)
			if ch == nil {
				continue
			}
			ch.value *= weights[mi] / float64(counts[mi]+1)
			if ch.converts() && !cv.gains(co, service, en, ch, mi) {
				continue
			}
			if best == nil || ch.value > best.value {
				best = ch
			}
		}
	}
	if best != nil && best.vm.last == "" && best.value < partialValue*weights[0]/float64(counts[0]+1) {
		// The VM completes nothing for now: it becomes the spare that helps most.
		best.model = co.spareModel(service, en, best.do, best.vm)
	}
	return best
}

// loadFor returns the VM of a domain that should load the model, with the
// value of the load: one over the loads that the next group lacks.
func loadFor(do *domain, mo catalog.Model, have int, now time.Time) *loadChoice {
	lack := mo.Size - have%mo.Size
	var pick *vm
	empty, idle := 0, 0
	for _, vm := range do.free {
		switch {
		case vm.wanted != "" && vm.wanted != mo.Name || vm.holding(mo.Name) && vm.wanted == "":
		case vm.last == "" || vm.wanted == mo.Name:
			empty++
			pick = vm
		case now.Sub(vm.idleSince) > convertAfter && do.loading == 0:
			idle++
			if pick == nil {
				pick = vm
			}
		}
	}
	switch {
	case pick == nil:
		return nil
	case empty+idle >= lack:
		return &loadChoice{do, pick, mo.Name, lack, 1 / float64(lack)}
	case empty > 0 && pick.last == "":
		return &loadChoice{do, pick, mo.Name, lack, partialValue / float64(lack)}
	}
	return nil
}

// holding is a model in a domain.
type holding struct{ domain, model string }

// heldOrLoading counts the VMs that hold a model without serving, or load it.
func (co *Core) heldOrLoading(service string) map[holding]int {
	held := make(map[holding]int)
	planned := co.plannedModels()
	for id, vm := range co.vms {
		if vm.ep.Service != service || !vm.usable() || vm.wanted != "" {
			continue
		}
		model, ok := planned[id]
		if !ok {
			model = vm.last
		}
		if mb := vm.ep.Member; mb == nil || isSpare(mb.Group) {
			held[holding{vm.ep.Domain, model}]++
		}
	}
	return held
}

// plannedModels returns the models that VMs are to hold for planned groups.
func (co *Core) plannedModels() map[string]string {
	planned := make(map[string]string)
	for _, gr := range co.groups {
		if gr.planned.IsZero() || gr.doomed {
			continue
		}
		for _, id := range gr.members {
			planned[id] = gr.model
		}
	}
	return planned
}
