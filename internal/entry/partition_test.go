package entry

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/mesh"
	"corianderhub.dev/corianderhub/platform"
)

// isSteward reports whether a daemon acts as the steward.
func isSteward(ru *testDaemon) bool {
	is := make(chan bool, 1)
	ru.da.control.post(func() { is <- ru.da.control.lease.core != nil })
	return <-is
}

// Guards against two daemons that act as the steward for as long as the first one is cut off from the
// other daemons, whose connections to it are refused, while both reach the store.
func TestStewardBehindRefusedPath(t *testing.T) {
	sk := newStack(t, 3)
	old := sk.steward()
	sk.sides.Store(old.ip, "cut off")
	old.da.mesh.Conn.Close()
	time.Sleep(2 * time.Second)
	sk.until("one steward", func() bool {
		num := 0
		for _, ru := range sk.daemons {
			if isSteward(ru) {
				num++
			}
		}
		return num == 1
	})
	sk.checkInvariants()
}

// Guards against daemons of one data centre that take the lease of a steward in another one, because
// the network between the two refuses connections.
func TestStewardBehindPartition(t *testing.T) {
	sk := newStackIn(t, 4, map[int]string{2: otherDataCenter, 3: otherDataCenter})
	old := sk.steward()
	apart := sk.otherDataCenters(old)
	for _, ru := range sk.daemons {
		sk.sides.Store(ru.ip, ru.da.Settings.DataCenter)
	}
	for _, ru := range apart {
		ru.da.mesh.Conn.Close()
	}
	for _, ru := range apart {
		sk.until("the steward doesn't count as alive", func() bool { return !isAlive(ru, old.ip) })
		if ru.da.control.holderExited(t.Context(), sk.holderOf(old)) {
			t.Errorf("%s takes the steward for ended", ru.da.Settings.Name)
		}
	}
}

// Guards against a lease that is kept until it runs out, although the steward's process has ended and
// another daemon of its data centre can be reached.
func TestEndedStewardInOtherDataCenter(t *testing.T) {
	sk := newStackIn(t, 4, map[int]string{2: otherDataCenter, 3: otherDataCenter})
	old := sk.steward()
	item := sk.holderOf(old)
	sk.kill(old)
	for _, ru := range sk.otherDataCenters(old) {
		sk.until("the steward counts as ended", func() bool { return ru.da.control.holderExited(t.Context(), item) })
	}
}

// holderOf returns the steward's key as a daemon writes it.
func (sk *stack) holderOf(ru *testDaemon) platform.Item {
	sk.t.Helper()
	value, err := json.Marshal(holder{ru.ip, ru.da.started, ru.da.Settings.DataCenter})
	if err != nil {
		sk.t.Fatal(err)
	}
	return platform.Item{Key: stewardKey, Value: value}
}

// otherDataCenters returns the daemons in other data centres than a daemon's.
func (sk *stack) otherDataCenters(ru *testDaemon) []*testDaemon {
	return slices.DeleteFunc(slices.Clone(sk.daemons), func(other *testDaemon) bool {
		return other.da.Settings.DataCenter == ru.da.Settings.DataCenter
	})
}

// isAlive reports whether the daemon at an IP address counts as alive for another one.
func isAlive(ru *testDaemon, ip string) bool {
	return slices.ContainsFunc(ru.da.mesh.Alive(), func(pe mesh.Peer) bool { return pe.IP == ip })
}
