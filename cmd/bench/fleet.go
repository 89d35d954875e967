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

// The rates of failure are the users': of 12,000 VMs 62 fail and 1,100 are
// restarted or replaced in a day, and a rack goes every week in the whole.
const (
	failsPerVMDay    = 62.0 / 12000
	restartsPerVMDay = 1100.0 / 12000
	racksPerVMDay    = 1.0 / 7 / 12000
	rackVMs          = 16
	restartTime      = 2 * time.Minute
	failTime         = 6 * time.Hour
	rackTime         = time.Hour
	loadTime         = 40 * time.Second
	loadsPerMinute   = 60
	planPause        = time.Second
	probeLag         = 500 * time.Millisecond
	day              = 24 * time.Hour
)

// fleetSize is one data center to replay failures in.
type fleetSize struct {
	name                     string
	domains, vms             int
	vmsPerGroup, replicas    int
	days                     int
	downWeight, strandWeight float64
}

// benchFleet replays the same trace of failures under the planner's own
// decisions and under the baseline, and counts what the users measure.
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
			row("fleet.downtime "+name, re.down.Seconds()/float64(fs.days), "group-s/day")
			row("fleet.stranded "+name, re.stranded.Hours()/float64(fs.days), "accelerator-h/day")
			row("fleet.plan "+name, time.Since(began).Seconds()*1000/float64(re.plans), "ms/plan")
			row("fleet.loads "+name, float64(re.loads)/float64(fs.days), "loads/day")
		}
	}
	return nil
}

// machine is a VM in the replay.
type machine struct {
	vm     fleet.VM
	report fleet.Report
	// downUntil is when the VM answers again; zero while it does.
	downUntil time.Time
	downSince time.Time
	life      int
	order     int
}

// replay carries out plans on a clock of its own.
type replay struct {
	size   fleetSize
	policy fleet.Policy
	rnd    *rand.Rand
	now    time.Time
	end    time.Time
	cfg    *intent.Config
	names  []string
	vms    map[string]*machine
	doms   map[string]fleet.Domain
	order  map[string]time.Time
	events eventHeap
	budget float64
	filled time.Time
	whole  map[string]time.Time

	down     time.Duration
	stranded time.Duration
	loads    int
	plans    int
	countAt  time.Time
}

type event struct {
	at  time.Time
	run func()
}

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

func newReplay(fs fleetSize, policy fleet.Policy) *replay {
	begin := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	re := &replay{size: fs, policy: policy, rnd: rand.New(rand.NewPCG(7, 7)), now: begin, end: begin.Add(time.Duration(fs.days) * day),
		vms: make(map[string]*machine), doms: make(map[string]fleet.Domain), order: make(map[string]time.Time),
		whole: make(map[string]time.Time), filled: begin, countAt: begin.Add(time.Hour)}
	mo := intent.Model{Name: "m", Version: "1", VMs: fs.vmsPerGroup, LoadTime: intent.Duration(loadTime), ChecksFencing: true, CapacityTokens: 1}
	gr := intent.Group{Name: "g", Model: "m", DataCenter: "dc", Replicas: fs.replicas, Role: intent.RoleMixed}
	po := intent.Policy{DowntimeWeight: fs.downWeight, StrandedWeight: fs.strandWeight, LoadsPerMinute: loadsPerMinute}
	re.cfg = intent.New().With(intent.Change{Puts: []intent.Object{mo, gr, po}}, 1)
	for d := range fs.domains {
		for v := range fs.vms {
			ma := &machine{vm: fleet.VM{Name: fmt.Sprintf("d%02d-%02d", d, v), Domain: fmt.Sprintf("d%02d", d)}}
			re.names = append(re.names, ma.vm.Name)
			re.vms[ma.vm.Name] = ma
			ma.boot()
		}
	}
	re.drawTrace()
	return re
}

func (ma *machine) boot() {
	ma.life++
	ma.order++
	ma.downUntil = time.Time{}
	ma.report = fleet.Report{VM: ma.vm.Name, Incarnation: fmt.Sprint(ma.life)}
}

func (re *replay) at(at time.Time, run func()) { heap.Push(&re.events, event{at, run}) }

// drawTrace draws all failures ahead, so that every policy meets the same.
func (re *replay) drawTrace() {
	begin := re.now.Add(time.Hour)
	num := float64(len(re.names)) * float64(re.size.days)
	re.drawKind(begin, int(num*failsPerVMDay+0.5), 1, failTime)
	re.drawKind(begin, int(num*restartsPerVMDay+0.5), 1, restartTime)
	re.drawKind(begin, max(1, int(num*racksPerVMDay*float64(rackVMs)+0.5)), rackVMs, rackTime)
}

func (re *replay) drawKind(begin time.Time, num, vms int, away time.Duration) {
	for range num {
		at := begin.Add(time.Duration(re.rnd.Int64N(int64(re.end.Sub(begin)))))
		first := re.rnd.IntN(len(re.names) / vms)
		re.at(at, func() {
			for i := range vms {
				re.lose(re.vms[re.names[first*vms+i]], away)
			}
		})
	}
}

func (re *replay) lose(ma *machine, away time.Duration) {
	until := re.now.Add(away)
	if ma.downUntil.After(until) {
		return
	}
	if ma.downUntil.IsZero() {
		ma.downSince = re.now
	}
	ma.downUntil = until
	ma.order++
	re.at(until, func() {
		if ma.downUntil.Equal(until) {
			ma.boot()
		}
	})
}

// run replays the trace. Between events nothing changes once a plan has
// nothing left to do, so that time is counted and passed over.
func (re *replay) run(ctx context.Context) {
	for re.now.Before(re.end) && ctx.Err() == nil {
		for len(re.events) > 0 && !re.events[0].at.After(re.now) {
			heap.Pop(&re.events).(event).run()
		}
		busy := re.plan()
		next := re.now.Add(planPause)
		if !busy && len(re.events) > 0 && re.events[0].at.After(next) {
			next = re.events[0].at
		}
		re.pass(next)
	}
}

func (re *replay) input() fleet.Input {
	in := fleet.Input{Now: re.now, DataCenter: "dc", Config: re.cfg, Domains: re.doms, Observed: make(map[string]fleet.Observation, len(re.vms)),
		LastOrder: re.order, ServingSince: re.whole, Epoch: 1, LoadBudget: int(re.budget), DrainAfter: 3 * time.Second, Policy: re.policy}
	for _, name := range re.names {
		ma := re.vms[name]
		in.VMs = append(in.VMs, ma.vm)
		si := fleet.Observation{Report: ma.report, At: re.now}
		if !ma.downUntil.IsZero() {
			si.FailingSince = ma.downSince.Add(probeLag)
		}
		in.Observed[name] = si
	}
	return in
}

// plan carries out one plan and tells whether more is to come soon.
func (re *replay) plan() bool {
	re.budget = min(loadsPerMinute, re.budget+re.now.Sub(re.filled).Minutes()*loadsPerMinute)
	re.filled = re.now
	re.plans++
	in := re.input()
	out := fleet.Plan(in)
	for _, dom := range out.Writes {
		re.doms[dom.Name] = dom
	}
	for _, or := range out.Orders {
		re.obey(or)
	}
	return len(out.Writes)+len(out.Orders) > 0 || re.unsettled(in)
}

// unsettled tells whether a group is not whole or a loss not yet acted upon.
func (re *replay) unsettled(in fleet.Input) bool {
	ac := fleet.Count(in)
	if ac.Down["g"] > 0 {
		return true
	}
	for _, ma := range re.vms {
		if !ma.downUntil.IsZero() && re.now.Sub(ma.downSince) < fleet.LossGrace+2*planPause {
			return true
		}
	}
	return false
}

func (re *replay) obey(or fleet.Order) {
	ma := re.vms[or.Target().Name]
	if !ma.downUntil.IsZero() {
		return
	}
	re.order[ma.vm.Name] = re.now
	ma.order++
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

func (re *replay) load(ma *machine, model, version string, ready bool) {
	re.budget--
	re.loads++
	order := ma.order
	re.at(re.now.Add(loadTime), func() {
		if ma.order == order {
			ma.report.Model, ma.report.Version, ma.report.Ready = model, version, ready
		}
	})
}

// pass counts downtime and stranded accelerators until next.
func (re *replay) pass(next time.Time) {
	if next.After(re.end) {
		next = re.end
	}
	ac := fleet.Count(re.input())
	for _, group := range ac.Whole {
		if _, ok := re.whole[group]; !ok {
			re.whole[group] = re.now
		}
	}
	gone := next.Sub(re.now)
	// The first hour only forms the groups.
	if !re.now.Before(re.countAt) {
		re.down += gone * time.Duration(ac.Down["g"])
		re.stranded += gone * time.Duration(ac.Stranded)
	}
	re.now = next
}
