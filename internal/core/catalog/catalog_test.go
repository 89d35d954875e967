package catalog

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestRoute(t *testing.T) {
	co := &Config{Routes: []Route{{Name: "root", Host: "Some.example", Prefix: "/"}, {Name: "a", Host: "some.example", Prefix: "/a/"},
		{Name: "ab", Host: "some.example", Prefix: "/a/b/"}, {Name: "other", Host: "other.example", Prefix: "/a/"}}}
	co.BuildIndexes()
	tests := []struct{ host, path, want string }{
		{"some.example", "/a/x", "a"},
		{"some.example", "/a/b/c/d", "ab"},
		{"some.example", "/a/b", "a"},
		{"SOME.example:80", "/a/", "a"},
		{"some.example", "/x", "root"},
		{"other.example", "/b/", ""},
		{"third.example", "/a/", ""},
		{"some.example", "", ""},
	}
	for _, tc := range tests {
		got := ""
		if ro := co.Route(tc.host, tc.path); ro != nil {
			got = ro.Name
		}
		if got != tc.want {
			t.Errorf("%s%s: route %q, want %q", tc.host, tc.path, got, tc.want)
		}
	}
}

// Guards against ordering views by sequence alone: a view of a later term
// replaces one of an earlier term, whatever their sequences are.
func TestViewNewer(t *testing.T) {
	tests := []struct {
		name string
		vi   View
		than View
		want bool
	}{
		{"later term", View{Term: 5, Sequence: 1}, View{Term: 4, Sequence: 9}, true},
		{"earlier term", View{Term: 4, Sequence: 9}, View{Term: 5, Sequence: 1}, false},
		{"next in the term", View{Term: 5, Sequence: 2}, View{Term: 5, Sequence: 1}, true},
		{"same", View{Term: 5, Sequence: 2}, View{Term: 5, Sequence: 2}, false},
		{"own view after a steward's", View{Revision: 9}, View{Term: 5, Revision: 8}, true},
		{"older own view", View{Revision: 7}, View{Term: 5, Revision: 8}, false},
	}
	for _, tc := range tests {
		if got := tc.vi.Newer(&tc.than); got != tc.want {
			t.Errorf("%s: Newer = %v, want %v", tc.name, got, tc.want)
		}
	}
}

// entriesFixture returns entries of a complete group with two members and of
// one plain endpoint.
func entriesFixture() (map[string]Endpoint, *Config) {
	cfg := &Config{Services: map[string]Service{"engine": {Engine: &Engine{Models: []Model{{Name: "large", Size: 2}}}}, "desk": {}}}
	eps := map[string]Endpoint{"desk-1": {ID: "desk-1", Service: "desk", Address: "d"}}
	for rank, id := range []string{"head", "second"} {
		st := Ready
		if rank == 0 {
			st = Open
		}
		eps[id] = Endpoint{ID: id, Service: "engine", Address: id, Loaded: "large", Member: &Membership{Group: "g", Epoch: 3, Rank: rank, State: st}}
	}
	return eps, cfg
}

// Guards against routing by incomplete groups while no steward publishes views:
// a view built from the store's entries holds only complete groups with an open
// leader.
func TestViewFromEntries(t *testing.T) {
	tests := []struct {
		name   string
		change func(map[string]Endpoint)
		groups int
	}{
		{"whole", func(map[string]Endpoint) {}, 1},
		{"member missing", func(eps map[string]Endpoint) { delete(eps, "second") }, 0},
		{"head not open", func(eps map[string]Endpoint) { eps["head"].Member.State = Ready }, 0},
		{"member elsewhere", func(eps map[string]Endpoint) { eps["second"].Member.Epoch = 2 }, 0},
		{"head leaves", func(eps map[string]Endpoint) {
			ep := eps["head"]
			ep.Leaving = true
			eps["head"] = ep
		}, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			eps, cfg := entriesFixture()
			tc.change(eps)
			vi := ViewFromEntries(eps, cfg, nil, Position{Revision: 7})
			if len(vi.Groups) != tc.groups {
				t.Errorf("%d groups, want %d", len(vi.Groups), tc.groups)
			}
			if len(vi.Plain) != 1 || vi.Revision != 7 {
				t.Errorf("view %+v, want 1 plain endpoint and revision 7", vi)
			}
		})
	}
}

// Guards against dropping a group when only the entry of a member other than
// the leader is missing: the group of the previous view stays as long as its
// leader is registered and reports nothing else. Without the leader the group is
// dropped.
func TestViewFromEntriesKeepsGroups(t *testing.T) {
	eps, cfg := entriesFixture()
	before := ViewFromEntries(eps, cfg, nil, Position{Revision: 7})
	delete(eps, "second")
	if after := ViewFromEntries(eps, cfg, before, Position{Revision: 8}); !cmp.Equal(after.Groups, before.Groups) {
		t.Errorf("groups changed: %s", cmp.Diff(before.Groups, after.Groups))
	}
	delete(eps, "head")
	if after := ViewFromEntries(eps, cfg, before, Position{Revision: 9}); len(after.Groups) != 0 {
		t.Errorf("groups remain after their leader was removed: %v", after.Groups)
	}
}

// Guards against a cold leader that daemons without a steward take for a warm one, or that they
// still take for cold once its entry says otherwise.
func TestViewFromEntriesCold(t *testing.T) {
	eps, cfg := entriesFixture()
	var vi *View
	for _, cold := range []bool{false, true, false} {
		for _, id := range []string{"head", "desk-1"} {
			ep := eps[id]
			ep.Cold = cold
			eps[id] = ep
		}
		vi = ViewFromEntries(eps, cfg, vi, Position{Revision: 7})
		if vi.Groups[0].Cold != cold || vi.Plain[0].Cold != cold {
			t.Errorf("group cold %v, plain endpoint cold %v, want %v", vi.Groups[0].Cold, vi.Plain[0].Cold, cold)
		}
	}
}

// Guards against requests to an evacuated data centre, and against a view that keeps the effects
// of an evacuation after it has ended.
func TestDrained(t *testing.T) {
	vi := &View{Term: 7, Plain: []PlainEndpoint{{ID: "a", DataCenter: "hall-a"}, {ID: "b", DataCenter: "hall-b"}},
		Groups: []Group{{Name: "a", DataCenter: "hall-a"}, {Name: "b", DataCenter: "hall-b"}}}
	drained := vi.Drained(func(dataCenter string) bool { return dataCenter == "hall-b" })
	want := &View{Term: 7, Plain: []PlainEndpoint{{ID: "a", DataCenter: "hall-a"}, {ID: "b", DataCenter: "hall-b", Leaving: true}},
		Groups: []Group{{Name: "a", DataCenter: "hall-a"}, {Name: "b", DataCenter: "hall-b", Draining: true}}}
	if diff := cmp.Diff(want, drained); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	if vi.Plain[1].Leaving || vi.Groups[1].Draining {
		t.Error("the original view has changed")
	}
}

func TestIdempotent(t *testing.T) {
	tests := []struct {
		ro   Route
		want bool
	}{
		{Route{Kind: Safe}, true},
		{Route{Kind: Unsafe}, false},
		{Route{Kind: Streaming}, false},
		{Route{Kind: Streaming, Resumable: true}, true},
		{Route{Kind: Unsafe, Resumable: true}, false},
	}
	for _, tc := range tests {
		if got := tc.ro.Idempotent(); got != tc.want {
			t.Errorf("%+v: Idempotent = %v, want %v", tc.ro, got, tc.want)
		}
	}
}

func BenchmarkRoute(b *testing.B) {
	co := &Config{}
	for i := range 500 {
		co.Routes = append(co.Routes, Route{Host: "some.example", Prefix: fmt.Sprintf("/route%d/", i), Timeout: time.Second})
	}
	co.BuildIndexes()
	for b.Loop() {
		if co.Route("some.example", "/route250/a/b") == nil {
			b.Fatal("no route found for /route250/a/b")
		}
	}
}
