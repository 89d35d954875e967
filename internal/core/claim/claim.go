// Package claim makes work that must not repeat run at most once. Before such
// a request is dispatched its key is claimed in a page of the platform's
// key-value service; compare-and-swap on the page decides which of several
// daemons may dispatch. The claim is never taken back unless the request
// certainly did not run, so a daemon that dies between claim and answer
// leaves a key that nobody dispatches again.
//
// Pages are sharded by the hash of workspace and key, and each shard is a
// sequence of slices. A full slice is sealed by compare-and-swap before the
// next one is created, so at any moment at most one slice of a shard takes
// claims, whatever any clock says.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"
)

// Shards is how many shards the keys are spread over. It is fixed: daemons
// that disagreed would look for a key in different places.
const Shards = 32

// A slice is sealed when it holds SliceClaims claims or SliceBytes encoded
// bytes. Outcomes are recorded in sealed slices too, so the first bound keeps
// a slice below the platform's value limit: with a last batch of MaxBatch and
// every outcome at its largest a slice has 640 KB.
const (
	SliceClaims = 256
	SliceBytes  = 64 << 10
	MaxBatch    = 128
)

// MaxOutcomeBytes is the largest answer body that is recorded. A larger one
// is recorded by its status alone.
const MaxOutcomeBytes = 1 << 10

// Retention is how long a key is remembered after its slice was sealed. A key
// that comes again later is taken as new.
const Retention = 7 * 24 * time.Hour

// State is what is known of a claimed request.
type State string

// States of a claim.
const (
	// Claimed: dispatched or about to be; it may run.
	Claimed State = "claimed"
	// Done: it ran and the outcome is recorded.
	Done State = "done"
)

// Outcome is the recorded answer of a request that ran.
type Outcome struct {
	Status      int    `json:"status" cbor:"1,keyasint"`
	ContentType string `json:"content-type,omitempty" cbor:"2,keyasint,omitempty"`
	Body        []byte `json:"body,omitempty" cbor:"3,keyasint,omitempty"`
	// Omitted means that the body was too large to record.
	Omitted bool `json:"omitted,omitempty" cbor:"4,keyasint,omitempty"`
}

// Claim is one key in a slice.
type Claim struct {
	// Holder identifies the attempt that made the claim.
	Holder string `json:"holder"`
	// Print is the fingerprint of the request: the same key with another
	// request is refused.
	Fingerprint string   `json:"print"`
	State       State    `json:"state"`
	Outcome     *Outcome `json:"outcome,omitempty"`
}

// Slice is the value of one page.
type Slice struct {
	Sealed bool `json:"sealed,omitempty"`
	// SealedAt dates the retention.
	SealedAt time.Time        `json:"sealed-at,omitzero"`
	Claims   map[string]Claim `json:"claims"`
}

// Key identifies a non-repeatable request.
type Key struct {
	Shard int
	// Hash is the digest of workspace and key; the key itself, which may be
	// an account number, is not stored.
	Hash string
}

const hashBytes = 16

// NewKey returns the key of a request with that idempotency key.
func NewKey(workspace, key string) Key {
	sum := sha256.Sum256([]byte(workspace + "\x00" + key))
	return Key{Shard: int(sum[31]) % Shards, Hash: hex.EncodeToString(sum[:hashBytes])}
}

// Fingerprint identifies the content of a request.
func Fingerprint(method, path string, body []byte) string {
	sum := sha256.Sum256(append([]byte(method+" "+path+"\x00"), body...))
	return hex.EncodeToString(sum[:hashBytes])
}

// SliceKey returns the platform key of a slice.
func SliceKey(shard, slice int) string { return fmt.Sprintf("claims/%02d/%08d", shard, slice) }

// ShardPrefix begins the platform keys of a shard's slices.
func ShardPrefix(shard int) string { return fmt.Sprintf("claims/%02d/", shard) }

// Kind is what an operation does.
type Kind uint8

// Kinds of operation.
const (
	// Acquire claims the key.
	Acquire Kind = iota + 1
	// Release gives back the claim of a request that certainly did not run.
	Release
	// Record stores the outcome of a request that ran.
	Record
)

// Op is one operation on a claim.
type Op struct {
	Kind        Kind     `cbor:"1,keyasint"`
	Shard       int      `cbor:"2,keyasint"`
	Hash        string   `cbor:"3,keyasint"`
	Holder      string   `cbor:"4,keyasint"`
	Fingerprint string   `cbor:"5,keyasint,omitempty"`
	Outcome     *Outcome `cbor:"6,keyasint,omitempty"`
}

// Answer is what an operation came to.
type Answer uint8

// Answers to an operation.
const (
	// Granted: the claim is ours and the request may be dispatched once.
	Granted Answer = iota + 1
	// Duplicate: the key is claimed by another attempt that may have run.
	Duplicate
	// Finished: the key ran and its outcome is known.
	Finished
	// Mismatch: the key was used for another request.
	Mismatch
	// Applied: the release or record is stored.
	Applied
	// Gone: there is no such claim to release or record.
	NotFound
	// Unavailable: the operation is not stored, or not known to be.
	Unavailable
)

// Result is the answer to an operation.
type Result struct {
	Answer  Answer   `cbor:"1,keyasint"`
	Outcome *Outcome `cbor:"2,keyasint,omitempty"`
}

// Lookup returns the answer to an Acquire if the slice already holds the key.
func (sl Slice) Lookup(op Op) (Result, bool) {
	cl, ok := sl.Claims[op.Hash]
	switch {
	case !ok:
		return Result{}, false
	case cl.Fingerprint != op.Fingerprint:
		return Result{Answer: Mismatch}, true
	case cl.State == Done:
		return Result{Answer: Finished, Outcome: cl.Outcome}, true
	case cl.Holder == op.Holder:
		// Our own earlier write whose answer was lost.
		return Result{Answer: Granted}, true
	}
	return Result{Answer: Duplicate}, true
}

// Apply carries out a batch of operations on the slice in place. It returns
// a result for each, and whether the slice changed. An Acquire must have been
// looked up in the older slices before. An Acquire on a sealed slice that
// does not hold the key yields no result (Answer 0): it belongs to the next.
func (sl *Slice) Apply(ops []Op) ([]Result, bool) {
	if sl.Claims == nil {
		sl.Claims = make(map[string]Claim)
	}
	results := make([]Result, len(ops))
	changed := false
	for i, op := range ops {
		did := false
		results[i], did = sl.apply(op)
		changed = changed || did
	}
	return results, changed
}

func (sl *Slice) apply(op Op) (Result, bool) {
	switch op.Kind {
	case Acquire:
		return sl.acquire(op)
	case Release:
		cl, ok := sl.Claims[op.Hash]
		if !ok || cl.Holder != op.Holder || cl.State != Claimed {
			return Result{Answer: NotFound}, false
		}
		delete(sl.Claims, op.Hash)
		return Result{Answer: Applied}, true
	case Record:
		cl, ok := sl.Claims[op.Hash]
		if !ok || cl.Holder != op.Holder || cl.State != Claimed {
			return Result{Answer: NotFound}, false
		}
		cl.State = Done
		cl.Outcome = op.Outcome
		sl.Claims[op.Hash] = cl
		return Result{Answer: Applied}, true
	}
	return Result{Answer: Unavailable}, false
}

func (sl *Slice) acquire(op Op) (Result, bool) {
	if res, ok := sl.Lookup(op); ok {
		return res, false
	}
	if sl.Sealed {
		return Result{}, false
	}
	sl.Claims[op.Hash] = Claim{Holder: op.Holder, Fingerprint: op.Fingerprint, State: Claimed}
	return Result{Answer: Granted}, true
}

// Encode returns the stored form of the slice.
func (sl Slice) Encode() ([]byte, error) { return json.Marshal(sl) }

// Decode reads the stored form of a slice.
func Decode(raw []byte) (Slice, error) {
	var sl Slice
	err := json.Unmarshal(raw, &sl)
	if sl.Claims == nil {
		sl.Claims = make(map[string]Claim)
	}
	return sl, err
}

// Seal closes the slice for new claims.
func (sl *Slice) Seal(now time.Time) {
	sl.Sealed = true
	sl.SealedAt = now
}

// Full tells whether the slice has to be sealed.
func (sl Slice) Full(encoded int) bool {
	return len(sl.Claims) >= SliceClaims || encoded > SliceBytes
}

// Expired tells whether the slice may be deleted.
func (sl Slice) Expired(now time.Time) bool {
	return sl.Sealed && now.Sub(sl.SealedAt) > Retention
}
