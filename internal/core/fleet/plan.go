package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"corianderhub.dev/corianderhub/internal/core/intent"
)

// Timing of the planner.
const (
	// LossGrace is how long a VM must fail to answer before its place in a
	// group is given to another.
	LossGrace = 3 * time.Second
	// OrderInterval is the pause before an order is sent to a VM again.
	OrderInterval = 2 * time.Second
	// DrainLimit is how long a draining group may finish its requests.
	DrainLimit = 5 * time.Minute
	// A load is given up, and ordered again, after loadPatience times its usual
	// time and minLoadPatience: the weight store may make engines wait.
	loadPatience    = 3
	minLoadPatience = 10 * time.Second
	// blindShare is the share of VMs that may fail at once before the planner
	// suspects its own connection rather than the VMs.
	blindShare = 0.6
	// turnBits leaves room for re-formed rings within one steward's epoch.
	turnBits = 20
)

// Sighting is what is known of a VM from direct evidence.
type Observation struct {
	Report Report
	// At is when the last answered probe was sent; zero if none was.
	At time.Time
	// FailingSince is when probes began to fail; zero while they succeed.
	FailingSince time.Time
}

// Input is everything a plan depends on.
type Input struct {
	Now        time.Time
	DataCenter string
	Config     *intent.Config
	// VMs is the platform's list for this data center.
	VMs []VM
	// Domains holds the written assignments by name.
	Domains map[string]Domain
	// Seen holds the sightings by VM.
	Observed map[string]Observation
	// Ordered tells when each VM was last sent an order.
	LastOrder map[string]time.Time
	// ServingSince tells since when each group has been whole.
	ServingSince map[string]time.Time
	Epoch        uint64
	// LoadBudget is how many weight loads may start now.
	LoadBudget int
	// DrainAfter is how long a draining group may still be sent requests by a
	// daemon that has not heard of it.
	DrainAfter time.Duration
	// Policy selects the decisions; the zero value is the product's own.
	Policy Policy
}

// Policy selects between the planner's own decisions and the simple baseline
// that they are measured against.
type Policy int

// Policies.
const (
	// Repairing replaces single members in place and keeps free VMs spread.
	Repairing Policy = iota
	// FirstFit dissolves a group that lost a member and forms it again in the
	// first domain with room. It is the baseline.
	FirstFit
)

// Output is the plan: assignments to write, and orders that follow from
// assignments written before.
type Output struct {
	Writes []Domain
	Orders []Order
}

// planner carries one call of Plan.
type planner struct {
	in      Input
	vms     map[string]VM
	work    map[string]*Domain
	changed map[string]bool
	owner   map[string]string
	names   []string
	out     Output
}

// Plan compares the declared groups with the written assignments and with
// what the VMs report. It is level-triggered: called again with the same
// state it returns the same plan, so a lost order or write needs no memory.
func Plan(in Input) Output {
	pl := newPlanner(in)
	for _, name := range pl.names {
		pl.order(in.Domains[name])
	}
	pl.releaseStray()
	if pl.blind() {
		return pl.out
	}
	pl.removeDrained()
	pl.repair()
	pl.retire()
	for _, gr := range pl.specs() {
		pl.adjust(gr)
	}
	pl.emitWrites()
	pl.prepareFree()
	return pl.out
}

func newPlanner(in Input) *planner {
	pl := &planner{
		in:      in,
		vms:     make(map[string]VM, len(in.VMs)),
		work:    make(map[string]*Domain),
		changed: make(map[string]bool),
		owner:   make(map[string]string),
	}
	for _, vm := range in.VMs {
		pl.vms[vm.Name] = vm
		if _, ok := pl.work[vm.Domain]; !ok {
			pl.work[vm.Domain] = &Domain{Name: vm.Domain, DataCenter: in.DataCenter}
		}
	}
	for name, do := range in.Domains {
		next := do.Clone()
		pl.work[name] = &next
		for _, gr := range do.Groups {
			for _, me := range gr.Members {
				pl.owner[me.VM] = gr.ID
			}
		}
	}
	pl.names = slices.Sorted(maps.Keys(pl.work))
	return pl
}

// blind tells whether so many VMs fail at once that this steward's own
// connection is the likelier cause. A cut steward must not dissolve groups
// that serve everybody else.
func (pl *planner) blind() bool {
	failing := 0
	for name := range pl.vms {
		if !pl.in.Observed[name].FailingSince.IsZero() {
			failing++
		}
	}
	return len(pl.vms) > 1 && float64(failing) > blindShare*float64(len(pl.vms))
}

func (pl *planner) report(vm string) (Report, bool) {
	si := pl.in.Observed[vm]
	if si.At.IsZero() || !si.FailingSince.IsZero() {
		return Report{}, false
	}
	return si.Report, true
}

// lost tells whether a member can no longer serve at its incarnation.
func (pl *planner) lost(me Member) bool {
	si, ok := pl.in.Observed[me.VM]
	if !ok {
		return false
	}
	if !si.FailingSince.IsZero() {
		return pl.in.Now.Sub(si.FailingSince) >= LossGrace
	}
	return !si.At.IsZero() && (si.Report.Incarnation != me.Incarnation || pl.leaving(me.VM))
}

func (pl *planner) leaving(vm string) bool {
	return pl.vms[vm].Leaving || pl.in.Observed[vm].Report.Leaving
}

// free tells whether a VM may be assigned: it answers, is in no group by the
// written assignment and by its own word, and stays.
func (pl *planner) free(vm VM) bool {
	re, ok := pl.report(vm.Name)
	_, owned := pl.owner[vm.Name]
	return ok && !owned && re.Group == "" && !pl.leaving(vm.Name)
}

func (pl *planner) freeIn(domain string) []VM {
	var vms []VM
	for _, vm := range pl.in.VMs {
		if vm.Domain == domain && pl.free(vm) {
			vms = append(vms, vm)
		}
	}
	return vms
}

// member makes a free VM a member and takes it out of the free ones.
func (pl *planner) member(vm VM, group string) Member {
	pl.owner[vm.Name] = group
	return Member{VM: vm.Name, Address: vm.Address, Incarnation: pl.in.Observed[vm.Name].Report.Incarnation}
}

// alive returns the members that are not lost.
func (pl *planner) alive(gr Group) []Member {
	var members []Member
	for _, me := range gr.Members {
		if !pl.lost(me) {
			members = append(members, me)
		}
	}
	return members
}

// serving tells whether gr is whole by the sightings.
func (pl *planner) serving(gr Group) bool {
	_, ok := gr.ServingRing(pl.report)
	return ok
}

// settled tells whether gr has been whole for long enough that all daemons
// have heard of it and send to it.
func (pl *planner) settled(gr Group) bool {
	since, ok := pl.in.ServingSince[gr.ID]
	return ok && pl.serving(gr) && pl.in.Now.Sub(since) >= pl.in.DrainAfter
}

// idle tells whether the group has no request left, by its leader's word.
func (pl *planner) idle(gr Group) bool {
	for _, me := range gr.Members {
		if re, ok := pl.report(me.VM); ok && re.Load.Requests > 0 {
			return false
		}
	}
	return true
}

// order sends the members of a written assignment what they lack.
func (pl *planner) order(do Domain) {
	for _, gr := range do.Groups {
		ring, turn, ok := pl.ring(gr)
		if !ok {
			continue
		}
		for _, me := range gr.Members {
			pl.join(gr, me, ring, turn)
		}
	}
}

// ring returns the members that should serve together and the number of that
// choice. A ring that members already follow is kept while all of it lives.
func (pl *planner) ring(gr Group) ([]Member, uint64, bool) {
	var newest Report
	for _, me := range gr.Members {
		re, ok := pl.report(me.VM)
		if ok && re.Group == gr.ID && re.Fence == gr.Fence && re.Generation > newest.Generation {
			newest = re
		}
	}
	if ring, ok := pl.viable(gr, newest.Ring); ok {
		return ring, newest.Generation, true
	}
	alive := pl.alive(gr)
	if len(alive) < gr.Size || !pl.idleLeavers(gr) {
		return nil, 0, false
	}
	return alive[:gr.Size], max(newest.Generation+1, pl.in.Epoch<<turnBits), true
}

func (pl *planner) viable(gr Group, names []string) ([]Member, bool) {
	var ring []Member
	for _, vm := range names {
		me, ok := gr.Member(vm)
		if !ok || pl.lost(me) {
			return nil, false
		}
		ring = append(ring, me)
	}
	return ring, len(ring) == gr.Size
}

// idleLeavers tells whether a ring may be re-formed without cutting requests
// off: a member that is merely leaving still works on what it has.
func (pl *planner) idleLeavers(gr Group) bool {
	for _, me := range gr.Members {
		re, ok := pl.report(me.VM)
		if ok && re.Incarnation == me.Incarnation && pl.leaving(me.VM) {
			return pl.idle(gr)
		}
	}
	return true
}

func (pl *planner) join(gr Group, me Member, ring []Member, turn uint64) {
	re, ok := pl.report(me.VM)
	if !ok || re.Incarnation != me.Incarnation || pl.leaving(me.VM) {
		return
	}
	names := make([]string, len(ring))
	for i, rm := range ring {
		names[i] = rm.VM
	}
	loads := re.Model != gr.Model || re.Version != gr.Version
	follows := re.Group == gr.ID && re.Fence == gr.Fence && re.Generation == turn && slices.Equal(re.Ring, names) &&
		slices.Equal(re.Adapters, gr.Adapters)
	if follows && (!loads || pl.loading(gr, me.VM)) || !pl.due(me.VM) {
		return
	}
	if loads && pl.in.LoadBudget <= 0 {
		return
	}
	if loads {
		pl.in.LoadBudget--
	}
	target := VM{Name: me.VM, Address: me.Address, Domain: pl.vms[me.VM].Domain}
	pl.out.Orders = append(pl.out.Orders, Join{VM: target, Incarnation: me.Incarnation, Group: gr, Ring: ring, Generation: turn, Loads: loads})
}

// loading tells whether a VM that follows its order may still be loading. It
// is not ordered again meanwhile: some engines would start the load anew.
func (pl *planner) loading(gr Group, vm string) bool {
	at, ok := pl.in.LastOrder[vm]
	patience := loadPatience*time.Duration(pl.in.Config.Models[gr.Model].LoadTime) + minLoadPatience
	return ok && pl.in.Now.Sub(at) < patience
}

func (pl *planner) due(vm string) bool {
	at, ok := pl.in.LastOrder[vm]
	return !ok || pl.in.Now.Sub(at) >= OrderInterval
}

// releaseStray cleans VMs that claim a group which the assignment does not
// give them: one that returns as if nothing had happened, or that follows an
// order of a steward that was replaced.
func (pl *planner) releaseStray() {
	for _, vm := range pl.in.VMs {
		re, ok := pl.report(vm.Name)
		if !ok || re.Group == "" || !pl.due(vm.Name) {
			continue
		}
		assigned := pl.owner[vm.Name] == re.Group && pl.sameIncarnation(vm, re)
		if assigned {
			continue
		}
		pl.out.Orders = append(pl.out.Orders, Release{VM: vm, Incarnation: re.Incarnation,
			Fence: pl.in.Domains[vm.Domain].Sequence, Generation: max(re.Generation+1, pl.in.Epoch<<turnBits)})
	}
}

func (pl *planner) sameIncarnation(vm VM, re Report) bool {
	for _, gr := range pl.in.Domains[vm.Domain].Groups {
		if me, ok := gr.Member(vm.Name); ok {
			return me.Incarnation == re.Incarnation
		}
	}
	return false
}

// removeDrained frees the VMs of groups that have finished.
func (pl *planner) removeDrained() {
	pl.removeIf(func(gr Group) bool {
		if gr.DrainingSince.IsZero() {
			return false
		}
		waited := pl.in.Now.Sub(gr.DrainingSince)
		return waited >= DrainLimit || (waited >= pl.in.DrainAfter && pl.idle(gr))
	})
}

func (pl *planner) removeIf(remove func(Group) bool) {
	for _, name := range pl.names {
		do := pl.work[name]
		kept := slices.DeleteFunc(slices.Clone(do.Groups), remove)
		if len(kept) != len(do.Groups) {
			do.Groups = kept
			pl.changed[name] = true
		}
	}
}

// specs returns the declared groups of this data center, the most important first.
func (pl *planner) specs() []intent.Group {
	var specs []intent.Group
	for _, gr := range pl.in.Config.Groups {
		if gr.DataCenter == pl.in.DataCenter {
			specs = append(specs, gr)
		}
	}
	slices.SortFunc(specs, func(a, b intent.Group) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.Name, b.Name))
	})
	return specs
}

// emitWrites numbers the changed assignments and checks them once more: a
// plan that breaks an invariant is dropped, not written.
func (pl *planner) emitWrites() {
	for _, name := range pl.names {
		if !pl.changed[name] {
			continue
		}
		do := pl.work[name]
		do.Epoch = pl.in.Epoch
		do.Sequence++
		for i := range do.Groups {
			if do.Groups[i].Fence == unnumbered {
				do.Groups[i].Fence = do.Sequence
			}
		}
		if do.Check() == nil {
			pl.out.Writes = append(pl.out.Writes, *do)
		}
	}
}

// unnumbered marks a group that gets its fencing number when it is written.
const unnumbered = 0
