package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/platform"
	"corianderhub.dev/corianderhub/platform/emulator"
)

// patience bounds what a test waits for; it outlasts any delay of a busy
// machine. No test asserts that something takes less.
const patience = 60 * time.Second

// stack is a small deployment with daemons on loopback addresses.
type stack struct {
	t       *testing.T
	ctx     context.Context
	de      *emulator.Deployment
	daemons []*running
	client  *http.Client
	subnet  int
	// log holds what all daemons have logged.
	log *logBuffer
}

// logBuffer keeps log lines for tests that read them.
type logBuffer struct {
	mu  sync.Mutex
	buf strings.Builder
}

func (lb *logBuffer) add(line []byte) {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	lb.buf.Write(line)
}

// String returns all lines so far.
func (lb *logBuffer) String() string {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	return lb.buf.String()
}

// running is a daemon with its way to the store.
type running struct {
	da   *Daemon
	ip   string
	gate *emulator.Gate
	// kill ends the daemon without any farewell, stop tells it to stop.
	kill, stop context.CancelFunc
	dead       context.Context
	done       chan error
}

// subnets gives each test addresses of its own.
var subnets = make(chan int, 200)

func init() {
	for i := 1; i <= cap(subnets); i++ {
		subnets <- i
	}
}

func newStack(t *testing.T, daemons int) *stack {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	sk := &stack{t: t, ctx: ctx, subnet: <-subnets, log: &logBuffer{}, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		de: &emulator.Deployment{Models: 7, Desks: 2, EventEvery: 20 * time.Millisecond}}
	if err := sk.de.Start(ctx); err != nil {
		t.Fatal(err)
	}
	for i := range daemons {
		sk.start(i)
	}
	sk.until("all daemons serve", func() bool {
		if len(sk.daemons) > 0 && sk.members(sk.daemons[0]) < sk.de.Models-1 {
			return false
		}
		return !slices.ContainsFunc(sk.daemons, func(ru *running) bool { return sk.ask(ru, "/draft/", "warm-up") != wholeStream("warm-up") })
	})
	return sk
}

// members counts the VMs of the groups that a daemon uses.
func (sk *stack) members(ru *running) int {
	vi := ru.da.view.Load()
	if vi == nil {
		return 0
	}
	num := 0
	for _, gr := range vi.Groups {
		num += len(gr.Members)
	}
	return num
}

func (sk *stack) ip(num int) string { return fmt.Sprintf("127.0.%d.%d", sk.subnet, num+1) }

// start starts the daemon of that number, or starts it anew.
func (sk *stack) start(num int) *running {
	sk.t.Helper()
	gate, store, err := sk.de.OpenGate()
	if err != nil {
		sk.t.Fatal(err)
	}
	ip := sk.ip(num)
	set, err := platform.ParseSettings("settings", emulator.Settings(fmt.Sprint("entry-", num), ip, store, []string{sk.ip(0) + ":18082", sk.ip(1) + ":18082"}))
	if err != nil {
		sk.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(sk.ctx)
	dead, kill := context.WithCancel(sk.ctx)
	ru := &running{ip: ip, gate: gate, kill: kill, stop: stop, dead: dead, done: make(chan error, 1),
		da: &Daemon{base: dead, Settings: set, Clock: clock.System{}, Log: slog.New(slog.NewTextHandler(testWriter{sk.t, sk.log}, nil))}}
	go func() { ru.done <- ru.da.Run(ctx) }()
	if num < len(sk.daemons) {
		sk.daemons[num] = ru
	} else {
		sk.daemons = append(sk.daemons, ru)
	}
	sk.t.Cleanup(func() { sk.kill(ru) })
	return ru
}

// kill ends a daemon without any farewell.
func (sk *stack) kill(ru *running) {
	ru.kill()
	ru.stop()
	select {
	case err := <-ru.done:
		ru.done <- err
	case <-time.After(patience):
		sk.t.Error("a daemon does not end")
	}
}

type testWriter struct {
	t   *testing.T
	log *logBuffer
}

func (tw testWriter) Write(line []byte) (int, error) {
	tw.log.add(line)
	if tw.t.Context().Err() == nil {
		tw.t.Log(strings.TrimSpace(string(line)))
	}
	return len(line), nil
}

// until waits for something to become true.
func (sk *stack) until(what string, is func() bool) {
	sk.t.Helper()
	for end := time.Now().Add(patience); !is(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			sk.t.Fatalf("not reached: %s", what)
		}
	}
}

const events = 5

func wholeStream(id string) string {
	var all strings.Builder
	for num := 1; num <= events; num++ {
		all.WriteString(emulator.Event(id, num))
	}
	return all.String()
}

// ask sends a request to a daemon and returns the body of a 200 answer, or a
// word about any other.
func (sk *stack) ask(ru *running, path, id string) string {
	return sk.askWith(ru, path, id, emulator.Key)
}

func (sk *stack) askWith(ru *running, path, id, key string) string {
	req, err := http.NewRequestWithContext(sk.ctx, http.MethodPost, "http://"+ru.ip+":18080"+path+"x", strings.NewReader("question"))
	if err != nil {
		sk.t.Fatal(err)
	}
	req.Host = emulator.Host
	req.Header.Set(platform.HeaderRequestID, id)
	req.Header.Set(platform.HeaderAuthorization, "Token "+key)
	if path == "/draft/" {
		req.Header.Set(platform.HeaderModel, emulator.ModelLarge)
		req.Header.Set(platform.HeaderTokens, fmt.Sprint("100,", events*7))
	}
	rsp, err := sk.client.Do(req)
	if err != nil {
		return "no answer"
	}
	defer rsp.Body.Close()
	body, err := io.ReadAll(rsp.Body)
	if err != nil {
		return "cut off"
	}
	if rsp.StatusCode != http.StatusOK {
		return fmt.Sprint("status ", rsp.StatusCode)
	}
	return string(body)
}

// addresses asks a daemon where to connect.
func (sk *stack) addresses(ru *running) []string {
	rsp, err := sk.client.Get("http://" + ru.ip + ":18083" + platform.PathResolve + "?name=" + emulator.Host + "&zone=hall-a")
	if err != nil {
		return nil
	}
	defer rsp.Body.Close()
	var an platform.ResolveAnswer
	if json.NewDecoder(rsp.Body).Decode(&an) != nil {
		return nil
	}
	return an.Addresses
}

// steward returns the daemon that is the steward now.
func (sk *stack) steward() *running {
	var found *running
	sk.until("a steward", func() bool {
		for _, ru := range sk.daemons {
			is := make(chan bool, 1)
			if ru.dead.Err() != nil {
				continue
			}
			ru.da.control.post(func() { is <- ru.da.control.lease.settled() })
			select {
			case yes := <-is:
				if yes {
					found = ru
				}
			case <-ru.dead.Done():
			}
		}
		return found != nil
	})
	return found
}

func (sk *stack) checkPromises() {
	sk.t.Helper()
	if bad := sk.de.Fleet.Violations(); len(bad) > 0 {
		sk.t.Errorf("promises broken: %v", bad)
	}
}

// From a cold start on, every kind of request is answered by every daemon, and
// callers are told of all of them.
func TestColdStart(t *testing.T) {
	sk := newStack(t, 3)
	for _, ru := range sk.daemons {
		for _, path := range []string{"/confirm/", "/slot/"} {
			id := "id" + path + ru.ip
			if got := sk.ask(ru, path, id); got != emulator.Body(id) {
				t.Errorf("%s at %s: %q", path, ru.ip, got)
			}
		}
		sk.until("all addresses", func() bool { return len(sk.addresses(ru)) == 3 })
	}
	sk.checkPromises()
}

// A configuration that the store has accepted is in force everywhere, and none
// goes back to an older one, whatever keeps daemons from the store.
func TestHoldConfig(t *testing.T) {
	added := emulator.Route{Name: "new", Host: emulator.Host, Prefix: "/new/", Kind: "safe", Timeout: 30000, Target: 10000, Attempts: 2, Service: "desk"}
	tests := []struct {
		name         string
		before, then func(sk *stack)
	}{
		{"sound", func(*stack) {}, func(*stack) {}},
		{"one daemon is cut off from the store", func(sk *stack) { sk.daemons[1].gate.SetFault(emulator.Silent) }, func(*stack) {}},
		{"the steward is cut off from the store", func(sk *stack) { sk.steward().gate.SetFault(emulator.Silent) }, func(*stack) {}},
		{"history is dropped unseen", func(sk *stack) { sk.de.Store.Mute(true) }, func(sk *stack) {
			sk.de.Store.Compact()
			sk.de.Store.Mute(false)
		}},
		{"the steward dies", func(*stack) {}, func(sk *stack) { sk.kill(sk.steward()) }},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			sk := newStack(t, 3)
			tc.before(sk)
			sk.de.Configure([]emulator.Route{added}, "another-key")
			tc.then(sk)
			for _, ru := range sk.daemons {
				if ru.dead.Err() != nil {
					continue
				}
				sk.until("new route and key in force", func() bool { return sk.askWith(ru, "/new/", "id", "another-key") == emulator.Body("id") })
				if got := sk.ask(ru, "/slot/", "old"); got != "status 401" {
					t.Errorf("with a key that was taken away: %q", got)
				}
			}
		})
	}
}

// A configuration that can't be used is set aside; the last one stays.
func TestUnusableConfig(t *testing.T) {
	sk := newStack(t, 2)
	sk.de.Store.Put(platform.ConfigKey, []byte(`{"version":1000,"routes":[{"name":"r","kind":"odd"}]}`))
	sk.de.Configure([]emulator.Route{{Name: "new", Host: emulator.Host, Prefix: "/new/", Kind: "safe", Timeout: 30000, Attempts: 1, Service: "desk"}})
	for _, ru := range sk.daemons {
		sk.until("the next configuration in force", func() bool { return sk.ask(ru, "/new/", "id") == emulator.Body("id") })
	}
}

// An endpoint says that it leaves, or its entry is gone. After a while no
// request reaches it any more, though it would still answer.
func TestHoldLeaving(t *testing.T) {
	for _, how := range []string{"leaves", "gone", "leaves while the steward is cut off"} {
		t.Run(how, func(t *testing.T) {
			sk := newStack(t, 3)
			if strings.Contains(how, "cut off") {
				sk.steward().gate.SetFault(emulator.Busy)
			}
			id := "desk-8"
			if how == "gone" {
				sk.de.Forget(id)
			} else {
				sk.de.Leave(id)
			}
			sv := sk.de.Server(id)
			for _, ru := range sk.daemons {
				sk.until("the endpoint is left alone", func() bool {
					before := len(sv.Runs())
					for range 10 {
						sk.ask(ru, "/slot/", "id")
					}
					return len(sv.Runs()) == before
				})
			}
		})
	}
}

// An endpoint's entry goes while the steward can't reach the store. The other
// daemons see it go. When the steward is back it waits for entries that may have
// been lost in an outage, and its view names the endpoint; the others must go by
// what they have seen themselves.
func TestGoneEndpointStaysGone(t *testing.T) {
	sk := newStack(t, 3)
	st := sk.steward()
	st.gate.SetFault(emulator.Busy)
	id := "desk-8"
	sv := sk.de.Server(id)
	sk.until("the others follow the store themselves", func() bool {
		for _, ru := range sk.daemons {
			if ru != st && !ru.da.control.follows() {
				return false
			}
		}
		return true
	})
	sk.de.Forget(id)
	quiet := func(ru *running) bool {
		before := len(sv.Runs())
		for range 10 {
			sk.ask(ru, "/slot/", "id")
		}
		return len(sv.Runs()) == before
	}
	for _, ru := range sk.daemons {
		sk.until("the endpoint is left alone", func() bool { return quiet(ru) })
	}
	st.gate.SetFault(emulator.Sound)
	sk.until("the steward's word is taken again", func() bool {
		for _, ru := range sk.daemons {
			if ru != st && ru.da.control.follows() {
				return false
			}
			if !quiet(ru) {
				t.Fatal("the endpoint gets requests again")
			}
		}
		return true
	})
	for _, ru := range sk.daemons {
		if !quiet(ru) {
			t.Error("the endpoint gets requests again")
		}
	}
}

// A daemon is told to stop while it passes a stream on and other callers hold
// its address still. The stream ends whole, and the others stop naming it.
func TestHoldGracefulStop(t *testing.T) {
	sk := newStack(t, 3)
	ru := sk.daemons[0]
	answers := make(chan string, 5)
	for i := range cap(answers) {
		go func() { answers <- sk.ask(ru, "/draft/", fmt.Sprint("stop-", i)) }()
	}
	sk.until("streams under way", func() bool { return ru.da.front.Working() == int64(cap(answers)) })
	ru.stop()
	late := sk.ask(ru, "/slot/", "late")
	for range cap(answers) {
		if got := <-answers; !strings.Contains(got, fmt.Sprintf("id: %d\n", events)) {
			t.Errorf("a stream was cut off: %q", got)
		}
	}
	if late != emulator.Body("late") {
		t.Errorf("a request just after the stop: %q", late)
	}
	if err := <-ru.done; err != nil {
		t.Errorf("the daemon ended with %v", err)
	}
	ru.done <- nil
	for _, other := range sk.daemons[1:] {
		sk.until("the stopped daemon is not named", func() bool { return len(sk.addresses(other)) == 2 })
	}
}

// A member of a serving group dies silently. Its group is formed anew with a
// spare, and requests are served, without any VM in two groups.
func TestMemberDies(t *testing.T) {
	sk := newStack(t, 3)
	vi := sk.daemons[0].da.view.Load()
	lost := ""
	for _, gr := range vi.Groups {
		if gr.Model == emulator.ModelLarge {
			lost = gr.Members[1].ID
		}
	}
	sk.de.Kill(lost)
	sk.de.Forget(lost)
	for _, ru := range sk.daemons {
		sk.until("served by whole groups only", func() bool {
			vi := ru.da.view.Load()
			for _, gr := range vi.Groups {
				for _, me := range gr.Members {
					if me.ID == lost {
						return false
					}
				}
			}
			return sk.ask(ru, "/draft/", "after") == wholeStream("after")
		})
	}
	sk.checkPromises()
}

// With many daemons, load and views travel through the steward alone. A member
// dies and is replaced, then the steward itself is lost: every daemon hears of
// both and goes on serving by whole groups.
func TestManyDaemons(t *testing.T) {
	sk := newStack(t, 20)
	if sk.daemons[0].da.mesh.Direct() {
		t.Fatal("so few daemons tell each other everything, so the test shows nothing")
	}
	lost := sk.daemons[0].da.view.Load().Groups[0].Members[1].ID
	sk.de.Kill(lost)
	sk.de.Forget(lost)
	usesLost := func(ru *running) bool {
		return slices.ContainsFunc(ru.da.view.Load().Groups, func(gr catalog.Group) bool {
			return slices.ContainsFunc(gr.Members, func(me catalog.Member) bool { return me.ID == lost })
		})
	}
	old := sk.steward()
	sk.until("the lost member is in no daemon's view", func() bool { return !slices.ContainsFunc(sk.daemons, usesLost) })
	sk.kill(old)
	sk.daemons = slices.DeleteFunc(sk.daemons, func(ru *running) bool { return ru == old })
	if next := sk.steward(); next == old {
		t.Fatal("the killed daemon is steward still")
	}
	for _, ru := range sk.daemons {
		sk.until("served", func() bool { return sk.ask(ru, "/draft/", "after") == wholeStream("after") })
	}
	sk.until("the lost daemon is named to no caller", func() bool {
		return !slices.ContainsFunc(sk.daemons, func(ru *running) bool { return slices.Contains(sk.addresses(ru), old.ip+":18080") })
	})
	sk.checkPromises()
}

// The steward dies. Another daemon takes over once the lease has run out, or
// at once when a new process runs at the old one's address, and takes no group
// apart.
func TestStewardDies(t *testing.T) {
	sk := newStack(t, 3)
	before := len(sk.daemons[0].da.view.Load().Groups)
	old := sk.steward()
	sk.kill(old)
	next := sk.steward()
	if next == old {
		t.Fatal("the killed daemon is steward still")
	}
	if got := len(next.da.view.Load().Groups); got != before {
		t.Errorf("%d groups after the change, %d before", got, before)
	}
	if got := sk.ask(next, "/draft/", "after"); got != wholeStream("after") {
		t.Errorf("after the change: %q", got)
	}
	sk.checkPromises()
}

// All daemons lose power at once. The groups stand as they were; the new
// daemons learn of them and serve, without a load.
func TestAllDaemonsLost(t *testing.T) {
	sk := newStack(t, 3)
	sk.de.Fleet.InitialLoads = false
	for _, ru := range sk.daemons {
		sk.kill(ru)
	}
	for num := range sk.daemons {
		sk.start(num)
	}
	for _, ru := range sk.daemons {
		sk.until("served again", func() bool { return sk.ask(ru, "/draft/", "after") == wholeStream("after") })
	}
	if loads := len(sk.de.Fleet.Loads()); loads != 0 {
		t.Errorf("%d loads from the weight store", loads)
	}
	sk.checkPromises()
}

// The store is away. Requests are served all the same, and a daemon that
// starts then learns what it needs from the others.
func TestStoreAway(t *testing.T) {
	for _, fault := range []emulator.StoreFault{emulator.Silent, emulator.Busy} {
		sk := newStack(t, 3)
		for _, ru := range sk.daemons {
			ru.gate.SetFault(fault)
		}
		sk.kill(sk.daemons[2])
		late := sk.start(2)
		late.gate.SetFault(fault)
		for _, ru := range sk.daemons {
			sk.until("served without the store", func() bool { return sk.ask(ru, "/draft/", "away") == wholeStream("away") })
		}
	}
}

// Writes take effect and their answers are lost. A daemon that takes the lease
// so finds out, and somebody is steward in the end.
func TestLostAnswersOfStore(t *testing.T) {
	sk := newStack(t, 3)
	old := sk.steward()
	for _, ru := range sk.daemons {
		ru.gate.SetFault(emulator.LosesAnswers)
	}
	sk.kill(old)
	time.Sleep(100 * time.Millisecond)
	for _, ru := range sk.daemons {
		ru.gate.SetFault(emulator.Sound)
	}
	if next := sk.steward(); next == old {
		t.Error("the killed daemon is steward still")
	}
	sk.checkPromises()
}

// The store is away for longer than a lease lasts, and a group loses a member
// meanwhile. The steward goes on, since no other daemon can take its place, and
// the group is formed anew.
func TestRepairWhileStoreAway(t *testing.T) {
	sk := newStack(t, 3)
	st := sk.steward()
	for _, ru := range sk.daemons {
		ru.gate.SetFault(emulator.Busy)
	}
	sk.de.Store.EndLeases()
	time.Sleep(leaseTTL + time.Second)
	lost := ""
	for _, gr := range st.da.view.Load().Groups {
		if gr.Model == emulator.ModelLarge {
			lost = gr.Members[1].ID
		}
	}
	sk.de.Kill(lost)
	sk.until("the group without its member is noticed", func() bool {
		for _, ru := range sk.daemons {
			go sk.ask(ru, "/draft/", "stalled")
		}
		for _, gr := range st.da.view.Load().Groups {
			for _, me := range gr.Members {
				if me.ID == lost {
					return false
				}
			}
		}
		return true
	})
	if sk.steward() != st {
		t.Error("the steward changed while the store was away")
	}
	for _, ru := range sk.daemons {
		sk.until("served again", func() bool { return sk.ask(ru, "/draft/", "after") == wholeStream("after") })
		ru.gate.SetFault(emulator.Sound)
	}
	sk.until("the lease is held again", func() bool {
		_, ok := sk.de.Store.Value(stewardKey)
		return ok
	})
	sk.checkPromises()
}

// A steward that the others can't hear must stop when its lease runs out: one
// of them will take its place.
func TestSilentStewardStops(t *testing.T) {
	sk := newStack(t, 3)
	old := sk.steward()
	old.gate.SetFault(emulator.Silent)
	old.da.mesh.Conn.Close()
	sk.until("another steward", func() bool { return sk.steward() != old })
	is := make(chan bool, 1)
	old.da.control.post(func() { is <- old.da.control.lease.core != nil })
	if <-is {
		t.Error("two daemons are steward at once")
	}
	sk.checkPromises()
}
