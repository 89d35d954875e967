package platform_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"

	"corianderhub.dev/corianderhub/internal/platform"
	"corianderhub.dev/corianderhub/internal/standin"
)

// newClients returns a store and two clients of it.
func newClients(t *testing.T) (st *standin.Store, first, second *platform.Client) {
	pl := standin.NewPlatform(nil, 0)
	se := httptest.NewServer(pl.Handler())
	t.Cleanup(se.Close)
	addr := strings.TrimPrefix(se.URL, "http://")
	return pl.Store, &platform.Client{Address: addr}, &platform.Client{Address: addr}
}

// Guards against a compare-and-swap that counts as done although it compared with a revision of
// before a restore, whose number another daemon's write has got since.
func TestCompareAndSwapOverRestore(t *testing.T) {
	tests := []struct {
		name string
		// seen is set if the first daemon has received a response of the new era before it writes.
		seen bool
		want error
	}{
		{"restore seen", true, platform.ErrConflict},
		{"restore not seen", false, platform.ErrUnknown},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			ctx := context.Background()
			st, first, second := newClients(t)
			st.Copy()
			rev, err := first.Put(ctx, "key", []byte("lost"), 0, "")
			if err != nil {
				t.Fatal(err)
			}
			st.Restore()
			again, err := second.Put(ctx, "key", []byte("other"), 0, "")
			if err != nil {
				t.Fatal(err)
			}
			if again <= rev || platform.NumberOf(again) != platform.NumberOf(rev) {
				t.Errorf("revision %d after %d, want a higher one with the same number", again, rev)
			}
			if tc.seen {
				if _, err := first.Get(ctx, "another"); err != nil {
					t.Fatal(err)
				}
			}
			if _, err := first.Put(ctx, "key", []byte("mine"), rev, ""); !errors.Is(err, tc.want) {
				t.Errorf("put at a revision of the earlier era = %v, want %v", err, tc.want)
			}
		})
	}
}

// Guards against a restore that OnRestore does not report although responses name the new era.
func TestRestoreIsReported(t *testing.T) {
	ctx := context.Background()
	st, cl, _ := newClients(t)
	var eras []uint64
	cl.OnRestore = func(before, era uint64) { eras = append(eras, before, era) }
	st.Copy()
	for range 3 {
		if _, err := cl.Get(ctx, "key"); err != nil {
			t.Fatal(err)
		}
		st.Restore()
	}
	if len(eras) != 4 || eras[0] != 0 || eras[3] != 2 {
		t.Errorf("reported eras = %v, want 0 1 1 2", eras)
	}
}
