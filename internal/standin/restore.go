package standin

import (
	"maps"
)

// storeCopy is the state that a Store is restored to.
type storeCopy struct {
	values   map[string]storedValue
	leases   map[string]lease
	revision uint64
}

// Copy keeps a copy of the store for Restore.
func (st *Store) Copy() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.saved = storeCopy{maps.Clone(st.values), maps.Clone(st.leases), st.revision}
}

// Restore returns the store to its last copy: writes and leases since then are gone, and their
// numbers are given out again, in the next era.
func (st *Store) Restore() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.values, st.leases, st.revision = maps.Clone(st.saved.values), maps.Clone(st.saved.leases), st.saved.revision
	st.era++
	close(st.changed)
	st.changed = make(chan struct{})
}
