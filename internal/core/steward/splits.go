package steward

import (
	"math"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// weightedSize is a model's share of the work, with the size of its groups in VMs.
type weightedSize struct {
	size   int
	weight float64
}

// split is the number of VMs of a domain that hold each model, by model index. VMs that hold
// the same model can replace each other within 0.2 s, so the split does not record which of
// them serve and which are spares.
type split []int

// lossLevels are the numbers of VMs that a domain may lose before others have loaded the
// weights to replace them, with the weight of each case in the choice of a split.
var lossLevels = []struct {
	lost   int
	weight float64
}{{0, 0.4}, {1, 0.25}, {2, 0.2}, {3, 0.15}}

// planSplits returns a split for each domain that spreads the models' work as evenly as the
// group sizes allow, both now and after losses; domains holds the number of available VMs of
// each. It is a local search that improves one domain at a time until no change of a single
// domain improves the result.
func planSplits(domains []int, models []weightedSize) []split {
	choices := make(map[int][]split)
	plan := make([]split, len(domains))
	for i, free := range domains {
		if choices[free] == nil {
			choices[free] = enumerateSplits(free, models)
		}
		plan[i] = choices[free][0]
	}
	ba := newBalance(plan, models)
	for improved := true; improved; {
		improved = false
		for i, free := range domains {
			best, bestValue := plan[i], ba.value()
			for _, ch := range choices[free] {
				if va := ba.valueWith(plan[i], ch); va > bestValue+minImprovement {
					best, bestValue, improved = ch, va, true
				}
			}
			ba.replace(plan[i], best)
			plan[i] = best
		}
	}
	return plan
}

// minImprovement keeps the search from alternating forever between choices of equal value.
const minImprovement = 1e-9

// balance computes the value of a plan. The value is largest when the numbers of groups are in
// proportion to the models' work, grows with each group, and is averaged over the loss levels.
// Group counts are kept up to date, so that evaluating a change in one domain costs the same
// however many domains there are.
type balance struct {
	models []weightedSize
	// groups are the expected numbers of groups, by loss level and model.
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

// replace changes one domain's split from before to after. A nil split has no groups.
func (ba *balance) replace(before, after split) {
	for li, le := range lossLevels {
		for mi, mo := range ba.models {
			ba.groups[li][mi] += after.groups(mi, mo.size, le.lost) - before.groups(mi, mo.size, le.lost)
		}
	}
}

func (ba *balance) value() float64 { return ba.valueWith(nil, nil) }

// valueWith returns the value if one domain's split were changed from before to after.
func (ba *balance) valueWith(before, after split) float64 {
	sum := 0.0
	for li, le := range lossLevels {
		for mi, mo := range ba.models {
			groups := ba.groups[li][mi]
			if after != nil {
				groups += after.groups(mi, mo.size, le.lost) - before.groups(mi, mo.size, le.lost)
			}
			sum += le.weight * mo.weight * math.Log(max(0, groups)+emptyModelGroups)
		}
	}
	return sum
}

// emptyModelGroups is added to the number of groups, so that a model without any group lowers
// the value a lot but by a finite amount.
const emptyModelGroups = 0.05

// groups returns the expected number of a model's groups after the given number of the
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
	for hits := 0; hits <= min(lost, sp[mi]); hits++ {
		sum += hypergeometric(total, sp[mi], lost, hits) * float64((sp[mi]-hits)/size)
	}
	return sum
}

// hypergeometric returns the probability that exactly hits of the drawn VMs are marked, if
// marked of total VMs are.
func hypergeometric(total, marked, drawn, hits int) float64 {
	if hits > marked || drawn-hits > total-marked {
		return 0
	}
	return math.Exp(logChoose(marked, hits) + logChoose(total-marked, drawn-hits) - logChoose(total, drawn))
}

// logChoose returns the logarithm of the binomial coefficient from over num.
func logChoose(from, num int) float64 {
	lg := func(n int) float64 {
		val, _ := math.Lgamma(float64(n + 1))
		return val
	}
	return lg(from) - lg(num) - lg(from-num)
}

// enumerateSplits returns the possible splits of a domain's VMs among the models. With more
// than two models it uses larger steps and returns only some of them.
func enumerateSplits(free int, models []weightedSize) []split {
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

// splitStep returns the step between numbers of VMs to try. It limits the number of splits
// where there are many models.
func splitStep(left, models int) int {
	if models <= 2 {
		return 1
	}
	return 1 + left/10
}

// loadLimiter is a token bucket that rate-limits the loads from the weight store. A new
// steward starts with an empty bucket, since its predecessor may have used up the tokens.
type loadLimiter struct {
	refilledAt time.Time
	tokens     float64
	rate       float64
}

// maxLoadBurst is the size of the token bucket, in loads. The required limit allows three
// loads beyond its rate.
const maxLoadBurst = 3

func (ll *loadLimiter) refill(now time.Time, services map[string]*catalog.Engine) {
	ll.rate = 0
	for _, en := range services {
		ll.rate += en.LoadsPerSecond
	}
	ll.tokens = min(maxLoadBurst, ll.tokens+ll.rate*now.Sub(ll.refilledAt).Seconds())
	ll.refilledAt = now
}

// take consumes num tokens and returns true if that many loads may begin now. A full bucket
// admits any number of loads and may become negative.
func (ll *loadLimiter) take(num int) bool {
	if num == 0 {
		return true
	}
	if ll.tokens < min(float64(num), maxLoadBurst) {
		return false
	}
	ll.tokens -= float64(num)
	return true
}
