package standin

import (
	"context"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/platform"
)

// StoreFaults are the faults that a Store can inject.
type StoreFaults struct {
	// Down fails every call with platform.ErrUnavailable.
	Down bool `json:"down"`
	// DropResponses is the number of writes that take effect and fail with
	// platform.ErrUnknown.
	DropResponses int `json:"lose-answers"`
	// DropWrites is the number of puts that fail with platform.ErrUnknown and have
	// no effect.
	DropWrites int `json:"lose-writes"`
}

// storedValue is the value of a key, with the revision of its last write and the ID of
// its lease, if any.
type storedValue struct {
	value    []byte
	revision uint64
	lease    string
}

// lease is a granted lease. It lapses at expires unless it is renewed.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is an in-memory test double of the platform's key-value service. It
// implements platform.Store for tests without sockets; Platform serves it over
// HTTP. Create it with NewStore.
type Store struct {
	clock clock.Clock

	mu       sync.Mutex
	faults   StoreFaults
	values   map[string]storedValue
	leases   map[string]lease
	revision uint64
	changed  chan struct{}
	calls    map[string]int
	saved    storeCopy
	// era counts the restores.
	era uint64
}

var _ platform.Store = (*Store)(nil)

// NewStore returns an empty store whose leases expire by the given clock.
func NewStore(cl clock.Clock) *Store {
	return &Store{clock: cl, values: make(map[string]storedValue), leases: make(map[string]lease),
		changed: make(chan struct{}), calls: make(map[string]int)}
}

// SetFaults replaces all injected faults.
func (st *Store) SetFaults(sf StoreFaults) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.faults = sf
}

// Calls returns the number of calls since the store was created, by kind.
func (st *Store) Calls() map[string]int {
	st.mu.Lock()
	defer st.mu.Unlock()
	calls := make(map[string]int, len(st.calls))
	for kind, num := range st.calls {
		calls[kind] = num
	}
	return calls
}

// beginCall counts a call and drops expired leases. It returns
// platform.ErrUnavailable if the store is down. Callers hold mu.
func (st *Store) beginCall(kind string) error {
	st.calls[kind]++
	now := st.clock.Now()
	for id, le := range st.leases {
		if now.After(le.expires) {
			st.dropLease(id)
		}
	}
	if st.faults.Down {
		return platform.ErrUnavailable
	}
	return nil
}

// dropLease deletes a lease and all keys attached to it. Callers hold mu.
func (st *Store) dropLease(id string) {
	delete(st.leases, id)
	for key, sv := range st.values {
		if sv.lease == id {
			delete(st.values, key)
			st.bumpRevision()
		}
	}
}

// bumpRevision increments the store's revision, wakes all watches and returns the number of the
// new revision. Callers hold mu.
func (st *Store) bumpRevision() uint64 {
	st.revision++
	close(st.changed)
	st.changed = make(chan struct{})
	return st.revision
}

// revisionOf returns the revision at which key is read. Callers hold mu.
func (st *Store) revisionOf(key string) uint64 {
	return platform.NewRevision(st.era, st.values[key].revision)
}

// responseError returns platform.ErrUnknown if DropResponses applies to a write that
// took effect, and counts it. Callers hold mu.
func (st *Store) responseError() error {
	if st.faults.DropResponses == 0 {
		return nil
	}
	st.faults.DropResponses--
	return platform.ErrUnknown
}

// Get implements platform.Store.
func (st *Store) Get(_ context.Context, key string) (platform.Entry, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if err := st.beginCall("get"); err != nil {
		return platform.Entry{}, err
	}
	return platform.Entry{Key: key, Value: st.values[key].value, Revision: st.revisionOf(key)}, nil
}

// List implements platform.Store.
func (st *Store) List(_ context.Context, prefix string) ([]platform.Entry, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if err := st.beginCall("list"); err != nil {
		return nil, err
	}
	return st.entries(prefix, 0), nil
}

// entries returns the entries with a prefix that were written after a revision, sorted
// by key. Callers hold mu.
func (st *Store) entries(prefix string, after uint64) []platform.Entry {
	entries := []platform.Entry{}
	for key, sv := range st.values {
		if rev := st.revisionOf(key); strings.HasPrefix(key, prefix) && rev > after {
			entries = append(entries, platform.Entry{Key: key, Value: sv.value, Revision: rev})
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	return entries
}

// Put implements platform.Store.
func (st *Store) Put(_ context.Context, key string, value []byte, ifRev uint64, leaseID string) (uint64, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if err := st.beginCall("put"); err != nil {
		return 0, err
	}
	if len(value) > platform.MaxValueBytes {
		return 0, eris.Errorf("%s: value of %d bytes exceeds the limit", key, len(value))
	}
	if st.faults.DropWrites > 0 {
		st.faults.DropWrites--
		return 0, platform.ErrUnknown
	}
	_, leased := st.leases[leaseID]
	if st.revisionOf(key) != ifRev || leaseID != "" && !leased {
		return 0, platform.ErrConflict
	}
	st.values[key] = storedValue{value: append([]byte(nil), value...), revision: st.bumpRevision(), lease: leaseID}
	return st.revisionOf(key), st.responseError()
}

// Delete implements platform.Store.
func (st *Store) Delete(_ context.Context, key string, ifRev uint64) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	if err := st.beginCall("delete"); err != nil {
		return err
	}
	if st.revisionOf(key) != ifRev {
		return platform.ErrConflict
	}
	delete(st.values, key)
	st.bumpRevision()
	return st.responseError()
}

// Watch implements platform.Store.
func (st *Store) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		st.mu.Lock()
		if err := st.beginCall("watch"); err != nil {
			st.mu.Unlock()
			return err
		}
		written := len(st.entries(prefix, after)) > 0
		changed := st.changed
		st.mu.Unlock()
		if written {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// Grant implements platform.Store.
func (st *Store) Grant(_ context.Context, ttl time.Duration) (string, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if err := st.beginCall("lease"); err != nil {
		return "", err
	}
	id := strconv.FormatUint(st.bumpRevision(), 10)
	st.leases[id] = lease{ttl: ttl, expires: st.clock.Now().Add(ttl)}
	return id, nil
}

// Renew implements platform.Store.
func (st *Store) Renew(_ context.Context, id string) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	if err := st.beginCall("lease"); err != nil {
		return err
	}
	le, ok := st.leases[id]
	if !ok {
		return platform.ErrConflict
	}
	le.expires = st.clock.Now().Add(le.ttl)
	st.leases[id] = le
	return nil
}

// Revoke implements platform.Store.
func (st *Store) Revoke(_ context.Context, id string) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	if err := st.beginCall("lease"); err != nil {
		return err
	}
	st.dropLease(id)
	return nil
}

// Era implements platform.Store.
func (st *Store) Era() uint64 {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.era
}
