// Package claims stores claims in the platform's key-value service. It merges the
// operations on one shard into one write, so that the number of writes depends on
// elapsed time and not on the number of requests. Usually one daemon, the owner,
// merges the operations of a shard. Any other daemon may write the same slices if it
// cannot reach the owner, because compare-and-swap alone ensures correctness.
package claims

import (
	"context"
	"sync"
	"time"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/claim"
	"corianderhub.dev/corianderhub/internal/platform"
)

// MinWriteInterval is the minimum time between two writes of a shard by one daemon.
// All shards together make at most Shards/MinWriteInterval writes per second.
const MinWriteInterval = 100 * time.Millisecond

// retryPauses are the pauses after failed attempts of a background operation, such as
// the release of a claim that may have been stored although its request was refused as
// not run.
var retryPauses = []time.Duration{time.Second, 5 * time.Second, 30 * time.Second, 2 * time.Minute}

// backupTimeout limits the time that a request waits until one backup remembers its claim.
const backupTimeout = 125 * time.Millisecond

// Forward passes an operation to the daemon at a peer address.
type Forward func(ctx context.Context, peer string, op claim.Op) (claim.Result, error)

// Registry executes claim operations. Set the exported fields before use.
type Registry struct {
	Store platform.Store
	Clock clock.Clock
	// Owner returns the peer address of the daemon that merges the operations of a
	// shard. It returns "" if this daemon does.
	Owner   func(shard int) string
	Forward Forward
	// Backups returns the peer addresses of daemons one of which is to remember the claims that
	// this daemon merges and grants by itself. They are asked in order. It may be nil.
	Backups func(shard int) []string

	memory memory
	eras   eraLog
	mu     sync.Mutex
	shards [claim.Shards]*shard
	// pending counts background operations that outlast their request.
	pending sync.WaitGroup
}

// Do executes the operation through the shard's owner, or directly if the owner does
// not answer or answers claim.Unavailable.
func (bo *Registry) Do(ctx context.Context, op claim.Op) claim.Result {
	era := bo.Store.Era()
	bo.memory.begin(bo.Clock.Now(), op)
	if addr := bo.Owner(op.Shard); addr != "" {
		if res, err := bo.Forward(ctx, addr, op); err == nil && res.Code != claim.Unavailable {
			bo.remember(era, op, res.Code)
			return res
		}
	}
	if op.Kind == claim.Release {
		bo.replicate(ctx, claim.RememberRelease, op)
	}
	res := bo.DoLocal(ctx, op)
	if op.Kind == claim.Acquire && res.Code == claim.Granted || op.Kind == claim.Record && res.Code == claim.Applied {
		bo.replicate(ctx, claim.Remember, op)
	}
	return res
}

// DoLocal executes the operation on this daemon. If ctx ends first, it returns
// claim.Unavailable, and the operation may still be stored. It also returns that if another
// daemon has sent an operation for a shard that doesn't exist.
func (bo *Registry) DoLocal(ctx context.Context, op claim.Op) claim.Result {
	if op.Shard < 0 || op.Shard >= claim.Shards {
		return claim.Result{Code: claim.Unavailable}
	}
	era := bo.Store.Era()
	bo.memory.begin(bo.Clock.Now(), op)
	res := claim.Result{Code: claim.Applied}
	if op.Kind != claim.Remember && op.Kind != claim.RememberRelease {
		res = bo.store(ctx, op)
	}
	bo.remember(era, op, res.Code)
	return res
}

// store executes the operation on the key-value service.
func (bo *Registry) store(ctx context.Context, op claim.Op) claim.Result {
	sh := bo.shard(op.Shard)
	wa := &pendingOp{op: op, done: make(chan claim.Result, 1)}
	sh.add(wa)
	select {
	case res := <-wa.done:
		return res
	case <-ctx.Done():
		return claim.Result{Code: claim.Unavailable}
	}
}

// ReleaseInBackground releases a claim in the background. It retries until that
// succeeds or retryPauses is used up.
func (bo *Registry) ReleaseInBackground(op claim.Op) {
	op.Kind = claim.Release
	begin := bo.Clock.Now()
	bo.retryInBackground(func(ctx context.Context) bool {
		switch bo.Do(ctx, op).Code {
		case claim.Applied:
			return true
		case claim.NotFound:
			// Not final until the batch timeout has passed: the shard's owner may still
			// be storing the acquire.
			return bo.Clock.Now().Sub(begin) > batchTimeout
		}
		return false
	})
}

// RecordInBackground stores an outcome in the background, with retries like
// ReleaseInBackground.
func (bo *Registry) RecordInBackground(op claim.Op) {
	bo.retryInBackground(func(ctx context.Context) bool {
		op.Kind = claim.Record
		code := bo.Do(ctx, op).Code
		if code == claim.NotFound {
			// The claim may have been lost when the service was restored.
			op.Kind = claim.Reclaim
			code = bo.Do(ctx, op).Code
		}
		return code != claim.Unavailable
	})
}

// backgroundTimeout limits one attempt of a background operation.
const backgroundTimeout = 5 * time.Second

// retryInBackground is retry on a goroutine that Wait waits for.
func (bo *Registry) retryInBackground(try func(ctx context.Context) bool) {
	bo.pending.Add(1)
	go func() {
		defer bo.pending.Done()
		bo.retry(context.Background(), try)
	}()
}

// retry calls try until it returns true or ctx ends, at most once per entry of
// retryPauses, and pauses after each failure.
func (bo *Registry) retry(ctx context.Context, try func(ctx context.Context) bool) {
	for _, pause := range retryPauses {
		tryCtx, cancel := context.WithTimeout(ctx, backgroundTimeout)
		ok := try(tryCtx)
		cancel()
		if ok || bo.Clock.Sleep(ctx, pause) != nil {
			return
		}
	}
}

// Wait returns when all background operations have finished or ctx ends.
func (bo *Registry) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		bo.pending.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// shard returns the shard with that number and creates it if necessary.
func (bo *Registry) shard(num int) *shard {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	if bo.shards[num] == nil {
		bo.shards[num] = &shard{num: num, store: bo.Store, clock: bo.Clock, index: make(map[string]int), holdEnd: bo.holdEnd}
	}
	return bo.shards[num]
}
