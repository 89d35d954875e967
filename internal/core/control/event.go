package control

import (
	"time"

	"corianderhub.dev/corianderhub/internal/core/chain"
	"corianderhub.dev/corianderhub/internal/core/fleet"
	"corianderhub.dev/corianderhub/internal/core/gossip"
	"corianderhub.dev/corianderhub/internal/core/intent"
)

// Event is something that happened. The set is closed.
type Event interface{ isEvent() }

// Tick says that time has passed.
type Tick struct{}

// Leave says that this daemon was told to stop.
type Leave struct{}

// Probed is the outcome of a Probe.
type Probed struct {
	VM     string
	SentAt time.Time
	// Report is nil when the probe failed.
	Report *fleet.Report
	// Refused means that the VM's address refused the connection: the engine
	// is certainly not running. A probe that merely timed out proves nothing.
	Refused bool
}

// Answered says that a group began to answer a request that was dispatched at
// SentAt. A replica works only as a whole, so it was whole then.
type ResponseStarted struct {
	Group  string
	Fence  uint64
	Leader string
	SentAt time.Time
}

// Pulled is a peer's answer to a Pull.
type Pulled struct {
	Peer   string
	SentAt time.Time
	Answer PullAnswer
}

// PullFailed says that a peer did not answer a Pull.
type PullFailed struct{ Peer string }

// DocsArrived brings documents from a peer; none when the fetch failed.
type DocsArrived struct {
	Peer string
	Docs []gossip.Doc
}

// ConfigArrived brings configuration from a peer or the platform.
type ConfigArrived struct {
	// Source is the key under which the fetch was flying.
	Source string
	// Known means that the source was reached and what follows is all it has.
	Known    bool
	Snapshot *intent.Config
	Entries  []chain.Entry
}

// Asked says that a peer has pulled from this daemon.
type PullReceived struct {
	Peer string
	// Revision is that of the peer's own document.
	Revision uint64
}

// Revoked is another daemon's direct evidence that a group is not whole, at
// the fencing number that it knows.
type Revoked struct {
	Group string
	Fence uint64
}

// SightingsArrived is a daemon's answer to PullSightings; Answer is nil when
// it failed.
type ObservationsArrived struct {
	Daemon string
	SentAt time.Time
	Answer *ObservationsAnswer
}

// LeaseWon says that this daemon is the steward of its data center.
type LeaseAcquired struct {
	Lease  string
	Epoch  uint64
	SentAt time.Time
}

// LeaseRenewed says that the lease runs from SentAt again.
type LeaseRenewed struct{ SentAt time.Time }

// LeaseFailed says that the platform could not be asked.
type LeaseFailed struct{ SentAt time.Time }

// LeaseLost says that another holds the lease, or that ours has lapsed.
type LeaseLost struct{}

// DomainsRead brings the written assignments of the data center, or of Only
// that domain; Failed means that the read must be repeated.
type DomainsRead struct {
	Only    string
	Domains []StoredDomain
	Failed  bool
}

// StoredDomain is an assignment with the revision of its key.
type StoredDomain struct {
	Domain   fleet.Domain
	Revision uint64
}

// DomainWritten says that a write took effect.
type DomainWritten struct{ StoredDomain }

// DomainUncertain says that a write met another revision or lost its answer.
type DomainWriteUnconfirmed struct{ Name string }

// VMsRead brings the platform's list; it is nil when the read failed.
type VMsRead struct{ VMs []fleet.VM }

// OrderDone says that an order was answered or given up.
type OrderDone struct{ VM string }

func (Tick) isEvent()                   {}
func (Leave) isEvent()                  {}
func (Probed) isEvent()                 {}
func (ResponseStarted) isEvent()        {}
func (Pulled) isEvent()                 {}
func (PullFailed) isEvent()             {}
func (DocsArrived) isEvent()            {}
func (ConfigArrived) isEvent()          {}
func (PullReceived) isEvent()           {}
func (Revoked) isEvent()                {}
func (ObservationsArrived) isEvent()    {}
func (LeaseAcquired) isEvent()          {}
func (LeaseRenewed) isEvent()           {}
func (LeaseFailed) isEvent()            {}
func (LeaseLost) isEvent()              {}
func (DomainsRead) isEvent()            {}
func (DomainWritten) isEvent()          {}
func (DomainWriteUnconfirmed) isEvent() {}
func (VMsRead) isEvent()                {}
func (OrderDone) isEvent()              {}
