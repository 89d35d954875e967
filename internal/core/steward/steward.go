// Package steward decides which VMs form which groups, and what must be
// ordered for it. It does no input or output: facts come in by methods, and
// Step returns the calls to make.
//
// What the members report is the record of which groups exist, so a new
// steward needs nothing from its predecessor. Safety rests on the members: an
// order names the number of orders that the member must have accepted before,
// so that one decided on old knowledge, or carried out late, is refused; and a
// VM leaves one group, acknowledged by itself, before it is told to join
// another.
package steward

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/internal/core/rtt"
)

const (
	// askInterval is the time until a question is put again whose answer was
	// out of date; members that load are asked less often.
	askInterval     = 60 * time.Millisecond
	askLoadInterval = 700 * time.Millisecond
	// rejoinTime is how long a member takes that still has the weights in
	// memory, as the engines state it.
	rejoinTime = 200 * time.Millisecond
	// askDownInterval is the time between questions to a VM that is down.
	askDownInterval = time.Second
	// joinPatience is how long the members of a new group may take to accept
	// their orders before the group is given up.
	joinPatience = 2 * time.Second
	// appearPatience is how long a new steward waits for members that have not
	// registered. Entries lost in an outage of the store are back within 2 s.
	appearPatience = 2300 * time.Millisecond
	// retirePatience bounds the wait for a leaving group's requests. Streams
	// last 2 s on average and some 5 s at most.
	retirePatience = 5 * time.Second
	// retireAsk is the time between questions to a head that finishes its work.
	retireAsk = 300 * time.Millisecond
	// sparePrefix and groupPrefix tell groups that serve from a VM that only
	// holds a model in memory. A later steward knows them by these names.
	sparePrefix = "spare-"
	groupPrefix = "group-"
	// suspectPause is the time for which daemons that find the same group
	// standing still are answered by one round of questions. Two questions that
	// time out take 240 ms.
	suspectPause = 300 * time.Millisecond
	// maxUnproven bounds the questions in a row that prove nothing, so that a
	// machine that is always late notices losses all the same: after some 0.7 s.
	maxUnproven = 12
	// maxFailures is how many questions in a row a VM leaves unanswered before
	// it is taken as silent. A packet of each may be lost.
	maxFailures = 4
	// settleLimit bounds the wait of a new steward for all VMs to report before it
	// forms groups.
	settleLimit = 700 * time.Millisecond
)

// Call is something to be asked of or told to an endpoint. It is an Ask or a
// Command.
type Call interface{ isCall() }

// Ask is a question for an endpoint's report.
type Poll struct {
	ID, Address string
	// Urgent questions get a short time-out: they decide whether a member of
	// a serving group is down.
	Urgent bool
	// Limit is how long the answer is waited for, counted from when the question is
	// sent. It then counts as missing, and as an answer all the same when it comes.
	Timeout time.Duration
}

// Command is an order for an endpoint. It must be refused unless the endpoint
// has accepted exactly IfOrders orders before.
type Command struct {
	ID, Address string
	// Incarnation is the life of the endpoint that the order was decided for.
	Incarnation catalog.Incarnation
	Order       catalog.Order
	IfOrders    int64
	// free is set if it was decided on while loads were free.
	free bool
}

func (Poll) isCall()    {}
func (Command) isCall() {}

// Outcome is what came of a command.
type Outcome int

// The outcomes of a command.
const (
	// Accepted orders have begun or their effect was there already.
	Accepted Outcome = iota
	// Refused orders did not fit the endpoint's state.
	Refused
	// Unanswered orders may have been accepted, or may be carried out later.
	Unanswered
)

// vm is what the steward knows of an endpoint's VM.
type vm struct {
	ep catalog.Endpoint
	// since is when this steward learnt of the VM's present life.
	since time.Time
	// known is set once the VM itself has reported.
	known bool
	// registered is false while the endpoint's entry is missing.
	registered bool
	// asking is set while a question is under way.
	asking bool
	// down is set while the VM is silent: it has left maxFailures questions in a row
	// unanswered, the first of which was put at silentSince.
	down        bool
	failures    int
	silentSince time.Time
	// unproven counts questions in a row that this machine's own delay spoilt.
	unproven int
	// heard is when the question was put that the VM last answered.
	heard time.Time
	busy  bool
	// unsure is set after an order that was refused or not answered, until the
	// VM has reported: what is known of it may be wrong. refused is set with it if
	// the order was refused.
	unsure, refused bool
	// recalled is the key of the group that an earlier steward knew the VM in.
	recalled groupKey
	// wanted is the model that the VM is to load next; empty when it may be used
	// as it is.
	wanted string
	// loading is set while the VM's last order to join makes it fetch weights.
	loading bool
	// ordered is when the last order was answered.
	ordered time.Time
	// last is the model of the last group, whose weights are in memory still.
	last    string
	running int
	// askAt is when to ask again; zero when there is no need.
	askAt  time.Time
	urgent bool
	// idleSince is when the VM was last seen without work to do.
	idleSince time.Time
}

// has tells whether the VM needs no load for the model.
func (vm *vm) has(model string) bool { return vm.last == model || vm.ep.HasStaged(model) }

// holding tells whether the VM is kept for the model: it is the last one in its memory,
// or on its host if there is none.
func (vm *vm) holding(model string) bool {
	return vm.last == model || vm.last == "" && vm.ep.HasStaged(model)
}

// ready tells whether the VM may be sent an order.
func (vm *vm) ready() bool { return vm.known && !vm.busy && !vm.unsure && !vm.down }

// usable tells whether the VM may be given to a new group.
func (vm *vm) usable() bool {
	return vm.known && vm.registered && !vm.down && !vm.unsure && !vm.ep.Leaving && !vm.ep.Slow()
}

// group is a group that exists at its members or is about to.
type group struct {
	name    string
	epoch   int64
	service string
	model   string
	// members are IDs by rank; an empty one has not been seen.
	members []string
	// planned is when this steward decided on the group; zero for groups that
	// were found.
	planned time.Time
	// free is set if it was decided on while loads were free.
	free bool
	// found is when a member first told of a group that this steward did not plan.
	found time.Time
	// suspect is set when a daemon told that the group stands still; suspected
	// is when its members were last asked for that, suspectedFirst when they were
	// first asked in a row, and sound is set once all of them have answered since.
	suspect                   bool
	suspected, suspectedFirst time.Time
	sound                     bool
	// ownWord is set if only the steward's own daemon told so.
	ownWord bool
	// retiring is when the group began to finish its work; zero before.
	retiring time.Time
	// opening is when the head accepted the order to open.
	opening time.Time
	// unwanted groups make room for another model; they finish their work first.
	unwanted bool
	// doomed groups are dissolved, whatever their members say.
	doomed bool
}

// Core is the steward's state. Set the exported fields before the first call.
type Core struct {
	// Term numbers the stewards; epochs and names come from it.
	Term int64
	// Initial is set until callers have sent requests: loads are then free.
	InitialLoads bool
	services     map[string]*catalog.Engine
	vms          map[string]*vm
	groups       map[groupKey]*group
	// sorted are the VMs' IDs; resort is set when they may have changed.
	sorted []string
	resort bool
	made   int64
	loads  loadLimit
	// work is what callers ask of the models.
	work work
	// orders wait to be sent; answers tells how long answers take.
	orders  orderQueue
	answers rtt.Estimator
	// silences is when a VM of a fabric domain last fell silent.
	silences map[string]time.Time
	// begun is when this steward began.
	begun time.Time
	// lost are the keys of groups that a recalled member is missing from.
	lost map[groupKey]bool
	// rebalanceAt is when to look next whether to give groups up for another model.
	rebalanceAt time.Time
	events      []Event
}

// Event is a change that operators want to read about.
type Event struct {
	Kind, Group, Model, VM, Reason string
	Epoch                          int64
	Members                        []string
}

// GroupSound is what an event tells of a group that was suspected of standing
// still and whose members have all answered since.
const GroupHealthy = "group-sound"

// New returns a core for a steward of that term.
func New(term int64, now time.Time) *Core {
	return &Core{Term: term, services: make(map[string]*catalog.Engine), vms: make(map[string]*vm),
		groups: make(map[groupKey]*group), lost: make(map[groupKey]bool), silences: make(map[string]time.Time),
		begun: now, loads: loadLimit{at: now}}
}

// Events returns what happened since the last call.
func (co *Core) Events() []Event {
	evs := co.events
	co.events = nil
	return evs
}

// SetServices tells the engines of the configuration in force.
func (co *Core) SetServices(cfg *catalog.Config) {
	for name, se := range cfg.Services {
		if se.Engine != nil {
			co.services[name] = se.Engine
		}
	}
}

// groupKey tells groups apart.
type groupKey struct {
	name  string
	epoch int64
}

func (gk groupKey) compare(other groupKey) int {
	return cmp.Or(cmp.Compare(gk.name, other.name), cmp.Compare(gk.epoch, other.epoch))
}

func (co *Core) note(ev Event) { co.events = append(co.events, ev) }

// Step returns the calls to make now. It is to be called after each change
// and at short intervals.
func (co *Core) Step(now time.Time) []Call {
	co.loads.refill(now, co.services)
	co.observe(now)
	co.clearSuspicions()
	var calls []Call
	for _, ke := range co.keys() {
		calls = append(calls, co.stepGroup(co.groups[ke], now)...)
	}
	if co.settled(now) {
		calls = append(calls, co.formGroups(now)...)
	}
	return co.launch(append(calls, co.asks(now)...))
}

// keys returns the groups' keys in a fixed order.
func (co *Core) keys() []groupKey { return slices.SortedFunc(maps.Keys(co.groups), groupKey.compare) }

// ids returns the VMs' IDs in a fixed order. They are sorted again only when
// VMs have come or gone: a step asks for them several times.
func (co *Core) ids() []string {
	if len(co.sorted) != len(co.vms) || co.resort {
		co.sorted, co.resort = slices.Sorted(maps.Keys(co.vms)), false
	}
	return co.sorted
}

// epoch returns the next epoch. It grows with terms, and within a term.
func (co *Core) epoch() int64 {
	co.made++
	return co.Term<<epochBits + co.made
}

// epochBits leaves room for the groups that one steward forms.
const epochBits = 20

func byID(one, other *vm) int { return cmp.Compare(one.ep.ID, other.ep.ID) }

// settled tells whether enough is known to form groups: every VM has reported or
// fallen silent, or the wait for that is over. Groups that serve need no more than
// their entries.
func (co *Core) settled(now time.Time) bool {
	if now.Sub(co.begun) >= settleLimit {
		return true
	}
	for _, vm := range co.vms {
		if !vm.known && !vm.down {
			return false
		}
	}
	return true
}
