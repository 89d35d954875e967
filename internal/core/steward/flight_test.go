package steward

import (
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// A fleet starts, loses a domain, and gets a new steward. Each of these concerns
// hundreds of VMs at once. The calls under way stay bounded, since they would else wait
// for each other at the steward's processor, and all groups form in the end.
func TestCallsUnderWayAreBounded(t *testing.T) {
	wo := newWorldOf(t, 4, 4, 73, wideModels)
	wo.perCall = ownCallTime
	watch := func(dur time.Duration) {
		for end := wo.now.Add(dur); wo.now.Before(end); {
			wo.step()
			wo.checkFlight()
		}
	}
	watch(4 * time.Second)
	large, small := wo.serving()
	if large*32+small*8 < 256 {
		t.Errorf("%d large and %d small groups of 292 VMs after 4 s", large, small)
	}
	for _, id := range wo.fleet.IDs()[:73] {
		wo.cut(id, true)
	}
	wo.notice()
	watch(time.Second)
	wo.takeOver()
	watch(2 * time.Second)
}

func (wo *world) checkFlight() {
	wo.t.Helper()
	asking := 0
	for _, vm := range wo.core.vms {
		if vm.asking {
			asking++
		}
	}
	if asking > maxAsks || wo.core.orders.underWay > maxOrders {
		wo.t.Fatalf("%d questions and %d orders under way", asking, wo.core.orders.underWay)
	}
}

// A group whose members are all ready gains callers at once by the order to open it. It
// goes out before the orders to join that wait.
func TestOpeningGoesFirst(t *testing.T) {
	co := New(1, time.Unix(1000, 0))
	co.orders.underWay = maxOrders - 1
	vmOf := func(id string) *vm {
		co.vms[id] = &vm{ep: catalog.Endpoint{ID: id}, known: true, registered: true}
		return co.vms[id]
	}
	calls := []Call{
		co.command(vmOf("a"), catalog.Join{Group: "spare-1-1"}),
		co.command(vmOf("b"), catalog.Join{Group: "group-1-2"}),
		co.command(vmOf("c"), catalog.OpenGroup{Group: "group-1-3"}),
	}
	now := co.launch(calls)
	if len(now) != 1 || now[0].(Command).ID != "c" {
		t.Fatalf("sent first: %v", now)
	}
	co.HandleOutcome(now[0].(Command), Accepted, time.Unix(1000, 0))
	if now = co.launch(nil); len(now) != 1 || now[0].(Command).ID != "b" {
		t.Errorf("sent next: %v", now)
	}
}

// An order waits for others, and its VM falls silent or starts again meanwhile. It is
// not sent, and the VM may be sent others once it answers.
func TestWaitingOrderIsDropped(t *testing.T) {
	co := New(1, time.Unix(1000, 0))
	co.orders.underWay = maxOrders
	silent := &vm{ep: catalog.Endpoint{ID: "silent"}, known: true}
	again := &vm{ep: catalog.Endpoint{ID: "again", Incarnation: 1}, known: true}
	co.vms["silent"], co.vms["again"] = silent, again
	co.launch([]Call{co.command(silent, catalog.Leave{Group: "group-1-1"}), co.command(again, catalog.Leave{Group: "group-1-1"})})
	silent.down = true
	co.vms["again"] = &vm{ep: catalog.Endpoint{ID: "again", Incarnation: 2}, known: true}
	co.orders.underWay = 0
	if now := co.launch(nil); len(now) > 0 {
		t.Errorf("sent: %v", now)
	}
	if silent.busy {
		t.Error("the silent VM waits for an order that was not sent")
	}
}
