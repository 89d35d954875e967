package caller

import (
	"context"
	"encoding/json"
	"time"

	"corianderhub.dev/corianderhub/internal/core/control"
	"corianderhub.dev/corianderhub/internal/core/route"
	"corianderhub.dev/corianderhub/internal/endpoint"
	"corianderhub.dev/corianderhub/pkg/admin"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

// attempt is one attempt to have a group complete a request.
type attempt struct {
	se     *Server
	gr     *route.Group
	target control.Target
	sentAt time.Time
	// last is when the last chunk was received; it is zero before the first.
	last time.Time
	// begun is true once text of the attempt was passed on.
	begun bool
	// silent is true if the engine has sent nothing for the stall timeout.
	silent bool
	usage  json.RawMessage
	cancel context.CancelFunc
	// dropped is closed when the result of the attempt is no longer needed.
	dropped chan struct{}
}

// attemptEvent is what an attempt reports. It is one of chunkReceived and attemptEnded.
type attemptEvent interface{ isAttemptEvent() }

// chunkReceived reports a chunk of the engine's response.
type chunkReceived struct {
	at *attempt
	ch endpoint.Chunk
}

// attemptEnded reports the end of an attempt; err is nil if the response is complete.
type attemptEnded struct {
	at  *attempt
	err error
}

func (chunkReceived) isAttemptEvent() {}
func (attemptEnded) isAttemptEvent()  {}

// newAttempt returns an attempt at a group, and its request. It returns an error if the group may
// not be sent to now.
func (se *Server) newAttempt(co *completion, gr *route.Group) (*attempt, endpoint.CompletionRequest, *verdict.Error) {
	co.routing.Exclude = append(co.routing.Exclude, gr)
	ta, ok := se.Control.View().Find(gr.ID)
	if !ok {
		return nil, endpoint.CompletionRequest{}, errNotPermitted()
	}
	body, err := co.engineRequest()
	if err != nil {
		return nil, endpoint.CompletionRequest{}, verdict.As(badRequest(err.Error()))
	}
	co.pool.router.Remember(co.routing, gr)
	at := &attempt{se: se, gr: gr, target: ta, sentAt: se.Clock.Now(), dropped: make(chan struct{})}
	return at, endpoint.CompletionRequest{
		RequestID:  co.ex.id,
		Address:    ta.Address,
		Group:      ta.Group.ID,
		Fence:      ta.Group.Fence,
		Path:       co.ex.req.URL.Path,
		Body:       body,
		BeforeSend: at.checkPermit,
	}, nil
}

// run sends the request and reports the chunks and the end of the attempt.
func (at *attempt) run(ctx context.Context, rq endpoint.CompletionRequest, events chan<- attemptEvent) {
	err := at.se.Engines.Complete(ctx, rq, func(ch endpoint.Chunk) error {
		select {
		case events <- chunkReceived{at, ch}:
			return nil
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	})
	select {
	case events <- attemptEnded{at, err}:
	case <-at.dropped:
	}
}

// drop cancels the attempt. Its events are no longer received.
func (at *attempt) drop() {
	at.cancel()
	close(at.dropped)
}

func errNotPermitted() *verdict.Error {
	return &verdict.Error{Code: verdict.CodeNoGroup, Verdict: verdict.NotRun, RetryAfter: time.Second,
		Message: "the group may not be sent to now"}
}

// checkPermit validates the permit immediately before the request is sent. The
// view that the group was picked from may be outdated: the process may have
// been suspended, or a member may have been lost. Permits expire by time alone,
// so this check needs no message from other daemons.
func (at *attempt) checkPermit() *verdict.Error {
	ta, ok := at.se.Control.View().Find(at.target.Group.ID)
	if !ok || ta.Group.Fence != at.target.Group.Fence || !ta.Permit.Valid(at.se.Clock.Now()) {
		return errNotPermitted()
	}
	return nil
}

// recordChunk records that a chunk was received. The first chunk of an attempt is posted to the
// control state as evidence that the group is complete.
func (at *attempt) recordChunk(ch endpoint.Chunk) {
	now := at.se.Clock.Now()
	if at.last.IsZero() {
		at.se.Control.Post(control.ResponseStarted{Group: at.target.Group.ID, Fence: at.target.Group.Fence,
			Leader: at.target.Permit.Leader, SentAt: at.sentAt})
	} else if ch.Text != "" {
		at.gr.RecordTokenGap(now.Sub(at.last))
	}
	at.last = now
	if len(ch.Usage) > 0 && string(ch.Usage) != "null" {
		at.usage = ch.Usage
	}
}

// explain records a decision about a group for the explain API.
func (se *Server) explain(co *completion, gr *route.Group, reason string) {
	co.ex.record.addAttempt(admin.Attempt{At: se.Clock.Now(), Target: gr.ID, Reason: reason, Load: gr.Load()})
}
