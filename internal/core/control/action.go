package control

import (
	"corianderhub.dev/corianderhub/internal/core/fleet"
)

// Action is something that the daemon has to do. The set is closed.
type Action interface{ isAction() }

// Probe asks the engine on a VM for its report.
type Probe struct{ VM fleet.VM }

// Pull asks a peer for its digest. Revision is that of this daemon's own
// document, by which the peer sees whether it knows this daemon.
type Pull struct {
	Peer     string
	Revision uint64
}

// FetchDocs asks a peer for documents newer than Have.
type FetchDocs struct {
	Peer string
	Have map[string]uint64
}

// FetchConfig asks a peer for the configuration after a revision.
type FetchConfig struct {
	Peer  string
	After uint64
}

// ReadConfig reads the configuration after a revision from the platform. With
// Wait the read waits for a change.
type ReadConfig struct {
	After uint64
	Wait  bool
}

// Announce tells peers that a group is not whole. It is not answered.
type BroadcastRevocation struct {
	Group string
	Fence uint64
	Peers []string
}

// PullSightings asks a daemon for the VMs whose sighting has changed since.
type PullObservations struct {
	Daemon string
	Peer   string
	Since  uint64
}

// AcquireLease tries to become the steward.
type AcquireLease struct{}

// RenewLease extends the steward's lease.
type RenewLease struct{ Lease string }

// DropLease gives the lease up. It is not answered.
type ReleaseLease struct{ Lease string }

// ReadDomains reads the written assignments of the data center, or of Only
// that domain.
type ReadDomains struct{ Only string }

// ReadVMs reads the platform's list.
type ReadVMs struct{}

// WriteDomain writes an assignment if its key is at IfRevision.
type WriteDomain struct {
	Domain     fleet.Domain
	IfRevision uint64
}

// SendOrder sends an order to an engine.
type SendOrder struct{ Order fleet.Order }

func (Probe) isAction()               {}
func (Pull) isAction()                {}
func (FetchDocs) isAction()           {}
func (FetchConfig) isAction()         {}
func (ReadConfig) isAction()          {}
func (BroadcastRevocation) isAction() {}
func (PullObservations) isAction()    {}
func (AcquireLease) isAction()        {}
func (RenewLease) isAction()          {}
func (ReleaseLease) isAction()        {}
func (ReadDomains) isAction()         {}
func (ReadVMs) isAction()             {}
func (WriteDomain) isAction()         {}
func (SendOrder) isAction()           {}

// Prefixes of the keys in Core.flying.
const (
	flyPull      = "pull/"
	flyDocs      = "docs/"
	flyProbe     = "probe/"
	flyOrder     = "order/"
	flyWrite     = "write/"
	flySightings = "sightings/"
	flyLease     = "lease"
	flyDomains   = "domains"
	flyVMs       = "vms"
	// FlyPeerConfig and FlyPlatformConfig are the sources in ConfigArrived.
	SourcePeerConfig     = "config-peer"
	SourcePlatformConfig = "config-platform"
)
