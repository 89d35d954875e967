package control

import (
	"corianderhub.dev/corianderhub/internal/core/fleet"
	"corianderhub.dev/corianderhub/internal/core/gossip"
	"corianderhub.dev/corianderhub/internal/core/intent"
	"corianderhub.dev/corianderhub/internal/core/permit"
)

// View is what traffic needs to know of the control state. It is not changed
// after it was made, so that other goroutines may read it.
type View struct {
	Config *intent.Config
	// Ready means that the configuration is known and the daemon stays.
	Ready   bool
	Leaving bool
	// Groups are the groups of the region that may be sent to, until their
	// permits expire.
	Groups []Target
	// Daemons are all known daemons, this one included.
	Daemons []gossip.Daemon
	Steward StewardStatus
	// index finds a group in Groups.
	index map[string]int
}

// Target is a group that requests may be sent to.
type Target struct {
	Group   fleet.Group
	Permit  permit.Permit
	Address string
	// Near means that the group is in this daemon's data center.
	Local bool
}

// View returns the present view.
func (co *Core) View() *View {
	vi := &View{
		Config:  co.cfg,
		Ready:   co.cfgKnown && co.state == gossip.Serving,
		Leaving: co.state == gossip.Leaving,
		Steward: co.Steward(),
		index:   make(map[string]int),
	}
	for _, name := range sortedKeys(co.daemons) {
		vi.Daemons = append(vi.Daemons, co.daemons[name])
	}
	for _, key := range sortedKeys(co.domains) {
		dom := co.domains[key]
		for _, gr := range dom.Groups {
			pe, ok := co.permits.Permit(gr, co.now)
			if !ok || !gr.DrainingSince.IsZero() {
				continue
			}
			leader, ok := gr.Member(pe.Leader)
			if !ok {
				continue
			}
			vi.index[gr.ID] = len(vi.Groups)
			vi.Groups = append(vi.Groups, Target{Group: gr, Permit: pe, Address: leader.Address, Local: dom.DataCenter == co.set.DataCenter})
		}
	}
	return vi
}

// Domains returns the known assignments for status pages.
func (co *Core) Domains() []fleet.Domain {
	var doms []fleet.Domain
	for _, key := range sortedKeys(co.domains) {
		doms = append(doms, co.domains[key])
	}
	return doms
}

// Find returns the target of that group.
func (vi *View) Find(group string) (Target, bool) {
	ix, ok := vi.index[group]
	if !ok {
		return Target{}, false
	}
	return vi.Groups[ix], true
}
