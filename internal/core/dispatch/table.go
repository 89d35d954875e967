package dispatch

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"corianderhub.dev/corianderhub/internal/core/admit"
	"corianderhub.dev/corianderhub/internal/core/backpressure"
	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// Table holds the groups and selects among them. It is safe for concurrent use.
type Table struct {
	// DataCenter is the daemon's own data centre.
	DataCenter string
	// Backpressure holds the limits that endpoints report; nil means no limits.
	Backpressure *backpressure.Tracker
	// Rand is the random source of selections; nil means a randomly seeded one.
	Rand *rand.Rand
	// BoundedWait makes requests that are refused but can still meet their objective wait for a slot
	// of this daemon's own requests.
	BoundedWait bool
	// ScheduleReturns makes refusals for lack of capacity name a reserved time to return, and gives
	// precedence to the requests that return then.
	ScheduleReturns bool
	// FairShares makes requests of workspaces above their fair share be refused first.
	FairShares bool

	mu     sync.Mutex
	groups map[string]*Group
	// byName lists the groups in the order of their names.
	byName []*Group
	// peers holds the work reported by the other daemons.
	peers map[string]peerWork
	// reportDelay is the mean age of the other daemons' reports when they are used.
	reportDelay time.Duration
	// models holds the models whose requests are measured; nil before the first view.
	models map[string]bool
	// rates holds the rate of requests at this daemon, peerRates the sum of the rates at the other
	// daemons, both by model and per second.
	rates     arrivals
	peerRates map[string]float32
	// rankCounters measures the requests at this daemon by model and rank, peerRanks is the sum of
	// the rates at the other daemons. reportedAt is when the last report of one was received.
	rankCounters rankCounters
	peerRanks    rankRates
	reportedAt   time.Time
	// calendar holds the return times that this daemon promised, peerReturns the returning requests
	// at the other daemons, by model.
	calendar    admit.Calendar
	peerReturns map[string]Returns
	// demands is the demand for each model at this daemon.
	demands demands
	// estimatedUntil is the time of the last estimate of the others' requests, by model.
	estimatedUntil map[string]time.Time
	// residuals holds, by model, how much later first events arrive than the engines' descriptions
	// predict.
	residuals residuals
	// numDaemons is the number of daemons. nextLate is the time from which this daemon may send the
	// next late request, by model.
	numDaemons int
	nextLate   map[string]time.Time
	// firstRequestAt is when HoldLate was first called.
	firstRequestAt time.Time
	// moves holds the requests of groups that broke recently.
	moves moves
	// readings is set once a server has stated its load.
	readings bool
	// work measures the work of workspaces at this daemon. over lists the workspaces above their
	// share by model, as computed at overAt.
	work   workspaceWork
	over   map[string]map[string]admit.Overuse
	overAt time.Time
	// waiting holds the requests that wait for a slot, freed the rate at which this daemon's requests
	// free slots, by model. waitStopped is set once the daemon stops.
	waiting     admit.WaitQueues[*Waiter]
	freed       arrivals
	waitStopped bool
	// expiredAt is when expired reports of other daemons were last removed.
	expiredAt time.Time
}

// Request describes a request and its latency limits.
type Request struct {
	Service, Model string
	// Prompt is the number of prompt tokens.
	Prompt int64
	// Objective is the time left until the first event is due; it is not positive for a late
	// request.
	Objective time.Duration
	// MaxPause is the longest acceptable pause between events.
	MaxPause time.Duration
	// Waited is how long the caller has waited since its first attempt, Left the time until its
	// timeout; 0 if unknown.
	Waited, Left time.Duration
	// MaxWait is the longest wait for the first event after which the answer is still useful.
	MaxWait time.Duration
	// FinalAttempt is set for a late request that cannot be delayed any further.
	FinalAttempt bool
	// Rank is the urgency of the request, from 0, the most urgent, to 9. Workspace is the name of its
	// caller's workspace, empty if there is none.
	Rank      int
	Workspace string
	// Bytes is the memory that the request takes while it waits for a slot. Wake is called when the
	// wait is over, without or with a slot; it must not block or call the table. A request without
	// Wake does not wait.
	Bytes int64
	Wake  func()
	// Resumed is set for a request whose caller has received a part of the answer.
	Resumed bool
	// Repeated is set if the request was passed to Pick before and has not been sent since, so that
	// it is counted once. Polled is set if it will be passed to Pick again when it is refused, so that
	// no time to return is reserved for it.
	Repeated, Polled bool
	// Exclude lists the groups that the request was already sent to.
	Exclude []*Group
}

// late reports whether the objective of the request has already passed, so that no group can meet
// it: its caller was refused before and has retried.
func (ne *Request) late() bool { return ne.Objective <= 0 && !ne.Resumed }

// lateReserve is the fraction of a group's slots reserved for requests that can still meet their
// objective (trunk reservation). Without it, retries take the slots of first attempts, which are
// then refused and retried in turn.
const lateReserve = 0.15

// SetReportDelay sets the mean age of the other daemons' reports when they are used.
func (ta *Table) SetReportDelay(delay time.Duration) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.reportDelay = delay
}

// initMeasurements creates the maps of measured requests. Requests may arrive before the first view.
func (ta *Table) initMeasurements() {
	if ta.rates == nil {
		ta.rates, ta.estimatedUntil, ta.demands = make(arrivals), make(map[string]time.Time), make(demands)
		ta.rankCounters = make(rankCounters)
	}
}

// Update applies a view. Groups that remain keep their measured state.
func (ta *Table) Update(vi *catalog.View, cfg *catalog.Config, now time.Time) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if ta.groups == nil {
		ta.groups = make(map[string]*Group)
		ta.peers = make(map[string]peerWork)
		ta.peerRates = make(map[string]float32)
		ta.peerRanks = make(rankRates)
		ta.peerReturns = make(map[string]Returns)
		ta.residuals = make(residuals)
		ta.initMeasurements()
	}
	ta.setModels(vi, cfg)
	before := make(map[string]bool, len(ta.groups))
	for name, gr := range ta.groups {
		before[name], gr.inView = gr.inView, false
	}
	for _, cg := range vi.Groups {
		en := cfg.Services[cg.Service].Engine
		if en == nil {
			continue
		}
		mo, _ := en.Model(cg.Model)
		gr := ta.groups[cg.Name]
		if gr == nil {
			gr = &Group{Group: cg, lastActivity: now, streams: make(map[*Ticket]struct{})}
			ta.groups[cg.Name] = gr
		}
		if !before[cg.Name] {
			// All members have responded before the group is in the view again.
			gr.stalled, gr.unreachable = false, false
		}
		gr.draining, gr.reportedSlowness, gr.engine, gr.model, gr.inView = cg.Draining, cg.Slowness, en, mo, true
	}
	for name, gr := range ta.groups {
		if !gr.inView {
			ta.moves.add(gr, now)
		}
		if !gr.inView && len(gr.streams) == 0 {
			delete(ta.groups, name)
		}
	}
	ta.byName = slices.SortedFunc(maps.Values(ta.groups), func(one, other *Group) int { return strings.Compare(one.Name, other.Name) })
	ta.sumPeers(now)
}

const (
	// retryNoGroup is the retry time if no group serves the model: the time to detect a loss and to
	// replace the member by a spare.
	retryNoGroup = 900 * time.Millisecond
	// retryElsewhere is the retry time if only other daemons may send the request.
	retryElsewhere = 900 * time.Millisecond
	// minRetryAfter is the least retry time for a group that will soon accept requests.
	minRetryAfter = 50 * time.Millisecond
	// retryFull is the least retry time if the groups are full: an answer takes about 2 s, and
	// callers retry once.
	retryFull = time.Second
)

// WaitTime returns the time until the first group is expected to accept the request if the limits of
// all leaders currently reject it, and 0 otherwise.
func (ta *Table) WaitTime(ne Request, now time.Time) time.Duration {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ne.Exclude = nil
	return ta.waitTime(ne, now)
}

// waitTime implements WaitTime. The caller holds mu.
func (ta *Table) waitTime(ne Request, now time.Time) time.Duration {
	var leaders []catalog.Instance
	for _, gr := range ta.byName {
		if gr.accepts(ne) {
			leaders = append(leaders, gr.leader())
		}
	}
	return waitTime(ta.Backpressure, leaders, now)
}

// waitTime returns the time until the first of the endpoints is expected to accept a request. It
// returns 0 if one accepts now, or if instances is empty.
func waitTime(tracker *backpressure.Tracker, instances []catalog.Instance, now time.Time) time.Duration {
	first := time.Duration(0)
	for i, li := range instances {
		wait, known := tracker.WaitTime(li, now)
		switch {
		case !known:
			wait = retryElsewhere
		case wait <= 0:
			return 0
		}
		if wait = max(wait, minRetryAfter); i == 0 || wait < first {
			first = wait
		}
	}
	return first
}

const (
	// pauseMargin is the fraction of the longest acceptable pause that a prediction may reach.
	pauseMargin = 0.8
	// remoteLoad is how many more requests a local group may run than one in another data centre, to
	// account for the cost of round trips and traffic.
	remoteLoad = 2
)

// random returns a random number in [0, 1).
func (ta *Table) random() float64 {
	if ta.Rand == nil {
		ta.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return ta.Rand.Float64()
}

// Requests returns the number of running and waiting requests at all groups: those of this daemon
// only, or those of all daemons.
func (ta *Table) Requests(all bool) int {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	num := 0
	for _, gr := range ta.groups {
		num += gr.ownLoad.Requests
		if all {
			num += gr.peerLoad.Requests
		}
	}
	return num
}

// RequestsIn returns the number of this daemon's running and waiting requests at the groups of a
// data centre.
func (ta *Table) RequestsIn(dataCenter string) int {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	num := 0
	for _, gr := range ta.groups {
		if gr.DataCenter == dataCenter {
			num += gr.ownLoad.Requests
		}
	}
	return num
}

// GroupStatus is the state of a group for operators.
type GroupStatus struct {
	Name, Model string
	Load        Load
	Stalled     bool
	Slowness    float64
}

// Status returns the state of all groups, for status pages and metrics.
func (ta *Table) Status() []GroupStatus {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	var all []GroupStatus
	for _, gr := range ta.byName {
		all = append(all, GroupStatus{gr.Name, gr.Model, gr.ownLoad.plus(gr.peerLoad), gr.stalled, gr.slowness()})
	}
	return all
}
