package control

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"
	"time"

	"corianderhub.dev/corianderhub/internal/core/fleet"
	"corianderhub.dev/corianderhub/internal/core/gossip"
)

// The steward of a data center writes the assignments of its fabric domains
// and orders the engines to follow. The lease only keeps two daemons from
// working against each other: what keeps the state right is the
// compare-and-swap of each domain's key, into which a new steward writes its
// epoch before it acts.

const (
	// quietTime is the longest time an order of a predecessor may still be on
	// its way. A new steward of engines that don't check fencing waits it out.
	quietTime = 2 * time.Second
	// planPause is the pause between two plans.
	planPause = 250 * time.Millisecond
	// acquirePause is the pause between two tries for the lease.
	acquirePause = time.Second
	// revisionBits leaves room for a steward's documents within its epoch.
	revisionBits = 20
	// loadBurst is how many weight loads may start at once after a pause.
	loadBurst = 64
)

// standing is this daemon's part in the stewardship.
type standing int

const (
	// follower: another daemon is or may be the steward.
	follower standing = iota
	// holder: the lease is held and may be used until stewardState.until.
	holder
	// caretaker: the lease can't be renewed because the platform is down. No
	// other can become steward either; orders that need no write go on.
	caretaker
)

type stewardState struct {
	standing standing
	lease    string
	epoch    uint64
	until    time.Time
	quiet    time.Time
	read     bool
	// stored holds the assignments as last read or written, by domain.
	stored  map[string]StoredDomain
	vms     []fleet.VM
	vmsRead bool
	listRev uint64
	ordered map[string]time.Time
	sources map[string]*source
	budget  float64
	spentAt time.Time
	account fleet.Stats
	// servingSince tells since when each group has been whole.
	servingSince map[string]time.Time
	// who is the steward that was announced last.
	who stewardDoc
}

// stewardDoc tells the daemons of a data center who its steward is. Name is
// empty when there is none; Former then should not be the next.
type stewardDoc struct {
	Name   string `json:"name"`
	Former string `json:"former,omitempty"`
	Epoch  uint64 `json:"epoch"`
}

func newSteward() stewardState {
	return stewardState{
		stored:  make(map[string]StoredDomain),
		ordered: make(map[string]time.Time),
		sources: make(map[string]*source),

		servingSince: make(map[string]time.Time),
	}
}

func (co *Core) stewardDocName() string { return "stewards/" + co.set.DataCenter }

func (co *Core) takeSteward(do gossip.Doc) {
	var sd stewardDoc
	if json.Unmarshal(do.Value, &sd) != nil || !co.docs.Put(do) || do.Name != co.stewardDocName() {
		return
	}
	co.steward.who = sd
	if co.steward.standing != follower && sd.Epoch > co.steward.epoch {
		co.stepDown()
	}
}

// stepDown stops acting as steward.
func (co *Core) stepDown() {
	st := &co.steward
	if st.standing == follower {
		return
	}
	if st.standing == holder {
		co.emit(ReleaseLease{Lease: st.lease})
	}
	who := st.who
	*st = newSteward()
	st.who = who
	co.disclaim()
}

// disclaim contradicts the document that names this daemon as steward when it
// is none. It also does so after a restart: the others, who see the daemon
// alive, would wait for it and nobody would go for the lease.
func (co *Core) disclaim() {
	if who := co.steward.who; who.Name == co.set.Name && co.steward.standing != holder {
		co.publishSteward(stewardDoc{Former: co.set.Name, Epoch: who.Epoch})
	}
}

func (co *Core) publishSteward(sd stewardDoc) {
	co.publish(co.stewardDocName(), co.docs.Get(co.stewardDocName()).Revision+1, sd)
}

func (co *Core) stewardRound() {
	co.forgetDead()
	st := &co.steward
	if st.standing == follower {
		co.disclaim()
		co.tryAcquire()
		return
	}
	if co.every("renew", co.set.Timing.Lease/3) {
		co.emitOnce(flyLease, RenewLease{Lease: st.lease})
	}
	co.stewardReads()
	co.pullSightings()
	if co.every("plan", planPause) {
		co.plan()
	}
}

// tryAcquire goes for the lease when no living steward is known, and only the
// daemon that ranks first does, so that the platform is not asked by all.
func (co *Core) tryAcquire() {
	if co.state != gossip.Serving || co.stewardLives() || !co.cfgKnown {
		return
	}
	if !co.ranked(co.candidates(), "steward/"+co.set.DataCenter, 1) {
		return
	}
	if co.every("acquire", acquirePause) {
		co.emitOnce(flyLease, AcquireLease{})
	}
}

// candidates returns the daemons that may become steward: not the former one,
// which may be cut off from the platform, unless it is the only one.
func (co *Core) candidates() []gossip.Daemon {
	near := co.near()
	if len(near) < 2 {
		return near
	}
	return slices.DeleteFunc(near, func(dm gossip.Daemon) bool { return dm.Name == co.steward.who.Former })
}

func (co *Core) stewardLives() bool {
	name := co.steward.who.Name
	return name != "" && name != co.set.Name && co.daemons[name].State == gossip.Serving
}

func (co *Core) leaseEvent(ev Event) {
	delete(co.flying, flyLease)
	st := &co.steward
	switch ev := ev.(type) {
	case LeaseAcquired:
		co.becomeSteward(ev)
	case LeaseRenewed:
		st.until = ev.SentAt.Add(co.set.Timing.Lease)
		if st.standing == caretaker {
			st.standing = holder
			co.publishSteward(stewardDoc{Name: co.set.Name, Epoch: st.epoch})
		}
	case LeaseFailed:
		// Only a failure met after the lease ran out shows that the platform
		// is down for others too. A steward that was frozen has not met one
		// and must ask before it acts again.
		if st.standing != follower && ev.SentAt.After(st.until) {
			st.standing = caretaker
			st.until = ev.SentAt.Add(co.set.Timing.Lease)
			// It may be this daemon alone that can't reach the platform: the
			// others must not wait for it.
			co.disclaim()
		}
	case LeaseLost:
		if st.standing != follower {
			st.standing = caretaker
			co.stepDown()
		}
	}
}

func (co *Core) becomeSteward(ev LeaseAcquired) {
	if co.state != gossip.Serving {
		co.emit(ReleaseLease{Lease: ev.Lease})
		return
	}
	st := newSteward()
	st.standing = holder
	st.lease = ev.Lease
	st.epoch = ev.Epoch
	st.until = ev.SentAt.Add(co.set.Timing.Lease)
	st.quiet = co.now.Add(quietTime)
	st.budget = loadBurst
	st.spentAt = co.now
	co.steward = st
	co.publish(co.stewardDocName(), ev.Epoch<<revisionBits, stewardDoc{Name: co.set.Name, Epoch: ev.Epoch})
	co.emitOnce(flyDomains, ReadDomains{})
	co.emitOnce(flyVMs, ReadVMs{})
	co.emitOnce(SourcePlatformConfig, ReadConfig{After: co.cfg.Revision, Wait: true})
}

func (co *Core) stewardReads() {
	if !co.steward.read && co.every("read-domains", time.Second) {
		co.emitOnce(flyDomains, ReadDomains{})
	}
	if co.every("read-vms", co.set.Timing.List) {
		co.emitOnce(flyVMs, ReadVMs{})
	}
	co.emitOnce(SourcePlatformConfig, ReadConfig{After: co.cfg.Revision, Wait: true})
}

func (co *Core) vmsRead(ev VMsRead) {
	delete(co.flying, flyVMs)
	st := &co.steward
	// A list that can't be read says nothing of the VMs on the last one.
	if ev.VMs == nil || st.standing == follower {
		return
	}
	if st.vmsRead && reflect.DeepEqual(st.vms, ev.VMs) {
		return
	}
	st.vms = ev.VMs
	st.vmsRead = true
	st.listRev++
	co.publish("vms/"+co.set.DataCenter, st.epoch<<revisionBits+st.listRev, vmsDoc{co.set.DataCenter, ev.VMs})
}

func (co *Core) domainEvent(ev Event) {
	st := &co.steward
	switch ev := ev.(type) {
	case DomainsRead:
		delete(co.flying, flyDomains+ev.Only)
		if ev.Failed || st.standing == follower {
			return
		}
		for _, sd := range ev.Domains {
			co.adopt(sd)
		}
		st.read = true
	case DomainWritten:
		delete(co.flying, flyWrite+ev.Domain.Name)
		if st.standing != follower {
			co.adopt(ev.StoredDomain)
		}
	case DomainWriteUnconfirmed:
		// The write may be our own that took effect without an answer: only
		// reading tells.
		delete(co.flying, flyWrite+ev.Name)
		if st.standing != follower {
			st.read = false
		}
	}
}

// adopt takes a stored assignment as the state to plan from and publishes it.
func (co *Core) adopt(sd StoredDomain) {
	st := &co.steward
	if sd.Domain.Epoch > st.epoch {
		co.stepDown()
		return
	}
	if sd.Revision < st.stored[sd.Domain.Name].Revision {
		return
	}
	st.stored[sd.Domain.Name] = sd
	co.publish(DomainKey(co.set.DataCenter, sd.Domain.Name), sd.Revision, sd.Domain)
	if sd.Domain.Epoch < st.epoch {
		dom := sd.Domain.Clone()
		dom.Epoch = st.epoch
		dom.Sequence++
		co.write(dom)
	}
}

// DomainKey returns the key of a fabric domain's assignment.
func DomainKey(dataCenter, domain string) string { return "domains/" + dataCenter + "/" + domain }

func (co *Core) write(dom fleet.Domain) {
	co.emitOnce(flyWrite+dom.Name, WriteDomain{Domain: dom, IfRevision: co.steward.stored[dom.Name].Revision})
}

// input returns what a plan depends on now.
func (co *Core) input() fleet.Input {
	st := &co.steward
	in := fleet.Input{
		Now:        co.now,
		DataCenter: co.set.DataCenter,
		Config:     co.cfg,
		VMs:        st.vms,
		Domains:    make(map[string]fleet.Domain, len(st.stored)),
		Observed:   co.merged(),
		LastOrder:  st.ordered,
		Epoch:      st.epoch,

		ServingSince: st.servingSince,
		LoadBudget:   int(st.budget),
		DrainAfter:   co.set.Timing.Permit,
		Policy:       co.set.Policy,
	}
	for name, sd := range st.stored {
		in.Domains[name] = sd.Domain
	}
	return in
}

// plan carries out one plan as far as the lease allows.
func (co *Core) plan() {
	st := &co.steward
	if !st.read || !st.vmsRead || !co.cfgKnown || !co.now.Before(st.until) {
		return
	}
	co.refill()
	in := co.input()
	st.account = fleet.Count(in)
	co.noteServing()
	if co.now.Before(st.quiet) && !co.allCheckFencing() {
		return
	}
	out := fleet.Plan(in)
	for _, dom := range out.Writes {
		if st.standing == holder && co.taken(dom.Name) {
			co.write(dom)
		}
	}
	for _, or := range out.Orders {
		co.sendOrder(or)
	}
}

// noteServing keeps since when each group has been whole.
func (co *Core) noteServing() {
	st := &co.steward
	since := make(map[string]time.Time)
	for _, group := range st.account.Whole {
		since[group] = co.now
		if at, ok := st.servingSince[group]; ok {
			since[group] = at
		}
	}
	st.servingSince = since
}

// taken tells whether this steward's epoch is written in the domain, or the
// domain has no key yet.
func (co *Core) taken(domain string) bool {
	sd, ok := co.steward.stored[domain]
	return !ok || sd.Domain.Epoch == co.steward.epoch
}

func (co *Core) allCheckFencing() bool {
	for _, mo := range co.cfg.Models {
		if !mo.ChecksFencing {
			return false
		}
	}
	return true
}

func (co *Core) sendOrder(or fleet.Order) {
	st := &co.steward
	vm := or.Target()
	if co.flying[flyOrder+vm.Name] || !co.taken(vm.Domain) {
		return
	}
	switch or := or.(type) {
	case fleet.Join:
		if or.Loads {
			st.budget--
		}
	case fleet.Prepare:
		st.budget--
	case fleet.Release:
	}
	st.ordered[vm.Name] = co.now
	co.emitOnce(flyOrder+vm.Name, SendOrder{Order: or})
}

// refill paces weight loads for the weight store's limit.
func (co *Core) refill() {
	st := &co.steward
	rate := co.cfg.Policy.LoadsPerMinute
	if rate == 0 {
		st.budget = loadBurst
		return
	}
	st.budget += co.now.Sub(st.spentAt).Minutes() * float64(rate)
	st.budget = min(st.budget, float64(rate), loadBurst)
	st.spentAt = co.now
}

// StewardStatus describes the stewardship for status pages and metrics.
type StewardStatus struct {
	Steward string      `json:"steward"`
	Epoch   uint64      `json:"epoch"`
	Mine    bool        `json:"mine"`
	Acting  bool        `json:"acting"`
	Stats   fleet.Stats `json:"account"`
}

// Steward returns the state of the stewardship.
func (co *Core) Steward() StewardStatus {
	st := &co.steward
	return StewardStatus{
		Steward: st.who.Name,
		Epoch:   st.who.Epoch,
		Mine:    st.standing != follower,
		Acting:  st.standing == holder && co.now.Before(st.until),
		Stats:   st.account,
	}
}

// DomainName returns the domain's name within a domain key.
func DomainName(key string) string { return key[strings.LastIndexByte(key, '/')+1:] }
