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

// split is how many VMs of a domain hold each model. VMs that hold the same
// model replace each other within 0.2 s, so it matters not which of them serve
// and which are spare.
type split []int

// lossLevels are the numbers of a domain's VMs that may be lost before others
// have loaded in their place, with the weight that each has in the choice.
var lossLevels = []struct {
	lost   int
	weight float64
}{{0, 0.4}, {1, 0.25}, {2, 0.2}, {3, 0.15}}

// compose returns how to split each domain, so that the work of the models is
// spread as evenly as the sizes allow, now and after losses. It improves one
// domain at a time until none can be improved.
func compose(domains []int, models []weightedSize) []split {
	choices := make(map[int][]split)
	plan := make([]split, len(domains))
	for i, free := range domains {
		if choices[free] == nil {
			choices[free] = splits(free, models)
		}
		plan[i] = choices[free][0]
	}
	ba := newBalance(plan, models)
	for improved := true; improved; {
		improved = false
		for i, free := range domains {
			best, bestValue := plan[i], ba.value()
			for _, ch := range choices[free] {
				if va := ba.valueWith(plan[i], ch); va > bestValue+balanceStep {
					best, bestValue, improved = ch, va, true
				}
			}
			ba.replace(plan[i], best)
			plan[i] = best
		}
	}
	return plan
}

// balanceStep keeps equal choices from taking turns for ever.
const balanceStep = 1e-9

// balance values a plan. It is largest when the numbers of groups are in the
// proportion of the models' work, and grows with each group, averaged over the
// levels of loss. The numbers of groups are kept, so that a change of one domain
// costs the same however many domains there are.
type balance struct {
	models []weightedSize
	// groups are the expected numbers of groups, by level of loss and model.
	groups [][]float64
}

func newBalance(plan []split, models []weightedSize) *balance {
	ba := &balance{models: models, groups: make([][]float64, len(lossLevels))}
	for li := range lossLevels {
		ba.groups[li] = make([]float64, len(models))
	}
	for _, sp := range plan {
		ba.replace(nil, sp)
	}
	return ba
}

// replace changes one domain's split; nil stands for none.
func (ba *balance) replace(before, after split) {
	for li, le := range lossLevels {
		for mi, mo := range ba.models {
			ba.groups[li][mi] += after.groups(mi, mo.size, le.lost) - before.groups(mi, mo.size, le.lost)
		}
	}
}

func (ba *balance) value() float64 { return ba.valueWith(nil, nil) }

// valueWith is the value if one domain's split were changed.
func (ba *balance) valueWith(before, after split) float64 {
	sum := 0.0
	for li, le := range lossLevels {
		for mi, mo := range ba.models {
			groups := ba.groups[li][mi]
			if after != nil {
				groups += after.groups(mi, mo.size, le.lost) - before.groups(mi, mo.size, le.lost)
			}
			sum += le.weight * mo.weight * math.Log(max(0, groups)+emptyGroups)
		}
	}
	return sum
}

// emptyGroups makes a model without any group cost much, but not everything.
const emptyGroups = 0.05

// groups is the expected number of a model's groups after so many of the
// domain's VMs, drawn at random, are lost.
func (sp split) groups(mi, size, lost int) float64 {
	if sp == nil {
		return 0
	}
	total := 0
	for _, num := range sp {
		total += num
	}
	lost = min(lost, total)
	sum := 0.0
	for gone := 0; gone <= min(lost, sp[mi]); gone++ {
		sum += hypergeometric(total, sp[mi], lost, gone) * float64((sp[mi]-gone)/size)
	}
	return sum
}

// hypergeometric is the probability that of drawn VMs, out of total of which
// marked are marked, exactly hits are marked.
func hypergeometric(total, marked, drawn, hits int) float64 {
	if hits > marked || drawn-hits > total-marked {
		return 0
	}
	return math.Exp(logChoose(marked, hits) + logChoose(total-marked, drawn-hits) - logChoose(total, drawn))
}

func logChoose(from, num int) float64 {
	lg := func(n int) float64 {
		val, _ := math.Lgamma(float64(n + 1))
		return val
	}
	return lg(from) - lg(num) - lg(from-num)
}

// splits returns all ways to split a domain's VMs among the models.
func splits(free int, models []weightedSize) []split {
	var all []split
	sp := make(split, len(models))
	var fill func(mi, left int)
	fill = func(mi, left int) {
		if mi == len(models)-1 {
			sp[mi] = left
			all = append(all, append(split(nil), sp...))
			return
		}
		for num := left; num >= 0; num -= splitStep(left, len(models)) {
			sp[mi] = num
			fill(mi+1, left-num)
		}
	}
	fill(0, free)
	return all
}

// splitStep keeps the number of splits small where there are many models.
func splitStep(left, models int) int {
	if models <= 2 {
		return 1
	}
	return 1 + left/10
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
