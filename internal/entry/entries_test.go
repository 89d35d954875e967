package entry

import (
	"fmt"
	"strings"
	"testing"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/platform"
	"corianderhub.dev/corianderhub/platform/emulator"
)

// Guards against invalid entries under the servers' prefix: undecodable bytes, fields that
// are missing or of the wrong type, unknown states, written repeatedly. A server's own
// entry is overwritten too. No request may go to such an endpoint, all other requests must
// be served, and each key is logged once per daemon.
func TestForeignEntries(t *testing.T) {
	sk := newStack(t, 2)
	foreign := []string{"\x00\xfe", "[]", `{"service":7}`, `{"service":"desk","address":"127.0.0.1:9","zone":"hall-a","slots":1,"state":"odd","sequence":1,"born":5}`,
		`{"service":"desk","address":"127.0.0.1:9","zone":"hall-a","slots":1,"state":"ready","sequence":1,"born":1.5}`}
	for range 3 {
		for i, value := range foreign {
			sk.de.Store.Put(fmt.Sprint(platform.EndpointPrefix, "foreign-", i), []byte(value))
		}
	}
	sk.de.Store.Put(platform.EndpointPrefix+"desk-8", []byte("{"))
	sk.until("the overwritten entry is logged as invalid", func() bool { return strings.Contains(sk.log.String(), "key=servers/desk-8") })
	for _, ru := range sk.daemons {
		for i := range 20 {
			for _, path := range []string{"/confirm/", "/slot/"} {
				if id := fmt.Sprint(path, ru.ip, i); sk.send(ru, path, id) != emulator.Body(id) {
					t.Fatalf("%s at %s: the response is not the expected body", path, ru.ip)
				}
			}
		}
	}
	for i := range foreign {
		// Each daemon that follows the store may log the key.
		if num := strings.Count(sk.log.String(), fmt.Sprint("key=servers/foreign-", i, " ")); num > len(sk.daemons) {
			t.Errorf("%d log lines for foreign-%d, want at most one per daemon", num, i)
		}
	}
	sk.checkInvariants()
}

// Guards against requests sent on connections to the previous instance of a plain server
// that restarted with the same ID and address. Requests that must not be repeated must be
// answered.
func TestPlainServerStartsAgain(t *testing.T) {
	sk := newStack(t, 2)
	for round := range 3 {
		for _, id := range sk.de.IDs("desk") {
			sk.de.Restart(id)
		}
		sk.until("the restart is logged", func() bool { return strings.Count(sk.log.String(), "endpoint restarted") >= 2*(round+1) })
		for _, ru := range sk.daemons {
			for i := range 10 {
				id := fmt.Sprint("once-", round, ru.ip, i)
				if got := sk.send(ru, "/confirm/", id); got != emulator.Body(id) {
					t.Errorf("%s: got body %q", id, got)
				}
			}
		}
	}
	sk.checkInvariants()
}

// Guards against streams that fail or stay incomplete when a member of a serving group
// restarts under its ID. The VM must serve again as a new instance.
func TestModelServerStartsAgain(t *testing.T) {
	sk := newStack(t, 3)
	vi := sk.daemons[0].da.view.Load()
	lost := vi.Groups[0].Members[len(vi.Groups[0].Members)-1]
	sk.de.Restart(lost.ID)
	for _, ru := range sk.daemons {
		sk.until("the new instance serves", func() bool {
			if got := sk.send(ru, "/draft/", "after"+ru.ip); got != completeStream("after"+ru.ip) {
				t.Logf("not served yet: %q", got)
			}
			return servesAsNewInstance(ru.da.view.Load(), lost)
		})
	}
	sk.checkInvariants()
}

// servesAsNewInstance reports whether a group in vi has the lost member's VM with another
// incarnation.
func servesAsNewInstance(vi *catalog.View, lost catalog.Member) bool {
	for _, gr := range vi.Groups {
		for _, me := range gr.Members {
			if me.ID == lost.ID && me.Incarnation.Differs(lost.Incarnation) {
				return true
			}
		}
	}
	return false
}
