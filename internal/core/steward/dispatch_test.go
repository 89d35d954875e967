package steward

import (
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// Starting a fleet, losing a domain and replacing the steward each affect hundreds of VMs at
// once. The calls in flight must stay bounded, because calls queue for the CPU of the
// steward's machine, and the groups must still form.
func TestInFlightCallsAreBounded(t *testing.T) {
	si := newSimulationWith(t, 4, 4, 73, wideModels)
	si.cpuPerCall = callCPUTime
	watch := func(dur time.Duration) {
		for end := si.now.Add(dur); si.now.Before(end); {
			si.step()
			si.checkInFlight()
		}
	}
	watch(4 * time.Second)
	large, small := si.serving()
	if large*32+small*8 < 256 {
		t.Errorf("serving %d large and %d small groups of 292 VMs after 4 s, want groups on at least 256 VMs", large, small)
	}
	for _, id := range si.fleet.IDs()[:73] {
		si.setUnreachable(id, true)
	}
	si.reportStalls()
	watch(time.Second)
	si.takeOver()
	watch(2 * time.Second)
}

// checkInFlight checks that the polls and orders in flight are within their limits.
func (si *simulation) checkInFlight() {
	si.t.Helper()
	polls := 0
	for _, vm := range si.core.vms {
		if vm.polling {
			polls++
		}
	}
	if polls > maxPolls || si.core.orders.inFlight > maxOrders {
		si.t.Fatalf("%d polls and %d orders in flight, want at most maxPolls and maxOrders", polls, si.core.orders.inFlight)
	}
}

// An order to open a group benefits callers at once and must be sent before queued orders to
// join.
func TestOpenOrderIsSentFirst(t *testing.T) {
	co := New(1, time.Unix(1000, 0))
	co.orders.inFlight = maxOrders - 1
	vmOf := func(id string) *vm {
		co.vms[id] = &vm{ep: catalog.Endpoint{ID: id}, reported: true, registered: true}
		return co.vms[id]
	}
	calls := []Call{
		co.command(vmOf("a"), catalog.Join{Group: "spare-1-1"}),
		co.command(vmOf("b"), catalog.Join{Group: "group-1-2"}),
		co.command(vmOf("c"), catalog.OpenGroup{Group: "group-1-3"}),
	}
	sent := co.dispatch(calls)
	if len(sent) != 1 || sent[0].(Command).ID != "c" {
		t.Fatalf("sent first: %v, want the order to open the group", sent)
	}
	co.HandleOutcome(sent[0].(Command), Accepted, time.Unix(1000, 0))
	if sent = co.dispatch(nil); len(sent) != 1 || sent[0].(Command).ID != "b" {
		t.Errorf("sent next: %v, want the order to join the serving group", sent)
	}
}

// A queued order whose VM becomes unresponsive or restarts must be dropped, and an
// unresponsive VM must be free to receive other orders once it answers.
func TestQueuedOrderIsDropped(t *testing.T) {
	co := New(1, time.Unix(1000, 0))
	co.orders.inFlight = maxOrders
	unresponsive := &vm{ep: catalog.Endpoint{ID: "silent"}, reported: true}
	restarted := &vm{ep: catalog.Endpoint{ID: "again", Incarnation: 1}, reported: true}
	co.vms["silent"], co.vms["again"] = unresponsive, restarted
	co.dispatch([]Call{co.command(unresponsive, catalog.Leave{Group: "group-1-1"}), co.command(restarted, catalog.Leave{Group: "group-1-1"})})
	unresponsive.down = true
	co.vms["again"] = &vm{ep: catalog.Endpoint{ID: "again", Incarnation: 2}, reported: true}
	co.orders.inFlight = 0
	if sent := co.dispatch(nil); len(sent) > 0 {
		t.Errorf("sent: %v, want no orders", sent)
	}
	if unresponsive.orderPending {
		t.Error("the unresponsive VM waits for the response to an order that was not sent")
	}
}
