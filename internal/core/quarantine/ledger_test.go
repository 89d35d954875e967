package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// begin is the start time of all tests.
var begin = time.Unix(1_000_000, 0)

// fingerprint returns the fingerprint of the request with the given name.
func fingerprint(name string) Fingerprint {
	co := Content{Body: []byte(name)}
	return co.Fingerprint()
}

// crash returns a crash of the endpoint at a time after begin, during the requests with the given
// names.
func crash(endpoint string, after time.Duration, names ...string) Crash {
	en := Crash{Endpoint: endpoint, At: begin.Add(after)}
	for _, name := range names {
		en.Requests = append(en.Requests, Request{Content: fingerprint(name)})
	}
	return en
}

// completion returns a completion of the named request at a time after begin.
func completion(name string, after time.Duration) Completion {
	return Completion{Subject: fingerprint(name), At: begin.Add(after)}
}

// Guards against a request that keeps crashing endpoints: it must be quarantined after the third
// crash. Unrelated requests on the same endpoints must not be.
func TestLedger(t *testing.T) {
	const now = 10 * time.Second
	tests := []struct {
		name string
		// events are crashes and completions, in order of arrival.
		events []any
		want   bool
	}{
		{"three servers", []any{crash("s1", 0, "crash", "other"), crash("s2", time.Second, "crash"), crash("s3", 2*time.Second, "crash")}, true},
		{"two servers", []any{crash("s1", 0, "crash"), crash("s2", time.Second, "crash")}, false},
		{"one server, told by three daemons", []any{crash("s1", 0, "crash"), crash("s1", 30*time.Millisecond, "crash"), crash("s1", 90*time.Millisecond, "crash")}, false},
		{"one server three times, under its old identifier", []any{crash("s1", 0, "crash"), crash("s1", 3*time.Second, "crash"), crash("s1", 6*time.Second, "crash")}, true},
		{"answered whole between", []any{crash("s1", 0, "crash"), crash("s2", time.Second, "crash"), completion("crash", 2*time.Second), crash("s3", 3*time.Second, "crash")}, false},
		{"answered whole before", []any{completion("crash", 0), crash("s1", time.Second, "crash"), crash("s2", 2*time.Second, "crash"), crash("s3", 3*time.Second, "crash")}, true},
		{"answered whole after", []any{crash("s1", 0, "crash"), crash("s2", time.Second, "crash"), crash("s3", 2*time.Second, "crash"), completion("crash", 3*time.Second)}, false},
		{"told in another order", []any{crash("s3", 2*time.Second, "crash"), crash("s1", 0, "crash"), crash("s2", time.Second, "crash")}, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			le := &Ledger{}
			for _, ev := range tc.events {
				le.apply(ev, begin.Add(now))
			}
			if _, _, quarantined := le.Quarantined(Request{Content: fingerprint("crash")}, begin.Add(now)); quarantined != tc.want {
				t.Errorf("quarantined: %v, want %v", quarantined, tc.want)
			}
			if _, _, quarantined := le.Quarantined(Request{Content: fingerprint("other")}, begin.Add(now)); quarantined {
				t.Error("unrelated request is quarantined")
			}
		})
	}
}

// apply records a crash or a completion.
func (le *Ledger) apply(event any, now time.Time) {
	switch ev := event.(type) {
	case Crash:
		le.RecordCrash(ev, now)
	case Completion:
		le.RecordCompletion(ev, now)
	}
}

// Guards against a quarantine that never ends or ends early: once the software of the endpoints is
// fixed, a quarantined request must run again, after TTL and not before.
func TestQuarantineExpires(t *testing.T) {
	le := &Ledger{}
	for i := range CrashThreshold {
		le.RecordCrash(crash(fmt.Sprint("s", i), 0, "crash"), begin)
	}
	for _, tc := range []struct {
		after     time.Duration
		remaining time.Duration
	}{{0, TTL}, {time.Hour, TTL - time.Hour}, {TTL, 0}} {
		le.Sweep(begin.Add(tc.after))
		_, remaining, quarantined := le.Quarantined(Request{Content: fingerprint("crash")}, begin.Add(tc.after))
		if remaining != tc.remaining || quarantined != (tc.remaining > 0) {
			t.Errorf("after %v: quarantined %v, remaining %v, want %v", tc.after, quarantined, remaining, tc.remaining)
		}
	}
	if le.num.Load() != 0 {
		t.Error("expired record not deleted")
	}
}

// Guards against the eviction of quarantined requests: when endpoints crash for unrelated reasons,
// thousands of requests are suspected and compete for the bounded number of records.
func TestLedgerIsBounded(t *testing.T) {
	le := &Ledger{}
	for i := range CrashThreshold {
		le.RecordCrash(crash(fmt.Sprint("s", i), 0, "crash"), begin)
	}
	for i := range maxRecords + 10 {
		le.RecordCrash(crash(fmt.Sprint("other-", i), time.Second, fmt.Sprint("request-", i)), begin.Add(time.Second))
	}
	if num := len(le.subjects); num > maxRecords {
		t.Errorf("%d records, want at most maxRecords", num)
	}
	if _, _, quarantined := le.Quarantined(Request{Content: fingerprint("crash")}, begin.Add(time.Minute)); !quarantined {
		t.Error("quarantined request was evicted")
	}
}

// Guards against daemons that disagree on the quarantined requests. Each daemon receives crashes
// and completions in a different order, some of them twice or not at all. After the daemons have
// exchanged entries, their entries and digests must be equal. rapid finds the saved failure in
// testdata by the name of this test.
func TestLedgersAgree(t *testing.T) {
	names := []string{"one", "two", "three"}
	rapid.Check(t, func(rt *rapid.T) {
		now := begin.Add(time.Minute)
		var events []any
		for range rapid.IntRange(1, 20).Draw(rt, "notes") {
			name := rapid.SampledFrom(names).Draw(rt, "request")
			after := time.Duration(rapid.IntRange(0, 50).Draw(rt, "after")) * time.Second
			if rapid.Bool().Draw(rt, "answered") {
				events = append(events, completion(name, after))
				continue
			}
			events = append(events, crash(rapid.StringMatching("s[0-9]").Draw(rt, "endpoint"), after, name))
		}
		ledgers := make([]*Ledger, 3)
		for i := range ledgers {
			ledgers[i] = &Ledger{}
			for _, ev := range rapid.Permutation(events).Draw(rt, "order") {
				for range rapid.IntRange(0, 2).Draw(rt, "times") {
					ledgers[i].apply(ev, now)
				}
			}
		}
		// An entry takes two rounds to reach every ledger, and a completion is passed on only by
		// a ledger in which the request was quarantined.
		for range 4 {
			for i, le := range ledgers {
				le.Merge(ledgers[(i+1)%len(ledgers)].Entries(now), now)
			}
		}
		for _, le := range ledgers[1:] {
			if diff := cmp.Diff(ledgers[0].Entries(now), le.Entries(now)); diff != "" {
				rt.Fatalf("entries differ: %s", diff)
			}
			if le.Digest(now) != ledgers[0].Digest(now) {
				rt.Fatal("digests differ")
			}
		}
	})
}

// Guards against a release that is undone by the crashes before it, by another ledger that still holds the
// subject, or that ends the quarantine for good.
func TestRelease(t *testing.T) {
	le, other := &Ledger{}, &Ledger{}
	for i := range CrashThreshold {
		for _, to := range []*Ledger{le, other} {
			to.RecordCrash(crash(fmt.Sprint("s", i), 0, "crash"), begin)
		}
	}
	subject, at := fingerprint("crash"), begin.Add(time.Minute)
	if _, ok := le.Release(fingerprint("other"), at); ok {
		t.Error("released what is not in quarantine")
	}
	before := le.Digest(at)
	if en, ok := le.Release(subject, at); !ok || en.Held(at) || le.Digest(at) == before {
		t.Errorf("released %v with entry %v, want a release that changes the digest", ok, en)
	}
	for range 2 {
		le.Merge(other.Entries(at), at)
		other.Merge(le.Entries(at), at)
	}
	for i := range CrashThreshold {
		for name, to := range map[string]*Ledger{"first": le, "other": other} {
			if to.Holds(subject, at) {
				t.Errorf("%s ledger: in quarantine after %d crashes since the release", name, i)
			}
			to.RecordCrash(crash(fmt.Sprint("later-", i), 2*time.Minute, "crash"), begin.Add(2*time.Minute))
		}
	}
	if later := begin.Add(2 * time.Minute); !le.Holds(subject, later) || !other.Holds(subject, later) {
		t.Error("not in quarantine again after as many crashes as before")
	}
}
