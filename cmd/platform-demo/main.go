// Command platform-demo resolves the address of a daemon in a running stack, sends a
// streamed request, a plain request and a request that must run at most once, and
// compares each response in full with the expected one.
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

	"corianderhub.dev/corianderhub/internal/httphead"
	"corianderhub.dev/corianderhub/platform"
	"corianderhub.dev/corianderhub/platform/emulator"
)

const (
	// demoTimeout bounds the whole demo. Groups take about 3 s to form.
	demoTimeout = 45 * time.Second
	// retryPause is the time between two attempts while groups form.
	retryPause = 200 * time.Millisecond
	// eventCount is the number of events in the streamed response.
	eventCount = 20
)

type options struct {
	Directories []string `long:"directory" required:"yes" description:"address of a daemon's directory listener, IP:port; may be repeated"`
}

func main() {
	var op options
	if _, err := flags.Parse(&op); err != nil {
		os.Exit(2)
	}
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	err := demo(ctx, op)
	cancel()
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
	fmt.Println("demo passed: all responses are complete and as expected")
}

// demo sends the requests one after the other and checks the responses.
func demo(ctx context.Context, op options) error {
	var stream strings.Builder
	for num := 1; num <= eventCount; num++ {
		stream.WriteString(emulator.Event("demo-draft", num))
	}
	for _, rq := range []struct{ what, path, id, want string }{
		{"streamed request", "/draft/x", "demo-draft", stream.String()},
		{"plain request", "/slot/x", "demo-slot", emulator.Body("demo-slot")},
		{"request that must run at most once", "/confirm/x", "demo-confirm", emulator.Body("demo-confirm")},
	} {
		addr, got, err := sendWithRetry(ctx, op, rq.path, rq.id)
		if err != nil {
			return eris.Wrap(err, rq.what)
		}
		if got != rq.want {
			return eris.Errorf("%s: got %q, want %q", rq.what, got, rq.want)
		}
		fmt.Printf("%s: complete response from %s, %d bytes\n", rq.what, addr, len(got))
	}
	return nil
}

// sendWithRetry sends a request until it gets status 200, and returns the response
// body and the daemon's address. It retries after errors and after status 503,
// and resolves the address at the next daemon each time.
func sendWithRetry(ctx context.Context, op options, path, id string) (addr, body string, err error) {
	for num := 0; ; num++ {
		addr, err = resolve(ctx, op.Directories[num%len(op.Directories)])
		if err == nil {
			var status int
			if status, body, err = send(ctx, addr, path, id); err == nil && status == http.StatusOK {
				return addr, body, nil
			}
			if err == nil && status != http.StatusServiceUnavailable {
				return addr, "", eris.Errorf("got status %d from %s, want 200 or 503", status, addr)
			}
		}
		select {
		case <-ctx.Done():
			return addr, "", eris.Wrapf(ctx.Err(), "last error: %v", err)
		case <-time.After(retryPause):
		}
	}
}

// resolve returns the first of the addresses that the daemon at directory returns for
// the emulated host.
func resolve(ctx context.Context, directory string) (string, error) {
	_, raw, err := do(ctx, http.MethodGet, platform.ResolveURL(directory, emulator.Host, ""), nil)
	if err != nil {
		return "", err
	}
	var rr platform.ResolveResponse
	if err := json.Unmarshal([]byte(raw), &rr); err != nil || len(rr.Addresses) == 0 {
		return "", eris.Errorf("no address in response %q", raw)
	}
	return rr.Addresses[0], nil
}

// send sends a request with the identifier id as a client of the emulated platform.
func send(ctx context.Context, addr, path, id string) (int, string, error) {
	return do(ctx, http.MethodPost, "http://"+addr+path, func(req *http.Request) {
		req.Host = emulator.Host
		req.Header.Set(platform.HeaderRequestID, id)
		req.Header.Set(platform.HeaderAuthorization, "Token "+emulator.APIKey)
		req.Header.Set(platform.HeaderModel, emulator.ModelLarge)
		if strings.HasPrefix(path, "/draft/") {
			req.Header.Set(platform.HeaderTokens, fmt.Sprint("100,", eventCount*7))
		}
	})
}

// do sends a request without a body and returns the status and body of the response. If
// prepare is not nil, it is called to modify the request before that.
func do(ctx context.Context, method, target string, prepare func(*http.Request)) (int, string, error) {
	req, err := http.NewRequestWithContext(ctx, method, target, nil)
	if err != nil {
		return 0, "", err
	}
	if prepare != nil {
		prepare(req)
	}
	rsp, err := httphead.Do(http.DefaultClient, req)
	if err != nil {
		return 0, "", err
	}
	defer rsp.Body.Close()
	raw, err := io.ReadAll(rsp.Body)
	return rsp.StatusCode, string(raw), err
}
