package entry

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/quarantine"
	"corianderhub.dev/corianderhub/platform/emulator"
)

// Guards against an operator's release that one daemon forgets, that a daemon's synchronization with the
// store takes back, or that is reported as done although the store was unavailable.
func TestReleaseReachesAllDaemons(t *testing.T) {
	sk := newStack(t, 3)
	sk.crashOnRequest()
	sk.sendCrashing(4)
	sk.until("the request is quarantined in the store", func() bool { return len(sk.storedQuarantineKeys()) == 1 })
	st := NewQuarantineStore(sk.daemons[0].da.Settings.Store.Address)
	held, err := st.Held(sk.ctx, time.Now())
	if err != nil || len(held) != 1 {
		t.Fatalf("held %v, error %v, want one entry", held, err)
	}
	subject := held[0].Subject
	if _, err := st.Release(sk.ctx, quarantine.Fingerprint{1}, "ann", "test", time.Now()); !errors.Is(err, ErrNotQuarantined) {
		t.Errorf("release of an unknown subject: error %v, want ErrNotQuarantined", err)
	}
	sk.setStoreFault(emulator.Unresponsive)
	if _, err := st.Release(sk.ctx, subject, "ann", "test", time.Now()); err == nil {
		t.Error("release without the store succeeded")
	}
	for num, ru := range sk.daemons {
		if !ru.da.quarantine.Holds(subject, time.Now()) {
			t.Errorf("daemon %d: released without the store", num)
		}
	}
	sk.setStoreFault(emulator.NoStoreFault)
	if _, err := st.Release(sk.ctx, subject, "ann", "fixed in build 7", time.Now()); err != nil {
		t.Fatal(err)
	}
	for num, ru := range sk.daemons {
		sk.until(fmt.Sprint("released at daemon ", num), func() bool { return !ru.da.quarantine.Holds(subject, time.Now()) })
	}
	if !strings.Contains(sk.log.String(), "fixed in build 7") {
		t.Error("no log line has the reason of the release")
	}
	time.Sleep(2 * quarantineSyncInterval)
	if held, err := st.Held(sk.ctx, time.Now()); err != nil || len(held) != 0 {
		t.Errorf("after the release the store holds %v, error %v, want none", held, err)
	}
}
