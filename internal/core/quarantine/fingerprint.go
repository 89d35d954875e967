// Package quarantine identifies requests by their content and quarantines those that crash the
// endpoints that run them. A quarantined request is not sent to any endpoint.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
)

// Fingerprint identifies a request by its content. All attempts of a request have the same
// fingerprint, whatever their request identifiers.
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
