package http1

import (
	"net/http"
	"testing"

	"corianderhub.dev/corianderhub/internal/servertest"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

// sendRaw sends a request to an endpoint that responds with raw, and returns the body.
func sendRaw(t *testing.T, raw string, end servertest.End, body []byte) (string, error) {
	t.Helper()
	sv := servertest.Respond(t, "127.0.0.1", end, func(*http.Request) string { return raw })
	rq := request("1")
	rq.Body = body
	ex, err := newPool().Send(t.Context(), sv.Address, rq)
	if err != nil {
		return "", err
	}
	defer ex.Close()
	got, err := ex.ReadAll(1 << 10)
	return string(got), err
}

// testRefused checks that each of the responses is refused, to a short request and to a long one.
func testRefused(t *testing.T, responses map[string]string, ends ...servertest.End) {
	for name, raw := range responses {
		t.Run(name, func(t *testing.T) {
			for _, end := range ends {
				for _, body := range [][]byte{nil, make([]byte, servertest.UploadBytes)} {
					got, err := sendRaw(t, raw, end, body)
					if err == nil {
						t.Errorf("body of %d bytes: got a response with %q, want an error", len(body), got)
					} else if VerdictOf(err) != verdict.MayHaveRun {
						t.Errorf("body of %d bytes: got verdict %q, want %q", len(body), VerdictOf(err), verdict.MayHaveRun)
					}
				}
			}
		})
	}
}

// Guards against passing on a response with an invalid field, or with a body that a field with an invalid name
// delimits otherwise.
func TestMalformedName(t *testing.T) {
	testRefused(t, servertest.MalformedNames("X-Id: 1\r\n", "nine bytes"), servertest.Close)
	testRefused(t, map[string]string{
		"interim response":   "HTTP/1.1 103 Early Hints\r\nX A: 1\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok",
		"skipped response":   "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length : 2\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok",
		"response of no one": "HTTP/1.1 500 No\r\nX A: 1\r\nContent-Length: 2\r\n\r\nno",
	}, servertest.Close)
}

// Guards against passing on a response with a status code that HTTP does not have.
func TestInvalidStatus(t *testing.T) {
	testRefused(t, servertest.InvalidStatuses("X-Id: 1\r\n", "nine bytes"), servertest.Close)
}

// Guards against taking the beginning of a head for a head.
func TestCutHead(t *testing.T) {
	testRefused(t, servertest.CutHeads("X-Id: 1\r\n"), servertest.Close, servertest.Reset)
}

// Guards against refusing a response that is valid but unusual.
func TestUnusualResponse(t *testing.T) {
	responses := servertest.Unusual("X-Id: 1\r\n", "body")
	responses["neither length nor chunks"] = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nbody"
	for name, raw := range responses {
		if got, err := sendRaw(t, raw, servertest.Close, nil); got != "body" || err != nil {
			t.Errorf("%s: got %q, %v; want the body", name, got, err)
		}
	}
}
