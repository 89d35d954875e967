// Package route selects the group for a request. Load and cache reports arrive late and irregularly,
// so a selection adds the tokens that this daemon has sent since the last report, and compares two
// random groups instead of all: with the same stale report, all daemons would otherwise select the
// same group.
package route

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Target is the state of a group as published by the control plane.
type Target struct {
	ID string
	// Reported is the number of resident and pending tokens that the engines report.
	Reported int64
	// ReportedAt is the time of the report; only a later one replaces the counters.
	ReportedAt time.Time
	// Requests is the reported number of open requests.
	Requests int
	// Capacity is the number of tokens that the group can hold.
	Capacity int64
	// Local is set for a group in this daemon's data centre. Other groups are selected only if no
	// target is local.
	Local bool
}

// Group is a target together with this daemon's own counters. The counters are safe for concurrent
// use.
type Group struct {
	ID       string
	slot     uint32
	capacity atomic.Int64
	reported atomic.Int64
	requests atomic.Int64
	// openTokens and openRequests count this daemon's requests that have not ended.
	openTokens   atomic.Int64
	openRequests atomic.Int64
	// current counts the tokens sent since the last report, previous those sent in the report period
	// before it: a report may lag by a whole period.
	current  atomic.Int64
	previous atomic.Int64
	// pace is the smoothed time between tokens in nanoseconds; 0 means no sample.
	pace       atomic.Int64
	slow       atomic.Bool
	reportedAt time.Time
}

// Load returns the estimated number of tokens that the group processes: the reported tokens plus
// those sent since, but at least this daemon's open tokens.
func (gr *Group) Load() int64 {
	return max(gr.reported.Load()+gr.current.Load()+gr.previous.Load(), gr.openTokens.Load())
}

// Capacity returns the number of tokens that the group can hold.
func (gr *Group) Capacity() int64 { return gr.capacity.Load() }

// OpenTokens returns the number of tokens of this daemon's open requests at the group.
func (gr *Group) OpenTokens() int64 { return gr.openTokens.Load() }

// Begin records that a request of the given number of tokens was sent to the group.
func (gr *Group) Begin(tokens int64) {
	gr.openTokens.Add(tokens)
	gr.openRequests.Add(1)
	gr.current.Add(tokens)
}

// End records that a request ended. tokens must be the number passed to Begin.
func (gr *Group) End(tokens int64) {
	gr.openTokens.Add(-tokens)
	gr.openRequests.Add(-1)
}

// paceShift sets the smoothing of pace: over about 2^paceShift tokens.
const paceShift = 4

// RecordTokenGap records the time between two tokens of a stream.
func (gr *Group) RecordTokenGap(gap time.Duration) {
	old := gr.pace.Load()
	if old == 0 {
		gr.pace.Store(int64(gap))
		return
	}
	gr.pace.Store(old + (int64(gap)-old)>>paceShift)
}

// Slow reports whether the group's time between tokens is more than slowFactor times the median of
// all groups.
func (gr *Group) Slow() bool { return gr.slow.Load() }

// Policy is a load-balancing policy. It is one of TokenAffinity, CurrentWorkload, Random, RoundRobin
// and LeastRequests.
type Policy interface{ isPolicy() }

// TokenAffinity is the default policy. It compares two random groups and the group that last served
// the prompt's prefix, and selects the one with the least work in tokens.
type TokenAffinity struct{}

// CurrentWorkload selects the group with the fewest tokens, following the current-workload rule of
// arXiv 2601.17855 for one request at a time.
type CurrentWorkload struct{}

// Random, RoundRobin and LeastRequests are baselines for comparison.
type (
	// Random selects a group at random.
	Random struct{}
	// RoundRobin selects the groups in turn.
	RoundRobin struct{}
	// LeastRequests selects the group with the fewest open requests.
	LeastRequests struct{}
)

func (TokenAffinity) isPolicy()   {}
func (CurrentWorkload) isPolicy() {}
func (Random) isPolicy()          {}
func (RoundRobin) isPolicy()      {}
func (LeastRequests) isPolicy()   {}

// Request holds the properties of a request that a selection uses.
type Request struct {
	// Prefixes are hashes of the prompt's prefixes, longest first; see the function Prefixes.
	Prefixes []uint64
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int64
	// Exclude lists the groups that were already tried.
	Exclude []*Group
}

const (
	// slowFactor is the ratio to the median time between tokens above which a group is slow, and the
	// factor that its load is then multiplied by.
	slowFactor = 3
	// minPaceSamples is the number of groups with a measured pace needed for a comparison.
	minPaceSamples = 3
	// cacheSlots is the number of entries in the prefix table.
	cacheSlots = 1 << 15
)

// Router holds the groups of one model. Create it with New. It is safe for concurrent use.
type Router struct {
	policy Policy
	mu     sync.Mutex
	byID   map[string]*Group
	nextID uint32
	groups atomic.Pointer[[]*Group]
	// turn counts the selections of RoundRobin.
	turn atomic.Uint64
	// cache maps a prefix to the group that last served it: the upper 32 bits of an entry are those
	// of the prefix hash, the lower 32 bits are the group's slot.
	cache [cacheSlots]atomic.Uint64
}

// New returns a router without groups.
func New(policy Policy) *Router {
	ro := &Router{policy: policy, byID: make(map[string]*Group)}
	ro.groups.Store(&[]*Group{})
	return ro
}

// Update replaces the groups that can be selected. Groups that remain keep their counters. Groups
// that are not local cannot be selected if at least one is local.
func (ro *Router) Update(targets []Target) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	anyLocal := slices.ContainsFunc(targets, func(ta Target) bool { return ta.Local })
	var groups []*Group
	for _, ta := range targets {
		gr := ro.group(ta)
		if ta.Local || !anyLocal {
			groups = append(groups, gr)
		}
	}
	ro.removeStale(targets)
	markSlow(groups)
	ro.groups.Store(&groups)
}

func (ro *Router) group(ta Target) *Group {
	gr, ok := ro.byID[ta.ID]
	if !ok {
		ro.nextID++
		gr = &Group{ID: ta.ID, slot: ro.nextID}
		ro.byID[ta.ID] = gr
	}
	gr.capacity.Store(ta.Capacity)
	if ta.ReportedAt.After(gr.reportedAt) {
		gr.reportedAt = ta.ReportedAt
		gr.reported.Store(ta.Reported)
		gr.requests.Store(int64(ta.Requests))
		gr.previous.Store(gr.current.Swap(0))
	}
	return gr
}

// removeStale deletes groups that are not in targets and have no open requests.
func (ro *Router) removeStale(targets []Target) {
	for id, gr := range ro.byID {
		found := slices.ContainsFunc(targets, func(ta Target) bool { return ta.ID == id })
		if !found && gr.openRequests.Load() == 0 {
			delete(ro.byID, id)
		}
	}
}

// markSlow sets the slow flag of each group whose pace is more than slowFactor times the median. It
// does nothing if fewer than minPaceSamples groups have a pace.
func markSlow(groups []*Group) {
	var paces []int64
	for _, gr := range groups {
		if pace := gr.pace.Load(); pace > 0 {
			paces = append(paces, pace)
		}
	}
	if len(paces) < minPaceSamples {
		return
	}
	slices.Sort(paces)
	median := paces[len(paces)/2]
	for _, gr := range groups {
		gr.slow.Store(gr.pace.Load() > slowFactor*median)
	}
}

// Groups returns the groups that can be selected.
func (ro *Router) Groups() []*Group { return *ro.groups.Load() }

// Pick returns the group for the request, or nil if all groups are excluded or there are none.
func (ro *Router) Pick(rq Request) *Group {
	groups := *ro.groups.Load()
	if len(groups) == 0 {
		return nil
	}
	switch ro.policy.(type) {
	case TokenAffinity:
		return ro.pickAffinity(groups, rq)
	case CurrentWorkload:
		return leastCost(groups, rq.Exclude, (*Group).Load)
	case Random:
		return firstAllowed(groups, rq.Exclude, rand.IntN(len(groups)))
	case RoundRobin:
		return firstAllowed(groups, rq.Exclude, int(ro.turn.Add(1)%uint64(len(groups))))
	case LeastRequests:
		return leastCost(groups, rq.Exclude, func(gr *Group) int64 {
			return max(gr.requests.Load(), gr.openRequests.Load())
		})
	}
	return nil
}

// firstAllowed returns the first group that is not in exclude, scanning cyclically from start.
func firstAllowed(groups []*Group, exclude []*Group, start int) *Group {
	for i := range groups {
		gr := groups[(start+i)%len(groups)]
		if !slices.Contains(exclude, gr) {
			return gr
		}
	}
	return nil
}

// leastCost returns the group with the lowest cost that is not in exclude, ties broken at random.
func leastCost(groups []*Group, exclude []*Group, cost func(*Group) int64) *Group {
	var best *Group
	var bestCost int64
	start := rand.IntN(len(groups))
	for i := range groups {
		gr := groups[(start+i)%len(groups)]
		if slices.Contains(exclude, gr) {
			continue
		}
		if co := cost(gr); best == nil || co < bestCost {
			best, bestCost = gr, co
		}
	}
	return best
}

// pickAffinity implements TokenAffinity.
func (ro *Router) pickAffinity(groups []*Group, rq Request) *Group {
	first := firstAllowed(groups, rq.Exclude, rand.IntN(len(groups)))
	second := firstAllowed(groups, rq.Exclude, rand.IntN(len(groups)))
	if first == nil {
		return nil
	}
	best, bestCost := first, first.cost(rq.PromptTokens)
	if co := second.cost(rq.PromptTokens); co < bestCost {
		best, bestCost = second, co
	}
	cached, covered := ro.lookupPrefix(groups, rq)
	if cached == nil || slices.Contains(rq.Exclude, cached) {
		return best
	}
	// The prompt tokens saved by the cache are subtracted from the cost, so affinity stops by itself
	// once the cached group has more extra load than the cache saves.
	if cached.cost(rq.PromptTokens-rq.PromptTokens*covered/int64(len(rq.Prefixes))) <= bestCost {
		return cached
	}
	return best
}

// cost returns the group's load plus the prompt tokens that a new request has to prefill, in tokens.
// It is increased for slow groups.
func (gr *Group) cost(prefill int64) int64 {
	co := gr.Load() + prefill
	if gr.slow.Load() {
		co = co*slowFactor + gr.capacity.Load()/slowFactor
	}
	return co
}

// lookupPrefix returns the group that served the longest indexed prefix of the request, and the
// number of the request's prefixes that it covers; nil and 0 if there is none.
func (ro *Router) lookupPrefix(groups []*Group, rq Request) (*Group, int64) {
	for i, prefix := range rq.Prefixes {
		en := ro.cache[prefix%cacheSlots].Load()
		if en>>32 != prefix>>32 {
			continue
		}
		slot := uint32(en)
		for _, gr := range groups {
			if gr.slot == slot {
				return gr, int64(len(rq.Prefixes) - i)
			}
		}
	}
	return nil, 0
}

// Remember records that gr has the prompt's prefixes in its cache.
func (ro *Router) Remember(rq Request, gr *Group) {
	for _, prefix := range rq.Prefixes {
		ro.cache[prefix%cacheSlots].Store(prefix>>32<<32 | uint64(gr.slot))
	}
}
