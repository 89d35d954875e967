// Command demo sends a streamed completion, a plain call and a non-repeatable call to
// a running stack, and checks each response.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"corianderhub.dev/corianderhub/internal/standin"
	"corianderhub.dev/corianderhub/pkg/hub"
)

// demoTimeout bounds the whole demo.
const demoTimeout = 45 * time.Second

const (
	prompt    = "A substitute for a sold-out linden?"
	wordCount = 24
)

type options struct {
	Seeds   []string `long:"seed" required:"yes" description:"a daemon's address for callers, IP:port"`
	KeyFile string   `long:"key-file" required:"yes" description:"file with the workspace's key"`
}

func main() {
	var op options
	if _, err := flags.Parse(&op); err != nil {
		os.Exit(2)
	}
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	if err := demo(ctx, op); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		cancel()
		os.Exit(1)
	}
	fmt.Println("demo passed: all responses are complete and as expected")
}

// demo makes the calls one after the other and checks the responses.
func demo(ctx context.Context, op options) error {
	key, err := os.ReadFile(op.KeyFile)
	if err != nil {
		return err
	}
	cl := &hub.Client{Seeds: op.Seeds, Key: strings.TrimSpace(string(key)), Attempts: 40}
	if err := checkCompletion(ctx, cl); err != nil {
		return eris.Wrap(err, "streamed completion")
	}
	if err := checkPlainCall(ctx, cl); err != nil {
		return eris.Wrap(err, "plain call")
	}
	return eris.Wrap(checkNonRepeatable(ctx, cl), "non-repeatable call")
}

// checkCompletion streams a completion and compares its text with that which the
// engine's test double generates for the prompt.
func checkCompletion(ctx context.Context, cl *hub.Client) error {
	var text strings.Builder
	ch := hub.Chat{Model: "linden", Messages: []hub.Message{{Role: "user", Content: prompt}}, MaxTokens: wordCount}
	err := cl.Stream(ctx, ch, func(piece string) { text.WriteString(piece) })
	if err != nil {
		return err
	}
	want := ""
	for i := range wordCount {
		want += standin.Token("user\""+prompt+"\"", i)
	}
	if text.String() != want {
		return eris.Errorf("got %q, want %q", text.String(), want)
	}
	fmt.Println("streamed completion:", wordCount, "words, complete and in order")
	return nil
}

// checkPlainCall calls a plain service, which returns the path in its response.
func checkPlainCall(ctx context.Context, cl *hub.Client) error {
	an, err := cl.Do(ctx, hub.Call{Method: http.MethodGet, Path: "/orders/status/17"})
	if err != nil {
		return err
	}
	if an.Status != http.StatusOK || !strings.Contains(string(an.Body), "/orders/status/17") {
		return eris.Errorf("got status %d, body %q; want 200 and the path of the call", an.Status, an.Body)
	}
	fmt.Println("plain call:", strings.TrimSpace(string(an.Body)))
	return nil
}

// checkNonRepeatable sends the same call twice under one idempotency key. The service
// must run it once, and the second response must be the recorded first one.
func checkNonRepeatable(ctx context.Context, cl *hub.Client) error {
	ca := hub.Call{Method: http.MethodPost, Path: "/orders/confirm", Body: []byte(`{"pallets":2}`), Key: uuid.NewString()}
	first, err := cl.Do(ctx, ca)
	if err != nil {
		return err
	}
	again, err := cl.Do(ctx, ca)
	if err != nil {
		return err
	}
	if !again.Recorded || string(again.Body) != string(first.Body) || !strings.Contains(string(first.Body), `"run":1`) {
		return eris.Errorf("first response %q, second response %q (recorded %v); want run 1 in both and the second recorded", first.Body, again.Body, again.Recorded)
	}
	fmt.Println("non-repeatable call: sent twice, run once, same response")
	return nil
}
