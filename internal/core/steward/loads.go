package steward

import (
	"maps"
	"slices"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

const (
	// convertIdleTime is how long a VM must have been idle before it loads another model. By
	// then a replacement for the member that its own group lacks may have arrived.
	convertIdleTime = 3 * time.Second
	// partialGroupValue is the value of a load that can't lead to a complete group yet,
	// relative to one that can.
	partialGroupValue = 0.3
)

// startLoads makes VMs load models, starting with those that complete a group with the fewest
// loads. The weight store delivers full speed only to a few loads at once. More would slow
// each of them down in proportion, and a load that completes a group would wait for one that
// does not.
func (co *Core) startLoads(service string, en *catalog.Engine, doms []*domain, now time.Time) []Call {
	var calls []Call
	calls = append(calls, co.loadStaged(service, doms, now)...)
	room := len(co.vms)
	if !co.InitialLoads {
		room = en.LoadsAtOnce - co.loadsInFlight(service) - co.stageLoads(service)
	}
	for room > 0 {
		ch := co.bestLoad(service, en, doms, now)
		if ch == nil || !co.InitialLoads && !co.loads.take(1) {
			return calls
		}
		room--
		ch.do.remove(ch.vm)
		ch.vm.targetModel = ""
		calls = append(calls, co.assignSpare(service, ch.model, ch.vm, now)...)
	}
	return calls
}

// loadStaged makes VMs hold a model that is staged on their host but not in memory. This takes
// one or two seconds and does not use the weight store.
func (co *Core) loadStaged(service string, doms []*domain, now time.Time) []Call {
	var calls []Call
	for _, do := range doms {
		for _, vm := range append([]*vm(nil), do.free...) {
			if vm.ep.Member == nil && vm.lastModel == "" && len(vm.ep.Staged) > 0 && vm.targetModel == "" {
				do.remove(vm)
				calls = append(calls, co.assignSpare(service, vm.ep.Staged[0], vm, now)...)
			}
		}
	}
	return calls
}

// remove removes a VM from the list of available VMs.
func (do *domain) remove(removed *vm) {
	for i, vm := range do.free {
		if vm == removed {
			do.free = append(do.free[:i:i], do.free[i+1:]...)
			return
		}
	}
}

// loadsInFlight counts the VMs that are fetching weights or are about to.
func (co *Core) loadsInFlight(service string) int {
	num := 0
	for _, vm := range co.vms {
		mb := vm.ep.Member
		if vm.ep.Service == service && !vm.down && (vm.loading && mb != nil && mb.State == catalog.Joining) {
			num++
		}
	}
	for _, gr := range co.groups {
		if gr.service != service || gr.planned.IsZero() || gr.dissolving {
			continue
		}
		for _, id := range gr.members {
			if vm := co.vms[id]; vm != nil && !co.isMember(vm, gr) && !vm.hasWeights(gr.model) {
				num++
			}
		}
	}
	return num
}

// loadChoice is a candidate load: a VM and the model it could load.
type loadChoice struct {
	do    *domain
	vm    *vm
	model string
	// missing is the number of VMs that the next group of the model lacks in the domain.
	missing int
	value   float64
}

// converts reports whether the load would replace a model that the VM holds as a spare.
func (ch *loadChoice) converts() bool { return ch.vm.lastModel != "" && ch.vm.targetModel == "" }

// conversions decides whether VMs should replace a model that they hold as spares by another one.
// The zero value is ready to use; it reads the current splits on first use.
type conversions struct {
	plan map[string]split
	ba   *balance
}

// gains reports whether a domain is better off with another group of the model than with the
// spares it would be made of. Spares are idle until a group loses a member, but this alone does
// not justify converting them: a group of sixteen without a spare is lost with its first member.
func (cv *conversions) gains(co *Core, service string, en *catalog.Engine, ch *loadChoice, mi int) bool {
	if cv.plan == nil {
		cv.plan = co.currentSplits(service, en)
		cv.ba = newBalance(slices.Collect(maps.Values(cv.plan)), co.weightedSizes(en))
	}
	before := cv.plan[ch.do.name]
	after := slices.Clone(before)
	for from, mo := range en.Models {
		if mo.Name == ch.vm.lastModel {
			num := min(ch.missing, before[from])
			after[from] -= num
			after[mi] += num
		}
	}
	return cv.ba.valueWith(before, after) > cv.ba.value()+minImprovement
}

// bestLoad returns the most useful load that can begin now, or nil.
func (co *Core) bestLoad(service string, en *catalog.Engine, doms []*domain, now time.Time) *loadChoice {
	weights, counts := co.weights(en), co.counts(service, en)
	held := co.heldOrLoading(service)
	var cv conversions
	var best *loadChoice
	for _, do := range doms {
		for mi, mo := range en.Models {
			ch := loadFor(do, mo, held[domainModel{do.name, mo.Name}], now)
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
	if best != nil && best.vm.lastModel == "" && best.value < partialGroupValue*weights[0]/float64(counts[0]+1) {
		// The VM does not complete a group for now, so it becomes the most useful spare.
		best.model = co.spareModel(service, en, best.do, best.vm)
	}
	return best
}

// loadFor returns the VM of a domain that should load the model, or nil. The value is the
// reciprocal of the number of loads that the next group lacks, times partialGroupValue if the
// domain has too few VMs to complete it.
func loadFor(do *domain, mo catalog.Model, have int, now time.Time) *loadChoice {
	missing := mo.Size - have%mo.Size
	var pick *vm
	empty, idle := 0, 0
	for _, vm := range do.free {
		switch {
		case vm.targetModel != "" && vm.targetModel != mo.Name || vm.holdsModel(mo.Name) && vm.targetModel == "":
		case vm.lastModel == "" || vm.targetModel == mo.Name:
			empty++
			pick = vm
		case now.Sub(vm.idleSince) > convertIdleTime && do.loading == 0:
			idle++
			if pick == nil {
				pick = vm
			}
		}
	}
	switch {
	case pick == nil:
		return nil
	case empty+idle >= missing:
		return &loadChoice{do, pick, mo.Name, missing, 1 / float64(missing)}
	case empty > 0 && pick.lastModel == "":
		return &loadChoice{do, pick, mo.Name, missing, partialGroupValue / float64(missing)}
	}
	return nil
}

// domainModel identifies a model in a fabric domain.
type domainModel struct{ domain, model string }

// heldOrLoading counts, by domain and model, the VMs without a serving group that hold or load
// the model.
func (co *Core) heldOrLoading(service string) map[domainModel]int {
	held := make(map[domainModel]int)
	planned := co.plannedModels()
	for id, vm := range co.vms {
		if vm.ep.Service != service || !vm.usable() || vm.targetModel != "" || co.evacuated(vm) {
			continue
		}
		model, ok := planned[id]
		if !ok {
			model = vm.lastModel
		}
		if mb := vm.ep.Member; mb == nil || isSpare(mb.Group) {
			held[domainModel{vm.ep.Domain, model}]++
		}
	}
	return held
}

// plannedModels returns the models that VMs will hold in planned groups, by VM ID.
func (co *Core) plannedModels() map[string]string {
	planned := make(map[string]string)
	for _, gr := range co.groups {
		if gr.planned.IsZero() || gr.dissolving {
			continue
		}
		for _, id := range gr.members {
			planned[id] = gr.model
		}
	}
	return planned
}
