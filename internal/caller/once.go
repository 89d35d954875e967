package caller

import (
	"context"
	"time"

	"github.com/google/uuid"

	"corianderhub.dev/corianderhub/internal/core/claim"
	"corianderhub.dev/corianderhub/pkg/hub"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

const claimTimeout = 5 * time.Second

// once guards a request that must run at most once. The zero value guards
// nothing.
type once struct {
	// marked says that the request must not repeat.
	marked bool
	// op holds the claim, if the request has an idempotency key.
	op *claim.Op
}

// acquire claims the request's key before anything is dispatched. It returns
// the recorded outcome of an earlier run, if there is one. Without a key the
// request is dispatched at most once by this daemon and never retried.
func (se *Server) acquire(ctx context.Context, ex *exchange) (once, *claim.Outcome, error) {
	key := ex.req.Header.Get(hub.HeaderIdempotencyKey)
	if key == "" {
		return once{marked: true}, nil, nil
	}
	ck := claim.NewKey(ex.workspace.Name, key)
	op := claim.Op{Kind: claim.Acquire, Shard: ck.Shard, Hash: ck.Hash, Holder: uuid.NewString(),
		Fingerprint: claim.Fingerprint(ex.req.Method, ex.req.URL.Path, ex.body)}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	res := se.Claims.Do(ctx, op)
	switch res.Answer {
	case claim.Granted:
		return once{marked: true, op: &op}, nil, nil
	case claim.Finished:
		if res.Outcome != nil && !res.Outcome.Omitted {
			return once{}, res.Outcome, nil
		}
		return once{}, nil, &verdict.Error{Code: verdict.CodeDuplicate, Verdict: verdict.Ran,
			Message: "the request with this key has run; its answer was too large to record"}
	case claim.Duplicate:
		return once{}, nil, &verdict.Error{Code: verdict.CodeDuplicate, Verdict: verdict.MayHaveRun, RetryAfter: time.Second,
			Message: "a request with this key was dispatched before and may have run"}
	case claim.Mismatch:
		return once{}, nil, &verdict.Error{Code: verdict.CodeKeyReused, Verdict: verdict.NotRun,
			Message: "the key was used for another request"}
	}
	// The claim may have been stored although no answer came: it is given
	// back, so that the caller's retry is not taken for a duplicate.
	se.Claims.ReleaseInBackground(op)
	return once{}, nil, &verdict.Error{Code: verdict.CodeNoClaim, Verdict: verdict.NotRun, RetryAfter: 2 * time.Second,
		Message: "the key could not be claimed, so the request was not dispatched"}
}

// settle stores what came of a claimed request. A request that may have run
// keeps its claim: nobody will dispatch its key again.
func (se *Server) settle(on once, err error, outcome *claim.Outcome) {
	if on.op == nil {
		return
	}
	op := *on.op
	switch {
	case err == nil:
		if len(outcome.Body) > claim.MaxOutcomeBytes {
			outcome.Body, outcome.Omitted = nil, true
		}
		op.Outcome = outcome
		se.Claims.RecordInBackground(op)
	case verdict.Of(err) == verdict.NotRun:
		se.giveBack(op)
	}
}

// giveBack releases a claim before the caller is told that the request was
// not run, so that its next try is not taken for a duplicate.
func (se *Server) giveBack(op claim.Op) {
	op.Kind = claim.Release
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	if se.Claims.Do(ctx, op).Answer != claim.Applied {
		se.Claims.ReleaseInBackground(op)
	}
}

// mayRetry tells whether a failed attempt may be followed by another.
func (on once) mayRetry(err error, repeatable bool) bool {
	if verdict.Of(err) == verdict.NotRun {
		return true
	}
	return repeatable && !on.marked
}
