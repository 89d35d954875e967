package route

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func targets(num int) []Target {
	var tas []Target
	for i := range num {
		tas = append(tas, Target{ID: fmt.Sprint("g", i), Capacity: 400000, Local: true, Reported: int64(i * 100), ReportedAt: time.Unix(1, 0)})
	}
	return tas
}

func TestPick(t *testing.T) {
	tests := []struct {
		name   string
		policy Policy
		load   map[string]int64
		except []string
		want   string
	}{
		{"least tokens", CurrentWorkload{}, map[string]int64{"g0": 500, "g2": 500}, nil, "g1"},
		{"tried groups are passed over", CurrentWorkload{}, map[string]int64{"g0": 500, "g1": 10, "g2": 900}, []string{"g1"}, "g0"},
		{"fewest requests", LeastRequests{}, map[string]int64{"g0": 1, "g1": 1}, nil, "g2"},
		{"all tried", TokenAffinity{}, nil, []string{"g0", "g1", "g2"}, ""},
		{"only one left", TokenAffinity{}, nil, []string{"g0", "g2"}, "g1"},
		{"only one left at random", Random{}, nil, []string{"g0", "g2"}, "g1"},
		{"only one left in turn", RoundRobin{}, nil, []string{"g0", "g2"}, "g1"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			ro := New(tc.policy)
			ro.Update([]Target{{ID: "g0", Local: true}, {ID: "g1", Local: true}, {ID: "g2", Local: true}})
			rq := Request{}
			for _, gr := range ro.Groups() {
				if num := tc.load[gr.ID]; num > 0 {
					gr.Begin(num)
				}
				if strings.Contains(strings.Join(tc.except, " "), gr.ID) {
					rq.Exclude = append(rq.Exclude, gr)
				}
			}
			got := ""
			if gr := ro.Pick(rq); gr != nil {
				got = gr.ID
			}
			if got != tc.want {
				t.Errorf("pick = %q, want %q", got, tc.want)
			}
		})
	}
}

// Checks that a prompt is sent to the group that has its prefix cached, but only until that group
// has more pending work than the cache saves.
func TestPrefixAffinityIsBounded(t *testing.T) {
	ro := New(TokenAffinity{})
	ro.Update([]Target{{ID: "g0", Local: true, Capacity: 1e6}, {ID: "g1", Local: true, Capacity: 1e6}})
	rq := Request{Prefixes: Prefixes(nil, "m", strings.Repeat("p", 4096)), PromptTokens: 1024}
	g0 := ro.Groups()[0]
	ro.Remember(rq, g0)
	g0.Begin(500)
	for range 50 {
		if gr := ro.Pick(rq); gr != g0 {
			t.Fatalf("pick = %s, want the group with the cached prefix", gr.ID)
		}
	}
	g0.Begin(5000)
	for range 50 {
		if ro.Pick(rq) != g0 {
			return
		}
	}
	t.Error("an overloaded group still receives every request with its cached prefix")
}

// Guards against overloading a group that looks idle in a stale report. Reports lag by up to one
// period, so tokens sent in the period before the last report still count.
func TestLoadIncludesUnreportedTokens(t *testing.T) {
	ro := New(TokenAffinity{})
	at := func(sec int64, tokens int64) []Target {
		return []Target{{ID: "g", Local: true, Reported: tokens, ReportedAt: time.Unix(sec, 0)}}
	}
	ro.Update(at(1, 0))
	gr := ro.Groups()[0]
	gr.Begin(100)
	gr.End(100)
	ro.Update(at(2, 0))
	if got := gr.Load(); got != 100 {
		t.Errorf("load = %d after a report without the request, want 100", got)
	}
	ro.Update(at(3, 100))
	if got := gr.Load(); got != 100 {
		t.Errorf("load = %d after a report with the request, want 100", got)
	}
}

// One group generates tokens ten times slower than the others. Checks that it is avoided although
// its reported load is the lowest.
func TestSlowGroupIsAvoided(t *testing.T) {
	ro := New(TokenAffinity{})
	tas := targets(4)
	ro.Update(tas)
	for i, gr := range ro.Groups() {
		pace := 20 * time.Millisecond
		if i == 0 {
			pace = 200 * time.Millisecond
		}
		for range 100 {
			gr.RecordTokenGap(pace)
		}
	}
	ro.Update(tas)
	slow := 0
	for range 1000 {
		if ro.Pick(Request{PromptTokens: 100}).ID == "g0" {
			slow++
		}
	}
	// Both random candidates are the slow group in 1 of 16 selections.
	if slow > 130 {
		t.Errorf("the slow group received %d of 1000 requests, want at most 130", slow)
	}
}

func TestFarGroupsOnlyWithoutNearGroups(t *testing.T) {
	ro := New(TokenAffinity{})
	ro.Update([]Target{{ID: "near", Local: true}, {ID: "far"}})
	for range 20 {
		if gr := ro.Pick(Request{}); gr.ID != "near" {
			t.Fatalf("pick = %s, want near", gr.ID)
		}
	}
	ro.Update([]Target{{ID: "far"}})
	if gr := ro.Pick(Request{}); gr == nil || gr.ID != "far" {
		t.Errorf("pick = %v, want far", gr)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, num := range []int{10, 62, 250, 750} {
		b.Run(fmt.Sprint("groups=", num), func(b *testing.B) {
			ro := New(TokenAffinity{})
			ro.Update(targets(num))
			rq := Request{Prefixes: Prefixes(nil, "m", strings.Repeat("p", 4096)), PromptTokens: 1024}
			ro.Remember(rq, ro.Groups()[num/2])
			b.ReportAllocs()
			for b.Loop() {
				ro.Pick(rq)
			}
		})
	}
}
