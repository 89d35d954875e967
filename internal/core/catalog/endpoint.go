package catalog

import "slices"

// GroupState is what a member says of the group it belongs to.
type GroupState string

// States of a group as its members report them.
const (
	// Joining members load weights or connect to the others.
	Joining GroupState = "joining"
	// Ready members wait for the group to be opened.
	Ready GroupState = "ready"
	// Open heads take requests.
	Open GroupState = "open"
	// Closing heads finish what they have.
	Closing GroupState = "closing"
	// Broken heads lost a member and take nothing any more.
	Broken GroupState = "broken"
)

// Membership is an endpoint's own account of the group it belongs to.
type Membership struct {
	Group string
	Epoch int64
	// Rank is the position among the members; the head has rank 0.
	Rank  int
	State GroupState
}

// Incarnation tells the lives of a server process apart that start one after the
// other under the same ID. It is the Unix millisecond of the start; 0 stands for
// one that is not known.
type Incarnation int64

// Differs tells whether two incarnations are certainly not the same.
func (in Incarnation) Differs(from Incarnation) bool { return in != from && in != 0 && from != 0 }

// Life is one life of a server process.
type Instance struct {
	ID          string      `json:"id" cbor:"1,keyasint"`
	Incarnation Incarnation `json:"incarnation,omitempty" cbor:"2,keyasint,omitempty"`
}

// Endpoint is a registered server process. One that starts again may have
// another ID, or the same ID and another incarnation; it knows nothing of before.
type Endpoint struct {
	ID, Service, Address string
	Incarnation          Incarnation
	DataCenter           string
	// Slots is how many requests it runs at once.
	Slots int
	// Leaving endpoints stop soon and take no new requests.
	Leaving bool
	// Orders counts the orders that the endpoint has accepted.
	Orders int64
	// Domain is the fabric domain of an engine's VM.
	Domain string
	// Loaded is the model of the endpoint's last group, whose weights are in
	// memory; empty when there is none.
	Loaded string
	// Staged are the models on the host.
	Staged []string
	// Member is nil when the endpoint belongs to no group.
	Member *Membership
	// Slowness is how many times slower than usual the endpoint works; 0 when
	// it did not say.
	Slowness float64
	// Revision is the store's revision of the entry.
	Revision int64
}

// Life returns the life that the endpoint is known in.
func (ep *Endpoint) Instance() Instance { return Instance{ep.ID, ep.Incarnation} }

// HasStaged tells whether the model is on the endpoint's host.
func (ep *Endpoint) HasStaged(model string) bool { return slices.Contains(ep.Staged, model) }

// Report is what an endpoint answers when it is asked directly.
type Report struct {
	Incarnation Incarnation
	// Orders counts the orders accepted since the start of the process.
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

// Apply puts a report over what the store said.
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

// slowEndpoint is the slowness from which an endpoint's VM holds a group back
// more than its replacement costs.
const slowEndpoint = 1.8

// Slow tells whether the endpoint is far slower than it should be.
func (ep *Endpoint) Slow() bool { return ep.Slowness > slowEndpoint }
