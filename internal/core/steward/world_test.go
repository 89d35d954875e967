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

// world plays a steward against emulated VMs on a clock of its own. Calls take
// time, answers get lost and orders are carried out late, as the test asks.
type world struct {
	t     testing.TB
	rnd   *rand.Rand
	now   time.Time
	fleet *emulator.Fleet
	cfg   *catalog.Config
	core  *Core
	term  int64
	queue []pending
	// entries are what the store has registered.
	entries map[string]catalog.Endpoint
	// lostAnswers and lateOrders are shares of the orders.
	lostAnswers, lateOrders float64
	// storeAway keeps entries from being seen.
	storeAway bool
	made      int
	// lostCalls is the share of questions whose answer is lost, slowCalls that of
	// those whose answer takes up to slowest.
	lostCalls, slowCalls float64
	slowest              time.Duration
	// perCall is the time of the steward's own processor that a call takes, and
	// idleAt when it has done all that it was given.
	perCall time.Duration
	idleAt  time.Time
	// asked counts the questions.
	asked int
}

// pending is something that happens later.
type pending struct {
	at  time.Time
	run func()
}

const (
	worldStep = 10 * time.Millisecond
	// callTime is the way to an endpoint and back, orderLimit when an order
	// without an answer is given up.
	callTime   = 3 * time.Millisecond
	orderLimit = 120 * time.Millisecond
	// lapse is when the entry of a VM that died is removed.
	lapse = 3600 * time.Millisecond
)

var worldModels = []catalog.Model{
	{Name: "large", Size: 4, Pace: 1, Share: 0.57, Load: 16 * time.Second, Warm: 1600 * time.Millisecond},
	{Name: "small", Size: 3, Pace: 0.6, Share: 0.43, Load: 12 * time.Second, Warm: 1100 * time.Millisecond},
}

// samePaceModels weigh as their shares say.
var samePaceModels = []catalog.Model{
	{Name: "large", Size: 4, Pace: 1, Share: 0.57, Load: 16 * time.Second, Warm: 1600 * time.Millisecond},
	{Name: "small", Size: 3, Pace: 1, Share: 0.43, Load: 12 * time.Second, Warm: 1100 * time.Millisecond},
}

func newWorld(t testing.TB, seed uint64, domains, each int) *world {
	return newWorldOf(t, seed, domains, each, worldModels)
}

func newWorldOf(t testing.TB, seed uint64, domains, each int, models []catalog.Model) *world {
	wo := &world{t: t, rnd: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), term: 10,
		fleet: &emulator.Fleet{Models: models, InitialLoads: true}, entries: make(map[string]catalog.Endpoint)}
	wo.cfg = &catalog.Config{Services: map[string]catalog.Service{"engine": {Name: "engine", Engine: &catalog.Engine{
		Slots: 26, Stride: 7, Models: models, ReportLag: emulator.ReportLag, LoadsPerSecond: 4.5, LoadsAtOnce: 6, FormTime: emulator.FormTime}}}}
	for do := range domains {
		for range each {
			wo.add(fmt.Sprintf("domain-%d", do))
		}
	}
	wo.takeOver()
	return wo
}

func (wo *world) add(domain string) string {
	wo.made++
	id := fmt.Sprintf("vm-%03d", wo.made)
	wo.fleet.Add(&emulator.VM{ID: id, Domain: domain, Service: "engine", Address: id, Born: catalog.Incarnation(wo.now.UnixMilli())})
	return id
}

// takeOver replaces the steward by one that knows nothing.
func (wo *world) takeOver() {
	wo.term += 7
	wo.core = New(wo.term, wo.now)
	wo.core.InitialLoads = wo.fleet.InitialLoads
	wo.core.SetServices(wo.cfg)
	for _, ep := range wo.entries {
		wo.core.Register(ep, wo.now)
	}
}

// after runs fn at a later time, unless another steward has taken over.
func (wo *world) after(wait time.Duration, fn func()) {
	core := wo.core
	wo.queue = append(wo.queue, pending{wo.now.Add(wait), func() {
		if wo.core == core {
			fn()
		}
	}})
}

// step moves the world on by one step.
func (wo *world) step() {
	wo.now = wo.now.Add(worldStep)
	wo.fleet.Advance(wo.now)
	wo.fire()
	wo.register()
	wo.execute(wo.core.Step(wo.now))
	for _, gr := range wo.core.Groups() {
		// Traffic goes to what the steward says serves.
		if !gr.Leaving {
			wo.fleet.Serve(gr.Head().ID, wo.now)
		}
	}
	if bad := wo.fleet.Violations(); len(bad) > 0 {
		wo.t.Fatalf("at %v: %v", wo.now.Sub(time.Unix(1000, 0)), bad)
	}
}

func (wo *world) run(dur time.Duration) {
	for end := wo.now.Add(dur); wo.now.Before(end); {
		wo.step()
	}
}

func (wo *world) fire() {
	queue := wo.queue
	wo.queue = nil
	for _, pe := range queue {
		if pe.at.After(wo.now) {
			wo.queue = append(wo.queue, pe)
			continue
		}
		pe.run()
	}
}

// register passes on what changed in the entries.
func (wo *world) register() {
	if wo.storeAway {
		return
	}
	for _, id := range wo.fleet.IDs() {
		ep, ok := wo.fleet.Entry(id, wo.now)
		if had, seen := wo.entries[id]; ok && (!seen || had.Incarnation != ep.Incarnation || had.Leaving != ep.Leaving || !sameMember(had.Member, ep.Member) || len(had.Staged) != len(ep.Staged)) {
			wo.entries[id] = ep
			wo.core.Register(ep, wo.now)
		}
	}
}

// kill makes a VM fall silent for good. Its entry lapses later.
func (wo *world) kill(id string) {
	wo.fleet.Update(id, func(vm *emulator.VM) { vm.Dead = true })
	wo.queue = append(wo.queue, pending{wo.now.Add(lapse), func() {
		delete(wo.entries, id)
		wo.core.Unregister(id, wo.now)
	}})
}

// notice tells the steward of a group whose streams stand still, as daemons do.
func (wo *world) notice() {
	heads := wo.fleet.OpenHeads(wo.now)
	serving := make(map[string]bool)
	for _, ids := range heads {
		for _, id := range ids {
			serving[id] = true
		}
	}
	for _, gr := range wo.core.Groups() {
		if !serving[gr.Head().ID] {
			wo.core.HandleStallReport(gr.Name, gr.Epoch, false, wo.now)
		}
	}
}

func (wo *world) execute(calls []Call) {
	for _, ca := range calls {
		switch ca := ca.(type) {
		case Poll:
			wo.ask(ca)
		case Command:
			wo.command(ca)
		}
	}
}

func (wo *world) ask(as Poll) {
	asked := wo.now
	wo.asked++
	re, ok := wo.fleet.Report(as.ID, wo.now)
	ok = ok && wo.rnd.Float64() >= wo.lostCalls
	took := wo.callTime()
	if ok {
		wo.after(took, func() { wo.core.HandleReport(as.ID, re, asked, wo.now) })
	}
	if !ok || took > as.Timeout {
		wo.after(as.Timeout, func() { wo.core.HandlePollFailure(as.ID, "silent", asked, wo.now) })
	}
}

// callTime is how long a call that begins now takes until its answer was read. Calls
// wait for each other at the steward's own processor.
func (wo *world) callTime() time.Duration {
	if wo.idleAt.Before(wo.now) {
		wo.idleAt = wo.now
	}
	wo.idleAt = wo.idleAt.Add(wo.perCall)
	took := callTime + wo.idleAt.Sub(wo.now)
	if wo.rnd.Float64() < wo.slowCalls {
		took += time.Duration(wo.rnd.Int64N(int64(wo.slowest)))
	}
	return took
}

func (wo *world) command(cd Command) {
	if wo.rnd.Float64() < wo.lateOrders {
		late := 2*time.Second + time.Duration(wo.rnd.Int64N(int64(10*time.Second)))
		wo.queue = append(wo.queue, pending{wo.now.Add(late), func() { wo.fleet.Order(cd.ID, cd.Order, cd.IfOrders, wo.now) }})
		wo.after(orderLimit, func() { wo.core.HandleOutcome(cd, Unanswered, wo.now) })
		return
	}
	status := wo.fleet.Order(cd.ID, cd.Order, cd.IfOrders, wo.now)
	if status == 0 || wo.rnd.Float64() < wo.lostAnswers {
		wo.after(orderLimit, func() { wo.core.HandleOutcome(cd, Unanswered, wo.now) })
		return
	}
	out := Refused
	if status == http.StatusOK || status == http.StatusAccepted {
		out = Accepted
	}
	wo.after(wo.callTime(), func() { wo.core.HandleOutcome(cd, out, wo.now) })
}

// serving counts the groups that serve, by model.
func (wo *world) serving() (large, small int) {
	heads := wo.fleet.OpenHeads(wo.now)
	return len(heads["large"]), len(heads["small"])
}

// settle ends the free loads, as the first request of a caller does.
func (wo *world) settle(dur time.Duration) {
	wo.run(dur)
	wo.fleet.InitialLoads = false
	wo.core.InitialLoads = false
}
