package front

import (
	"context"
	"errors"
	"time"

	"corianderhub.dev/corianderhub/internal/core/quarantine"
	"corianderhub.dev/corianderhub/internal/http1"
	"corianderhub.dev/corianderhub/platform"
)

// reasonQuarantined is that of a refusal because servers end under the request.
const reasonQuarantined = "quarantined"

// BrokenOff is a request whose endpoint closed the connection before the answer's end.
type Disconnect struct {
	Request quarantine.Fingerprint
	// Endpoint is the endpoint's identifier, Address where it listened.
	Endpoint, Address string
}

// knowContent notes by what the request is known again, and has all its log lines say it:
// the identifier is another one with each attempt of a caller.
func (ca *call) knowContent() {
	co := quarantine.Content{Method: ca.req.Method, Host: ca.req.Host, URI: ca.req.RequestURI, Caller: ca.caller(), Body: ca.body}
	ca.content = co.Fingerprint()
	ca.log = ca.log.With("content", ca.content)
}

// caller is whom the request is from. A workspace's keys may change between attempts.
func (ca *call) caller() string {
	if ca.workspace != nil {
		return ca.workspace.Name
	}
	return ca.req.Header.Get(platform.HeaderAuthorization)
}

// quarantined tells whether the request is to be sent to no server, and for how long still.
// Servers end under it: each attempt would cost one more, with all that it serves.
func (ca *call) quarantined() (time.Duration, bool) {
	return ca.sv.Quarantine.Quarantined(ca.content, ca.sv.Clock.Now())
}

// brokenOff tells of an attempt that failed because its endpoint closed the connection. If
// endpoints have ended under the request before, it waits until it is known whether this
// one has, so that the request is not sent on to the next one meanwhile.
func (ca *call) brokenOff(ctx context.Context, endpoint, addr string, err error) {
	if !http1.PeerClosed(err) && !errors.Is(err, errCutOff) {
		return
	}
	known := ca.sv.OnDisconnect(Disconnect{ca.content, endpoint, addr})
	if !ca.sv.Quarantine.Suspected(ca.content) {
		return
	}
	select {
	case <-known:
	case <-ctx.Done():
	}
}

// outlived tells that an endpoint has answered the request whole and goes on: what ended
// under it before ended for another reason.
func (ca *call) outlived() {
	if ca.sv.Quarantine.Suspected(ca.content) {
		ca.sv.OnCompletion(ca.content)
	}
}
