package front

import (
	"context"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// attemptObjectives is how long an endpoint may be silent until another one is tried for an
	// idempotent request, as a multiple of the route's objective.
	attemptObjectives = 2
	// silenceRetryInterval is the interval between attempts to find another endpoint while the
	// endpoints that have the request are silent.
	silenceRetryInterval = 100 * time.Millisecond
	// noRetry is the interval if no other endpoint may be tried.
	noRetry = time.Duration(math.MaxInt64)
)

// plainRace holds the attempts of a request whose endpoint is silent, that is, whose response is not
// complete after a time. The endpoint may go on, so its attempt stays open while others are tried. The
// first final response ends the others.
type plainRace struct {
	*plainCall
	// limit is how long an endpoint may be silent until another one is tried.
	limit time.Duration
	// open holds the attempts in progress, oldest first; ends receives the end of each.
	open []*plainAttempt
	ends chan plainEnd
	// done is closed when all attempts have ended.
	done chan struct{}
	// outcome says which endpoint gave the final response, if any did.
	outcome string
}

// newPlainRace returns a race with a first attempt, whose end the caller sends to ends.
func newPlainRace(pc *plainCall, first *plainAttempt, limit time.Duration) *plainRace {
	return &plainRace{plainCall: pc, limit: limit, open: []*plainAttempt{first}, ends: make(chan plainEnd), done: make(chan struct{})}
}

// run tries other endpoints until an attempt gives a final response, or until none is left. It returns
// when all attempts have ended.
func (ra *plainRace) run(ctx context.Context) {
	defer close(ra.done)
	wait := ra.tryAnother(ctx)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for len(ra.open) > 0 {
		select {
		case end := <-ra.ends:
			wait = ra.ended(ctx, end)
		case <-timer.C:
			wait = ra.tryAnother(ctx)
		}
		timer.Reset(wait)
	}
	ra.count()
}

// tryAnother starts an attempt at another endpoint if all in progress are silent. It returns when to
// try the next one.
func (ra *plainRace) tryAnother(ctx context.Context) time.Duration {
	now := ra.sv.Clock.Now()
	if left := ra.untilSilent(now); left > 0 {
		return left
	}
	if ra.outcome != "" || !ra.maySend(ctx) {
		return noRetry
	}
	sends := ra.sends
	at := ra.next()
	if at == nil {
		return silenceRetryInterval
	}
	if len(ra.open) > 0 {
		oldest := ra.open[0]
		ra.log.Info("front: another endpoint tried because of silence.", "endpoint", oldest.ep.ID, "other", at.ep.ID,
			"silent-ms", now.Sub(oldest.sent).Milliseconds(), "sends", sends)
	}
	ra.start(ctx, at)
	return ra.limit
}

// start starts an attempt, whose end is sent to ends.
func (ra *plainRace) start(ctx context.Context, at *plainAttempt) {
	ctx, at.cancel = context.WithCancel(ctx)
	ra.open = append(ra.open, at)
	go func() {
		defer at.cancel()
		ra.ends <- at.run(ctx)
	}()
}

// untilSilent returns the time until all attempts in progress are silent, and records the silence of
// those that are.
func (ra *plainRace) untilSilent(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, at := range ra.open {
		left := at.sent.Add(ra.limit).Sub(now)
		if left <= 0 {
			at.recordSilence(now)
		}
		longest = max(longest, left)
	}
	return longest
}

// ended handles the end of an attempt. It returns when to try another endpoint.
func (ra *plainRace) ended(ctx context.Context, end plainEnd) time.Duration {
	ra.open = slices.DeleteFunc(ra.open, func(at *plainAttempt) bool { return at == end.plainAttempt })
	if ra.outcome != "" {
		return noRetry // The attempt was canceled.
	}
	if ra.record(end) {
		ra.outcome = "replaced"
		if end.silent.Load() {
			ra.outcome = "resumed"
		}
		for _, at := range ra.open {
			at.cancel()
		}
		return noRetry
	}
	if end.response != nil && end.response.notRun && len(ra.open) > 0 {
		ra.maxSends++
		if ra.sends >= ra.route.MaxAttempts {
			// Many endpoints may be full; trying all at once would use up the retry budget.
			return silenceRetryInterval
		}
	}
	return ra.tryAnother(ctx)
}

// count counts the outcome.
func (ra *plainRace) count() {
	outcome := ra.outcome
	switch {
	case outcome != "":
	case ra.req.Context().Err() != nil:
		outcome = "caller-gone"
	case ra.last != nil && ra.last.status >= http.StatusInternalServerError:
		outcome = "failed"
	default:
		outcome = "lost"
	}
	metrics.GetOrCreateCounter(`corianderhub_plain_silences_total{outcome="` + outcome + `"}`).Inc()
}
