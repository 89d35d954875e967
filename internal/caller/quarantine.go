package caller

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"corianderhub.dev/corianderhub/internal/core/quarantine"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

const (
	// crashCheckDelay is the time between a broken response and the check whether the engine's
	// process has ended. Its listener is closed at about the same time as its connections.
	crashCheckDelay = 20 * time.Millisecond
	// crashCheckTimeout bounds the connection that the check opens.
	crashCheckTimeout = 200 * time.Millisecond
)

var (
	enginesEndedTotal = metrics.NewCounter("corianderhub_engines_ended_total")
	quarantinedTotal  = metrics.NewCounter("corianderhub_completions_quarantined_total")
)

// identify returns the identification of a completion. The parts of a chat's prompt are its
// messages but the last.
func identify(co *completion) quarantine.Request {
	content := quarantine.Content{Method: co.ex.req.Method, URI: co.ex.req.URL.Path, Caller: co.ex.workspace.Name, Body: co.ex.body}
	var messages []json.RawMessage
	// Messages of another form have no parts; the engine reports what is wrong with them.
	if err := json.Unmarshal(co.fields["messages"], &messages); err != nil || len(messages) == 0 {
		return quarantine.NewRequest(&content, co.model, nil)
	}
	var parts []string
	for _, me := range messages[:len(messages)-1] {
		parts = append(parts, string(me))
	}
	return quarantine.NewRequest(&content, co.model, parts)
}

// checkQuarantine returns an error if engines have crashed on the request or on a part of its
// prompt. It lets one such request pass from time to time, and one whose result separates its messages
// from others, at its first attempt.
func (se *Server) checkQuarantine(ctx context.Context, co *completion, first bool) *verdict.Error {
	_, left, quarantined := se.Quarantine.Quarantined(co.identity, se.Clock.Now())
	if !quarantined {
		return nil
	}
	if first && se.ClaimProbe(ctx, co.identity) {
		se.Log.Info("caller: quarantined request sent as a probe.", "content", co.identity.Content, "request", co.ex.id)
		return nil
	}
	return &verdict.Error{Code: verdict.CodeQuarantined, Verdict: verdict.NotRun, RetryAfter: left,
		Message: "engines have crashed on this request or on one of its messages"}
}

// recordCrash checks whether an engine has crashed during the completion. It reports whether the
// completion must not be sent again: the engine has crashed before it sent text, and no completion
// with one of the messages has ended well lately.
func (se *Server) recordCrash(ctx context.Context, co *completion, address string, ve *verdict.Error, begun bool) bool {
	broken := ve.Code == verdict.CodeEndpointFailed || ve.Code == verdict.CodeBrokenAnswer
	if !broken || ve.Verdict == verdict.NotRun || se.Clock.Sleep(ctx, crashCheckDelay) != nil || !refuses(ctx, address) {
		return false
	}
	now := se.Clock.Now()
	enginesEndedTotal.Inc()
	unproven := se.Quarantine.Unproven(co.identity)
	en := quarantine.Crash{Endpoint: address, At: now, Requests: []quarantine.Request{co.identity}}
	se.Quarantine.MarkProven(en.Requests)
	se.NoteQuarantined(se.Quarantine.RecordCrash(en, now), "request "+co.ex.id)
	se.OnCrash(en)
	return unproven && !begun
}

// NoteQuarantined counts and logs what is newly quarantined. from says by what.
func (se *Server) NoteQuarantined(entries []quarantine.Entry, from string) {
	for _, held := range entries {
		quarantinedTotal.Inc()
		se.Log.Warn("caller: quarantined.", "subject", held.Subject, "message", held.Part, "from", from)
	}
}

// refuses reports whether connections to address are refused: the machine is up, but the process
// that listened there has ended.
func refuses(ctx context.Context, address string) bool {
	di := net.Dialer{Timeout: crashCheckTimeout}
	nc, err := di.DialContext(ctx, "tcp", address)
	if err == nil {
		nc.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// recordCompletion clears the request and its messages of the crashes before sentAt, when it was sent.
func (se *Server) recordCompletion(co *completion, sentAt time.Time) {
	now := se.Clock.Now()
	for _, fp := range se.Quarantine.Complete(co.identity) {
		an := quarantine.Completion{Subject: fp, At: now, Took: now.Sub(sentAt)}
		se.Quarantine.RecordCompletion(an, now)
		se.OnCompletion(an)
	}
}
