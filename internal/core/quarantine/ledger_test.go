package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var begin = time.Unix(1_000_000, 0)

// request is the fingerprint of a request of that name.
func request(name string) Fingerprint {
	co := Content{Body: []byte(name)}
	return co.Fingerprint()
}

// end is that of a server some time after the beginning, under requests of these names.
func end(endpoint string, after time.Duration, names ...string) Crash {
	en := Crash{Endpoint: endpoint, AtMillis: begin.Add(after).UnixMilli()}
	for _, name := range names {
		en.Requests = append(en.Requests, request(name))
	}
	return en
}

func answered(name string, after time.Duration) Completion {
	return Completion{request(name), begin.Add(after).UnixMilli()}
}

// One request ends each server that it comes to, and others are with it there by chance.
// It must be refused from the third server on, and the others must not be.
func TestLedger(t *testing.T) {
	const now = 10 * time.Second
	tests := []struct {
		name string
		// notes are ends and answers, as they come in.
		notes []any
		want  bool
	}{
		{"three servers", []any{end("s1", 0, "crash", "other"), end("s2", time.Second, "crash"), end("s3", 2*time.Second, "crash")}, true},
		{"two servers", []any{end("s1", 0, "crash"), end("s2", time.Second, "crash")}, false},
		{"one server, told by three daemons", []any{end("s1", 0, "crash"), end("s1", 30*time.Millisecond, "crash"), end("s1", 90*time.Millisecond, "crash")}, false},
		{"one server three times, under its old identifier", []any{end("s1", 0, "crash"), end("s1", 3*time.Second, "crash"), end("s1", 6*time.Second, "crash")}, true},
		{"answered whole between", []any{end("s1", 0, "crash"), end("s2", time.Second, "crash"), answered("crash", 2*time.Second), end("s3", 3*time.Second, "crash")}, false},
		{"answered whole before", []any{answered("crash", 0), end("s1", time.Second, "crash"), end("s2", 2*time.Second, "crash"), end("s3", 3*time.Second, "crash")}, true},
		{"answered whole after", []any{end("s1", 0, "crash"), end("s2", time.Second, "crash"), end("s3", 2*time.Second, "crash"), answered("crash", 3*time.Second)}, false},
		{"told in another order", []any{end("s3", 2*time.Second, "crash"), end("s1", 0, "crash"), end("s2", time.Second, "crash")}, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			le := &Ledger{}
			for _, note := range tc.notes {
				le.take(note, begin.Add(now))
			}
			if _, held := le.Quarantined(request("crash"), begin.Add(now)); held != tc.want {
				t.Errorf("held: %v, want %v", held, tc.want)
			}
			if _, held := le.Quarantined(request("other"), begin.Add(now)); held {
				t.Error("a request is held that was there by chance")
			}
		})
	}
}

// take takes in an end or an answer.
func (le *Ledger) take(note any, now time.Time) {
	switch no := note.(type) {
	case Crash:
		le.RecordCrash(no, now)
	case Completion:
		le.RecordCompletion(no, now)
	}
}

// The servers' software was mended. A request that was quarantined is tried again after a
// day, and not before.
func TestQuarantineEnds(t *testing.T) {
	le := &Ledger{}
	for i := range Limit {
		le.RecordCrash(end(fmt.Sprint("s", i), 0, "crash"), begin)
	}
	for _, tc := range []struct {
		after time.Duration
		left  time.Duration
	}{{0, HoldFor}, {time.Hour, HoldFor - time.Hour}, {HoldFor, 0}} {
		le.Sweep(begin.Add(tc.after))
		left, held := le.Quarantined(request("crash"), begin.Add(tc.after))
		if left != tc.left || held != (tc.left > 0) {
			t.Errorf("after %v: held %v for %v, want %v", tc.after, held, left, tc.left)
		}
	}
	if le.num.Load() != 0 {
		t.Error("a request is remembered that counts no more")
	}
}

// Requests are suspected by the thousand while servers end for other reasons. What is
// quarantined must not be forgotten for them.
func TestLedgerIsBounded(t *testing.T) {
	le := &Ledger{}
	for i := range Limit {
		le.RecordCrash(end(fmt.Sprint("s", i), 0, "crash"), begin)
	}
	for i := range maxRequests + 10 {
		le.RecordCrash(end(fmt.Sprint("other-", i), time.Second, fmt.Sprint("request-", i)), begin.Add(time.Second))
	}
	if num := len(le.requests); num > maxRequests {
		t.Errorf("%d requests are remembered", num)
	}
	if _, held := le.Quarantined(request("crash"), begin.Add(time.Minute)); !held {
		t.Error("a quarantined request is forgotten")
	}
}

// Daemons hear of ends and answers in different orders, some of them twice, some not at
// all. Once they have told each other their entries, they must refuse the same requests,
// and see by their digests that they do.
func TestLedgersAgree(t *testing.T) {
	names := []string{"one", "two", "three"}
	rapid.Check(t, func(rt *rapid.T) {
		now := begin.Add(time.Minute)
		var notes []any
		for range rapid.IntRange(1, 20).Draw(rt, "notes") {
			name := rapid.SampledFrom(names).Draw(rt, "request")
			after := time.Duration(rapid.IntRange(0, 50).Draw(rt, "after")) * time.Second
			if rapid.Bool().Draw(rt, "answered") {
				notes = append(notes, answered(name, after))
				continue
			}
			notes = append(notes, end(rapid.StringMatching("s[0-9]").Draw(rt, "endpoint"), after, name))
		}
		ledgers := make([]*Ledger, 3)
		for i := range ledgers {
			ledgers[i] = &Ledger{}
			for _, note := range rapid.Permutation(notes).Draw(rt, "order") {
				for range rapid.IntRange(0, 2).Draw(rt, "times") {
					ledgers[i].take(note, now)
				}
			}
		}
		// What one knows takes two turns to come round, and an answer is told only by those
		// that know of the quarantine.
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
