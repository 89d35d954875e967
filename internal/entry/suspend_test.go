package entry

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/internal/core/dispatch"
	"corianderhub.dev/corianderhub/platform/emulator"
)

// largeGroup returns a group of the large model in a daemon's view.
func largeGroup(ru *testDaemon) catalog.Group {
	groups := ru.da.view.Load().Groups
	return groups[slices.IndexFunc(groups, func(gr catalog.Group) bool { return gr.Model == emulator.ModelLarge })]
}

// inView reports whether a daemon's view has the group in the same epoch.
func inView(ru *testDaemon, want catalog.Group) bool {
	return slices.ContainsFunc(ru.da.view.Load().Groups, func(gr catalog.Group) bool { return gr.Name == want.Name && gr.Epoch == want.Epoch })
}

// A member of a group falls silent and goes on, while a daemon that isn't the steward has a request
// there that it keeps. Guards against orders to leave that cut the request: the group has to leave the
// view and come back.
func TestSilentMemberKeepsGroup(t *testing.T) {
	sk := newStack(t, 3)
	st := sk.steward()
	other := sk.daemons[slices.IndexFunc(sk.daemons, func(ru *testDaemon) bool { return ru != st })]
	var tickets []*dispatch.Ticket
	gr := largeGroup(other)
	for range 100 {
		ch, ti := other.da.table.Pick(dispatch.Request{Service: gr.Service, Model: gr.Model, Prompt: 100, Objective: time.Second, MaxPause: time.Second,
			MaxWait: time.Second}, func(error) {}, time.Now())
		if ti == nil {
			break
		}
		tickets = append(tickets, ti)
		if ch.Group.Name == gr.Name {
			break
		}
	}
	defer func() {
		for _, ti := range tickets {
			ti.End()
		}
	}()
	if len(tickets) == 0 || tickets[len(tickets)-1].Group.Name != gr.Name {
		t.Fatalf("no request at %s", gr.Name)
	}
	silent := gr.Members[1].ID
	sk.de.Fleet.Update(silent, func(vm *emulator.VM) { vm.Unreachable = true })
	sk.until("the group leaves the view", func() bool { return !inView(st, gr) })
	time.Sleep(800 * time.Millisecond)
	sk.de.Fleet.Update(silent, func(vm *emulator.VM) { vm.Unreachable = false })
	sk.until("the group is back in all views", func() bool {
		return !slices.ContainsFunc(sk.daemons, func(ru *testDaemon) bool { return !inView(ru, gr) })
	})
	if leave := fmt.Sprintf("leave %s", gr.Name); strings.Contains(sk.log.String(), leave) {
		t.Errorf("a member was ordered to %q", leave)
	}
	sk.checkInvariants()
}

// A member of a group crashes, and its port refuses. Guards against holding the others as if the
// member were silent.
func TestCrashedMemberIsNotSilent(t *testing.T) {
	sk := newStack(t, 3)
	lost := sk.loseMember(sk.steward())
	sk.untilUnused(sk.steward(), lost)
	if want := "member " + lost + " lost: its process has ended"; !strings.Contains(sk.log.String(), want) {
		t.Errorf("the log lacks %q", want)
	}
	sk.checkInvariants()
}
