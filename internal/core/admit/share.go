package admit

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

const (
	// maxOverusers bounds the workspaces that are announced as above their share.
	maxOverusers = 16
	// minExcess is the fraction of the demand that has to exceed the capacity before shares count.
	minExcess = 0.02
)

// Overuse is the demand of a workspace that is above its fair share.
type Overuse struct {
	// Part is the workspace's part of all demand, Over the fraction of its demand that is beyond its
	// max-min fair share of the capacity.
	Part float32 `cbor:"1,keyasint"`
	Over float32 `cbor:"2,keyasint"`
}

// Overusers returns the workspaces whose demand is above their max-min fair share, at most
// maxOverusers, those with the largest demand first. demand holds the work that the requests of each
// workspace ask for, in slots, and service is the fraction of it that the capacity serves.
func Overusers(demand map[string]float64, service float64) map[string]Overuse {
	total := 0.0
	for _, work := range demand {
		total += work
	}
	if len(demand) < 2 || total <= 0 || service > 1-minExcess {
		return nil
	}
	byWork := slices.SortedFunc(maps.Keys(demand), func(one, other string) int {
		return cmp.Or(cmp.Compare(demand[one], demand[other]), cmp.Compare(one, other))
	})
	left, share := service*total, 0.0
	for i, name := range byWork {
		if share = left / float64(len(byWork)-i); demand[name] > share {
			byWork = byWork[i:]
			break
		}
		left -= demand[name]
	}
	over := make(map[string]Overuse)
	for _, name := range slices.Backward(byWork) {
		if work := demand[name]; len(over) < maxOverusers && work > share {
			over[name] = Overuse{float32(work / total), float32(1 - share/work)}
		}
	}
	return over
}

// RefusalByShare returns the probability with which to refuse a request of a workspace if the fraction
// refusal of all requests has to be refused: first those of workspaces above their share, in
// proportion to what is above it, and only what these do not cover from the others.
func RefusalByShare(over map[string]Overuse, workspace string, refusal float64) float64 {
	if len(over) == 0 || refusal <= 0 {
		return refusal
	}
	most := 1 - minService*(1-refusal)
	scale, left, parts := scaleOveruse(over, refusal, most)
	if ov, above := over[workspace]; above {
		return min(most, scale*float64(ov.Over))
	}
	return min(most, max(0, left)/max(1-parts, 0.01))
}

// scaleOveruse returns the factor by which to multiply Over, up to most, so that the fraction refusal
// of all requests is refused; the fraction left that this does not cover; and the sum of the parts.
func scaleOveruse(over map[string]Overuse, refusal, most float64) (scale, left, parts float64) {
	byOver := slices.SortedFunc(maps.Values(over), func(one, other Overuse) int { return cmp.Compare(other.Over, one.Over) })
	excess := 0.0
	for _, ov := range byOver {
		parts += float64(ov.Part)
		excess += float64(ov.Part * ov.Over)
	}
	left = refusal
	for _, ov := range byOver {
		if excess <= 0 {
			return scale, left, parts
		}
		if scale = left / excess; scale*float64(ov.Over) <= most {
			return scale, 0, parts
		}
		// This workspace is refused up to the floor; the others have to cover more.
		left -= float64(ov.Part) * most
		excess -= float64(ov.Part * ov.Over)
	}
	return math.Inf(1), left, parts
}
