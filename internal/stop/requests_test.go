package stop

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against requests that a stop cuts off too early or not at all, also those that begin late, and
// against a response that begins after its request was cut off.
func TestRequestsAreCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var rs Requests
		now := time.Now()
		var open, started, late Request
		openCtx := rs.Begin(t.Context(), &open, now)
		startedCtx := rs.Begin(t.Context(), &started, now)
		if !started.BeginResponse() {
			t.Error("a response may not begin before the stop")
		}
		rs.Stop(Times{AnswerBy: now.Add(time.Second), AbortBy: now.Add(2 * time.Second)}, now)
		if openCtx.Err() != nil {
			t.Error("a request is cut off at the signal")
		}
		<-openCtx.Done()
		if since := time.Since(now); since != time.Second || context.Cause(openCtx) != ErrStopping || open.BeginResponse() {
			t.Errorf("cut off after %v, cause %v; want after 1s without a response", since, context.Cause(openCtx))
		}
		if lateCtx := rs.Begin(t.Context(), &late, time.Now()); context.Cause(lateCtx) != ErrStopping {
			t.Error("a late request is not cut off")
		}
		<-startedCtx.Done()
		if since := time.Since(now); since != 2*time.Second || context.Cause(startedCtx) != ErrStopping {
			t.Errorf("aborted after %v, cause %v; want after 2s", since, context.Cause(startedCtx))
		}
		for _, rq := range []*Request{&open, &started, &late} {
			rs.End(rq)
		}
		if len(rs.open) > 0 {
			t.Errorf("%d requests are kept after their end", len(rs.open))
		}
	})
}

// Guards against refusing what ends in time, by its duration or by its deadline, and against taking
// what does not.
func TestCanEnd(t *testing.T) {
	var rs Requests
	now := time.Now()
	if !rs.CanEnd(now.Add(time.Hour), time.Hour, now) {
		t.Error("a request can't end although there is no stop")
	}
	rs.Stop(Times{AnswerBy: now.Add(time.Minute), AbortBy: now.Add(time.Minute)}, now)
	for _, tc := range []struct {
		deadline, expected time.Duration
		want               bool
	}{{time.Hour, 30 * time.Second, true}, {time.Hour, 2 * time.Minute, false}, {30 * time.Second, time.Hour, true}} {
		if got := rs.CanEnd(now.Add(tc.deadline), tc.expected, now); got != tc.want {
			t.Errorf("deadline %v, expected %v: %t, want %t", tc.deadline, tc.expected, got, tc.want)
		}
	}
}
