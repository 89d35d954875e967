package peer

import (
	"testing"
)

// For any message of a peer, decoding must not panic, and what it accepts must be encodable with the
// same kind.
func FuzzDecode(f *testing.F) {
	for _, req := range []Request{PullRequest{}, DocsRequest{}, ConfigRequest{}, ObservationsRequest{}, RevokeRequest{}, ClaimRequest{},
		QuarantineRequest{}, QuarantineReports{}, TrialRequest{}} {
		raw, err := encode(req)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Add([]byte{0xa1, 0x01, 0x63})
	f.Fuzz(func(t *testing.T, raw []byte) {
		req, err := Decode(raw)
		if err != nil {
			return
		}
		again, err := encode(req)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := Decode(again); err != nil || got.kind() != req.kind() {
			t.Errorf("decoded again as %T with error %v, want %T", got, err, req)
		}
	})
}
