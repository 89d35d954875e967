package control

import (
	"time"

	"corianderhub.dev/corianderhub/internal/core/fleet"
)

// planInput returns the input of the next plan.
func (co *Core) planInput() fleet.Input {
	st := &co.steward
	in := fleet.Input{
		Now:        co.now,
		DataCenter: co.set.DataCenter,
		Config:     co.cfg,
		VMs:        st.vms,
		Domains:    make(map[string]fleet.Domain, len(st.stored)),
		Observed:   co.mergedObservations(),
		LastOrder:  st.lastOrder,
		Epoch:      st.epoch,

		ServingSince: st.servingSince,
		LoadBudget:   int(st.loadBudget),
		DrainAfter:   co.set.Timing.Permit,
		Policy:       co.set.Policy,
	}
	for name, sd := range st.stored {
		in.Domains[name] = sd.Domain
	}
	return in
}

// plan computes a plan and emits its writes and orders, as far as the role and
// the lease allow.
func (co *Core) plan() {
	st := &co.steward
	if !st.domainsRead || !st.vmsRead || !co.cfgKnown || !co.now.Before(st.actUntil) {
		return
	}
	co.refillLoadBudget()
	in := co.planInput()
	st.stats = fleet.Count(in)
	co.updateServingSince()
	if co.now.Before(st.quietUntil) && !co.allCheckFencing() {
		return
	}
	out := fleet.Plan(in)
	for _, dom := range out.Writes {
		if st.role == leaseHolder && co.ownsDomain(dom.Name) {
			co.writeDomain(dom)
		}
	}
	for _, or := range out.Orders {
		co.sendOrder(or)
	}
}

// updateServingSince records the time since which each group has been complete.
func (co *Core) updateServingSince() {
	st := &co.steward
	since := make(map[string]time.Time)
	for _, group := range st.stats.Whole {
		since[group] = co.now
		if at, ok := st.servingSince[group]; ok {
			since[group] = at
		}
	}
	st.servingSince = since
}

func (co *Core) allCheckFencing() bool {
	for _, mo := range co.cfg.Models {
		if !mo.ChecksFencing {
			return false
		}
	}
	return true
}

// sendOrder emits an order unless one to the same VM is in flight or this
// steward does not own the VM's domain. Orders that load weights count against
// the load budget.
func (co *Core) sendOrder(or fleet.Order) {
	st := &co.steward
	vm := or.Target()
	if co.inFlight[keyOrder+vm.Name] || !co.ownsDomain(vm.Domain) {
		return
	}
	switch or := or.(type) {
	case fleet.Join:
		if or.Loads {
			st.loadBudget--
		}
	case fleet.Prepare:
		st.loadBudget--
	case fleet.Release:
	}
	st.lastOrder[vm.Name] = co.now
	co.emitOnce(keyOrder+vm.Name, SendOrder{Order: or})
}

// refillLoadBudget limits the rate of weight loads to Policy.LoadsPerMinute, to
// stay within the limit of the weight store. A rate of 0 means that only
// loadBurst applies.
func (co *Core) refillLoadBudget() {
	st := &co.steward
	rate := co.cfg.Policy.LoadsPerMinute
	if rate == 0 {
		st.loadBudget = loadBurst
		return
	}
	st.loadBudget += co.now.Sub(st.budgetAt).Minutes() * float64(rate)
	st.loadBudget = min(st.loadBudget, float64(rate), loadBurst)
	st.budgetAt = co.now
}
