package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/internal/mesh"
	"corianderhub.dev/corianderhub/platform"
)

const (
	// tick is the interval of the control loop, which bounds the notice of a
	// group that stands still.
	tick = 40 * time.Millisecond
	// beatCheck is the time between looks whether beats are due.
	beatCheck = 15 * time.Millisecond
	// staleAfter is the age of the store's last word from which a daemon asks
	// the store itself. With the steward's own look every 800 ms, a change is
	// known within the 2 s that the deployments allow.
	staleAfter = 1200 * time.Millisecond
	// freshAfter is the age below which it leaves that to the steward again.
	freshAfter = 700 * time.Millisecond
	// returnGrace is how long entries that were lost while the store was away
	// may take to be back: endpoints write theirs anew within 2 s.
	returnGrace = 2300 * time.Millisecond
	// queueSize bounds the events that wait for the control loop.
	queueSize = 4096
	// poolSweep is the interval at which idle connections are looked through.
	poolSweep = time.Second
)

// control is the daemon's control state. All of it belongs to the loop's
// goroutine but for what is said to be shared.
type control struct {
	da     *Daemon
	events chan func()
	// endpoints is what the store has registered; missing ones were lost while
	// the store was away.
	endpoints map[string]catalog.Endpoint
	missing   map[string]time.Time
	// setAside are the keys of entries that name no server and were logged.
	setAside map[string]bool
	revision int64
	// firstRead is set while all endpoints are taken in that are registered when this
	// daemon first reads them.
	firstRead bool
	gone      goneEndpoints
	// told is the newest view of a steward.
	told *catalog.View
	// confirmed is when the store last confirmed what is known; shared under mu.
	mu        sync.Mutex
	confirmed time.Time
	// following is set while this daemon follows the store itself; shared.
	following bool
	// newGone is set when an endpoint was just seen to leave.
	newGone bool
	// deputyAt is when the store last confirmed what a deputy knows, shared under
	// mu; deputy is set while this daemon is one, shared.
	deputyAt time.Time
	deputy   atomic.Bool
	// turn counts how often following began; shared. A follower whose turn is over
	// reads all anew.
	turn int
	// joined is set once the daemon has learnt who else is there.
	joined bool
	// haveAll is set once all endpoints were read since following began.
	haveAll   bool
	fetching  map[string]bool
	number    uint64
	beatCheck time.Time
	sweepDue  time.Time
	totalsDue time.Time
	served    bool
	lease     stewardship
	// wake ends the wait of the control loop when a step is due that was put off.
	wake *time.Timer
	// begun is when the control loop began to run.
	begun time.Time
	// lateAt is when the control loop was last found to run late; shared under mu.
	lateAt time.Time
	// looped is when the loop last began a round.
	looped time.Time
	// sound are groups to tell the others of as the steward.
	sound soundGroups
	// rank is how many daemons look at the lease before this one, and promisedUntil is
	// until when it has promised not to.
	rank          int
	promisedUntil time.Time
	// storeAway is set while the store does not answer for the endpoints; shared.
	storeAway atomic.Bool
	// probing counts the groups whose members this daemon asks by itself.
	probing int
	// campaigning is set while this daemon looks at the lease.
	campaigning bool

	// steward is the last beat of the steward with the highest term, heard when
	// it came.
	steward mesh.Heartbeat
	heard   time.Time
	wg      sync.WaitGroup
	// wrongAt is when an endpoint last was not the one expected.
	wrongAt time.Time
	ends    endChecks
	// quarantine is what is done about requests that end endpoints.
	quarantine quarantineControl
}

func newControl(da *Daemon) *control {
	return &control{da: da, events: make(chan func(), queueSize), endpoints: make(map[string]catalog.Endpoint),
		wake: time.NewTimer(tick), missing: make(map[string]time.Time), setAside: make(map[string]bool), gone: make(goneEndpoints), ends: make(endChecks), sound: make(soundGroups), fetching: make(map[string]bool)}
}

// post hands an event to the control loop.
func (ct *control) post(ev func()) {
	select {
	case ct.events <- ev:
	case <-ct.da.work.Done():
	}
}

func (ct *control) run(ctx context.Context) error {
	ct.begun = ct.da.Clock.Now()
	ct.confirmed = ct.begun.Add(-staleAfter + startPatience)
	ct.da.once(&ct.wg, ct.followConfig)
	ct.da.once(&ct.wg, ct.followEndpoints)
	ct.da.once(&ct.wg, ct.join)
	ct.da.once(&ct.wg, ct.campaign)
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

// lateRound is the time between two rounds of the control loop, which are to be
// a tick apart at most, from which this machine counts as late: it was frozen,
// or used up its share of the processor.
const lateRound = 100 * time.Millisecond

// noteDelay looks whether the loop runs late.
func (ct *control) noteDelay() {
	now := ct.da.Clock.Now()
	if !ct.looped.IsZero() && now.Sub(ct.looped) > lateRound {
		ct.mu.Lock()
		ct.lateAt = now
		ct.mu.Unlock()
	}
	ct.looped = now
}

// lateSince tells whether this machine ran late at any time since. What ran out
// of time then may have been answered in time.
func (ct *control) lateSince(since time.Time) bool {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return ct.lateAt.After(since)
}

// drain handles the events that wait, so that the state is looked at once.
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

// startPatience is how long a daemon that starts waits for a steward's word
// before it asks the store itself. It has read by then who else is there.
const startPatience = 150 * time.Millisecond

// step does what is due.
func (ct *control) step() {
	now := ct.da.Clock.Now()
	ct.stepFollowing(now)
	ct.stepMissing(now)
	ct.stepSteward(now)
	ct.stepStalls(now)
	ct.stepQuarantine(now)
	if ct.newGone && ct.lease.core == nil && !ct.da.mesh.Direct() {
		// The others would hear of it only with the next beats, seconds later.
		ct.sendBeat(beatExtra{to: mesh.ToEveryone})
	}
	ct.newGone = false
	if now.Sub(ct.beatCheck) >= beatCheck {
		ct.beatCheck = now
		if ct.da.mesh.AnyDue() {
			ct.sendBeat(beatExtra{})
		}
	}
	ct.logTotals(now)
	if now.After(ct.sweepDue) {
		ct.sweepDue = now.Add(poolSweep)
		ct.da.pool.CloseExpired()
		ct.ends.sweep(now)
		ct.da.quarantine.Sweep(now)
		ct.da.backpressure.Sweep(now)
		ct.shareBudgets()
		ct.shareLimits(now)
		ct.da.table.SetReportDelay(ct.da.mesh.ReportDelay())
		ct.deputy.Store(ct.isDeputy(now))
		ct.da.mesh.SetDeputy(ct.deputy.Load() && ct.follows())
	}
}

// shareBudgets divides among the daemons what they have together: the retry
// budget's slack and the endpoints' connections.
func (ct *control) shareBudgets() {
	num := max(minBudgetDaemons, len(ct.da.mesh.Known()))
	ct.da.front.Budget.SetSlack(ct.da.Settings.Bounds.RetrySlack * budgetShare / float64(num))
	ct.da.front.SetDaemonCount(num)
	ct.da.table.SetDaemonCount(num)
}

// shareLimits tells among which daemons the endpoints' limits are divided.
func (ct *control) shareLimits(now time.Time) {
	var taking []string
	if ct.da.taking() {
		taking = append(taking, ct.da.Settings.IP)
	}
	for _, pe := range ct.da.mesh.Alive() {
		if pe.Accepting {
			taking = append(taking, pe.IP)
		}
	}
	ct.da.backpressure.SetDaemons(ct.da.Settings.IP, taking, len(ct.da.mesh.Known()), now)
}

// age is how long ago the store last confirmed what the daemon knows.
func (ct *control) age(now time.Time) time.Duration {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return now.Sub(ct.confirmed)
}

func (ct *control) confirm(at time.Time) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	if at.After(ct.confirmed) {
		ct.confirmed = at
	}
}

// tooOld tells whether keys must not be accepted any more, where the
// deployment asks for that.
func (ct *control) tooOld() bool {
	bo := ct.da.Settings.Bounds
	return bo.RevokeFailClosed && ct.keyAge(ct.da.Clock.Now()) > bo.Revoke*9/10
}

// keyAge is how long ago the store last confirmed the keys that are accepted:
// to this daemon, to the steward, or to a deputy.
func (ct *control) keyAge(now time.Time) time.Duration {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return min(now.Sub(ct.confirmed), now.Sub(ct.deputyAt))
}

// wrongPause bounds the lines about endpoints that are not the ones expected.
const wrongPause = time.Second

// wrongEndpoint notes that an endpoint was not what the view says: its address
// has been given to another one, and the next view will tell.
func (ct *control) wrongEndpoint() {
	ct.post(func() {
		now := ct.da.Clock.Now()
		if now.Sub(ct.wrongAt) > wrongPause {
			ct.wrongAt = now
			ct.da.Log.Info("control: an endpoint is not the one expected.", "age-ms", ct.age(now).Milliseconds())
		}
	})
}

// setConfig puts a configuration in force, unless a newer one is.
func (ct *control) setConfig(raw []byte, revision int64, from string) {
	if co := ct.da.config.Load(); co != nil && co.Revision >= revision {
		return
	}
	cfg, err := platform.DecodeConfig(raw, revision)
	if err != nil {
		ct.da.Log.Error("control: configuration can't be used; the last one stays.", "revision", revision, "cause", err.Error())
		return
	}
	ct.da.config.Store(&configuration{cfg, raw})
	ct.da.Log.Info("control: configuration in force.", "version", cfg.Version, "revision", revision, "routes", len(cfg.Routes), "from", from)
	if ct.lease.core != nil {
		ct.lease.core.SetServices(cfg)
	}
	ct.updateView()
	if from == fromStore || ct.da.mesh.Direct() {
		ct.sendBeat(beatExtra{to: mesh.ToEveryone})
	}
}

// fromStore is where a configuration comes from that was read there. It is news
// to the other daemons, where one that was told by a daemon is not.
const fromStore = "store"

// hearView takes in a steward's view.
func (ct *control) hearView(vi *catalog.View) {
	if vi == nil || ct.told != nil && !vi.Newer(ct.told) {
		return
	}
	ct.told = vi
	ct.updateView()
}

// updateView makes traffic go by what is known now: by the steward's view, or
// by the store's entries while no steward tells what they say.
func (ct *control) updateView() {
	cfg := ct.da.currentConfig()
	if cfg == nil {
		return
	}
	vi := ct.told
	// What was read in an earlier turn of following may be old by minutes: until the
	// store was read again, the steward's last view is the better one. In an outage of the
	// store daemons left out all groups formed since, and refused half of their requests.
	if ct.lease.core == nil && ct.follows() && (ct.haveAll || ct.told == nil) && ct.revision > 0 {
		vi = catalog.ViewFromEntries(ct.endpoints, cfg, ct.told, ct.revision)
	}
	if vi == nil {
		return
	}
	vi = ct.gone.filter(vi)
	first := ct.da.view.Swap(vi) == nil
	ct.da.table.Update(vi, cfg, ct.da.Clock.Now())
	ct.da.plain.Update(vi)
	if first && ct.follows() {
		// Others that know nothing yet can use what this daemon has read.
		ct.sendBeat(beatExtra{to: mesh.ToEveryone})
	}
}

// leave tells the others that this daemon takes no more requests, and gives
// the lease back.
func (ct *control) leave() {
	ct.sendBeat(beatExtra{to: mesh.ToEveryone})
	ct.resignNow()
}
