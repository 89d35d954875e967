package control

import (
	"encoding/json"
	"reflect"
	"slices"
	"time"

	"corianderhub.dev/corianderhub/internal/core/fleet"
	"corianderhub.dev/corianderhub/internal/core/gossip"
)

// The steward of a data centre writes the assignments of its fabric domains and
// sends the orders that make the engines follow them. The lease only prevents
// two daemons from working against each other. Correctness rests on the
// compare-and-swap of each domain's key: a new steward writes its epoch into
// each domain before it acts on it.

const (
	// orderTransitLimit is the longest time that an order of the previous
	// steward may be in transit. A new steward waits this long before it acts
	// if an engine does not check fencing.
	orderTransitLimit = 2 * time.Second
	// planInterval is the interval between plans.
	planInterval = 250 * time.Millisecond
	// acquireInterval is the interval between attempts to acquire the lease.
	acquireInterval = time.Second
	// revisionBits is the width of the part of a document revision that counts
	// within an epoch; the epoch is shifted left by it. An epoch, the store's revision of the
	// lease's key, needs the rest of the 64 bits.
	revisionBits = 10
	// loadBurst is the maximum number of weight loads started at once.
	loadBurst = 64
)

// stewardRole is the role of this daemon in the stewardship of its data centre.
type stewardRole int

const (
	// follower means that another daemon is, or may become, the steward.
	follower stewardRole = iota
	// leaseHolder means that this daemon is the steward and may act until
	// stewardState.actUntil.
	leaseHolder
	// expiredHolder means that the lease could not be renewed because the
	// platform is down. No other daemon can acquire it either, so this daemon
	// keeps sending orders that need no write.
	expiredHolder
)

// stewardState is the part of the Core that serves the stewardship. Except for
// announced, it is reset when this daemon becomes steward or steps down.
type stewardState struct {
	role  stewardRole
	lease string
	epoch uint64
	// actUntil is when the lease, or the time granted by a failed renewal,
	// ends. quietUntil is when orders of the previous steward can no longer
	// arrive.
	actUntil   time.Time
	quietUntil time.Time
	// domainsRead is set while stored is up to date.
	domainsRead bool
	// stored holds the assignments as last read or written, by domain name.
	stored map[string]StoredDomain
	// vms is the last list read from the platform, and vmsRead whether there was
	// one.
	vms     []fleet.VM
	vmsRead bool
	// lastOrder holds the time of the last order by VM name, and probers the
	// received observations by daemon name.
	lastOrder map[string]time.Time
	probers   map[string]*proberState
	// loadBudget is the number of weight loads that may start now, as of
	// budgetAt.
	loadBudget float64
	budgetAt   time.Time
	stats      fleet.Stats
	// servingSince holds, by group ID, the time since which each group has been
	// complete.
	servingSince map[string]time.Time
	// announced is the last known document about the steward.
	announced stewardDoc
}

// stewardDoc announces the steward of a data centre. If Name is empty there is
// none, and Former should not become the next one.
type stewardDoc struct {
	Name   string `json:"name"`
	Former string `json:"former,omitempty"`
	Epoch  uint64 `json:"epoch"`
}

func newSteward() stewardState {
	return stewardState{
		stored:    make(map[string]StoredDomain),
		lastOrder: make(map[string]time.Time),
		probers:   make(map[string]*proberState),

		servingSince: make(map[string]time.Time),
	}
}

func (co *Core) stewardDocName() string { return "stewards/" + co.set.DataCenter }

// applySteward applies the announcement of a steward. It steps down if the
// announced steward has a higher epoch.
func (co *Core) applySteward(do gossip.Doc) {
	var sd stewardDoc
	if json.Unmarshal(do.Value, &sd) != nil || !co.docs.Put(do) || do.Name != co.stewardDocName() {
		return
	}
	co.steward.announced = sd
	if co.steward.role != follower && sd.Epoch > co.steward.epoch {
		co.stepDown()
	}
}

// stepDown ends the stewardship of this daemon and releases the lease if it
// holds it.
func (co *Core) stepDown() {
	st := &co.steward
	if st.role == follower {
		return
	}
	if st.role == leaseHolder {
		co.emit(ReleaseLease{Lease: st.lease})
	}
	announced := st.announced
	*st = newSteward()
	st.announced = announced
	co.disclaimStewardship()
}

// disclaimStewardship corrects an announcement that names this daemon as
// steward although it does not hold the lease. This also happens after a
// restart: the other daemons would see this one alive, wait for it, and none
// would acquire the lease.
func (co *Core) disclaimStewardship() {
	if announced := co.steward.announced; announced.Name == co.set.Name && co.steward.role != leaseHolder {
		co.publishSteward(stewardDoc{Former: co.set.Name, Epoch: announced.Epoch})
	}
}

func (co *Core) publishSteward(sd stewardDoc) {
	co.publishInEpoch(co.stewardDocName(), sd.Epoch, sd)
}

// publishInEpoch publishes a document of the steward of an epoch. Its revision is above those of
// earlier epochs and of the document that is known.
func (co *Core) publishInEpoch(name string, epoch uint64, val any) {
	co.publish(name, max(co.docs.Get(name).Revision+1, epoch<<revisionBits), val)
}

// stewardRound does the steward's periodic work, or tries to become steward.
func (co *Core) stewardRound() {
	co.expireDead()
	st := &co.steward
	if st.role == follower {
		co.disclaimStewardship()
		co.tryAcquire()
		return
	}
	if co.due("renew", co.set.Timing.Lease/3) {
		co.emitOnce(keyLease, RenewLease{Lease: st.lease})
	}
	co.stewardReads()
	co.pullObservations()
	if co.due("plan", planInterval) {
		co.plan()
	}
}

// tryAcquire requests the lease if there is no live steward. Only the daemon
// that ranks first does so, to limit the load on the platform.
func (co *Core) tryAcquire() {
	if co.state != gossip.Serving || co.stewardAlive() || !co.cfgKnown {
		return
	}
	if !co.ranksWithin(co.candidates(), "steward/"+co.set.DataCenter, 1) {
		return
	}
	if co.due("acquire", acquireInterval) {
		co.emitOnce(keyLease, AcquireLease{})
	}
}

// candidates returns the daemons that may become steward. It leaves out the
// former steward, which may be cut off from the platform, unless that is the
// only daemon.
func (co *Core) candidates() []gossip.Daemon {
	local := co.localDaemons()
	if len(local) < 2 {
		return local
	}
	return slices.DeleteFunc(local, func(dm gossip.Daemon) bool { return dm.Name == co.steward.announced.Former })
}

// stewardAlive reports whether the announced steward is another daemon and is
// serving.
func (co *Core) stewardAlive() bool {
	name := co.steward.announced.Name
	return name != "" && name != co.set.Name && co.daemons[name].State == gossip.Serving
}

func (co *Core) leaseEvent(ev Event) {
	delete(co.inFlight, keyLease)
	st := &co.steward
	switch ev := ev.(type) {
	case LeaseAcquired:
		co.becomeSteward(ev)
	case LeaseRenewed:
		st.actUntil = ev.SentAt.Add(co.set.Timing.Lease)
		if st.role == expiredHolder {
			st.role = leaseHolder
			co.publishSteward(stewardDoc{Name: co.set.Name, Epoch: st.epoch})
		}
	case LeaseFailed:
		// Only a request that was sent after the lease expired, and failed,
		// suggests that the platform is down for all daemons. A steward that
		// was suspended has not sent such a request yet and must do so before
		// it acts again.
		if st.role != follower && ev.SentAt.After(st.actUntil) {
			st.role = expiredHolder
			st.actUntil = ev.SentAt.Add(co.set.Timing.Lease)
			// Possibly only this daemon is cut off from the platform, so the
			// others must not wait for it.
			co.disclaimStewardship()
		}
	case LeaseLost:
		if st.role != follower {
			// This daemon no longer holds the lease, so stepDown must not release it.
			st.role = expiredHolder
			co.stepDown()
		}
	}
}

// becomeSteward starts the stewardship, or releases the lease if this daemon is
// leaving.
func (co *Core) becomeSteward(ev LeaseAcquired) {
	if co.state != gossip.Serving {
		co.emit(ReleaseLease{Lease: ev.Lease})
		return
	}
	st := newSteward()
	st.role = leaseHolder
	st.lease = ev.Lease
	st.epoch = ev.Epoch
	st.actUntil = ev.SentAt.Add(co.set.Timing.Lease)
	st.quietUntil = co.now.Add(orderTransitLimit)
	st.loadBudget = loadBurst
	st.budgetAt = co.now
	co.steward = st
	co.publishSteward(stewardDoc{Name: co.set.Name, Epoch: ev.Epoch})
	co.emitOnce(keyDomains, ReadDomains{})
	co.emitOnce(keyVMs, ReadVMs{})
	co.emitOnce(SourcePlatformConfig, ReadConfig{After: co.cfg.Revision, Wait: true})
}

// stewardReads emits the reads that the steward repeats: of the domains until
// they are up to date, of the VM list, and of configuration changes.
func (co *Core) stewardReads() {
	if !co.steward.domainsRead && co.due("read-domains", time.Second) {
		co.emitOnce(keyDomains, ReadDomains{})
	}
	if co.due("read-vms", co.set.Timing.List) {
		co.emitOnce(keyVMs, ReadVMs{})
	}
	co.emitOnce(SourcePlatformConfig, ReadConfig{After: co.cfg.Revision, Wait: true})
}

// vmsRead applies and publishes the platform's VM list if it has changed.
func (co *Core) vmsRead(ev VMsRead) {
	delete(co.inFlight, keyVMs)
	st := &co.steward
	// A failed read gives no information about the VMs on the previous list.
	if ev.VMs == nil || st.role == follower {
		return
	}
	if st.vmsRead && reflect.DeepEqual(st.vms, ev.VMs) {
		return
	}
	st.vms = ev.VMs
	st.vmsRead = true
	co.publishInEpoch("vms/"+co.set.DataCenter, st.epoch, vmsDoc{co.set.DataCenter, ev.VMs})
}

// StewardStatus describes the stewardship of this data centre for status pages
// and metrics.
type StewardStatus struct {
	// Steward is the announced steward and Epoch its epoch. Mine is set if this
	// daemon has a role in the stewardship, and Acting if it holds a lease that
	// has not expired.
	Steward string      `json:"steward"`
	Epoch   uint64      `json:"epoch"`
	Mine    bool        `json:"mine"`
	Acting  bool        `json:"acting"`
	Stats   fleet.Stats `json:"account"`
}

// Steward returns the status of the stewardship as of the last event.
func (co *Core) Steward() StewardStatus {
	st := &co.steward
	return StewardStatus{
		Steward: st.announced.Name,
		Epoch:   st.announced.Epoch,
		Mine:    st.role != follower,
		Acting:  st.role == leaseHolder && co.now.Before(st.actUntil),
		Stats:   st.stats,
	}
}
