package claims

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"corianderhub.dev/corianderhub/internal/core/claim"
	"corianderhub.dev/corianderhub/internal/platform"
)

// errRestored means that the key-value service has been restored from a copy since the slices were
// read. They must be read again.
var errRestored = errors.New("claims: the key-value service was restored")

// storedSlice is a slice with its key and revision in the key-value service.
type storedSlice struct {
	key      string
	num      int
	revision uint64
	slice    claim.Slice
}

// list reads the entries of the shard and returns the era that they were read in.
func (sh *shard) list(ctx context.Context) ([]platform.Entry, uint64, error) {
	for range maxTries {
		era := sh.store.Era()
		entries, err := sh.store.List(ctx, claim.ShardPrefix(sh.num))
		if err != nil {
			return nil, 0, err
		}
		if sh.store.Era() == era {
			return entries, era, nil
		}
	}
	return nil, 0, errRestored
}

// decodeSlices returns the slices in ascending order of their numbers.
func decodeSlices(entries []platform.Entry) ([]storedSlice, error) {
	var decoded []storedSlice
	for _, en := range entries {
		num, err := strconv.Atoi(en.Key[strings.LastIndexByte(en.Key, '/')+1:])
		if err != nil {
			return nil, eris.Wrap(err, "claims "+en.Key)
		}
		sl, err := claim.Decode(en.Value)
		if err != nil {
			return nil, eris.Wrap(err, "claims "+en.Key)
		}
		decoded = append(decoded, storedSlice{en.Key, num, en.Revision, sl})
	}
	slices.SortFunc(decoded, func(a, b storedSlice) int { return cmp.Compare(a.num, b.num) })
	return decoded, nil
}

// applyTo executes a batch on the open slice.
func (sh *shard) applyTo(sl *claim.Slice, batchOps []claim.Op) ([]claim.Result, bool) {
	if wait := sh.heldUntil.Sub(sh.clock.Now()); wait > 0 {
		return sl.ApplyHeld(batchOps, wait)
	}
	return sl.Apply(batchOps)
}

// eraLog holds what this daemon knows of the eras of the key-value service.
type eraLog struct {
	mu sync.Mutex
	// recorded maps an era to the time in its stored record, and noticed to the time when this
	// daemon saw it begin.
	recorded, noticed map[uint64]time.Time
}

// holdEnd returns the end of claim.HoldTime in an era. In era 0 nothing has been restored. The first
// daemon that needs it stores the beginning of the era, so that daemons which start later need not wait.
func (bo *Registry) holdEnd(ctx context.Context, era uint64) (time.Time, error) {
	if era == 0 {
		return time.Time{}, nil
	}
	bo.eras.mu.Lock()
	defer bo.eras.mu.Unlock()
	since, ok := bo.eras.recorded[era]
	if !ok {
		var err error
		if since, err = bo.recordEra(ctx, era); err != nil {
			return time.Time{}, err
		}
		bo.eras.recorded = map[uint64]time.Time{era: since}
	}
	if noticed := bo.eras.noticed[era]; noticed.After(since) {
		since = noticed
	}
	return since.Add(claim.HoldTime), nil
}

// recordEra stores the current time as the beginning of an era unless one is stored, and returns
// the stored one.
func (bo *Registry) recordEra(ctx context.Context, era uint64) (time.Time, error) {
	raw, err := json.Marshal(claim.Era{Since: bo.Clock.Now()})
	if err != nil {
		return time.Time{}, eris.Wrap(err, "claims")
	}
	_, err = bo.Store.Put(ctx, claim.EraKey(era), raw, 0, "")
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		return time.Time{}, err
	}
	en, err := bo.Store.Get(ctx, claim.EraKey(era))
	if err != nil {
		return time.Time{}, err
	}
	if platform.EraOf(en.Revision) != era {
		return time.Time{}, errRestored
	}
	var record claim.Era
	err = json.Unmarshal(en.Value, &record)
	return record.Since, eris.Wrap(err, "claims "+en.Key)
}

// notice notes when this daemon saw an era begin.
func (el *eraLog) notice(era uint64, at time.Time) {
	el.mu.Lock()
	defer el.mu.Unlock()
	el.noticed = map[uint64]time.Time{era: at}
}

// storeEra stores the beginning of an era, with retries, so that the hold runs from now also for shards
// that are used later.
func (bo *Registry) storeEra(ctx context.Context, era uint64) {
	bo.retry(ctx, func(ctx context.Context) bool {
		_, err := bo.holdEnd(ctx, era)
		return err == nil || bo.Store.Era() != era
	})
}
