package catalog

import (
	"math"
	"testing"
	"time"
)

// Guards against a demand figure that omits part of a request's cost: the
// figure is compared with an engine that works in passes with all slots in use.
func TestDemandGroups(t *testing.T) {
	en := &Engine{Slots: 48, Stride: 5, KVTokens: 2_470_000, StepTime: 6450 * time.Microsecond, StepPerRequest: 97 * time.Microsecond,
		StepPerKContext: 3 * time.Microsecond, PrefillPerSecond: 56_100}
	tests := []struct {
		name           string
		pace           float64
		prompt, answer float64
		kv             int64
	}{
		{"short prompts", 0.6, 714, 150, 2_470_000},
		{"long prompts", 1, 1460, 150, 2_470_000},
		{"short answers", 1, 2000, 25, 2_470_000},
		{"little memory", 1, 2000, 200, 21_000},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			en := *en
			en.KVTokens = tc.kv
			rate := passRate(&en, tc.pace, tc.prompt, tc.answer)
			de := Demand{Requests: float32(rate), Prompt: float32(rate * tc.prompt), Answer: float32(rate * tc.answer)}
			if got := de.Groups(&en, Model{Pace: tc.pace}); math.Abs(got-1) > 0.02 {
				t.Errorf("%.1f requests/s keep %.3f groups busy, want 1", rate, got)
			}
		})
	}
}

// passRate returns the number of requests per second that a group with all
// slots in use completes.
func passRate(en *Engine, pace, prompt, answer float64) float64 {
	running := math.Min(float64(en.Slots), float64(en.KVTokens)/(prompt+answer/2))
	step := en.StepTime.Seconds() + running*(en.StepPerRequest.Seconds()+(prompt+answer/2)/1000*en.StepPerKContext.Seconds())
	ended := running * float64(en.Stride) / answer
	pass := step*float64(en.Stride) + ended*prompt/en.PrefillPerSecond
	return ended / (pass * pace)
}

// Guards against NaN, infinite or negative results for a model without requests
// or an engine without configured times, which would distort the split of VMs
// between models.
func TestDemandGroupsFinite(t *testing.T) {
	tests := []struct {
		name string
		en   Engine
		de   Demand
	}{
		{"no requests", Engine{Slots: 10}, Demand{}},
		{"no figures", Engine{}, Demand{Requests: 3, Prompt: 100, Answer: 10}},
		{"no memory configured", Engine{Slots: 10, PrefillPerSecond: 100}, Demand{Requests: 3}},
	}
	for _, tc := range tests {
		if got := tc.de.Groups(&tc.en, Model{}); math.IsNaN(got) || math.IsInf(got, 0) || got < 0 {
			t.Errorf("%s: %v groups, want a finite number of at least 0", tc.name, got)
		}
	}
}
