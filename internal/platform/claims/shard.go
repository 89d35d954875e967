package claims

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/claim"
	"corianderhub.dev/corianderhub/internal/platform"
)

const (
	// maxTries limits the compare-and-swaps of one batch.
	maxTries = 8
	// batchTimeout limits the duration of one batch.
	batchTimeout = 4 * time.Second
)

var (
	// writes counts writes of slices to the key-value service, ops operations on
	// claims.
	writes = metrics.NewCounter("corianderhub_claim_writes_total")
	ops    = metrics.NewCounter("corianderhub_claim_operations_total")
)

// pendingOp is an operation and the channel for its result.
type pendingOp struct {
	op   claim.Op
	done chan claim.Result
}

// shard merges the operations on one shard. While operations are waiting, a single
// goroutine processes them.
type shard struct {
	num   int
	store platform.Store
	clock clock.Clock

	mu      sync.Mutex
	waiting []*pendingOp
	busy    bool

	// The fields below are used only by the working goroutine. loaded is set while they
	// reflect the stored slices.
	loaded bool
	// checkedBefore is the number of the first slice in which the operations of the
	// batch have not been looked up.
	checkedBefore int
	// openNum, openSlice and openRev are the number, the content and the revision of
	// the open slice, the one that accepts claims. openRev is 0 until the slice is
	// stored.
	openNum   int
	openSlice claim.Slice
	openRev   uint64
	// index maps the hash of each key in a slice other than the open one to the number of that
	// slice.
	index map[string]int
	// era is the era of the key-value service that the cached slices were read in, and
	// heldUntil the end of claim.HoldTime in it. holdEnd returns the latter.
	era       uint64
	heldUntil time.Time
	holdEnd   func(ctx context.Context, era uint64) (time.Time, error)
	// wroteAt is the time of the last write.
	wroteAt time.Time
}

// add queues an operation and starts the working goroutine if none is running.
func (sh *shard) add(wa *pendingOp) {
	ops.Inc()
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.waiting = append(sh.waiting, wa)
	if !sh.busy {
		sh.busy = true
		go sh.work()
	}
}

// work processes batches, at most one per MinWriteInterval, until no operation is
// waiting.
func (sh *shard) work() {
	for {
		if pause := MinWriteInterval - sh.clock.Now().Sub(sh.wroteAt); pause > 0 {
			sh.clock.Sleep(context.Background(), pause)
		}
		sh.mu.Lock()
		num := min(len(sh.waiting), claim.MaxBatch)
		batch := sh.waiting[:num:num]
		sh.waiting = sh.waiting[num:]
		sh.busy = num > 0
		sh.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
		sh.process(ctx, batch)
		cancel()
	}
}

// process completes every operation of the batch. An operation that is not stored, or
// not known to be, gets the result claim.Unavailable.
func (sh *shard) process(ctx context.Context, batch []*pendingOp) {
	err := errSealed
	for try := 0; (errors.Is(err, errSealed) || errors.Is(err, errRestored)) && try < maxTries; try++ {
		batch, err = sh.processSealed(ctx, batch)
		if err == nil {
			err = sh.processOpen(ctx, batch)
		}
	}
	if err != nil {
		// The cache may lag behind the stored slices, so the next batch reloads them.
		sh.loaded = false
		for _, wa := range batch {
			wa.complete(claim.Result{Code: claim.Unavailable})
		}
	}
}

// errSealed means that another writer has sealed a slice that holds a key of the
// batch. The batch must be looked up in the sealed slices again.
var errSealed = errors.New("claims: slice was sealed by another daemon")

// complete delivers the result. Only the first result counts.
func (wa *pendingOp) complete(res claim.Result) {
	select {
	case wa.done <- res:
	default:
	}
}

// load reads the slices of the shard unless they are cached.
func (sh *shard) load(ctx context.Context) error {
	if sh.loaded && sh.store.Era() == sh.era {
		return nil
	}
	entries, era, err := sh.list(ctx)
	if err != nil {
		return err
	}
	slices, err := decodeSlices(entries)
	if err != nil {
		return err
	}
	heldUntil, err := sh.holdEnd(ctx, era)
	if err != nil {
		return err
	}
	clear(sh.index)
	sh.era, sh.heldUntil = era, heldUntil
	sh.openNum, sh.openSlice, sh.openRev = claim.FirstSlice(era), claim.Slice{}, 0
	for i, st := range slices {
		newest := i == len(slices)-1
		if !newest && !st.slice.Sealed && claim.SliceEra(st.num) == era {
			return eris.Errorf("claims %s: stale read: unsealed slice is not the newest one", st.key)
		}
		if !newest && st.slice.Expired(sh.clock.Now()) {
			// The newest slice stays, since the next one is numbered after it. If this fails, a
			// later load deletes the slice.
			_ = sh.store.Delete(ctx, st.key, st.revision)
		}
		sh.installSlice(st.num, st.slice, st.revision)
	}
	sh.loaded = true
	return nil
}

// installSlice caches a slice as the open one. If the slice is sealed, or of an earlier era, its
// keys go into the index, and the next slice becomes the open one.
func (sh *shard) installSlice(num int, sl claim.Slice, rev uint64) {
	current := claim.SliceEra(num) == sh.era
	if current && !sl.Sealed {
		sh.openNum, sh.openSlice, sh.openRev = num, sl, rev
		return
	}
	for hash := range sl.Claims {
		sh.index[hash] = num
	}
	if current {
		sh.openNum, sh.openSlice, sh.openRev = num+1, claim.Slice{}, 0
	}
}

// refresh reads the open slice again, and the following slices if it was sealed.
func (sh *shard) refresh(ctx context.Context) error {
	for {
		num := sh.openNum
		en, err := sh.store.Get(ctx, claim.SliceKey(sh.num, num))
		if err != nil {
			return err
		}
		if sh.store.Era() != sh.era {
			return errRestored
		}
		sl := claim.Slice{}
		if en.Revision > 0 {
			if sl, err = claim.Decode(en.Value); err != nil {
				return eris.Wrap(err, "claims "+en.Key)
			}
		}
		sh.installSlice(num, sl, en.Revision)
		if sh.openNum == num {
			return nil
		}
	}
}

// processOpen executes a batch on the open slice with one write. After a conflict or a
// lost response it reads the slice and applies the batch again. Operations that are
// already stored are recognized by their holder and change nothing.
func (sh *shard) processOpen(ctx context.Context, batch []*pendingOp) error {
	if len(batch) == 0 {
		return nil
	}
	batchOps := operations(batch)
	for try := range maxTries {
		if try > 0 {
			if err := sh.refresh(ctx); err != nil {
				return err
			}
		}
		results, err := sh.applyOpen(ctx, batchOps, try > 0)
		if err == nil {
			for i, wa := range batch {
				wa.complete(results[i])
			}
			return nil
		}
		if errors.Is(err, platform.ErrUnavailable) || errors.Is(err, errSealed) || errors.Is(err, errRestored) {
			return err
		}
	}
	return platform.ErrUnknown
}

// errStale requests a fresh read before a negative result is returned.
var errStale = errors.New("claims: the cached slice may be stale")

// applyOpen makes one attempt to apply the operations to the open slice. fresh is set
// if the slice has been read since the last attempt. It seals a slice that has become
// full.
func (sh *shard) applyOpen(ctx context.Context, batchOps []claim.Op, fresh bool) ([]claim.Result, error) {
	if fresh && sh.anyInSealedSlice(batchOps) {
		return nil, errSealed
	}
	sl, err := clone(sh.openSlice)
	if err != nil {
		return nil, err
	}
	results, changed := sh.applyTo(&sl, batchOps)
	if !fresh && !allGranted(results) {
		return nil, errStale
	}
	if !changed {
		return results, nil
	}
	raw, err := sl.Encode()
	if err != nil {
		return nil, err
	}
	if sl.Full(len(raw)) {
		sl.Seal(sh.clock.Now())
	}
	rev, err := sh.put(ctx, sh.openNum, sl, sh.openRev)
	if err != nil {
		return nil, err
	}
	sh.installSlice(sh.openNum, sl, rev)
	return results, nil
}

// anyInSealedSlice reports whether a refresh has added a key of the batch to the index
// of sealed slices. The index also contains keys that were released; reading the slice
// tells them apart.
func (sh *shard) anyInSealedSlice(batchOps []claim.Op) bool {
	for _, op := range batchOps {
		if num, ok := sh.index[op.Hash]; ok && num >= sh.checkedBefore {
			return true
		}
	}
	return false
}

// allGranted reports whether no result is negative.
func allGranted(results []claim.Result) bool {
	for _, res := range results {
		if res.Code != claim.Granted && res.Code != claim.Applied {
			return false
		}
	}
	return true
}

// clone returns a deep copy of a slice.
func clone(sl claim.Slice) (claim.Slice, error) {
	raw, err := sl.Encode()
	if err != nil {
		return claim.Slice{}, err
	}
	return claim.Decode(raw)
}

// put writes a slice if it is at revision rev, and returns the new revision. It returns errRestored
// if the write may have been made in another era than the slices were read in.
func (sh *shard) put(ctx context.Context, num int, sl claim.Slice, rev uint64) (uint64, error) {
	raw, err := sl.Encode()
	if err != nil {
		return 0, err
	}
	writes.Inc()
	sh.wroteAt = sh.clock.Now()
	rev, err = sh.store.Put(ctx, claim.SliceKey(sh.num, num), raw, rev, "")
	if sh.store.Era() != sh.era || err == nil && platform.EraOf(rev) != sh.era {
		return 0, errRestored
	}
	return rev, err
}
