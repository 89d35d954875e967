package catalog

import (
	"math"

	"github.com/rotisserie/eris"
)

const (
	// MaxNumber bounds terms, eras, versions, sequence numbers and revisions, so that counting on from
	// one doesn't overflow.
	MaxNumber = 1 << 62
	// MaxViewEntries bounds the groups, and the endpoints without one, of a view.
	MaxViewEntries = 1 << 16
)

// Check returns an error that names the first value of the view that no daemon publishes.
func (vi *View) Check() error {
	if err := checkNumbers(vi.Term, vi.Sequence, vi.Revision); err != nil {
		return err
	}
	return checkContents(vi.Groups, vi.Plain)
}

// Check returns an error that names the first value of the change that no daemon publishes.
func (ch *Change) Check() error {
	if err := checkNumbers(ch.Term, ch.From, ch.Sequence, ch.Revision); err != nil {
		return err
	}
	return checkContents(ch.Groups, ch.Plain)
}

func checkNumbers(nums ...int64) error {
	for _, num := range nums {
		if num < 0 || num > MaxNumber {
			return eris.Errorf("view: term, sequence or revision %d out of range", num)
		}
	}
	return nil
}

func checkContents(groups []Group, plain []PlainEndpoint) error {
	if len(groups) > MaxViewEntries || len(plain) > MaxViewEntries {
		return eris.Errorf("view: %d groups and %d endpoints, must be at most %d each", len(groups), len(plain), MaxViewEntries)
	}
	for i := range groups {
		if err := groups[i].check(); err != nil {
			return err
		}
	}
	for i := range plain {
		if plain[i].Slots < 0 {
			return eris.Errorf("view: endpoint %.200q: negative slots", plain[i].ID)
		}
	}
	return nil
}

func (gr *Group) check() error {
	switch {
	case len(gr.Members) == 0 || len(gr.Members) > MaxGroupSize:
		return eris.Errorf("view: group %.200q: %d members, must be 1 to %d", gr.Name, len(gr.Members), MaxGroupSize)
	case gr.Epoch < 0 || gr.Epoch > MaxEpoch:
		return eris.Errorf("view: group %.200q: epoch %d out of range", gr.Name, gr.Epoch)
	case !(gr.Slowness >= 0) || math.IsInf(gr.Slowness, 0):
		return eris.Errorf("view: group %.200q: slowness %v out of range", gr.Name, gr.Slowness)
	}
	return nil
}
