package steward

import (
	"cmp"
	"slices"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// Calls share the processor of the steward's machine. With all questions of a large fleet
// under way at once, answers wait for it longer than a question waits for its answer: sound
// VMs would be taken as down. So calls are bounded, and those that decide about groups that
// serve go first.
const (
	// maxAsks bounds the questions under way, maxOrders the orders. Questions that
	// decide about no group that serves are put only while fewer than maxRoutineAsks are
	// under way.
	maxAsks        = 96
	maxRoutineAsks = 32
	maxOrders      = 48
)

const (
	// urgentLeast and askMost are the bounds of the time that an answer is waited for.
	// A round trip takes some 3 ms. Four urgent questions in a row, of which the
	// answer to each may come until the last one's time is over, take 240 ms: losses are
	// noticed as soon as with two of 120 ms. Where each tenth question loses a packet, one
	// in 10,000 VMs is taken as silent instead of one in 100; a group has up to 32.
	urgentLeast = 60 * time.Millisecond
	askMost     = 400 * time.Millisecond
	// askDownMost bounds the time between questions to a VM that is down, which
	// doubles. One that comes back registers and is asked at once.
	askDownMost = 4 * time.Second
)

// asks returns the questions that are due, as far as there is room for them.
func (co *Core) asks(now time.Time) []Call {
	var urgent, routine []*vm
	underWay := 0
	for _, id := range co.ids() {
		vm := co.vms[id]
		switch {
		case vm.asking:
			underWay++
		case vm.askAt.IsZero() || now.Before(vm.askAt) || vm.busy:
		case vm.deciding():
			urgent = append(urgent, vm)
		default:
			routine = append(routine, vm)
		}
	}
	// Members that have left a question unanswered are the next to decide.
	slices.SortStableFunc(urgent, func(one, other *vm) int { return cmp.Compare(other.failures, one.failures) })
	due := urgent[:min(len(urgent), max(0, maxAsks-underWay))]
	underWay += len(due)
	due = append(due, routine[:min(len(routine), max(0, maxRoutineAsks-underWay))]...)
	calls := make([]Call, len(due))
	for i, vm := range due {
		calls[i] = co.question(vm, now)
	}
	return calls
}

// deciding tells whether the answer decides if the VM is lost.
func (vm *vm) deciding() bool { return !vm.down && (vm.urgent || vm.failures > 0) }

func (co *Core) question(vm *vm, now time.Time) Poll {
	vm.askAt = now.Add(askDownInterval)
	vm.asking = true
	as := Poll{ID: vm.ep.ID, Address: vm.ep.Address, Urgent: vm.urgent || vm.failures > 0, Timeout: askMost}
	if as.Urgent {
		as.Timeout = co.answers.Timeout(urgentLeast, askMost)
	}
	return as
}

// orderQueue holds the orders that were decided on and not sent yet.
type orderQueue struct {
	waiting  []Command
	underWay int
}

// launch queues the orders among calls and returns the calls that may be made now.
func (co *Core) launch(calls []Call) []Call {
	oq := &co.orders
	var now []Call
	for _, ca := range calls {
		if cd, ok := ca.(Command); ok {
			oq.waiting = append(oq.waiting, cd)
			continue
		}
		now = append(now, ca)
	}
	slices.SortStableFunc(oq.waiting, func(one, other Command) int { return cmp.Compare(urgency(one), urgency(other)) })
	for len(oq.waiting) > 0 && oq.underWay < maxOrders {
		cd := oq.waiting[0]
		oq.waiting = oq.waiting[1:]
		if !co.stillDue(cd) {
			continue
		}
		oq.underWay++
		now = append(now, cd)
	}
	return now
}

// stillDue tells whether an order is to be sent to the life it was decided for. A VM
// that has fallen silent meanwhile would hold up those that wait behind it. A load that was
// free when it was decided on and is not any more is decided on anew.
func (co *Core) stillDue(cd Command) bool {
	vm := co.vms[cd.ID]
	if vm == nil || cd.Incarnation.Differs(vm.ep.Incarnation) {
		return false
	}
	if jo, ok := cd.Order.(catalog.Join); vm.down || ok && cd.free && !co.InitialLoads && !vm.has(jo.Model) {
		vm.busy = false
		return false
	}
	return true
}

// urgency orders orders by how soon callers gain by them; 0 is the first.
func urgency(cd Command) int {
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
	}
	return 3
}
