package soak

import (
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// Guards against a check that misses the violation that it is meant for, or reports
// similar outcomes that are allowed.
func TestCheckerReportsViolations(t *testing.T) {
	begin := time.Now()
	answer := func(kind Kind, status int, body string, disconnected bool) Outcome {
		return Outcome{ID: "id", Kind: kind, Start: begin, End: begin.Add(time.Second), Sent: true, Status: status, Body: body, Disconnected: disconnected}
	}
	tests := []struct {
		name string
		run  func(ch *Checker)
		want string
	}{
		{"another one's answer", func(ch *Checker) { ch.RecordOutcome(answer(Slot, 200, "whole answer of other", false)) }, "mismatched or incomplete"},
		{"a part that looks whole", func(ch *Checker) { ch.RecordOutcome(answer(Draft, 200, "whole", false)) }, "mismatched or incomplete"},
		{"a part that breaks off beside a fault", func(ch *Checker) {
			ch.BeginFault("killed")
			oc := answer(Draft, 200, "whole", true)
			oc.End = time.Now().Add(time.Second)
			ch.RecordOutcome(oc)
		}, ""},
		{"a wrong part that breaks off", func(ch *Checker) { ch.RecordOutcome(answer(Draft, 200, "holes", true)) }, "partial response is mismatched"},
		{"a second run", func(ch *Checker) {
			ch.RecordOutcome(answer(Confirm, 502, "", false))
			ch.Finish(map[string]int{"id": 2})
		}, "ran 2 times"},
		{"a safe request's second run", func(ch *Checker) {
			ch.RecordOutcome(answer(Slot, 502, "", false))
			ch.Finish(map[string]int{"id": 2})
		}, ""},
		{"refused and run", func(ch *Checker) {
			ch.RecordOutcome(answer(Confirm, 503, "", false))
			ch.Finish(map[string]int{"id": 1})
		}, "refused with status 503"},
		{"failed and run", func(ch *Checker) {
			ch.RecordOutcome(answer(Confirm, 502, "", false))
			ch.Finish(map[string]int{"id": 1})
		}, ""},
		{"cut by a planned stop", func(ch *Checker) {
			ch.BeginStop(0)
			oc := answer(Slot, 0, "", true)
			oc.End = time.Now().Add(time.Second)
			ch.RecordOutcome(oc)
		}, "planned stop"},
		{"cut by a planned stop beside a fault", func(ch *Checker) {
			ch.BeginStop(0)
			ch.BeginFault("killed")
			oc := answer(Slot, 0, "", true)
			oc.End = time.Now().Add(time.Second)
			ch.RecordOutcome(oc)
		}, ""},
		{"cut without a stop", func(ch *Checker) { ch.RecordOutcome(answer(Slot, 0, "", true)) }, "although no unplanned fault acted"},
		{"stream cut beside a silent server", func(ch *Checker) {
			so := &Soak{Log: slog.New(slog.DiscardHandler), check: ch}
			so.runFault(fault{name: "server silent", planned: true, run: func(*Soak, *rand.Rand, time.Duration) {
				ch.RecordOutcome(answer(Draft, 200, "whole", true))
			}}, nil, time.Second)
		}, "5 of 18 bytes, although no unplanned fault acted"},
		{"cut beside a fault", func(ch *Checker) {
			ch.BeginFault("killed")
			oc := answer(Slot, 0, "", true)
			oc.End = time.Now().Add(time.Second)
			ch.RecordOutcome(oc)
		}, ""},
		{"cut before it was sent", func(ch *Checker) {
			oc := answer(Slot, 0, "", true)
			oc.Sent = false
			ch.RecordOutcome(oc)
		}, ""},
		{"given up by its caller", func(ch *Checker) {
			oc := answer(Slot, 0, "", true)
			oc.TimedOut = true
			ch.RecordOutcome(oc)
		}, ""},
		{"closed when it crossed the close of an idle connection", func(ch *Checker) {
			ch.PassedOn = func(string) bool { return false }
			oc := answer(Slot, 0, "", true)
			oc.SentAt = oc.End.Add(-lossSlack)
			ch.RecordOutcome(oc)
		}, ""},
		{"closed after it was passed on", func(ch *Checker) {
			ch.PassedOn = func(string) bool { return true }
			oc := answer(Slot, 0, "", true)
			oc.SentAt = oc.End
			ch.RecordOutcome(oc)
		}, "although no unplanned fault acted"},
		{"closed long after it was sent", func(ch *Checker) {
			ch.PassedOn = func(string) bool { return false }
			oc := answer(Slot, 0, "", true)
			oc.SentAt = oc.End.Add(-2 * lossSlack)
			ch.RecordOutcome(oc)
		}, "although no unplanned fault acted"},
		{"cut at the timeout of its route", func(ch *Checker) {
			ch.SetTimeout(Draft, time.Second)
			ch.SetTimeout(Draft, time.Minute)
			ch.RecordOutcome(answer(Draft, 200, "whole", true))
		}, ""},
		{"cut before the timeout of its route", func(ch *Checker) {
			ch.SetTimeout(Draft, 2*time.Second)
			ch.SetTimeout(Slot, time.Second)
			ch.RecordOutcome(answer(Draft, 200, "whole", true))
		}, "although no unplanned fault acted"},
		{"cut at a timeout that was replaced long before", func(ch *Checker) {
			ch.timeouts = map[Kind][]routeTimeout{Draft: {{begin.Add(-time.Hour), time.Second}, {begin.Add(-time.Minute), time.Minute}}}
			ch.RecordOutcome(answer(Draft, 200, "whole", true))
		}, "although no unplanned fault acted"},
		{"a second run of a stream that is not resumable", func(ch *Checker) {
			ch.RecordOutcome(answer(Once, 502, "", false))
			ch.Finish(map[string]int{"id": 2})
		}, "ran 2 times"},
		{"refused beside no fault", func(ch *Checker) { ch.RecordOutcome(answer(Slot, 503, "", false)) }, ""},
		{"configuration lost", func(ch *Checker) {
			ch.RecordVersion("one", 2, true)
			ch.RecordVersion("one", 1, false)
		}, "did not serve version 1"},
		{"configuration not known yet", func(ch *Checker) {
			ch.RecordVersion("one", 1, true)
			ch.RecordVersion("one", 2, false)
			ch.RecordVersion("two", 1, false)
		}, ""},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			ch := &Checker{Want: func(_ Kind, id string) string { return "whole answer of " + id }}
			tc.run(ch)
			got := strings.Join(ch.Violations(), "; ")
			if tc.want == "" && got != "" || !strings.Contains(got, tc.want) {
				t.Errorf("violations %q, want %q", got, tc.want)
			}
		})
	}
}
