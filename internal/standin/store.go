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

// StoreFaults are the faults a Store can be told to show.
type StoreFaults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// LoseAnswers is how many writes take effect without an answer.
	DropResponses int `json:"lose-answers"`
	// LoseWrites is how many writes fail without effect or answer.
	DropWrites int `json:"lose-writes"`
}

type storedValue struct {
	value    []byte
	revision uint64
	lease    string
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is the stand-in for the key-value service, in memory. It implements
// platform.Store for tests without sockets; Platform serves it over HTTP.
// Make it with NewStore.
type Store struct {
	clock clock.Clock

	mu       sync.Mutex
	faults   StoreFaults
	values   map[string]storedValue
	leases   map[string]lease
	revision uint64
	changed  chan struct{}
	calls    map[string]int
}

var _ platform.Store = (*Store)(nil)

// NewStore returns an empty store.
func NewStore(cl clock.Clock) *Store {
	return &Store{clock: cl, values: make(map[string]storedValue), leases: make(map[string]lease),
		changed: make(chan struct{}), calls: make(map[string]int)}
}

// SetFaults replaces the faults shown.
func (st *Store) SetFaults(sf StoreFaults) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.faults = sf
}

// Calls returns the number of calls by kind since the start.
func (st *Store) Calls() map[string]int {
	st.mu.Lock()
	defer st.mu.Unlock()
	calls := make(map[string]int, len(st.calls))
	for kind, num := range st.calls {
		calls[kind] = num
	}
	return calls
}

// begin counts a call and lets leases lapse. Callers hold mu.
func (st *Store) begin(kind string) error {
	st.calls[kind]++
	now := st.clock.Now()
	for id, le := range st.leases {
		if now.After(le.expires) {
			st.drop(id)
		}
	}
	if st.faults.Down {
		return platform.ErrUnavailable
	}
	return nil
}

func (st *Store) drop(id string) {
	delete(st.leases, id)
	for key, sv := range st.values {
		if sv.lease == id {
			delete(st.values, key)
			st.bump()
		}
	}
}

func (st *Store) bump() uint64 {
	st.revision++
	close(st.changed)
	st.changed = make(chan struct{})
	return st.revision
}

// lost tells whether the answer to a write that took effect is lost.
func (st *Store) lost() error {
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
	if err := st.begin("get"); err != nil {
		return platform.Entry{}, err
	}
	sv := st.values[key]
	return platform.Entry{Key: key, Value: sv.value, Revision: sv.revision}, nil
}

// List implements platform.Store.
func (st *Store) List(_ context.Context, prefix string) ([]platform.Entry, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if err := st.begin("list"); err != nil {
		return nil, err
	}
	return st.entries(prefix, 0), nil
}

func (st *Store) entries(prefix string, after uint64) []platform.Entry {
	entries := []platform.Entry{}
	for key, sv := range st.values {
		if strings.HasPrefix(key, prefix) && sv.revision > after {
			entries = append(entries, platform.Entry{Key: key, Value: sv.value, Revision: sv.revision})
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	return entries
}

// Put implements platform.Store.
func (st *Store) Put(_ context.Context, key string, value []byte, ifRev uint64, leaseID string) (uint64, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if err := st.begin("put"); err != nil {
		return 0, err
	}
	if len(value) > platform.MaxValueBytes {
		return 0, eris.Errorf("%s: %d bytes are too large", key, len(value))
	}
	if st.faults.DropWrites > 0 {
		st.faults.DropWrites--
		return 0, platform.ErrUnknown
	}
	_, leased := st.leases[leaseID]
	if st.values[key].revision != ifRev || leaseID != "" && !leased {
		return 0, platform.ErrConflict
	}
	rev := st.bump()
	st.values[key] = storedValue{value: append([]byte(nil), value...), revision: rev, lease: leaseID}
	return rev, st.lost()
}

// Delete implements platform.Store.
func (st *Store) Delete(_ context.Context, key string, ifRev uint64) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	if err := st.begin("delete"); err != nil {
		return err
	}
	if st.values[key].revision != ifRev {
		return platform.ErrConflict
	}
	delete(st.values, key)
	st.bump()
	return st.lost()
}

// Watch implements platform.Store.
func (st *Store) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		st.mu.Lock()
		if err := st.begin("watch"); err != nil {
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
	if err := st.begin("lease"); err != nil {
		return "", err
	}
	id := strconv.FormatUint(st.bump(), 10)
	st.leases[id] = lease{ttl: ttl, expires: st.clock.Now().Add(ttl)}
	return id, nil
}

// Renew implements platform.Store.
func (st *Store) Renew(_ context.Context, id string) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	if err := st.begin("lease"); err != nil {
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
	if err := st.begin("lease"); err != nil {
		return err
	}
	st.drop(id)
	return nil
}
