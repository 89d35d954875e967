package control

import (
	"time"

	"corianderhub.dev/corianderhub/internal/core/chain"
	"corianderhub.dev/corianderhub/internal/core/fleet"
	"corianderhub.dev/corianderhub/internal/core/gossip"
	"corianderhub.dev/corianderhub/internal/core/intent"
)

// Event is an input of Core.Step. The set of implementations is closed.
type Event interface{ isEvent() }

// Tick triggers periodic work.
type Tick struct{}

// Leave starts the graceful shutdown of this daemon.
type Leave struct{}

// Probed is the result of a Probe.
type Probed struct {
	VM     string
	SentAt time.Time
	// Report is nil if the probe failed.
	Report *fleet.Report
	// Refused is set if the VM's address refused the connection, which proves
	// that the engine is not running. A timeout proves nothing.
	Refused bool
}

// ResponseStarted reports that a group began to answer a request that was
// dispatched at SentAt. A group answers only if it is complete, so it was
// complete at some time since then.
type ResponseStarted struct {
	Group  string
	Fence  uint64
	Leader string
	SentAt time.Time
}

// Pulled is a peer's response to a Pull sent at SentAt.
type Pulled struct {
	Peer     string
	SentAt   time.Time
	Response PullResponse
}

// PullFailed reports that a peer did not respond to a Pull.
type PullFailed struct{ Peer string }

// DocsArrived is the result of FetchDocs. Docs is empty if the fetch failed.
type DocsArrived struct {
	Peer string
	Docs []gossip.Doc
}

// ConfigArrived delivers configuration from a peer or from the platform.
// Snapshot is nil if only entries were sent.
type ConfigArrived struct {
	// Source is the Core.inFlight key of the fetch: SourcePeerConfig or
	// SourcePlatformConfig.
	Source string
	// Known is set if the source was reached and the event holds everything it
	// has.
	Known    bool
	Snapshot *intent.Config
	Entries  []chain.Entry
	// StoredRevision is the revision of the stored head, 0 if there is none. It is set if Known is
	// and Source is SourcePlatformConfig.
	StoredRevision uint64
}

// StoreRestored reports that the key-value service has been restored from a copy, without the writes
// since.
type StoreRestored struct{}

// Reapplied answers a Reapply.
type Reapplied struct {
	// Base is that of the Reapply.
	Base uint64
	// Revision is the highest revision that the entries got.
	Revision uint64
	// Failed is set if not all entries were stored or refused for good.
	Failed bool
}

// PullReceived reports that a peer has pulled from this daemon.
type PullReceived struct {
	Peer string
	// Revision is the revision of the peer's own document.
	Revision uint64
}

// Revoked is another daemon's direct evidence that a group is not complete, at
// the fencing token known to that daemon.
type Revoked struct {
	Group string
	Fence uint64
}

// ObservationsArrived is the result of PullObservations. Response is nil if the
// pull failed.
type ObservationsArrived struct {
	Daemon   string
	SentAt   time.Time
	Response *ObservationsResponse
}

// LeaseAcquired reports that this daemon acquired the steward's lease. The lease
// runs from SentAt, and Epoch identifies the term of this steward.
type LeaseAcquired struct {
	Lease  string
	Epoch  uint64
	SentAt time.Time
}

// LeaseRenewed reports that the lease now runs from SentAt.
type LeaseRenewed struct{ SentAt time.Time }

// LeaseFailed reports that the platform did not respond to a lease request.
type LeaseFailed struct{ SentAt time.Time }

// LeaseLost reports that another daemon holds the lease or that this daemon's
// lease has expired.
type LeaseLost struct{}

// DomainsRead is the result of ReadDomains, with the same Only. Failed means
// that the read must be repeated.
type DomainsRead struct {
	Only    string
	Domains []StoredDomain
	Failed  bool
}

// StoredDomain is an assignment and the revision of its key in the platform's
// store.
type StoredDomain struct {
	Domain   fleet.Domain
	Revision uint64
}

// DomainWritten reports that a WriteDomain took effect.
type DomainWritten struct{ StoredDomain }

// DomainWriteUnconfirmed reports that a WriteDomain met another revision or
// received no response, so that it may or may not have taken effect.
type DomainWriteUnconfirmed struct{ Name string }

// VMsRead is the result of ReadVMs. VMs is nil if the read failed.
type VMsRead struct{ VMs []fleet.VM }

// OrderDone reports that the engine responded to an order or that sending it
// failed.
type OrderDone struct{ VM string }

func (Tick) isEvent()                   {}
func (Leave) isEvent()                  {}
func (Probed) isEvent()                 {}
func (ResponseStarted) isEvent()        {}
func (Pulled) isEvent()                 {}
func (PullFailed) isEvent()             {}
func (DocsArrived) isEvent()            {}
func (ConfigArrived) isEvent()          {}
func (StoreRestored) isEvent()          {}
func (Reapplied) isEvent()              {}
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
