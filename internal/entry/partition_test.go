package entry

import (
	"testing"
	"time"
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
	dataCenters := map[int]string{2: otherDataCenter, 3: otherDataCenter}
	sk := newStackIn(t, 4, dataCenters)
	old := sk.steward()
	for _, ru := range sk.daemons {
		dc := ru.da.Settings.DataCenter
		sk.sides.Store(ru.ip, dc)
		if dc != old.da.Settings.DataCenter {
			ru.da.mesh.Conn.Close()
		}
	}
	for end := time.Now().Add(leaseTTL + 2*time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for num, ru := range sk.daemons {
			if is := isSteward(ru); is != (ru == old) {
				t.Fatalf("daemon %d is the steward: %t, want the one of before", num, is)
			}
		}
	}
	sk.checkInvariants()
}
