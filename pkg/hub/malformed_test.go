package hub

import (
	"context"
	"net/http"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/servertest"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

// clientOf returns a client of the daemon at addr that sends each call once.
func clientOf(addr string) *Client {
	return &Client{Attempts: 1, entries: []string{addr}, entriesExpire: time.Now().Add(time.Hour)}
}

// Guards against a malformed response that a caller gets as an answer, as a completion or as a list of addresses.
func TestMalformedResponse(t *testing.T) {
	for name, tc := range map[string]struct {
		body string
		send func(addr string) error
	}{
		"call": {"nine bytes", func(addr string) error {
			_, err := clientOf(addr).Do(context.Background(), Call{Method: http.MethodPost, Path: "/orders/"})
			if ve := verdict.As(err); err != nil && ve.Verdict != verdict.MayHaveRun {
				t.Errorf("got error %v, want the verdict %s", err, verdict.MayHaveRun)
			}
			return err
		}},
		"completion": {"data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n", func(addr string) error {
			return clientOf(addr).Stream(context.Background(), Chat{Model: "large"}, func(string) {})
		}},
		"addresses": {`{"addresses":[]}`, func(addr string) error {
			_, err := new(Client).fetchEntries(context.Background(), addr)
			return err
		}},
	} {
		t.Run(name, func(t *testing.T) { servertest.TestClient(t, "", tc.body, tc.send) })
	}
}
