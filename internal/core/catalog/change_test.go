package catalog

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Daemons that are told the changes of a steward's views one after the other
// have the same view as those that fetch it.
func TestChanges(t *testing.T) {
	rd := rand.New(rand.NewPCG(1, 2))
	have := &View{Term: 7}
	told := have
	for range 500 {
		next := &View{Term: 7, Sequence: have.Sequence + 1, Revision: have.Revision + 3, Plain: have.Plain}
		for _, gr := range have.Groups {
			switch rd.IntN(8) {
			case 0:
				continue
			case 1:
				gr.Leaving = !gr.Leaving
			}
			next.Groups = append(next.Groups, gr)
		}
		for range rd.IntN(3) {
			name := fmt.Sprint("group-", next.Sequence, "-", len(next.Groups))
			next.Groups = append(next.Groups, Group{Name: name, Members: []Member{{ID: name}}})
		}
		if rd.IntN(5) == 0 {
			next.Plain = append(slices.Clone(have.Plain), PlainEndpoint{ID: fmt.Sprint("desk-", next.Sequence)})
		}
		told = told.Apply(have.ChangeTo(next))
		sorted := func(vi *View) []Group {
			return slices.SortedFunc(slices.Values(vi.Groups), func(one, other Group) int { return strings.Compare(one.Name, other.Name) })
		}
		if diff := cmp.Diff(sorted(next), sorted(told)); diff != "" {
			t.Fatalf("groups (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(next.Plain, told.Plain); diff != "" || told.Sequence != next.Sequence || told.Revision != next.Revision {
			t.Fatalf("view %d at %d, want %d at %d; endpoints (-want +got):\n%s", told.Sequence, told.Revision, next.Sequence, next.Revision, diff)
		}
		have = next
	}
}

// A daemon missed a change, or heard one of another steward. It must not make a
// view of it that no steward has.
func TestChangeOfAnotherView(t *testing.T) {
	one, two, three := &View{Term: 7, Sequence: 1}, &View{Term: 7, Sequence: 2}, &View{Term: 7, Sequence: 3}
	if one.Apply(two.ChangeTo(three)) != nil {
		t.Error("applied a change after one that was missed")
	}
	if (&View{Term: 6, Sequence: 2}).Apply(two.ChangeTo(three)) != nil {
		t.Error("applied a change of another steward's view")
	}
	if (*View)(nil).Apply(two.ChangeTo(three)) != nil {
		t.Error("applied a change to no view")
	}
}
