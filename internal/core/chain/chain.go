// Package chain stores the configuration as an immutable chain of entries with
// one small mutable head. An apply writes its entry under the digest of its
// content, then updates the head by compare-and-swap. The head alone decides
// which of several concurrent operators succeeds, and its revision only grows.
//
// The service may be restored from a copy, which lacks the changes since. The first apply of an era
// goes on from the newest configuration that its daemon knows, at a revision above all of earlier
// eras. A daemon that knows changes which the new era lacks applies them again.
//
// An entry holds only the objects that changed, so the cost of a change depends
// on its own size and not on that of the configuration. Every SnapshotEvery
// revisions a snapshot of the whole configuration is written, in pieces below
// the platform's value limit, so that a starting daemon reads a bounded number
// of entries.
package chain

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"

	"github.com/rotisserie/eris"

	"corianderhub.dev/corianderhub/internal/core/intent"
)

// SnapshotEvery is the number of revisions between two snapshots.
const SnapshotEvery = 64

// PieceBytes is the target size of one piece of a snapshot, well below the
// platform's limit of a megabyte for one value.
const PieceBytes = 512 << 10

// MaxEntryBytes is the largest size of one change.
const MaxEntryBytes = 900 << 10

// eraBits is the part of a revision that counts within an era.
const eraBits = 32

// Base returns the first revision of an era, for a chain that was begun in era first.
func Base(first, era uint64) uint64 { return (era - first) << eraBits }

// Head identifies the newest entry. It is the only value of the configuration
// that is ever overwritten.
type Head struct {
	Revision uint64 `json:"revision"`
	// Entry is the digest of the entry of this revision.
	Entry string `json:"entry"`
	// Recent holds the most recent operations, newest first. An apply whose
	// response was lost reads it to find out whether it succeeded, even after
	// later applies.
	Recent []Operation `json:"recent"`
	// Snapshot lists the digests of the pieces of the newest snapshot.
	Snapshot []string `json:"snapshot,omitempty"`
	// SnapshotRevision is the revision that the snapshot holds.
	SnapshotRevision uint64 `json:"snapshot-revision"`
	// Era is the era of the key-value service in which the head was written, and FirstEra the
	// one in which the chain was begun.
	Era      uint64 `json:"era,omitempty"`
	FirstEra uint64 `json:"first-era,omitempty"`
}

// RecentOperations is the maximum number of operations in Head.Recent.
const RecentOperations = 64

// Operation identifies an apply and the revision that it created.
type Operation struct {
	ID       string `json:"id"`
	Revision uint64 `json:"revision"`
}

// Find returns the revision that the operation created, if it is among the
// recent ones.
func (hd Head) Find(id string) (uint64, bool) {
	for _, op := range hd.Recent {
		if op.ID == id {
			return op.Revision, true
		}
	}
	return 0, false
}

// Next returns the head that follows hd once en, stored under digest, is
// applied.
func (hd Head) Next(en Entry, digest string) Head {
	next := hd
	next.Revision = en.Revision
	next.Entry = digest
	next.Recent = append([]Operation{{ID: en.Operation, Revision: en.Revision}}, hd.Recent...)
	next.Recent = next.Recent[:min(len(next.Recent), RecentOperations)]
	return next
}

// Entry is one accepted change.
type Entry struct {
	Revision uint64 `json:"revision"`
	// Parent is the digest of the previous entry. It is empty for the first.
	Parent    string                     `json:"parent,omitempty"`
	Operation string                     `json:"operation"`
	Operator  string                     `json:"operator,omitempty"`
	Puts      map[string]json.RawMessage `json:"puts,omitempty"`
	Deletes   []string                   `json:"deletes,omitempty"`
}

// Piece is a part of a snapshot.
type Piece struct {
	Revision uint64 `json:"revision"`
	// Base and Continues are those of the configuration.
	Base      uint64                     `json:"base,omitempty"`
	Continues uint64                     `json:"continues,omitempty"`
	Puts      map[string]json.RawMessage `json:"puts"`
}

// Digest returns the content address of an encoded entry or piece.
func Digest(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

// NewEntry returns the entry that applies ch on top of head.
func NewEntry(head Head, ch intent.Change, operation, operator string) (Entry, error) {
	en := Entry{Revision: head.Revision + 1, Parent: head.Entry, Operation: operation, Operator: operator, Deletes: ch.Deletes}
	if len(ch.Puts) > 0 {
		en.Puts = make(map[string]json.RawMessage, len(ch.Puts))
	}
	for _, ob := range ch.Puts {
		raw, err := intent.Encode(ob)
		if err != nil {
			return Entry{}, err
		}
		en.Puts[ob.ID()] = raw
	}
	return en, nil
}

// Change decodes the change that the entry holds.
func (en Entry) Change() (intent.Change, error) {
	obs, err := decodeAll(en.Puts)
	return intent.Change{Puts: obs, Deletes: en.Deletes}, err
}

// IDs returns the sorted IDs of the objects that the entry puts or deletes.
func (en Entry) IDs() []string {
	ids := append(slices.Collect(maps.Keys(en.Puts)), en.Deletes...)
	slices.Sort(ids)
	return ids
}

// decodeAll decodes stored objects in the order of their IDs.
func decodeAll(puts map[string]json.RawMessage) ([]intent.Object, error) {
	var obs []intent.Object
	for _, id := range slices.Sorted(maps.Keys(puts)) {
		ob, err := intent.Decode(id, puts[id])
		if err != nil {
			return nil, err
		}
		obs = append(obs, ob)
	}
	return obs, nil
}

// Advance returns cfg with the entry applied. It returns an error if the entry
// does not directly follow cfg's revision, so that entries are never skipped or
// applied twice.
func Advance(cfg *intent.Config, en Entry) (*intent.Config, error) {
	if en.Revision != cfg.Revision+1 {
		return nil, eris.Errorf("entry of revision %d does not directly follow configuration revision %d", en.Revision, cfg.Revision)
	}
	ch, err := en.Change()
	if err != nil {
		return nil, err
	}
	return cfg.With(ch, en.Revision), nil
}

// Pieces splits cfg into the pieces of a snapshot.
func Pieces(cfg *intent.Config) ([]Piece, error) {
	var pieces []Piece
	newPiece := func() Piece {
		return Piece{Revision: cfg.Revision, Base: cfg.Base, Continues: cfg.Continues, Puts: map[string]json.RawMessage{}}
	}
	pc, size := newPiece(), 0
	for _, ob := range cfg.Objects() {
		raw, err := intent.Encode(ob)
		if err != nil {
			return nil, err
		}
		if size+len(raw) > PieceBytes && size > 0 {
			pieces = append(pieces, pc)
			pc, size = newPiece(), 0
		}
		pc.Puts[ob.ID()] = raw
		size += len(raw)
	}
	return append(pieces, pc), nil
}

// Join assembles a configuration from the pieces of a snapshot. It returns an
// error if the pieces are of different revisions.
func Join(pieces []Piece) (*intent.Config, error) {
	cfg := intent.New()
	for _, pc := range pieces {
		obs, err := decodeAll(pc.Puts)
		if err != nil {
			return nil, err
		}
		cfg = cfg.With(intent.Change{Puts: obs}, pc.Revision)
		cfg.Base, cfg.Continues = pc.Base, pc.Continues
	}
	for _, pc := range pieces {
		if pc.Revision != cfg.Revision {
			return nil, eris.New("snapshot pieces have different revisions")
		}
	}
	return cfg, nil
}
