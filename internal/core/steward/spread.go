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

// spreadSplits changes a plan so that the loss or the evacuation of a data centre, or the loss of a domain,
// leaves as many groups of each model as possible. It changes the splits of two domains at a time and accepts only
// changes that keep the number of groups of each model, so that the plan serves as much as before while
// nothing is lost. centers holds the data centre of each domain.
func spreadSplits(plan []split, domains []int, centers []string, models []weightedSize) []split {
	choices := make(map[int][]split)
	for _, free := range domains {
		if choices[free] == nil {
			choices[free] = enumerateSplits(free, models)
		}
	}
	value := spreadValue(plan, centers, models)
	for improved := true; improved; {
		improved = false
		for one := range plan {
			for other := range one {
				if !spreadPair(plan, one, other, choices[domains[one]], choices[domains[other]], centers, models, &value) {
					continue
				}
				improved = true
			}
		}
	}
	return plan
}

// spreadPair replaces the splits of two domains by the pair with the same numbers of groups of the
// largest value, and updates value. It reports whether it found a better pair.
func spreadPair(plan []split, one, other int, choices, otherChoices []split, centers []string, models []weightedSize, value *float64) bool {
	wanted := groupCounts(models, plan[one], plan[other])
	best, otherBest, found := plan[one], plan[other], false
	for _, sp := range choices {
		for _, sq := range otherChoices {
			if !sameCounts(wanted, groupCounts(models, sp, sq)) {
				continue
			}
			plan[one], plan[other] = sp, sq
			if va := spreadValue(plan, centers, models); va > *value+minImprovement {
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

// spreadValue returns the value of a plan: as balance computes it, plus the means of that after the loss of
// each data centre and of each domain.
func spreadValue(plan []split, centers []string, models []weightedSize) float64 {
	total := groupCounts(models, plan...)
	lost := make(map[string][]int)
	domains := 0.0
	for i, sp := range plan {
		counts := groupCounts(models, sp)
		domains += valueWithout(total, counts, models)
		if lost[centers[i]] == nil {
			lost[centers[i]] = make([]int, len(models))
		}
		for mi, num := range counts {
			lost[centers[i]][mi] += num
		}
	}
	dataCenters := 0.0
	for _, counts := range lost {
		dataCenters += valueWithout(total, counts, models)
	}
	return newBalance(plan, models).value() + domains/float64(max(1, len(plan))) + dataCenters/float64(max(1, len(lost)))
}

// valueWithout returns the value of the groups that remain.
func valueWithout(total, lost []int, models []weightedSize) float64 {
	sum := 0.0
	for mi, mo := range models {
		sum += mo.weight * math.Log(float64(total[mi]-lost[mi])+emptyModelGroups)
	}
	return sum
}
