// Package steward decides which VMs form which groups and which orders that requires. It performs
// no I/O: entries, reports and the results of calls are passed to methods of Core, and Step returns
// the calls to make.
//
// The members' reports are the authoritative record of which groups exist, so a new steward
// needs no state from its predecessor. Safety is enforced by the members. An order names the
// number of orders that the member must have accepted before it, so a member refuses an order
// that is based on stale state or that is delivered late. A VM must acknowledge that it has
// left one group before it is ordered to join another.
package steward

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/internal/core/evacuation"
	"corianderhub.dev/corianderhub/internal/core/rtt"
)

const (
	// pollInterval is the time until a VM is polled again after a report that was out of date.
	// Members that load weights are polled every loadPollInterval.
	pollInterval     = 60 * time.Millisecond
	loadPollInterval = 700 * time.Millisecond
	// rejoinTime is how long a member that still has the weights in memory takes to become
	// ready, as specified by the engines.
	rejoinTime = 200 * time.Millisecond
	// downPollInterval is the initial time between polls of a VM that is down.
	downPollInterval = time.Second
	// joinTimeout is how long the members of a new group may take to accept their orders
	// before the group is dissolved.
	joinTimeout = 2 * time.Second
	// registrationTimeout is how long a new steward waits for members that have not
	// registered. After a store outage, lost entries are restored within 2 s.
	registrationTimeout = 2300 * time.Millisecond
	// minDrainTimeout and maxDrainTimeout bound the wait for the requests of a group that is being
	// drained. In between, it is the longest timeout of the service's routes. A leaving member remains for 10 s.
	minDrainTimeout = 5 * time.Second
	maxDrainTimeout = 9500 * time.Millisecond
	// drainPollInterval is the time between polls of the leader of a group that is being
	// drained.
	drainPollInterval = 300 * time.Millisecond
	// sparePrefix and groupPrefix distinguish serving groups from single VMs that only hold a
	// model in memory. A later steward recognizes them by these names.
	sparePrefix = "spare-"
	groupPrefix = "group-"
	// stallReportInterval is the time within which all stall reports about the same group
	// share one round of polls. Two polls that time out take 240 ms.
	stallReportInterval = 300 * time.Millisecond
	// maxInconclusive bounds the inconclusive polls of a VM in a row. It lets a machine that
	// is always slow still detect losses, after about 0.7 s.
	maxInconclusive = 12
	// maxFailures is how many polls in a row must time out before a VM is considered
	// unresponsive. A single timeout may be due to packet loss.
	maxFailures = 4
	// discoveryTimeout bounds how long a new steward waits for all VMs to report before it
	// forms groups.
	discoveryTimeout = 700 * time.Millisecond
)

// Call is a request to an endpoint: a Poll, a Command or a Connect.
type Call interface{ isCall() }

// Poll is a request for an endpoint's report.
type Poll struct {
	ID, Address string
	// Urgent polls get a short timeout: they decide whether a member of a serving group is
	// down.
	Urgent bool
	// Timeout counts from when the poll is sent. After it the poll counts as failed, but a
	// report that arrives later is still processed.
	Timeout time.Duration
}

// Command is an order for an endpoint. The endpoint must refuse it unless it has accepted
// exactly IfOrders orders before.
type Command struct {
	ID, Address string
	// Incarnation is the incarnation of the endpoint that the order is meant for.
	Incarnation catalog.Incarnation
	Order       catalog.Order
	IfOrders    int64
	// initialLoads is set if the order was planned while loads were not rate-limited.
	initialLoads bool
}

// Connect opens a connection to an endpoint that answers no poll. A process that is only silent still
// accepts connections, unlike a machine that is down or cut off. HandleConnected takes the result.
type Connect struct{ ID, Address string }

func (Poll) isCall()    {}
func (Command) isCall() {}
func (Connect) isCall() {}

// Outcome is the result of a command.
type Outcome int

// The possible outcomes of a command.
const (
	// Accepted means that the endpoint has begun to carry out the order, or that the order had
	// already taken effect.
	Accepted Outcome = iota
	// Refused means that the order did not match the endpoint's state.
	Refused
	// Unanswered means that no response arrived. The order may have been accepted, or may
	// still be carried out later.
	Unanswered
)

// vm is the steward's state of an endpoint's VM.
type vm struct {
	ep catalog.Endpoint
	// incarnationSeenAt is when this steward first saw the VM's current incarnation.
	incarnationSeenAt time.Time
	// reported is set once the VM itself has reported to this steward.
	reported bool
	// registered is false while the endpoint's entry is missing from the store.
	registered bool
	// polling is set while a poll is in flight.
	polling bool
	// down is set while the VM is unresponsive: maxFailures polls in a row have timed out, the
	// first of which was sent at unresponsiveSince.
	down              bool
	failures          int
	unresponsiveSince time.Time
	// refusedAt is the send time of the last poll whose connection was refused. connectingSince is when
	// the first Connect of the present silence was sent, connectedAt when the last one succeeded.
	refusedAt, connectingSince, connectedAt time.Time
	// witnessedAt is the send time of a poll that another VM has answered since; zero if there is
	// none. witnessedFailures counts the polls that have failed from then on.
	witnessedAt       time.Time
	witnessedFailures int
	// inconclusive counts the polls in a row that were inconclusive because this machine was
	// delayed.
	inconclusive int
	// lastAnsweredPoll is the send time of the latest poll that the VM answered.
	lastAnsweredPoll time.Time
	// orderPending is set while an order to the VM is queued or in flight.
	orderPending bool
	// uncertain is set after an order that was refused or not answered, until the VM has
	// reported: the state kept here may be wrong. orderRefused is set with it if the order was
	// refused.
	uncertain, orderRefused bool
	// restoredGroup is the group that the VM belonged to according to an earlier steward's
	// view.
	restoredGroup groupKey
	// targetModel is the model that the VM is reserved for and loads next; empty if the VM has
	// no reservation.
	targetModel string
	// loading is set if the VM's last order to join makes it fetch weights.
	loading bool
	// lastOrderAt is when the response to the last order arrived.
	lastOrderAt time.Time
	// lastModel is the model of the VM's last group. Its weights are still in memory.
	lastModel string
	// running is the number of requests that the VM runs or has queued, from its last report.
	running int
	// pollAt is when to poll next; zero if no poll is needed.
	pollAt time.Time
	// urgent is set if the next poll must have a short timeout.
	urgent bool
	// idleSince is when the VM was first seen or last left a group.
	idleSince time.Time
	// memoryModel is the last model that the VM itself reported to have in memory.
	memoryModel string
	// stage is the order to stage a model that is under way; nil if there is none. stageFailures
	// counts the orders that had no effect, and stageRetryAt is when the next may be sent.
	stage         *stageOrder
	stageFailures int
	stageRetryAt  time.Time
}

// hasWeights reports whether the VM has the model's weights in memory or staged on its host,
// so that it needs no load from the weight store.
func (vm *vm) hasWeights(model string) bool { return vm.lastModel == model || vm.ep.HasStaged(model) }

// holdsModel reports whether the VM currently holds the model: it is the last one in its
// memory, or it is staged on its host while the memory is empty.
func (vm *vm) holdsModel(model string) bool {
	return vm.lastModel == model || vm.lastModel == "" && vm.ep.HasStaged(model)
}

// orderable reports whether the VM may be sent an order.
func (vm *vm) orderable() bool { return vm.reported && !vm.orderPending && !vm.uncertain && !vm.down }

// usable reports whether the VM may be assigned to a new group.
func (vm *vm) usable() bool {
	return vm.reported && vm.registered && !vm.down && !vm.uncertain && !vm.ep.Leaving && !vm.ep.Slow()
}

// group is a group that its members have reported or that this steward has planned.
type group struct {
	name    string
	epoch   int64
	service string
	model   string
	// modelReported is set if a member has itself reported the model, contested while two VMs
	// that have not reported claim the same rank.
	modelReported, contested bool
	// members are the VM IDs by rank; an ID is empty until that member has been seen. The
	// member of rank 0 is the leader, which receives the group's requests.
	members []string
	// claims is the number of VMs that say that they belong to the group.
	claims int
	// planned is when this steward planned the group; zero for groups discovered from reports.
	planned time.Time
	// initialLoads is set if the group was planned while loads were not rate-limited.
	initialLoads bool
	// discoveredAt is when a member first reported a group that this steward did not plan.
	discoveredAt time.Time
	// stallReported is set when a daemon has reported the group as stalled, or when one of its
	// restored members is lost. stallReportedAt is when the members were last polled for a
	// stall report, firstStallReportAt when the current series of stall reports began.
	// confirmedHealthy is set once all members have answered since.
	stallReported                       bool
	stallReportedAt, firstStallReportAt time.Time
	confirmedHealthy                    bool
	// ownReportOnly is set if only the steward's own daemon has reported the stall.
	ownReportOnly bool
	// drainingSince is when the group began to drain; zero before.
	drainingSince time.Time
	// openOrderedAt is when the leader accepted the order to open.
	openOrderedAt time.Time
	// reassigned is set if the group's VMs are to load another model. It is drained first.
	reassigned bool
	// dissolving is set once the group is to be dissolved, whatever its members report.
	dissolving bool
	// suspension is the state of a group that is suspended, or is being dissolved because of a
	// member's silence; nil for others.
	suspension *suspension
	// connectAt is when to connect to silent members next.
	connectAt time.Time
}

// Core is the steward's state. It is not safe for concurrent use. Set the exported fields
// before the first call.
type Core struct {
	// Term is the number of the steward's term. Later stewards have higher terms. Epochs and
	// group names are derived from it.
	Term int64
	// InitialLoads is set until callers have sent the first requests. Until then loads are not
	// rate-limited.
	InitialLoads bool
	// SpreadDataCenters is set if the deployment must be able to lose a data centre. The groups of
	// each model are then spread over the data centres.
	SpreadDataCenters bool
	// RequestsAt returns the number of requests in progress at a group, as far as daemons have
	// reported them; nil means that none are known.
	RequestsAt func(group string) int
	services   map[string]*catalog.Engine
	// timeouts holds the longest timeout that routes to each service have had.
	timeouts map[string]time.Duration
	vms      map[string]*vm
	groups   map[groupKey]*group
	// sortedIDs caches the VM IDs in order; idsChanged is set when it may be out of date.
	sortedIDs  []string
	idsChanged bool
	// claims are those of the last observation; kept for reuse.
	claims []claim
	// epochCounter counts the epochs issued in this term.
	epochCounter int64
	// maxEpoch is the highest epoch issued or observed at an endpoint.
	maxEpoch int64
	// loads limits the rate of loads from the weight store.
	loads loadLimiter
	// demand is the measured demand of the models.
	demand measuredDemand
	// orders holds the orders that wait to be sent and counts those in flight. pollRTT
	// estimates the response times of polls.
	orders  orderQueue
	pollRTT rtt.Estimator
	// unresponsiveAt is when a VM last became unresponsive, by fabric domain.
	unresponsiveAt map[string]time.Time
	// lastAnsweredPoll is the send time of the latest poll that any VM answered. unwitnessed
	// holds the unresponsive VMs since whose first failed poll none has answered.
	lastAnsweredPoll time.Time
	unwitnessed      map[string]bool
	// witnessesPolledAt is when VMs were last polled to show whether the steward reaches any.
	witnessesPolledAt time.Time
	// startedAt is when this steward took over.
	startedAt time.Time
	// incompleteGroups are the keys of groups that have lost a restored member.
	incompleteGroups map[groupKey]bool
	// evacuation lists the data centres in which no group is formed.
	evacuation evacuation.Order
	// rebalanceAt is when to check next whether groups of one model should be exchanged for
	// groups of another.
	rebalanceAt time.Time
	// exchanges is the state of staging and of the exchanges of staged groups, by service.
	exchanges map[string]*exchangeState
	events    []Event
}

// Event is a change to report to operators in the log.
type Event struct {
	// Kind is the type of event, such as "group-formed". The other fields are set as far as
	// they apply to it.
	Kind, Group, Model, VM, Reason string
	Epoch                          int64
	Members                        []string
	// Silence is how long a member of the group has been silent, Held how long the members that
	// respond have been held meanwhile, and Requests the number of requests in progress at the group.
	Silence, Held time.Duration
	Requests      int
}

// GroupHealthy is the kind of an event for a group that was reported as stalled and whose
// members have all answered since.
const GroupHealthy = "group-sound"

// New returns the state of a steward that takes over with the given term.
func New(term int64, now time.Time) *Core {
	return &Core{Term: term, services: make(map[string]*catalog.Engine), vms: make(map[string]*vm),
		groups: make(map[groupKey]*group), incompleteGroups: make(map[groupKey]bool), unresponsiveAt: make(map[string]time.Time), unwitnessed: make(map[string]bool), exchanges: make(map[string]*exchangeState),
		startedAt: now, loads: loadLimiter{refilledAt: now}}
}

// Events returns the events since the last call and clears them.
func (co *Core) Events() []Event {
	evs := co.events
	co.events = nil
	return evs
}

// SetEvacuation sets the data centres that are evacuated. Their groups stay as they are, so that
// they serve again as soon as the evacuation ends, but they count for nothing: no group is formed
// there, and the other data centres are planned as if they were alone.
func (co *Core) SetEvacuation(or evacuation.Order) { co.evacuation = or }

// evacuated reports whether the VM is in an evacuated data centre.
func (co *Core) evacuated(vm *vm) bool { return co.evacuation.Has(vm.ep.DataCenter) }

// groupKey identifies a group.
type groupKey struct {
	name  string
	epoch int64
}

func (gk groupKey) compare(other groupKey) int {
	return cmp.Or(cmp.Compare(gk.name, other.name), cmp.Compare(gk.epoch, other.epoch))
}

func (co *Core) recordEvent(ev Event) { co.events = append(co.events, ev) }

// Step advances the state and returns the calls to make now. Call it after each change and at
// short intervals.
func (co *Core) Step(now time.Time) []Call {
	co.loads.refill(now, co.services)
	co.observe(now)
	co.confirmHealthyGroups()
	var calls []Call
	for _, ke := range co.keys() {
		calls = append(calls, co.stepGroup(co.groups[ke], now)...)
	}
	if co.discoveryDone(now) {
		calls = append(calls, co.formGroups(now)...)
	}
	co.pollWitnesses(now)
	return co.dispatch(append(calls, co.duePolls(now)...))
}

// keys returns the groups' keys in sorted order.
func (co *Core) keys() []groupKey { return slices.SortedFunc(maps.Keys(co.groups), groupKey.compare) }

// ids returns the VM IDs in sorted order. They are sorted again only when VMs were added or
// removed, because a step needs them several times.
func (co *Core) ids() []string {
	if len(co.sortedIDs) != len(co.vms) || co.idsChanged {
		co.sortedIDs, co.idsChanged = slices.Sorted(maps.Keys(co.vms)), false
	}
	return co.sortedIDs
}

func byID(one, other *vm) int { return cmp.Compare(one.ep.ID, other.ep.ID) }

// discoveryDone reports whether enough is known to form groups: every VM has reported or is
// unresponsive, or discoveryTimeout has passed. Groups that already serve are recognized from
// their entries alone.
func (co *Core) discoveryDone(now time.Time) bool {
	if now.Sub(co.startedAt) >= discoveryTimeout {
		return true
	}
	for _, vm := range co.vms {
		if !vm.reported && !vm.down {
			return false
		}
	}
	return true
}
