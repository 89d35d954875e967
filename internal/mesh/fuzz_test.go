package mesh

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// For any datagram, decoding must not panic, and what it accepts must be sent on unchanged.
func FuzzDecodeHeartbeat(f *testing.F) {
	raw, err := encode(Heartbeat{})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte{0xa1, 0x01, 0x9f, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		be, err := decode(raw)
		if err != nil {
			return
		}
		again, err := encode(be)
		if err != nil {
			t.Fatal(err)
		}
		got, err := decode(again)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(be, got, cmpopts.EquateEmpty(), cmpopts.EquateNaNs()); diff != "" {
			t.Errorf("changed when sent on (-received +sent):\n%s", diff)
		}
	})
}
