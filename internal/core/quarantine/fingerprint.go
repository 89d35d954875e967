// Package quarantine identifies requests by their content and by the parts of their prompts, and
// quarantines those requests and parts that crash the endpoints that run them. A quarantined
// request, or one with a quarantined part, is not sent to any endpoint.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
)

// Fingerprint identifies a subject: a request by its content, or a part of prompts. All attempts of
// a request have the same fingerprint, whatever their request identifiers.
type Fingerprint [16]byte

// String returns the fingerprint as 32 hexadecimal digits.
func (fp Fingerprint) String() string { return hex.EncodeToString(fp[:]) }

// Content is the part of a request that determines its fingerprint: what the caller sends to the
// endpoint that runs the request.
type Content struct {
	Method, Host, URI string
	// Caller identifies the sender of the request.
	Caller string
	Body   []byte
}

// Fingerprint returns the fingerprint of the content. It is a cryptographic digest of
// length-prefixed parts, so that a caller cannot construct a request with the same fingerprint as
// a request of another caller.
func (co *Content) Fingerprint() Fingerprint {
	sum := sha256.New()
	for _, part := range [][]byte{[]byte(co.Method), []byte(co.Host), []byte(co.URI), []byte(co.Caller), co.Body} {
		sum.Write(binary.AppendUvarint(nil, uint64(len(part))))
		sum.Write(part)
	}
	var fp Fingerprint
	copy(fp[:], sum.Sum(nil))
	return fp
}

// maxParts bounds the parts of a prompt that are considered.
const maxParts = 16

// partDomain separates the fingerprints of parts from those of requests.
const partDomain = "part"

// Request identifies a request and the parts of its prompt that other requests may share.
type Request struct {
	Content Fingerprint   `cbor:"1,keyasint" json:"content"`
	Parts   []Fingerprint `cbor:"2,keyasint,omitempty" json:"parts,omitempty"`
	// Proven has a bit for each part with which requests have completed lately at the daemon that
	// reports a crash, the lowest for the first.
	Proven uint16 `cbor:"3,keyasint,omitempty" json:"-"`
}

// NewRequest returns the identification of a request to a service whose prompt shares the parts with
// the given IDs. It leaves out parts beyond maxParts.
func NewRequest(co *Content, service string, partIDs []string) Request {
	re := Request{Content: co.Fingerprint()}
	for _, id := range partIDs[:min(len(partIDs), maxParts)] {
		part := Content{Method: partDomain, Host: service, URI: id}
		re.Parts = append(re.Parts, part.Fingerprint())
	}
	return re
}

// provenAt reports whether the daemon that reports a crash has proven a subject, by its index in
// Subjects.
func (re *Request) provenAt(i int) bool { return i > 0 && re.Proven>>(i-1)&1 == 1 }

// Subjects returns the fingerprints of the request and of its parts.
func (re *Request) Subjects() []Fingerprint {
	return append([]Fingerprint{re.Content}, re.Parts...)
}

// MarshalText implements encoding.TextMarshaler.
func (fp Fingerprint) MarshalText() ([]byte, error) { return []byte(fp.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It expects 32 hexadecimal digits.
func (fp *Fingerprint) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil {
		return err
	}
	if len(raw) != len(fp) {
		return errLength
	}
	copy(fp[:], raw)
	return nil
}

// errLength is returned for a text that is not 16 bytes in hexadecimal digits.
var errLength = errors.New("quarantine: invalid fingerprint length, want 32 hexadecimal digits")
