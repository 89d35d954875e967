package catalog

import (
	"maps"
	"slices"
)

// ViewFromEntries builds a view from the endpoints' entries in the store alone,
// for a daemon that receives no views from a steward. Entries lag, so a group
// of the previous view stays while its leader is registered and does not report
// otherwise.
func ViewFromEntries(endpoints map[string]Endpoint, cfg *Config, previous *View, at Position) *View {
	vi := &View{Revision: at.Revision, Era: at.Era, Plain: PlainEndpoints(endpoints, cfg)}
	if previous != nil {
		for _, gr := range previous.Groups {
			if gr.stillOpen(endpoints) {
				gr.Cold = endpoints[gr.Leader().ID].Cold
				vi.Groups = append(vi.Groups, gr)
			}
		}
	}
	for _, gr := range openGroups(endpoints, cfg) {
		if !slices.ContainsFunc(vi.Groups, func(kept Group) bool { return kept.Name == gr.Name && kept.Epoch == gr.Epoch }) {
			vi.Groups = append(vi.Groups, gr)
		}
	}
	return vi
}

// stillOpen reports whether a group of a previous view may still be used: its
// leader is registered, is not leaving and reports no other group or state, and
// no member has restarted.
func (gr *Group) stillOpen(endpoints map[string]Endpoint) bool {
	leader, ok := endpoints[gr.Leader().ID]
	if !ok || leader.Leaving {
		return false
	}
	if gr.restarted(endpoints) {
		return false
	}
	mb := leader.Member
	return mb == nil || mb.Group == gr.Name && mb.Epoch == gr.Epoch && (mb.State == Open || mb.State == Ready)
}

// restarted reports whether a member has restarted since it joined. Such a
// member has lost the group's state, and requests sent to the leader would stall.
func (gr *Group) restarted(endpoints map[string]Endpoint) bool {
	return slices.ContainsFunc(gr.Members, func(me Member) bool {
		ep, ok := endpoints[me.ID]
		return ok && ep.Incarnation.Differs(me.Incarnation)
	})
}

// openGroups returns the complete groups whose leaders report that they are open.
func openGroups(endpoints map[string]Endpoint, cfg *Config) []Group {
	var groups []Group
	for _, id := range slices.Sorted(maps.Keys(endpoints)) {
		leader := endpoints[id]
		if mb := leader.Member; mb == nil || mb.State != Open || mb.Rank != 0 || leader.Leaving {
			continue
		}
		if gr, ok := completeGroup(leader, endpoints, cfg); ok {
			groups = append(groups, gr)
		}
	}
	return groups
}

// completeGroup returns the group of the given leader if all its members are
// registered in the same epoch.
func completeGroup(leader Endpoint, endpoints map[string]Endpoint, cfg *Config) (Group, bool) {
	se := cfg.Services[leader.Service]
	if se.Engine == nil {
		return Group{}, false
	}
	mo, ok := se.Engine.Model(leader.Loaded)
	if !ok {
		return Group{}, false
	}
	gr := Group{Name: leader.Member.Group, Epoch: leader.Member.Epoch, Service: leader.Service, Model: mo.Name,
		DataCenter: leader.DataCenter, Members: make([]Member, mo.Size), Cold: leader.Cold}
	found := 0
	for _, ep := range endpoints {
		mb := ep.Member
		if mb == nil || mb.Group != gr.Name || mb.Epoch != gr.Epoch || mb.Rank < 0 || mb.Rank >= mo.Size {
			continue
		}
		gr.Members[mb.Rank] = Member{ID: ep.ID, Address: ep.Address, Incarnation: ep.Incarnation}
		gr.Draining = gr.Draining || ep.Leaving
		found++
	}
	return gr, found == mo.Size
}

// PlainEndpoints returns the endpoints of services without groups, sorted by
// ID.
func PlainEndpoints(endpoints map[string]Endpoint, cfg *Config) []PlainEndpoint {
	var plain []PlainEndpoint
	for _, id := range slices.Sorted(maps.Keys(endpoints)) {
		ep := endpoints[id]
		if se, ok := cfg.Services[ep.Service]; ok && se.Engine != nil {
			continue
		}
		plain = append(plain, PlainEndpoint{ID: ep.ID, Service: ep.Service, Address: ep.Address,
			DataCenter: ep.DataCenter, Slots: ep.Slots, Leaving: ep.Leaving, Incarnation: ep.Incarnation, Cold: ep.Cold})
	}
	return plain
}
