package entry

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/dispatch"
	"corianderhub.dev/corianderhub/internal/core/quarantine"
	"corianderhub.dev/corianderhub/internal/front"
	"corianderhub.dev/corianderhub/internal/loopback"
	"corianderhub.dev/corianderhub/internal/mesh"
	"corianderhub.dev/corianderhub/platform"
	"corianderhub.dev/corianderhub/platform/emulator"
)

const (
	// crashPath is the path of a request that crashes each server that begins to process
	// it.
	crashPath = "/draft/crash-"
	// crashesUntilQuarantine is the number of crashes after which a request is
	// quarantined.
	crashesUntilQuarantine = 3
	// extraCrashes is the number of further crashes allowed after that.
	extraCrashes = 3
)

// crashOnRequest makes model servers crash when they process a request with crashPath.
func (sk *stack) crashOnRequest() {
	sk.de.ReplacementDelay = 300 * time.Millisecond
	sk.de.SetModelFault(func(req *http.Request) emulator.Fault {
		if strings.HasPrefix(req.URL.Path, crashPath) {
			return emulator.Crashes
		}
		return emulator.None
	})
}

// sendCrashing sends the request the given number of times, to one daemon after the other,
// each time as soon as a group serves that could process it.
func (sk *stack) sendCrashing(times int) {
	for num := range times {
		ru := sk.daemons[num%len(sk.daemons)]
		sk.until("a group serves", func() bool {
			id := fmt.Sprint("sound-", num, "-", time.Now().UnixNano())
			return sk.send(ru, "/draft/", id) == completeStream(id)
		})
		sk.send(ru, crashPath, fmt.Sprint("crash-", num, "-", time.Now().UnixNano()))
	}
}

// Guards against a request that crashes servers again and again, up to three per attempt,
// when its caller sends it under a new ID each time and to all daemons. All callers were
// refused for seconds, because the fleet ran out of groups. Crashes must be
// recorded by content rather than by attempt. In this test servers crash under this request
// only, so the number of crashes shows whether the content was recognized.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	sk := newStack(t, 3)
	sk.crashOnRequest()
	sk.sendCrashing(12)
	if num := sk.de.Crashes(); num < crashesUntilQuarantine || num > crashesUntilQuarantine+extraCrashes {
		t.Errorf("%d servers crashed under one request, want crashesUntilQuarantine plus at most extraCrashes", num)
	}
	sk.checkInvariants()
}

// Guards against losing the quarantine when all daemons lose power. The restarted daemons
// know a quarantined request only from the store, and must not send it to any server.
func TestQuarantineOutlastsDaemons(t *testing.T) {
	sk := newStack(t, 2)
	sk.crashOnRequest()
	sk.sendCrashing(4)
	sk.until("the request is quarantined in the store", func() bool { return len(sk.storedQuarantineKeys()) == 1 })
	for _, ru := range sk.daemons {
		sk.kill(ru)
	}
	for num := range sk.daemons {
		sk.start(num)
	}
	before := sk.de.Crashes()
	sk.sendCrashing(4)
	if num := sk.de.Crashes() - before; num > 0 {
		t.Errorf("%d more servers crashed, want none", num)
	}
}

// storedQuarantineKeys returns the keys of the quarantined requests in the store.
func (sk *stack) storedQuarantineKeys() []string {
	st := platform.NewStore(sk.daemons[0].da.Settings.Store.Address, storeTimeout)
	items, _, err := st.Range(sk.ctx, quarantinePrefix)
	if err != nil {
		return nil
	}
	var keys []string
	for _, it := range items {
		keys = append(keys, it.Key)
	}
	return keys
}

// Guards against a quarantine that depends on the store. If the store is unavailable while
// servers crash, all daemons must still refuse the request, and the store must contain it
// after the outage.
func TestQuarantineWhileStoreUnavailable(t *testing.T) {
	sk := newStack(t, 3)
	sk.crashOnRequest()
	sk.setStoreFault(emulator.Unresponsive)
	sk.until("quarantined by the daemon that gets the request", func() bool {
		sk.send(sk.daemons[0], crashPath, fmt.Sprint("crash-", time.Now().UnixNano()))
		return sk.daemons[0].da.quarantine.Digest(time.Now()) != 0
	})
	for _, ru := range sk.daemons[1:] {
		sk.until("quarantined by the others", func() bool { return ru.da.quarantine.Digest(time.Now()) != 0 })
	}
	sk.setStoreFault(emulator.NoStoreFault)
	sk.until("the store contains it", func() bool { return len(sk.storedQuarantineKeys()) == 1 })
}

// Guards against quarantining requests, for a day, because an endpoint truncated its
// responses without crashing.
func TestTruncatedResponseIsNoCrash(t *testing.T) {
	ct, _ := newTestControl(800)
	ct.da.front, ct.da.table, ct.da.plain = &front.Server{}, &dispatch.Table{}, &dispatch.PlainTable{}
	ct.da.Clock = clock.System{}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	held, err := loopback.Hold("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	open, closed := ln.Addr().String(), held.String()
	ct.da.dialer.Others = func(string) []string { return []string{open} }
	for i := range crashesUntilQuarantine {
		for _, at := range []struct{ addr, content string }{{open, "sound"}, {closed, "crash"}} {
			known := make(chan bool, 1)
			rq := quarantine.Request{Content: quarantine.Fingerprint([]byte((at.content + strings.Repeat(" ", 16))[:16]))}
			ct.handleDisconnect(front.Disconnect{Request: rq, Endpoint: fmt.Sprint(at.content, i), Address: at.addr}, known)
			(<-ct.events)()
			<-known
			_, _, quarantined := ct.da.quarantine.Quarantined(rq, time.Now())
			if want := at.content == "crash" && i == crashesUntilQuarantine-1; quarantined != want {
				t.Errorf("%s, attempt %d: quarantined %v, want %v", at.content, i+1, quarantined, want)
			}
		}
	}
}

// Guards against crashes that a new steward does not know of. In a large deployment each
// daemon sees one crash and announces it to the steward only, so it must announce it again
// to the next steward.
func TestCrashesAreReannouncedToNewSteward(t *testing.T) {
	ct, cl := newTestControl(192)
	for i := range 39 {
		ct.da.mesh.AddPeers([]string{fmt.Sprint("10.0.1.", i)})
	}
	rq := quarantine.Request{Content: quarantine.Fingerprint{1}}
	ct.announce(announcement{crash: &quarantine.Crash{Endpoint: "s1", Requests: []quarantine.Request{rq}}, at: cl.Now()})
	announced := func() int {
		var be mesh.Heartbeat
		ct.addQuarantine(&be, cl.Now())
		return len(be.Crashes)
	}
	if announced() != 1 {
		t.Fatal("a crash is not announced")
	}
	cl.Advance(time.Minute)
	if announced() != 0 {
		t.Fatal("a crash is announced indefinitely")
	}
	ct.reannounce(cl.Now())
	if announced() != 1 {
		t.Error("a crash is not announced to a new steward")
	}
}
