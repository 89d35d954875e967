package claims

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/claim"
	"corianderhub.dev/corianderhub/internal/platform"
)

const (
	// maxTries bounds the compare-and-swaps of one batch.
	maxTries = 8
	// batchTimeout bounds one batch.
	batchTimeout = 4 * time.Second
)

var (
	writes = metrics.NewCounter("corianderhub_claim_writes_total")
	ops    = metrics.NewCounter("corianderhub_claim_operations_total")
)

// waiter is an operation whose result is awaited.
type waiter struct {
	op   claim.Op
	done chan claim.Result
}

// shard merges the operations on one shard. One goroutine at a time works on
// it, as long as operations wait.
type shard struct {
	num   int
	store platform.Store
	clock clock.Clock

	mu      sync.Mutex
	waiting []*waiter
	busy    bool

	// What follows belongs to the working goroutine.
	loaded bool
	// sorted is the first slice that the batch was not compared with.
	sorted  int
	open    int
	slice   claim.Slice
	rev     uint64
	index   map[string]int
	wroteAt time.Time
}

func (sh *shard) add(wa *waiter) {
	ops.Inc()
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.waiting = append(sh.waiting, wa)
	if !sh.busy {
		sh.busy = true
		go sh.work()
	}
}

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

// process answers every waiter of the batch. What could not be stored, or is
// not known to be, is answered as unavailable.
func (sh *shard) process(ctx context.Context, batch []*waiter) {
	err := errSealed
	for try := 0; errors.Is(err, errSealed) && try < maxTries; try++ {
		batch, err = sh.processSealed(ctx, batch)
		if err == nil {
			err = sh.processOpen(ctx, batch)
		}
	}
	if err != nil {
		// The cache may be behind what was written: start afresh.
		sh.loaded = false
		for _, wa := range batch {
			wa.answer(claim.Result{Answer: claim.Unavailable})
		}
	}
}

// errSealed says that a key of the batch was sealed away by another writer:
// the batch has to be sorted again.
var errSealed = errors.New("claims: the slice was sealed")

func (wa *waiter) answer(res claim.Result) {
	select {
	case wa.done <- res:
	default:
	}
}

// load reads the shard's slices. Only the newest may take claims: an older
// one that reads as unsealed was read stale and is read again.
func (sh *shard) load(ctx context.Context) error {
	if sh.loaded {
		return nil
	}
	entries, err := sh.store.List(ctx, claim.ShardPrefix(sh.num))
	if err != nil {
		return err
	}
	clear(sh.index)
	sh.open, sh.slice, sh.rev = 0, claim.Slice{}, 0
	for i, en := range entries {
		num, err := strconv.Atoi(en.Key[strings.LastIndexByte(en.Key, '/')+1:])
		if err != nil {
			return eris.Wrap(err, "claims "+en.Key)
		}
		sl, err := claim.Decode(en.Value)
		if err != nil {
			return eris.Wrap(err, "claims "+en.Key)
		}
		if i < len(entries)-1 && !sl.Sealed {
			return eris.Errorf("claims %s: read stale", en.Key)
		}
		if sl.Expired(sh.clock.Now()) {
			// A lost answer only means that the slice is met again.
			_ = sh.store.Delete(ctx, en.Key, en.Revision)
		}
		sh.take(num, sl, en.Revision)
	}
	sh.loaded = true
	return nil
}

// take makes a slice the open one, or indexes it and opens the next.
func (sh *shard) take(num int, sl claim.Slice, rev uint64) {
	sh.open, sh.slice, sh.rev = num, sl, rev
	if !sl.Sealed {
		return
	}
	for hash := range sl.Claims {
		sh.index[hash] = num
	}
	sh.open, sh.slice, sh.rev = num+1, claim.Slice{}, 0
}

// refresh reads the open slice again, and the ones after it if it was sealed.
func (sh *shard) refresh(ctx context.Context) error {
	for {
		num := sh.open
		en, err := sh.store.Get(ctx, claim.SliceKey(sh.num, num))
		if err != nil {
			return err
		}
		sl := claim.Slice{}
		if en.Revision > 0 {
			if sl, err = claim.Decode(en.Value); err != nil {
				return eris.Wrap(err, "claims "+en.Key)
			}
		}
		sh.take(num, sl, en.Revision)
		if sh.open == num {
			return nil
		}
	}
}

// processSealed carries out the operations whose key stands in a sealed
// slice, and returns the others.
func (sh *shard) processSealed(ctx context.Context, batch []*waiter) ([]*waiter, error) {
	if err := sh.load(ctx); err != nil {
		return batch, err
	}
	sh.sorted = sh.open
	var rest []*waiter
	bySlice := make(map[int][]*waiter)
	for _, wa := range batch {
		if num, ok := sh.index[wa.op.Hash]; ok {
			bySlice[num] = append(bySlice[num], wa)
		} else {
			rest = append(rest, wa)
		}
	}
	for num, wais := range bySlice {
		rest = append(rest, sh.answerSealed(ctx, num, wais)...)
	}
	return rest, nil
}

// answerSealed carries out operations on one sealed slice. It returns those
// whose key was given back there: they may be claimed anew.
func (sh *shard) answerSealed(ctx context.Context, num int, wais []*waiter) []*waiter {
	results, err := sh.applySealed(ctx, num, operations(wais))
	var rest []*waiter
	for i, wa := range wais {
		switch {
		case err != nil:
			wa.answer(claim.Result{Answer: claim.Unavailable})
		case results[i].Answer == 0:
			rest = append(rest, wa)
		default:
			wa.answer(results[i])
		}
	}
	return rest
}

func operations(wais []*waiter) []claim.Op {
	batchOps := make([]claim.Op, len(wais))
	for i, wa := range wais {
		batchOps[i] = wa.op
	}
	return batchOps
}

func (sh *shard) applySealed(ctx context.Context, num int, batchOps []claim.Op) ([]claim.Result, error) {
	for range maxTries {
		en, err := sh.store.Get(ctx, claim.SliceKey(sh.num, num))
		if err != nil {
			return nil, err
		}
		sl := claim.Slice{Sealed: true}
		if en.Revision > 0 {
			if sl, err = claim.Decode(en.Value); err != nil {
				return nil, err
			}
		}
		results, changed := sl.Apply(batchOps)
		if !changed {
			return results, nil
		}
		_, err = sh.put(ctx, num, sl, en.Revision)
		if err == nil {
			return results, nil
		}
		if errors.Is(err, platform.ErrUnavailable) {
			return nil, err
		}
	}
	return nil, platform.ErrUnknown
}

// processOpen carries out a batch on the open slice with one write. After a
// conflict or a lost answer it reads and applies again: an operation that was
// stored already is recognised by its holder and changes nothing.
func (sh *shard) processOpen(ctx context.Context, batch []*waiter) error {
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
		results, err := sh.tryOpen(ctx, batchOps, try > 0)
		if err == nil {
			for i, wa := range batch {
				wa.answer(results[i])
			}
			return nil
		}
		if errors.Is(err, platform.ErrUnavailable) || errors.Is(err, errSealed) {
			return err
		}
	}
	return platform.ErrUnknown
}

// errStale asks for a fresh read before a negative answer is given.
var errStale = errors.New("claims: the cached slice may be stale")

func (sh *shard) tryOpen(ctx context.Context, batchOps []claim.Op, fresh bool) ([]claim.Result, error) {
	if fresh && sh.anySealed(batchOps) {
		return nil, errSealed
	}
	sl, err := clone(sh.slice)
	if err != nil {
		return nil, err
	}
	results, changed := sl.Apply(batchOps)
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
	rev, err := sh.put(ctx, sh.open, sl, sh.rev)
	if err != nil {
		return nil, err
	}
	sh.take(sh.open, sl, rev)
	return results, nil
}

// anySealed tells whether a refresh has put a key of the batch into the index
// of sealed slices. One that was given back there is in the index too: it is
// sorted out by reading that slice.
func (sh *shard) anySealed(batchOps []claim.Op) bool {
	for _, op := range batchOps {
		if num, ok := sh.index[op.Hash]; ok && num >= sh.sorted {
			return true
		}
	}
	return false
}

func allGranted(results []claim.Result) bool {
	for _, res := range results {
		if res.Answer != claim.Granted && res.Answer != claim.Applied {
			return false
		}
	}
	return true
}

func clone(sl claim.Slice) (claim.Slice, error) {
	raw, err := sl.Encode()
	if err != nil {
		return claim.Slice{}, err
	}
	return claim.Decode(raw)
}

func (sh *shard) put(ctx context.Context, num int, sl claim.Slice, rev uint64) (uint64, error) {
	raw, err := sl.Encode()
	if err != nil {
		return 0, err
	}
	writes.Inc()
	sh.wroteAt = sh.clock.Now()
	return sh.store.Put(ctx, claim.SliceKey(sh.num, num), raw, rev, "")
}
