package steward

import (
	"cmp"
	"slices"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// All calls share the CPU of the steward's machine. If all polls of a large fleet were in
// flight at once, responses would wait for the CPU longer than the poll timeout, and healthy
// VMs would be marked as down. The number of calls in flight is therefore bounded, and calls
// that decide about serving groups are sent first.
const (
	// maxPolls bounds the polls in flight and maxOrders the orders. Polls that do not decide
	// about a serving group are sent only while fewer than maxRoutinePolls are in flight.
	maxPolls        = 96
	maxRoutinePolls = 32
	maxOrders       = 48
)

const (
	// minUrgentTimeout and maxPollTimeout bound the poll timeout. A round trip takes about
	// 3 ms. Four urgent polls in a row take 240 ms, and a report in response to any of them
	// counts until the last one times out. A loss is thus detected as fast as with two polls of
	// 120 ms. If one poll in ten loses a packet, one VM in 10,000 is marked as unresponsive
	// instead of one in 100; a group has up to 32 VMs.
	minUrgentTimeout = 60 * time.Millisecond
	maxPollTimeout   = 400 * time.Millisecond
	// maxDownPollInterval bounds the time between polls of a VM that is down, which doubles
	// after each failure. A VM that recovers registers and is polled at once.
	maxDownPollInterval = 4 * time.Second
)

// duePolls returns the polls that are due, within the limits on polls in flight.
func (co *Core) duePolls(now time.Time) []Call {
	var urgent, routine []*vm
	inFlight := 0
	for _, id := range co.ids() {
		vm := co.vms[id]
		switch {
		case vm.polling:
			inFlight++
		case vm.pollAt.IsZero() || now.Before(vm.pollAt) || vm.orderPending:
		case vm.pollDecidesLoss():
			urgent = append(urgent, vm)
		default:
			routine = append(routine, vm)
		}
	}
	// VMs with the most failed polls come first: they are closest to a decision.
	slices.SortStableFunc(urgent, func(one, other *vm) int { return cmp.Compare(other.failures, one.failures) })
	due := urgent[:min(len(urgent), max(0, maxPolls-inFlight))]
	inFlight += len(due)
	due = append(due, routine[:min(len(routine), max(0, maxRoutinePolls-inFlight))]...)
	calls := make([]Call, len(due))
	for i, vm := range due {
		calls[i] = co.newPoll(vm, now)
	}
	return calls
}

// pollDecidesLoss reports whether the next poll helps decide if the VM is lost.
func (vm *vm) pollDecidesLoss() bool { return !vm.down && (vm.urgent || vm.failures > 0) }

func (co *Core) newPoll(vm *vm, now time.Time) Poll {
	vm.pollAt = now.Add(downPollInterval)
	vm.polling = true
	po := Poll{ID: vm.ep.ID, Address: vm.ep.Address, Urgent: vm.urgent || vm.failures > 0, Timeout: maxPollTimeout}
	if po.Urgent {
		po.Timeout = co.pollRTT.Timeout(minUrgentTimeout, maxPollTimeout)
	}
	return po
}

// orderQueue holds the orders that are not sent yet and counts those in flight.
type orderQueue struct {
	waiting  []Command
	inFlight int
}

// dispatch queues the orders among calls and returns the calls that may be made now.
func (co *Core) dispatch(calls []Call) []Call {
	oq := &co.orders
	var ready []Call
	for _, ca := range calls {
		if cd, ok := ca.(Command); ok {
			oq.waiting = append(oq.waiting, cd)
			continue
		}
		ready = append(ready, ca)
	}
	slices.SortStableFunc(oq.waiting, func(one, other Command) int { return cmp.Compare(orderPriority(one), orderPriority(other)) })
	for len(oq.waiting) > 0 && oq.inFlight < maxOrders {
		cd := oq.waiting[0]
		oq.waiting = oq.waiting[1:]
		if !co.stillValid(cd) {
			continue
		}
		oq.inFlight++
		ready = append(ready, cd)
	}
	return ready
}

// stillValid reports whether a queued order should still be sent. An order is dropped if its
// VM has restarted, or has become unresponsive, since it would hold up the orders queued
// behind it. A load that was planned without a rate limit is dropped once the limit applies;
// it is then planned again.
func (co *Core) stillValid(cd Command) bool {
	vm := co.vms[cd.ID]
	if vm == nil || cd.Incarnation.Differs(vm.ep.Incarnation) {
		return false
	}
	if od, ok := cd.Order.(catalog.Stage); ok && (vm.down || cd.initialLoads && !co.InitialLoads) {
		vm.orderPending, vm.stage = false, nil
		co.recordEvent(Event{Kind: "stage-dropped", VM: cd.ID, Model: od.Model})
		return false
	}
	if jo, ok := cd.Order.(catalog.Join); vm.down || ok && cd.initialLoads && !co.InitialLoads && !vm.hasWeights(jo.Model) {
		vm.orderPending = false
		return false
	}
	return true
}

// orderPriority ranks orders by how soon they benefit callers; 0 is sent first.
func orderPriority(cd Command) int {
	switch od := cd.Order.(type) {
	case catalog.OpenGroup:
		return 0
	case catalog.Leave, catalog.CloseGroup:
		return 1
	case catalog.Join:
		if isSpare(od.Group) {
			return 3
		}
		return 2
	case catalog.Stage:
		return 4
	}
	return 3
}
