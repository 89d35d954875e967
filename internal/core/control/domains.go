package control

import (
	"slices"
	"strings"

	"corianderhub.dev/corianderhub/internal/core/fleet"
)

func (co *Core) domainEvent(ev Event) {
	st := &co.steward
	switch ev := ev.(type) {
	case DomainsRead:
		delete(co.inFlight, keyDomains+ev.Only)
		if ev.Failed || st.role == follower {
			return
		}
		for _, sd := range ev.Domains {
			co.adoptDomain(sd)
		}
		if ev.Only == "" {
			co.rewriteMissing(ev.Domains)
		}
		st.domainsRead = true
	case DomainWritten:
		delete(co.inFlight, keyWrite+ev.Domain.Name)
		if st.role != follower {
			co.adoptDomain(ev.StoredDomain)
		}
	case DomainWriteUnconfirmed:
		// The write may have taken effect although its response was lost. Only
		// reading the key shows whether it did.
		delete(co.inFlight, keyWrite+ev.Name)
		if st.role != follower {
			st.domainsRead = false
		}
	}
}

// adoptDomain uses a stored assignment as the state to plan from and publishes
// it. It writes this steward's epoch into an assignment of an earlier epoch,
// and steps down if the epoch is a later one.
func (co *Core) adoptDomain(sd StoredDomain) {
	st := &co.steward
	if sd.Domain.Epoch > st.epoch {
		co.stepDown()
		return
	}
	if sd.Revision < st.stored[sd.Domain.Name].Revision {
		return
	}
	if known := co.domains[DomainKey(co.set.DataCenter, sd.Domain.Name)]; known.Sequence > sd.Domain.Sequence {
		co.rewriteDomain(known, sd.Revision)
		return
	}
	st.stored[sd.Domain.Name] = sd
	co.publish(DomainKey(co.set.DataCenter, sd.Domain.Name), sd.Revision, sd.Domain)
	if sd.Domain.Epoch < st.epoch {
		dom := sd.Domain.Clone()
		dom.Epoch = st.epoch
		dom.Sequence++
		co.writeDomain(dom)
	}
}

// rewriteMissing writes the known assignments of this data centre that are not stored. None is ever
// deleted, so the store was restored from a copy without them.
func (co *Core) rewriteMissing(stored []StoredDomain) {
	for key, known := range co.domains {
		isStored := func(sd StoredDomain) bool { return sd.Domain.Name == known.Name }
		if key == DomainKey(co.set.DataCenter, known.Name) && !slices.ContainsFunc(stored, isStored) {
			co.rewriteDomain(known, 0)
		}
	}
}

// rewriteDomain writes an assignment to a store that was restored from a copy with an older one.
func (co *Core) rewriteDomain(known fleet.Domain, revision uint64) {
	st := &co.steward
	st.stored[known.Name] = StoredDomain{Domain: known, Revision: revision}
	dom := known.Clone()
	dom.Epoch = st.epoch
	dom.Sequence++
	co.writeDomain(dom)
}

// DomainKey returns the platform key, and document name, of a fabric domain's
// assignment. With an empty domain it returns the prefix for the data centre.
func DomainKey(dataCenter, domain string) string { return "domains/" + dataCenter + "/" + domain }

func (co *Core) writeDomain(dom fleet.Domain) {
	co.emitOnce(keyWrite+dom.Name, WriteDomain{Domain: dom, IfRevision: co.steward.stored[dom.Name].Revision})
}

// ownsDomain reports whether the stored assignment of a domain carries this
// steward's epoch or does not exist yet.
func (co *Core) ownsDomain(domain string) bool {
	sd, ok := co.steward.stored[domain]
	return !ok || sd.Domain.Epoch == co.steward.epoch
}

// DomainName returns the domain name in a key made by DomainKey.
func DomainName(key string) string { return key[strings.LastIndexByte(key, '/')+1:] }
