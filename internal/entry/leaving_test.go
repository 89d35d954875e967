package entry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/platform/emulator"
)

// Guards against an endpoint's leave notice that stays with the daemon that received it:
// the others would send requests to the endpoint until the store has the notice, and the
// steward would replace the endpoint late.
func TestLeavingInResponseIsShared(t *testing.T) {
	sk := newStack(t, 3)
	sk.setStoreFault(emulator.Unresponsive)
	id := sk.de.IDs("desk")[0]
	sv := sk.de.Server(id)
	sv.SetBackpressure(emulator.Backpressure{Leaving: true})
	sk.until("one daemon receives the notice", func() bool {
		before := len(sv.Arrivals())
		sk.send(sk.daemons[0], "/slot/", fmt.Sprint("notice-", time.Now().UnixNano()))
		return len(sv.Arrivals()) > before
	})
	for _, ru := range sk.daemons {
		sk.until("all daemons exclude it", func() bool {
			for _, pe := range ru.da.view.Load().Plain {
				if pe.ID == id {
					return false
				}
			}
			return true
		})
	}
	before := len(sv.Arrivals())
	for num := range 30 {
		if got := sk.send(sk.daemons[num%len(sk.daemons)], "/slot/", "later"); got != emulator.Body("later") {
			t.Fatalf("request %d: got %s, although another endpoint accepts it", num, got)
		}
	}
	if num := len(sv.Arrivals()) - before; num > 0 {
		t.Errorf("%d requests to a leaving endpoint, want none", num)
	}
}

// Guards against a group that stays in use after its leader announced that it is leaving: the
// steward must form another group with its VMs although the store does not have the notice.
func TestLeavingLeaderIsReplaced(t *testing.T) {
	sk := newStack(t, 2)
	ru := sk.daemons[0]
	leader := ""
	for _, gr := range ru.da.view.Load().Groups {
		if gr.Model == emulator.ModelLarge {
			leader = gr.Members[0].ID
		}
	}
	sk.de.Server(leader).SetBackpressure(emulator.Backpressure{Leaving: true})
	sk.until("its group is no longer used", func() bool {
		sk.send(ru, "/draft/", fmt.Sprint("notice-", time.Now().UnixNano()))
		return !slices.ContainsFunc(sk.daemons, func(ru *testDaemon) bool { return uses(ru, leader) })
	})
	sk.until("all VMs but the leaving one serve again", func() bool {
		return sk.members(ru) >= sk.de.ModelServers-2 && !uses(ru, leader)
	})
	sk.checkInvariants()
}
