package platform

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"corianderhub.dev/corianderhub/platform"
)

// DefaultTimeout bounds one call that does not wait.
const DefaultTimeout = 2 * time.Second

// Client is a Store over the platform's store client, and a VMList. Set the fields
// before the first call.
type Client struct {
	// Address is host:port of the platform's API.
	Address string
	// Timeout bounds one call; DefaultTimeout when zero.
	Timeout time.Duration

	once  sync.Once
	store *platform.Store
}

var (
	_ Store  = (*Client)(nil)
	_ VMList = (*Client)(nil)
)

func (cl *Client) kv() *platform.Store {
	cl.once.Do(func() {
		if cl.Timeout == 0 {
			cl.Timeout = DefaultTimeout
		}
		cl.store = platform.NewStore(cl.Address, cl.Timeout)
	})
	return cl.store
}

// outcome turns the errors of the store client into this package's. A lease that
// has ended is a conflict: what it held may be another daemon's now.
func outcome(err error) error {
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

func entryOf(it platform.Item) Entry {
	return Entry{Key: it.Key, Value: it.Value, Revision: uint64(it.Revision)}
}

// Get implements Store.
func (cl *Client) Get(ctx context.Context, key string) (Entry, error) {
	it, _, err := cl.kv().Get(ctx, key)
	return entryOf(it), outcome(err)
}

// List implements Store.
func (cl *Client) List(ctx context.Context, prefix string) ([]Entry, error) {
	items, _, err := cl.kv().Range(ctx, prefix)
	if err != nil {
		return nil, outcome(err)
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
		return 0, eris.Errorf("platform put %s: %d bytes are over the limit of %d", key, len(value), MaxValueBytes)
	}
	id, err := leaseID(lease)
	if err != nil {
		return 0, err
	}
	rev, err := cl.kv().Txn(ctx, []platform.Condition{{Key: key, Revision: int64(ifRev)}}, []platform.Put{{Key: key, Value: value, Lease: id}}, nil)
	return uint64(rev), outcome(err)
}

// Delete implements Store.
func (cl *Client) Delete(ctx context.Context, key string, ifRev uint64) error {
	_, err := cl.kv().Txn(ctx, []platform.Condition{{Key: key, Revision: int64(ifRev)}}, nil, []string{key})
	return outcome(err)
}

// Watch implements Store.
func (cl *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) error {
	_, _, err := cl.kv().Watch(ctx, prefix, int64(after), wait)
	if errors.Is(err, platform.ErrCompacted) {
		// There may have been a change.
		return nil
	}
	return outcome(err)
}

// Grant implements Store.
func (cl *Client) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	id, err := cl.kv().Grant(ctx, ttl)
	return strconv.FormatInt(id, 10), outcome(err)
}

// Renew implements Store.
func (cl *Client) Renew(ctx context.Context, lease string) error {
	id, err := leaseID(lease)
	if err != nil {
		return err
	}
	return outcome(cl.kv().Renew(ctx, id))
}

// Revoke implements Store.
func (cl *Client) Revoke(ctx context.Context, lease string) error {
	id, err := leaseID(lease)
	if err != nil {
		return err
	}
	return outcome(cl.kv().Revoke(ctx, id))
}

// leaseID is a lease's number; 0 stands for none.
func leaseID(lease string) (int64, error) {
	if lease == "" {
		return 0, nil
	}
	id, err := strconv.ParseInt(lease, 10, 64)
	return id, eris.Wrapf(err, "lease %q", lease)
}
