package front

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"corianderhub.dev/corianderhub/internal/servertest"
)

// setUpload gives a request a body of servertest.UploadBytes.
func setUpload(req *http.Request) {
	setTokenCounts(req)
	req.Body, req.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", servertest.UploadBytes))), servertest.UploadBytes
}

// streamBody is a complete body for any route.
const streamBody = "id: 1\ndata: a\n\n"

// testNotPassedOn checks that each of the responses, which begin with an ID field, is replaced by a 502.
func testNotPassedOn(t *testing.T, responses func(fields string) map[string]string, ends ...servertest.End) {
	for name := range responses("") {
		t.Run(name, func(t *testing.T) {
			for _, end := range ends {
				sv := servertest.Respond(t, "127.0.0.1", end, func(req *http.Request) string { return responses(echoID(req))[name] })
				ri := newRig(t)
				ri.setOnly(sv.Address)
				for _, path := range []string{"/confirm/x", "/slot/x", "/draft/x", "/once/x"} {
					for size, change := range map[string]func(*http.Request){"short": setTokenCounts, "long": setUpload} {
						before := sv.Requests.Load()
						if re := ri.send(path, "id", change); re.err != nil || re.status != http.StatusBadGateway {
							t.Errorf("%s, %s request: got status %d with %q, error %v, want status 502", path, size, re.status, re.body, re.err)
						}
						if num := sv.Requests.Load() - before; num != 1 {
							t.Errorf("%s, %s request: sent %d times, want 1", path, size, num)
						}
					}
				}
			}
		})
	}
}

// Guards against a caller that gets a response with an invalid field, or with a body that the endpoint has not
// sent because the field that delimits it has an invalid name.
func TestMalformedNameIsNotPassedOn(t *testing.T) {
	testNotPassedOn(t, func(fields string) map[string]string { return servertest.MalformedNames(fields, streamBody) }, servertest.Close)
}

// Guards against a caller that gets a response with a status code that HTTP does not have.
func TestInvalidStatusIsNotPassedOn(t *testing.T) {
	testNotPassedOn(t, func(fields string) map[string]string { return servertest.InvalidStatuses(fields, streamBody) }, servertest.Close)
}

// Guards against a caller that gets a response whose head was cut off, with an empty or a short body.
func TestCutHeadIsNotPassedOn(t *testing.T) {
	testNotPassedOn(t, servertest.CutHeads, servertest.Close, servertest.Reset)
}

// Guards against refusing a response that is valid but unusual.
func TestUnusualResponseIsPassedOn(t *testing.T) {
	for name := range servertest.Unusual("", streamBody) {
		sv := servertest.Respond(t, "127.0.0.1", servertest.Close, func(req *http.Request) string { return servertest.Unusual(echoID(req), streamBody)[name] })
		ri := newRig(t)
		ri.setOnly(sv.Address)
		for _, path := range []string{"/confirm/x", "/slot/x", "/draft/x", "/once/x"} {
			if re := ri.send(path, "id", setTokenCounts); re.err != nil || re.status != http.StatusOK || re.body != streamBody {
				t.Errorf("%s, %s: got status %d with %q, error %v, want the response", name, path, re.status, re.body, re.err)
			}
		}
	}
}

// Guards against refusing the response of an endpoint that has not read the whole upload, and ends its side of
// the connection.
func TestEarlyResponseIsPassedOn(t *testing.T) {
	for name, length := range map[string]string{"length": "Content-Length: 2\r\n", "neither length nor chunks": ""} {
		sv := servertest.Respond(t, "127.0.0.1", servertest.CloseEarly, func(req *http.Request) string {
			return "HTTP/1.1 413 Content Too Large\r\n" + echoID(req) + length + "\r\nno"
		})
		ri := newRig(t)
		ri.setOnly(sv.Address)
		for _, path := range []string{"/confirm/x", "/slot/x", "/draft/x", "/once/x"} {
			if re := ri.send(path, "id", setUpload); re.err != nil || re.status != http.StatusRequestEntityTooLarge || re.body != "no" {
				t.Errorf("%s, %s: got status %d with %q, error %v, want the response", name, path, re.status, re.body, re.err)
			}
		}
	}
}
