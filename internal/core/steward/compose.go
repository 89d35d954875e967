package steward

import (
	"math"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// weightedSize is a model's part of the work with the size of its groups.
type weightedSize struct {
	size   int
	weight float64
}

// compose returns for each domain how many groups of each model to form, so
// that the work of the models is spread as evenly as the sizes allow. It
// starts from the domains' largest packings and improves one domain at a time.
func compose(domains []int, models []weightedSize) [][]int {
	choices := make(map[int][][]int)
	for _, free := range domains {
		if _, ok := choices[free]; !ok {
			choices[free] = packings(free, models)
		}
	}
	plan := make([][]int, len(domains))
	total := make([]int, len(models))
	for i, free := range domains {
		plan[i] = choices[free][0]
		add(total, plan[i], 1)
	}
	for improved := true; improved; {
		improved = false
		for i, free := range domains {
			add(total, plan[i], -1)
			best := plan[i]
			bestValue := math.Inf(-1)
			for _, counts := range choices[free] {
				add(total, counts, 1)
				if va := balance(total, models); va > bestValue+balanceStep {
					best, bestValue = counts, va
				}
				add(total, counts, -1)
			}
			improved = improved || !same(best, plan[i])
			plan[i] = best
			add(total, best, 1)
		}
	}
	return plan
}

// balanceStep keeps equal choices from taking turns for ever.
const balanceStep = 1e-9

// balance is largest when the numbers of groups are in the proportion of the
// models' work, and grows with each group.
func balance(total []int, models []weightedSize) float64 {
	sum := 0.0
	for mi, mo := range models {
		sum += mo.weight * math.Log(float64(total[mi])+emptyGroups)
	}
	return sum
}

// emptyGroups makes a model without any group cost much, but not everything.
const emptyGroups = 0.05

func add(total, counts []int, times int) {
	for mi, num := range counts {
		total[mi] += times * num
	}
}

func same(one, other []int) bool {
	for mi := range one {
		if one[mi] != other[mi] {
			return false
		}
	}
	return true
}

// packings returns the ways to split a domain into groups to which no further
// group can be added, the one with the fewest VMs left first.
func packings(free int, models []weightedSize) [][]int {
	var all [][]int
	counts := make([]int, len(models))
	var fill func(mi, left int)
	fill = func(mi, left int) {
		if mi == len(models) {
			for _, mo := range models {
				if mo.size <= left {
					return
				}
			}
			all = append(all, append([]int(nil), counts...))
			return
		}
		for num := left / max(1, models[mi].size); num >= 0; num-- {
			counts[mi] = num
			fill(mi+1, left-num*models[mi].size)
		}
		counts[mi] = 0
	}
	fill(0, free)
	return all
}

// loadLimit bounds the loads from the weight store. A new steward starts with
// none saved up, since its predecessor may have used them.
type loadLimit struct {
	at   time.Time
	left float64
	rate float64
}

// maxLoadBurst is the most loads that are saved up in quiet times. The bound
// that must be kept allows three beyond its rate.
const maxLoadBurst = 3

func (ll *loadLimit) refill(now time.Time, services map[string]*catalog.Engine) {
	ll.rate = 0
	for _, en := range services {
		ll.rate += en.LoadsPerSecond
	}
	ll.left = min(maxLoadBurst, ll.left+ll.rate*now.Sub(ll.at).Seconds())
	ll.at = now
}

// take uses up loads if the limit allows to begin them now.
func (ll *loadLimit) take(num int) bool {
	if num == 0 {
		return true
	}
	if ll.left < min(float64(num), maxLoadBurst) {
		return false
	}
	ll.left -= float64(num)
	return true
}
