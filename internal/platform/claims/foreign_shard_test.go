package claims

import (
	"testing"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/claim"
	"corianderhub.dev/corianderhub/internal/standin"
)

// Guards against a daemon that ends because another one, perhaps of another release, names a shard that
// this one does not have.
func TestForeignShardIsUnavailable(t *testing.T) {
	bo := newRegistry(standin.NewStore(clock.System{}))
	for _, shard := range []int{-1, claim.Shards, 1 << 40} {
		op := acquire("key", "holder", "print")
		op.Shard = shard
		if got := bo.DoLocal(t.Context(), op).Code; got != claim.Unavailable {
			t.Errorf("shard %d: got %v, want unavailable", shard, got)
		}
	}
}
