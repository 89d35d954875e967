package daemon

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/pkg/verdict"
)

// Guards against a booking that runs twice since the store was restored from a copy without its
// claim, and whose caller doesn't get the recorded answer soon after.
func TestBookingOverRestore(t *testing.T) {
	sk := newTestSystem(t, smallSystem)
	if status, _, err := sk.book(0, "before"); err != nil || status != http.StatusOK {
		t.Fatalf("status = %d, %v; want %d", status, err, http.StatusOK)
	}
	time.Sleep(2 * time.Second) // Each daemon has seen the era.
	sk.platform.Store.Copy()
	if status, _, err := sk.book(0, "booking"); err != nil || status != http.StatusOK {
		t.Fatalf("status = %d, %v; want %d", status, err, http.StatusOK)
	}
	sk.platform.Store.Restore()
	for i := range 4 {
		if _, ve, err := sk.book(i%2, "booking"); err != nil || ve == verdict.NotRun {
			t.Errorf("repeated booking: verdict = %q, %v; it has run", ve, err)
		}
	}
	sk.waitUntil("the recorded answer is back", func() bool {
		status, _, err := sk.book(1, "booking")
		return err == nil && status == http.StatusOK
	})
	sk.checkRuns(t, "booking", 1)
}

// Guards against acknowledged changes of the configuration that are not in force at all daemons after
// the store was restored from a copy without one of them.
func TestApplyOverRestore(t *testing.T) {
	sk := newTestSystem(t, smallSystem)
	declare := func(daemon int, name string) {
		sk.apply(daemon, fmt.Sprintf("[[workspace]]\nname = %q\nshare = 1\nkey-sha256 = %q\n", name, digest(name)))
	}
	time.Sleep(2 * time.Second) // Each daemon has seen the era.
	sk.platform.Store.Copy()
	declare(0, "lost")
	sk.platform.Store.Restore()
	declare(1, "next")
	sk.waitUntil("both changes are in force at all daemons, at one revision", func() bool {
		revisions := make(map[uint64]bool)
		for _, dh := range sk.daemons {
			cfg := dh.daemon.View().Config
			revisions[cfg.Revision] = true
			if cfg.Workspaces["lost"].Name == "" || cfg.Workspaces["next"].Name == "" {
				return false
			}
		}
		return len(revisions) == 1
	})
}
