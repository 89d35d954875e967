package claims

import (
	"context"
	"errors"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/claim"
)

// Guards against a key that is granted twice because the only daemon that was to remember its claim
// could not be reached, and the one that granted it has ended when the store is restored.
func TestUnreachableBackup(t *testing.T) {
	for name, unreachable := range map[string]Forward{
		"refuses": func(context.Context, string, claim.Op) (claim.Result, error) {
			return claim.Result{}, errors.New("refused")
		},
		"silent": func(ctx context.Context, _ string, _ claim.Op) (claim.Result, error) {
			<-ctx.Done()
			return claim.Result{}, ctx.Err()
		},
	} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, func(t *testing.T, cs *cluster) {
				cs.restart("c")
				ctx := context.Background()
				if got := cs.node("c").Do(ctx, acquire("warm-up", "x", "p")).Code; got != claim.Granted {
					t.Fatalf("claim before the copy = %v, want granted", got)
				}
				cs.st.Copy()
				cs.cutFrom("a", "b", unreachable)
				if got := cs.node("a").Do(ctx, acquire("booking", "x", "p")).Code; got != claim.Granted {
					t.Fatalf("first claim = %v, want granted", got)
				}
				cs.restart("a")
				cs.st.Restore()
				time.Sleep(claim.HoldTime + 5*time.Second)
				if got := cs.node("b").Do(ctx, acquire("booking", "y", "p")).Code; got == claim.Granted {
					t.Error("the key is granted a second time after the restore")
				}
			})
		})
	}
}

// Guards against a released key that stays refused because only one of two backups learns of the
// release, and the other writes the claim again after a restore.
func TestReleaseReachesAllBackups(t *testing.T) {
	inCluster(t, func(t *testing.T, cs *cluster) {
		cs.restart("c")
		ctx := context.Background()
		op := acquire("booking", "x", "p")
		cs.cutFrom("a", "b", func(context.Context, string, claim.Op) (claim.Result, error) {
			return claim.Result{}, errors.New("refused")
		})
		if got := cs.node("a").Do(ctx, op).Code; got != claim.Granted {
			t.Fatalf("claim = %v, want granted", got)
		}
		cs.st.Copy()
		cs.reconnect("a")
		op.Kind = claim.Release
		if got := cs.node("a").Do(ctx, op).Code; got != claim.Applied {
			t.Fatalf("release = %v, want applied", got)
		}
		cs.restart("a")
		cs.st.Restore()
		time.Sleep(claim.HoldTime + 5*time.Second)
		if got := cs.node("b").Do(ctx, acquire("booking", "y", "p")).Code; got != claim.Granted {
			t.Errorf("claim after the release and the restore = %v, want granted", got)
		}
	})
}

// Guards against unreplicated claims that the metric does not count.
func TestUnreplicatedClaimIsCounted(t *testing.T) {
	refuse := func(context.Context, string, claim.Op) (claim.Result, error) {
		return claim.Result{}, errors.New("refused")
	}
	tests := []struct {
		name    string
		backups []string
		want    uint64
	}{
		{"one answers", []string{"b", "c"}, 0},
		{"the only one refuses", []string{"b"}, 1},
		{"there is none", nil, 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			inCluster(t, func(t *testing.T, cs *cluster) {
				cs.restart("c")
				cs.cutFrom("a", "b", refuse)
				cs.node("a").Backups = func(int) []string { return tc.backups }
				before := unreplicated.Get()
				if got := cs.node("a").Do(context.Background(), acquire("booking", "x", "p")).Code; got != claim.Granted {
					t.Fatalf("claim = %v, want granted", got)
				}
				if got := unreplicated.Get() - before; got != tc.want {
					t.Errorf("counted %d claims, want %d", got, tc.want)
				}
			})
		})
	}
}

// cutFrom makes calls from one daemon to another end as unreachable says.
func (cs *cluster) cutFrom(from, to string, unreachable Forward) {
	bo := cs.node(from)
	bo.Forward = func(ctx context.Context, peer string, op claim.Op) (claim.Result, error) {
		if peer == to {
			return unreachable(ctx, peer, op)
		}
		return cs.forward(ctx, peer, op)
	}
}

func (cs *cluster) reconnect(name string) { cs.node(name).Forward = cs.forward }

// forward runs an operation on another daemon.
func (cs *cluster) forward(ctx context.Context, peer string, op claim.Op) (claim.Result, error) {
	if to := cs.node(peer); to != nil {
		return to.DoLocal(ctx, op), nil
	}
	return claim.Result{}, errors.New("unreachable")
}
