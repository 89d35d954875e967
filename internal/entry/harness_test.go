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
	gate *emulator.StoreProxy
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
		de: &emulator.Deployment{ModelServers: 7, PlainServers: 2, EventInterval: 20 * time.Millisecond}}
	if err := sk.de.Start(ctx); err != nil {
		t.Fatal(err)
	}
	for i := range daemons {
		sk.start(i)
	}
	sk.until("all daemons serve", func() bool {
		if len(sk.daemons) > 0 && sk.members(sk.daemons[0]) < sk.de.ModelServers-1 {
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
	gate, store, err := sk.de.OpenStoreProxy()
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
	go func() {
		err := ru.da.Run(ctx)
		if err != nil && sk.ctx.Err() == nil {
			// Its addresses are in use, say, by another run of these tests.
			sk.t.Errorf("daemon %d ended: %v", num, err)
		}
		ru.done <- err
	}()
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
	if strings.HasPrefix(path, "/draft/") {
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
	rsp, err := sk.client.Get(platform.ResolveURL(ru.ip+":18083", emulator.Host, "hall-a"))
	if err != nil {
		return nil
	}
	defer rsp.Body.Close()
	var an platform.ResolveResponse
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

// loseMember kills a member of a large group that a daemon uses and returns its
// identifier.
func (sk *stack) loseMember(ru *running) string {
	lost := ""
	for _, gr := range ru.da.view.Load().Groups {
		if gr.Model == emulator.ModelLarge {
			lost = gr.Members[1].ID
		}
	}
	sk.de.Kill(lost)
	return lost
}

// uses tells whether a VM is a member of a group that a daemon sends to.
func uses(ru *running, id string) bool {
	return slices.ContainsFunc(ru.da.view.Load().Groups, func(gr catalog.Group) bool {
		return slices.ContainsFunc(gr.Members, func(me catalog.Member) bool { return me.ID == id })
	})
}

// setStore makes the store misbehave towards all daemons.
func (sk *stack) setStore(fault emulator.StoreFault) {
	for _, ru := range sk.daemons {
		ru.gate.SetFault(fault)
	}
}

// untilNoticed lets callers come until a daemon uses no group of a lost VM.
func (sk *stack) untilNoticed(ru *running, lost string) {
	sk.t.Helper()
	sk.until("the group without its member is noticed", func() bool {
		for _, ru := range sk.daemons {
			go sk.ask(ru, "/draft/", "stalled")
		}
		return !uses(ru, lost)
	})
}
