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

// Endpoint is a registered server process. A restart has another ID.
type Endpoint struct {
	ID, Service, Address string
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

// HasStaged tells whether the model is on the endpoint's host.
func (ep *Endpoint) HasStaged(model string) bool { return slices.Contains(ep.Staged, model) }

// Report is what an endpoint answers when it is asked directly.
type Report struct {
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
