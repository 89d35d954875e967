package catalog

import (
	"slices"
	"time"
)

// GroupState is the state of a group as one of its members reports it.
type GroupState string

// States of a group.
const (
	// Joining members load weights or connect to the other members.
	Joining GroupState = "joining"
	// Ready members wait until the group is opened.
	Ready GroupState = "ready"
	// Open leaders accept requests.
	Open GroupState = "open"
	// Closing leaders finish the requests that they have.
	Closing GroupState = "closing"
	// Broken leaders lost a member and accept no more requests.
	Broken GroupState = "broken"
)

const (
	// MaxEpoch is the highest epoch that an endpoint can report. The numbers above it are left so
	// that no sum of epochs overflows.
	MaxEpoch = 1 << 62
	// MaxGroupSize is the largest number of endpoints in a group.
	MaxGroupSize = 1 << 12
)

// Membership is an endpoint's own report of the group it belongs to.
type Membership struct {
	Group string
	Epoch int64
	// Rank is the position among the members. The leader has rank 0.
	Rank  int
	State GroupState
}

// Incarnation distinguishes server processes that start one after the other
// under the same ID. It is the Unix time of the start in milliseconds, or 0 if
// that is unknown.
type Incarnation int64

// Differs reports whether two incarnations are certainly different. An unknown
// incarnation differs from none.
func (in Incarnation) Differs(from Incarnation) bool { return in != from && in != 0 && from != 0 }

// Instance identifies one instance of a server process.
type Instance struct {
	ID          string      `json:"id" cbor:"1,keyasint"`
	Incarnation Incarnation `json:"incarnation,omitempty" cbor:"2,keyasint,omitempty"`
}

// Endpoint is a registered server process. After a restart it has another ID,
// or the same ID and another incarnation, and keeps no state from before.
type Endpoint struct {
	ID, Service, Address string
	Incarnation          Incarnation
	DataCenter           string
	// Slots is the number of requests that the endpoint runs at once.
	Slots int
	// Leaving endpoints will stop soon and accept no new requests.
	Leaving bool
	// Orders is the number of orders that the endpoint has accepted.
	Orders int64
	// Domain is the fabric domain of an engine's VM.
	Domain string
	// Loaded is the model of the endpoint's last group, whose weights are in
	// memory. It is empty if there is none.
	Loaded string
	// Staged lists the models whose weights are on the host.
	Staged []string
	// Member is nil if the endpoint belongs to no group.
	Member *Membership
	// Slowness is the factor by which the endpoint is slower than usual. It is
	// 0 if the endpoint did not report it.
	Slowness float64
	// ColdLeft is how much longer the endpoint said it would stay cold when it wrote the
	// entry. Cold is set for that time after the entry was read, if the service limits the
	// requests to a cold endpoint.
	ColdLeft time.Duration
	Cold     bool
	// Revision is the store's revision of the entry, in the given era of the store.
	Revision, Era int64
}

// Position returns the position of the entry in the store's history.
func (ep *Endpoint) Position() Position { return Position{Era: ep.Era, Revision: ep.Revision} }

// Instance returns the registered instance of the endpoint.
func (ep *Endpoint) Instance() Instance { return Instance{ep.ID, ep.Incarnation} }

// HasStaged reports whether the model's weights are on the endpoint's host.
func (ep *Endpoint) HasStaged(model string) bool { return slices.Contains(ep.Staged, model) }

// Report is an endpoint's response when it is polled directly.
type Report struct {
	Incarnation Incarnation
	// Orders is the number of orders accepted since the process started.
	Orders   int64
	Busy     bool
	Domain   string
	Loaded   string
	Staged   []string
	Member   *Membership
	Running  int
	Waiting  int
	Slowness float64
}

// Apply returns ep, as read from the store, updated with the report.
func (re Report) Apply(ep Endpoint) Endpoint {
	if re.Incarnation != 0 {
		ep.Incarnation = re.Incarnation
	}
	ep.Orders = re.Orders
	ep.Loaded = re.Loaded
	ep.Staged = re.Staged
	ep.Member = re.Member
	ep.Slowness = re.Slowness
	if re.Domain != "" {
		ep.Domain = re.Domain
	}
	return ep
}

// slowThreshold is the slowness above which a VM costs its group more than
// replacing the VM does.
const slowThreshold = 1.8

// Slow reports whether the endpoint's slowness is above the threshold for
// replacing its VM.
func (ep *Endpoint) Slow() bool { return ep.Slowness > slowThreshold }
