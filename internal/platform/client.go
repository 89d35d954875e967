package platform

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/platform"
)

// DefaultTimeout limits the duration of one call, except for calls that wait.
const DefaultTimeout = 2 * time.Second

// Client implements Store on the platform's store client, and VMList. Set the fields
// before the first call.
type Client struct {
	// Address is the address of the platform's API, as host:port.
	Address string
	// Timeout limits the duration of one call. Zero means DefaultTimeout.
	Timeout time.Duration
	// OnRestore, if set, is called when a response shows that the service has been restored from a
	// copy. It must not call the client.
	OnRestore func(before, era uint64)

	once  sync.Once
	store *platform.Store
}

var (
	_ Store  = (*Client)(nil)
	_ VMList = (*Client)(nil)
)

// kv returns the store client. The first call sets the default timeout and creates the
// client.
func (cl *Client) kv() *platform.Store {
	cl.once.Do(func() {
		if cl.Timeout == 0 {
			cl.Timeout = DefaultTimeout
		}
		cl.store = platform.NewStore(cl.Address, cl.Timeout)
		cl.store.OnRestore = func(before, era int64) {
			if cl.OnRestore != nil {
				cl.OnRestore(uint64(before), uint64(era))
			}
		}
	})
	return cl.store
}

// mapError maps errors of the store client to those of this package. An expired lease
// is a conflict, because another daemon may hold its keys by now.
func mapError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrNoLease):
		return eris.Wrap(ErrConflict, err.Error())
	case errors.Is(err, platform.ErrUnavailable):
		return eris.Wrap(ErrUnavailable, err.Error())
	}
	return eris.Wrap(ErrUnknown, err.Error())
}

// entryOf converts an item of the store client.
func entryOf(it platform.Item) Entry {
	return Entry{Key: it.Key, Value: it.Value, Revision: NewRevision(uint64(it.Era), uint64(it.Revision))}
}

// Get implements Store.
func (cl *Client) Get(ctx context.Context, key string) (Entry, error) {
	it, err := cl.kv().Get(ctx, key)
	return entryOf(it), mapError(err)
}

// List implements Store.
func (cl *Client) List(ctx context.Context, prefix string) ([]Entry, error) {
	items, _, err := cl.kv().Range(ctx, prefix)
	if err != nil {
		return nil, mapError(err)
	}
	entries := make([]Entry, len(items))
	for i, it := range items {
		entries[i] = entryOf(it)
	}
	return entries, nil
}

// Put implements Store.
func (cl *Client) Put(ctx context.Context, key string, value []byte, ifRev uint64, lease string) (uint64, error) {
	if len(value) > MaxValueBytes {
		return 0, eris.Errorf("platform put %s: value has %d bytes, the limit is %d", key, len(value), MaxValueBytes)
	}
	id, err := parseLeaseID(lease)
	if err != nil {
		return 0, err
	}
	return cl.commit(ctx, key, ifRev, []platform.Put{{Key: key, Value: value, Lease: id}}, nil)
}

// Delete implements Store.
func (cl *Client) Delete(ctx context.Context, key string, ifRev uint64) error {
	_, err := cl.commit(ctx, key, ifRev, nil, []string{key})
	return err
}

// commit writes or deletes key if it is at revision ifRev, and returns the new revision. The
// service compares numbers only, and numbers are given out again after a restore.
func (cl *Client) commit(ctx context.Context, key string, ifRev uint64, puts []platform.Put, deletes []string) (uint64, error) {
	kv := cl.kv()
	if ifRev > 0 && EraOf(ifRev) < cl.Era() {
		return 0, eris.Wrapf(ErrConflict, "%s: revision of era %d in era %d", key, EraOf(ifRev), cl.Era())
	}
	at, err := kv.Commit(ctx, []platform.Condition{{Key: key, Revision: int64(NumberOf(ifRev))}}, puts, deletes)
	if err != nil {
		return 0, mapError(err)
	}
	if ifRev > 0 && EraOf(ifRev) != uint64(at.Era) {
		return 0, eris.Wrapf(ErrUnknown, "%s: written in era %d over a revision of era %d", key, at.Era, EraOf(ifRev))
	}
	return NewRevision(uint64(at.Era), uint64(at.Revision)), nil
}

// Era implements Store.
func (cl *Client) Era() uint64 { return uint64(cl.kv().Era()) }

// Watch implements Store.
func (cl *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) error {
	kv := cl.kv()
	era := kv.Era()
	if after > 0 && EraOf(after) != uint64(era) {
		return nil
	}
	_, _, err := kv.Watch(ctx, prefix, catalog.Position{Era: era, Revision: int64(NumberOf(after))}, wait)
	if errors.Is(err, platform.ErrCompacted) || errors.Is(err, platform.ErrRestored) {
		// The history after that revision is gone, so there may have been a change.
		return nil
	}
	return mapError(err)
}

// Grant implements Store.
func (cl *Client) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	id, err := cl.kv().Grant(ctx, ttl)
	return strconv.FormatInt(id, 10), mapError(err)
}

// Renew implements Store.
func (cl *Client) Renew(ctx context.Context, lease string) error {
	id, err := parseLeaseID(lease)
	if err != nil {
		return err
	}
	return mapError(cl.kv().Renew(ctx, id))
}

// Revoke implements Store.
func (cl *Client) Revoke(ctx context.Context, lease string) error {
	id, err := parseLeaseID(lease)
	if err != nil {
		return err
	}
	return mapError(cl.kv().Revoke(ctx, id))
}

// parseLeaseID returns the number of a lease, and 0 for "", which means no lease.
func parseLeaseID(lease string) (int64, error) {
	if lease == "" {
		return 0, nil
	}
	id, err := strconv.ParseInt(lease, 10, 64)
	return id, eris.Wrapf(err, "invalid lease ID %q", lease)
}
