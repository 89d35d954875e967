package servertest

import (
	"net/http"
	"testing"
)

// TestClient checks that a client refuses malformed responses, and no valid ones. send sends a request to an
// address and returns an error if it gets no success. A success has the fields, which are complete lines, and
// the body.
func TestClient(t *testing.T, fields, body string, send func(addr string) error) {
	test := func(responses map[string]string, accepted bool, ends ...End) {
		for name, raw := range responses {
			t.Run(name, func(t *testing.T) {
				for _, end := range ends {
					sv := Respond(t, "127.0.0.1", end, func(*http.Request) string { return raw })
					if err := send(sv.Address); (err == nil) != accepted {
						t.Errorf("got error %v, want one: %t", err, !accepted)
					}
				}
			})
		}
	}
	test(MalformedNames(fields, body), false, Close)
	test(InvalidStatuses(fields, body), false, Close)
	test(CutHeads(fields), false, Close, Reset)
	test(Unusual(fields, body), true, Close)
}
