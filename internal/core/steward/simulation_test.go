package steward

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/platform/emulator"
)

// simulation runs a steward against emulated VMs on a simulated clock. Calls take time,
// responses are lost and orders are carried out late, as the test configures.
type simulation struct {
	t     testing.TB
	rnd   *rand.Rand
	now   time.Time
	fleet *emulator.Fleet
	cfg   *catalog.Config
	core  *Core
	term  int64
	queue []timer
	// entries are the entries registered in the store.
	entries map[string]catalog.Endpoint
	// lostOrderResponses and lateOrders are the shares of orders whose response is lost or
	// that are carried out late.
	lostOrderResponses, lateOrders float64
	// ignoredStages is the share of stage orders that are accepted and not carried out.
	ignoredStages float64
	// storeDown is set while the store is unavailable and changed entries do not reach the
	// steward.
	storeDown bool
	// vmCount counts the VMs added so far.
	vmCount int
	// lostPollResponses is the share of polls whose response is lost. slowCalls is the share
	// of calls that are delayed by up to maxDelay.
	lostPollResponses, slowCalls float64
	maxDelay                     time.Duration
	// cpuPerCall is the CPU time of the steward's machine that a call takes, and cpuFreeAt
	// when all calls so far have been processed.
	cpuPerCall time.Duration
	cpuFreeAt  time.Time
	// pollCount counts the polls.
	pollCount int
	// requests is the number of requests in progress at each group, as daemons report it.
	requests map[string]int
	// refusing holds the VMs that refuse connections while they are dead.
	refusing map[string]bool
}

// timer is an action scheduled for a later time.
type timer struct {
	at  time.Time
	run func()
}

const (
	// simStep is the simulated time of one step.
	simStep = 10 * time.Millisecond
	// callTime is the round-trip time to an endpoint, orderTimeout the timeout of an order.
	callTime     = 3 * time.Millisecond
	orderTimeout = 120 * time.Millisecond
	// entryTTL is how long the entry of a VM that died remains.
	entryTTL = 3600 * time.Millisecond
)

// simModels have groups of 4 and 3 VMs. The tests use them in domains of 9 VMs.
var simModels = []catalog.Model{
	{Name: "large", Size: 4, Pace: 1, Share: 0.57, LoadTime: 16 * time.Second, WarmLoadTime: 1600 * time.Millisecond},
	{Name: "small", Size: 3, Pace: 0.6, Share: 0.43, LoadTime: 12 * time.Second, WarmLoadTime: 1100 * time.Millisecond},
}

// samePaceModels have equal paces, so that their weights are in the ratio of the configured
// shares.
var samePaceModels = []catalog.Model{
	{Name: "large", Size: 4, Pace: 1, Share: 0.57, LoadTime: 16 * time.Second, WarmLoadTime: 1600 * time.Millisecond},
	{Name: "small", Size: 3, Pace: 1, Share: 0.43, LoadTime: 12 * time.Second, WarmLoadTime: 1100 * time.Millisecond},
}

// newSimulation returns a simulation of a fleet with the given numbers of domains and of VMs in
// each, with the models in simModels.
func newSimulation(t testing.TB, seed uint64, domains, each int) *simulation {
	return newSimulationWith(t, seed, domains, each, simModels)
}

func newSimulationWith(t testing.TB, seed uint64, domains, each int, models []catalog.Model) *simulation {
	si := &simulation{t: t, rnd: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), term: 10,
		fleet: &emulator.Fleet{Models: models, InitialLoads: true}, entries: make(map[string]catalog.Endpoint),
		requests: make(map[string]int), refusing: make(map[string]bool)}
	si.cfg = &catalog.Config{Services: map[string]catalog.Service{"engine": {Name: "engine", Engine: &catalog.Engine{
		Slots: 26, Stride: 7, Models: models, ReportLag: emulator.ReportLag, LoadsPerSecond: 4.5, LoadsAtOnce: 6, FormTime: emulator.FormTime}}}}
	for do := range domains {
		for range each {
			si.add(fmt.Sprintf("domain-%d", do))
		}
	}
	si.takeOver()
	return si
}

// add adds an empty VM to the domain and returns its ID.
func (si *simulation) add(domain string) string {
	si.vmCount++
	id := fmt.Sprintf("vm-%03d", si.vmCount)
	si.fleet.Add(&emulator.VM{ID: id, Domain: domain, Service: "engine", Address: id, Born: catalog.Incarnation(si.now.UnixMilli())})
	return id
}

// takeOver replaces the steward by one with a higher term that knows only the registered
// entries.
func (si *simulation) takeOver() {
	si.term += 7
	si.core = New(si.term, si.now)
	si.core.RequestsAt = func(name string) int { return si.requests[name] }
	si.core.InitialLoads = si.fleet.InitialLoads
	si.core.SetServices(si.cfg)
	for _, ep := range si.entries {
		si.core.Register(ep, si.now)
	}
}

// after runs fn after a delay, unless another steward has taken over by then.
func (si *simulation) after(wait time.Duration, fn func()) {
	core := si.core
	si.queue = append(si.queue, timer{si.now.Add(wait), func() {
		if si.core == core {
			fn()
		}
	}})
}

// step advances the simulation by one step.
func (si *simulation) step() {
	si.now = si.now.Add(simStep)
	si.fleet.Advance(si.now)
	si.fireTimers()
	si.register()
	si.execute(si.core.Step(si.now))
	for _, gr := range si.core.Groups() {
		// Requests go to the groups that the steward reports as serving.
		if !gr.Draining {
			si.fleet.Serve(gr.Leader().ID, si.now)
		}
	}
	if bad := si.fleet.Violations(); len(bad) > 0 {
		si.t.Fatalf("at %v: %v", si.now.Sub(time.Unix(1000, 0)), bad)
	}
}

// run advances the simulation by dur.
func (si *simulation) run(dur time.Duration) {
	for end := si.now.Add(dur); si.now.Before(end); {
		si.step()
	}
}

func (si *simulation) fireTimers() {
	queue := si.queue
	si.queue = nil
	for _, ti := range queue {
		if ti.at.After(si.now) {
			si.queue = append(si.queue, ti)
			continue
		}
		ti.run()
	}
}

// register passes changed entries to the steward.
func (si *simulation) register() {
	if si.storeDown {
		return
	}
	for _, id := range si.fleet.IDs() {
		ep, ok := si.fleet.Entry(id, si.now)
		if had, seen := si.entries[id]; ok && (!seen || had.Incarnation != ep.Incarnation || had.Leaving != ep.Leaving || !sameMember(had.Member, ep.Member) || len(had.Staged) != len(ep.Staged)) {
			si.entries[id] = ep
			si.core.Register(ep, si.now)
		}
	}
}

// kill stops a VM permanently. Its entry is removed entryTTL later.
func (si *simulation) kill(id string) {
	si.fleet.Update(id, func(vm *emulator.VM) { vm.Dead = true })
	si.queue = append(si.queue, timer{si.now.Add(entryTTL), func() {
		delete(si.entries, id)
		si.core.Unregister(id, si.now)
	}})
}

// reportStalls reports groups that are not running requests to the steward, as daemons do.
func (si *simulation) reportStalls() {
	leaders := si.fleet.OpenLeaders(si.now)
	serving := make(map[string]bool)
	for _, ids := range leaders {
		for _, id := range ids {
			serving[id] = true
		}
	}
	for _, gr := range si.core.Groups() {
		if !serving[gr.Leader().ID] {
			si.core.HandleStallReport(gr.Name, gr.Epoch, false, si.now)
		}
	}
}

func (si *simulation) execute(calls []Call) {
	for _, ca := range calls {
		switch ca := ca.(type) {
		case Poll:
			si.poll(ca)
		case Command:
			si.command(ca)
		case Connect:
			if _, ok := si.fleet.Entry(ca.ID, si.now); ok {
				si.after(si.callTime(), func() { si.core.HandleConnected(ca.ID, si.now) })
			}
		}
	}
}

func (si *simulation) poll(po Poll) {
	sentAt := si.now
	si.pollCount++
	re, ok := si.fleet.Report(po.ID, si.now)
	ok = ok && si.rnd.Float64() >= si.lostPollResponses
	took := si.callTime()
	if ok {
		si.after(took, func() { si.core.HandleReport(po.ID, re, sentAt, si.now) })
	}
	if si.refusing[po.ID] && !ok {
		si.after(took, func() { si.core.HandleRefusedPoll(po.ID, "refused", sentAt, si.now) })
		return
	}
	if !ok || took > po.Timeout {
		si.after(po.Timeout, func() { si.core.HandlePollFailure(po.ID, "silent", sentAt, si.now) })
	}
}

// callTime returns how long a call that begins now takes until its response has been read.
// Calls queue for the steward's CPU.
func (si *simulation) callTime() time.Duration {
	if si.cpuFreeAt.Before(si.now) {
		si.cpuFreeAt = si.now
	}
	si.cpuFreeAt = si.cpuFreeAt.Add(si.cpuPerCall)
	took := callTime + si.cpuFreeAt.Sub(si.now)
	if si.rnd.Float64() < si.slowCalls {
		took += time.Duration(si.rnd.Int64N(int64(si.maxDelay)))
	}
	return took
}

func (si *simulation) command(cd Command) {
	if si.rnd.Float64() < si.lateOrders {
		late := 2*time.Second + time.Duration(si.rnd.Int64N(int64(10*time.Second)))
		si.queue = append(si.queue, timer{si.now.Add(late), func() { si.fleet.Order(cd.ID, cd.Order, cd.IfOrders, si.now) }})
		si.after(orderTimeout, func() { si.core.HandleOutcome(cd, Unanswered, si.now) })
		return
	}
	if _, ok := cd.Order.(catalog.Stage); ok && si.rnd.Float64() < si.ignoredStages {
		si.after(si.callTime(), func() { si.core.HandleOutcome(cd, Accepted, si.now) })
		return
	}
	status := si.fleet.Order(cd.ID, cd.Order, cd.IfOrders, si.now)
	if status == 0 || si.rnd.Float64() < si.lostOrderResponses {
		si.after(orderTimeout, func() { si.core.HandleOutcome(cd, Unanswered, si.now) })
		return
	}
	out := Refused
	if status == http.StatusOK || status == http.StatusAccepted {
		out = Accepted
	}
	si.after(si.callTime(), func() { si.core.HandleOutcome(cd, out, si.now) })
}

// serving returns the number of groups of each model that serve.
func (si *simulation) serving() (large, small int) {
	leaders := si.fleet.OpenLeaders(si.now)
	return len(leaders["large"]), len(leaders["small"])
}

// runInitialLoads advances the simulation by dur and then ends the initial loads, as a
// caller's first request does.
func (si *simulation) runInitialLoads(dur time.Duration) {
	si.run(dur)
	si.fleet.InitialLoads = false
	si.core.InitialLoads = false
}
