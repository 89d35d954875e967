// Package platform is the view of the platform that the project's own interface uses:
// the key-value service with compare-and-swap, leases and watches, and the list of
// VMs. It makes its calls through the shared store client, package
// corianderhub.dev/corianderhub/platform.
//
// The key-value service is the only durable storage. Every write that must be
// exclusive is a compare-and-swap of one key.
package platform

import (
	"context"
	"errors"
	"time"
)

// ErrConflict is returned when a compare-and-swap found another revision. The cause
// may be an earlier write of the same caller whose response was lost; the caller reads
// the key to find out.
var ErrConflict = errors.New("platform: revision conflict")

// ErrUnknown is returned when a write may or may not have taken effect.
var ErrUnknown = errors.New("platform: write outcome unknown")

// ErrUnavailable is returned when a call certainly had no effect, because the service
// was unreachable or refused it.
var ErrUnavailable = errors.New("platform: unavailable")

// MaxValueBytes is the largest size of a value that the service stores.
const MaxValueBytes = 1 << 20

// Entry is one key with its value. Revision 0 means that the key is absent. Revisions, made by
// NewRevision, are global to the service and only increase. An entry that is read in a later era
// than it was written in has a revision of that later era.
type Entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

// Store is the key-value service.
type Store interface {
	// Get reads one key. An absent key has revision 0 and is not an error.
	Get(ctx context.Context, key string) (Entry, error)
	// List reads all keys with the prefix, in key order.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Put writes value if the key is at revision ifRev (0: absent), and returns the new
	// revision. Unless lease is empty, the key is deleted when the lease ends. It
	// returns ErrConflict if the key is at another revision, also of an earlier era, and ErrUnknown
	// if the service turns out to have been restored since ifRev was read.
	Put(ctx context.Context, key string, value []byte, ifRev uint64, lease string) (uint64, error)
	// Delete removes the key if it is at revision ifRev. It returns ErrConflict if the
	// key is at another revision.
	Delete(ctx context.Context, key string, ifRev uint64) error
	// Watch waits up to wait for a change with the prefix after a revision. It may
	// return nil without one; the caller reads the keys again in either case.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) error
	// Grant creates a lease that expires ttl after its last renewal, and returns its
	// ID.
	Grant(ctx context.Context, ttl time.Duration) (string, error)
	// Renew extends a lease. It returns ErrConflict if the lease has expired.
	Renew(ctx context.Context, lease string) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease string) error
	// Era returns the latest era that a response has named, 0 if none. An era begins when the
	// service is restored from a copy, without the writes and leases since the copy was made.
	Era() uint64
}

// VMState is the state of a VM in the platform's list.
type VMState string

// States of a VM. The list lags behind, so direct evidence about a VM takes precedence
// over it.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry in the list of live and leaving VMs.
type VM struct {
	Name         string  `json:"name"`
	Address      string  `json:"address"`
	DataCenter   string  `json:"data-center"`
	FabricDomain string  `json:"fabric-domain"`
	State        VMState `json:"state"`
}

// VMList provides the list of VMs.
type VMList interface {
	// VMs returns the VMs of a data centre.
	VMs(ctx context.Context, dataCenter string) ([]VM, error)
}
