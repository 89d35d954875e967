package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// passSim simulates daemons that send requests to groups that work in passes: a pass prefills the
// prompts of the requests that got a slot and runs a stride of decode steps, at the end of which
// each request emits an event. Daemons receive each other's load reports with a delay.
type passSim struct {
	rnd     *rand.Rand
	now     time.Time
	engine  *catalog.Engine
	model   catalog.Model
	list    []catalog.Group
	groups  map[string]*passGroup
	names   []string
	daemons []*Table
	reports []delayedReport
	// held lists the delayed late requests; hold enables HoldLate.
	held []heldRequest
	hold bool
	// overhead is added to each first event. The engine's description does not include it.
	overhead time.Duration
	// objective is the latency objective for the first event.
	objective time.Duration
	// fresh counts new requests, late those whose callers have waited before.
	fresh, late outcomes
	// errors lists the prediction errors: measured minus predicted time to the first event.
	errors []time.Duration
}

// outcomes counts requests by result. complete are the answers finished within the timeout.
type outcomes struct{ sent, inTime, refused, complete int }

// heldRequest is a delayed late request.
type heldRequest struct {
	until time.Time
	rq    *passRequest
}

// passRequest is a request with the number of prompt and answer tokens.
type passRequest struct {
	arrived        time.Time
	waited         time.Duration
	prompt, answer int64
	predicted      time.Duration
	sent           time.Time
	ticket         *Ticket
	ta             *Table
	// until is the time up to which the request may be delayed.
	until  time.Time
	events int
}

// passGroup is a group with the requests in its slots and those that wait for one.
type passGroup struct {
	until time.Time
	// slowness is the factor by which passes take longer than the engine's description says; 0 means 1.
	slowness          float64
	decoding, waiting []*passRequest
}

const (
	passStep           = 2 * time.Millisecond
	passReportInterval = 100 * time.Millisecond
	passReportLatency  = 90 * time.Millisecond
	// passTimeout is the callers' timeout from their first attempt. passRecheck is the time between
	// selection attempts for a delayed late request.
	passTimeout = 6 * time.Second
	passRecheck = 100 * time.Millisecond
)

func newPassSim(seed uint64, daemons, groups int) *passSim {
	en := &catalog.Engine{Slots: 48, Stride: 5, KVTokens: 2_470_000, StepTime: 6450 * time.Microsecond, StepPerRequest: 96700 * time.Nanosecond,
		StepPerKContext: 2930 * time.Nanosecond, PrefillPerSecond: 56100, MeanAnswer: 150,
		Models: []catalog.Model{{Name: "large", Size: 2, Pace: 0.6}}}
	pw := &passSim{rnd: rand.New(rand.NewPCG(seed, 5)), now: begin, engine: en, model: en.Models[0],
		groups: make(map[string]*passGroup), objective: 300 * time.Millisecond}
	for i := range groups {
		name := fmt.Sprint("group-", i)
		pw.list, pw.names = append(pw.list, group(name, "here")), append(pw.names, name)
		pw.groups[name] = &passGroup{until: begin}
	}
	for range daemons {
		ta := &Table{DataCenter: "here", Rand: pw.rnd}
		pw.update(ta)
		ta.SetReportDelay(passReportInterval/2 + passReportLatency)
		ta.SetDaemonCount(daemons)
		pw.daemons = append(pw.daemons, ta)
	}
	return pw
}

func (pw *passSim) update(ta *Table) {
	ta.Update(&catalog.View{Groups: pw.list}, &catalog.Config{Services: map[string]catalog.Service{"engine": {Engine: pw.engine}}}, pw.now)
}

// capacity returns the number of requests per second that all groups answer with all slots in use.
func (pw *passSim) capacity() float64 {
	return float64(len(pw.groups)) / catalog.Demand{Requests: 1, Prompt: 714, Answer: 150}.Groups(pw.engine, pw.model)
}

// simulate advances the simulation by dur while requests arrive at the given rate per second.
func (pw *passSim) simulate(perSecond float64, dur time.Duration) {
	due := 0.0
	for end := pw.now.Add(dur); pw.now.Before(end); pw.now = pw.now.Add(passStep) {
		for due += perSecond * passStep.Seconds(); due >= 1; due-- {
			pw.arrive(pw.request(0))
		}
		pw.release()
		for _, name := range pw.names {
			pw.advance(pw.groups[name])
		}
		pw.exchangeReports()
	}
}

// request returns a request whose caller has already waited for that time.
func (pw *passSim) request(waited time.Duration) *passRequest {
	return &passRequest{arrived: pw.now, waited: waited, ta: pw.daemons[pw.rnd.IntN(len(pw.daemons))],
		prompt: pw.size(714, 0.89, 2340), answer: pw.size(150, 0.7, 370)}
}

// size returns a log-normally distributed number of tokens of the given mean and relative standard
// deviation, limited to most.
func (pw *passSim) size(mean, spread, most float64) int64 {
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	return max(1, int64(min(most, mean*math.Exp(sigma*pw.rnd.NormFloat64()-sigma*sigma/2))))
}

func (pw *passSim) dispatchRequest(rq *passRequest) Request {
	return Request{Service: "engine", Model: "large", Prompt: rq.prompt, Objective: pw.objective - rq.waited - pw.now.Sub(rq.arrived),
		FinalAttempt: !rq.until.IsZero() && pw.now.Add(passRecheck).After(rq.until), MaxPause: 200 * time.Millisecond, MaxWait: 1500 * time.Millisecond,
		Waited: rq.waited, Left: passTimeout - rq.waited - pw.now.Sub(rq.arrived)}
}

// arrive passes the request to its daemon, which may delay it if it is late.
func (pw *passSim) arrive(rq *passRequest) {
	pw.count(rq).sent++
	if ho := rq.ta.HoldLate(pw.dispatchRequest(rq), passTimeout-rq.waited, pw.now); pw.hold && ho.Delay > 0 {
		rq.until = pw.now.Add(ho.MaxDelay)
		pw.held = append(pw.held, heldRequest{pw.now.Add(ho.Delay), rq})
		return
	}
	pw.pick(rq)
}

// release sends the delayed requests that are due.
func (pw *passSim) release() {
	held := pw.held
	pw.held = nil
	for _, hr := range held {
		if hr.until.After(pw.now) {
			pw.held = append(pw.held, hr)
			continue
		}
		pw.pick(hr.rq)
	}
}

// pick sends the request to a group, delays it again or counts it as refused.
func (pw *passSim) pick(rq *passRequest) {
	ch, ti := rq.ta.Pick(pw.dispatchRequest(rq), ignore, pw.now)
	if ti == nil && pw.now.Add(passRecheck).Before(rq.until) {
		pw.held = append(pw.held, heldRequest{pw.now.Add(passRecheck), rq})
		return
	}
	if ti == nil {
		pw.count(rq).refused++
		return
	}
	rq.ticket, rq.sent, rq.predicted = ti, pw.now, ch.FirstEvent
	gr := pw.groups[ch.Group.Name]
	gr.waiting = append(gr.waiting, rq)
}

// count returns the counters for requests of the same kind, new or late.
func (pw *passSim) count(rq *passRequest) *outcomes {
	if rq.waited > 0 {
		return &pw.late
	}
	return &pw.fresh
}

// advance ends a group's pass if it is over and starts the next one.
func (pw *passSim) advance(gr *passGroup) {
	if gr.until.After(pw.now) {
		return
	}
	gr.decoding = slices.DeleteFunc(gr.decoding, pw.emit)
	prefill, context := int64(0), int64(0)
	for len(gr.decoding) < pw.engine.Slots && len(gr.waiting) > 0 {
		prefill += gr.waiting[0].prompt
		gr.decoding = append(gr.decoding, gr.waiting[0])
		gr.waiting = gr.waiting[1:]
	}
	if len(gr.decoding) == 0 {
		return
	}
	for _, rq := range gr.decoding {
		context += rq.prompt + int64(rq.events*pw.engine.Stride)
	}
	pass := passTime(pw.engine, len(gr.decoding), context) + prefillTime(pw.engine, prefill)
	gr.until = pw.now.Add(scale(pass, pw.model.Pace*max(1, gr.slowness)))
}

// emit makes a request emit an event and reports whether its answer is complete.
func (pw *passSim) emit(rq *passRequest) bool {
	if rq.events == 0 {
		rq.ticket.Event(pw.now.Add(pw.overhead))
	} else {
		rq.ticket.Event(pw.now)
	}
	if rq.events++; rq.events == 1 {
		first := pw.now.Add(pw.overhead)
		pw.errors = append(pw.errors, first.Sub(rq.sent)-rq.predicted)
		if rq.waited == 0 && first.Sub(rq.arrived) <= pw.objective {
			pw.fresh.inTime++
		}
	}
	if int64(rq.events*pw.engine.Stride) < rq.answer {
		return false
	}
	rq.ticket.End()
	rq.ta.RecordAnswer(rq.ticket.Group, rq.events, pw.now)
	if pw.now.Sub(rq.arrived)+rq.waited <= passTimeout {
		pw.count(rq).complete++
	}
	return true
}

// exchangeReports makes each daemon send its periodic load report and delivers the reports that are
// due.
func (pw *passSim) exchangeReports() {
	for i, ta := range pw.daemons {
		if pw.now.Sub(begin)/passStep%(passReportInterval/passStep) == time.Duration(i)%(passReportInterval/passStep) {
			pw.reports = append(pw.reports, delayedReport{pw.now.Add(passReportLatency), i, ta.OwnWork(pw.now)})
		}
	}
	for len(pw.reports) > 0 && !pw.reports[0].at.After(pw.now) {
		dr := pw.reports[0]
		pw.reports = pw.reports[1:]
		for i, ta := range pw.daemons {
			if i != dr.from {
				ta.ApplyPeerWork(fmt.Sprint(dr.from), dr.work, dr.at)
			}
		}
	}
}
