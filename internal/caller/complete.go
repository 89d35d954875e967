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
	"corianderhub.dev/corianderhub/internal/core/route"
	"corianderhub.dev/corianderhub/internal/endpoint"
	"corianderhub.dev/corianderhub/pkg/hub"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

const (
	// bytesPerToken estimates a prompt's tokens from its length.
	bytesPerToken = 4
	// defaultMaxTokens estimates an answer whose length is not limited.
	defaultMaxTokens = 256
	// maxAttempts bounds the attempts at one completion.
	maxAttempts = 6
	// resumeWait is how long a broken answer waits for a group to go on with.
	resumeWait  = 5 * time.Second
	resumePause = 50 * time.Millisecond
)

var (
	firstToken = metrics.NewSummary("corianderhub_first_token_seconds")
	tokens     = metrics.NewCounter("corianderhub_tokens_total")
	resumes    = metrics.NewCounter("corianderhub_resumes_total")
)

// completion is a completion request on its way.
type completion struct {
	ex      *exchange
	pool    *pool
	fields  map[string]json.RawMessage
	model   string
	adapter string
	stream  bool
	chat    bool
	limit   int
	rq      route.Request
	on      once
	out     answerWriter
	// sent is the text passed on to the caller so far, count its tokens.
	sent   strings.Builder
	count  int
	finish string
	usage  json.RawMessage
}

// complete handles /v1/chat/completions and /v1/completions.
func (se *Server) complete(ctx context.Context, ex *exchange) error {
	co, err := se.parse(ex)
	if err != nil {
		return err
	}
	if ex.req.Header.Get(hub.HeaderNotRepeatable) == "true" {
		var outcome *claim.Outcome
		co.on, outcome, err = se.acquire(ctx, ex)
		if err != nil {
			return err
		}
		if outcome != nil {
			writeRecorded(ex.w, outcome)
			return nil
		}
	}
	err = se.admitted(ctx, co)
	if err != nil {
		se.settle(co.on, err, nil)
		return co.out.fail(verdict.As(err))
	}
	se.settle(co.on, nil, co.outcome())
	return co.out.done(co)
}

// outcome is what is recorded of a completion that must not repeat. A stream
// is recorded by its status alone.
func (co *completion) outcome() *claim.Outcome {
	if co.stream {
		return &claim.Outcome{Status: 200, Omitted: true}
	}
	raw, err := json.Marshal(co.whole())
	return &claim.Outcome{Status: 200, ContentType: "application/json", Body: raw, Omitted: err != nil}
}

func (se *Server) parse(ex *exchange) (*completion, error) {
	co := &completion{ex: ex, chat: strings.HasSuffix(ex.req.URL.Path, "/chat/completions")}
	if err := json.Unmarshal(ex.body, &co.fields); err != nil {
		return nil, badRequest("the body is not a JSON object: " + err.Error())
	}
	var name string
	if err := co.field("model", &name); err != nil || name == "" {
		return nil, badRequest(`"model" must name a model`)
	}
	co.model, co.adapter, _ = strings.Cut(name, ":")
	mo, ok := ex.view.Config.Models[co.model]
	if !ok || co.adapter != "" && !slices.Contains(mo.Adapters, co.adapter) {
		return nil, &verdict.Error{Code: verdict.CodeNoRoute, Verdict: verdict.NotRun, Message: "no model " + strconv.Quote(name) + " is declared"}
	}
	if err := co.field("stream", &co.stream); err != nil {
		return nil, badRequest(`"stream" must be true or false`)
	}
	for _, key := range []string{"max_tokens", "max_completion_tokens"} {
		if err := co.field(key, &co.limit); err != nil || co.limit < 0 {
			return nil, badRequest(strconv.Quote(key) + " must be a whole number above zero")
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
	co.rq.Prefixes = route.Prefixes(make([]uint64, 0, 4), name, prompt)
	co.rq.PromptTokens = int64(len(prompt) / bytesPerToken)
	co.out = newWriter(co)
	return co, nil
}

func (co *completion) field(key string, into any) error {
	raw, ok := co.fields[key]
	if !ok || string(raw) == "null" {
		return nil
	}
	return json.Unmarshal(raw, into)
}

func (co *completion) tokens() int64 {
	limit := co.limit
	if limit == 0 {
		limit = defaultMaxTokens
	}
	return co.rq.PromptTokens + int64(limit)
}

// admitted waits for the workspace's turn and then runs the completion.
func (se *Server) admitted(ctx context.Context, co *completion) error {
	start := se.Clock.Now().Add(startLimit)
	if co.ex.deadline.Before(start) {
		start = co.ex.deadline
	}
	num := co.tokens()
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
	return se.attempts(ctx, co)
}

// attempts tries groups until the answer is whole. After a failure the next
// group goes on from the tokens that the caller has.
func (se *Server) attempts(ctx context.Context, co *completion) error {
	se.budget.Earn()
	for try := 1; ; try++ {
		had := co.count
		gr := se.pick(ctx, co)
		if gr == nil {
			return co.failed(errNoGroup())
		}
		ve := se.attempt(ctx, co, gr)
		if ve == nil || co.finish != "" && ctx.Err() == nil {
			// The engine said that the text is at its end; only what follows
			// the text was lost, if anything.
			return nil
		}
		if !co.mayGoOn(ve) || ctx.Err() != nil || try == maxAttempts {
			return co.failed(ve)
		}
		// An attempt that brought the answer forward costs the next one only
		// what is left, so resuming it does not multiply load. One that did not
		// is a retry, of which a fault must not cause too many.
		if co.count == had && !se.budget.Spend() {
			return co.failed(ve)
		}
		if co.count > 0 {
			resumes.Inc()
		}
	}
}

// mayGoOn tells whether another attempt may follow the failure.
func (co *completion) mayGoOn(ve *verdict.Error) bool {
	if ve.Code == verdict.CodeBadRequest || ve.Code == verdict.CodeCallerGone {
		return false
	}
	resumable := co.count == 0 || co.chat
	return resumable && co.on.mayRetry(ve, true)
}

// failed returns the error for the caller. Once part of the answer was given,
// what an engine refused since does not make the whole request not run.
func (co *completion) failed(ve *verdict.Error) error {
	if co.count > 0 {
		ve.Verdict = verdict.MayHaveRun
	}
	return ve
}

// attempt sends the request to a group and returns nil once it is answered.
func (se *Server) attempt(ctx context.Context, co *completion, gr *route.Group) *verdict.Error {
	co.rq.Exclude = append(co.rq.Exclude, gr)
	err := se.send(ctx, co, gr)
	if err == nil {
		return nil
	}
	ve := verdict.As(err)
	co.ex.record.attempt(Attempt{At: se.Clock.Now(), Target: gr.ID, Reason: ve.Error(), Load: gr.Load()})
	return ve
}

// pick returns a group that was not tried, or else one that was: a broken
// stream does not mean that the group is gone. A caller who has part of the
// answer waits a little for a group; others get their refusal at once.
func (se *Server) pick(ctx context.Context, co *completion) *route.Group {
	for waited := time.Duration(0); ; waited += resumePause {
		if gr := co.pool.router.Pick(co.rq); gr != nil {
			return gr
		}
		co.rq.Exclude = nil
		if gr := co.pool.router.Pick(co.rq); gr != nil {
			return gr
		}
		if co.count == 0 || waited >= resumeWait || se.Clock.Sleep(ctx, resumePause) != nil {
			return nil
		}
	}
}

// send makes one attempt at a group.
func (se *Server) send(ctx context.Context, co *completion, gr *route.Group) error {
	ta, ok := se.Control.View().Find(gr.ID)
	if !ok {
		return notPermitted()
	}
	body, err := co.body()
	if err != nil {
		return badRequest(err.Error())
	}
	num := co.tokens()
	gr.Begin(num)
	defer gr.End(num)
	co.pool.router.Remember(co.rq, gr)
	co.ex.record.attempt(Attempt{At: se.Clock.Now(), Target: gr.ID, Reason: "picked", Load: gr.Load()})
	at := &delivery{se: se, co: co, gr: gr, target: ta, sentAt: se.Clock.Now()}
	return se.Engines.Complete(ctx, endpoint.CompletionRequest{
		RequestID:    co.ex.id,
		Address:      ta.Address,
		Group:        ta.Group.ID,
		Fence:        ta.Group.Fence,
		Path:         co.ex.req.URL.Path,
		Body:         body,
		StallTimeout: se.Stall,
		BeforeSend:   at.permitted,
	}, at.chunk)
}

// delivery passes the chunks of one attempt on.
type delivery struct {
	se     *Server
	co     *completion
	gr     *route.Group
	target control.Target
	sentAt time.Time
	last   time.Time
}

func notPermitted() *verdict.Error {
	return &verdict.Error{Code: verdict.CodeNoGroup, Verdict: verdict.NotRun, RetryAfter: time.Second,
		Message: "the group may not be sent to now"}
}

// permitted checks the permit right before the request leaves. The view that
// the group was picked from may be old: the daemon may have been frozen since,
// or a member may have been lost. Time alone ends the permit.
func (de *delivery) permitted() *verdict.Error {
	ta, ok := de.se.Control.View().Find(de.target.Group.ID)
	if !ok || ta.Group.Fence != de.target.Group.Fence || !ta.Permit.Valid(de.se.Clock.Now()) {
		return notPermitted()
	}
	return nil
}

func (de *delivery) chunk(ch endpoint.Chunk) error {
	now := de.se.Clock.Now()
	co := de.co
	if de.last.IsZero() {
		de.se.Control.Post(control.ResponseStarted{Group: de.target.Group.ID, Fence: de.target.Group.Fence,
			Leader: de.target.Permit.Leader, SentAt: de.sentAt})
		if co.count == 0 {
			firstToken.Update(now.Sub(co.ex.record.Begin).Seconds())
		}
	} else if ch.Text != "" {
		de.gr.RecordTokenGap(now.Sub(de.last))
	}
	de.last = now
	if len(ch.Usage) > 0 && string(ch.Usage) != "null" {
		co.usage = ch.Usage
	}
	if ch.Text != "" {
		tokens.Inc()
		co.count++
		co.sent.WriteString(ch.Text)
	}
	if ch.FinishReason != "" {
		co.finish = ch.FinishReason
	}
	if ch.Text == "" && ch.FinishReason == "" {
		return nil
	}
	return co.out.chunk(ch)
}

// body returns the request for the engine: streamed always, since flowing
// tokens are the only proof of progress, and with the text that the caller
// has when the answer is resumed.
func (co *completion) body() ([]byte, error) {
	fields := make(map[string]json.RawMessage, len(co.fields)+3)
	for key, raw := range co.fields {
		fields[key] = raw
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	if co.count == 0 {
		return json.Marshal(fields)
	}
	var messages []json.RawMessage
	if err := json.Unmarshal(fields["messages"], &messages); err != nil {
		return nil, err
	}
	partial, err := json.Marshal(struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}{"assistant", co.sent.String()})
	if err != nil {
		return nil, err
	}
	fields["messages"], err = json.Marshal(append(messages, partial))
	fields["continue_final_message"] = json.RawMessage("true")
	fields["add_generation_prompt"] = json.RawMessage("false")
	if co.limit > 0 {
		delete(fields, "max_completion_tokens")
		fields["max_tokens"] = json.RawMessage(strconv.Itoa(max(1, co.limit-co.count)))
	}
	if err != nil {
		return nil, err
	}
	return json.Marshal(fields)
}
