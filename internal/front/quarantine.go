package front

import (
	"context"
	"errors"
	"io"
	"slices"
	"time"

	"corianderhub.dev/corianderhub/internal/core/quarantine"
	"corianderhub.dev/corianderhub/internal/http1"
	"corianderhub.dev/corianderhub/platform"
)

// reasonQuarantined is the reason of a refusal of a request that server processes have crashed on,
// or of one with such a part in its prompt.
const reasonQuarantined = "quarantined"

// Disconnect is a request whose endpoint closed the connection before the response was complete, or
// at the end of a response without length or chunks.
type Disconnect struct {
	Request quarantine.Request
	// Endpoint is the endpoint's ID, Address the address that the request was sent to.
	Endpoint, Address string
}

// identify sets the identification of the request, and adds its content's fingerprint to all its log
// lines. The request ID can't serve for this, because it differs between a caller's attempts.
func (ca *call) identify() {
	co := quarantine.Content{Method: ca.req.Method, Host: ca.req.Host, URI: ca.req.RequestURI, Caller: ca.caller(), Body: ca.body}
	ca.identity = quarantine.NewRequest(&co, ca.service, platform.SharedParts(ca.req.Header))
	ca.log = ca.log.With("content", ca.identity.Content)
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
// longer. Server processes have crashed on it, or on a part of its prompt: each attempt could crash
// another one, with all requests that it serves. From time to time the steward's daemon sends one
// request all the same, and the steward grants those that tell parts from each other.
func (ca *call) quarantined() (time.Duration, bool) {
	now := ca.sv.Clock.Now()
	subject, left, quarantined := ca.sv.Quarantine.Quarantined(ca.identity, now)
	if !quarantined {
		return 0, false
	}
	if ca.sends == 0 && (ca.probe || ca.claimProbe(now)) {
		ca.probe = true
		return 0, false
	}
	if i := slices.Index(ca.identity.Parts, subject); i >= 0 {
		ca.log = ca.log.With("part", platform.SharedParts(ca.req.Header)[i])
	}
	return left, true
}

// claimProbe reports whether the request may be sent in spite of the quarantine: as the probe that is
// due, or as a trial that tells its quarantined parts from others.
func (ca *call) claimProbe(now time.Time) bool {
	if ca.sv.MayProbe() && ca.sv.Quarantine.ClaimProbe(ca.identity, now) {
		ca.log.Info("front: quarantined request sent as a probe.", "parts", platform.SharedParts(ca.req.Header))
		return true
	}
	if !ca.sv.ClaimTrial(ca.req.Context(), ca.identity) {
		return false
	}
	ca.log.Info("front: quarantined request sent as a trial.", "parts", platform.SharedParts(ca.req.Header))
	return true
}

// reportDisconnect reports an attempt that failed because its endpoint closed the connection. It
// returns false if the request must not be sent again: the endpoint has crashed before the first
// event, and no request with one of the prompt's parts has completed lately.
//
// It waits until it is known whether the endpoint has crashed if endpoints have crashed on the
// request before, or may now have, so that the request is not sent to the next one in the meantime.
func (ca *call) reportDisconnect(ctx context.Context, endpoint, addr string, err error, begun bool) bool {
	if !http1.PeerClosed(err) && !errors.Is(err, errTruncatedEvent) {
		return true
	}
	crashed := ca.sv.OnDisconnect(Disconnect{ca.identity, endpoint, addr})
	unproven := !begun && ca.sv.Quarantine.Unproven(ca.identity)
	if !unproven && len(ca.sv.Quarantine.Suspected(ca.identity)) == 0 {
		return true
	}
	select {
	case yes := <-crashed:
		return !yes || !unproven
	case <-ctx.Done():
		return true
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
	case crashed := <-ca.sv.OnDisconnect(Disconnect{ca.identity, endpoint, addr}):
		if crashed {
			return io.ErrUnexpectedEOF
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// reportCompletion reports that an endpoint has completed the request that it was sent at a time, and
// keeps running. The earlier crashes on the request and on the parts of its prompt then had another
// reason.
func (ca *call) reportCompletion(sent time.Time) {
	for _, fp := range ca.sv.Quarantine.Complete(ca.identity) {
		ca.sv.OnCompletion(fp, ca.sv.Clock.Now().Sub(sent))
	}
}
