package entry

import (
	"fmt"
	"strings"
	"testing"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/platform"
	"corianderhub.dev/corianderhub/platform/emulator"
)

// Something else writes below the servers' prefix: bytes that can't be read, fields
// that are missing or of another type, states that nobody knows, again and again. A
// server's own entry is overwritten once too. No request goes to what such an entry
// names, all others are served, and the log tells of each key once.
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
	sk.until("the overwritten entry is set aside", func() bool { return strings.Contains(sk.log.String(), "key=servers/desk-8") })
	for _, ru := range sk.daemons {
		for i := range 20 {
			for _, path := range []string{"/confirm/", "/slot/"} {
				if id := fmt.Sprint(path, ru.ip, i); sk.ask(ru, path, id) != emulator.Body(id) {
					t.Fatalf("%s at %s is not served", path, ru.ip)
				}
			}
		}
	}
	for i := range foreign {
		// Each daemon that follows the store may tell.
		if num := strings.Count(sk.log.String(), fmt.Sprint("key=servers/foreign-", i, " ")); num > len(sk.daemons) {
			t.Errorf("%d lines tell of foreign-%d", num, i)
		}
	}
	sk.checkPromises()
}

// A plain server starts again under its ID and address. Its connections are gone,
// and requests that may not repeat are answered as before: none goes out on a
// connection of the earlier life.
func TestPlainServerStartsAgain(t *testing.T) {
	sk := newStack(t, 2)
	for round := range 3 {
		for _, id := range sk.de.IDs("desk") {
			sk.de.Restart(id)
		}
		sk.until("the restart is known", func() bool { return strings.Count(sk.log.String(), "endpoint started again") >= 2*(round+1) })
		for _, ru := range sk.daemons {
			for i := range 10 {
				id := fmt.Sprint("once-", round, ru.ip, i)
				if got := sk.ask(ru, "/confirm/", id); got != emulator.Body(id) {
					t.Errorf("%s: %q", id, got)
				}
			}
		}
	}
	sk.checkPromises()
}

// A member of a serving group starts again under its ID. Streams end whole, at every
// daemon, and the VM serves again in its new life.
func TestModelServerStartsAgain(t *testing.T) {
	sk := newStack(t, 3)
	vi := sk.daemons[0].da.view.Load()
	lost := vi.Groups[0].Members[len(vi.Groups[0].Members)-1]
	sk.de.Restart(lost.ID)
	for _, ru := range sk.daemons {
		sk.until("the new life serves", func() bool {
			if got := sk.ask(ru, "/draft/", "after"+ru.ip); got != wholeStream("after"+ru.ip) {
				t.Logf("not served for now: %q", got)
			}
			return servesInOtherLife(ru.da.view.Load(), lost)
		})
	}
	sk.checkPromises()
}

func servesInOtherLife(vi *catalog.View, lost catalog.Member) bool {
	for _, gr := range vi.Groups {
		for _, me := range gr.Members {
			if me.ID == lost.ID && me.Incarnation.Differs(lost.Incarnation) {
				return true
			}
		}
	}
	return false
}
