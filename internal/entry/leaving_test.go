package entry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/platform/emulator"
)

// Guards against a word of leaving that stays with the daemon that was told: the others send to
// the endpoint until the store says the same, and the steward replaces it no sooner.
func TestLeavingInAnswerIsTold(t *testing.T) {
	sk := newStack(t, 3)
	sk.setStore(emulator.Unresponsive)
	id := sk.de.IDs("desk")[0]
	desk := sk.de.Server(id)
	desk.SetBackpressure(emulator.Backpressure{Leaving: true})
	sk.until("one daemon is told", func() bool {
		before := len(desk.Arrivals())
		sk.ask(sk.daemons[0], "/slot/", fmt.Sprint("told-", time.Now().UnixNano()))
		return len(desk.Arrivals()) > before
	})
	for _, ru := range sk.daemons {
		sk.until("all daemons leave it out", func() bool {
			for _, pe := range ru.da.view.Load().Plain {
				if pe.ID == id {
					return false
				}
			}
			return true
		})
	}
	before := len(desk.Arrivals())
	for num := range 30 {
		if got := sk.ask(sk.daemons[num%len(sk.daemons)], "/slot/", "later"); got != emulator.Body("later") {
			t.Fatalf("request %d: %s, though another endpoint takes it", num, got)
		}
	}
	if num := len(desk.Arrivals()) - before; num > 0 {
		t.Errorf("%d requests for an endpoint that leaves", num)
	}
}

// Guards against a head that says that it leaves, whose group stays in use: the steward must
// form another one with its VMs although the store says nothing.
func TestLeavingHeadIsReplaced(t *testing.T) {
	sk := newStack(t, 2)
	ru := sk.daemons[0]
	head := ""
	for _, gr := range ru.da.view.Load().Groups {
		if gr.Model == emulator.ModelLarge {
			head = gr.Members[0].ID
		}
	}
	sk.de.Server(head).SetBackpressure(emulator.Backpressure{Leaving: true})
	sk.until("its group is left", func() bool {
		sk.ask(ru, "/draft/", fmt.Sprint("told-", time.Now().UnixNano()))
		return !slices.ContainsFunc(sk.daemons, func(ru *running) bool { return uses(ru, head) })
	})
	sk.until("all but the leaving VM serve again", func() bool {
		return sk.members(ru) >= sk.de.ModelServers-2 && !uses(ru, head)
	})
	sk.checkPromises()
}
