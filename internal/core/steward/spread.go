package steward

import "math"

// dataCentersOf returns the data centre of each domain.
func (co *Core) dataCentersOf(doms []*domain) []string {
	centers := make([]string, len(doms))
	for i, do := range doms {
		if len(do.free) > 0 {
			centers[i] = do.free[0].ep.DataCenter
		}
	}
	return centers
}

// spreadSplits changes a plan so that the loss or the evacuation of a data centre leaves as many groups
// of each model as possible. It changes the splits of two domains at a time and accepts only
// changes that keep the number of groups of each model, so that the plan serves as much as before while
// no data centre is lost. centers holds the data centre of each domain.
func spreadSplits(plan []split, domains []int, centers []string, models []weightedSize) []split {
	choices := make(map[int][]split)
	for _, free := range domains {
		if choices[free] == nil {
			choices[free] = enumerateSplits(free, models)
		}
	}
	value := valueAfterLoss(plan, centers, models)
	for improved := true; improved; {
		improved = false
		for one := range plan {
			for other := range one {
				if centers[one] == centers[other] || !spreadPair(plan, one, other, choices[domains[one]], choices[domains[other]], centers, models, &value) {
					continue
				}
				improved = true
			}
		}
	}
	return plan
}

// spreadPair replaces the splits of two domains by the pair with the same numbers of groups that is best
// after the loss of a data centre, and updates value. It reports whether it found a better pair.
func spreadPair(plan []split, one, other int, choices, otherChoices []split, centers []string, models []weightedSize, value *float64) bool {
	wanted := groupCounts(models, plan[one], plan[other])
	best, otherBest, found := plan[one], plan[other], false
	for _, sp := range choices {
		for _, sq := range otherChoices {
			if !sameCounts(wanted, groupCounts(models, sp, sq)) {
				continue
			}
			plan[one], plan[other] = sp, sq
			if va := valueAfterLoss(plan, centers, models); va > *value+minImprovement {
				best, otherBest, *value, found = sp, sq, va, true
			}
		}
	}
	plan[one], plan[other] = best, otherBest
	return found
}

// groupCounts returns the numbers of whole groups that the splits form together, by model index.
func groupCounts(models []weightedSize, splits ...split) []int {
	counts := make([]int, len(models))
	for _, sp := range splits {
		for mi, mo := range models {
			counts[mi] += sp[mi] / mo.size
		}
	}
	return counts
}

func sameCounts(one, other []int) bool {
	for mi := range one {
		if one[mi] != other[mi] {
			return false
		}
	}
	return true
}

// valueAfterLoss returns the value of a plan as balance computes it, averaged over the losses of each
// data centre.
func valueAfterLoss(plan []split, centers []string, models []weightedSize) float64 {
	total := groupCounts(models, plan...)
	lost := make(map[string][]int)
	for i, sp := range plan {
		if lost[centers[i]] == nil {
			lost[centers[i]] = make([]int, len(models))
		}
		for mi, mo := range models {
			lost[centers[i]][mi] += sp[mi] / mo.size
		}
	}
	sum := 0.0
	for _, counts := range lost {
		for mi, mo := range models {
			sum += mo.weight * math.Log(float64(total[mi]-counts[mi])+emptyModelGroups)
		}
	}
	return sum / float64(max(1, len(lost)))
}
