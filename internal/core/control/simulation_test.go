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

// simulation runs several Cores against a simulated platform and simulated
// engines on a manual clock. It processes one event at a time, in an order that
// depends only on the seed, and checks the invariants after each event.
type simulation struct {
	t       testingT
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
	// partitioned reports whether messages between two parties are lost.
	partitioned func(a, b string) bool
	// delay returns the extra latency of a message.
	delay func(from, to string) time.Duration
	// maxSequence holds the highest sequence number stored for each domain key.
	maxSequence map[string]uint64
	// lastComplete holds, by groupKey, when each group was last complete
	// according to the engines.
	lastComplete map[string]time.Time
}

// testingT is the common subset of *testing.T and *rapid.T.
type testingT interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

const (
	// latency is the minimum one-way latency of a message, and the bound of the
	// random part added to it. step is the interval at which waitFor tests its
	// condition. platformID names the platform in partitioned and delay.
	latency     = 2 * time.Millisecond
	callTimeout = time.Second
	step        = 10 * time.Millisecond
	platformID  = "platform"
)

// node is a daemon and its current process. core is nil while no process runs.
type node struct {
	name      string
	set       control.Settings
	core      *control.Core
	suspended bool
	// inbox holds the events that arrived while the process was suspended.
	inbox []func()
	// revision is the highest configuration revision observed by check.
	revision uint64
	// era is the latest era that the store's responses have named to the process.
	era uint64
	// incarnation changes with each process, so that responses to a former
	// process of the same daemon are dropped.
	incarnation int
}

// task is a function scheduled for a time. seq orders tasks with equal times.
type task struct {
	at  time.Time
	seq int
	run func()
}

// schedule is a heap.Interface of tasks, ordered by time.
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

func newSimulation(t testingT, seed uint64) *simulation {
	w := &simulation{
		t:            t,
		clock:        clock.NewManual(time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)),
		rnd:          rand.New(rand.NewPCG(seed, 1)),
		engines:      make(map[string]*engine),
		daemons:      make(map[string]*node),
		partitioned:  func(string, string) bool { return false },
		delay:        func(string, string) time.Duration { return 0 },
		maxSequence:  make(map[string]uint64),
		lastComplete: make(map[string]time.Time),
	}
	w.store = standin.NewStore(w.clock)
	return w
}

// after schedules run to be called after wait.
func (w *simulation) after(wait time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, task{w.clock.Now().Add(wait), w.seq, run})
}

// advance advances the clock by dur and runs the tasks that fall due.
func (w *simulation) advance(dur time.Duration) {
	end := w.clock.Now().Add(dur)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		ta := heap.Pop(&w.queue).(task)
		w.clock.Advance(max(0, ta.at.Sub(w.clock.Now())))
		ta.run()
	}
	w.clock.Advance(end.Sub(w.clock.Now()))
}

// waitFor advances the clock until ok returns true and returns the time that
// took. It fails the test after limit.
func (w *simulation) waitFor(what string, limit time.Duration, ok func() bool) time.Duration {
	w.t.Helper()
	begin := w.clock.Now()
	for !ok() {
		if w.clock.Now().Sub(begin) > limit {
			w.t.Fatalf("condition not met within %v: %s\n%s", limit, what, w.dump())
		}
		w.advance(step)
	}
	return w.clock.Now().Sub(begin)
}

func (w *simulation) addVMs(dc, domain string, num int) {
	for i := range num {
		name := fmt.Sprintf("%s-%d", domain, i)
		vm := fleet.VM{Name: name, Address: dc + "/" + name, Domain: domain}
		w.vms = append(w.vms, vm)
		en := &engine{vm: vm, loadTime: time.Second}
		w.engines[name] = en
		en.boot()
	}
}

func (w *simulation) addDaemon(name, dc string) *node {
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

// start starts a new process of the daemon.
func (w *simulation) start(no *node) {
	no.incarnation++
	no.suspended, no.inbox, no.revision, no.era = false, nil, 0, w.store.Era()
	no.core = control.New(no.set, w.clock.Now())
	w.tick(no, no.incarnation)
}

// kill ends the daemon's process without a shutdown.
func (no *node) kill() {
	no.incarnation++
	no.core = nil
}

// tick delivers a Tick every 50 ms while the process runs.
func (w *simulation) tick(no *node, incarnation int) {
	if no.incarnation != incarnation {
		return
	}
	if !no.suspended {
		w.deliver(no, incarnation, control.Tick{})
	}
	w.after(50*time.Millisecond, func() { w.tick(no, incarnation) })
}

// resume continues a suspended daemon, which first handles what arrived while
// it was suspended.
func (w *simulation) resume(no *node) {
	no.suspended = false
	inbox := no.inbox
	no.inbox = nil
	for _, run := range inbox {
		run()
	}
}

// runOn calls fn in the given process of the daemon, after resume if it is
// suspended, or not at all if the process has ended.
func (no *node) runOn(incarnation int, fn func()) {
	if no.incarnation != incarnation {
		return
	}
	if no.suspended {
		no.inbox = append(no.inbox, func() { no.runOn(incarnation, fn) })
		return
	}
	fn()
}

// deliver passes an event to the daemon's Core, performs the resulting actions
// and checks the invariants.
func (w *simulation) deliver(no *node, incarnation int, ev control.Event) {
	no.runOn(incarnation, func() {
		for _, ac := range no.core.Step(w.clock.Now(), ev) {
			w.perform(no, ac)
		}
		w.check(no)
	})
}

// call sends a message and delivers the response. handle runs on the receiving
// side and calls answer with the event to deliver to the sender. If that event
// does not arrive within callTimeout, failed is delivered instead.
func (w *simulation) call(no *node, to string, failed control.Event, handle func(answer func(control.Event))) {
	incarnation, done := no.incarnation, false
	finish := func(ev control.Event) {
		if !done && ev != nil {
			done = true
			w.deliver(no, incarnation, ev)
		}
	}
	w.after(callTimeout, func() { finish(failed) })
	if w.partitioned(no.name, to) {
		return
	}
	delay := latency + time.Duration(w.rnd.Int64N(int64(latency)))
	w.after(delay+w.delay(no.name, to), func() {
		handle(func(ev control.Event) {
			w.after(delay, func() {
				if !w.partitioned(no.name, to) {
					w.reportEra(no, to, incarnation)
					finish(ev)
				}
			})
		})
	})
}

// reportEra delivers StoreRestored with the first response of the platform in a new era.
func (w *simulation) reportEra(no *node, from string, incarnation int) {
	if from != platformID || no.incarnation != incarnation || no.era == w.store.Era() {
		return
	}
	no.era = w.store.Era()
	w.deliver(no, incarnation, control.StoreRestored{})
}

// callDaemon calls another daemon. A daemon that is not running answers with
// failed.
func (w *simulation) callDaemon(no *node, to string, failed control.Event, handle func(co *control.Core) control.Event) {
	w.call(no, to, failed, func(answer func(control.Event)) {
		other, ok := w.daemons[to]
		if !ok || other.core == nil {
			answer(failed)
			return
		}
		other.runOn(other.incarnation, func() { answer(handle(other.core)) })
	})
}

// perform performs an action of the daemon.
func (w *simulation) perform(no *node, ac control.Action) {
	now := w.clock.Now()
	switch ac := ac.(type) {
	case control.Probe:
		w.probe(no, ac, now)
	case control.Pull:
		w.callDaemon(no, ac.Peer, control.PullFailed{Peer: ac.Peer}, func(co *control.Core) control.Event {
			other := w.daemons[ac.Peer]
			w.deliver(other, other.incarnation, control.PullReceived{Peer: no.name, Revision: ac.Revision})
			return control.Pulled{Peer: ac.Peer, SentAt: now, Response: co.PullAt(w.clock.Now())}
		})
	case control.FetchDocs:
		w.callDaemon(no, ac.Peer, control.DocsArrived{Peer: ac.Peer}, func(co *control.Core) control.Event {
			return control.DocsArrived{Peer: ac.Peer, Docs: co.Newer(ac.Have)}
		})
	case control.FetchConfig:
		failed := control.ConfigArrived{Source: control.SourcePeerConfig}
		w.callDaemon(no, ac.Peer, failed, func(co *control.Core) control.Event {
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
			w.callDaemon(no, to, nil, func(co *control.Core) control.Event {
				other := w.daemons[to]
				w.deliver(other, other.incarnation, control.Revoked{Group: ac.Group, Fence: ac.Fence})
				return nil
			})
		}
	case control.PullObservations:
		w.callDaemon(no, ac.Peer, control.ObservationsArrived{Daemon: ac.Daemon}, func(co *control.Core) control.Event {
			an := co.ObservationsAt(w.clock.Now(), ac.Since)
			return control.ObservationsArrived{Daemon: ac.Daemon, SentAt: now, Response: &an}
		})
	case control.SendOrder:
		w.order(no, ac)
	case control.ReadConfig:
		w.readConfig(no, ac)
	case control.Reapply:
		w.reapply(no, ac)
	default:
		w.performStore(no, ac, now)
	}
}

// serving returns the number of groups for which the daemon holds a valid
// permit.
func (no *node) serving(now time.Time) int {
	num := 0
	for _, ta := range no.core.View().Groups {
		if ta.Permit.Valid(now) {
			num++
		}
	}
	return num
}

// allServe returns a condition that holds while every running daemon that is
// not suspended holds valid permits for exactly num groups.
func (w *simulation) allServe(num int) func() bool {
	return func() bool {
		for _, name := range w.names {
			no := w.daemons[name]
			if no.core != nil && !no.suspended && no.serving(w.clock.Now()) != num {
				return false
			}
		}
		return true
	}
}

// steward returns the daemon that acts as steward of the data centre, or nil.
func (w *simulation) steward(dc string) *node {
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

// model and spec are the model and the group that most tests declare.
var (
	model = intent.Model{Name: "linden", Version: "1", VMs: 2, LoadTime: intent.Duration(time.Second), ChecksFencing: true, CapacityTokens: 1000}
	spec  = intent.Group{Name: "g", Model: "linden", DataCenter: "gent", Replicas: 2, Role: intent.RoleMixed}
)

// newServingSimulation returns a simulation of the data centre gent with three
// daemons, six VMs in one fabric domain, and two serving groups of two VMs
// each.
func newServingSimulation(t testingT, seed uint64) *simulation {
	w := newSimulation(t, seed)
	w.addVMs("gent", "a", 6)
	for _, name := range []string{"d1", "d2", "d3"} {
		w.addDaemon(name, "gent")
	}
	w.advance(2 * time.Second)
	if _, err := w.apply(w.daemons["d1"], "first", model, spec); err != nil {
		t.Fatal(err)
	}
	w.waitFor("two groups serve", 20*time.Second, w.allServe(2))
	return w
}
