// Package peer carries the messages between daemons over QUIC with mutual
// TLS. Each call is one stream: a CBOR request, then a CBOR answer. A call
// that gets no answer in time closes its connection, so that a connection
// which something in between has forgotten is not used twice.
package peer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"corianderhub.dev/corianderhub/internal/core/claim"
	"corianderhub.dev/corianderhub/internal/core/gossip"
)

// Request is a message to a daemon. The set is closed; the answer's type
// stands with each.
type Request interface{ kind() kind }

type kind uint8

const (
	kindPull kind = iota + 1
	kindDocs
	kindConfig
	kindSightings
	kindRevoke
	kindClaim
)

// PullRequest asks for the digest: control.PullAnswer.
type PullRequest struct {
	// From is the peer address of the daemon that asks, Revision that of its
	// own document; both are empty in a question for status pages.
	From     string `cbor:"1,keyasint,omitempty"`
	Revision uint64 `cbor:"2,keyasint,omitempty"`
}

// DocsRequest asks for newer documents: DocsAnswer.
type DocsRequest struct {
	Have map[string]uint64 `cbor:"1,keyasint"`
}

// DocsAnswer brings documents.
type DocsAnswer struct {
	Docs []gossip.Doc `cbor:"1,keyasint"`
}

// ConfigRequest asks for the configuration: control.ConfigAnswer.
type ConfigRequest struct {
	After uint64 `cbor:"1,keyasint"`
}

// SightingsRequest asks for changed sightings: control.SightingsAnswer.
type ObservationsRequest struct {
	Since uint64 `cbor:"1,keyasint"`
}

// RevokeRequest says that a group is not whole: Done.
type RevokeRequest struct {
	Group string `cbor:"1,keyasint"`
	Fence uint64 `cbor:"2,keyasint"`
}

// ClaimRequest passes a claim operation to the daemon that batches its page:
// claim.Result.
type ClaimRequest struct {
	Op claim.Op `cbor:"1,keyasint"`
}

// Done is an empty answer.
type EmptyAnswer struct{}

func (PullRequest) kind() kind         { return kindPull }
func (DocsRequest) kind() kind         { return kindDocs }
func (ConfigRequest) kind() kind       { return kindConfig }
func (ObservationsRequest) kind() kind { return kindSightings }
func (RevokeRequest) kind() kind       { return kindRevoke }
func (ClaimRequest) kind() kind        { return kindClaim }

// frame is a request on the wire.
type frame struct {
	Kind kind            `cbor:"1,keyasint"`
	Body cbor.RawMessage `cbor:"2,keyasint"`
}

// reply is an answer on the wire.
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

// Decode reads a request from its bytes.
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
	case kindSightings:
		return decodeAs[ObservationsRequest](fr.Body)
	case kindRevoke:
		return decodeAs[RevokeRequest](fr.Body)
	case kindClaim:
		return decodeAs[ClaimRequest](fr.Body)
	}
	return nil, eris.Errorf("peer request of unknown kind %d", fr.Kind)
}

func decodeAs[T Request](body cbor.RawMessage) (Request, error) {
	var req T
	err := cbor.Unmarshal(body, &req)
	return req, eris.Wrap(err, "peer request")
}
