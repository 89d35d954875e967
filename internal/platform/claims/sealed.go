package claims

import (
	"context"
	"errors"

	"corianderhub.dev/corianderhub/internal/core/claim"
	"corianderhub.dev/corianderhub/internal/platform"
)

// processSealed executes the operations on keys that sealed slices hold, and returns
// the other operations.
func (sh *shard) processSealed(ctx context.Context, batch []*pendingOp) ([]*pendingOp, error) {
	if err := sh.load(ctx); err != nil {
		return batch, err
	}
	sh.checkedBefore = sh.openNum
	var rest []*pendingOp
	bySlice := make(map[int][]*pendingOp)
	for _, wa := range batch {
		if num, ok := sh.index[wa.op.Hash]; ok {
			bySlice[num] = append(bySlice[num], wa)
		} else {
			rest = append(rest, wa)
		}
	}
	for num, pending := range bySlice {
		rest = append(rest, sh.completeSealed(ctx, num, pending)...)
	}
	return rest, nil
}

// completeSealed executes operations on one sealed slice. It returns the acquires and reclaims
// whose key was released there, which may be claimed again in the open slice.
func (sh *shard) completeSealed(ctx context.Context, num int, pending []*pendingOp) []*pendingOp {
	results, err := sh.applySealed(ctx, num, operations(pending))
	var rest []*pendingOp
	for i, wa := range pending {
		switch {
		case err != nil:
			wa.complete(claim.Result{Code: claim.Unavailable})
		case results[i].Code == 0:
			rest = append(rest, wa)
		case results[i].Code == claim.Granted && claim.SliceEra(num) != sh.era:
			// The write may have been made after the restore, when the slice no longer counted.
			wa.complete(claim.Result{Code: claim.Duplicate})
		default:
			wa.complete(results[i])
		}
	}
	return rest
}

func operations(pending []*pendingOp) []claim.Op {
	batchOps := make([]claim.Op, len(pending))
	for i, wa := range pending {
		batchOps[i] = wa.op
	}
	return batchOps
}

// applySealed writes the result of the operations to a sealed slice, or one of an earlier era, with
// retries after a conflict or an unknown outcome.
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
		if !sl.Sealed && claim.SliceEra(num) != sh.era {
			sl.Seal(sh.clock.Now())
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
