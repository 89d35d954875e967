package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/endpoint"
	"corianderhub.dev/corianderhub/internal/standin"
	"corianderhub.dev/corianderhub/pkg/hub"
)

const (
	// silenceTokens is the length of the responses, silenceAfter how many of their tokens come
	// before the silence.
	silenceTokens = 8
	silenceAfter  = 3
	// silenceStall is the stall timeout, silenceTime the time that the engine sends nothing.
	silenceStall = 250 * time.Millisecond
	silenceTime  = time.Second
)

// newSilenceSystem returns a system with groups of one engine, and what silences them.
func newSilenceSystem(t *testing.T, groups int) (*testSystem, *silentEngine) {
	se := &silentEngine{}
	return newTestSystem(t, systemSize{daemons: 1, vms: groups, vmsPerGroup: 1, replicas: groups, stall: silenceStall, wrapEngine: se.wrap}), se
}

// spendBudget fails completions until the retry budget is spent.
func (sk *testSystem) spendBudget(t *testing.T, se *silentEngine) {
	t.Helper()
	for range 20 {
		se.armOthers(failCompletion)
		_, err := sk.silenceChat("", nil)
		if err == nil {
			t.Fatal("the completion succeeded, want it failed")
		}
		if se.attempts() == 1 {
			return
		}
	}
	t.Fatal("the retry budget was not spent")
}

// silenceChat sends a chat to the first daemon and returns the text of its response.
func (sk *testSystem) silenceChat(path string, header map[string]string) (string, error) {
	body := fmt.Sprintf(`{"model":"linden","max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, silenceTokens, prompt)
	if path == "" {
		path = "/v1/chat/completions"
	} else {
		body = fmt.Sprintf(`{"model":"linden","max_tokens":%d,"prompt":%q}`, silenceTokens, prompt)
	}
	rsp, raw, err := sk.post(0, path, body, header)
	if err != nil {
		return "", err
	}
	if rsp.StatusCode != http.StatusOK {
		return "", fmt.Errorf("status %d: %s", rsp.StatusCode, raw)
	}
	var an struct {
		Choices []struct {
			Text    string
			Message struct{ Content string }
		}
	}
	if err := json.Unmarshal(raw, &an); err != nil {
		return "", err
	}
	return an.Choices[0].Text + an.Choices[0].Message.Content, nil
}

// Guards against a response that is given up because its engine is silent, although the engine goes on
// and no other can complete the response.
func TestCompletionOutlivesSilence(t *testing.T) {
	const text = "/v1/completions"
	tests := []struct {
		name   string
		groups int
		others func(http.ResponseWriter, *http.Request, http.Handler)
		after  int
		spent  bool
		path   string
		header map[string]string
		// most is the largest number of attempts.
		most int
	}{
		{name: "no other group", groups: 1, after: silenceAfter, most: 1},
		{name: "no other group, before the first token", groups: 1, most: 1},
		{name: "another refuses", groups: 2, others: refuseCompletion, after: silenceAfter, most: 5},
		{name: "another refuses, before the first token", groups: 2, others: refuseCompletion, most: 5},
		{name: "another rejects", groups: 2, others: rejectCompletion, after: silenceAfter, most: 2},
		{name: "another fails", groups: 2, others: failCompletion, after: silenceAfter, most: 5},
		{name: "another hangs", groups: 2, others: hangCompletion, after: silenceAfter, most: 5},
		{name: "another breaks off before its first token", groups: 2, others: startCompletion, after: silenceAfter, most: 5},
		{name: "budget spent", groups: 2, others: hangCompletion, spent: true, most: 1},
		{name: "budget spent, another refuses", groups: 2, others: refuseCompletion, after: silenceAfter, spent: true, most: 2},
		{name: "not a chat", groups: 2, after: silenceAfter, path: text, most: 1},
		{name: "at most once", groups: 2, after: silenceAfter, header: map[string]string{hub.HeaderNotRepeatable: "true"}, most: 1},
		{name: "at most once, before the first token", groups: 2, header: map[string]string{hub.HeaderNotRepeatable: "true"}, most: 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			sk, se := newSilenceSystem(t, tc.groups)
			if tc.spent {
				sk.spendBudget(t, se)
			}
			se.arm(tc.after, silenceTime, tc.others)
			want := expectedText(silenceTokens)
			if tc.path == text {
				want = textOf(prompt)
			}
			got, err := sk.silenceChat(tc.path, tc.header)
			if err != nil || got != want {
				t.Errorf("response = %q, %v; want %q", got, err, want)
			}
			if num := se.attempts(); num > tc.most {
				t.Errorf("%d attempts, want at most %d", num, tc.most)
			}
			sk.waitUntilIdle()
		})
	}
}

// Guards against a response that is given up because its group has left the view of the daemon: all
// that the engine sends, its reports included, stops for longer than a permit lasts.
func TestCompletionOutlivesItsPermit(t *testing.T) {
	se := &silentEngine{}
	var resume atomic.Pointer[chan struct{}]
	wrap := func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			if ch := resume.Load(); ch != nil && !strings.HasPrefix(req.URL.Path, "/v1/") {
				select {
				case <-*ch:
				case <-req.Context().Done():
				}
			}
			se.wrap(next).ServeHTTP(w, req)
		})
	}
	sk := newTestSystem(t, systemSize{daemons: 1, vms: 1, vmsPerGroup: 1, replicas: 1, stall: silenceStall, wrapEngine: wrap})
	se.arm(silenceAfter, 8*time.Second, nil)
	type result struct {
		text string
		err  error
	}
	done := make(chan result, 1)
	go func() {
		text, err := sk.silenceChat("", nil)
		done <- result{text, err}
	}()
	sk.waitUntil("the completion is sent", func() bool { return se.attempts() == 1 })
	ch := make(chan struct{})
	resume.Store(&ch)
	sk.waitUntil("the group leaves the view", func() bool { return sk.servingGroups(sk.daemons[0]) == 0 })
	close(ch)
	res := <-done
	if res.err != nil || res.text != expectedText(silenceTokens) {
		t.Errorf("response = %q, %v; want %q", res.text, res.err, expectedText(silenceTokens))
	}
}

// textOf returns the response of silenceTokens tokens to a prompt that is not a chat.
func textOf(prompt string) string {
	var text strings.Builder
	for i := range silenceTokens {
		text.WriteString(standin.Token(prompt, i))
	}
	return text.String()
}

// waitUntilIdle waits until no engine completes a request.
func (sk *testSystem) waitUntilIdle() {
	sk.t.Helper()
	sk.waitUntil("the engines stop", func() bool {
		for _, eh := range sk.engines {
			if eh.engine.InFlight() > 0 {
				return false
			}
		}
		return true
	})
}

// Guards against a response that waits at a silent engine while another engine could complete it,
// and against text that is repeated or missing when that one takes over.
func TestAnotherGroupTakesOverFromSilentEngine(t *testing.T) {
	for _, after := range []int{0, silenceAfter} {
		t.Run(fmt.Sprint("after ", after), func(t *testing.T) {
			sk, se := newSilenceSystem(t, 2)
			se.arm(after, waitLimit, nil)
			got, err := sk.complete(sk.client(0), silenceTokens)
			if err != nil || got != expectedText(silenceTokens) {
				t.Errorf("response = %q, %v; want %q", got, err, expectedText(silenceTokens))
			}
			if num := se.attempts(); num < 2 {
				t.Errorf("%d attempts, want at least 2", num)
			}
			sk.waitUntilIdle()
		})
	}
}

// Guards against text of two attempts that is joined when the silent engine goes on at the moment at
// which another one takes over.
func TestAttemptsThatGoOnTogether(t *testing.T) {
	sk, se := newSilenceSystem(t, 2)
	for i := range 20 {
		se.arm(silenceAfter, silenceStall+time.Duration(i)*time.Millisecond, nil)
		got, err := sk.complete(sk.client(0), silenceTokens)
		if err != nil || got != expectedText(silenceTokens) {
			t.Errorf("response = %q, %v; want %q", got, err, expectedText(silenceTokens))
		}
	}
	sk.waitUntilIdle()
}

// Guards against decisions about a silent engine that the explain API lacks, or has once for each
// time that they are made again.
func TestSilenceIsExplained(t *testing.T) {
	tests := []struct {
		groups int
		silent time.Duration
		want   []string
	}{
		{1, silenceTime, []string{"picked", "silent; waiting for it: no other group"}},
		{2, waitLimit, []string{"picked", "picked, since ", "went on first"}},
	}
	for _, tc := range tests {
		t.Run(fmt.Sprint(tc.groups, " groups"), func(t *testing.T) {
			sk, se := newSilenceSystem(t, tc.groups)
			se.arm(silenceAfter, tc.silent, nil)
			body := fmt.Sprintf(`{"model":"linden","max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, silenceTokens, prompt)
			rsp, _, err := sk.post(0, "/v1/chat/completions", body, nil)
			if err != nil {
				t.Fatal(err)
			}
			ex, err := sk.admin(0).Explain(context.Background(), rsp.Header.Get(endpoint.HeaderRequestID))
			if err != nil {
				t.Fatal(err)
			}
			if len(ex.Attempts) != len(tc.want) {
				t.Fatalf("records = %+v, want %d", ex.Attempts, len(tc.want))
			}
			for i, at := range ex.Attempts {
				if !strings.HasPrefix(at.Reason, tc.want[i]) {
					t.Errorf("record %d = %q, want %q", i, at.Reason, tc.want[i])
				}
			}
		})
	}
}

// Guards against a response that waits at silent engines while a third one could complete it.
func TestThirdGroupTakesOverFromSilentEngines(t *testing.T) {
	sk, se := newSilenceSystem(t, 3)
	var hung atomic.Bool
	se.arm(silenceAfter, waitLimit, func(w http.ResponseWriter, req *http.Request, next http.Handler) {
		if hung.CompareAndSwap(false, true) {
			hangCompletion(w, req, next)
		}
		next.ServeHTTP(w, req)
	})
	got, err := sk.complete(sk.client(0), silenceTokens)
	if err != nil || got != expectedText(silenceTokens) {
		t.Errorf("response = %q, %v; want %q", got, err, expectedText(silenceTokens))
	}
	sk.waitUntilIdle()
}

// Guards against an attempt that goes on after the caller has left during the silence.
func TestAttemptsEndWithCaller(t *testing.T) {
	sk, se := newSilenceSystem(t, 2)
	var open atomic.Int64
	se.arm(silenceAfter, waitLimit, func(w http.ResponseWriter, req *http.Request, next http.Handler) {
		open.Add(1)
		defer open.Add(-1)
		hangCompletion(w, req, next)
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	go func() {
		ch := hub.Chat{Model: "linden", Messages: []hub.Message{{Role: "user", Content: prompt}}, MaxTokens: silenceTokens}
		ended <- sk.client(0).Stream(ctx, ch, func(string) {})
	}()
	sk.waitUntil("a second attempt", func() bool { return open.Load() > 0 })
	cancel()
	if err := <-ended; err == nil {
		t.Error("the stream ended without an error, want it canceled")
	}
	sk.waitUntil("the second attempt ends", func() bool { return open.Load() == 0 })
	sk.waitUntilIdle()
}

// Guards against a request at an engine that never goes on which outlives its deadline, or is reported
// as not run.
func TestSilentEngineUntilDeadline(t *testing.T) {
	tests := []struct {
		name   string
		groups int
		others func(http.ResponseWriter, *http.Request, http.Handler)
		after  int
		header string
	}{
		{"no other group", 1, nil, 0, ""},
		{"another refuses", 2, refuseCompletion, 0, ""},
		{"after some tokens", 2, refuseCompletion, silenceAfter, ""},
		{"at most once", 2, nil, 0, "true"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			sk, se := newSilenceSystem(t, tc.groups)
			se.arm(tc.after, waitLimit, tc.others)
			begin := time.Now()
			_, err := sk.silenceChat("", map[string]string{hub.HeaderTimeout: "2s", hub.HeaderNotRepeatable: tc.header})
			if err == nil || !strings.Contains(err.Error(), `"may-have-run"`) {
				t.Errorf("error = %v, want may-have-run", err)
			}
			if took := time.Since(begin); took < 1900*time.Millisecond || took > 10*time.Second {
				t.Errorf("the request took %v, want its timeout of 2s", took)
			}
			sk.waitUntilIdle()
		})
	}
}
