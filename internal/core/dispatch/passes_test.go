package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// passWorld plays daemons before groups that work in passes: a pass reads the prompts of
// the requests that have got a slot and runs a stride of steps, at the end of which each
// request emits an event. Daemons hear of each other's load late.
type passWorld struct {
	rnd     *rand.Rand
	now     time.Time
	engine  *catalog.Engine
	model   catalog.Model
	list    []catalog.Group
	groups  map[string]*passGroup
	names   []string
	daemons []*Table
	told    []toldWork
	// held are late requests that are held back, where hold is set.
	held []heldRequest
	hold bool
	// overhead is added to each first event; the engine's description does not tell it.
	overhead time.Duration
	// objective is the latency up to the first event.
	objective time.Duration
	// fresh and late count the requests by whether their callers were there before.
	fresh, late outcomes
	// errors are the first events' times less their predictions.
	errors []time.Duration
}

// outcomes counts requests.
type outcomes struct{ sent, inTime, refused, whole int }

// heldRequest is a late request that is held back.
type heldRequest struct {
	until time.Time
	rq    *passRequest
}

// passRequest is a request with the tokens to read and to write.
type passRequest struct {
	arrived        time.Time
	waited         time.Duration
	prompt, answer int64
	predicted      time.Duration
	sent           time.Time
	ticket         *Ticket
	ta             *Table
	// until is how long it may be held back.
	until  time.Time
	events int
}

// passGroup is a group with the requests in its slots and those that wait for one.
type passGroup struct {
	until            time.Time
	writing, waiting []*passRequest
}

const (
	passStep = 2 * time.Millisecond
	passTell = 100 * time.Millisecond
	passWay  = 90 * time.Millisecond
	// passTimeout is how long callers wait from their first attempt, passAgain the time
	// between two looks for room for late requests that were held back.
	passTimeout = 6 * time.Second
	passAgain   = 100 * time.Millisecond
)

func newPassWorld(seed uint64, daemons, groups int) *passWorld {
	en := &catalog.Engine{Slots: 48, Stride: 5, KVTokens: 2_470_000, Step: 6450 * time.Microsecond, StepPerRequest: 96700 * time.Nanosecond,
		StepPerKContext: 2930 * time.Nanosecond, PrefillPerSecond: 56100, MeanAnswer: 150,
		Models: []catalog.Model{{Name: "large", Size: 2, Pace: 0.6}}}
	pw := &passWorld{rnd: rand.New(rand.NewPCG(seed, 5)), now: begin, engine: en, model: en.Models[0],
		groups: make(map[string]*passGroup), objective: 300 * time.Millisecond}
	for i := range groups {
		name := fmt.Sprint("group-", i)
		pw.list, pw.names = append(pw.list, group(name, "here")), append(pw.names, name)
		pw.groups[name] = &passGroup{until: begin}
	}
	for range daemons {
		ta := &Table{DataCenter: "here", Rand: pw.rnd}
		pw.update(ta)
		ta.SetReportDelay(passTell/2 + passWay)
		ta.SetDaemonCount(daemons)
		pw.daemons = append(pw.daemons, ta)
	}
	return pw
}

func (pw *passWorld) update(ta *Table) {
	ta.Update(&catalog.View{Groups: pw.list}, &catalog.Config{Services: map[string]catalog.Service{"engine": {Engine: pw.engine}}}, pw.now)
}

// capacity is how many requests all groups answer in a second with all slots taken.
func (pw *passWorld) capacity() float64 {
	return float64(len(pw.groups)) / catalog.Demand{Requests: 1, Prompt: 714, Answer: 150}.Groups(pw.engine, pw.model)
}

// play lets requests come at that rate for a time.
func (pw *passWorld) play(perSecond float64, dur time.Duration) {
	due := 0.0
	for end := pw.now.Add(dur); pw.now.Before(end); pw.now = pw.now.Add(passStep) {
		for due += perSecond * passStep.Seconds(); due >= 1; due-- {
			pw.arrive(pw.request(0))
		}
		pw.release()
		for _, name := range pw.names {
			pw.advance(pw.groups[name])
		}
		pw.tell()
	}
}

// request is one that its caller has waited for already.
func (pw *passWorld) request(waited time.Duration) *passRequest {
	return &passRequest{arrived: pw.now, waited: waited, ta: pw.daemons[pw.rnd.IntN(len(pw.daemons))],
		prompt: pw.size(714, 0.89, 2340), answer: pw.size(150, 0.7, 370)}
}

// size draws a number of tokens around a mean.
func (pw *passWorld) size(mean, spread, most float64) int64 {
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	return max(1, int64(min(most, mean*math.Exp(sigma*pw.rnd.NormFloat64()-sigma*sigma/2))))
}

func (pw *passWorld) need(rq *passRequest) Request {
	return Request{Service: "engine", Model: "large", Prompt: rq.prompt, Objective: pw.objective - rq.waited - pw.now.Sub(rq.arrived),
		FinalAttempt: !rq.until.IsZero() && pw.now.Add(passAgain).After(rq.until), MaxPause: 200 * time.Millisecond, MaxWait: 1500 * time.Millisecond}
}

func (pw *passWorld) arrive(rq *passRequest) {
	pw.count(rq).sent++
	if ho := rq.ta.HoldLate(pw.need(rq), passTimeout-rq.waited, pw.now); pw.hold && ho.Delay > 0 {
		rq.until = pw.now.Add(ho.MaxDelay)
		pw.held = append(pw.held, heldRequest{pw.now.Add(ho.Delay), rq})
		return
	}
	pw.pick(rq)
}

// release sends the late requests that were held back long enough.
func (pw *passWorld) release() {
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

func (pw *passWorld) pick(rq *passRequest) {
	ch, ti := rq.ta.Pick(pw.need(rq), ignore, pw.now)
	if ti == nil && pw.now.Add(passAgain).Before(rq.until) {
		pw.held = append(pw.held, heldRequest{pw.now.Add(passAgain), rq})
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

func (pw *passWorld) count(rq *passRequest) *outcomes {
	if rq.waited > 0 {
		return &pw.late
	}
	return &pw.fresh
}

// advance ends a group's pass and begins the next one.
func (pw *passWorld) advance(gr *passGroup) {
	if gr.until.After(pw.now) {
		return
	}
	gr.writing = slices.DeleteFunc(gr.writing, pw.emit)
	reading, context := int64(0), int64(0)
	for len(gr.writing) < pw.engine.Slots && len(gr.waiting) > 0 {
		reading += gr.waiting[0].prompt
		gr.writing = append(gr.writing, gr.waiting[0])
		gr.waiting = gr.waiting[1:]
	}
	if len(gr.writing) == 0 {
		return
	}
	for _, rq := range gr.writing {
		context += rq.prompt + int64(rq.events*pw.engine.Stride)
	}
	pass := passTime(pw.engine, len(gr.writing), context) + readTime(pw.engine, reading)
	gr.until = pw.now.Add(scale(pass, pw.model.Pace))
}

// emit lets a request emit an event, and tells whether it is done.
func (pw *passWorld) emit(rq *passRequest) bool {
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
		pw.count(rq).whole++
	}
	return true
}

// tell makes each daemon tell of its work once in a while, which the others hear later.
func (pw *passWorld) tell() {
	for i, ta := range pw.daemons {
		if pw.now.Sub(begin)/passStep%(passTell/passStep) == time.Duration(i)%(passTell/passStep) {
			pw.told = append(pw.told, toldWork{pw.now.Add(passWay), i, ta.OwnWork(pw.now)})
		}
	}
	for len(pw.told) > 0 && !pw.told[0].at.After(pw.now) {
		to := pw.told[0]
		pw.told = pw.told[1:]
		for i, ta := range pw.daemons {
			if i != to.from {
				ta.ApplyPeerWork(fmt.Sprint(to.from), to.work, to.at)
			}
		}
	}
}
