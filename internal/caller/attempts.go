package caller

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"corianderhub.dev/corianderhub/internal/core/route"
	"corianderhub.dev/corianderhub/internal/endpoint"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

const (
	// maxAttempts is the maximum number of attempts for one completion.
	maxAttempts = 6
	// maxResumeWait bounds the wait for a group that can resume an interrupted
	// response. resumePollInterval is the time between two tries to pick one.
	maxResumeWait      = 5 * time.Second
	resumePollInterval = 50 * time.Millisecond
)

// attempts are the attempts of one completion. Usually one is running. If its engine falls silent,
// more are started beside it, all from the text received so far, and the first that sends more text
// is kept. Only one goroutine uses attempts.
type attempts struct {
	se      *Server
	co      *completion
	events  chan attemptEvent
	silence *silenceWatch
	// ended counts the goroutines that still run.
	ended   sync.WaitGroup
	running []*attempt
	started int
	// progressed is true if text was received since the last attempt was started.
	progressed bool
	// stopped is true if no further attempt may be started.
	stopped bool
	// declined is why the last silence started no attempt, so that each reason is reported once.
	declined string
}

// runAttempts tries groups until the response is complete. After a failure the
// next group resumes after the tokens already sent.
func (se *Server) runAttempts(ctx context.Context, co *completion) error {
	se.budget.Earn()
	as := &attempts{se: se, co: co, events: make(chan attemptEvent), silence: newSilenceWatch(se.Clock, se.StallTimeout)}
	ctx, cancel := context.WithCancel(ctx)
	defer as.ended.Wait()
	defer as.dropExcept(nil)
	defer cancel()
	as.ended.Go(func() { as.silence.run(ctx) })
	if ve := as.startNext(ctx); ve != nil {
		return co.adjustVerdict(ve)
	}
	for {
		done, ve := as.wait(ctx)
		if ve != nil {
			return co.adjustVerdict(ve)
		}
		if done {
			return nil
		}
	}
}

// wait handles the next event. It reports whether the response is complete. An error ends the
// completion.
func (as *attempts) wait(ctx context.Context) (bool, *verdict.Error) {
	select {
	case ev := <-as.events:
		return as.onEvent(ctx, ev)
	case <-as.silence.signals:
		return as.onSilence(ctx), nil
	}
}

// onEvent handles an event. It ignores those of dropped attempts, whose cancellation they may cross.
func (as *attempts) onEvent(ctx context.Context, ev attemptEvent) (bool, *verdict.Error) {
	switch ev := ev.(type) {
	case chunkReceived:
		if slices.Contains(as.running, ev.at) {
			return false, as.onChunk(ev.at, ev.ch)
		}
	case attemptEnded:
		if slices.Contains(as.running, ev.at) {
			return as.onEnd(ctx, ev.at, ev.err)
		}
	}
	return false, nil
}

// startNext starts an attempt when none is running.
func (as *attempts) startNext(ctx context.Context) *verdict.Error {
	for {
		if ve := as.se.checkQuarantine(ctx, as.co, as.started == 0); ve != nil {
			return ve
		}
		gr := as.se.pickGroup(ctx, as.co)
		if gr == nil {
			return errNoGroup()
		}
		ve := as.start(ctx, gr, "picked")
		if ve == nil || !as.mayStartNext(ctx, ve) {
			return ve
		}
	}
}

// mayStartNext reports whether an attempt may follow the failure of the last one that was running.
// An attempt that added tokens leaves less work for the next one, so resuming
// does not multiply the load. An attempt without progress is a retry and counts
// against the retry budget, which limits the extra load that a fault causes.
func (as *attempts) mayStartNext(ctx context.Context, ve *verdict.Error) bool {
	if as.stopped || !as.co.mayContinue(ve) || ctx.Err() != nil || as.started == maxAttempts || !as.canEnd() {
		return false
	}
	return as.progressed || as.se.budget.Spend()
}

// canEnd reports whether another attempt can be expected to end before the daemon stops. One that
// resumes a response has only the rest of it to do.
func (as *attempts) canEnd() bool { return as.co.sentTokens > 0 || as.se.canEnd(as.co.ex) }

// start starts an attempt at a group.
func (as *attempts) start(ctx context.Context, gr *route.Group, reason string) *verdict.Error {
	as.started++
	as.progressed = false
	at, rq, ve := as.se.newAttempt(as.co, gr)
	if ve != nil {
		as.se.explain(as.co, gr, ve.Error())
		return ve
	}
	num := as.co.estimatedTokens()
	gr.Begin(num)
	as.se.explain(as.co, gr, reason)
	ctx, at.cancel = context.WithCancel(ctx)
	as.running = append(as.running, at)
	as.silence.reset()
	as.ended.Go(func() {
		defer gr.End(num)
		at.run(ctx, rq, as.events)
	})
	return nil
}

// dropExcept drops all running attempts but keep.
func (as *attempts) dropExcept(keep *attempt) {
	for _, at := range as.running {
		if at != keep {
			at.drop()
		}
	}
	as.running = slices.DeleteFunc(as.running, func(at *attempt) bool { return at != keep })
}

// onChunk passes the text of a chunk on. The first attempt that sends text is kept and the others
// are dropped: a chunk without text does not show that the engine goes on with the response.
func (as *attempts) onChunk(at *attempt, ch endpoint.Chunk) *verdict.Error {
	// The write to the caller may block, which is no silence of the engine.
	defer as.silence.reset()
	at.silent = false
	if ch.KeepAlive {
		return nil
	}
	at.recordChunk(ch)
	if ch.Text == "" && ch.FinishReason == "" {
		return nil
	}
	as.keep(at)
	if !at.begun && as.co.sentTokens > 0 {
		resumesTotal.Inc()
	}
	at.begun = true
	if err := as.co.relay(ch, as.se.Clock.Now()); err != nil {
		ve := verdict.As(err)
		as.se.explain(as.co, at.gr, ve.Error())
		return ve
	}
	as.progressed = as.progressed || ch.Text != ""
	return nil
}

// keep drops the attempts beside the one that has gone on.
func (as *attempts) keep(at *attempt) {
	as.declined = ""
	if len(as.running) == 1 {
		return
	}
	as.se.explain(as.co, at.gr, "went on first; the attempts beside it were canceled")
	as.se.Log.Info("caller: attempt went on first.", "request", as.co.ex.id, "group", at.gr.ID, "attempts", as.started,
		"canceled", groupsOf(as.running, at), "tokens", as.co.sentTokens)
	as.dropExcept(at)
}

// groupsOf returns the groups of the attempts without that of except.
func groupsOf(running []*attempt, except *attempt) string {
	var ids []string
	for _, at := range running {
		if at != except {
			ids = append(ids, at.gr.ID)
		}
	}
	return strings.Join(ids, " ")
}

// onEnd handles the end of an attempt. It starts another one if none is left that may go on.
func (as *attempts) onEnd(ctx context.Context, at *attempt, err error) (bool, *verdict.Error) {
	at.cancel()
	if err == nil || as.co.finishReason != "" && ctx.Err() == nil {
		as.complete(at)
		return true, nil
	}
	as.running = slices.DeleteFunc(as.running, func(other *attempt) bool { return other == at })
	ve := verdict.As(err)
	as.se.explain(as.co, at.gr, ve.Error())
	as.co.mayHaveRun = as.co.mayHaveRun || ve.Verdict != verdict.NotRun
	if ctx.Err() != nil {
		as.co.mayHaveRun = as.co.mayHaveRun || len(as.running) > 0
		return false, ve
	}
	crashed := as.se.recordCrash(ctx, as.co, at.target.Address, ve, at.begun)
	as.stopped = as.stopped || crashed || !as.co.mayContinue(ve)
	if len(as.running) > 0 {
		if !slices.ContainsFunc(as.running, func(at *attempt) bool { return !at.silent }) {
			as.startBeside(ctx)
		}
		return false, nil
	}
	if !as.mayStartNext(ctx, ve) {
		return false, ve
	}
	return false, as.startNext(ctx)
}

// complete records that an attempt has completed the response. The engine has ended the response or
// sent a finish reason: then only what follows the text, such as the usage, can be missing.
func (as *attempts) complete(at *attempt) {
	as.keep(at)
	as.co.usage = at.usage
	as.se.recordCompletion(as.co, at.sentAt)
}

// onSilence handles that no running attempt has received anything for the stall timeout. Silence does
// not show that an engine is lost, so the attempts go on. It reports whether the response is complete.
func (as *attempts) onSilence(ctx context.Context) bool {
	if len(as.running) == 0 || as.silence.remaining() > 0 {
		return false
	}
	if as.co.finishReason != "" {
		as.complete(as.running[0])
		return true
	}
	as.co.routing.Exclude = nil
	for _, at := range as.running {
		at.silent = true
		as.co.routing.Exclude = append(as.co.routing.Exclude, at.gr)
	}
	as.silence.reset()
	as.startBeside(ctx)
	return false
}

// startBeside starts an attempt beside those that are silent, if one may be started.
func (as *attempts) startBeside(ctx context.Context) {
	silent := as.running[len(as.running)-1]
	gr, declined := as.pickBeside(ctx)
	if gr == nil {
		as.reportDeclined(silent, declined)
		return
	}
	as.declined = ""
	as.se.Log.Info("caller: engine silent; attempt started beside it.", "request", as.co.ex.id, "silent", groupsOf(as.running, nil),
		"group", gr.ID, "timeout", as.se.StallTimeout, "attempts", as.started, "tokens", as.co.sentTokens)
	if ve := as.start(ctx, gr, "picked, since "+groupsOf(as.running, nil)+" is silent"); ve != nil {
		as.reportDeclined(silent, ve.Error())
	}
}

func (as *attempts) reportDeclined(silent *attempt, reason string) {
	if reason == as.declined {
		return
	}
	as.declined = reason
	as.se.explain(as.co, silent.gr, "silent; waiting for it: "+reason)
	as.se.Log.Info("caller: engine silent; waiting for it.", "request", as.co.ex.id, "silent", groupsOf(as.running, nil),
		"reason", reason, "timeout", as.se.StallTimeout, "attempts", as.started, "tokens", as.co.sentTokens)
}

// pickBeside returns a group for an attempt beside the silent ones, or nil and the reason why there
// is none. It leaves one attempt for the case that all running ones fail.
func (as *attempts) pickBeside(ctx context.Context) (*route.Group, string) {
	if as.stopped || !as.co.mayContinue(errSilent()) {
		return nil, "the request may not be sent again"
	}
	if as.started >= maxAttempts-1 {
		return nil, "no attempt left"
	}
	if !as.canEnd() {
		return nil, "the daemon stops"
	}
	if ve := as.se.checkQuarantine(ctx, as.co, false); ve != nil {
		return nil, ve.Error()
	}
	gr := as.co.pool.router.Pick(as.co.routing)
	if gr == nil {
		return nil, "no other group"
	}
	if !as.progressed && !as.se.budget.Spend() {
		return nil, "the retry budget is spent"
	}
	return gr, ""
}

// errSilent is the error that stands for an attempt without an outcome.
func errSilent() *verdict.Error {
	return &verdict.Error{Code: verdict.CodeEndpointFailed, Verdict: verdict.MayHaveRun, Message: "the engine is silent"}
}

// mayContinue reports whether another attempt is allowed after the failure. A
// response that has begun can be resumed only for a chat, since only a message
// list can be extended by the partial response.
func (co *completion) mayContinue(ve *verdict.Error) bool {
	if ve.Code == verdict.CodeBadRequest || ve.Code == verdict.CodeCallerGone {
		return false
	}
	resumable := co.sentTokens == 0 || co.chat
	return resumable && co.guard.mayRetry(ve, true)
}

// adjustVerdict returns the error for the caller. If tokens have been sent or an
// earlier attempt may have run, the request may have run, even if the last
// engine refused it.
func (co *completion) adjustVerdict(ve *verdict.Error) error {
	if co.sentTokens > 0 || co.mayHaveRun {
		ve.Verdict = verdict.MayHaveRun
	}
	return ve
}

// relay records the text of a chunk and passes it on.
func (co *completion) relay(ch endpoint.Chunk, now time.Time) error {
	if ch.Text != "" {
		if co.sentTokens == 0 {
			firstTokenSeconds.Update(now.Sub(co.ex.record.Begin).Seconds())
		}
		tokensTotal.Inc()
		co.sentTokens++
		co.sentText.WriteString(ch.Text)
	}
	if ch.FinishReason != "" {
		co.finishReason = ch.FinishReason
	}
	return co.out.writeChunk(ch)
}

// pickGroup returns a group that has not been tried, or else any group: an
// interrupted stream does not mean that the group is lost. If the caller has
// part of the response, it waits up to maxResumeWait for a group; otherwise it
// returns nil at once, so that the request is refused without delay.
func (se *Server) pickGroup(ctx context.Context, co *completion) *route.Group {
	for waited := time.Duration(0); ; waited += resumePollInterval {
		if gr := co.pool.router.Pick(co.routing); gr != nil {
			return gr
		}
		co.routing.Exclude = nil
		if gr := co.pool.router.Pick(co.routing); gr != nil {
			return gr
		}
		if co.sentTokens == 0 || waited >= maxResumeWait || se.Clock.Sleep(ctx, resumePollInterval) != nil {
			return nil
		}
	}
}
