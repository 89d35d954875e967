package claims

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/claim"
	"corianderhub.dev/corianderhub/internal/platform"
	"corianderhub.dev/corianderhub/internal/standin"
)

// TestMain fixes the seed of rapid, so that every run of the tests has the same
// result.
func TestMain(m *testing.M) {
	flag.Parse()
	fixed := map[string]string{"rapid.seed": "20260301", "rapid.checks": "60", "rapid.nofailfile": "true", "rapid.shrinktime": "2s"}
	flag.Visit(func(fl *flag.Flag) { delete(fixed, fl.Name) })
	for name, value := range fixed {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// bubble runs fn in a synctest bubble. The final sleep lets the shards' workers end,
// because the fake clock stops once fn has returned.
func bubble(t *testing.T, fn func(t *testing.T)) {
	synctest.Test(t, func(t *testing.T) {
		fn(t)
		time.Sleep(2 * MinWriteInterval)
	})
}

// acquire returns the operation that claims key.
func acquire(key, holder, fingerprint string) claim.Op {
	ck := claim.NewKey("w", key)
	return claim.Op{Kind: claim.Acquire, Shard: ck.Shard, Hash: ck.Hash, Holder: holder, Fingerprint: fingerprint}
}

func newRegistry(st *standin.Store) *Registry {
	return &Registry{Store: st, Clock: clock.System{}, Owner: func(int) string { return "" }}
}

// dispatchCounter counts how often each key was dispatched.
type dispatchCounter struct {
	mu   sync.Mutex
	keys map[string]int
}

func (ru *dispatchCounter) add(key string) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.keys[key]++
}

// Guards against a key that is dispatched and run twice. Two daemons claim a few keys
// repeatedly while writes or their responses are lost, the platform is unavailable at
// times, and daemons crash at every point between claim, dispatch, response and
// record. The service refuses some requests as not run.
func TestHoldAtMostOnceUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 1<<20), 20, 80).Draw(rt, "steps")
		bubble(t, func(t *testing.T) {
			if err := randomClaims(steps); err != nil {
				t.Error(err)
			}
		})
	})
}

func randomClaims(steps []int) error {
	st := standin.NewStore(clock.System{})
	ru := &dispatchCounter{keys: make(map[string]int)}
	registries := []*Registry{newRegistry(st), newRegistry(st)}
	all := slices.Clone(registries)
	var wg sync.WaitGroup
	for i, step := range steps {
		switch step % 12 {
		case 0:
			st.SetFaults(standin.StoreFaults{DropResponses: 1 + step/12%3})
		case 1:
			st.SetFaults(standin.StoreFaults{Down: true})
		case 2:
			st.SetFaults(standin.StoreFaults{DropWrites: 1})
		case 3:
			st.SetFaults(standin.StoreFaults{})
		case 4:
			// The daemon is replaced and loses its cache.
			registries[step/12%2] = newRegistry(st)
			all = append(all, registries[step/12%2])
		default:
			bo := registries[step%2]
			wg.Go(func() { attempt(bo, ru, fmt.Sprint("key", step/12%3), fmt.Sprint("holder", i), step/36%5) })
		}
		time.Sleep(time.Duration(step%150) * time.Millisecond)
	}
	st.SetFaults(standin.StoreFaults{})
	wg.Wait()
	for _, bo := range all {
		bo.Wait(context.Background())
	}
	for key, num := range ru.keys {
		if num > 1 {
			return fmt.Errorf("%s ran %d times", key, num)
		}
	}
	return nil
}

// attempt runs one request with a key. crash selects the point where the daemon
// crashes.
func attempt(bo *Registry, ru *dispatchCounter, key, holder string, crash int) {
	const (
		beforeDispatch = 1
		refused        = 2
		beforeRecord   = 3
	)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	op := acquire(key, holder, "same")
	switch bo.Do(ctx, op).Code {
	case claim.Granted:
	case claim.Unavailable:
		bo.ReleaseInBackground(op)
		return
	default:
		return
	}
	if crash == beforeDispatch {
		return
	}
	if crash == refused {
		op.Kind = claim.Release
		bo.Do(ctx, op)
		return
	}
	ru.add(key)
	if crash == beforeRecord {
		return
	}
	op.Outcome = &claim.Outcome{Status: 200}
	bo.RecordInBackground(op)
}

// Guards against a key that is granted twice when many daemons write the same shard at
// once, without an owner.
func TestConcurrentAcquire(t *testing.T) {
	bubble(t, func(t *testing.T) {
		st := standin.NewStore(clock.System{})
		granted := &dispatchCounter{keys: make(map[string]int)}
		var wg sync.WaitGroup
		for i := range 8 {
			bo := newRegistry(st)
			for j := range 5 {
				wg.Go(func() {
					key := fmt.Sprint("key", j)
					if bo.Do(context.Background(), acquire(key, fmt.Sprint(i), "p")).Code == claim.Granted {
						granted.add(key)
					}
				})
			}
		}
		wg.Wait()
		for j := range 5 {
			if got := granted.keys[fmt.Sprint("key", j)]; got != 1 {
				t.Errorf("key%d was granted %d times, want 1", j, got)
			}
		}
	})
}

// Guards against a key that is claimed again after its slice was sealed, while another
// daemon still has the slice cached as the open one.
func TestSealedSlice(t *testing.T) {
	bubble(t, func(t *testing.T) {
		st := standin.NewStore(clock.System{})
		first, second := newRegistry(st), newRegistry(st)
		ctx := context.Background()
		op := acquire("early", "a", "p")
		if got := second.Do(ctx, op).Code; got != claim.Granted {
			t.Fatalf("first acquire = %v, want granted", got)
		}
		for i := range 3 {
			first.fill(op.Shard, i*1000)
		}
		again := op
		again.Holder = "b"
		for name, bo := range map[string]*Registry{"the filling daemon": first, "the other daemon": second, "a new daemon": newRegistry(st)} {
			if got := bo.Do(ctx, again).Code; got != claim.Duplicate {
				t.Errorf("%s: acquire = %v, want duplicate", name, got)
			}
		}
		op.Kind, op.Outcome = claim.Record, &claim.Outcome{Status: 201}
		if got := second.Do(ctx, op).Code; got != claim.Applied {
			t.Errorf("record in a sealed slice = %v, want applied", got)
		}
		if got := first.Do(ctx, again); got.Code != claim.Finished || got.Outcome.Status != 201 {
			t.Errorf("acquire = %+v, want the recorded outcome", got)
		}
		if got := len(stored(t, st, op.Shard)); got < 2 {
			t.Errorf("%d slices, want at least 2", got)
		}
	})
}

// fill claims keys of one shard until a slice is full. The keys are numbered from
// first.
func (bo *Registry) fill(shard, first int) {
	var wg sync.WaitGroup
	body := strings.Repeat("x", claim.MaxOutcomeBytes)
	for i := range claim.SliceBytes/len(body) + 10 {
		op := claim.Op{Kind: claim.Acquire, Shard: shard, Hash: fmt.Sprintf("%032d", first+i), Holder: "filler", Fingerprint: body}
		wg.Go(func() { bo.Do(context.Background(), op) })
	}
	wg.Wait()
}

// stored returns the stored slices of a shard.
func stored(t *testing.T, st *standin.Store, shard int) []claim.Slice {
	entries, err := st.List(context.Background(), claim.ShardPrefix(shard))
	if err != nil {
		t.Fatal(err)
	}
	var slices []claim.Slice
	for _, en := range entries {
		sl, err := claim.Decode(en.Value)
		if err != nil {
			t.Fatal(err)
		}
		slices = append(slices, sl)
	}
	return slices
}

// Guards against a slice that outgrows the platform's limit for one value, when a
// thousand requests with large responses finish at once.
func TestLargeBatch(t *testing.T) {
	bubble(t, func(t *testing.T) {
		st := standin.NewStore(clock.System{})
		bo := newRegistry(st)
		body := make([]byte, claim.MaxOutcomeBytes)
		var wg sync.WaitGroup
		for i := range 1000 {
			op := acquire("one", "h", "p")
			op.Hash = fmt.Sprintf("%032d", i)
			wg.Go(func() {
				if got := bo.Do(context.Background(), op).Code; got != claim.Granted {
					t.Errorf("acquire = %v, want granted", got)
				}
				op.Kind, op.Outcome = claim.Record, &claim.Outcome{Status: 200, Body: body}
				if got := bo.Do(context.Background(), op).Code; got != claim.Applied {
					t.Errorf("record = %v, want applied", got)
				}
			})
		}
		wg.Wait()
		for _, sl := range stored(t, st, acquire("one", "h", "p").Shard) {
			if raw, err := sl.Encode(); err != nil || len(raw) > platform.MaxValueBytes {
				t.Errorf("slice has %d bytes (error %v), want at most %d", len(raw), err, platform.MaxValueBytes)
			}
		}
	})
}

// Guards against one write per request: 400 requests in a second cost at most one
// write per MinWriteInterval.
func TestWriteRateBounded(t *testing.T) {
	bubble(t, func(t *testing.T) {
		st := standin.NewStore(clock.System{})
		bo := newRegistry(st)
		var wg sync.WaitGroup
		for i := range 400 {
			op := acquire("one", "h", "p")
			op.Hash = fmt.Sprintf("%032d", i)
			wg.Go(func() { bo.Do(context.Background(), op) })
			time.Sleep(2500 * time.Microsecond)
		}
		wg.Wait()
		limit := int(time.Second/MinWriteInterval) + 2
		if got := st.Calls()["put"]; got > limit {
			t.Errorf("400 requests cost %d writes, want at most %d", got, limit)
		}
	})
}

// Guards against failed claims when the owner of a shard does not answer: the daemon
// writes the slice itself.
func TestOwnerUnreachable(t *testing.T) {
	bubble(t, func(t *testing.T) {
		bo := newRegistry(standin.NewStore(clock.System{}))
		bo.Owner = func(int) string { return "suspended" }
		bo.Forward = func(context.Context, string, claim.Op) (claim.Result, error) {
			return claim.Result{}, errors.New("timeout")
		}
		if got := bo.Do(context.Background(), acquire("k", "h", "p")).Code; got != claim.Granted {
			t.Errorf("acquire = %v, want granted", got)
		}
	})
}

// Guards against a key that is granted twice after the newest slice of its shard has expired, since
// daemons that start then number slices anew while another goes on from the expired one.
func TestNewestSliceExpires(t *testing.T) {
	bubble(t, func(t *testing.T) {
		ctx := context.Background()
		st := standin.NewStore(clock.System{})
		shard := acquire("booking", "", "").Shard
		sealed := claim.Slice{Claims: map[string]claim.Claim{}}
		sealed.Seal(time.Now())
		raw, err := sealed.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := st.Put(ctx, claim.SliceKey(shard, 7), raw, 0, ""); err != nil {
			t.Fatal(err)
		}
		running := newRegistry(st)
		if err := running.shard(shard).load(ctx); err != nil {
			t.Fatal(err)
		}
		time.Sleep(claim.Retention + time.Hour)
		if err := newRegistry(st).shard(shard).load(ctx); err != nil {
			t.Fatal(err)
		}
		if got := newRegistry(st).Do(ctx, acquire("booking", "a", "p")).Code; got != claim.Granted {
			t.Fatalf("claim after the expiry = %v, want granted", got)
		}
		if got := running.Do(ctx, acquire("booking", "b", "p")).Code; got != claim.Duplicate {
			t.Errorf("claim at a daemon that runs since before = %v, want duplicate", got)
		}
	})
}
