// Package control implements the daemon's control state as a state machine: it
// takes events, returns actions, and does no I/O itself. The daemon feeds it
// from one goroutine and performs its actions; tests and recorded traces do the
// same.
//
// It combines four parts: the documents replicated between daemons, the probing
// of engines and the permits that result from it, the configuration, and the
// work of the steward of this data centre.
package control

import (
	"time"

	"corianderhub.dev/corianderhub/internal/core/chain"
	"corianderhub.dev/corianderhub/internal/core/fleet"
	"corianderhub.dev/corianderhub/internal/core/gossip"
	"corianderhub.dev/corianderhub/internal/core/intent"
	"corianderhub.dev/corianderhub/internal/core/permit"
)

// Settings configure a Core and do not change afterwards.
type Settings struct {
	Name       string
	DataCenter string
	Region     string
	// Caller and Peer are this daemon's addresses (host:port) for callers and
	// for other daemons.
	Caller string
	Peer   string
	// Seeds are the peer addresses to contact before any daemon is known, and
	// from time to time later.
	Seeds  []string
	Timing Timing
	// Policy is the placement and repair policy of the planner.
	Policy fleet.Policy
}

// Timing holds the intervals and limits of the control state.
type Timing struct {
	// Probe is the interval between probes of a VM. Sweep replaces it while
	// requests prove that the VM's group is complete.
	Probe time.Duration
	Sweep time.Duration
	// Permit is the lifetime of a permit, counted from permit.Evidence.At.
	Permit time.Duration
	// Pull is the interval between rounds of pulls from peers.
	Pull time.Duration
	// Lease is the duration of the steward's lease, and List the interval
	// between the steward's reads of the VM list.
	Lease time.Duration
	List  time.Duration
	// ProbeBytes limits probe traffic, in bytes per second. The probe interval
	// grows with the number of VMs to stay below it; 0 means no limit.
	ProbeBytes int
}

// DefaultTiming suits a few dozen VMs per data centre.
var DefaultTiming = Timing{
	Probe:      500 * time.Millisecond,
	Sweep:      5 * time.Second,
	Permit:     3 * time.Second,
	Pull:       500 * time.Millisecond,
	Lease:      6 * time.Second,
	List:       5 * time.Second,
	ProbeBytes: 16 << 10,
}

const (
	// pullFanout is the number of peers pulled from per round.
	pullFanout = 3
	// localPartners and remotePartners are the numbers of daemons in this and
	// in other data centres that a daemon pulls from, in addition to its
	// successor by name.
	localPartners  = 5
	remotePartners = 3
	// probersPerGroup is the number of daemons that probe each group.
	probersPerGroup = 2
	// probeWireBytes is the approximate size of one probe and its report on the
	// wire.
	probeWireBytes = 400
	// deadAfterFailures is the number of consecutive failed pulls after which a
	// daemon is declared dead.
	deadAfterFailures = 3
	// maxRecentEntries limits the configuration entries kept for peers.
	maxRecentEntries = 4 * chain.SnapshotEvery
	// peerConfigWait is how long a new daemon waits for a configuration from
	// its peers before it reads the platform, and the interval between its
	// reads.
	peerConfigWait = time.Second
)

// Core is the control state of one daemon. Use New to create one. A Core is not
// safe for concurrent use.
type Core struct {
	set     Settings
	started time.Time
	now     time.Time
	actions []Action
	// inFlight holds the keys of actions that have not been answered yet.
	inFlight map[string]bool
	// lastRun holds the last time that due returned true, by key.
	lastRun map[string]time.Time

	docs *gossip.Table
	// daemons holds the known daemons by name; pullFailures counts consecutive
	// failed pulls by peer address; suspects are the peer addresses to retry in
	// the next round.
	daemons      map[string]gossip.Daemon
	pullFailures map[string]int
	suspects     []string
	round        uint64
	state        gossip.State

	cfg      *intent.Config
	cfgKnown bool
	// recentEntries are the newest configuration entries, without gaps and up
	// to the revision of cfg.
	recentEntries []chain.Entry
	// lost holds the changes that have to be applied again, triedBase the Reapply.Base of the
	// last attempt to, and reappliedAt the revision that they got by it, if any.
	lost        *Reapply
	triedBase   uint64
	reappliedAt uint64

	// domains holds the assignments of all data centres by document name, vms
	// the VM list of this data centre by name, and groups the groups in domains
	// by ID. groupByHash maps a GroupDigest.Hash to a group ID.
	domains     map[string]fleet.Domain
	vms         map[string]fleet.VM
	groups      map[string]fleet.Group
	groupByHash map[uint64]string
	permits     *permit.Table
	// probing holds the VMs that this daemon probes, and observations the
	// results, both by VM name. droppedAt holds the change number at which the
	// probing of a VM ended.
	probing      map[string]probeAssignment
	observations map[string]*observation
	droppedAt    map[string]uint64
	// changeSeq is the number of the last change to observations or droppedAt.
	changeSeq uint64
	// rings holds, by group ID, the VM names of the ring in which each group
	// was last observed complete.
	rings map[string][]string

	steward stewardState
}

// New returns the control state of a daemon that starts at now. The revision of
// its own document starts from the time in milliseconds, so that it exceeds
// those of earlier runs.
func New(set Settings, now time.Time) *Core {
	co := &Core{
		set:          set,
		started:      now,
		now:          now,
		inFlight:     make(map[string]bool),
		lastRun:      make(map[string]time.Time),
		docs:         gossip.NewTable(),
		daemons:      make(map[string]gossip.Daemon),
		pullFailures: make(map[string]int),
		state:        gossip.Serving,
		cfg:          intent.New(),
		domains:      make(map[string]fleet.Domain),
		vms:          make(map[string]fleet.VM),
		groups:       make(map[string]fleet.Group),
		groupByHash:  make(map[uint64]string),
		permits:      permit.NewTable(set.Timing.Permit),
		probing:      make(map[string]probeAssignment),
		observations: make(map[string]*observation),
		droppedAt:    make(map[string]uint64),
		rings:        make(map[string][]string),
		steward:      newSteward(),
	}
	co.publishSelf(uint64(now.UnixMilli()) << 8)
	return co
}

// Step processes one event at now and returns the resulting actions. Every
// action except BroadcastRevocation and ReleaseLease is answered by an event.
func (co *Core) Step(now time.Time, ev Event) []Action {
	co.now = now
	co.actions = nil
	switch ev := ev.(type) {
	case Tick:
		co.tick()
	case Leave:
		co.leave()
	case Probed:
		co.probed(ev)
	case ResponseStarted:
		co.responseStarted(ev)
	case Pulled:
		co.pulled(ev)
	case PullFailed:
		co.pullFailed(ev)
	case PullReceived:
		co.pullReceived(ev)
	case DocsArrived:
		co.docsArrived(ev)
	case ConfigArrived:
		co.configArrived(ev)
	case StoreRestored:
		co.steward.domainsRead = false
	case Reapplied:
		co.reapplied(ev)
	case Revoked:
		co.revoked(ev)
	case ObservationsArrived:
		co.observationsArrived(ev)
	case LeaseAcquired, LeaseRenewed, LeaseFailed, LeaseLost:
		co.leaseEvent(ev)
	case DomainsRead, DomainWritten, DomainWriteUnconfirmed:
		co.domainEvent(ev)
	case VMsRead:
		co.vmsRead(ev)
	case OrderDone:
		delete(co.inFlight, keyOrder+ev.VM)
	}
	return co.actions
}

func (co *Core) emit(ac Action) { co.actions = append(co.actions, ac) }

// emitOnce emits ac unless an action with the same key is in flight.
func (co *Core) emitOnce(key string, ac Action) {
	if co.inFlight[key] {
		return
	}
	co.inFlight[key] = true
	co.emit(ac)
}

// due reports whether at least interval has passed since it last returned true
// for key.
func (co *Core) due(key string, interval time.Duration) bool {
	if at, ok := co.lastRun[key]; ok && co.now.Sub(at) < interval {
		return false
	}
	co.lastRun[key] = co.now
	return true
}

func (co *Core) tick() {
	co.retryReapply()
	co.pullRound()
	co.probeRound()
	co.fetchInitialConfig()
	co.stewardRound()
}
