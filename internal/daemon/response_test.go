package daemon

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/standin"
	"corianderhub.dev/corianderhub/pkg/hub"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

// smallSystem has two groups, so that one can take over from the other.
var smallSystem = systemSize{daemons: 2, vms: 4, vmsPerGroup: 2, replicas: 2}

// Checks that a caller gets the complete response to its own request, and
// nothing of another one, under faults of engines and connections.
func TestHoldOwnAnswer(t *testing.T) {
	sk := newTestSystem(t, smallSystem)
	const tokens = 30
	check := func(t *testing.T) {
		t.Helper()
		got, err := sk.complete(sk.client(0), tokens)
		if err != nil {
			t.Fatal(err)
		}
		if got != expectedText(tokens) {
			t.Errorf("response = %q\nwant %q", got, expectedText(tokens))
		}
	}
	faultAll := func(ef standin.EngineFaults) {
		for _, eh := range sk.engines {
			eh.engine.SetFaults(ef)
		}
	}
	// The engines close the stream after some tokens. Another group resumes the
	// response, and the caller receives each token exactly once.
	t.Run("cut", func(t *testing.T) {
		sk.leaders()[0].engine.SetFaults(standin.EngineFaults{DisconnectAfter: 7})
		sk.leaders()[1].engine.SetFaults(standin.EngineFaults{DisconnectAfter: 5})
		defer faultAll(standin.EngineFaults{})
		check(t)
	})
	// A stream ends without its terminator after the last token.
	t.Run("truncated", func(t *testing.T) {
		faultAll(standin.EngineFaults{Truncate: true})
		defer faultAll(standin.EngineFaults{})
		check(t)
	})
	// An engine returns the response to another request, as happens on a reused
	// connection with an old response in flight.
	t.Run("late-answer", func(t *testing.T) {
		for _, eh := range sk.leaders()[:1] {
			eh.engine.SetFaults(standin.EngineFaults{MismatchedResponse: true})
		}
		defer faultAll(standin.EngineFaults{})
		for range 4 {
			check(t)
		}
	})
	// Many callers send different prompts while streams are interrupted. No
	// response may contain text of another.
	t.Run("many", func(t *testing.T) {
		for _, eh := range sk.leaders() {
			eh.engine.SetFaults(standin.EngineFaults{DisconnectAfter: 3})
		}
		var wg sync.WaitGroup
		for i := range 40 {
			wg.Go(func() { sk.checkOwnResponse(t, i) })
		}
		wg.Wait()
	})
	// The caller disconnects. The engines must stop generating the response.
	t.Run("caller-gone", func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		ch := hub.Chat{Model: "linden", Messages: []hub.Message{{Role: "user", Content: "long"}}, MaxTokens: 100000}
		_ = sk.client(0).Stream(ctx, ch, func(string) { cancel() })
		sk.waitUntil("the engines stop", func() bool {
			for _, eh := range sk.engines {
				if eh.engine.InFlight() > 0 {
					return false
				}
			}
			return true
		})
	})
	// A member of the group crashes in mid-stream and the replica fails with
	// it. The other group completes the response.
	t.Run("kill", func(t *testing.T) {
		leader := sk.leaders()[0]
		var once sync.Once
		var text strings.Builder
		ch := hub.Chat{Model: "linden", Messages: []hub.Message{{Role: "user", Content: prompt}}, MaxTokens: tokens}
		for range 4 {
			text.Reset()
			err := sk.client(0).Stream(context.Background(), ch, func(piece string) {
				text.WriteString(piece)
				once.Do(leader.kill)
			})
			if err != nil {
				t.Fatal(err)
			}
			if text.String() != expectedText(tokens) {
				t.Errorf("response = %q\nwant %q", text.String(), expectedText(tokens))
			}
		}
	})
}

// checkOwnResponse sends a prompt with number i and checks the response.
func (sk *testSystem) checkOwnResponse(t *testing.T, i int) {
	var got, want strings.Builder
	own := fmt.Sprintf("question %d", i)
	ch := hub.Chat{Model: "linden", Messages: []hub.Message{{Role: "user", Content: own}}, MaxTokens: 12}
	err := sk.client(i%2).Stream(context.Background(), ch, func(piece string) { got.WriteString(piece) })
	if err != nil {
		t.Error(err)
		return
	}
	for j := range 12 {
		want.WriteString(standin.Token(`user"`+own+`"`, j))
	}
	if got.String() != want.String() {
		t.Errorf("%s: response = %q, want %q", own, got.String(), want.String())
	}
}

// Guards against a truncated response that a client takes for complete. All
// groups are lost in mid-stream, so the response cannot be resumed. The caller
// must see an error event with a verdict and an aborted transfer, without the
// terminator.
func TestInterruptedStreamEndsWithError(t *testing.T) {
	sk := newTestSystem(t, systemSize{daemons: 1, vms: 2, vmsPerGroup: 2, replicas: 1, engine: func(en *standin.Engine) { en.TokenTime = 50 * time.Millisecond }})
	leader := sk.leaders()[0]
	body := `{"model":"linden","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"x"}]}`
	req, err := http.NewRequest(http.MethodPost, "http://"+sk.caller(0)+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+workspaceKey)
	rsp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer rsp.Body.Close()
	var lastError hub.ErrorBody
	sc := bufio.NewScanner(rsp.Body)
	for sc.Scan() {
		leader.kill()
		data := strings.TrimPrefix(sc.Text(), "data: ")
		if data == "[DONE]" {
			t.Error("got the terminator after an interrupted response")
		}
		if strings.Contains(data, `"error"`) {
			if err := json.Unmarshal([]byte(data), &lastError); err != nil {
				t.Error(err)
			}
		}
	}
	if sc.Err() == nil {
		t.Error("the transfer ended without an error, want it aborted")
	}
	if lastError.Error.Verdict != verdict.MayHaveRun {
		t.Errorf("verdict = %q, want %q", lastError.Error.Verdict, verdict.MayHaveRun)
	}
}

// Checks that a daemon completes all requests that it receives before and
// during its graceful stop.
func TestHoldGracefulStop(t *testing.T) {
	// A daemon is drained while streams run through it and new ones arrive from
	// a caller with an old list of entries. All streams must complete; then Run
	// must return without an error.
	t.Run("streams", func(t *testing.T) {
		sk := newTestSystem(t, systemSize{daemons: 2, vms: 4, vmsPerGroup: 2, replicas: 2, engine: func(en *standin.Engine) { en.TokenTime = 10 * time.Millisecond }})
		var wg sync.WaitGroup
		started := make(chan struct{}, 100)
		stream := func() {
			var text strings.Builder
			ch := hub.Chat{Model: "linden", Messages: []hub.Message{{Role: "user", Content: prompt}}, MaxTokens: 60}
			cl := sk.client(0)
			cl.Attempts = 1
			err := cl.Stream(context.Background(), ch, func(piece string) {
				text.WriteString(piece)
				select {
				case started <- struct{}{}:
				default:
				}
			})
			if err != nil {
				t.Error(err)
			} else if text.String() != expectedText(60) {
				t.Errorf("response = %q, want the complete text", text.String())
			}
		}
		for range 10 {
			wg.Go(stream)
		}
		<-started
		if err := sk.admin(0).Drain(context.Background()); err != nil {
			t.Fatal(err)
		}
		for range 5 {
			wg.Go(stream)
		}
		wg.Wait()
		if err := <-sk.daemons[0].done; err != nil {
			t.Error(err)
		}
		sk.daemons[0].done <- nil
	})
	// All daemons are replaced one at a time under load. Callers find the new
	// ones through /v1/entries, and no request may fail.
	t.Run("one-after-another", func(t *testing.T) {
		sk := newTestSystem(t, systemSize{daemons: 3, vms: 4, vmsPerGroup: 2, replicas: 2})
		stop := make(chan struct{})
		var wg sync.WaitGroup
		for i := range 4 {
			cl := sk.client(i % 3)
			wg.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
					}
					if got, err := sk.complete(cl, 20); err != nil || got != expectedText(20) {
						t.Errorf("response = %q, %v; want the complete text", got, err)
						return
					}
				}
			})
		}
		for i := range 3 {
			next := sk.addDaemon(fmt.Sprintf("new%d", i))
			sk.waitUntil("the new daemon serves", func() bool { return sk.servingGroups(next) == 2 })
			sk.daemons[i].stop()
			if err := <-sk.daemons[i].done; err != nil {
				t.Error(err)
			}
			sk.daemons[i].done <- nil
		}
		close(stop)
		wg.Wait()
	})
}
