package soak

import (
	"strings"
	"testing"
	"time"
)

// Each check is shown to find the fault that it is meant for, and to keep quiet
// about what looks like it and is allowed.
func TestCheckerFindsPlantedFaults(t *testing.T) {
	begin := time.Now()
	answer := func(kind Kind, status int, body string, cut bool) Outcome {
		return Outcome{ID: "id", Kind: kind, Begun: begin, Ended: begin.Add(time.Second), Sent: true, Status: status, Body: body, Cut: cut}
	}
	tests := []struct {
		name string
		run  func(ch *Checker)
		want string
	}{
		{"another one's answer", func(ch *Checker) { ch.Ended(answer(Slot, 200, "whole answer of other", false)) }, "not its own or not whole"},
		{"a part that looks whole", func(ch *Checker) { ch.Ended(answer(Draft, 200, "whole", false)) }, "not its own or not whole"},
		{"a part that breaks off", func(ch *Checker) { ch.Ended(answer(Draft, 200, "whole", true)) }, ""},
		{"a wrong part that breaks off", func(ch *Checker) { ch.Ended(answer(Draft, 200, "holes", true)) }, "is not its own"},
		{"a second run", func(ch *Checker) {
			ch.Ended(answer(Confirm, 502, "", false))
			ch.Finish(map[string]int{"id": 2})
		}, "ran 2 times"},
		{"a safe request's second run", func(ch *Checker) {
			ch.Ended(answer(Slot, 502, "", false))
			ch.Finish(map[string]int{"id": 2})
		}, ""},
		{"refused and run", func(ch *Checker) {
			ch.Ended(answer(Confirm, 503, "", false))
			ch.Finish(map[string]int{"id": 1})
		}, "refused with 503"},
		{"failed and run", func(ch *Checker) {
			ch.Ended(answer(Confirm, 502, "", false))
			ch.Finish(map[string]int{"id": 1})
		}, ""},
		{"cut by a planned stop", func(ch *Checker) {
			ch.Stopping(0)
			oc := answer(Slot, 0, "", true)
			oc.Ended = time.Now().Add(time.Second)
			ch.Ended(oc)
		}, "planned stop"},
		{"cut by a planned stop beside a fault", func(ch *Checker) {
			ch.Stopping(0)
			ch.Fault()
			oc := answer(Slot, 0, "", true)
			oc.Ended = time.Now().Add(time.Second)
			ch.Ended(oc)
		}, ""},
		{"configuration lost", func(ch *Checker) {
			ch.Served("one", 2, true)
			ch.Served("one", 1, false)
		}, "lost 1"},
		{"configuration not known yet", func(ch *Checker) {
			ch.Served("one", 1, true)
			ch.Served("one", 2, false)
			ch.Served("two", 1, false)
		}, ""},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			ch := &Checker{Want: func(_ Kind, id string) string { return "whole answer of " + id }}
			tc.run(ch)
			got := strings.Join(ch.Violations(), "; ")
			if tc.want == "" && got != "" || !strings.Contains(got, tc.want) {
				t.Errorf("found %q, want %q", got, tc.want)
			}
		})
	}
}
