package control

import (
	"corianderhub.dev/corianderhub/internal/core/fleet"
	"corianderhub.dev/corianderhub/internal/core/gossip"
	"corianderhub.dev/corianderhub/internal/core/intent"
	"corianderhub.dev/corianderhub/internal/core/permit"
)

// View is a snapshot of the control state for request dispatch and status
// pages. It is immutable and safe for concurrent use.
type View struct {
	Config *intent.Config
	// Ready is set if the configuration is known and the daemon is not leaving.
	Ready   bool
	Leaving bool
	// Groups are the groups that requests may be sent to, each until its permit
	// expires.
	Groups []Target
	// Daemons are all known daemons, including this one and dead ones, in order
	// of name.
	Daemons []gossip.Daemon
	Steward StewardStatus
	// index maps a group ID to its position in Groups.
	index map[string]int
}

// Target is a group that requests may be sent to. Address is that of its
// leader.
type Target struct {
	Group   fleet.Group
	Permit  permit.Permit
	Address string
	// Local reports whether the group is in this daemon's data centre.
	Local bool
}

// View returns a snapshot of the state as of the last event. It leaves out
// draining groups.
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

// Domains returns the known assignments of all data centres, in order of data
// centre and name.
func (co *Core) Domains() []fleet.Domain {
	var doms []fleet.Domain
	for _, key := range sortedKeys(co.domains) {
		doms = append(doms, co.domains[key])
	}
	return doms
}

// Find returns the target with the given group ID, and whether there is one.
func (vi *View) Find(group string) (Target, bool) {
	ix, ok := vi.index[group]
	if !ok {
		return Target{}, false
	}
	return vi.Groups[ix], true
}
