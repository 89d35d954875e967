package daemon

import (
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
