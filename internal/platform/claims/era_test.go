package claims

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/claim"
	"corianderhub.dev/corianderhub/internal/platform"
	"corianderhub.dev/corianderhub/internal/standin"
)

// cluster is two daemons, or three, of which the first merges all shards. A daemon that is down
// answers no other one.
type cluster struct {
	st      *standin.Store
	mu      sync.Mutex
	nodes   map[string]*Registry
	stop    map[string]context.CancelFunc
	running sync.WaitGroup
}

func newCluster(st *standin.Store) *cluster {
	cs := &cluster{st: st, nodes: make(map[string]*Registry), stop: make(map[string]context.CancelFunc)}
	cs.restart("a")
	cs.restart("b")
	return cs
}

// inCluster runs fn in a synctest bubble, with a cluster whose daemons have seen the store's era.
func inCluster(t *testing.T, fn func(t *testing.T, cs *cluster)) {
	bubble(t, func(t *testing.T) {
		cs := newCluster(standin.NewStore(clock.System{}))
		defer cs.close()
		time.Sleep(5 * eraCheckInterval / 2)
		fn(t, cs)
	})
}

// restart replaces a daemon by one that remembers nothing.
func (cs *cluster) restart(name string) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if stop := cs.stop[name]; stop != nil {
		stop()
	}
	bo := newRegistry(cs.st)
	others := map[string][]string{"a": {"b", "c"}, "b": {"a"}, "c": {"a"}}[name]
	if name != "a" {
		bo.Owner = func(int) string { return "a" }
	}
	bo.Backups = func(int) []string { return others }
	bo.Forward = cs.forward
	ctx, cancel := context.WithCancel(context.Background())
	cs.running.Go(func() { bo.Run(ctx) })
	cs.nodes[name], cs.stop[name] = bo, cancel
}

func (cs *cluster) node(name string) *Registry {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.nodes[name]
}

// close stops the daemons once their background operations have ended.
func (cs *cluster) close() {
	for name, stop := range cs.stop {
		stop()
		cs.nodes[name].Wait(context.Background())
	}
	cs.running.Wait()
}

// Guards against a key that is granted twice because the store was restored in between, in the
// orders of restore, restart and repeat that leave one daemon which remembers the first grant.
func TestKeyOverRestore(t *testing.T) {
	tests := []struct {
		name string
		// first receives the request before the restore, and again its repeat after change.
		first, again string
		change       func(cs *cluster)
	}{
		{"same daemon, at once", "a", "a", func(*cluster) {}},
		{"another daemon, at once", "a", "b", func(*cluster) {}},
		{"same daemon, after the hold", "a", "a", func(*cluster) { time.Sleep(claim.HoldTime + 5*time.Second) }},
		{"another daemon, after the hold", "b", "a", func(*cluster) { time.Sleep(claim.HoldTime + 5*time.Second) }},
		{"the merging daemon has restarted", "a", "a", func(cs *cluster) {
			cs.restart("a")
			time.Sleep(claim.HoldTime + 5*time.Second)
		}},
		{"the asking daemon has restarted", "b", "b", func(cs *cluster) {
			cs.restart("b")
			time.Sleep(claim.HoldTime + 5*time.Second)
		}},
		{"both daemons have restarted, at once", "a", "b", func(cs *cluster) {
			cs.restart("a")
			cs.restart("b")
		}},
		{"restored again within three seconds", "a", "a", func(cs *cluster) {
			time.Sleep(2 * time.Second)
			cs.st.Restore()
			time.Sleep(claim.HoldTime + 5*time.Second)
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			inCluster(t, func(t *testing.T, cs *cluster) {
				ctx := context.Background()
				if got := cs.node("b").Do(ctx, acquire("warm-up", "x", "p")).Code; got != claim.Granted {
					t.Fatalf("claim before the copy = %v, want granted", got)
				}
				cs.st.Copy()
				if got := cs.node(tc.first).Do(ctx, acquire("booking", "x", "p")).Code; got != claim.Granted {
					t.Fatalf("first claim = %v, want granted", got)
				}
				cs.st.Restore()
				tc.change(cs)
				if got := cs.node(tc.again).Do(ctx, acquire("booking", "y", "p")).Code; got == claim.Granted {
					t.Error("the key is granted a second time after the restore")
				}
				if got := cs.node("a").Do(ctx, acquire("booking", "z", "p")).Code; got == claim.Granted {
					t.Error("the key is granted a second time by the merging daemon")
				}
			})
		})
	}
}

// Guards against a claim made after a restore that another daemon overwrites, since it still holds
// the slice as of before with the number that the store has given out again.
func TestSliceOfEarlierEra(t *testing.T) {
	bubble(t, func(t *testing.T) {
		ctx := context.Background()
		st := standin.NewStore(clock.System{})
		first, second := newRegistry(st), newRegistry(st)
		st.Copy()
		if got := first.Do(ctx, acquire("lost", "x", "p")).Code; got != claim.Granted {
			t.Fatalf("claim = %v, want granted", got)
		}
		st.Restore()
		second.Do(ctx, acquire("booking", "x", "p"))
		time.Sleep(claim.HoldTime + 5*time.Second)
		if got := second.Do(ctx, acquire("booking", "x", "p")).Code; got != claim.Granted {
			t.Fatalf("claim after the hold = %v, want granted", got)
		}
		first.Do(ctx, acquire("other", "x", "p"))
		for name, bo := range map[string]*Registry{"first": first, "second": second, "new": newRegistry(st)} {
			if got := bo.Do(ctx, acquire("booking", "y", "p")).Code; got != claim.Duplicate {
				t.Errorf("%s daemon: claim = %v, want duplicate", name, got)
			}
		}
	})
}

// remoteStore is a store whose era is known from its responses alone, as over the network. Its
// compare-and-swap compares numbers only.
type remoteStore struct {
	*standin.Store
	seen uint64
}

func (st *remoteStore) Era() uint64 { return st.seen }

func (st *remoteStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	en, err := st.Store.Get(ctx, key)
	st.seen = st.Store.Era()
	return en, err
}

func (st *remoteStore) List(ctx context.Context, prefix string) ([]platform.Entry, error) {
	entries, err := st.Store.List(ctx, prefix)
	st.seen = st.Store.Era()
	return entries, err
}

func (st *remoteStore) Put(ctx context.Context, key string, value []byte, ifRev uint64, lease string) (uint64, error) {
	if platform.EraOf(ifRev) != st.seen && ifRev > 0 {
		return 0, platform.ErrConflict
	}
	rev, err := st.Store.Put(ctx, key, value, platform.NewRevision(st.Store.Era(), platform.NumberOf(ifRev)), lease)
	st.seen = st.Store.Era()
	if ifRev > 0 && platform.EraOf(ifRev) != st.seen {
		return 0, platform.ErrUnknown
	}
	return rev, err
}

// Guards against a key that is granted in a slice of an earlier era because the daemon sees the restore
// only in the response to its write, while others use the slices of the new era.
func TestRestoreNotSeenBeforeWrite(t *testing.T) {
	for name, warmUp := range map[string]bool{"slice cached": true, "no slice yet": false} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				ctx := context.Background()
				st := standin.NewStore(clock.System{})
				late, other := newRegistry(st), newRegistry(st)
				late.Store = &remoteStore{Store: st}
				if warmUp {
					late.Do(ctx, acquire("warm-up", "x", "p"))
				} else if err := late.shard(acquire("booking", "x", "p").Shard).load(ctx); err != nil {
					t.Fatal(err)
				}
				st.Copy()
				st.Restore()
				other.Do(ctx, acquire("booking", "x", "p"))
				time.Sleep(claim.HoldTime + time.Second)
				if got := other.Do(ctx, acquire("booking", "x", "p")).Code; got != claim.Granted {
					t.Fatalf("claim after the hold = %v, want granted", got)
				}
				if got := late.Do(ctx, acquire("booking", "y", "p")).Code; got == claim.Granted {
					t.Error("the key is granted a second time, by a daemon that had not seen the restore")
				}
			})
		})
	}
}

// Guards against a hold that begins when a shard is first used, long after the restore.
func TestHoldRunsFromRestore(t *testing.T) {
	inCluster(t, func(t *testing.T, cs *cluster) {
		cs.st.Copy()
		cs.st.Restore()
		time.Sleep(claim.HoldTime + 5*time.Second)
		for _, name := range []string{"a", "b"} {
			cs.restart(name)
			if got := cs.node(name).Do(context.Background(), acquire("late "+name, "x", "p")).Code; got != claim.Granted {
				t.Errorf("daemon %s: claim = %v, want granted", name, got)
			}
		}
	})
}

// Guards against requests that are refused long after the first daemon of an installation has started,
// at a store that names a later era than 0 from the beginning.
func TestHoldRunsFromFirstStart(t *testing.T) {
	bubble(t, func(t *testing.T) {
		st := standin.NewStore(clock.System{})
		st.Copy()
		st.Restore()
		cs := newCluster(st)
		defer cs.close()
		time.Sleep(claim.HoldTime + 5*time.Second)
		if got := cs.node("a").Do(context.Background(), acquire("first", "x", "p")).Code; got != claim.Granted {
			t.Errorf("claim = %v, want granted", got)
		}
	})
}

// Guards against keyed requests that are refused for longer than the hold, or again for each shard
// that is first used after it, or by a daemon that starts after it.
func TestHoldEnds(t *testing.T) {
	inCluster(t, func(t *testing.T, cs *cluster) {
		ctx := context.Background()
		cs.st.Copy()
		cs.st.Restore()
		time.Sleep(5 * eraCheckInterval / 2)
		res := cs.node("a").Do(ctx, acquire("early", "x", "p"))
		if res.Code != claim.Unproven || res.RetryAfter <= 0 || res.RetryAfter > claim.HoldTime {
			t.Errorf("claim within the hold = %+v, want unproven and a time up to %v", res, claim.HoldTime)
		}
		time.Sleep(res.RetryAfter)
		cs.restart("a")
		for i := range 100 {
			if got := cs.node("a").Do(ctx, acquire(fmt.Sprint("late", i), "x", "p")).Code; got != claim.Granted {
				t.Fatalf("claim after the hold = %v, want granted", got)
			}
		}
	})
}

// Guards against a key that is dispatched twice under restores, in series and overlapping with
// repeats, releases and the restart of one daemon at a time.
func TestHoldAtMostOnceOverRestores(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 1<<20), 20, 60).Draw(rt, "steps")
		bubble(t, func(t *testing.T) {
			if err := claimsOverRestores(steps); err != nil {
				t.Error(err)
			}
		})
	})
}

// copyInterval is the time between two copies of the store, and thus the highest age of one.
const copyInterval = 4 * time.Second

// claimsOverRestores runs the steps. After a restart it waits until the claims are in a copy, since a
// claim that both daemons have forgotten is not guarded after the hold.
func claimsOverRestores(steps []int) error {
	cs := newCluster(standin.NewStore(clock.System{}))
	cs.restart("c")
	cs.st.Copy()
	ru := &dispatchCounter{keys: make(map[string]int)}
	ctx, cancel := context.WithCancel(context.Background())
	var wg, copies sync.WaitGroup
	copies.Go(func() {
		for ctx.Err() == nil {
			cs.st.Copy()
			time.Sleep(copyInterval)
		}
	})
	for i, step := range steps {
		name := []string{"a", "b", "c"}[step%3]
		switch step % 12 {
		case 0, 1, 2:
			cs.st.Restore()
		case 3:
			wg.Wait()
			cs.restart(name)
			time.Sleep(10 * time.Second)
		case 4:
			time.Sleep(claim.HoldTime)
		default:
			wg.Go(func() { attempt(cs.node(name), ru, fmt.Sprint("key", step/12%3), fmt.Sprint("holder", i), step/36%5) })
		}
		time.Sleep(time.Duration(step%1500) * time.Millisecond)
	}
	wg.Wait()
	cancel()
	copies.Wait()
	cs.close()
	for key, num := range ru.keys {
		if num > 1 {
			return fmt.Errorf("%s ran %d times", key, num)
		}
	}
	return nil
}
