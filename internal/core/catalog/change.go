package catalog

import (
	"reflect"
	"slices"
)

// Change is the difference between two views of one steward. A repair changes
// one or two groups of many; the whole view of 300 VMs is some 16 KB, a change
// 1 KB at most.
type Change struct {
	// Term, From and Sequence tell which view it makes of which.
	Term     int64 `cbor:"1,keyasint"`
	From     int64 `cbor:"2,keyasint"`
	Sequence int64 `cbor:"3,keyasint"`
	Revision int64 `cbor:"4,keyasint"`
	// Groups are new, or replace those of the same names; Removed are names.
	Groups  []Group  `cbor:"5,keyasint,omitempty"`
	Removed []string `cbor:"6,keyasint,omitempty"`
	// Plain are all endpoints without groups if PlainChanged is set.
	PlainChanged bool            `cbor:"7,keyasint,omitempty"`
	Plain        []PlainEndpoint `cbor:"8,keyasint,omitempty"`
}

// ChangeTo returns what makes the next view of this one.
func (vi *View) ChangeTo(next *View) *Change {
	ch := &Change{Term: next.Term, From: vi.Sequence, Sequence: next.Sequence, Revision: next.Revision}
	before := make(map[string]Group, len(vi.Groups))
	for _, gr := range vi.Groups {
		before[gr.Name] = gr
	}
	for _, gr := range next.Groups {
		if old, ok := before[gr.Name]; !ok || !reflect.DeepEqual(old, gr) {
			ch.Groups = append(ch.Groups, gr)
		}
		delete(before, gr.Name)
	}
	for name := range before {
		ch.Removed = append(ch.Removed, name)
	}
	slices.Sort(ch.Removed)
	if !reflect.DeepEqual(vi.Plain, next.Plain) {
		ch.PlainChanged, ch.Plain = true, next.Plain
	}
	return ch
}

// Apply returns the view that a change makes of this one, or nil if the change
// is for another view: the whole view is then to be fetched.
func (vi *View) Apply(ch *Change) *View {
	if vi == nil || vi.Term != ch.Term || vi.Sequence != ch.From {
		return nil
	}
	next := &View{Term: ch.Term, Sequence: ch.Sequence, Revision: ch.Revision, Plain: vi.Plain}
	if ch.PlainChanged {
		next.Plain = ch.Plain
	}
	for _, gr := range vi.Groups {
		replaced := slices.ContainsFunc(ch.Groups, func(other Group) bool { return other.Name == gr.Name })
		if !replaced && !slices.Contains(ch.Removed, gr.Name) {
			next.Groups = append(next.Groups, gr)
		}
	}
	next.Groups = append(next.Groups, ch.Groups...)
	return next
}

// Members counts the VMs that a change names, which makes its size.
func (ch *Change) Members() int {
	num := len(ch.Plain)
	for _, gr := range ch.Groups {
		num += len(gr.Members)
	}
	return num
}
