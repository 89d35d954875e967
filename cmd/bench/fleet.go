package main

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"corianderhub.dev/corianderhub/internal/core/fleet"
	"corianderhub.dev/corianderhub/internal/core/intent"
)

// Failure rates, timing and limits of the replay. The rates are those that users
// report: of 12,000 VMs, 62 fail and 1,100 are restarted or replaced per day, and one
// rack fails per week.
const (
	failuresPerVMDay     = 62.0 / 12000
	restartsPerVMDay     = 1100.0 / 12000
	rackFailuresPerVMDay = 1.0 / 7 / 12000
	vmsPerRack           = 16
	restartOutage        = 2 * time.Minute
	failureOutage        = 6 * time.Hour
	rackOutage           = time.Hour
	loadTime             = 40 * time.Second
	loadsPerMinute       = 60
	planInterval         = time.Second
	probeDelay           = 500 * time.Millisecond
	day                  = 24 * time.Hour
)

// fleetSize is the size of the data centre in which failures are replayed, with the
// weights of its policy.
type fleetSize struct {
	name                           string
	domains, vms                   int
	vmsPerGroup, replicas          int
	days                           int
	downtimeWeight, strandedWeight float64
}

// benchFleet replays the same trace of failures under the planner's default policy,
// Repairing, and under the baseline FirstFit, and prints the downtime, stranded
// accelerators, planning time and weight loads of each.
func benchFleet(ctx context.Context) error {
	for _, fs := range []fleetSize{
		{"today", 3, 16, 4, 10, 14, 4, 1},
		{"letter", 16, 64, 16, 62, 1, 4, 1},
	} {
		for _, po := range []struct {
			name   string
			policy fleet.Policy
		}{{"repairing", fleet.Repairing}, {"first-fit", fleet.FirstFit}} {
			re := newReplay(fs, po.policy)
			began := time.Now()
			re.run(ctx)
			if ctx.Err() != nil {
				return ctx.Err()
			}
			name := fs.name + "." + po.name
			printRow("fleet.downtime "+name, re.downtime.Seconds()/float64(fs.days), "group-s/day")
			printRow("fleet.stranded "+name, re.strandedTime.Hours()/float64(fs.days), "accelerator-h/day")
			printRow("fleet.plan "+name, time.Since(began).Seconds()*1000/float64(re.plans), "ms/plan")
			printRow("fleet.loads "+name, float64(re.loads)/float64(fs.days), "loads/day")
		}
	}
	return nil
}

// machine is a simulated VM.
type machine struct {
	vm     fleet.VM
	report fleet.Report
	// downUntil is when the VM answers probes again. It is zero while the VM is up.
	downUntil   time.Time
	downSince   time.Time
	incarnation int
	// stateSeq counts orders, boots and failures. A load that began under an earlier
	// number has no effect.
	stateSeq int
}

// replay executes plans against simulated VMs on a simulated clock.
type replay struct {
	size          fleetSize
	policy        fleet.Policy
	rnd           *rand.Rand
	now           time.Time
	end           time.Time
	cfg           *intent.Config
	names         []string
	vms           map[string]*machine
	domains       map[string]fleet.Domain
	lastOrder     map[string]time.Time
	events        eventHeap
	budget        float64
	budgetUpdated time.Time
	servingSince  map[string]time.Time

	downtime     time.Duration
	strandedTime time.Duration
	loads        int
	plans        int
	countFrom    time.Time
}

// event is a function to run at a simulated time.
type event struct {
	at  time.Time
	run func()
}

// eventHeap orders events by time, for container/heap.
type eventHeap []event

func (eh eventHeap) Len() int           { return len(eh) }
func (eh eventHeap) Less(i, j int) bool { return eh[i].at.Before(eh[j].at) }
func (eh eventHeap) Swap(i, j int)      { eh[i], eh[j] = eh[j], eh[i] }
func (eh *eventHeap) Push(x any)        { *eh = append(*eh, x.(event)) }
func (eh *eventHeap) Pop() any {
	last := (*eh)[len(*eh)-1]
	*eh = (*eh)[:len(*eh)-1]
	return last
}

// newReplay returns a replay with all VMs running, no groups formed and the trace of
// failures scheduled. The random seed is fixed.
func newReplay(fs fleetSize, policy fleet.Policy) *replay {
	begin := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	re := &replay{size: fs, policy: policy, rnd: rand.New(rand.NewPCG(7, 7)), now: begin, end: begin.Add(time.Duration(fs.days) * day),
		vms: make(map[string]*machine), domains: make(map[string]fleet.Domain), lastOrder: make(map[string]time.Time),
		servingSince: make(map[string]time.Time), budgetUpdated: begin, countFrom: begin.Add(time.Hour)}
	mo := intent.Model{Name: "m", Version: "1", VMs: fs.vmsPerGroup, LoadTime: intent.Duration(loadTime), ChecksFencing: true, CapacityTokens: 1}
	gr := intent.Group{Name: "g", Model: "m", DataCenter: "dc", Replicas: fs.replicas, Role: intent.RoleMixed}
	po := intent.Policy{DowntimeWeight: fs.downtimeWeight, StrandedWeight: fs.strandedWeight, LoadsPerMinute: loadsPerMinute}
	re.cfg = intent.New().With(intent.Change{Puts: []intent.Object{mo, gr, po}}, 1)
	for d := range fs.domains {
		for v := range fs.vms {
			ma := &machine{vm: fleet.VM{Name: fmt.Sprintf("d%02d-%02d", d, v), Domain: fmt.Sprintf("d%02d", d)}}
			re.names = append(re.names, ma.vm.Name)
			re.vms[ma.vm.Name] = ma
			ma.boot()
		}
	}
	re.generateTrace()
	return re
}

// boot starts a new incarnation of the VM, which holds no weights and is in no group.
func (ma *machine) boot() {
	ma.incarnation++
	ma.stateSeq++
	ma.downUntil = time.Time{}
	ma.report = fleet.Report{VM: ma.vm.Name, Incarnation: fmt.Sprint(ma.incarnation)}
}

// schedule runs a function when the simulated clock reaches a time.
func (re *replay) schedule(at time.Time, run func()) { heap.Push(&re.events, event{at, run}) }

// generateTrace draws all failures in advance, so that every policy is measured with
// the same ones. The first hour, in which the groups form, has none.
func (re *replay) generateTrace() {
	begin := re.now.Add(time.Hour)
	num := float64(len(re.names)) * float64(re.size.days)
	re.generateFailures(begin, int(num*failuresPerVMDay+0.5), 1, failureOutage)
	re.generateFailures(begin, int(num*restartsPerVMDay+0.5), 1, restartOutage)
	re.generateFailures(begin, max(1, int(num*rackFailuresPerVMDay*float64(vmsPerRack)+0.5)), vmsPerRack, rackOutage)
}

// generateFailures schedules num failures at random times after begin. Each takes
// down vms adjacent VMs for the duration of the outage.
func (re *replay) generateFailures(begin time.Time, num, vms int, outage time.Duration) {
	for range num {
		at := begin.Add(time.Duration(re.rnd.Int64N(int64(re.end.Sub(begin)))))
		first := re.rnd.IntN(len(re.names) / vms)
		re.schedule(at, func() {
			for i := range vms {
				re.failVM(re.vms[re.names[first*vms+i]], outage)
			}
		})
	}
}

// failVM takes the VM down for a duration. An outage that ends later stays as it is.
func (re *replay) failVM(ma *machine, outage time.Duration) {
	until := re.now.Add(outage)
	if ma.downUntil.After(until) {
		return
	}
	if ma.downUntil.IsZero() {
		ma.downSince = re.now
	}
	ma.downUntil = until
	ma.stateSeq++
	re.schedule(until, func() {
		if ma.downUntil.Equal(until) {
			ma.boot()
		}
	})
}

// run replays the trace. Once a plan has nothing left to do, nothing changes until the
// next event, so the clock advances to it in one step.
func (re *replay) run(ctx context.Context) {
	for re.now.Before(re.end) && ctx.Err() == nil {
		for len(re.events) > 0 && !re.events[0].at.After(re.now) {
			heap.Pop(&re.events).(event).run()
		}
		busy := re.plan()
		next := re.now.Add(planInterval)
		if !busy && len(re.events) > 0 && re.events[0].at.After(next) {
			next = re.events[0].at
		}
		re.advanceTo(next)
	}
}

// input returns the planner's input for the current state.
func (re *replay) input() fleet.Input {
	in := fleet.Input{Now: re.now, DataCenter: "dc", Config: re.cfg, Domains: re.domains, Observed: make(map[string]fleet.Observation, len(re.vms)),
		LastOrder: re.lastOrder, ServingSince: re.servingSince, Epoch: 1, LoadBudget: int(re.budget), DrainAfter: 3 * time.Second, Policy: re.policy}
	for _, name := range re.names {
		ma := re.vms[name]
		in.VMs = append(in.VMs, ma.vm)
		ob := fleet.Observation{Report: ma.report, At: re.now}
		if !ma.downUntil.IsZero() {
			ob.FailingSince = ma.downSince.Add(probeDelay)
		}
		in.Observed[name] = ob
	}
	return in
}

// plan computes and executes one plan, and reports whether the next one may differ
// before the next event.
func (re *replay) plan() bool {
	re.budget = min(loadsPerMinute, re.budget+re.now.Sub(re.budgetUpdated).Minutes()*loadsPerMinute)
	re.budgetUpdated = re.now
	re.plans++
	in := re.input()
	out := fleet.Plan(in)
	for _, dom := range out.Writes {
		re.domains[dom.Name] = dom
	}
	for _, or := range out.Orders {
		re.execute(or)
	}
	return len(out.Writes)+len(out.Orders) > 0 || re.unsettled(in)
}

// unsettled reports whether a group is down, or whether a VM failed so recently that
// the planner may not have reacted yet.
func (re *replay) unsettled(in fleet.Input) bool {
	st := fleet.Count(in)
	if st.Down["g"] > 0 {
		return true
	}
	for _, ma := range re.vms {
		if !ma.downUntil.IsZero() && re.now.Sub(ma.downSince) < fleet.LossGrace+2*planInterval {
			return true
		}
	}
	return false
}

// execute carries out an order at its VM. A VM that is down ignores it.
func (re *replay) execute(or fleet.Order) {
	ma := re.vms[or.Target().Name]
	if !ma.downUntil.IsZero() {
		return
	}
	re.lastOrder[ma.vm.Name] = re.now
	ma.stateSeq++
	switch or := or.(type) {
	case fleet.Join:
		re.join(ma, or)
	case fleet.Prepare:
		ma.report.Generation = or.Generation
		re.load(ma, or.Model, or.Version, false)
	case fleet.Release:
		ma.report.Group, ma.report.Ring, ma.report.Ready, ma.report.Generation = "", nil, false, or.Generation
	}
}

// join puts the VM into a group. It is ready at once if it holds the group's weights,
// and after a load otherwise.
func (re *replay) join(ma *machine, jo fleet.Join) {
	rp := &ma.report
	rp.Group, rp.Fence, rp.Generation, rp.Ring = jo.Group.ID, jo.Group.Fence, jo.Generation, nil
	for _, me := range jo.Ring {
		rp.Ring = append(rp.Ring, me.VM)
	}
	if rp.Model == jo.Group.Model && rp.Version == jo.Group.Version {
		rp.Ready = true
		return
	}
	rp.Ready = false
	re.load(ma, jo.Group.Model, jo.Group.Version, true)
}

// load loads weights, which takes loadTime of the simulated clock and one unit of the
// load budget.
func (re *replay) load(ma *machine, model, version string, ready bool) {
	re.budget--
	re.loads++
	seq := ma.stateSeq
	re.schedule(re.now.Add(loadTime), func() {
		if ma.stateSeq == seq {
			ma.report.Model, ma.report.Version, ma.report.Ready = model, version, ready
		}
	})
}

// advanceTo moves the clock to next and adds the downtime and the stranded accelerators
// of the interval.
func (re *replay) advanceTo(next time.Time) {
	if next.After(re.end) {
		next = re.end
	}
	st := fleet.Count(re.input())
	for _, group := range st.Whole {
		if _, ok := re.servingSince[group]; !ok {
			re.servingSince[group] = re.now
		}
	}
	elapsed := next.Sub(re.now)
	// The first hour, in which the groups form, is not counted.
	if !re.now.Before(re.countFrom) {
		re.downtime += elapsed * time.Duration(st.Down["g"])
		re.strandedTime += elapsed * time.Duration(st.Stranded)
	}
	re.now = next
}
