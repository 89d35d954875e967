package control

import (
	"corianderhub.dev/corianderhub/internal/core/fleet"
)

// Action is an operation that the daemon performs on behalf of the Core. The
// set of implementations is closed.
type Action interface{ isAction() }

// Probe requests a report from the engine on a VM.
type Probe struct{ VM fleet.VM }

// Pull requests a PullResponse from a peer. Revision is the revision of this
// daemon's own document; it lets the peer detect that its copy is missing or
// out of date.
type Pull struct {
	Peer     string
	Revision uint64
}

// FetchDocs requests the documents newer than the revisions in Have from a
// peer.
type FetchDocs struct {
	Peer string
	Have map[string]uint64
}

// FetchConfig requests the configuration changes after a revision from a peer.
type FetchConfig struct {
	Peer  string
	After uint64
}

// ReadConfig reads the configuration changes after a revision from the
// platform. If Wait is set, the read blocks until there is a change.
type ReadConfig struct {
	After uint64
	Wait  bool
}

// BroadcastRevocation notifies peers that a group is no longer complete. No event
// answers it.
type BroadcastRevocation struct {
	Group string
	Fence uint64
	Peers []string
}

// PullObservations requests, from a daemon that probes, the observations changed
// after change number Since.
type PullObservations struct {
	Daemon string
	Peer   string
	Since  uint64
}

// AcquireLease tries to acquire the steward's lease.
type AcquireLease struct{}

// RenewLease extends the steward's lease.
type RenewLease struct{ Lease string }

// ReleaseLease releases the steward's lease. No event answers it.
type ReleaseLease struct{ Lease string }

// ReadDomains reads the stored assignments of this data centre, or only that of
// domain Only if it is not empty.
type ReadDomains struct{ Only string }

// ReadVMs reads the list of VMs from the platform.
type ReadVMs struct{}

// WriteDomain stores an assignment by compare-and-swap: the write succeeds only
// if its key is at revision IfRevision.
type WriteDomain struct {
	Domain     fleet.Domain
	IfRevision uint64
}

// SendOrder sends an order to the engine on the order's target VM.
type SendOrder struct{ Order fleet.Order }

func (Probe) isAction()               {}
func (Pull) isAction()                {}
func (FetchDocs) isAction()           {}
func (FetchConfig) isAction()         {}
func (ReadConfig) isAction()          {}
func (Reapply) isAction()             {}
func (BroadcastRevocation) isAction() {}
func (PullObservations) isAction()    {}
func (AcquireLease) isAction()        {}
func (RenewLease) isAction()          {}
func (ReleaseLease) isAction()        {}
func (ReadDomains) isAction()         {}
func (ReadVMs) isAction()             {}
func (WriteDomain) isAction()         {}
func (SendOrder) isAction()           {}

// Keys and key prefixes of Core.inFlight.
const (
	keyPull         = "pull/"
	keyDocs         = "docs/"
	keyProbe        = "probe/"
	keyOrder        = "order/"
	keyWrite        = "write/"
	keyObservations = "sightings/"
	keyLease        = "lease"
	keyDomains      = "domains"
	keyVMs          = "vms"
	keyReapply      = "reapply"
	// SourcePeerConfig and SourcePlatformConfig are also the values of
	// ConfigArrived.Source.
	SourcePeerConfig     = "config-peer"
	SourcePlatformConfig = "config-platform"
)
