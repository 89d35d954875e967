package claims

import (
	"context"
	"testing"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/claim"
	"corianderhub.dev/corianderhub/internal/standin"
)

// Guards against a key that is granted twice, so that its request runs twice: the store was restored
// from a copy without the first grant, and the daemon that granted it restarted.
func TestKeyGrantedOnceOverRestore(t *testing.T) {
	bubble(t, func(t *testing.T) {
		st := standin.NewStore(clock.System{})
		first := newRegistry(st)
		ctx := context.Background()
		if got := first.Do(ctx, acquire("warm-up", "a", "p")).Code; got != claim.Granted {
			t.Fatalf("claim before the copy = %v, want granted", got)
		}
		st.Copy()
		if got := first.Do(ctx, acquire("booking", "a", "p")).Code; got != claim.Granted {
			t.Fatalf("first claim = %v, want granted", got)
		}
		st.Restore()
		if got := newRegistry(st).Do(ctx, acquire("booking", "b", "p")).Code; got == claim.Granted {
			t.Error("the key is granted a second time after the restore")
		}
	})
}
