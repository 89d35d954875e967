package dispatch

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"corianderhub.dev/corianderhub/internal/core/backpressure"
	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// Table holds the groups that requests may be sent to.
type Table struct {
	// DataCenter is the daemon's own.
	DataCenter string
	// Backpressure holds what endpoints say of how much they take; nil means that none says
	// anything.
	Backpressure *backpressure.Register
	// Rand chooses among groups; nil means a source of its own.
	Rand   *rand.Rand
	mu     sync.Mutex
	groups map[string]*Group
	// byName are the groups in the order of their names.
	byName []*Group
	peers  map[string]peerWork
	// delay is how old what others tell of their work is when it counts.
	delay time.Duration
	// rates are the requests that this daemon gets for each model, peerRates
	// those that the others get, a second.
	rates     arrivals
	peerRates map[string]float32
	// demands is what this daemon's callers ask of each model.
	demands demands
	// estimated is until when the requests that the others send to a model's groups were
	// estimated.
	estimated map[string]time.Time
	// residuals are by how much first events come later than engines' descriptions say.
	residuals residuals
	// numDaemons is how many daemons there are, lateNext when this one may send the next
	// late request of a model.
	numDaemons int
	lateNext   map[string]time.Time
	// began is when the first request came.
	began time.Time
	// moves are the requests of groups that broke just now.
	moves moves
	// expired is when old loads of other daemons were last looked for.
	expired time.Time
}

// Need is what a request asks of a group.
type Request struct {
	Service, Model string
	// Prompt is the number of tokens to read.
	Prompt int64
	// Objective is what is left of the latency up to the first event.
	Objective time.Duration
	// Pause is the longest pause between events.
	MaxPause time.Duration
	// Wait is the longest useful wait for the first event.
	MaxWait time.Duration
	// Last is set for a late request that was held back for as long as it may be.
	FinalAttempt bool
	// Begun is set for a request whose caller has a part of the answer.
	Resumed bool
	// Except are groups that the request was sent to before.
	Exclude []*Group
}

// late tells whether the request can't be in time any more, whatever group it is
// sent to: its caller was refused before and has come back.
func (ne *Request) late() bool { return ne.Objective <= 0 && !ne.Resumed }

// lateReserve is the part of a group's slots that is kept for requests that can be in time
// still (trunk reservation). Without it, callers that come back take the slots from
// those that come for the first time, who then come back in turn.
const lateReserve = 0.15

// SetDelay tells how old what other daemons tell of their work is when it
// counts.
func (ta *Table) SetReportDelay(delay time.Duration) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.delay = delay
}

// Update takes a view in. What is known of groups that stay is kept.
func (ta *Table) Update(vi *catalog.View, cfg *catalog.Config, now time.Time) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if ta.groups == nil {
		ta.groups = make(map[string]*Group)
		ta.peers = make(map[string]peerWork)
		ta.peerRates = make(map[string]float32)
		ta.residuals = make(residuals)
	}
	for _, gr := range ta.groups {
		gr.listed = false
	}
	for _, cg := range vi.Groups {
		en := cfg.Services[cg.Service].Engine
		if en == nil {
			continue
		}
		mo, _ := en.Model(cg.Model)
		gr := ta.groups[cg.Name]
		if gr == nil {
			gr = &Group{Group: cg, activity: now, streams: make(map[*Ticket]struct{})}
			ta.groups[cg.Name] = gr
		}
		gr.leaving, gr.reported, gr.engine, gr.model, gr.listed = cg.Leaving, cg.Slowness, en, mo, true
	}
	for name, gr := range ta.groups {
		if !gr.listed {
			ta.moves.add(gr, now)
		}
		if !gr.listed && len(gr.streams) == 0 {
			delete(ta.groups, name)
		}
	}
	ta.byName = slices.SortedFunc(maps.Values(ta.groups), func(one, other *Group) int { return strings.Compare(one.Name, other.Name) })
	ta.sumPeers(now)
}

// candidate is a group with what the request can expect of it.
type candidate struct {
	gr *Group
	Prediction
	// stated is after what time the first event comes by the engine's description.
	stated time.Duration
	fits   bool
	// running is how many requests the group is expected to run.
	running float64
	// weight is the number of requests that the group is to get of those that
	// all daemons send now.
	weight float64
}

// Choice is the outcome of a pick.
type Choice struct {
	Group *Group
	Prediction
	// Running is how many requests the group is expected to run besides.
	Running float64
	// Idle is set if half of the group's slots should be free at least.
	Idle bool
	// Fits tells whether the objective is expected to be met.
	MeetsObjective bool
	// Groups is how many groups of the model the request could be sent to. Closed is set if
	// there are some and all of them take none now because of what their heads say.
	Groups     int
	AllLimited bool
	// Again is when there should be room, if Group is nil.
	RetryAfter time.Duration
}

// Pick returns the group for a request and counts the request there.
func (ta *Table) Pick(ne Request, cancel context.CancelCauseFunc, now time.Time) (Choice, *Ticket) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if ta.rates == nil {
		ta.rates, ta.estimated, ta.demands = make(arrivals), make(map[string]time.Time), make(demands)
	}
	if !ne.Resumed {
		ta.rates.add(ne.Model, now)
	}
	if !ne.Resumed && !ne.late() && len(ne.Exclude) == 0 {
		ta.demands.asked(ne.Model, ne.Prompt, now)
	}
	ta.estimatePeers(ne.Model, now)
	cands, left := ta.candidates(ne, now)
	ch := Choice{Groups: len(cands)}
	if len(cands) == 0 {
		ch.RetryAfter = ta.opens(ne, now)
		ch.AllLimited = ch.RetryAfter > 0
		if !ch.AllLimited {
			ch.RetryAfter = againNoGroup
		}
		return ch, nil
	}
	best := choose(cands, ta.random())
	ch.Prediction, ch.MeetsObjective, ch.Running = best.Prediction, best.fits, best.running
	ch.Idle = best.running < float64(best.gr.engine.Slots)/2
	if crowded := !ne.Resumed && ta.random() < left; crowded || !best.fits && !admissible(best, ne) {
		ch.RetryAfter = max(againFull, best.FirstEvent-ne.Objective)
		return ch, nil
	}
	ch.Group = best.gr
	return ch, ta.begin(best, ne, cancel, now)
}

const (
	// againNoGroup is when a group may serve again: the time to notice a loss
	// and to put a spare in its place.
	againNoGroup = 900 * time.Millisecond
	// againElsewhere is when another daemon may take the request that this one may not send.
	againElsewhere = 900 * time.Millisecond
	// againFirst is the least time after which to come again to a group that opens soon.
	againFirst = 50 * time.Millisecond
	// againFull is when a place in a full group may be free: an answer takes some
	// 2 s, and callers come back once.
	againFull = time.Second
)

// admissible tells whether a request that misses its objective is sent all
// the same: an answer that is late is worth something to its caller, but not
// one that makes everybody else late.
func admissible(ca candidate, ne Request) bool {
	return !ca.Full && ca.FirstEvent < ne.MaxWait && ca.Pass <= ne.MaxPause
}

// candidates returns the groups that the request may be sent to, and the part
// of the requests of its kind that none of them has room for.
func (ta *Table) candidates(ne Request, now time.Time) ([]candidate, float64) {
	var cands []candidate
	var levels []level
	for _, gr := range ta.byName {
		if !gr.takes(ne) || !ta.Backpressure.Accepts(gr.head(), now) {
			continue
		}
		le, distance := ta.level(gr), ta.distance(gr)
		if ne.late() && !ne.FinalAttempt {
			le.room -= lateReserve * float64(gr.engine.Slots)
		}
		cands = append(cands, candidate{gr: gr, running: le.load})
		levels = append(levels, level{le.load + distance, le.room + distance})
	}
	limit := ne.Objective
	if ne.late() {
		limit = ne.MaxWait
	}
	moving := ta.moves.of(ne.Model, now)
	beside := max(0, float64(ta.peerRates[ne.Model]))*besideSpan.Seconds() + moving
	if moving > 0 {
		boundMoves(levels, moving)
	}
	shares, left := fill(levels, beside+1)
	for i := range cands {
		ca := &cands[i]
		ca.weight = shares[i]
		lo := ca.gr.own.plus(ca.gr.peers)
		lo.Requests = int(ca.running + shares[i]*beside/(beside+1))
		lo.Prefill += int64(shares[i] * moving / (beside + 1) * float64(ne.Prompt))
		ca.Prediction = predict(ca.gr.engine, ca.gr.model, ca.gr.slowness(), lo, ne.Prompt)
		ca.stated = ca.FirstEvent
		ca.FirstEvent += ta.residuals.of(ne.Model)
		ca.fits = !ca.Full && ca.FirstEvent <= limit && ca.Pass <= scale(ne.MaxPause, pauseMargin)
	}
	return cands, left / (beside + 1)
}

// takes tells whether a request may be sent to the group.
func (gr *Group) takes(ne Request) bool {
	if !gr.listed || gr.leaving || gr.stalled {
		return false
	}
	return gr.Service == ne.Service && gr.Model == ne.Model && !slices.Contains(ne.Exclude, gr)
}

// Opens returns after what time the first group should take the request, if all of them take
// none now because of what their heads say, and 0 otherwise.
func (ta *Table) WaitTime(ne Request, now time.Time) time.Duration {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ne.Exclude = nil
	return ta.opens(ne, now)
}

func (ta *Table) opens(ne Request, now time.Time) time.Duration {
	var heads []catalog.Instance
	for _, gr := range ta.byName {
		if gr.takes(ne) {
			heads = append(heads, gr.head())
		}
	}
	return opens(ta.Backpressure, heads, now)
}

// opens returns after what time the first of some endpoints should take a request: 0 if one
// does now, or if there is none.
func opens(reg *backpressure.Register, lives []catalog.Instance, now time.Time) time.Duration {
	first := time.Duration(0)
	for i, li := range lives {
		wait, known := reg.WaitTime(li, now)
		switch {
		case !known:
			wait = againElsewhere
		case wait <= 0:
			return 0
		}
		if wait = max(wait, againFirst); i == 0 || wait < first {
			first = wait
		}
	}
	return first
}

// distance is how many requests more the group should look to run than it does.
func (ta *Table) distance(gr *Group) float64 {
	if gr.DataCenter == ta.DataCenter {
		return 0
	}
	return remoteLoad
}

const (
	// pauseMargin is the part of the longest pause that a prediction may fill.
	pauseMargin = 0.8
	// remoteLoad is how many requests more a group of the own data centre may
	// run than one of another, for what a round trip and its bytes cost.
	remoteLoad = 2
)

// random returns a number from 0 to 1.
func (ta *Table) random() float64 {
	if ta.Rand == nil {
		ta.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return ta.Rand.Float64()
}

// choose returns one of the candidates that fit, by their weights, or else the
// best of all. The number from 0 to 1 decides.
func choose(cands []candidate, random float64) candidate {
	sum := 0.0
	for _, ca := range cands {
		if ca.fits {
			sum += ca.weight
		}
	}
	at := random * sum
	for _, ca := range cands {
		if !ca.fits || ca.weight <= 0 {
			continue
		}
		if at -= ca.weight; at < 0 {
			return ca
		}
	}
	best := cands[0]
	for _, ca := range cands[1:] {
		if ca.Full == best.Full && ca.FirstEvent < best.FirstEvent || best.Full && !ca.Full {
			best = ca
		}
	}
	return best
}

func (ta *Table) begin(ca candidate, ne Request, cancel context.CancelCauseFunc, now time.Time) *Ticket {
	gr := ca.gr
	ta.Backpressure.RecordSent(gr.head(), now)
	ti := &Ticket{Group: gr, ta: ta, load: Load{Requests: 1, Prefill: ne.Prompt}, cancel: cancel, sent: now}
	if gr.slowness() <= 1 && !ca.Full {
		ti.stated = ca.stated
	}
	if gr.own.Requests == 0 {
		gr.activity = now
	}
	gr.own = gr.own.plus(ti.load)
	gr.streams[ti] = struct{}{}
	return ti
}

// Requests returns how many requests run or wait at groups: those of this
// daemon, or those of all.
func (ta *Table) Requests(all bool) int {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	num := 0
	for _, gr := range ta.groups {
		num += gr.own.Requests
		if all {
			num += gr.peers.Requests
		}
	}
	return num
}

// GroupStatus is what operators see of a group.
type GroupStatus struct {
	Name, Model string
	Load        Load
	Stalled     bool
	Slowness    float64
}

// Status returns all groups, for status pages and metrics.
func (ta *Table) Status() []GroupStatus {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	var all []GroupStatus
	for _, gr := range ta.byName {
		all = append(all, GroupStatus{gr.Name, gr.Model, gr.own.plus(gr.peers), gr.stalled, gr.slowness()})
	}
	return all
}
