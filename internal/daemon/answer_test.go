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

var small = stackSize{daemons: 2, vms: 4, vmsPerGroup: 2, replicas: 2}

func TestHoldOwnAnswer(t *testing.T) {
	sk := newStack(t, small)
	const tokens = 30
	check := func(t *testing.T) {
		t.Helper()
		got, err := sk.ask(sk.client(0), tokens)
		if err != nil {
			t.Fatal(err)
		}
		if got != want(tokens) {
			t.Errorf("answer = %q\nwant %q", got, want(tokens))
		}
	}
	faultAll := func(ef standin.EngineFaults) {
		for _, eh := range sk.engines {
			eh.engine.SetFaults(ef)
		}
	}
	// An engine breaks the stream off after some tokens. The caller sees one
	// answer without a token lost or doubled: another group goes on from there.
	t.Run("cut", func(t *testing.T) {
		sk.leaders()[0].engine.SetFaults(standin.EngineFaults{DisconnectAfter: 7})
		sk.leaders()[1].engine.SetFaults(standin.EngineFaults{DisconnectAfter: 5})
		defer faultAll(standin.EngineFaults{})
		check(t)
	})
	// A stream ends cleanly but without its terminator after its last token.
	t.Run("truncated", func(t *testing.T) {
		faultAll(standin.EngineFaults{Truncate: true})
		defer faultAll(standin.EngineFaults{})
		check(t)
	})
	// An engine answers with the answer to somebody else's request, as a
	// connection does that was reused while an old answer was on its way.
	t.Run("late-answer", func(t *testing.T) {
		for _, eh := range sk.leaders()[:1] {
			eh.engine.SetFaults(standin.EngineFaults{MismatchedResponse: true})
		}
		defer faultAll(standin.EngineFaults{})
		for range 4 {
			check(t)
		}
	})
	// Many callers at once, each with a question of its own, while streams are
	// cut: nobody gets a word of another's answer.
	t.Run("many", func(t *testing.T) {
		for _, eh := range sk.leaders() {
			eh.engine.SetFaults(standin.EngineFaults{DisconnectAfter: 3})
		}
		var wg sync.WaitGroup
		for i := range 40 {
			wg.Go(func() { sk.askOwn(t, i) })
		}
		wg.Wait()
	})
	// The caller hangs up. The engine must stop working on the answer.
	t.Run("caller-gone", func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		ch := hub.Chat{Model: "linden", Messages: []hub.Message{{Role: "user", Content: "long"}}, MaxTokens: 100000}
		_ = sk.client(0).Stream(ctx, ch, func(string) { cancel() })
		sk.until("the engines stopped", func() bool {
			for _, eh := range sk.engines {
				if eh.engine.InFlight() > 0 {
					return false
				}
			}
			return true
		})
	})
	// A member of the group dies in mid-stream. The replica dies with it, and
	// the answer is finished by the other group.
	t.Run("kill", func(t *testing.T) {
		leader := sk.leaders()[0]
		var once sync.Once
		var text strings.Builder
		ch := hub.Chat{Model: "linden", Messages: []hub.Message{{Role: "user", Content: question}}, MaxTokens: tokens}
		for range 4 {
			text.Reset()
			err := sk.client(0).Stream(context.Background(), ch, func(piece string) {
				text.WriteString(piece)
				once.Do(leader.kill)
			})
			if err != nil {
				t.Fatal(err)
			}
			if text.String() != want(tokens) {
				t.Errorf("answer = %q\nwant %q", text.String(), want(tokens))
			}
		}
	})
}

// askOwn asks a question that differs from all others and checks the answer.
func (sk *stack) askOwn(t *testing.T, i int) {
	var got, want strings.Builder
	own := fmt.Sprintf("question %d", i)
	ch := hub.Chat{Model: "linden", Messages: []hub.Message{{Role: "user", Content: own}}, MaxTokens: 12}
	err := sk.client(i%2).Stream(context.Background(), ch, func(piece string) { got.WriteString(piece) })
	if err != nil {
		t.Error(err)
		return
	}
	for j := range 12 {
		want.WriteString(standin.Word(`user"`+own+`"`, j))
	}
	if got.String() != want.String() {
		t.Errorf("%s: answer = %q, want %q", own, got.String(), want.String())
	}
}

// Every group has been lost and the answer can't be finished. The caller sees
// an error event with a verdict and a broken transfer, and no terminator.
func TestBrokenAnswerIsNotWhole(t *testing.T) {
	sk := newStack(t, stackSize{daemons: 1, vms: 2, vmsPerGroup: 2, replicas: 1, engine: func(en *standin.Engine) { en.TokenTime = 50 * time.Millisecond }})
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
			t.Error("a broken answer ended with the terminator")
		}
		if strings.Contains(data, `"error"`) {
			if err := json.Unmarshal([]byte(data), &lastError); err != nil {
				t.Error(err)
			}
		}
	}
	if sc.Err() == nil {
		t.Error("the transfer ended cleanly, want it broken off")
	}
	if lastError.Error.Verdict != verdict.MayHaveRun {
		t.Errorf("verdict = %q, want %q", lastError.Error.Verdict, verdict.MayHaveRun)
	}
}

func TestHoldGracefulStop(t *testing.T) {
	// A daemon is told to stop while streams run through it and new ones keep
	// coming from a caller who holds an old list of entries. All of them end
	// whole; then the daemon's process ends.
	t.Run("streams", func(t *testing.T) {
		sk := newStack(t, stackSize{daemons: 2, vms: 4, vmsPerGroup: 2, replicas: 2, engine: func(en *standin.Engine) { en.TokenTime = 10 * time.Millisecond }})
		var wg sync.WaitGroup
		started := make(chan struct{}, 100)
		stream := func() {
			var text strings.Builder
			ch := hub.Chat{Model: "linden", Messages: []hub.Message{{Role: "user", Content: question}}, MaxTokens: 60}
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
			} else if text.String() != want(60) {
				t.Errorf("answer = %q, want it whole", text.String())
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
	// All daemons are replaced one after another under load. Callers move by
	// /v1/entries and lose nothing.
	t.Run("one-after-another", func(t *testing.T) {
		sk := newStack(t, stackSize{daemons: 3, vms: 4, vmsPerGroup: 2, replicas: 2})
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
					if got, err := sk.ask(cl, 20); err != nil || got != want(20) {
						t.Errorf("answer = %q, %v; want it whole", got, err)
						return
					}
				}
			})
		}
		for i := range 3 {
			next := sk.addDaemon(fmt.Sprintf("new%d", i))
			sk.until("the new daemon serves", func() bool { return sk.serving(next) == 2 })
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
