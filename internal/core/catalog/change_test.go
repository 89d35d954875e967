package catalog

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against a difference between daemons that apply the changes of a
// steward's views one after the other and daemons that fetch the whole view.
func TestApplyChanges(t *testing.T) {
	rd := rand.New(rand.NewPCG(1, 2))
	current := &View{Term: 7}
	applied := current
	for range 500 {
		next := &View{Term: 7, Sequence: current.Sequence + 1, Revision: current.Revision + 3, Plain: current.Plain}
		for _, gr := range current.Groups {
			switch rd.IntN(8) {
			case 0:
				continue
			case 1:
				gr.Draining = !gr.Draining
			}
			next.Groups = append(next.Groups, gr)
		}
		for range rd.IntN(3) {
			name := fmt.Sprint("group-", next.Sequence, "-", len(next.Groups))
			next.Groups = append(next.Groups, Group{Name: name, Members: []Member{{ID: name}}})
		}
		if rd.IntN(5) == 0 {
			next.Plain = append(slices.Clone(current.Plain), PlainEndpoint{ID: fmt.Sprint("desk-", next.Sequence)})
		}
		applied = applied.Apply(current.ChangeTo(next))
		sorted := func(vi *View) []Group {
			return slices.SortedFunc(slices.Values(vi.Groups), func(one, other Group) int { return strings.Compare(one.Name, other.Name) })
		}
		if diff := cmp.Diff(sorted(next), sorted(applied)); diff != "" {
			t.Fatalf("groups (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(next.Plain, applied.Plain); diff != "" || applied.Sequence != next.Sequence || applied.Revision != next.Revision {
			t.Fatalf("view %d at revision %d, want %d at revision %d; endpoints (-want +got):\n%s", applied.Sequence, applied.Revision, next.Sequence, next.Revision, diff)
		}
		current = next
	}
}

// Guards against a view that no steward published: a daemon that missed a
// change, or that received a change of another steward's view, must not apply
// it.
func TestApplyRejectsOtherView(t *testing.T) {
	one, two, three := &View{Term: 7, Sequence: 1}, &View{Term: 7, Sequence: 2}, &View{Term: 7, Sequence: 3}
	if one.Apply(two.ChangeTo(three)) != nil {
		t.Error("applied a change although the previous one was missed")
	}
	if (&View{Term: 6, Sequence: 2}).Apply(two.ChangeTo(three)) != nil {
		t.Error("applied a change of a view of another term")
	}
	if (*View)(nil).Apply(two.ChangeTo(three)) != nil {
		t.Error("applied a change to a nil view")
	}
}
