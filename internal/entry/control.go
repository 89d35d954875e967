package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"corianderhub.dev/corianderhub/internal/core/backpressure"
	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/internal/core/evacuation"
	"corianderhub.dev/corianderhub/internal/mesh"
)

const (
	// tick is the interval of the control loop. It bounds the time to detect a stalled
	// group.
	tick = 40 * time.Millisecond
	// heartbeatCheckInterval is the time between checks whether heartbeats are due.
	heartbeatCheckInterval = 15 * time.Millisecond
	// staleAfter is the age of the last confirmation by the store after which a daemon
	// reads the store itself. The steward reads the store every 800 ms, so a change is
	// applied within the 2 s that the deployments allow.
	staleAfter = 1200 * time.Millisecond
	// freshAfter is the age below which the daemon stops following the store and relies on
	// the steward again.
	freshAfter = 700 * time.Millisecond
	// returnGrace is how long entries that lapsed during an outage of the store may take
	// to reappear. Endpoints rewrite their entries within 2 s.
	returnGrace = 2300 * time.Millisecond
	// queueSize bounds the events queued for the control loop.
	queueSize = 4096
	// sweepInterval is the interval of periodic maintenance, such as closing idle
	// connections.
	sweepInterval = time.Second
)

// control is the daemon's control state. It belongs to the control loop's goroutine, except
// for fields marked as shared.
type control struct {
	da     *Daemon
	events chan func()
	// endpoints are the endpoints registered at the store, by ID. missing are those whose
	// entries were lost during an outage of the store or overwritten with an invalid one, with
	// the time when that was detected.
	endpoints map[string]catalog.Endpoint
	missing   map[string]time.Time
	// loggedInvalid are the keys of invalid entries that have been logged.
	loggedInvalid map[string]bool
	// loggedIgnored is the version of the last configuration that was logged as ignored.
	loggedIgnored int64
	// read is the position in the store's history up to which the endpoints have been read.
	read catalog.Position
	// restoredAt is when this daemon first read the endpoints after a restore of the store.
	restoredAt time.Time
	// firstRead is set while this daemon processes its first full read of the endpoints.
	firstRead bool
	departed  departedEndpoints
	// stewardView is the newest view received from or published by a steward.
	stewardView *catalog.View
	// confirmed is when the store last confirmed this daemon's state; shared, guarded by
	// mu.
	mu        sync.Mutex
	confirmed time.Time
	// following is set while this daemon follows the store itself; shared, guarded by mu.
	following bool
	// newDeparture is set if an endpoint has departed since the last round of the control
	// loop.
	newDeparture bool
	// deputyConfirmed is when the store last confirmed a deputy's state; shared, guarded
	// by mu. deputy is set while this daemon is a deputy; shared.
	deputyConfirmed time.Time
	deputy          atomic.Bool
	// acting is set while this daemon acts as the steward.
	acting atomic.Bool
	// generation counts how often following has begun; shared, guarded by mu. A follower
	// from an earlier generation reads everything again.
	generation int
	// joined is set once the daemon knows other daemons, knowsDaemons once it has read the list of
	// all of them from the store.
	joined, knowsDaemons bool
	// registeredEra is the store's era in which this daemon was last found registered, peerEra
	// the latest that another daemon has named. registering is set during a check.
	registeredEra, peerEra int64
	registering            bool
	// haveAll is set once all endpoints have been read since following began.
	haveAll bool
	// fetching holds the kinds of fetches from other daemons that are in flight.
	fetching           map[string]bool
	heartbeatNumber    uint64
	lastHeartbeatCheck time.Time
	nextSweep          time.Time
	nextTotals         time.Time
	// served is set once another daemon has reported that a request from a caller was
	// received.
	served bool
	lease  stewardship
	// wake wakes the control loop when a postponed step is due.
	wake *time.Timer
	// startedAt is when the control loop started.
	startedAt time.Time
	// lateAt is when the control loop was last found to run late; shared, guarded by mu.
	lateAt time.Time
	// lastRound is when the last round of the control loop began.
	lastRound time.Time
	// healthy are the groups that this daemon, as the steward, announces as healthy.
	healthy healthyGroups
	// rank is the number of daemons that try to acquire the lease before this one.
	// promisedUntil is the time before which this daemon has promised not to try.
	rank          int
	promisedUntil time.Time
	// storeUnavailable is set while the store does not answer reads of the endpoints;
	// shared.
	storeUnavailable atomic.Bool
	// probing counts the groups whose members this daemon is probing.
	probing int
	// checkingPaths counts the groups to whose leaders this daemon opens a connection.
	checkingPaths int
	// campaigning is set while this daemon tries to acquire the lease.
	campaigning bool

	// maxTerm is the highest term of a steward that any daemon has named.
	maxTerm int64
	// steward is the last heartbeat from the steward with the highest term;
	// lastStewardHeartbeat is when it arrived.
	steward              mesh.Heartbeat
	lastStewardHeartbeat time.Time
	// ignoresReassignments is set while reassignments in the steward's view do not count.
	ignoresReassignments bool
	wg                   sync.WaitGroup
	// misroutedAt is when a misrouted request was last logged.
	misroutedAt time.Time
	crashChecks crashChecks
	// evacuation is the operators' order of which data centres are evacuated.
	evacuation evacuation.Tracker
	cold       coldEndpoints
	// unreached is the number of unreached endpoints that was logged last.
	unreached int
	// quarantine is the state of the quarantine of requests that crash endpoints.
	quarantine quarantineControl
}

func newControl(da *Daemon) *control {
	return &control{da: da, events: make(chan func(), queueSize), endpoints: make(map[string]catalog.Endpoint),
		wake: time.NewTimer(tick), missing: make(map[string]time.Time), loggedInvalid: make(map[string]bool), departed: make(departedEndpoints), cold: coldEndpoints{until: make(map[string]time.Time)}, crashChecks: make(crashChecks), healthy: make(healthyGroups), fetching: make(map[string]bool)}
}

// post queues an event for the control loop. It drops the event if the daemon ends first.
func (ct *control) post(ev func()) {
	select {
	case ct.events <- ev:
	case <-ct.da.work.Done():
	}
}

// run starts the daemon's background tasks and runs the control loop until ctx ends.
func (ct *control) run(ctx context.Context) error {
	ct.startedAt = ct.da.Clock.Now()
	ct.confirmed = ct.startedAt.Add(-staleAfter + startupStoreDelay)
	ct.da.spawn(&ct.wg, ct.followConfig)
	ct.da.spawn(&ct.wg, ct.followEndpoints)
	ct.da.spawn(&ct.wg, ct.join)
	ct.da.spawn(&ct.wg, ct.campaign)
	ti := time.NewTicker(tick)
	defer ti.Stop()
	for {
		select {
		case <-ctx.Done():
			ct.da.cancel()
			ct.wg.Wait()
			return nil
		case ev := <-ct.events:
			ct.noteDelay()
			ev()
			ct.drain()
		case <-ti.C:
			ct.noteDelay()
		case <-ct.wake.C:
		}
		ct.step()
	}
}

// lateRound is the time between two rounds of the control loop after which this machine
// counts as late. Rounds are normally at most one tick apart; a longer gap means that the
// machine was suspended or out of CPU quota.
const lateRound = 100 * time.Millisecond

// noteDelay records whether the control loop runs late.
func (ct *control) noteDelay() {
	now := ct.da.Clock.Now()
	if !ct.lastRound.IsZero() && now.Sub(ct.lastRound) > lateRound {
		ct.mu.Lock()
		ct.lateAt = now
		ct.mu.Unlock()
	}
	ct.lastRound = now
}

// lateSince reports whether this machine has run late after the given time. A request that
// timed out in that period may have been answered in time.
func (ct *control) lateSince(since time.Time) bool {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return ct.lateAt.After(since)
}

// drain handles all queued events, so that one step covers all of them.
func (ct *control) drain() {
	for {
		select {
		case ev := <-ct.events:
			ev()
		default:
			return
		}
	}
}

// startupStoreDelay is how long a starting daemon waits for a steward's heartbeat before it
// reads the store. By then it has read the list of daemons.
const startupStoreDelay = 150 * time.Millisecond

// step runs all periodic work that is due.
func (ct *control) step() {
	now := ct.da.Clock.Now()
	ct.stepFollowing(now)
	ct.stepReassignments(now)
	ct.stepMissing(now)
	ct.stepCold(now)
	ct.settleEvacuation(now)
	ct.stepRegistration()
	ct.stepSteward(now)
	ct.stepStalls(now)
	ct.stepQuarantine(now)
	if ct.newDeparture && ct.lease.core == nil && !ct.da.mesh.Direct() {
		// Otherwise the others would learn of the departure with the next regular
		// heartbeats, seconds later.
		ct.sendHeartbeat(heartbeatExtra{to: mesh.ToEveryone})
	}
	ct.newDeparture = false
	if now.Sub(ct.lastHeartbeatCheck) >= heartbeatCheckInterval {
		ct.lastHeartbeatCheck = now
		if ct.da.mesh.AnyDue() {
			ct.sendHeartbeat(heartbeatExtra{})
		}
	}
	ct.logTotals(now)
	if now.After(ct.nextSweep) {
		ct.nextSweep = now.Add(sweepInterval)
		ct.da.pool.CloseExpired()
		ct.crashChecks.sweep(now)
		ct.logUnreached(now)
		ct.da.quarantine.Sweep(now)
		ct.da.quarantine.SetDeferring(ct.defersParts(now))
		ct.da.backpressure.Sweep(now)
		ct.shareBudgets()
		ct.shareLimits(now)
		ct.da.table.SetReportDelay(ct.da.mesh.ReportDelay())
		ct.deputy.Store(ct.isDeputy(now))
		ct.acting.Store(ct.lease.ready())
		ct.da.mesh.SetDeputy(ct.deputy.Load() && ct.follows())
	}
}

// shareBudgets divides the shared budgets among the daemons: the slack of the retry budget
// and the endpoints' connections.
func (ct *control) shareBudgets() {
	num := max(minBudgetDaemons, len(ct.da.mesh.Known()))
	ct.da.front.Budget.SetSlack(ct.da.Settings.Bounds.RetrySlack * budgetShare / float64(num))
	ct.da.front.SetDaemonCount(num)
	ct.da.table.SetDaemonCount(num)
}

// shareLimits sets the daemons among which the endpoints' limits are divided.
func (ct *control) shareLimits(now time.Time) {
	var accepting []string
	if ct.da.accepting() {
		accepting = append(accepting, ct.da.Settings.IP)
	}
	for _, pe := range ct.da.mesh.Alive() {
		if pe.Accepting {
			accepting = append(accepting, pe.IP)
		}
	}
	ct.da.backpressure.SetDaemons(backpressure.Daemons{Own: ct.da.Settings.IP, Accepting: accepting, Known: ct.da.mesh.Known(),
		Complete: ct.knowsDaemons || now.Sub(ct.startedAt) >= startupSettleTime}, now)
}

// age returns the time since the store last confirmed this daemon's state.
func (ct *control) age(now time.Time) time.Duration {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return now.Sub(ct.confirmed)
}

// confirm records that the store confirmed this daemon's state at the given time. Earlier
// times are ignored.
func (ct *control) confirm(at time.Time) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	if at.After(ct.confirmed) {
		ct.confirmed = at
	}
}

// keysTooOld reports whether API keys must be rejected because the store has not confirmed
// them recently. It applies only if the deployment sets RevokeFailClosed.
func (ct *control) keysTooOld() bool {
	bo := ct.da.Settings.Bounds
	return bo.RevokeFailClosed && ct.keyAge(ct.da.Clock.Now()) > bo.Revoke*9/10
}

// keyAge returns the time since the store last confirmed the accepted keys to this daemon,
// the steward or a deputy.
func (ct *control) keyAge(now time.Time) time.Duration {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return min(now.Sub(ct.confirmed), now.Sub(ct.deputyConfirmed))
}

// misroutedLogInterval is the minimum time between log lines about misrouted requests.
const misroutedLogInterval = time.Second

// noteMisrouted logs that an endpoint rejected a request as meant for another endpoint. Its
// address has been reassigned; the next view will reflect that.
func (ct *control) noteMisrouted() {
	ct.post(func() {
		now := ct.da.Clock.Now()
		if now.Sub(ct.misroutedAt) > misroutedLogInterval {
			ct.misroutedAt = now
			ct.da.Log.Info("control: request misrouted, endpoint is not the expected one.", "age-ms", ct.age(now).Milliseconds())
		}
	})
}

// leave announces that this daemon accepts no more requests, and releases the lease.
func (ct *control) leave() {
	ct.sendHeartbeat(heartbeatExtra{to: mesh.ToEveryone})
	ct.resignNow()
}
