package claims

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"corianderhub.dev/corianderhub/internal/core/claim"
)

const (
	// memoryTime is how long a granted claim is remembered. Copies that the key-value service is
	// restored from are some seconds old.
	memoryTime = time.Minute
	// eraCheckInterval is the time between two looks at the service's era, while claims are
	// remembered.
	eraCheckInterval = time.Second
)

// rewritten counts the writes of remembered claims and releases after a restore.
var rewritten = metrics.NewCounter("corianderhub_claims_reclaimed_total")

// unreplicated counts the claims and answers that no other daemon remembers.
var unreplicated = metrics.NewCounter("corianderhub_claims_unreplicated_total")

// memory holds the claims that were granted or released through this daemon in the last
// memoryTime. Its zero value is ready for use.
type memory struct {
	mu sync.Mutex
	// claims maps the hash of a key to its claim, and order holds the claims by time.
	claims map[string]remembered
	order  []remembered
}

// remembered is a claim, as the operation that writes it or its release again, and when it was
// noted.
type remembered struct {
	op      claim.Op
	notedAt time.Time
}

// begin updates the memory with a release before it is stored. A rewrite that stores the claim after
// the release finds it here.
func (me *memory) begin(now time.Time, op claim.Op) {
	me.mu.Lock()
	defer me.mu.Unlock()
	known, ok := me.claims[op.Hash]
	if op.Kind == claim.Release && ok && known.op.Holder == op.Holder {
		me.add(remembered{op, now})
	}
}

// note updates the memory with an operation and its result.
func (me *memory) note(now time.Time, op claim.Op, code claim.ResultCode) {
	me.mu.Lock()
	defer me.mu.Unlock()
	me.forgetBefore(now.Add(-memoryTime))
	known, ok := me.claims[op.Hash]
	mine := ok && known.op.Holder == op.Holder
	switch {
	case op.Kind == claim.Acquire && code == claim.Granted, op.Kind == claim.Remember:
		op.Kind = claim.Reclaim
		me.add(remembered{op, now})
	case op.Kind == claim.Record && mine:
		known.op.Outcome = op.Outcome
		me.claims[op.Hash] = known
	case op.Kind == claim.RememberRelease && mine:
		op.Kind = claim.Release
		me.add(remembered{op, now})
	}
}

func (me *memory) add(re remembered) {
	if me.claims == nil {
		me.claims = make(map[string]remembered)
	}
	me.claims[re.op.Hash] = re
	me.order = append(me.order, re)
}

// forgetBefore drops the claims that were noted before a time.
func (me *memory) forgetBefore(limit time.Time) {
	for len(me.order) > 0 && me.order[0].notedAt.Before(limit) {
		old := me.order[0]
		me.order = me.order[1:]
		if me.claims[old.op.Hash].notedAt.Equal(old.notedAt) {
			delete(me.claims, old.op.Hash)
		}
	}
}

// operation returns the operation that writes a claim or its release again, if it is remembered.
func (me *memory) operation(hash string) (claim.Op, bool) {
	me.mu.Lock()
	defer me.mu.Unlock()
	re, ok := me.claims[hash]
	return re.op, ok
}

// operations returns the operations that write the remembered claims and releases again.
func (me *memory) operations() []claim.Op {
	me.mu.Lock()
	defer me.mu.Unlock()
	var batchOps []claim.Op
	for _, re := range me.claims {
		batchOps = append(batchOps, re.op)
	}
	return batchOps
}

func (me *memory) empty() bool {
	me.mu.Lock()
	defer me.mu.Unlock()
	return len(me.claims) == 0
}

// remember notes an operation that began in an era. If the service has been restored since, Run may
// have written the claims before the note, so the claim is written again.
func (bo *Registry) remember(era uint64, op claim.Op, code claim.ResultCode) {
	bo.memory.note(bo.Clock.Now(), op, code)
	if bo.Store.Era() == era {
		return
	}
	if _, ok := bo.memory.operation(op.Hash); ok {
		bo.retryInBackground(func(ctx context.Context) bool { return bo.rewrite(ctx, op.Hash) })
	}
}

// Run writes the remembered claims and releases again after each restore of the key-value service,
// until ctx ends.
func (bo *Registry) Run(ctx context.Context) error {
	var writing sync.WaitGroup
	defer writing.Wait()
	era, known := uint64(0), false
	for bo.Clock.Sleep(ctx, eraCheckInterval) == nil {
		if bo.memory.empty() && known && bo.Store.Era() == era {
			continue
		}
		// Any response names the era.
		if _, err := bo.Store.Get(ctx, claim.ShardPrefix(0)); err != nil {
			continue
		}
		now := bo.Store.Era()
		if known && now == era {
			continue
		}
		if known {
			bo.eras.notice(now, bo.Clock.Now())
		}
		writing.Go(func() { bo.storeEra(ctx, now) })
		era, known = now, true
		for _, op := range bo.memory.operations() {
			writing.Go(func() { bo.retry(ctx, func(ctx context.Context) bool { return bo.rewrite(ctx, op.Hash) }) })
		}
	}
	return ctx.Err()
}

// rewrite writes a claim or release again, as remembered now. It returns false if it must be tried
// again.
func (bo *Registry) rewrite(ctx context.Context, hash string) bool {
	op, ok := bo.memory.operation(hash)
	if !ok {
		return true
	}
	rewritten.Inc()
	if bo.Do(ctx, op).Code == claim.Unavailable {
		return false
	}
	if now, ok := bo.memory.operation(hash); ok && op.Kind == claim.Reclaim && now.Kind == claim.Release {
		// Released meanwhile, perhaps before the claim was written again.
		return bo.Do(ctx, now).Code != claim.Unavailable
	}
	return true
}

// replicate lets another daemon remember what this one alone has stored. A release is sent to all
// backups, since any of them may remember the claim. The operation counts whether or not one answers.
func (bo *Registry) replicate(ctx context.Context, kind claim.Kind, op claim.Op) {
	if bo.Backups == nil {
		return
	}
	op.Kind = kind
	for _, addr := range bo.Backups(op.Shard) {
		if bo.replicateTo(ctx, addr, op) && kind == claim.Remember {
			return
		}
	}
	if kind == claim.Remember {
		unreplicated.Inc()
	}
}

// replicateTo reports whether the daemon at a peer address remembers the operation.
func (bo *Registry) replicateTo(ctx context.Context, addr string, op claim.Op) bool {
	ctx, cancel := context.WithTimeout(ctx, backupTimeout)
	defer cancel()
	_, err := bo.Forward(ctx, addr, op)
	return err == nil
}
