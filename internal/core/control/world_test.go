package control_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/chain"
	"corianderhub.dev/corianderhub/internal/core/control"
	"corianderhub.dev/corianderhub/internal/core/fleet"
	"corianderhub.dev/corianderhub/internal/core/intent"
	"corianderhub.dev/corianderhub/internal/standin"
)

// world runs several control cores against fakes of the platform and the
// engines on a clock of its own, one event at a time and always in the same
// order for the same seed. It checks what must always hold after each event.
type world struct {
	t       failer
	clock   *clock.Manual
	rnd     *rand.Rand
	store   *standin.Store
	faults  standin.StoreFaults
	vms     []fleet.VM
	engines map[string]*engine
	daemons map[string]*node
	names   []string
	queue   schedule
	seq     int
	// cut tells whether nothing passes between two parties.
	cut func(a, b string) bool
	// delay is how long a message takes beyond the usual latency.
	delay func(from, to string) time.Duration
	// stored is the highest sequence written for each domain.
	stored map[string]uint64
	// whole is when each group at a fencing number was last whole in truth.
	whole map[string]time.Time
}

// failer is what the tests and rapid's checks have in common.
type failer interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

const (
	latency     = 2 * time.Millisecond
	callTimeout = time.Second
	step        = 10 * time.Millisecond
	platformID  = "platform"
)

// node is a daemon's process.
type node struct {
	name     string
	set      control.Settings
	core     *control.Core
	frozen   bool
	inbox    []func()
	revision uint64
	// life tells answers to a former process of that name apart.
	life int
}

type task struct {
	at  time.Time
	seq int
	run func()
}

type schedule []task

func (sc schedule) Len() int { return len(sc) }

func (sc schedule) Less(i, j int) bool {
	if !sc[i].at.Equal(sc[j].at) {
		return sc[i].at.Before(sc[j].at)
	}
	return sc[i].seq < sc[j].seq
}

func (sc schedule) Swap(i, j int) { sc[i], sc[j] = sc[j], sc[i] }

func (sc *schedule) Push(x any) { *sc = append(*sc, x.(task)) }

func (sc *schedule) Pop() any {
	last := (*sc)[len(*sc)-1]
	*sc = (*sc)[:len(*sc)-1]
	return last
}

func newWorld(t failer, seed uint64) *world {
	w := &world{
		t:       t,
		clock:   clock.NewManual(time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)),
		rnd:     rand.New(rand.NewPCG(seed, 1)),
		engines: make(map[string]*engine),
		daemons: make(map[string]*node),
		cut:     func(string, string) bool { return false },
		delay:   func(string, string) time.Duration { return 0 },
		stored:  make(map[string]uint64),
		whole:   make(map[string]time.Time),
	}
	w.store = standin.NewStore(w.clock)
	return w
}

// at schedules run after wait.
func (w *world) at(wait time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, task{w.clock.Now().Add(wait), w.seq, run})
}

// run lets that much time pass.
func (w *world) run(dur time.Duration) {
	end := w.clock.Now().Add(dur)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		ta := heap.Pop(&w.queue).(task)
		w.clock.Advance(max(0, ta.at.Sub(w.clock.Now())))
		ta.run()
	}
	w.clock.Advance(end.Sub(w.clock.Now()))
}

// until lets time pass until ok, and fails the test after limit.
func (w *world) until(what string, limit time.Duration, ok func() bool) time.Duration {
	w.t.Helper()
	begin := w.clock.Now()
	for !ok() {
		if w.clock.Now().Sub(begin) > limit {
			w.t.Fatalf("after %v still not: %s\n%s", limit, what, w.dump())
		}
		w.run(step)
	}
	return w.clock.Now().Sub(begin)
}

func (w *world) addVMs(dc, domain string, num int) {
	for i := range num {
		name := fmt.Sprintf("%s-%d", domain, i)
		vm := fleet.VM{Name: name, Address: dc + "/" + name, Domain: domain}
		w.vms = append(w.vms, vm)
		en := &engine{vm: vm, loadTime: time.Second}
		w.engines[name] = en
		en.boot()
	}
}

func (w *world) addDaemon(name, dc string) *node {
	no := &node{name: name, set: control.Settings{Name: name, DataCenter: dc, Region: "r", Caller: name, Peer: name, Timing: control.DefaultTiming}}
	for other := range maps.Keys(w.daemons) {
		no.set.Seeds = append(no.set.Seeds, other)
	}
	slices.Sort(no.set.Seeds)
	w.daemons[name] = no
	w.names = append(w.names, name)
	w.start(no)
	return no
}

// start begins a new process of the daemon.
func (w *world) start(no *node) {
	no.life++
	no.frozen, no.inbox, no.revision = false, nil, 0
	no.core = control.New(no.set, w.clock.Now())
	w.tick(no, no.life)
}

// kill ends the daemon's process.
func (no *node) kill() {
	no.life++
	no.core = nil
}

func (w *world) tick(no *node, life int) {
	if no.life != life {
		return
	}
	if !no.frozen {
		w.deliver(no, life, control.Tick{})
	}
	w.at(50*time.Millisecond, func() { w.tick(no, life) })
}

// thaw lets a frozen daemon go on: what arrived meanwhile is handled now.
func (w *world) thaw(no *node) {
	no.frozen = false
	inbox := no.inbox
	no.inbox = nil
	for _, run := range inbox {
		run()
	}
}

// on runs fn in the daemon's process, later if it is frozen.
func (no *node) on(life int, fn func()) {
	if no.life != life {
		return
	}
	if no.frozen {
		no.inbox = append(no.inbox, func() { no.on(life, fn) })
		return
	}
	fn()
}

func (w *world) deliver(no *node, life int, ev control.Event) {
	no.on(life, func() {
		for _, ac := range no.core.Step(w.clock.Now(), ev) {
			w.perform(no, ac)
		}
		w.check(no)
	})
}

// call carries a message there and back. handle runs at the other end and
// returns the event for the answer; failed is the event if none comes in time.
func (w *world) call(no *node, to string, failed control.Event, handle func(answer func(control.Event))) {
	life, done := no.life, false
	finish := func(ev control.Event) {
		if !done && ev != nil {
			done = true
			w.deliver(no, life, ev)
		}
	}
	w.at(callTimeout, func() { finish(failed) })
	if w.cut(no.name, to) {
		return
	}
	delay := latency + time.Duration(w.rnd.Int64N(int64(latency)))
	w.at(delay+w.delay(no.name, to), func() {
		handle(func(ev control.Event) {
			w.at(delay, func() {
				if !w.cut(no.name, to) {
					finish(ev)
				}
			})
		})
	})
}

// ask calls another daemon.
func (w *world) ask(no *node, to string, failed control.Event, handle func(co *control.Core) control.Event) {
	w.call(no, to, failed, func(answer func(control.Event)) {
		other, ok := w.daemons[to]
		if !ok || other.core == nil {
			answer(failed)
			return
		}
		other.on(other.life, func() { answer(handle(other.core)) })
	})
}

func (w *world) perform(no *node, ac control.Action) {
	now := w.clock.Now()
	switch ac := ac.(type) {
	case control.Probe:
		w.probe(no, ac, now)
	case control.Pull:
		w.ask(no, ac.Peer, control.PullFailed{Peer: ac.Peer}, func(co *control.Core) control.Event {
			other := w.daemons[ac.Peer]
			w.deliver(other, other.life, control.PullReceived{Peer: no.name, Revision: ac.Revision})
			return control.Pulled{Peer: ac.Peer, SentAt: now, Answer: co.PullAt(w.clock.Now())}
		})
	case control.FetchDocs:
		w.ask(no, ac.Peer, control.DocsArrived{Peer: ac.Peer}, func(co *control.Core) control.Event {
			return control.DocsArrived{Peer: ac.Peer, Docs: co.Newer(ac.Have)}
		})
	case control.FetchConfig:
		failed := control.ConfigArrived{Source: control.SourcePeerConfig}
		w.ask(no, ac.Peer, failed, func(co *control.Core) control.Event {
			an, err := co.ConfigAfter(ac.After)
			if err != nil {
				return failed
			}
			ev := control.ConfigArrived{Source: control.SourcePeerConfig, Entries: an.Entries}
			if len(an.Pieces) > 0 {
				ev.Snapshot, _ = chain.Join(an.Pieces)
			}
			return ev
		})
	case control.BroadcastRevocation:
		for _, to := range ac.Peers {
			w.ask(no, to, nil, func(co *control.Core) control.Event {
				other := w.daemons[to]
				w.deliver(other, other.life, control.Revoked{Group: ac.Group, Fence: ac.Fence})
				return nil
			})
		}
	case control.PullObservations:
		w.ask(no, ac.Peer, control.ObservationsArrived{Daemon: ac.Daemon}, func(co *control.Core) control.Event {
			an := co.ObservationsAt(w.clock.Now(), ac.Since)
			return control.ObservationsArrived{Daemon: ac.Daemon, SentAt: now, Answer: &an}
		})
	case control.SendOrder:
		w.order(no, ac)
	case control.ReadConfig:
		w.readConfig(no, ac)
	default:
		w.performStore(no, ac, now)
	}
}

// serving returns how many groups the daemon may send to.
func (no *node) serving(now time.Time) int {
	num := 0
	for _, ta := range no.core.View().Groups {
		if ta.Permit.Valid(now) {
			num++
		}
	}
	return num
}

// allServe tells whether every living daemon may send to num groups.
func (w *world) allServe(num int) func() bool {
	return func() bool {
		for _, name := range w.names {
			no := w.daemons[name]
			if no.core != nil && !no.frozen && no.serving(w.clock.Now()) != num {
				return false
			}
		}
		return true
	}
}

// steward returns the daemon that acts as steward of the data center.
func (w *world) steward(dc string) *node {
	for _, name := range w.names {
		no := w.daemons[name]
		if no.core != nil && no.set.DataCenter == dc && no.core.Steward().Acting {
			return no
		}
	}
	return nil
}

// group returns the first group known to the daemon.
func (no *node) group() fleet.Group {
	for _, dom := range no.core.Domains() {
		if len(dom.Groups) > 0 {
			return dom.Groups[0]
		}
	}
	return fleet.Group{}
}

// model and spec are what most tests declare.
var (
	model = intent.Model{Name: "linden", Version: "1", VMs: 2, LoadTime: intent.Duration(time.Second), ChecksFencing: true, CapacityTokens: 1000}
	spec  = intent.Group{Name: "g", Model: "linden", DataCenter: "gent", Replicas: 2, Role: intent.RoleMixed}
)

// gent returns a world with three daemons and six VMs in one fabric domain,
// and two groups of two VMs serving.
func gent(t failer, seed uint64) *world {
	w := newWorld(t, seed)
	w.addVMs("gent", "a", 6)
	for _, name := range []string{"d1", "d2", "d3"} {
		w.addDaemon(name, "gent")
	}
	w.run(2 * time.Second)
	if _, err := w.apply(w.daemons["d1"], "first", model, spec); err != nil {
		t.Fatal(err)
	}
	w.until("two groups serve", 20*time.Second, w.allServe(2))
	return w
}
