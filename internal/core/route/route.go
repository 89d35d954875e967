// Package route picks the group for a request. Reports of load and of caches
// come late and with gaps, so a pick adds what this daemon has sent since the
// last report, and compares two random groups rather than all: daemons that
// all see the same old report would otherwise all choose the same group.
package route

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Target is a group as the control state describes it.
type Target struct {
	ID string
	// Reported is the engines' own account of resident and pending tokens.
	Reported int64
	// ReportedAt identifies the report.
	ReportedAt time.Time
	// Requests is the reported number of open requests.
	Requests int
	// Capacity is how many tokens the group holds.
	Capacity int64
	// Near groups are preferred.
	Near bool
}

// Group is a target with what this daemon knows of it besides. Its counters
// are safe for use by several goroutines.
type Group struct {
	ID       string
	slot     uint32
	capacity atomic.Int64
	reported atomic.Int64
	requests atomic.Int64
	// open counts the tokens and requests of this daemon that have not ended.
	openTokens   atomic.Int64
	openRequests atomic.Int64
	// current and previous count the tokens sent since the last report and in
	// the period before: a report may lag by a whole period.
	current  atomic.Int64
	previous atomic.Int64
	// pace is the smoothed time between tokens in nanoseconds.
	pace       atomic.Int64
	slow       atomic.Bool
	reportedAt time.Time
}

// Load is the estimated number of tokens that the group works on.
func (gr *Group) Load() int64 {
	return max(gr.reported.Load()+gr.current.Load()+gr.previous.Load(), gr.openTokens.Load())
}

// Capacity returns how many tokens the group holds.
func (gr *Group) Capacity() int64 { return gr.capacity.Load() }

// Open returns the tokens that this daemon has open on the group.
func (gr *Group) OpenTokens() int64 { return gr.openTokens.Load() }

// Begin counts a request of that many tokens as sent to the group.
func (gr *Group) Begin(tokens int64) {
	gr.openTokens.Add(tokens)
	gr.openRequests.Add(1)
	gr.current.Add(tokens)
}

// End counts a request as ended.
func (gr *Group) End(tokens int64) {
	gr.openTokens.Add(-tokens)
	gr.openRequests.Add(-1)
}

// paceShift smooths the pace over about 2^paceShift tokens.
const paceShift = 4

// Token counts the time between two tokens of a stream.
func (gr *Group) RecordTokenGap(gap time.Duration) {
	old := gr.pace.Load()
	if old == 0 {
		gr.pace.Store(int64(gap))
		return
	}
	gr.pace.Store(old + (int64(gap)-old)>>paceShift)
}

// Slow tells whether the group is far slower than the others.
func (gr *Group) Slow() bool { return gr.slow.Load() }

// Policy chooses among groups. It is one of TokenAffinity, CurrentWorkload,
// Random, RoundRobin and LeastRequests.
type Policy interface{ isPolicy() }

// TokenAffinity is the product's own: the cheaper of two random groups and of
// the group that last served the prompt's prefix, by tokens of work.
type TokenAffinity struct{}

// CurrentWorkload sends to the group with the least tokens of all, after the
// current-workload rule of arXiv 2601.17855 for one request at a time.
type CurrentWorkload struct{}

// Random, RoundRobin and LeastRequests are baselines.
type (
	// Random picks any group.
	Random struct{}
	// RoundRobin picks the groups in turn.
	RoundRobin struct{}
	// LeastRequests picks the group with the fewest open requests.
	LeastRequests struct{}
)

func (TokenAffinity) isPolicy()   {}
func (CurrentWorkload) isPolicy() {}
func (Random) isPolicy()          {}
func (RoundRobin) isPolicy()      {}
func (LeastRequests) isPolicy()   {}

// Request is what a pick depends on.
type Request struct {
	// Prefixes are hashes of the prompt's beginnings, the longest first.
	Prefixes []uint64
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int64
	// Except are groups that have been tried.
	Exclude []*Group
}

const (
	// slowFactor is how much slower than the median a group must be to be
	// avoided, and by how much its load then counts more.
	slowFactor = 3
	// minPaced is how many groups must have a pace before they are compared.
	minPaced = 3
	// cacheSlots is the size of the memory of prefixes.
	cacheSlots = 1 << 15
)

// Router holds the groups of one model. Make it with New.
type Router struct {
	policy Policy
	mu     sync.Mutex
	byID   map[string]*Group
	nextID uint32
	groups atomic.Pointer[[]*Group]
	turn   atomic.Uint64
	// cache remembers which group last served a prefix: the upper half of an
	// entry is the prefix's, the lower the group's slot.
	cache [cacheSlots]atomic.Uint64
}

// New returns a router without groups.
func New(policy Policy) *Router {
	ro := &Router{policy: policy, byID: make(map[string]*Group)}
	ro.groups.Store(&[]*Group{})
	return ro
}

// Update replaces the groups that may be picked. Counters of groups that stay
// are kept.
func (ro *Router) Update(targets []Target) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	near := slices.ContainsFunc(targets, func(ta Target) bool { return ta.Near })
	var groups []*Group
	for _, ta := range targets {
		gr := ro.group(ta)
		if ta.Near || !near {
			groups = append(groups, gr)
		}
	}
	ro.forget(targets)
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

// forget drops groups that are gone and have no open request.
func (ro *Router) forget(targets []Target) {
	for id, gr := range ro.byID {
		here := slices.ContainsFunc(targets, func(ta Target) bool { return ta.ID == id })
		if !here && gr.openRequests.Load() == 0 {
			delete(ro.byID, id)
		}
	}
}

func markSlow(groups []*Group) {
	var paces []int64
	for _, gr := range groups {
		if pace := gr.pace.Load(); pace > 0 {
			paces = append(paces, pace)
		}
	}
	if len(paces) < minPaced {
		return
	}
	slices.Sort(paces)
	median := paces[len(paces)/2]
	for _, gr := range groups {
		gr.slow.Store(gr.pace.Load() > slowFactor*median)
	}
}

// Groups returns the groups that may be picked.
func (ro *Router) Groups() []*Group { return *ro.groups.Load() }

// Pick returns the group for the request, or nil if there is none.
func (ro *Router) Pick(rq Request) *Group {
	groups := *ro.groups.Load()
	if len(groups) == 0 {
		return nil
	}
	switch ro.policy.(type) {
	case TokenAffinity:
		return ro.pickAffinity(groups, rq)
	case CurrentWorkload:
		return least(groups, rq.Exclude, (*Group).Load)
	case Random:
		return after(groups, rq.Exclude, rand.IntN(len(groups)))
	case RoundRobin:
		return after(groups, rq.Exclude, int(ro.turn.Add(1)%uint64(len(groups))))
	case LeastRequests:
		return least(groups, rq.Exclude, func(gr *Group) int64 {
			return max(gr.requests.Load(), gr.openRequests.Load())
		})
	}
	return nil
}

// after returns the first group from start on that is not excepted.
func after(groups []*Group, except []*Group, start int) *Group {
	for i := range groups {
		gr := groups[(start+i)%len(groups)]
		if !slices.Contains(except, gr) {
			return gr
		}
	}
	return nil
}

func least(groups []*Group, except []*Group, cost func(*Group) int64) *Group {
	var best *Group
	var bestCost int64
	start := rand.IntN(len(groups))
	for i := range groups {
		gr := groups[(start+i)%len(groups)]
		if slices.Contains(except, gr) {
			continue
		}
		if co := cost(gr); best == nil || co < bestCost {
			best, bestCost = gr, co
		}
	}
	return best
}

func (ro *Router) pickAffinity(groups []*Group, rq Request) *Group {
	first := after(groups, rq.Exclude, rand.IntN(len(groups)))
	second := after(groups, rq.Exclude, rand.IntN(len(groups)))
	if first == nil {
		return nil
	}
	best, bestCost := first, first.cost(rq.PromptTokens)
	if co := second.cost(rq.PromptTokens); co < bestCost {
		best, bestCost = second, co
	}
	cached, part := ro.cached(groups, rq)
	if cached == nil || slices.Contains(rq.Exclude, cached) {
		return best
	}
	// What the cache saves counts against the load: affinity ends by itself
	// where the cached group is busier than the saving is worth.
	if cached.cost(rq.PromptTokens-rq.PromptTokens*part/int64(len(rq.Prefixes))) <= bestCost {
		return cached
	}
	return best
}

// cost is the work that stands before a request with that many tokens to
// prefill.
func (gr *Group) cost(prefill int64) int64 {
	co := gr.Load() + prefill
	if gr.slow.Load() {
		co = co*slowFactor + gr.capacity.Load()/slowFactor
	}
	return co
}

// cached returns the group that served the longest remembered prefix, and how
// many of the prefixes that covers.
func (ro *Router) cached(groups []*Group, rq Request) (*Group, int64) {
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

// Remember notes that gr has the prompt's prefixes in its cache.
func (ro *Router) Remember(rq Request, gr *Group) {
	for _, prefix := range rq.Prefixes {
		ro.cache[prefix%cacheSlots].Store(prefix>>32<<32 | uint64(gr.slot))
	}
}
