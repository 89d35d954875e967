// Package claims keeps claims in the platform's key-value service. Operations
// on one shard are merged into one write, so that the number of writes
// follows the passing of time and not the number of requests. One daemon does
// the merging for a shard where it can be reached; any other may write the
// same pages itself, because compare-and-swap alone keeps them right.
package claims

import (
	"context"
	"sync"
	"time"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/claim"
	"corianderhub.dev/corianderhub/internal/platform"
)

// WritePause is the least time between two writes of a shard by one daemon:
// all shards together make at most Shards/WritePause writes a second.
const MinWriteInterval = 100 * time.Millisecond

// settlePauses are the waits between tries to give back a claim that may have
// been stored although its request was refused as not run.
var settlePauses = []time.Duration{time.Second, 5 * time.Second, 30 * time.Second, 2 * time.Minute}

// Forward passes an operation to the daemon at a peer address.
type Forward func(ctx context.Context, peer string, op claim.Op) (claim.Result, error)

// Book carries out claim operations. Set the exported fields before use.
type Registry struct {
	Store platform.Store
	Clock clock.Clock
	// Owner returns the peer address of the daemon that merges a shard's
	// operations; empty when this daemon does.
	Owner   func(shard int) string
	Forward Forward

	mu     sync.Mutex
	shards [claim.Shards]*shard
	// pending counts work that goes on after the request was answered.
	pending sync.WaitGroup
}

// Do carries out the operation through the shard's owner, or directly when
// the owner does not answer.
func (bo *Registry) Do(ctx context.Context, op claim.Op) claim.Result {
	if addr := bo.Owner(op.Shard); addr != "" {
		if res, err := bo.Forward(ctx, addr, op); err == nil && res.Answer != claim.Unavailable {
			return res
		}
	}
	return bo.DoLocal(ctx, op)
}

// Local carries out the operation on this daemon.
func (bo *Registry) DoLocal(ctx context.Context, op claim.Op) claim.Result {
	sh := bo.shard(op.Shard)
	wa := &waiter{op: op, done: make(chan claim.Result, 1)}
	sh.add(wa)
	select {
	case res := <-wa.done:
		return res
	case <-ctx.Done():
		return claim.Result{Answer: claim.Unavailable}
	}
}

// Settle gives a claim back in the background, again and again if need be.
func (bo *Registry) ReleaseInBackground(op claim.Op) {
	op.Kind = claim.Release
	begin := bo.Clock.Now()
	bo.later(func(ctx context.Context) bool {
		switch bo.Do(ctx, op).Answer {
		case claim.Applied:
			return true
		case claim.NotFound:
			// At first this is not final: the acquire may still be on its way
			// through the shard's owner.
			return bo.Clock.Now().Sub(begin) > batchTimeout
		}
		return false
	})
}

// Record stores an outcome in the background.
func (bo *Registry) RecordInBackground(op claim.Op) {
	op.Kind = claim.Record
	bo.later(func(ctx context.Context) bool { return bo.Do(ctx, op).Answer != claim.Unavailable })
}

const backgroundTimeout = 5 * time.Second

func (bo *Registry) later(try func(ctx context.Context) bool) {
	bo.pending.Add(1)
	go func() {
		defer bo.pending.Done()
		for _, pause := range settlePauses {
			ctx, cancel := context.WithTimeout(context.Background(), backgroundTimeout)
			ok := try(ctx)
			cancel()
			if ok {
				return
			}
			bo.Clock.Sleep(context.Background(), pause)
		}
	}()
}

// Wait returns when the background work is done or ctx ends.
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

func (bo *Registry) shard(num int) *shard {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	if bo.shards[num] == nil {
		bo.shards[num] = &shard{num: num, store: bo.Store, clock: bo.Clock, index: make(map[string]int)}
	}
	return bo.shards[num]
}
