// Command platform-demo asks the daemons of a running stack where to connect,
// sends a streamed request, a plain one and one that must not repeat, and
// checks each answer whole.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"corianderhub.dev/corianderhub/platform"
	"corianderhub.dev/corianderhub/platform/emulator"
)

const (
	// limit bounds the demonstration; groups form in some 3 s.
	limit = 45 * time.Second
	// retryPause is the time between tries while groups form.
	retryPause = 200 * time.Millisecond
	events     = 20
)

type options struct {
	Directories []string `long:"directory" required:"yes" description:"a daemon's address for callers that look for one, IP:port"`
}

func main() {
	var op options
	if _, err := flags.Parse(&op); err != nil {
		os.Exit(2)
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	err := demo(ctx, op)
	cancel()
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
	fmt.Println("demo passed: every answer was checked whole")
}

func demo(ctx context.Context, op options) error {
	var stream strings.Builder
	for num := 1; num <= events; num++ {
		stream.WriteString(emulator.Event("demo-draft", num))
	}
	for _, rq := range []struct{ what, path, id, want string }{
		{"streamed request", "/draft/x", "demo-draft", stream.String()},
		{"plain request", "/slot/x", "demo-slot", emulator.Body("demo-slot")},
		{"request that must not repeat", "/confirm/x", "demo-confirm", emulator.Body("demo-confirm")},
	} {
		addr, got, err := untilServed(ctx, op, rq.path, rq.id)
		if err != nil {
			return eris.Wrap(err, rq.what)
		}
		if got != rq.want {
			return eris.Errorf("%s: got %q, want %q", rq.what, got, rq.want)
		}
		fmt.Printf("%s: answered whole by %s, %d bytes\n", rq.what, addr, len(got))
	}
	return nil
}

// untilServed repeats a request while it is refused as not run.
func untilServed(ctx context.Context, op options, path, id string) (addr, body string, err error) {
	for num := 0; ; num++ {
		addr, err = resolve(ctx, op.Directories[num%len(op.Directories)])
		if err == nil {
			var status int
			if status, body, err = send(ctx, addr, path, id); err == nil && status == http.StatusOK {
				return addr, body, nil
			}
			if err == nil && status != http.StatusServiceUnavailable {
				return addr, "", eris.Errorf("status %d from %s", status, addr)
			}
		}
		select {
		case <-ctx.Done():
			return addr, "", eris.Wrapf(ctx.Err(), "last error: %v", err)
		case <-time.After(retryPause):
		}
	}
}

// resolve asks a daemon which address to use.
func resolve(ctx context.Context, directory string) (string, error) {
	_, raw, err := do(ctx, http.MethodGet, platform.ResolveURL(directory, emulator.Host, ""), nil)
	if err != nil {
		return "", err
	}
	var an platform.ResolveResponse
	if err := json.Unmarshal([]byte(raw), &an); err != nil || len(an.Addresses) == 0 {
		return "", eris.Errorf("no address in %q", raw)
	}
	return an.Addresses[0], nil
}

func send(ctx context.Context, addr, path, id string) (int, string, error) {
	return do(ctx, http.MethodPost, "http://"+addr+path, func(req *http.Request) {
		req.Host = emulator.Host
		req.Header.Set(platform.HeaderRequestID, id)
		req.Header.Set(platform.HeaderAuthorization, "Token "+emulator.Key)
		req.Header.Set(platform.HeaderModel, emulator.ModelLarge)
		if strings.HasPrefix(path, "/draft/") {
			req.Header.Set(platform.HeaderTokens, fmt.Sprint("100,", events*7))
		}
	})
}

func do(ctx context.Context, method, target string, change func(*http.Request)) (int, string, error) {
	req, err := http.NewRequestWithContext(ctx, method, target, nil)
	if err != nil {
		return 0, "", err
	}
	if change != nil {
		change(req)
	}
	rsp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer rsp.Body.Close()
	raw, err := io.ReadAll(rsp.Body)
	return rsp.StatusCode, string(raw), err
}
