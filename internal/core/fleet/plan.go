package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"corianderhub.dev/corianderhub/internal/core/intent"
)

// Timing and thresholds of the planner.
const (
	// LossGrace is how long a VM must fail to answer before it is replaced in
	// its group.
	LossGrace = 3 * time.Second
	// OrderInterval is the minimum time between two orders to the same VM.
	OrderInterval = 2 * time.Second
	// DrainLimit is how long a draining group may take to finish its requests.
	DrainLimit = 5 * time.Minute
	// A weight load times out, and is ordered again, after loadTimeoutFactor
	// times the model's load time plus loadTimeoutMargin, because the weight
	// store may queue engines.
	loadTimeoutFactor = 3
	loadTimeoutMargin = 10 * time.Second
	// isolationShare is the share of VMs above which simultaneous failures are
	// attributed to the steward's own connection rather than to the VMs.
	isolationShare = 0.6
	// generationBits is the number of low bits of a ring generation that count
	// re-formed rings within one steward's epoch. The epoch is in the bits
	// above.
	generationBits = 20
)

// Observation is the state of a VM as observed by direct probes.
type Observation struct {
	Report Report
	// At is the time at which the last answered probe was sent. It is zero if
	// no probe was answered.
	At time.Time
	// FailingSince is the time at which probes began to fail. It is zero while
	// they succeed.
	FailingSince time.Time
}

// Input holds everything that a plan depends on.
type Input struct {
	Now        time.Time
	DataCenter string
	Config     *intent.Config
	// VMs is the platform's list for this data centre.
	VMs []VM
	// Domains holds the written assignments by domain name.
	Domains map[string]Domain
	// Observed holds the latest observation of each VM, by VM name.
	Observed map[string]Observation
	// LastOrder holds the time of the last order to each VM, by VM name.
	LastOrder map[string]time.Time
	// ServingSince holds the time since which each group has been complete, by
	// group ID.
	ServingSince map[string]time.Time
	// Epoch is the epoch of the steward that plans.
	Epoch uint64
	// LoadBudget is the number of weight loads that may start now.
	LoadBudget int
	// DrainAfter is how long a daemon that has not yet seen that a group drains
	// may still send it requests.
	DrainAfter time.Duration
	// Policy selects the placement and repair policy. The zero value is the one
	// used in production.
	Policy Policy
}

// Policy selects between the planner's production policy and the baseline that
// it is measured against.
type Policy int

// Placement and repair policies.
const (
	// Repairing replaces lost members in place and keeps free VMs spread over
	// the domains.
	Repairing Policy = iota
	// FirstFit is the baseline. It dissolves a group that lost a member and
	// forms it again in the first domain with room.
	FirstFit
)

// Output is the plan: the assignments to write, and the orders that follow from
// assignments written earlier.
type Output struct {
	Writes []Domain
	Orders []Order
}

// planner holds the state of one call of Plan.
type planner struct {
	in Input
	// vms holds the platform's list by VM name.
	vms map[string]VM
	// work holds the working copies of the assignments by domain name.
	work map[string]*Domain
	// changed holds the names of the domains to write.
	changed map[string]bool
	// owner maps VM names to the IDs of their groups.
	owner map[string]string
	// names lists the domains in sorted order.
	names []string
	out   Output
}

// Plan compares the declared groups with the written assignments and with the
// reports of the VMs. It is level-triggered: for the same state it returns the
// same plan, so lost orders and failed writes are issued again without being
// remembered.
func Plan(in Input) Output {
	pl := newPlanner(in)
	for _, name := range pl.names {
		pl.order(in.Domains[name])
	}
	pl.releaseStray()
	if pl.isolated() {
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

// isolated reports whether so many VMs fail at once that this steward's own
// connection is the likelier cause. A steward that is cut off must not dissolve
// groups that still serve others.
func (pl *planner) isolated() bool {
	failing := 0
	for name := range pl.vms {
		if !pl.in.Observed[name].FailingSince.IsZero() {
			failing++
		}
	}
	return len(pl.vms) > 1 && float64(failing) > isolationShare*float64(len(pl.vms))
}

// report returns the latest report of a VM that answers probes.
func (pl *planner) report(vm string) (Report, bool) {
	si := pl.in.Observed[vm]
	if si.At.IsZero() || !si.FailingSince.IsZero() {
		return Report{}, false
	}
	return si.Report, true
}

// lost reports whether a member can no longer serve at its assigned
// incarnation.
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

// free reports whether a VM may be assigned: it answers, it is in no group
// according to both the written assignment and its own report, and it is not
// leaving.
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

// assignMember makes a free VM a member of a group and marks it as owned.
func (pl *planner) assignMember(vm VM, group string) Member {
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

// serving reports whether gr is complete according to the latest observations.
func (pl *planner) serving(gr Group) bool {
	_, ok := gr.ServingRing(pl.report)
	return ok
}

// settled reports whether gr has been complete for so long that all daemons
// have learned of it and send it requests.
func (pl *planner) settled(gr Group) bool {
	since, ok := pl.in.ServingSince[gr.ID]
	return ok && pl.serving(gr) && pl.in.Now.Sub(since) >= pl.in.DrainAfter
}

// idle reports whether the group has no unfinished requests: each member that is not lost answers
// probes and reports none. A member that does not answer may have some.
func (pl *planner) idle(gr Group) bool {
	for _, me := range gr.Members {
		re, answers := pl.report(me.VM)
		if !answers && !pl.lost(me) || re.Load.Requests > 0 {
			return false
		}
	}
	return true
}

// order emits the join orders that the members of a written assignment still
// need.
func (pl *planner) order(do Domain) {
	for _, gr := range do.Groups {
		ring, generation, ok := pl.ring(gr)
		if !ok {
			continue
		}
		for _, me := range gr.Members {
			pl.join(gr, me, ring, generation)
		}
	}
}

// releaseStray releases VMs that report a group which the assignment does not
// give them: a VM that returns after its place was given to another, or one
// that follows an order of a replaced steward.
func (pl *planner) releaseStray() {
	for _, vm := range pl.in.VMs {
		re, ok := pl.report(vm.Name)
		if !ok || re.Group == "" || !pl.orderDue(vm.Name) {
			continue
		}
		assigned := pl.owner[vm.Name] == re.Group && pl.sameIncarnation(vm, re)
		if assigned {
			continue
		}
		pl.out.Orders = append(pl.out.Orders, Release{VM: vm, Incarnation: re.Incarnation,
			Fence: pl.in.Domains[vm.Domain].Sequence, Generation: max(re.Generation+1, pl.in.Epoch<<generationBits)})
	}
}

// sameIncarnation reports whether re is from the incarnation of vm that the
// written assignment names.
func (pl *planner) sameIncarnation(vm VM, re Report) bool {
	for _, gr := range pl.in.Domains[vm.Domain].Groups {
		if me, ok := gr.Member(vm.Name); ok {
			return me.Incarnation == re.Incarnation
		}
	}
	return false
}

// removeDrained removes groups that have finished draining, or that have
// drained for DrainLimit. Their VMs become free.
func (pl *planner) removeDrained() {
	pl.removeIf(func(gr Group) bool {
		if gr.DrainingSince.IsZero() {
			return false
		}
		waited := pl.in.Now.Sub(gr.DrainingSince)
		return waited >= DrainLimit || (waited >= pl.in.DrainAfter && pl.idle(gr))
	})
}

// removeIf removes groups from the working copies and marks their domains as
// changed.
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

// specs returns the declared groups of this data centre by descending priority.
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

// emitWrites gives the changed assignments their sequence numbers and fencing
// tokens and adds them to the plan. An assignment that breaks an invariant is
// dropped.
func (pl *planner) emitWrites() {
	for _, name := range pl.names {
		if !pl.changed[name] {
			continue
		}
		do := pl.work[name]
		do.Epoch = pl.in.Epoch
		do.Sequence++
		for i := range do.Groups {
			if do.Groups[i].Fence == fenceUnassigned {
				do.Groups[i].Fence = do.Sequence
			}
		}
		if do.Check() == nil {
			pl.out.Writes = append(pl.out.Writes, *do)
		}
	}
}

// fenceUnassigned marks a group that gets its fencing token when it is written.
const fenceUnassigned = 0
