// Package claim provides at-most-once execution of requests that must not be
// repeated. Before such a request is dispatched, its key is claimed in a slice,
// a value of the platform's key-value service. Compare-and-swap on that value
// decides which of several daemons may dispatch. A claim is released only if
// the request certainly did not run, so if a daemon fails between the claim and
// the response, the key is never dispatched again.
//
// The keys are sharded by the hash of workspace and key, and each shard is a
// sequence of slices. A full slice is sealed by compare-and-swap before the
// next one is created. At most one slice of a shard therefore accepts claims at
// any time, independent of clocks.
//
// The service may be restored from a copy, without the claims since the copy was
// made. Slices are therefore numbered anew in each era, and a write counts only if it
// is made in the slice's own era. The daemons write the claims that they remember
// again; until HoldTime has passed, a key that is not known is not granted.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Shards is the number of shards that the keys are distributed over. It is a
// constant because daemons with different values would look up a key in
// different shards.
const Shards = 32

// A slice is sealed when it holds SliceClaims claims or more than SliceBytes
// encoded bytes. Outcomes are recorded in sealed slices too, so SliceClaims
// also keeps a slice below the platform's value limit: with a last batch of
// MaxBatch and all outcomes at their maximum size, a slice has 640 KB.
const (
	SliceClaims = 256
	SliceBytes  = 64 << 10
	MaxBatch    = 128
)

// MaxOutcomeBytes is the largest response body that is recorded. Of a larger
// one only the status is recorded.
const MaxOutcomeBytes = 1 << 10

// Retention is how long a key is kept after its slice was sealed. A request
// that repeats the key later is treated as new.
const Retention = 7 * 24 * time.Hour

// HoldTime is how long the keys that a shard does not hold are not granted after a restore. The
// daemons need a few seconds of it to write their claims again. All of it covers the time limit that
// calls have by default, so that a repeat whose claim no daemon remembers is not dispatched either.
const HoldTime = 30 * time.Second

// State is the state of a claimed request.
type State string

// States of a claim.
const (
	// Claimed means that the request has been or is about to be dispatched. It
	// may run.
	Claimed State = "claimed"
	// Done means that the request ran and its outcome is recorded.
	Done State = "done"
)

// Outcome is the recorded response of a request that ran.
type Outcome struct {
	Status      int    `json:"status" cbor:"1,keyasint"`
	ContentType string `json:"content-type,omitempty" cbor:"2,keyasint,omitempty"`
	Body        []byte `json:"body,omitempty" cbor:"3,keyasint,omitempty"`
	// Omitted means that the body was larger than MaxOutcomeBytes and was not
	// recorded.
	Omitted bool `json:"omitted,omitempty" cbor:"4,keyasint,omitempty"`
}

// Claim is the entry of one key in a slice.
type Claim struct {
	// Holder identifies the attempt that made the claim.
	Holder string `json:"holder"`
	// Others identifies further attempts that the key was granted to. A restored copy may hold the
	// claim of an earlier attempt, whose release it lacks.
	Others []string `json:"others,omitempty"`
	// Fingerprint is the fingerprint of the request. A request that reuses the
	// key with another fingerprint is refused.
	Fingerprint string   `json:"print"`
	State       State    `json:"state"`
	Outcome     *Outcome `json:"outcome,omitempty"`
}

// heldBy reports whether an attempt holds the claim.
func (cl Claim) heldBy(holder string) bool {
	return cl.Holder == holder || slices.Contains(cl.Others, holder)
}

// Slice is the value stored under one SliceKey.
type Slice struct {
	Sealed bool `json:"sealed,omitempty"`
	// SealedAt is the time of sealing, from which Retention counts.
	SealedAt time.Time        `json:"sealed-at,omitzero"`
	Claims   map[string]Claim `json:"claims"`
}

// Key identifies a non-repeatable request.
type Key struct {
	Shard int
	// Hash is the digest of workspace and key. The key itself is not stored,
	// because it may be an account number.
	Hash string
}

// hashBytes is the number of digest bytes kept in keys and fingerprints.
const hashBytes = 16

// NewKey returns the key of a request with the given idempotency key.
func NewKey(workspace, key string) Key {
	sum := sha256.Sum256([]byte(workspace + "\x00" + key))
	return Key{Shard: int(sum[31]) % Shards, Hash: hex.EncodeToString(sum[:hashBytes])}
}

// Fingerprint returns a digest of the request's method, path and body.
func Fingerprint(method, path string, body []byte) string {
	sum := sha256.Sum256(append([]byte(method+" "+path+"\x00"), body...))
	return hex.EncodeToString(sum[:hashBytes])
}

// SliceKey returns the key of a slice in the platform's key-value service.
func SliceKey(shard, slice int) string { return fmt.Sprintf("claims/%02d/%08d", shard, slice) }

// eraBits is the part of a slice's number that counts within an era.
const eraBits = 32

// FirstSlice returns the number of the first slice of an era of the key-value service.
func FirstSlice(era uint64) int { return int(era << eraBits) }

// SliceEra returns the era of a slice. Claims are made in slices of the service's current era only.
func SliceEra(slice int) uint64 { return uint64(slice) >> eraBits }

// Era is the value stored under EraKey.
type Era struct {
	// Since is when a daemon first found the service in the era. HoldTime runs from it.
	Since time.Time `json:"since"`
}

// EraKey returns the key of an era's record in the platform's key-value service.
func EraKey(era uint64) string { return fmt.Sprintf("claims/eras/%08d", era) }

// ShardPrefix returns the common prefix of the platform keys of a shard's
// slices.
func ShardPrefix(shard int) string { return fmt.Sprintf("claims/%02d/", shard) }

// Kind is the type of an operation.
type Kind uint8

// Kinds of operations.
const (
	// Acquire claims the key.
	Acquire Kind = iota + 1
	// Release removes the claim of a request that certainly did not run.
	Release
	// Record stores the outcome of a request that ran.
	Record
	// Reclaim stores a granted claim, with its outcome if there is one. If the key is
	// claimed, it adds the holder and the outcome.
	Reclaim
	// Remember keeps a granted claim in memory, with its outcome if there is one, for
	// Reclaim.
	Remember
	// RememberRelease keeps the release of a remembered claim in memory instead.
	RememberRelease
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

// ResultCode is the result code of an operation.
type ResultCode uint8

// Results of an operation.
const (
	// Granted means that the caller holds the claim and may dispatch the
	// request once.
	Granted ResultCode = iota + 1
	// Duplicate means that another attempt, which may have run, holds the
	// claim.
	Duplicate
	// Finished means that the request ran and its outcome is recorded.
	Finished
	// Mismatch means that the key was used for another request.
	Mismatch
	// Applied means that the release or the outcome is stored.
	Applied
	// NotFound means that there is no such claim to release or to record an
	// outcome for.
	NotFound
	// Unavailable means that the operation is not stored, or that its result is
	// unknown.
	Unavailable
	// Unproven means that the key-value service was restored from a copy, and that
	// a claim of the key may have been lost. The request may have run.
	Unproven
)

// Result holds the result code of an operation. Outcome is set if Code is Finished, and
// RetryAfter if Code is Unproven.
type Result struct {
	Code       ResultCode    `cbor:"1,keyasint"`
	Outcome    *Outcome      `cbor:"2,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
}

// Lookup returns the result of an Acquire if the slice already holds the key.
func (sl Slice) Lookup(op Op) (Result, bool) {
	cl, ok := sl.Claims[op.Hash]
	switch {
	case !ok:
		return Result{}, false
	case cl.Fingerprint != op.Fingerprint:
		return Result{Code: Mismatch}, true
	case cl.State == Done:
		return Result{Code: Finished, Outcome: cl.Outcome}, true
	case cl.heldBy(op.Holder):
		// An earlier write of the same holder succeeded, but its response was
		// lost.
		return Result{Code: Granted}, true
	}
	return Result{Code: Duplicate}, true
}

// Apply executes a batch of operations on the slice in place. It returns one
// result for each operation and whether the slice changed. The caller must
// already have looked up each Acquire and Reclaim in the older slices. An Acquire on a
// sealed slice that does not hold the key returns the zero Result, and so does a
// Reclaim: it belongs in the next slice.
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

// ApplyHeld is Apply until HoldTime has passed: an Acquire of a key that the slice does not
// hold returns Unproven, and wait as RetryAfter.
func (sl *Slice) ApplyHeld(ops []Op, wait time.Duration) ([]Result, bool) {
	results := make([]Result, len(ops))
	changed := false
	for i, op := range ops {
		if _, known := sl.Lookup(op); op.Kind == Acquire && !known {
			results[i] = Result{Code: Unproven, RetryAfter: wait}
			continue
		}
		one, did := sl.Apply([]Op{op})
		results[i] = one[0]
		changed = changed || did
	}
	return results, changed
}

// apply executes one operation. It returns the result and whether the slice
// changed.
func (sl *Slice) apply(op Op) (Result, bool) {
	switch op.Kind {
	case Acquire:
		return sl.acquire(op)
	case Release:
		return sl.release(op)
	case Record:
		return sl.record(op)
	case Reclaim:
		return sl.reclaim(op)
	}
	return Result{Code: Unavailable}, false
}

func (sl *Slice) release(op Op) (Result, bool) {
	cl, ok := sl.Claims[op.Hash]
	if !ok || !cl.heldBy(op.Holder) || cl.State != Claimed {
		return Result{Code: NotFound}, false
	}
	holders := slices.DeleteFunc(append([]string{cl.Holder}, cl.Others...), func(holder string) bool { return holder == op.Holder })
	if len(holders) == 0 {
		delete(sl.Claims, op.Hash)
		return Result{Code: Applied}, true
	}
	cl.Holder, cl.Others = holders[0], holders[1:]
	sl.Claims[op.Hash] = cl
	return Result{Code: Applied}, true
}

func (sl *Slice) record(op Op) (Result, bool) {
	cl, ok := sl.Claims[op.Hash]
	if !ok || !cl.heldBy(op.Holder) || cl.State != Claimed {
		return Result{Code: NotFound}, false
	}
	cl.State = Done
	cl.Outcome = op.Outcome
	sl.Claims[op.Hash] = cl
	return Result{Code: Applied}, true
}

func (sl *Slice) reclaim(op Op) (Result, bool) {
	if cl, ok := sl.Claims[op.Hash]; ok {
		return Result{Code: Applied}, sl.addHolder(cl, op)
	}
	if sl.Sealed {
		return Result{}, false
	}
	cl := Claim{Holder: op.Holder, Fingerprint: op.Fingerprint, State: Claimed, Outcome: op.Outcome}
	if op.Outcome != nil {
		cl.State = Done
	}
	sl.Claims[op.Hash] = cl
	return Result{Code: Applied}, true
}

// addHolder adds the holder of a Reclaim, and its outcome, to a claim that exists. It reports whether
// the claim changed.
func (sl *Slice) addHolder(cl Claim, op Op) bool {
	if cl.State != Claimed {
		return false
	}
	changed := !cl.heldBy(op.Holder)
	if changed {
		cl.Others = append(slices.Clone(cl.Others), op.Holder)
		sl.Claims[op.Hash] = cl
	}
	if op.Outcome != nil {
		_, changed = sl.record(op)
	}
	return changed
}

func (sl *Slice) acquire(op Op) (Result, bool) {
	if res, ok := sl.Lookup(op); ok {
		return res, false
	}
	if sl.Sealed {
		return Result{}, false
	}
	sl.Claims[op.Hash] = Claim{Holder: op.Holder, Fingerprint: op.Fingerprint, State: Claimed}
	return Result{Code: Granted}, true
}

// Encode returns the stored form of the slice.
func (sl Slice) Encode() ([]byte, error) { return json.Marshal(sl) }

// Decode decodes the stored form of a slice.
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

// Full reports whether the slice has to be sealed. encoded is its encoded size
// in bytes.
func (sl Slice) Full(encoded int) bool {
	return len(sl.Claims) >= SliceClaims || encoded > SliceBytes
}

// Expired reports whether the slice may be deleted.
func (sl Slice) Expired(now time.Time) bool {
	return sl.Sealed && now.Sub(sl.SealedAt) > Retention
}
