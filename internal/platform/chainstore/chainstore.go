// Package chainstore stores the chain of configurations, package core/chain, in the
// platform's key-value service.
package chainstore

import (
	"context"
	"encoding/json"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/chain"
	"corianderhub.dev/corianderhub/internal/core/intent"
	"corianderhub.dev/corianderhub/internal/platform"
)

// Keys of the chain in the key-value service.
const (
	HeadKey       = "config/head"
	entriesPrefix = "config/entries/"
	piecesPrefix  = "config/pieces/"
)

// Store reads and writes the chain. Set the fields before use.
type Store struct {
	KV    platform.Store
	Clock clock.Clock
}

// Head reads the current head and its revision in the key-value service, which is 0
// before the first apply.
func (st Store) Head(ctx context.Context) (chain.Head, uint64, error) {
	en, err := st.KV.Get(ctx, HeadKey)
	if err != nil || en.Revision == 0 {
		return chain.Head{}, 0, err
	}
	var hd chain.Head
	err = json.Unmarshal(en.Value, &hd)
	return hd, en.Revision, eris.Wrap(err, HeadKey)
}

// Update holds the changes from one configuration to that of a head.
type Update struct {
	Head chain.Head
	// Snapshot is set if the entries do not reach back to the earlier configuration.
	Snapshot *intent.Config
	// Entries are in ascending order of revision.
	Entries []chain.Entry
}

// UpdateSince reads the changes that follow revision after, up to the head.
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

// content reads an immutable value and verifies it against its digest.
func (st Store) content(ctx context.Context, prefix, digest string, into any) error {
	en, err := st.KV.Get(ctx, prefix+digest)
	if err != nil {
		return err
	}
	if chain.Digest(en.Value) != digest {
		return eris.Errorf("%s%s: value is missing or does not match its digest", prefix, digest)
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

// ApplyTo returns the result of the update on cfg. It skips entries that cfg already
// contains.
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

// Prune deletes entries and pieces that are older than the last snapshot and that no
// later head refers to, and returns their number. It keeps the entries of the last
// chain.SnapshotEvery revisions before the snapshot, for daemons that lag slightly
// behind.
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
