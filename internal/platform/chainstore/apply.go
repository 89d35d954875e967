package chainstore

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"corianderhub.dev/corianderhub/internal/core/chain"
	"corianderhub.dev/corianderhub/internal/core/intent"
	"corianderhub.dev/corianderhub/internal/platform"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

// maxApplyTries limits the compare-and-swaps of one apply.
const maxApplyTries = 16

// retryPause is the time between two attempts of an apply.
const retryPause = 50 * time.Millisecond

// ApplyRequest is a request of an operator to change the configuration.
type ApplyRequest struct {
	Change intent.Change
	// Operation identifies the apply. Repeating an apply with the same identifier has
	// no further effect.
	Operation string
	// Operator is the name of the operator.
	Operator string
	// Base is the revision that the operator has seen. The apply is refused if an
	// object that it changes was changed since. Zero disables the check.
	Base uint64
}

// ApplyResult is the result of an accepted change.
type ApplyResult struct {
	// Revision is the revision that the change created. Applying Update yields it or a
	// later one.
	Revision uint64
	Update   Update
	// Snapshotted is set if a new snapshot was written, so that older entries can be
	// pruned.
	Snapshotted bool
}

// InvalidConfigError is returned for an invalid change and lists its problems.
type InvalidConfigError struct{ Problems []intent.Problem }

// Error implements the error interface.
func (fe *InvalidConfigError) Error() string { return "the configuration is not valid" }

// Apply appends the change to the chain, atomically. An invalid change is refused with
// an *InvalidConfigError. Any other error is a verdict.Error, whose verdict says whether the
// change may be in force. cfg is any known configuration.
func (st Store) Apply(ctx context.Context, cfg *intent.Config, ap ApplyRequest) (ApplyResult, error) {
	maybeWritten := false
	var err error
	for range maxApplyTries {
		var done ApplyResult
		var tried bool
		done, tried, err = st.tryApply(ctx, cfg, ap)
		if err == nil {
			return done, nil
		}
		maybeWritten = maybeWritten || tried
		var ve *verdict.Error
		var fe *InvalidConfigError
		if errors.As(err, &ve) || errors.As(err, &fe) {
			return ApplyResult{}, err
		}
		if errors.Is(err, platform.ErrUnavailable) && !maybeWritten {
			break
		}
		if st.Clock.Sleep(ctx, retryPause) != nil {
			break
		}
	}
	return ApplyResult{}, platformError(err, maybeWritten)
}

// ReapplyResult is the result of applying entries again.
type ReapplyResult struct {
	// Revision is the highest revision that the entries got, 0 if none was applied.
	Revision uint64
	// Refused holds the operations that are refused for good, because an object that they change
	// was changed later or they are not valid any more.
	Refused []string
}

// Reapply applies entries of an earlier era again, under their operations, unless one of their
// objects was changed after base. cfg is as in Apply.
func (st Store) Reapply(ctx context.Context, cfg *intent.Config, entries []chain.Entry, base uint64) (ReapplyResult, error) {
	var res ReapplyResult
	for _, en := range entries {
		ch, err := en.Change()
		if err != nil {
			return res, err
		}
		done, err := st.Apply(ctx, cfg, ApplyRequest{Change: ch, Operation: en.Operation, Operator: en.Operator, Base: base})
		var ve *verdict.Error
		var fe *InvalidConfigError
		switch {
		case errors.As(err, &fe), errors.As(err, &ve) && ve.Code == verdict.CodeConflict:
			res.Refused = append(res.Refused, en.Operation)
		case err != nil:
			return res, err
		}
		res.Revision = max(res.Revision, done.Revision)
	}
	return res, nil
}

// tryApply makes one attempt. Its second result reports whether the head may have been
// written although an error is returned.
func (st Store) tryApply(ctx context.Context, cfg *intent.Config, ap ApplyRequest) (ApplyResult, bool, error) {
	hd, rev, err := st.Head(ctx)
	if err != nil {
		return ApplyResult{}, false, err
	}
	up, err := st.UpdateSince(ctx, hd, oldestRevision(cfg.Revision, ap.Base))
	if err != nil {
		return ApplyResult{}, false, err
	}
	// After a lost response or a conflict, an earlier write of this apply may have
	// succeeded, even if later applies followed. The head shows whether it did.
	if revision, ok := hd.Find(ap.Operation); ok {
		return ApplyResult{Revision: revision, Update: up}, false, nil
	}
	if err := checkConflict(up, ap); err != nil {
		return ApplyResult{}, false, err
	}
	current, err := up.ApplyTo(cfg)
	if err != nil {
		return ApplyResult{}, false, err
	}
	if hd.Revision < current.Revision && ap.Base > 0 && ap.Base < current.Revision {
		return ApplyResult{}, false, conflictError("the store was restored from a copy that lacks the changes since")
	}
	if problems := current.CheckChange(ap.Change); len(problems) > 0 {
		return ApplyResult{}, false, &InvalidConfigError{Problems: problems}
	}
	next, snapshot, err := st.prepare(ctx, st.headInEra(hd, rev, current.Revision), current, ap)
	if err != nil {
		return ApplyResult{}, false, err
	}
	if err := st.swapHead(ctx, next.Head, rev); err != nil {
		return ApplyResult{}, errors.Is(err, platform.ErrUnknown), err
	}
	if next.Snapshot == nil {
		next.Snapshot = up.Snapshot
		next.Entries = append(up.Entries, next.Entries...)
	}
	return ApplyResult{Revision: next.Head.Revision, Update: next, Snapshotted: snapshot}, false, nil
}

// oldestRevision returns the revision to read back to, so that the update contains all
// changes since base and all that the known configuration lacks.
func oldestRevision(known, base uint64) uint64 {
	if base > 0 {
		return min(known, base)
	}
	return known
}

// checkConflict returns an error if another apply changed an object of ap after
// ap.Base.
func checkConflict(up Update, ap ApplyRequest) error {
	base := ap.Base
	if base == 0 {
		return nil
	}
	changed := ap.Change.IDs()
	if up.Snapshot != nil && up.Snapshot.Revision > base {
		return conflictError("more changed since than can be compared")
	}
	for _, en := range up.Entries {
		if en.Revision <= base {
			continue
		}
		for _, id := range en.IDs() {
			if slices.Contains(changed, id) {
				return conflictError(id + " was changed by " + en.Operator + " in operation " + en.Operation)
			}
		}
	}
	return nil
}

func conflictError(reason string) error {
	return &verdict.Error{Code: verdict.CodeConflict, Verdict: verdict.NotRun, Message: reason}
}

// platformError returns the error for a key-value service that does not answer.
// mayHaveRun says whether the change may be in force.
func platformError(err error, mayHaveRun bool) error {
	ve := &verdict.Error{Code: verdict.CodePlatform, Verdict: verdict.NotRun, RetryAfter: time.Second, Cause: err,
		Message: "the platform's key-value service did not answer"}
	if mayHaveRun {
		ve.Verdict = verdict.MayHaveRun
		ve.Message += "; repeat the apply with the same operation to find out"
	}
	return ve
}

// headInEra returns the head, read at revision rev, as the one to go on from. In a later era than
// the head's it is before the first revision of that era. Without a head the chain begins, unless
// a configuration is known.
func (st Store) headInEra(hd chain.Head, rev, known uint64) chain.Head {
	era := platform.EraOf(rev)
	if rev == 0 {
		era = st.KV.Era()
	}
	if rev == 0 && known == 0 {
		hd.Era, hd.FirstEra = era, era
	}
	if hd.Era != era {
		hd.Era = era
		hd.Revision, hd.Entry = chain.Base(hd.FirstEra, era), ""
	}
	return hd
}

// prepare stores all values that the next head refers to. Its second result reports
// whether that includes a new snapshot. The first one of an era holds what the copy lacks that
// the key-value service was restored from.
func (st Store) prepare(ctx context.Context, hd chain.Head, current *intent.Config, ap ApplyRequest) (Update, bool, error) {
	begins := hd.Revision > current.Revision
	behind := hd.Revision < current.Revision
	switch {
	case begins:
		current = current.InEra(hd.Revision)
	case behind:
		hd.Revision, hd.Entry = current.Revision, ""
	}
	en, err := chain.NewEntry(hd, ap.Change, ap.Operation, ap.Operator)
	if err != nil {
		return Update{}, false, err
	}
	digest, err := st.put(ctx, entriesPrefix, en)
	if err != nil {
		return Update{}, false, err
	}
	next := hd.Next(en, digest)
	snapshot := begins || behind || next.Revision-hd.SnapshotRevision > chain.SnapshotEvery
	if snapshot {
		err = st.putSnapshot(ctx, current, &next)
	}
	up := Update{Head: next, Entries: []chain.Entry{en}}
	if begins {
		up.Snapshot = current
	}
	return up, snapshot, err
}

// swapHead writes the head if the stored one is at revision rev.
func (st Store) swapHead(ctx context.Context, hd chain.Head, rev uint64) error {
	raw, err := json.Marshal(hd)
	if err != nil {
		return eris.Wrap(err, HeadKey)
	}
	_, err = st.KV.Put(ctx, HeadKey, raw, rev, "")
	return err
}

// putSnapshot stores the pieces of the configuration and refers to them in hd.
func (st Store) putSnapshot(ctx context.Context, current *intent.Config, hd *chain.Head) error {
	pieces, err := chain.Pieces(current)
	if err != nil {
		return err
	}
	hd.Snapshot = nil
	hd.SnapshotRevision = current.Revision
	for _, pc := range pieces {
		digest, err := st.put(ctx, piecesPrefix, pc)
		if err != nil {
			return err
		}
		hd.Snapshot = append(hd.Snapshot, digest)
	}
	return nil
}

// put stores an immutable value under its digest and returns the digest. A conflict
// means that the value is already stored.
func (st Store) put(ctx context.Context, prefix string, val any) (string, error) {
	raw, err := json.Marshal(val)
	if err != nil {
		return "", eris.Wrap(err, "config")
	}
	digest := chain.Digest(raw)
	_, err = st.KV.Put(ctx, prefix+digest, raw, 0, "")
	if errors.Is(err, platform.ErrConflict) {
		err = nil
	}
	return digest, err
}
