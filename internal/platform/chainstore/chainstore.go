// Package chainstore keeps the configuration's chain in the platform's
// key-value service.
package chainstore

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/chain"
	"corianderhub.dev/corianderhub/internal/core/intent"
	"corianderhub.dev/corianderhub/internal/platform"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

// Keys of the chain.
const (
	HeadKey       = "config/head"
	entriesPrefix = "config/entries/"
	piecesPrefix  = "config/pieces/"
)

// maxApplyTries bounds the compare-and-swaps of one apply.
const maxApplyTries = 16

const retryPause = 50 * time.Millisecond

// Store reads and writes the chain. Set the fields before use.
type Store struct {
	KV    platform.Store
	Clock clock.Clock
}

// Head reads the newest head; its revision is 0 when nothing was applied yet.
func (st Store) Head(ctx context.Context) (chain.Head, uint64, error) {
	en, err := st.KV.Get(ctx, HeadKey)
	if err != nil || en.Revision == 0 {
		return chain.Head{}, 0, err
	}
	var hd chain.Head
	err = json.Unmarshal(en.Value, &hd)
	return hd, en.Revision, eris.Wrap(err, HeadKey)
}

// Update is what leads from one configuration to that of a head.
type Update struct {
	Head chain.Head
	// Snapshot is set when the entries do not reach back far enough.
	Snapshot *intent.Config
	Entries  []chain.Entry
}

// After reads what leads from revision after to the head.
func (st Store) UpdateSince(ctx context.Context, hd chain.Head, after uint64) (Update, error) {
	up := Update{Head: hd}
	from := after
	useSnapshot := after < hd.SnapshotRevision
	if useSnapshot {
		from = hd.SnapshotRevision
	}
	digest := hd.Entry
	for rev := hd.Revision; rev > from; rev-- {
		en, err := st.entry(ctx, digest)
		if err != nil {
			return up, err
		}
		up.Entries = append(up.Entries, en)
		digest = en.Parent
	}
	slices.Reverse(up.Entries)
	if !useSnapshot {
		return up, nil
	}
	cfg, err := st.snapshot(ctx, hd.Snapshot)
	up.Snapshot = cfg
	return up, err
}

func (st Store) entry(ctx context.Context, digest string) (chain.Entry, error) {
	var en chain.Entry
	return en, st.content(ctx, entriesPrefix, digest, &en)
}

// content reads an immutable value and verifies it against its address.
func (st Store) content(ctx context.Context, prefix, digest string, into any) error {
	en, err := st.KV.Get(ctx, prefix+digest)
	if err != nil {
		return err
	}
	if chain.Digest(en.Value) != digest {
		return eris.Errorf("%s%s: missing or damaged", prefix, digest)
	}
	return eris.Wrap(json.Unmarshal(en.Value, into), prefix+digest)
}

func (st Store) snapshot(ctx context.Context, digests []string) (*intent.Config, error) {
	var pieces []chain.Piece
	for _, digest := range digests {
		var pc chain.Piece
		if err := st.content(ctx, piecesPrefix, digest, &pc); err != nil {
			return nil, err
		}
		pieces = append(pieces, pc)
	}
	return chain.Join(pieces)
}

// Config returns the configuration that the update leads to from cfg.
// Entries that cfg already has are passed over.
func (up Update) ApplyTo(cfg *intent.Config) (*intent.Config, error) {
	if up.Snapshot != nil && up.Snapshot.Revision > cfg.Revision {
		cfg = up.Snapshot
	}
	for _, en := range up.Entries {
		if en.Revision <= cfg.Revision {
			continue
		}
		next, err := chain.Advance(cfg, en)
		if err != nil {
			return nil, err
		}
		cfg = next
	}
	return cfg, nil
}

// Apply is one change that an operator wants to be in force.
type ApplyRequest struct {
	Change intent.Change
	// Operation identifies the apply: repeating it with the same identifier
	// has no further effect.
	Operation string
	Operator  string
	// Base is the revision that the operator has seen; an apply is refused
	// when an object it touches was changed since. Zero takes any.
	Base uint64
}

// Applied is an accepted change.
type ApplyResult struct {
	Revision uint64
	Update   Update
	// Snapshotted tells that older entries may be pruned now.
	Snapshotted bool
}

// FaultsError refuses a change for what is wrong with it.
type FaultsError struct{ Faults []intent.Fault }

// Error implements the error interface.
func (fe *FaultsError) Error() string { return "the configuration is not valid" }

// Apply puts the change on top of the chain as a whole, or returns an error
// whose verdict tells whether it may be in force. cfg is any known state.
func (st Store) Apply(ctx context.Context, cfg *intent.Config, ap ApplyRequest) (ApplyResult, error) {
	headTried := false
	var err error
	for range maxApplyTries {
		var done ApplyResult
		var tried bool
		done, tried, err = st.tryApply(ctx, cfg, ap)
		if err == nil {
			return done, nil
		}
		headTried = headTried || tried
		var ve *verdict.Error
		var fe *FaultsError
		if errors.As(err, &ve) || errors.As(err, &fe) {
			return ApplyResult{}, err
		}
		if errors.Is(err, platform.ErrUnavailable) && !headTried {
			break
		}
		if st.Clock.Sleep(ctx, retryPause) != nil {
			break
		}
	}
	return ApplyResult{}, platformError(err, headTried)
}

// tryApply makes one try. It also tells whether the head may have been
// written although an error is returned.
func (st Store) tryApply(ctx context.Context, cfg *intent.Config, ap ApplyRequest) (ApplyResult, bool, error) {
	hd, rev, err := st.Head(ctx)
	if err != nil {
		return ApplyResult{}, false, err
	}
	up, err := st.UpdateSince(ctx, hd, oldest(cfg.Revision, ap.Base))
	if err != nil {
		return ApplyResult{}, false, err
	}
	// A lost answer or a conflict may be our own earlier write, even one that
	// others have built upon since: the head tells.
	if revision, ok := hd.Find(ap.Operation); ok {
		return ApplyResult{Revision: revision, Update: up}, false, nil
	}
	if err := conflict(up, ap); err != nil {
		return ApplyResult{}, false, err
	}
	now, err := up.ApplyTo(cfg)
	if err != nil {
		return ApplyResult{}, false, err
	}
	if faults := now.CheckChange(ap.Change); len(faults) > 0 {
		return ApplyResult{}, false, &FaultsError{Faults: faults}
	}
	next, snapshot, err := st.prepare(ctx, hd, now, ap)
	if err != nil {
		return ApplyResult{}, false, err
	}
	if err := st.swapHead(ctx, next.Head, rev); err != nil {
		return ApplyResult{}, errors.Is(err, platform.ErrUnknown), err
	}
	next.Snapshot = up.Snapshot
	next.Entries = append(up.Entries, next.Entries...)
	return ApplyResult{Revision: next.Head.Revision, Update: next, Snapshotted: snapshot}, false, nil
}

// oldest returns the revision to read back to, so that changes since base are
// seen as well as those that the known state lacks.
func oldest(known, base uint64) uint64 {
	if base > 0 {
		return min(known, base)
	}
	return known
}

// conflict refuses an apply whose objects another operator changed after base.
func conflict(up Update, ap ApplyRequest) error {
	base := ap.Base
	if base == 0 {
		return nil
	}
	mine := ap.Change.IDs()
	if up.Snapshot != nil && up.Snapshot.Revision > base {
		return conflictError("more changed since than can be compared")
	}
	for _, en := range up.Entries {
		if en.Revision <= base {
			continue
		}
		for _, id := range en.IDs() {
			if slices.Contains(mine, id) {
				return conflictError(id + " was changed by " + en.Operator + " in operation " + en.Operation)
			}
		}
	}
	return nil
}

func conflictError(reason string) error {
	return &verdict.Error{Code: verdict.CodeConflict, Verdict: verdict.NotRun, Message: reason}
}

func platformError(err error, mayHave bool) error {
	ve := &verdict.Error{Code: verdict.CodePlatform, Verdict: verdict.NotRun, RetryAfter: time.Second, Cause: err,
		Message: "the platform's key-value service did not answer"}
	if mayHave {
		ve.Verdict = verdict.MayHaveRun
		ve.Message += "; repeat the apply with the same operation to find out"
	}
	return ve
}

// prepare stores everything that the next head names. It also tells whether
// that is a new snapshot.
func (st Store) prepare(ctx context.Context, hd chain.Head, now *intent.Config, ap ApplyRequest) (Update, bool, error) {
	en, err := chain.NewEntry(hd, ap.Change, ap.Operation, ap.Operator)
	if err != nil {
		return Update{}, false, err
	}
	digest, err := st.put(ctx, entriesPrefix, en)
	if err != nil {
		return Update{}, false, err
	}
	next := hd.Next(en, digest)
	snapshot := next.Revision-hd.SnapshotRevision > chain.SnapshotEvery
	if snapshot {
		err = st.putSnapshot(ctx, now, &next)
	}
	return Update{Head: next, Entries: []chain.Entry{en}}, snapshot, err
}

func (st Store) swapHead(ctx context.Context, hd chain.Head, rev uint64) error {
	raw, err := json.Marshal(hd)
	if err != nil {
		return eris.Wrap(err, HeadKey)
	}
	_, err = st.KV.Put(ctx, HeadKey, raw, rev, "")
	return err
}

func (st Store) putSnapshot(ctx context.Context, now *intent.Config, hd *chain.Head) error {
	pieces, err := chain.Pieces(now)
	if err != nil {
		return err
	}
	hd.Snapshot = nil
	hd.SnapshotRevision = now.Revision
	for _, pc := range pieces {
		digest, err := st.put(ctx, piecesPrefix, pc)
		if err != nil {
			return err
		}
		hd.Snapshot = append(hd.Snapshot, digest)
	}
	return nil
}

// put stores an immutable value under its digest. A conflict means that it is
// there already.
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

// Prune deletes entries and pieces that no head from the last snapshot on
// needs, and returns how many. Entries newer than keep revisions before the
// snapshot stay, for daemons that are a little behind.
func (st Store) Prune(ctx context.Context, hd chain.Head) (int, error) {
	entries, err := st.KV.List(ctx, entriesPrefix)
	if err != nil {
		return 0, err
	}
	pruned := 0
	for _, kv := range entries {
		var en chain.Entry
		if json.Unmarshal(kv.Value, &en) != nil || en.Revision+chain.SnapshotEvery >= hd.SnapshotRevision {
			continue
		}
		if err := st.KV.Delete(ctx, kv.Key, kv.Revision); err != nil {
			return pruned, err
		}
		pruned++
	}
	pieces, err := st.KV.List(ctx, piecesPrefix)
	if err != nil {
		return pruned, err
	}
	for _, kv := range pieces {
		var pc chain.Piece
		used := slices.Contains(hd.Snapshot, strings.TrimPrefix(kv.Key, piecesPrefix))
		if used || json.Unmarshal(kv.Value, &pc) != nil || pc.Revision >= hd.SnapshotRevision {
			continue
		}
		if err := st.KV.Delete(ctx, kv.Key, kv.Revision); err != nil {
			return pruned, err
		}
		pruned++
	}
	return pruned, nil
}
