// Command demo sends a streamed completion, a plain call and a non-repeatable
// call to a running stack, and checks each answer whole.
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

// limit bounds the demonstration.
const limit = 45 * time.Second

const (
	question = "A substitute for a sold-out linden?"
	words    = 24
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
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := demo(ctx, op); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		cancel()
		os.Exit(1)
	}
	fmt.Println("demo passed: every answer was checked whole")
}

func demo(ctx context.Context, op options) error {
	key, err := os.ReadFile(op.KeyFile)
	if err != nil {
		return err
	}
	cl := &hub.Client{Seeds: op.Seeds, Key: strings.TrimSpace(string(key)), Attempts: 40}
	if err := streamed(ctx, cl); err != nil {
		return eris.Wrap(err, "streamed completion")
	}
	if err := plain(ctx, cl); err != nil {
		return eris.Wrap(err, "plain call")
	}
	return eris.Wrap(booking(ctx, cl), "non-repeatable call")
}

func streamed(ctx context.Context, cl *hub.Client) error {
	var text strings.Builder
	ch := hub.Chat{Model: "linden", Messages: []hub.Message{{Role: "user", Content: question}}, MaxTokens: words}
	err := cl.Stream(ctx, ch, func(piece string) { text.WriteString(piece) })
	if err != nil {
		return err
	}
	want := ""
	for i := range words {
		want += standin.Word("user\""+question+"\"", i)
	}
	if text.String() != want {
		return eris.Errorf("got %q, want %q", text.String(), want)
	}
	fmt.Println("streamed completion:", words, "words, whole and in order")
	return nil
}

func plain(ctx context.Context, cl *hub.Client) error {
	an, err := cl.Do(ctx, hub.Call{Method: http.MethodGet, Path: "/orders/status/17"})
	if err != nil {
		return err
	}
	if an.Status != http.StatusOK || !strings.Contains(string(an.Body), "/orders/status/17") {
		return eris.Errorf("status %d, body %q", an.Status, an.Body)
	}
	fmt.Println("plain call:", strings.TrimSpace(string(an.Body)))
	return nil
}

func booking(ctx context.Context, cl *hub.Client) error {
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
		return eris.Errorf("first %q, again %q (recorded %v)", first.Body, again.Body, again.Recorded)
	}
	fmt.Println("non-repeatable call: sent twice, run once, same answer")
	return nil
}
