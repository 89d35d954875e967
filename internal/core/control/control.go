// Package control is the daemon's control state: events in, actions out,
// without input or output of its own. The daemon feeds it from one goroutine
// and carries out its actions; a test or a recorded trace can do the same.
//
// It joins four parts: the documents that daemons copy from each other, the
// probing of endpoints with the permits that follow, the configuration, and
// the steward's work for its data center.
package control

import (
	"time"

	"corianderhub.dev/corianderhub/internal/core/chain"
	"corianderhub.dev/corianderhub/internal/core/fleet"
	"corianderhub.dev/corianderhub/internal/core/gossip"
	"corianderhub.dev/corianderhub/internal/core/intent"
	"corianderhub.dev/corianderhub/internal/core/permit"
)

// Settings are fixed for the life of a Core.
type Settings struct {
	Name       string
	DataCenter string
	Region     string
	// Caller and Peer are this daemon's addresses for callers and daemons.
	Caller string
	Peer   string
	// Seeds are peer addresses to start from.
	Seeds  []string
	Timing Timing
	// Policy selects the planner's decisions.
	Policy fleet.Policy
}

// Timing holds the intervals of the control work.
type Timing struct {
	// Probe is the pause between two probes of a VM whose group has no newer
	// evidence; Sweep is the pause while requests prove the group whole.
	Probe time.Duration
	Sweep time.Duration
	// Permit is the lifetime of evidence.
	Permit time.Duration
	// Pull is the pause between two rounds of pulls from peers.
	Pull time.Duration
	// Lease is the steward's lease, List the pause between two reads of the
	// list of VMs.
	Lease time.Duration
	List  time.Duration
	// ProbeBytes is what probing may cost in bytes a second; the pause
	// between probes grows with the number of VMs to stay below it.
	ProbeBytes int
}

// DefaultTiming suits some dozens of VMs in each data center.
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
	// pullPeers is how many peers are pulled from in a round.
	pullPeers = 3
	// nearPartners and farPartners are how many daemons of its own data center
	// and of others a daemon pulls from, besides the next by name.
	nearPartners = 5
	farPartners  = 3
	// probers is how many daemons probe a group.
	probers = 2
	// probeCost is what one probe takes on the wire, both ways, in bytes.
	probeCost = 400
	// deadAfter is how many pulls in a row must fail before a daemon is
	// declared dead.
	deadAfter = 3
	// keptEntries is how many configuration entries are kept for peers.
	keptEntries = 4 * chain.SnapshotEvery
	// bootWait is how long a new daemon asks its peers for the configuration
	// before it asks the platform.
	bootWait = time.Second
)

// Core is the control state of one daemon. Make it with New.
type Core struct {
	set     Settings
	started time.Time
	now     time.Time
	acts    []Action
	// flying marks actions whose answer is awaited.
	flying map[string]bool
	// sent holds when a repeated action was last emitted, by its key.
	sent map[string]time.Time

	docs    *gossip.Table
	daemons map[string]gossip.Daemon
	fails   map[string]int
	suspect []string
	round   uint64
	state   gossip.State

	cfg      *intent.Config
	cfgKnown bool
	entries  []chain.Entry

	domains map[string]fleet.Domain
	vms     map[string]fleet.VM
	groups  map[string]fleet.Group
	byHash  map[uint64]string
	permits *permit.Table
	probing map[string]assignment
	seen    map[string]*sighting
	dropped map[string]uint64
	changes uint64
	rings   map[string][]string

	steward stewardState
}

// New returns the control state of a daemon that starts at now.
func New(set Settings, now time.Time) *Core {
	co := &Core{
		set:     set,
		started: now,
		now:     now,
		flying:  make(map[string]bool),
		sent:    make(map[string]time.Time),
		docs:    gossip.NewTable(),
		daemons: make(map[string]gossip.Daemon),
		fails:   make(map[string]int),
		state:   gossip.Serving,
		cfg:     intent.New(),
		domains: make(map[string]fleet.Domain),
		vms:     make(map[string]fleet.VM),
		groups:  make(map[string]fleet.Group),
		byHash:  make(map[uint64]string),
		permits: permit.NewTable(set.Timing.Permit),
		probing: make(map[string]assignment),
		seen:    make(map[string]*sighting),
		dropped: make(map[string]uint64),
		rings:   make(map[string][]string),
		steward: newSteward(),
	}
	co.publishSelf(uint64(now.UnixMilli()) << 8)
	return co
}

// Step takes one event at now and returns the actions that follow from it.
// Every action other than Announce is answered by an event.
func (co *Core) Step(now time.Time, ev Event) []Action {
	co.now = now
	co.acts = nil
	switch ev := ev.(type) {
	case Tick:
		co.tick()
	case Leave:
		co.leave()
	case Probed:
		co.probed(ev)
	case ResponseStarted:
		co.answered(ev)
	case Pulled:
		co.pulled(ev)
	case PullFailed:
		co.pullFailed(ev)
	case PullReceived:
		co.asked(ev)
	case DocsArrived:
		co.docsArrived(ev)
	case ConfigArrived:
		co.configArrived(ev)
	case Revoked:
		co.revoked(ev)
	case ObservationsArrived:
		co.sightingsArrived(ev)
	case LeaseAcquired, LeaseRenewed, LeaseFailed, LeaseLost:
		co.leaseEvent(ev)
	case DomainsRead, DomainWritten, DomainWriteUnconfirmed:
		co.domainEvent(ev)
	case VMsRead:
		co.vmsRead(ev)
	case OrderDone:
		delete(co.flying, flyOrder+ev.VM)
	}
	return co.acts
}

func (co *Core) emit(ac Action) { co.acts = append(co.acts, ac) }

// emitOnce emits an action unless an earlier one under that key is awaited.
func (co *Core) emitOnce(key string, ac Action) {
	if co.flying[key] {
		return
	}
	co.flying[key] = true
	co.emit(ac)
}

// every tells whether pause has passed since it last said so for key.
func (co *Core) every(key string, pause time.Duration) bool {
	if at, ok := co.sent[key]; ok && co.now.Sub(at) < pause {
		return false
	}
	co.sent[key] = co.now
	return true
}

func (co *Core) tick() {
	co.pullRound()
	co.probeRound()
	co.bootConfig()
	co.stewardRound()
}
