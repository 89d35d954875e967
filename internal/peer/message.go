// Package peer carries messages between daemons over QUIC with mutual TLS. Each call
// uses one stream: a CBOR request followed by a CBOR response. A call that times out
// closes its connection, so that a connection whose state was lost on the way, for
// example in a firewall, is not used again.
package peer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"corianderhub.dev/corianderhub/internal/core/claim"
	"corianderhub.dev/corianderhub/internal/core/gossip"
)

// Request is a message to a daemon. Only the types of this package implement it; the
// comment of each names the type of its response.
type Request interface{ kind() kind }

// kind is the type of a request on the wire.
type kind uint8

const (
	kindPull kind = iota + 1
	kindDocs
	kindConfig
	kindObservations
	kindRevoke
	kindClaim
	kindQuarantine
	kindQuarantineReports
	kindTrial
)

// PullRequest requests the daemon's document hash, configuration revision and permit
// evidence. The response is control.PullResponse.
type PullRequest struct {
	// From is the peer address of the requesting daemon, Revision the revision of its
	// own document. Both are empty in requests for status pages.
	From     string `cbor:"1,keyasint,omitempty"`
	Revision uint64 `cbor:"2,keyasint,omitempty"`
}

// DocsRequest requests documents newer than those in Have, which maps document names
// to revisions. The response is DocsResponse.
type DocsRequest struct {
	Have map[string]uint64 `cbor:"1,keyasint"`
}

// DocsResponse is the response to DocsRequest.
type DocsResponse struct {
	Docs []gossip.Doc `cbor:"1,keyasint"`
}

// ConfigRequest requests the configuration after a revision. The response is
// control.ConfigResponse.
type ConfigRequest struct {
	After uint64 `cbor:"1,keyasint"`
}

// ObservationsRequest requests the observations that changed after change number
// Since. The response is control.ObservationsResponse.
type ObservationsRequest struct {
	Since uint64 `cbor:"1,keyasint"`
}

// RevokeRequest announces that a group is not complete. The response is EmptyResponse.
type RevokeRequest struct {
	Group string `cbor:"1,keyasint"`
	Fence uint64 `cbor:"2,keyasint"`
}

// ClaimRequest passes a claim operation to the daemon that batches the operations of
// its shard. The response is claim.Result.
type ClaimRequest struct {
	Op claim.Op `cbor:"1,keyasint"`
}

// EmptyResponse is an empty response.
type EmptyResponse struct{}

func (PullRequest) kind() kind         { return kindPull }
func (DocsRequest) kind() kind         { return kindDocs }
func (ConfigRequest) kind() kind       { return kindConfig }
func (ObservationsRequest) kind() kind { return kindObservations }
func (RevokeRequest) kind() kind       { return kindRevoke }
func (ClaimRequest) kind() kind        { return kindClaim }
func (QuarantineRequest) kind() kind   { return kindQuarantine }
func (QuarantineReports) kind() kind   { return kindQuarantineReports }
func (TrialRequest) kind() kind        { return kindTrial }

// frame is a request on the wire.
type frame struct {
	Kind kind            `cbor:"1,keyasint"`
	Body cbor.RawMessage `cbor:"2,keyasint"`
}

// reply is a response on the wire. Error is set if the call failed, and Body is empty
// then.
type reply struct {
	Error string          `cbor:"1,keyasint,omitempty"`
	Body  cbor.RawMessage `cbor:"2,keyasint,omitempty"`
}

func encode(req Request) ([]byte, error) {
	body, err := cbor.Marshal(req)
	if err != nil {
		return nil, eris.Wrap(err, "peer request")
	}
	raw, err := cbor.Marshal(frame{Kind: req.kind(), Body: body})
	return raw, eris.Wrap(err, "peer request")
}

// Decode decodes a request from its wire format. It returns an error for an unknown
// kind.
func Decode(raw []byte) (Request, error) {
	var fr frame
	if err := cbor.Unmarshal(raw, &fr); err != nil {
		return nil, eris.Wrap(err, "peer request")
	}
	switch fr.Kind {
	case kindPull:
		return decodeAs[PullRequest](fr.Body)
	case kindDocs:
		return decodeAs[DocsRequest](fr.Body)
	case kindConfig:
		return decodeAs[ConfigRequest](fr.Body)
	case kindObservations:
		return decodeAs[ObservationsRequest](fr.Body)
	case kindRevoke:
		return decodeAs[RevokeRequest](fr.Body)
	case kindClaim:
		return decodeAs[ClaimRequest](fr.Body)
	case kindQuarantine:
		return decodeAs[QuarantineRequest](fr.Body)
	case kindQuarantineReports:
		return decodeAs[QuarantineReports](fr.Body)
	case kindTrial:
		return decodeAs[TrialRequest](fr.Body)
	}
	return nil, eris.Errorf("peer request of unknown kind %d", fr.Kind)
}

func decodeAs[T Request](body cbor.RawMessage) (Request, error) {
	var req T
	err := cbor.Unmarshal(body, &req)
	return req, eris.Wrap(err, "peer request")
}
