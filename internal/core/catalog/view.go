package catalog

import "slices"

// View is what a daemon routes by: the endpoints and the groups that serve.
// It is replaced as a whole and never changed.
type View struct {
	// Term is the steward's, Sequence counts its views. A view that a daemon
	// built itself from the store has term 0.
	Term     int64 `json:"term"`
	Sequence int64 `json:"sequence"`
	// Revision is the store's revision that the endpoints are known at.
	Revision int64 `json:"revision"`
	// Plain are the endpoints of services without groups.
	Plain  []PlainEndpoint `json:"plain"`
	Groups []Group         `json:"groups"`
}

// PlainEndpoint is an endpoint that serves by itself.
type PlainEndpoint struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	Address    string `json:"address"`
	DataCenter string `json:"data-center"`
	Slots      int    `json:"slots"`
	Leaving    bool   `json:"leaving,omitempty"`
	// Incarnation is the process's life that the view speaks of.
	Incarnation Incarnation `json:"incarnation,omitempty"`
}

// Life returns the life that the view speaks of.
func (pe *PlainEndpoint) Instance() Instance { return Instance{pe.ID, pe.Incarnation} }

// Group is a whole group whose head is open.
type Group struct {
	Name       string   `json:"name"`
	Epoch      int64    `json:"epoch"`
	Service    string   `json:"service"`
	Model      string   `json:"model"`
	DataCenter string   `json:"data-center"`
	Members    []Member `json:"members"`
	// Leaving groups finish what they have and take nothing new.
	Leaving bool `json:"leaving,omitempty"`
	// Slowness is that of the slowest member.
	Slowness float64 `json:"slowness,omitempty"`
}

// Head is the member that takes the requests.
func (gr *Group) Head() Member { return gr.Members[0] }

// Member is an endpoint of a group, in the order of its rank.
type Member struct {
	ID      string `json:"id" cbor:"1,keyasint"`
	Address string `json:"address" cbor:"2,keyasint"`
	// Incarnation is the life in which the endpoint joined the group.
	Incarnation Incarnation `json:"incarnation,omitempty" cbor:"3,keyasint,omitempty"`
}

// Life returns the life in which the endpoint joined the group.
func (me *Member) Instance() Instance { return Instance{me.ID, me.Incarnation} }

// Newer tells whether a view replaces another. Views are ordered by term and
// sequence; one built from the store replaces an older one by its revision.
func (vi *View) Newer(than *View) bool {
	if than == nil {
		return true
	}
	if vi.Term != 0 && than.Term != 0 {
		return vi.Term > than.Term || vi.Term == than.Term && vi.Sequence > than.Sequence
	}
	return vi.Revision >= than.Revision
}

// Lives returns the endpoints that requests are sent to by the view: those without
// groups, and the groups' heads.
func (vi *View) Instances() []Instance {
	var lives []Instance
	for i := range vi.Plain {
		lives = append(lives, vi.Plain[i].Instance())
	}
	for _, gr := range vi.Groups {
		lives = append(lives, gr.Members[0].Instance())
	}
	return lives
}

// Without returns the view without the endpoints for which gone is true and
// without the groups whose heads they are.
func (vi *View) Without(gone func(li Instance) bool) *View {
	left := *vi
	left.Plain = slices.DeleteFunc(slices.Clone(vi.Plain), func(ep PlainEndpoint) bool { return gone(ep.Instance()) })
	left.Groups = slices.DeleteFunc(slices.Clone(vi.Groups), func(gr Group) bool { return gone(gr.Members[0].Instance()) })
	return &left
}
