package catalog

import "slices"

// View holds the endpoints and groups that a daemon routes requests to. It is
// replaced as a whole and never modified.
type View struct {
	// Term is the term of the steward that published the view, Sequence the
	// number of the view within it. A view that a daemon built from the store
	// has term 0.
	Term     int64 `json:"term"`
	Sequence int64 `json:"sequence"`
	// Revision is the store's revision that the view is based on, in the given era.
	Revision int64 `json:"revision"`
	Era      int64 `json:"era,omitempty"`
	// Plain lists the endpoints of services without groups.
	Plain  []PlainEndpoint `json:"plain"`
	Groups []Group         `json:"groups"`
}

// PlainEndpoint is an endpoint that serves without a group.
type PlainEndpoint struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	Address    string `json:"address"`
	DataCenter string `json:"data-center"`
	Slots      int    `json:"slots"`
	Leaving    bool   `json:"leaving,omitempty"`
	// Incarnation is the incarnation of the process that the view refers to.
	Incarnation Incarnation `json:"incarnation,omitempty"`
	// Cold endpoints tolerate only the rate of requests that their service sets.
	Cold bool `json:"cold,omitempty"`
}

// Instance returns the instance that the view refers to.
func (pe *PlainEndpoint) Instance() Instance { return Instance{pe.ID, pe.Incarnation} }

// Group is a complete group whose leader is open.
type Group struct {
	Name       string   `json:"name"`
	Epoch      int64    `json:"epoch"`
	Service    string   `json:"service"`
	Model      string   `json:"model"`
	DataCenter string   `json:"data-center"`
	Members    []Member `json:"members"`
	// Draining groups finish the requests that they have and accept no new ones.
	Draining bool `json:"leaving,omitempty"`
	// Reassigned is set if the group drains only because its members are to load another model.
	// It could serve on if the steward that decided this is lost.
	Reassigned bool `json:"reassigned,omitempty"`
	// Slowness is that of the slowest member.
	Slowness float64 `json:"slowness,omitempty"`
	// Cold is set while the leader is cold.
	Cold bool `json:"cold,omitempty"`
}

// Leader returns the member that accepts the requests.
func (gr *Group) Leader() Member { return gr.Members[0] }

// Member is an endpoint of a group. Members are listed in order of rank.
type Member struct {
	ID      string `json:"id" cbor:"1,keyasint"`
	Address string `json:"address" cbor:"2,keyasint"`
	// Incarnation is the incarnation in which the endpoint joined the group.
	Incarnation Incarnation `json:"incarnation,omitempty" cbor:"3,keyasint,omitempty"`
}

// Instance returns the instance that joined the group.
func (me *Member) Instance() Instance { return Instance{me.ID, me.Incarnation} }

// Valid reports whether every group has a leader.
func (vi *View) Valid() bool {
	return !slices.ContainsFunc(vi.Groups, func(gr Group) bool { return len(gr.Members) == 0 })
}

// Newer reports whether vi replaces other. Two views of stewards are ordered by
// term, then by sequence. If one of the two was built from the store, they are
// ordered by position, and vi also replaces a view of the same position.
func (vi *View) Newer(other *View) bool {
	if other == nil {
		return true
	}
	if vi.Term != 0 && other.Term != 0 {
		return vi.Term > other.Term || vi.Term == other.Term && vi.Sequence > other.Sequence
	}
	return !vi.Position().Before(other.Position())
}

// Position returns the position in the store's history that the view is based on.
func (vi *View) Position() Position { return Position{Era: vi.Era, Revision: vi.Revision} }

// Instances returns the instances that requests are sent to: the endpoints
// without groups and the leaders of the groups.
func (vi *View) Instances() []Instance {
	var instances []Instance
	for i := range vi.Plain {
		instances = append(instances, vi.Plain[i].Instance())
	}
	for _, gr := range vi.Groups {
		instances = append(instances, gr.Members[0].Instance())
	}
	return instances
}

// Drained returns a copy of the view in which the endpoints and groups of the data centres for
// which evacuated is true accept no new requests.
func (vi *View) Drained(evacuated func(dataCenter string) bool) *View {
	drained := *vi
	drained.Plain, drained.Groups = slices.Clone(vi.Plain), slices.Clone(vi.Groups)
	for i := range drained.Plain {
		ep := &drained.Plain[i]
		ep.Leaving = ep.Leaving || evacuated(ep.DataCenter)
	}
	for i := range drained.Groups {
		gr := &drained.Groups[i]
		gr.Draining = gr.Draining || evacuated(gr.DataCenter)
	}
	return &drained
}

// WithoutReassignments returns a copy of the view in which the groups that drain only to be
// reassigned accept requests.
func (vi *View) WithoutReassignments() *View {
	open := *vi
	open.Groups = slices.Clone(vi.Groups)
	for i := range open.Groups {
		if gr := &open.Groups[i]; gr.Reassigned {
			gr.Draining, gr.Reassigned = false, false
		}
	}
	return &open
}

// Without returns a copy of the view without the plain endpoints for which
// ended is true and without the groups for whose leaders it is true.
func (vi *View) Without(ended func(li Instance) bool) *View {
	rest := *vi
	rest.Plain = slices.DeleteFunc(slices.Clone(vi.Plain), func(ep PlainEndpoint) bool { return ended(ep.Instance()) })
	rest.Groups = slices.DeleteFunc(slices.Clone(vi.Groups), func(gr Group) bool { return ended(gr.Members[0].Instance()) })
	return &rest
}
