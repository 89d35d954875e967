package caller

import (
	"context"
	"time"

	"github.com/google/uuid"

	"corianderhub.dev/corianderhub/internal/core/claim"
	"corianderhub.dev/corianderhub/pkg/hub"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

// claimTimeout bounds the claim of a key, and its release.
const claimTimeout = 5 * time.Second

// atMostOnce is the guard of a request that must not run twice. The zero value
// is the guard of a request that may be repeated.
type atMostOnce struct {
	// required is true if the request must not run twice.
	required bool
	// op is the granted claim, or nil if the request has no idempotency key.
	op *claim.Op
}

// acquireClaim claims the idempotency key of a request before it is dispatched.
// If an earlier request with the key has run, it returns the recorded outcome.
// A request without a key is guarded within this daemon only: it is not
// dispatched again after an attempt that may have run.
func (se *Server) acquireClaim(ctx context.Context, ex *exchange) (atMostOnce, *claim.Outcome, error) {
	key := ex.req.Header.Get(hub.HeaderIdempotencyKey)
	if key == "" {
		return atMostOnce{required: true}, nil, nil
	}
	ck := claim.NewKey(ex.workspace.Name, key)
	op := claim.Op{Kind: claim.Acquire, Shard: ck.Shard, Hash: ck.Hash, Holder: uuid.NewString(),
		Fingerprint: claim.Fingerprint(ex.req.Method, ex.req.URL.Path, ex.body)}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	res := se.Claims.Do(ctx, op)
	switch res.Code {
	case claim.Granted:
		return atMostOnce{required: true, op: &op}, nil, nil
	case claim.Finished:
		if res.Outcome != nil && !res.Outcome.Omitted {
			return atMostOnce{}, res.Outcome, nil
		}
		return atMostOnce{}, nil, &verdict.Error{Code: verdict.CodeDuplicate, Verdict: verdict.Ran,
			Message: "the request with this key has run; its answer was too large to record"}
	case claim.Duplicate:
		return atMostOnce{}, nil, &verdict.Error{Code: verdict.CodeDuplicate, Verdict: verdict.MayHaveRun, RetryAfter: time.Second,
			Message: "a request with this key was dispatched before and may have run"}
	case claim.Unproven:
		return atMostOnce{}, nil, &verdict.Error{Code: verdict.CodeNoClaim, Verdict: verdict.MayHaveRun, RetryAfter: res.RetryAfter,
			Message: "the platform's key-value service was restored from a copy; a request with this key may have run before and was not dispatched again"}
	case claim.Mismatch:
		return atMostOnce{}, nil, &verdict.Error{Code: verdict.CodeKeyReused, Verdict: verdict.NotRun,
			Message: "the key was used for another request"}
	}
	// The claim may have been stored although its response was lost. It is
	// released, so that a retry of the caller is not refused as a duplicate.
	se.Claims.ReleaseInBackground(op)
	return atMostOnce{}, nil, &verdict.Error{Code: verdict.CodeNoClaim, Verdict: verdict.NotRun, RetryAfter: 2 * time.Second,
		Message: "the key could not be claimed, so the request was not dispatched"}
}

// settleClaim records the outcome of a claimed request, or releases its claim
// if the request has not run. A request that may have run keeps its claim, so
// that its key is never dispatched again.
func (se *Server) settleClaim(on atMostOnce, err error, outcome *claim.Outcome) {
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
		se.releaseClaim(op)
	}
}

// releaseClaim releases a claim. It returns only after the release is confirmed
// or handed to the background: the caller's next try must not be refused as a
// duplicate.
func (se *Server) releaseClaim(op claim.Op) {
	op.Kind = claim.Release
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	if se.Claims.Do(ctx, op).Code != claim.Applied {
		se.Claims.ReleaseInBackground(op)
	}
}

// mayRetry reports whether a failed attempt may be followed by another. An
// attempt that may have run is retried only if the call is repeatable and not
// marked as one that must not run twice.
func (on atMostOnce) mayRetry(err error, repeatable bool) bool {
	if verdict.Of(err) == verdict.NotRun {
		return true
	}
	return repeatable && !on.required
}
