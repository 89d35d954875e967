package caller

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"corianderhub.dev/corianderhub/internal/core/admit"
	"corianderhub.dev/corianderhub/internal/core/claim"
	"corianderhub.dev/corianderhub/internal/core/control"
	"corianderhub.dev/corianderhub/internal/core/quarantine"
	"corianderhub.dev/corianderhub/internal/core/route"
	"corianderhub.dev/corianderhub/internal/endpoint"
	"corianderhub.dev/corianderhub/pkg/admin"
	"corianderhub.dev/corianderhub/pkg/hub"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

const (
	// bytesPerToken estimates the number of tokens of a prompt from its length.
	bytesPerToken = 4
	// defaultMaxTokens is the estimated length of a response if the request
	// sets no limit.
	defaultMaxTokens = 256
	// maxAttempts is the maximum number of attempts for one completion.
	maxAttempts = 6
	// maxResumeWait bounds the wait for a group that can resume an interrupted
	// response. resumePollInterval is the time between two tries to pick one.
	maxResumeWait      = 5 * time.Second
	resumePollInterval = 50 * time.Millisecond
)

var (
	firstTokenSeconds = metrics.NewSummary("corianderhub_first_token_seconds")
	tokensTotal       = metrics.NewCounter("corianderhub_tokens_total")
	resumesTotal      = metrics.NewCounter("corianderhub_resumes_total")
)

// completion is the state of one completion request.
type completion struct {
	ex        *exchange
	pool      *pool
	fields    map[string]json.RawMessage
	model     string
	adapter   string
	stream    bool
	chat      bool
	maxTokens int
	routing   route.Request
	guard     atMostOnce
	// identity identifies the request and its messages when engines crash.
	identity quarantine.Request
	// sentAt is when the last attempt was sent, address where to.
	sentAt  time.Time
	address string
	out     completionWriter
	// sentText is the text received from engines so far. A stream has passed it
	// on to the caller already. sentTokens is the number of its tokens.
	sentText     strings.Builder
	sentTokens   int
	finishReason string
	usage        json.RawMessage
}

// complete handles /v1/chat/completions and /v1/completions.
func (se *Server) complete(ctx context.Context, ex *exchange) error {
	co, err := se.parseCompletion(ex)
	if err != nil {
		return err
	}
	if ex.req.Header.Get(hub.HeaderNotRepeatable) == "true" {
		var outcome *claim.Outcome
		co.guard, outcome, err = se.acquireClaim(ctx, ex)
		if err != nil {
			return err
		}
		if outcome != nil {
			writeRecordedOutcome(ex.w, outcome)
			return nil
		}
	}
	err = se.admitAndRun(ctx, co)
	if err != nil {
		se.settleClaim(co.guard, err, nil)
		return co.out.fail(verdict.As(err))
	}
	se.settleClaim(co.guard, nil, co.outcome())
	return co.out.finish(co)
}

// outcome returns what is recorded for a completion that must run at most once.
// For a stream only the status is recorded.
func (co *completion) outcome() *claim.Outcome {
	if co.stream {
		return &claim.Outcome{Status: 200, Omitted: true}
	}
	raw, err := json.Marshal(co.responseBody())
	return &claim.Outcome{Status: 200, ContentType: "application/json", Body: raw, Omitted: err != nil}
}

// parseCompletion reads the request body and estimates its load. It returns an
// error if a field is missing or has the wrong type, or if the model is not
// declared.
func (se *Server) parseCompletion(ex *exchange) (*completion, error) {
	co := &completion{ex: ex, chat: strings.HasSuffix(ex.req.URL.Path, "/chat/completions")}
	if err := json.Unmarshal(ex.body, &co.fields); err != nil {
		return nil, badRequest("the body is not a JSON object: " + err.Error())
	}
	var name string
	if err := co.decodeField("model", &name); err != nil || name == "" {
		return nil, badRequest(`"model" must name a model`)
	}
	co.model, co.adapter, _ = strings.Cut(name, ":")
	mo, ok := ex.view.Config.Models[co.model]
	if !ok || co.adapter != "" && !slices.Contains(mo.Adapters, co.adapter) {
		return nil, &verdict.Error{Code: verdict.CodeNoRoute, Verdict: verdict.NotRun, Message: "no model " + strconv.Quote(name) + " is declared"}
	}
	if err := co.decodeField("stream", &co.stream); err != nil {
		return nil, badRequest(`"stream" must be true or false`)
	}
	for _, key := range []string{"max_tokens", "max_completion_tokens"} {
		var limit *int
		if err := co.decodeField(key, &limit); err != nil || limit != nil && *limit < 1 {
			return nil, badRequest(strconv.Quote(key) + " must be a whole number above zero")
		}
		if limit != nil {
			co.maxTokens = *limit
		}
	}
	content := "prompt"
	if co.chat {
		content = "messages"
	}
	if _, ok := co.fields[content]; !ok {
		return nil, badRequest(strconv.Quote(content) + " is missing")
	}
	co.pool, ok = se.Pools.find(co.model)
	if !ok {
		return nil, errNoGroup()
	}
	prompt := string(co.fields[content])
	co.routing.Prefixes = route.Prefixes(make([]uint64, 0, 4), name, prompt)
	co.routing.PromptTokens = int64(len(prompt) / bytesPerToken)
	co.out = newCompletionWriter(co)
	co.identity = identify(co)
	return co, nil
}

// decodeField decodes a field of the request into a value. A missing or null
// field leaves the value unchanged.
func (co *completion) decodeField(key string, into any) error {
	raw, ok := co.fields[key]
	if !ok || string(raw) == "null" {
		return nil
	}
	return json.Unmarshal(raw, into)
}

// estimatedTokens returns the estimated load of the request: its prompt tokens
// plus its response limit, or defaultMaxTokens if it sets none.
func (co *completion) estimatedTokens() int64 {
	limit := co.maxTokens
	if limit == 0 {
		limit = defaultMaxTokens
	}
	return co.routing.PromptTokens + int64(limit)
}

// admitAndRun waits until the model's queue admits the request and then runs
// it.
func (se *Server) admitAndRun(ctx context.Context, co *completion) error {
	start := se.Clock.Now().Add(maxStartWait)
	if co.ex.deadline.Before(start) {
		start = co.ex.deadline
	}
	num := co.estimatedTokens()
	err := co.pool.gate.enter(ctx, admit.Item{
		Workspace: co.ex.workspace.Name,
		Share:     co.ex.workspace.Share,
		Tokens:    num,
		Priority:  co.ex.priority,
		Deadline:  start,
	})
	if err != nil {
		return err
	}
	defer co.pool.gate.leave(num)
	return se.runAttempts(ctx, co)
}

// runAttempts tries groups until the response is complete. After a failure the
// next group resumes after the tokens already sent.
func (se *Server) runAttempts(ctx context.Context, co *completion) error {
	se.budget.Earn()
	for try := 1; ; try++ {
		if ve := se.checkQuarantine(ctx, co, try == 1); ve != nil {
			return co.adjustVerdict(ve)
		}
		sentBefore := co.sentTokens
		gr := se.pickGroup(ctx, co)
		if gr == nil {
			return co.adjustVerdict(errNoGroup())
		}
		ve := se.attempt(ctx, co, gr)
		if ve == nil || co.finishReason != "" && ctx.Err() == nil {
			// The engine has sent a finish reason, so the text is complete.
			// Only what follows the text, such as the usage, can be missing.
			se.recordCompletion(co)
			return nil
		}
		crashed := se.recordCrash(ctx, co, co.address, ve, co.sentTokens > sentBefore)
		if crashed || !co.mayContinue(ve) || ctx.Err() != nil || try == maxAttempts {
			return co.adjustVerdict(ve)
		}
		// An attempt that added tokens leaves less work for the next one, so
		// resuming does not multiply the load. An attempt without progress is a
		// retry and counts against the retry budget, which limits the extra
		// load that a fault causes.
		if co.sentTokens == sentBefore && !se.budget.Spend() {
			return co.adjustVerdict(ve)
		}
		if co.sentTokens > 0 {
			resumesTotal.Inc()
		}
	}
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

// adjustVerdict returns the error for the caller. If tokens have been sent, the
// request has run in part, even if the last engine refused it.
func (co *completion) adjustVerdict(ve *verdict.Error) error {
	if co.sentTokens > 0 {
		ve.Verdict = verdict.MayHaveRun
	}
	return ve
}

// attempt sends the request to a group. It returns nil once the response is
// complete, and otherwise records the failure for the explain API.
func (se *Server) attempt(ctx context.Context, co *completion, gr *route.Group) *verdict.Error {
	co.routing.Exclude = append(co.routing.Exclude, gr)
	err := se.send(ctx, co, gr)
	if err == nil {
		return nil
	}
	ve := verdict.As(err)
	co.ex.record.addAttempt(admin.Attempt{At: se.Clock.Now(), Target: gr.ID, Reason: ve.Error(), Load: gr.Load()})
	return ve
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

// send makes one attempt at a group and passes the chunks of the response on.
func (se *Server) send(ctx context.Context, co *completion, gr *route.Group) error {
	ta, ok := se.Control.View().Find(gr.ID)
	if !ok {
		return errNotPermitted()
	}
	body, err := co.engineRequest()
	if err != nil {
		return badRequest(err.Error())
	}
	num := co.estimatedTokens()
	gr.Begin(num)
	defer gr.End(num)
	co.pool.router.Remember(co.routing, gr)
	co.ex.record.addAttempt(admin.Attempt{At: se.Clock.Now(), Target: gr.ID, Reason: "picked", Load: gr.Load()})
	co.sentAt, co.address = se.Clock.Now(), ta.Address
	at := &delivery{se: se, co: co, gr: gr, target: ta, sentAt: co.sentAt}
	return se.Engines.Complete(ctx, endpoint.CompletionRequest{
		RequestID:    co.ex.id,
		Address:      ta.Address,
		Group:        ta.Group.ID,
		Fence:        ta.Group.Fence,
		Path:         co.ex.req.URL.Path,
		Body:         body,
		StallTimeout: se.StallTimeout,
		BeforeSend:   at.checkPermit,
	}, at.relayChunk)
}

// delivery passes the chunks of one attempt to the caller.
type delivery struct {
	se     *Server
	co     *completion
	gr     *route.Group
	target control.Target
	sentAt time.Time
	last   time.Time
}

func errNotPermitted() *verdict.Error {
	return &verdict.Error{Code: verdict.CodeNoGroup, Verdict: verdict.NotRun, RetryAfter: time.Second,
		Message: "the group may not be sent to now"}
}

// checkPermit validates the permit immediately before the request is sent. The
// view that the group was picked from may be outdated: the process may have
// been suspended, or a member may have been lost. Permits expire by time alone,
// so this check needs no message from other daemons.
func (de *delivery) checkPermit() *verdict.Error {
	ta, ok := de.se.Control.View().Find(de.target.Group.ID)
	if !ok || ta.Group.Fence != de.target.Group.Fence || !ta.Permit.Valid(de.se.Clock.Now()) {
		return errNotPermitted()
	}
	return nil
}

// relayChunk records a chunk and passes its text on. The first chunk of an
// attempt is posted to the control state as evidence that the group is complete.
func (de *delivery) relayChunk(ch endpoint.Chunk) error {
	now := de.se.Clock.Now()
	co := de.co
	if de.last.IsZero() {
		de.se.Control.Post(control.ResponseStarted{Group: de.target.Group.ID, Fence: de.target.Group.Fence,
			Leader: de.target.Permit.Leader, SentAt: de.sentAt})
		if co.sentTokens == 0 {
			firstTokenSeconds.Update(now.Sub(co.ex.record.Begin).Seconds())
		}
	} else if ch.Text != "" {
		de.gr.RecordTokenGap(now.Sub(de.last))
	}
	de.last = now
	if len(ch.Usage) > 0 && string(ch.Usage) != "null" {
		co.usage = ch.Usage
	}
	if ch.Text != "" {
		tokensTotal.Inc()
		co.sentTokens++
		co.sentText.WriteString(ch.Text)
	}
	if ch.FinishReason != "" {
		co.finishReason = ch.FinishReason
	}
	if ch.Text == "" && ch.FinishReason == "" {
		return nil
	}
	return co.out.writeChunk(ch)
}
