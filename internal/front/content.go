package front

import (
	"errors"

	"corianderhub.dev/corianderhub/internal/core/quarantine"
	"corianderhub.dev/corianderhub/internal/http1"
	"corianderhub.dev/corianderhub/platform"
)

// BrokenOff is a request whose endpoint closed the connection before the answer's end.
type BrokenOff struct {
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

// brokenOff tells of an attempt that failed because its endpoint closed the connection.
func (ca *call) brokenOff(endpoint, addr string, err error) {
	if ca.sv.OnBrokenOff != nil && (http1.PeerClosed(err) || errors.Is(err, errCutOff)) {
		ca.sv.OnBrokenOff(BrokenOff{ca.content, endpoint, addr})
	}
}
