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
	"corianderhub.dev/corianderhub/internal/mesh"
	"corianderhub.dev/corianderhub/platform"
	"corianderhub.dev/corianderhub/platform/emulator"
)

const (
	// crashing is the path of a request that ends each server that begins to run it.
	crashing = "/draft/crash-"
	// endsUntilKnown is how many servers a request must have ended to be known for it.
	endsUntilKnown = 3
	// laterEnds is how many servers more may end under it after that.
	laterEnds = 3
)

// crashes makes model servers end under the request that ends them.
func (sk *stack) crashes() {
	sk.de.ReplacementDelay = 300 * time.Millisecond
	sk.de.SetModelFault(func(req *http.Request) emulator.Fault {
		if strings.HasPrefix(req.URL.Path, crashing) {
			return emulator.Crashes
		}
		return emulator.None
	})
}

// sendCrashing lets a caller come with it some times, to one daemon after the other, each
// time as soon as there is a group that could run it.
func (sk *stack) sendCrashing(times int) {
	for num := range times {
		ru := sk.daemons[num%len(sk.daemons)]
		sk.until("a group serves", func() bool {
			id := fmt.Sprint("sound-", num, "-", time.Now().UnixNano())
			return sk.ask(ru, "/draft/", id) == wholeStream(id)
		})
		sk.ask(ru, crashing, fmt.Sprint("crash-", num, "-", time.Now().UnixNano()))
	}
}

// Callers of all kinds are refused for seconds, since the fleet is short of groups. A caller
// has sent one request again and again, under a new identifier each time and to all daemons,
// and each server that began to run it has ended: up to three with each attempt. Daemons kept
// what they learnt of a request with the attempt, so that nobody knew it again. What proved
// it: servers end here under this request only, and no more do once its content is remembered.
func TestRequestThatEndsServers(t *testing.T) {
	sk := newStack(t, 3)
	sk.crashes()
	sk.sendCrashing(12)
	if num := sk.de.Crashes(); num < endsUntilKnown || num > endsUntilKnown+laterEnds {
		t.Errorf("%d servers ended under one request", num)
	}
	sk.checkPromises()
}

// Servers have ended under a request, and then all daemons lose power. Those that start know
// nothing of it but what the store says, and must send it to no server more.
func TestQuarantineOutlastsDaemons(t *testing.T) {
	sk := newStack(t, 2)
	sk.crashes()
	sk.sendCrashing(4)
	sk.until("the request is quarantined at the store", func() bool { return len(sk.quarantinedAtStore()) == 1 })
	for _, ru := range sk.daemons {
		sk.kill(ru)
	}
	for num := range sk.daemons {
		sk.start(num)
	}
	before := sk.de.Crashes()
	sk.sendCrashing(4)
	if num := sk.de.Crashes() - before; num > 0 {
		t.Errorf("%d servers ended more", num)
	}
}

// quarantinedAtStore returns the keys of the requests that the store names.
func (sk *stack) quarantinedAtStore() []string {
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

// The store is away while servers end under a request. All daemons must refuse it all the
// same, and the store must name it once it is back.
func TestQuarantineWhileStoreAway(t *testing.T) {
	sk := newStack(t, 3)
	sk.crashes()
	sk.setStore(emulator.Unresponsive)
	sk.until("quarantined by the daemon that is asked", func() bool {
		sk.ask(sk.daemons[0], crashing, fmt.Sprint("crash-", time.Now().UnixNano()))
		return sk.daemons[0].da.quarantine.Digest(time.Now()) != 0
	})
	for _, ru := range sk.daemons[1:] {
		sk.until("quarantined by the others", func() bool { return ru.da.quarantine.Digest(time.Now()) != 0 })
	}
	sk.setStore(emulator.NoStoreFault)
	sk.until("the store names it", func() bool { return len(sk.quarantinedAtStore()) == 1 })
}

// An endpoint breaks its answers off and goes on. That is no end, and the requests must be
// served by it still: they would be refused for a day.
func TestBrokenAnswerIsNoEnd(t *testing.T) {
	ct, _ := newLoneControl(800)
	ct.da.front, ct.da.table, ct.da.plain = &front.Server{}, &dispatch.Table{}, &dispatch.Plain{}
	ct.da.Clock = clock.System{}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	open, closed := ln.Addr().String(), ""
	if other, err := net.Listen("tcp", "127.0.0.1:0"); err == nil {
		closed = other.Addr().String()
		other.Close()
	}
	defer ln.Close()
	for i := range endsUntilKnown {
		for _, at := range []struct{ addr, content string }{{open, "sound"}, {closed, "crash"}} {
			known := make(chan struct{})
			fp := quarantine.Fingerprint([]byte((at.content + strings.Repeat(" ", 16))[:16]))
			ct.brokenOff(front.Disconnect{Request: fp, Endpoint: fmt.Sprint(at.content, i), Address: at.addr}, known)
			(<-ct.events)()
			<-known
			_, held := ct.da.quarantine.Quarantined(fp, time.Now())
			if want := at.content == "crash" && i == endsUntilKnown-1; held != want {
				t.Errorf("%s, time %d: held %v, want %v", at.content, i+1, held, want)
			}
		}
	}
}

// Many daemons: each sees one end of a server under the request, and tells the steward alone.
// The steward dies, and the next one has heard of none. It must be told of them again.
func TestNewStewardIsToldOfEnds(t *testing.T) {
	ct, cl := newLoneControl(192)
	for i := range 39 {
		ct.da.mesh.AddPeers([]string{fmt.Sprint("10.0.1.", i)})
	}
	fp := quarantine.Fingerprint{1}
	ct.tell(telling{ended: &quarantine.Crash{Endpoint: "s1", Requests: []quarantine.Fingerprint{fp}}, at: cl.Now()})
	told := func() int {
		var be mesh.Heartbeat
		ct.tellQuarantine(&be, cl.Now())
		return len(be.Crashes)
	}
	if told() != 1 {
		t.Fatal("an end is not told of")
	}
	cl.Advance(time.Minute)
	if told() != 0 {
		t.Fatal("an end is told of for ever")
	}
	ct.retell(cl.Now())
	if told() != 1 {
		t.Error("a new steward is not told of an end")
	}
}
