// Package quarantine knows requests again by their content, and decides which of them
// end the servers that run them and are sent to no more.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
)

// Fingerprint tells requests apart by their content: attempts of the same request have
// the same one, whatever their identifiers.
type Fingerprint [16]byte

// String returns the fingerprint in hexadecimal digits.
func (fp Fingerprint) String() string { return hex.EncodeToString(fp[:]) }

// Content is what the server that runs a request is given by its caller.
type Content struct {
	Method, Host, URI string
	// Caller is whom the request is from.
	Caller string
	Body   []byte
}

// Fingerprint returns the content's. A caller must not be able to make a request that is
// taken for another caller's, so it is a cryptographic digest over parts of known length.
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

// UnmarshalText implements encoding.TextUnmarshaler.
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

var errLength = errors.New("quarantine: a fingerprint has 32 hexadecimal digits")
