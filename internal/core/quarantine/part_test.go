package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// promptOf returns a request of the given name whose prompt shares the parts.
func promptOf(name string, parts ...string) Request {
	return NewRequest(&Content{Body: []byte(name)}, "engine", parts)
}

// partCrash returns a crash at a time after begin during requests that are all different, one for each
// list of parts.
func partCrash(num int, after time.Duration, prompts ...[]string) Crash {
	en := Crash{Endpoint: fmt.Sprint("s", num), At: begin.Add(after)}
	for i, parts := range prompts {
		en.Requests = append(en.Requests, promptOf(fmt.Sprint("request-", num, "-", i), parts...))
	}
	return en
}

// holds reports whether requests with a part are refused.
func (le *Ledger) holds(part string, now time.Time) bool {
	_, _, held := le.Quarantined(Request{Parts: promptOf("", part).Parts}, now)
	return held
}

// Guards against quarantining a sound part that is at the same crashes as the crashing one.
func TestPartsOfCrashes(t *testing.T) {
	const gap = 200 * time.Millisecond
	a, ab, c := []string{"a"}, []string{"a", "b"}, []string{"c"}
	tests := []struct {
		name string
		// proven are parts of requests that have completed before.
		proven  []string
		crashes []Crash
		want    map[string]bool
	}{
		{"all with the shared part and the crashing one", []string{"a"}, []Crash{partCrash(1, 0, ab, a), partCrash(2, gap, ab, a), partCrash(3, 2*gap, ab, a)},
			map[string]bool{"a": false, "b": true}},
		{"only the shared part in common", nil, []Crash{partCrash(1, 0, []string{"a", "x"}), partCrash(2, gap, []string{"a", "y"}), partCrash(3, 2*gap, a)},
			map[string]bool{"a": true, "x": false, "y": false}},
		{"proven part goes on crashing", []string{"a"}, []Crash{partCrash(1, 0, a), partCrash(2, gap, a), partCrash(3, 2*gap, a), partCrash(4, 3*gap, a), partCrash(5, 4*gap, a)},
			map[string]bool{"a": true}},
		{"proven part at four crashes", []string{"a"}, []Crash{partCrash(1, 0, a), partCrash(2, gap, a), partCrash(3, 2*gap, a), partCrash(4, 3*gap, a)},
			map[string]bool{"a": false}},
		{"crashes that come together", nil, []Crash{partCrash(1, 0, a), partCrash(2, 0, a), partCrash(3, 10*time.Millisecond, a), partCrash(4, 20*time.Millisecond, a)},
			map[string]bool{"a": false}},
		{"bystander at as many crashes, found out by the next", nil, []Crash{partCrash(1, 0, c, a), partCrash(2, gap, c, a), partCrash(3, 2*gap, c, a), partCrash(4, 3*gap, c)},
			map[string]bool{"a": false, "c": true}},
		{"two crashing parts", nil, []Crash{partCrash(1, 0, a), partCrash(2, gap, c), partCrash(3, 2*gap, a), partCrash(4, 3*gap, c), partCrash(5, 4*gap, a), partCrash(6, 5*gap, c)},
			map[string]bool{"a": true, "c": true}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			le := &Ledger{}
			le.Complete(promptOf("earlier", tc.proven...))
			now := begin
			for _, en := range tc.crashes {
				now = en.At
				le.RecordCrash(en, now)
			}
			for part, want := range tc.want {
				if got := le.holds(part, now); got != want {
					t.Errorf("part %s: quarantined %v, want %v", part, got, want)
				}
			}
		})
	}
}

// Guards against a single request that crashes endpoints again and again and takes the parts of its
// prompt with it, and against a bystander whose report comes before that of the crashing part.
func TestRequestOrPart(t *testing.T) {
	le := &Ledger{}
	repeated := promptOf("repeated", "a")
	for i := range CrashThreshold {
		le.RecordCrash(Crash{Endpoint: fmt.Sprint("s", i), At: begin.Add(time.Duration(i) * time.Second), Requests: []Request{repeated}}, begin.Add(time.Minute))
	}
	now := begin.Add(time.Minute)
	if subject, _, held := le.Quarantined(repeated, now); !held || subject != repeated.Content {
		t.Error("the repeated request is not quarantined by its content")
	}
	if le.holds("a", now) {
		t.Error("a part that only the repeated request had is quarantined")
	}

	le = &Ledger{}
	bystander := promptOf("bystander", "b")
	for i := range CrashThreshold {
		at := begin.Add(time.Duration(i) * time.Second)
		le.RecordCrash(Crash{Endpoint: fmt.Sprint("s", i), At: at, Requests: []Request{bystander}}, at)
		le.RecordCrash(partCrash(i, time.Duration(i)*time.Second+5*time.Millisecond, []string{"crashing"}), at)
	}
	now = begin.Add(CrashThreshold * time.Second)
	if !le.holds("crashing", now) {
		t.Error("the crashing part is not quarantined")
	}
	if _, _, held := le.Quarantined(bystander, now); held {
		t.Error("the bystander is still quarantined")
	}
}

// Guards against completions of requests that were sent before a part began to crash endpoints, which
// end its quarantine, and against ones sent since that don't.
func TestCompletionEndsQuarantine(t *testing.T) {
	for _, tc := range []struct {
		name string
		sent time.Duration
		want bool
	}{{"sent before the crashes", -time.Second, true}, {"sent after the first crash", 100 * time.Millisecond, false}} {
		le := &Ledger{}
		for i := range CrashThreshold {
			le.RecordCrash(partCrash(i, time.Duration(i)*time.Second, []string{"a"}), begin.Add(10*time.Second))
		}
		now := begin.Add(10 * time.Second)
		for _, fp := range le.Complete(promptOf("sound", "a")) {
			le.RecordCompletion(Completion{Subject: fp, At: now, Took: now.Sub(begin.Add(tc.sent))}, now)
		}
		if got := le.holds("a", now); got != tc.want {
			t.Errorf("%s: quarantined %v, want %v", tc.name, got, tc.want)
		}
	}
}

// Guards against probes that come too often or never: one at a time, at intervals that double.
func TestProbes(t *testing.T) {
	le := &Ledger{}
	rq := promptOf("request", "a")
	le.Merge([]Entry{{Subject: rq.Parts[0], Part: true, Since: begin}}, begin)
	var probes []int
	for after := time.Duration(0); after < time.Hour; after += time.Second {
		if now := begin.Add(after); le.ClaimProbe(rq, now) {
			probes = append(probes, int(after/firstProbeInterval))
			if le.ClaimProbe(rq, now) {
				t.Fatal("a second probe at once")
			}
		}
	}
	if len(probes) != 4 || probes[0] != 1 || probes[1] != 3 || probes[2] != 7 || probes[3] != 15 {
		t.Errorf("probes after %v of firstProbeInterval, want 1, 3, 7 and 15", probes)
	}
}
