package quota

import (
	"slices"
	"testing"
)

// Guards against a response without end for which smaller ones are given up, and against memory that
// stays counted.
func TestLargestResponseIsGivenUp(t *testing.T) {
	re := &Responses{Bytes: 100}
	small, endless, late := NewResponse(nil), NewResponse(nil), NewResponse(nil)
	re.Grow(small, 20)
	re.Grow(endless, 70)
	if dropped := re.Grow(late, 30); !slices.Equal(dropped, []*Response{endless}) || re.Used() != 50 {
		t.Errorf("got %d given up and %d bytes in use, want the largest and 50", len(dropped), re.Used())
	}
	if dropped := re.Grow(late, 60); !slices.Equal(dropped, []*Response{late}) {
		t.Errorf("got %d given up, want the response that grows", len(dropped))
	}
	for _, rs := range []*Response{small, endless, late} {
		re.End(rs)
	}
	if re.Used() != 0 {
		t.Errorf("got %d bytes in use, want 0", re.Used())
	}
}
