package fleet

import (
	"slices"
	"time"
)

// ring returns the members that should serve together and the generation of
// that ring. A ring that members already follow is kept while none of its
// members is lost.
func (pl *planner) ring(gr Group) ([]Member, uint64, bool) {
	var newest Report
	for _, me := range gr.Members {
		re, ok := pl.report(me.VM)
		if ok && re.Group == gr.ID && re.Fence == gr.Fence && re.Generation > newest.Generation {
			newest = re
		}
	}
	if ring, ok := pl.aliveRing(gr, newest.Ring); ok {
		return ring, newest.Generation, true
	}
	alive := pl.alive(gr)
	if len(alive) < gr.Size || !pl.mayReformRing(gr) {
		return nil, 0, false
	}
	return alive[:gr.Size], max(newest.Generation+1, pl.in.Epoch<<generationBits), true
}

// aliveRing returns the members of a reported ring if it has the size of gr and
// none of its members is lost.
func (pl *planner) aliveRing(gr Group, names []string) ([]Member, bool) {
	var ring []Member
	for _, vm := range names {
		me, ok := gr.Member(vm)
		if !ok || pl.lost(me) {
			return nil, false
		}
		ring = append(ring, me)
	}
	return ring, len(ring) == gr.Size
}

// mayReformRing reports whether the ring of gr may be re-formed without
// interrupting requests. A member that is merely leaving still finishes its
// requests.
func (pl *planner) mayReformRing(gr Group) bool {
	for _, me := range gr.Members {
		re, ok := pl.report(me.VM)
		if ok && re.Incarnation == me.Incarnation && pl.leaving(me.VM) {
			return pl.idle(gr)
		}
	}
	return true
}

// join orders one member to join the ring, unless the member already follows
// it, is leaving, was ordered recently, or needs a load beyond the load budget.
func (pl *planner) join(gr Group, me Member, ring []Member, generation uint64) {
	re, ok := pl.report(me.VM)
	if !ok || re.Incarnation != me.Incarnation || pl.leaving(me.VM) {
		return
	}
	names := make([]string, len(ring))
	for i, rm := range ring {
		names[i] = rm.VM
	}
	loads := re.Model != gr.Model || re.Version != gr.Version
	follows := re.Group == gr.ID && re.Fence == gr.Fence && re.Generation == generation && slices.Equal(re.Ring, names) &&
		slices.Equal(re.Adapters, gr.Adapters)
	if follows && (!loads || pl.loading(gr, me.VM)) || !pl.orderDue(me.VM) {
		return
	}
	if loads && pl.in.LoadBudget <= 0 {
		return
	}
	if loads {
		pl.in.LoadBudget--
	}
	target := VM{Name: me.VM, Address: me.Address, Domain: pl.vms[me.VM].Domain}
	pl.out.Orders = append(pl.out.Orders, Join{VM: target, Incarnation: me.Incarnation, Group: gr, Ring: ring, Generation: generation, Loads: loads})
}

// loading reports whether a VM that follows its order may still be loading.
// Such a VM is not ordered again, because some engines would restart the load.
func (pl *planner) loading(gr Group, vm string) bool {
	at, ok := pl.in.LastOrder[vm]
	timeout := loadTimeoutFactor*time.Duration(pl.in.Config.Models[gr.Model].LoadTime) + loadTimeoutMargin
	return ok && pl.in.Now.Sub(at) < timeout
}

// orderDue reports whether OrderInterval has passed since the last order to the
// VM.
func (pl *planner) orderDue(vm string) bool {
	at, ok := pl.in.LastOrder[vm]
	return !ok || pl.in.Now.Sub(at) >= OrderInterval
}
