package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// harness sends requests one after the other, each to an endpoint of its own, and reports their results to
// a ledger.
type harness struct {
	le    Ledger
	now   time.Time
	count int
	// guilty are the parts that crash endpoints.
	guilty []string
	// sends counts the requests with each part that were sent, crashes all crashes.
	sends   map[string]int
	crashes int
}

// gapBetween is the time between two requests of a harness.
const gapBetween = 400 * time.Millisecond

func newHarness(guilty ...string) *harness {
	return &harness{now: begin, guilty: guilty, sends: make(map[string]int)}
}

// send offers a request with the parts, and reports whether it completed.
func (be *harness) send(parts ...string) bool {
	be.now = be.now.Add(gapBetween)
	be.count++
	rq := promptOf(fmt.Sprint("harness-", be.count), parts...)
	if _, _, held := be.le.Quarantined(rq, be.now); held && !be.le.ClaimProbe(rq, be.now) && !be.le.ClaimTrial(rq, be.now) {
		return false
	}
	for _, part := range parts {
		be.sends[part]++
	}
	sent := be.now
	be.now = be.now.Add(gapBetween / 4)
	if slices.ContainsFunc(parts, func(part string) bool { return slices.Contains(be.guilty, part) }) {
		be.crashes++
		be.le.RecordCrash(Crash{Endpoint: fmt.Sprint("s", be.count), At: be.now, Requests: []Request{rq}}, be.now)
		return false
	}
	for _, fp := range be.le.Complete(rq) {
		be.le.RecordCompletion(Completion{Subject: fp, At: be.now, Took: be.now.Sub(sent)}, be.now)
	}
	return true
}

// serves reports whether one of ten requests with the part alone is served.
func (be *harness) serves(part string) bool {
	for range 10 {
		if be.send(part) {
			return true
		}
	}
	return false
}

// Guards against sound parts that stay refused because they were at all crashes of a crashing part,
// and against trials that cost more than one endpoint for each part that they decide.
func TestTrials(t *testing.T) {
	three := []string{"a", "b", "c"}
	for _, tc := range []struct {
		name   string
		guilty []string
		shared []string
		// after are the requests after the crashes, and served whether each is served.
		after       [][]string
		served      []bool
		mostCrashes int
	}{
		{"guilty in the middle", []string{"b"}, three, [][]string{{"a"}, {"a", "c"}, {"c"}, three}, []bool{true, true, true, false}, 3},
		{"guilty first, sound one before it", []string{"a"}, three, [][]string{{"c"}, {"b"}, {"a"}, {"b", "c"}}, []bool{true, true, false, true}, 3},
		{"guilty first, tried at once", []string{"a"}, three, [][]string{{"a"}, {"b"}, {"c"}, {"a"}, {"b", "c"}}, []bool{false, true, true, false, true}, 4},
		{"guilty last, tried with another", []string{"c"}, three, [][]string{{"b", "c"}, {"a"}, {"c"}, {"b"}, {"c", "a"}}, []bool{false, true, false, true, false}, 5},
		{"two parts", []string{"b"}, []string{"a", "b"}, [][]string{{"a"}, {"b"}, {"a"}}, []bool{true, false, true}, 3},
		{"two guilty at once", []string{"a", "c"}, three, [][]string{{"a"}, {"b"}, {"c"}, {"c"}, {"b"}, {"a"}}, []bool{false, true, false, false, true, false}, 5},
		{"all of them again", []string{"b"}, three, [][]string{three, {"a", "b", "c", "own"}, three}, []bool{false, false, false}, 3},
		{"only one shared part", []string{"a"}, []string{"a"}, [][]string{{"a"}, {"a", "other"}}, []bool{false, false}, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			be := newHarness(tc.guilty...)
			for range 12 {
				be.send(tc.shared...)
			}
			for i, parts := range tc.after {
				if got := be.send(parts...); got != tc.served[i] {
					t.Errorf("request %d with %v: served %v, want %v", i, parts, got, tc.served[i])
				}
			}
			if be.crashes > tc.mostCrashes {
				t.Errorf("%d crashes, want %d at most", be.crashes, tc.mostCrashes)
			}
		})
	}
}

// Guards against trials that end with the daemons: after a start, a ledger knows the entries from the store
// only, and none of the crashes.
func TestTrialsAfterRestart(t *testing.T) {
	for _, tc := range []struct {
		name   string
		guilty string
		after  [][]string
		served []bool
	}{
		{"sound part first", "b", [][]string{{"a"}, {"a", "c"}, {"b", "a"}, {"other"}, {"c"}}, []bool{true, true, false, false, true}},
		{"guilty part first", "b", [][]string{{"b"}, {"a"}, {"c"}, {"b"}}, []bool{false, true, true, false}},
		{"all of them", "b", [][]string{{"a", "b", "c"}, {"c"}}, []bool{false, true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			before := newHarness(tc.guilty)
			for range 6 {
				before.send("a", "b", "c")
			}
			be := newHarness(tc.guilty)
			be.now = before.now
			entries := append(before.le.Entries(be.now), Entry{Subject: promptOf("", "other").Parts[0], Part: true, Since: begin})
			be.le.Merge(entries, be.now)
			for i, parts := range tc.after {
				if got := be.send(parts...); got != tc.served[i] {
					t.Errorf("request %d with %v: served %v, want %v", i, parts, got, tc.served[i])
				}
			}
			if be.crashes > 1 {
				t.Errorf("%d crashes, want one at most", be.crashes)
			}
		})
	}
}

// Guards against a part that is fixed and stays refused, since a trial found it guilty: the next probe
// must end its quarantine.
func TestPartFixedAfterTrial(t *testing.T) {
	be := newHarness("b")
	for range 6 {
		be.send("a", "b")
	}
	be.send("b")
	be.guilty = nil
	be.now = be.now.Add(2 * firstProbeInterval)
	for _, parts := range [][]string{{"b"}, {"a", "b"}} {
		if !be.send(parts...) {
			t.Errorf("request with %v refused after the fix", parts)
		}
	}
}

// Guards against two trials at a time, each of which may crash an endpoint, and against a lost report
// that ends all trials.
func TestOneTrialAtATime(t *testing.T) {
	be := newHarness("b")
	for range 6 {
		be.send("a", "b", "c")
	}
	now := be.now.Add(time.Second)
	first, second := promptOf("first", "a"), promptOf("second", "c")
	if !be.le.ClaimTrial(first, now) || be.le.ClaimTrial(second, now) || be.le.ClaimTrial(first, now) {
		t.Fatal("want one trial")
	}
	now = now.Add(trialTimeout)
	for num := range maxTrials + 2 {
		granted := be.le.ClaimTrial(first, now)
		if want := num < maxTrials-1; granted != want {
			t.Errorf("trial %d of a part without a result: granted %v, want %v", num+2, granted, want)
		}
		now = now.Add(trialTimeout)
	}
}

// Guards against ledgers that decide against the truth for some set of parts and some order of requests: a
// crashing part must be sent eight times at most, and sound parts must be served in the end.
func TestTrialsAgreeWithTruth(t *testing.T) {
	const maxSends = 8
	rapid.Check(t, func(rt *rapid.T) {
		parts := []string{"a", "b", "c", "d", "e"}
		guilty := rapid.Permutation(parts).Draw(rt, "guilty")[:rapid.IntRange(1, 2).Draw(rt, "number of guilty")]
		be := newHarness(guilty...)
		subset := rapid.SliceOfNDistinct(rapid.SampledFrom(parts), 1, len(parts), rapid.ID[string])
		// Requests come as they do from a few callers: each of a few sets of parts many times.
		sets := rapid.SliceOfN(subset, 1, 6).Draw(rt, "sets")
		for range rapid.IntRange(10, 120).Draw(rt, "requests") {
			be.send(rapid.SampledFrom(sets).Draw(rt, "set")...)
		}
		for _, part := range guilty {
			if num := be.sends[part]; num > maxSends {
				rt.Errorf("part %s of %v sent %d times, want %d at most", part, guilty, num, maxSends)
			}
		}
		for _, part := range parts {
			if slices.Contains(guilty, part) {
				continue
			}
			if !be.serves(part) {
				// A part whose trials all had another guilty part in them is left to the probe.
				be.now = be.now.Add(firstProbeInterval)
			}
			if !be.serves(part) {
				rt.Errorf("sound part %s is not served, guilty are %v", part, guilty)
			}
		}
	})
}
