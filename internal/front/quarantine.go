package front

import (
	"context"
	"errors"
	"io"
	"time"

	"corianderhub.dev/corianderhub/internal/core/quarantine"
	"corianderhub.dev/corianderhub/internal/http1"
	"corianderhub.dev/corianderhub/platform"
)

// reasonQuarantined is the reason of a refusal of a quarantined request: one that server
// processes have crashed on.
const reasonQuarantined = "quarantined"

// Disconnect is a request whose endpoint closed the connection before the response was complete, or
// at the end of a response without length or chunks.
type Disconnect struct {
	Request quarantine.Fingerprint
	// Endpoint is the endpoint's ID, Address the address that the request was sent to.
	Endpoint, Address string
}

// computeFingerprint sets the request's fingerprint and adds it to all its log lines. The
// request ID can't serve for this, because it differs between a caller's attempts.
func (ca *call) computeFingerprint() {
	co := quarantine.Content{Method: ca.req.Method, Host: ca.req.Host, URI: ca.req.RequestURI, Caller: ca.caller(), Body: ca.body}
	ca.fingerprint = co.Fingerprint()
	ca.log = ca.log.With("content", ca.fingerprint)
}

// caller identifies the caller: by workspace, or by the authorization header if there is none.
// The workspace is preferred because its keys may change between attempts.
func (ca *call) caller() string {
	if ca.workspace != nil {
		return ca.workspace.Name
	}
	return ca.req.Header.Get(platform.HeaderAuthorization)
}

// quarantined reports whether the request must not be sent to any server, and for how much
// longer. Server processes have crashed on it: each attempt could crash another one, with all
// requests that it serves.
func (ca *call) quarantined() (time.Duration, bool) {
	return ca.sv.Quarantine.Quarantined(ca.fingerprint, ca.sv.Clock.Now())
}

// reportDisconnect reports an attempt that failed because its endpoint closed the connection.
// If endpoints have crashed on the request before, it waits until it is known whether this one
// has, so that the request is not sent to the next endpoint in the meantime.
func (ca *call) reportDisconnect(ctx context.Context, endpoint, addr string, err error) {
	if !http1.PeerClosed(err) && !errors.Is(err, errTruncatedEvent) {
		return
	}
	known := ca.sv.OnDisconnect(Disconnect{ca.fingerprint, endpoint, addr})
	if !ca.sv.Quarantine.Suspected(ca.fingerprint) {
		return
	}
	select {
	case <-known:
	case <-ctx.Done():
	}
}

// checkUnframedEnd checks the end of a response that has neither a length nor chunks. If the endpoint
// has crashed, the end of its connection is not the end of the response.
func (ca *call) checkUnframedEnd(ctx context.Context, ex *http1.Exchange, endpoint, addr string) error {
	if !ex.Unframed() {
		return nil
	}
	unframedCount.Inc()
	select {
	case crashed := <-ca.sv.OnDisconnect(Disconnect{ca.fingerprint, endpoint, addr}):
		if crashed {
			return io.ErrUnexpectedEOF
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// reportCompletion reports that an endpoint has completed the request and keeps running. The
// earlier crashes on the request then had another reason.
func (ca *call) reportCompletion() {
	if ca.sv.Quarantine.Suspected(ca.fingerprint) {
		ca.sv.OnCompletion(ca.fingerprint)
	}
}
