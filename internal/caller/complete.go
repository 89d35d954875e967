package caller

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"corianderhub.dev/corianderhub/internal/core/admit"
	"corianderhub.dev/corianderhub/internal/core/claim"
	"corianderhub.dev/corianderhub/internal/core/quarantine"
	"corianderhub.dev/corianderhub/internal/core/route"
	"corianderhub.dev/corianderhub/pkg/hub"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

const (
	// bytesPerToken estimates the number of tokens of a prompt from its length.
	bytesPerToken = 4
	// defaultMaxTokens is the estimated length of a response if the request
	// sets no limit.
	defaultMaxTokens = 256
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
	out      completionWriter
	// sentText is the text received from engines so far. A stream has passed it
	// on to the caller already. sentTokens is the number of its tokens.
	sentText     strings.Builder
	sentTokens   int
	finishReason string
	usage        json.RawMessage
	// mayHaveRun is true if an attempt has failed that may have run.
	mayHaveRun bool
}

// complete handles /v1/chat/completions and /v1/completions.
func (se *Server) complete(ctx context.Context, ex *exchange) error {
	co, err := se.parseCompletion(ex)
	if err != nil {
		return err
	}
	if err := se.limitTo(ex, "model "+co.model, ex.deadline.Sub(se.Clock.Now())); err != nil {
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
	// The sum must not overflow: the caller sets the limit.
	return min(co.routing.PromptTokens, maxCountedTokens) + min(int64(limit), maxCountedTokens)
}

// maxCountedTokens bounds the tokens that are counted for a prompt or a response.
const maxCountedTokens = 1 << 40

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
