package front

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/platform/emulator"
)

// shortDeadlines is a response whose write deadlines are shortTimeout away instead of writeTimeout.
type shortDeadlines struct{ http.ResponseWriter }

const shortTimeout = 100 * time.Millisecond

// Unwrap implements what http.ResponseController calls.
func (sd shortDeadlines) Unwrap() http.ResponseWriter { return sd.ResponseWriter }

// SetWriteDeadline implements what http.ResponseController calls.
func (sd shortDeadlines) SetWriteDeadline(at time.Time) error {
	return http.NewResponseController(sd.ResponseWriter).SetWriteDeadline(at.Add(shortTimeout - writeTimeout))
}

// A stream ends more than a write timeout after its last event. Guards against closing the caller's
// connection without the end of the response, because the deadline of the last event's write has passed.
func TestLateEndOfStreamReachesCaller(t *testing.T) {
	ri := newRig(t)
	hs := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		ri.front.ServeHTTP(shortDeadlines{w}, req)
	}))
	t.Cleanup(hs.Close)
	ri.hs.URL = hs.URL
	ri.start(&emulator.Server{ID: "leader", Service: "engine", EventInterval: 2 * shortTimeout})
	ri.update()
	re := ri.send("/draft/x", "id", setTokenCounts)
	if re.err != nil || re.status != http.StatusOK {
		t.Errorf("status %d, %d bytes, error %v; want a complete response", re.status, len(re.body), re.err)
	}
}
