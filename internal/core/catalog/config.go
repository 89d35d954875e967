// Package catalog holds what the operators declared and which endpoints are
// registered, in the project's own types. It does no input or output.
package catalog

import "time"

// Kind says what may be done with a request besides sending it once.
type Kind int

// The kinds of requests.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests are idempotent.
	Safe
	// Streaming requests are answered by a series of events. They are
	// idempotent only where the route says that they can be resumed.
	Streaming
)

// String returns the kind's name for logs and metrics.
func (ki Kind) String() string {
	switch ki {
	case Safe:
		return "safe"
	case Streaming:
		return "streaming"
	case Unsafe:
	}
	return "unsafe"
}

// Config is one accepted version of the operators' declaration. It is never
// changed after it was decoded.
type Config struct {
	// Version is the operators' number; it only grows.
	Version int64
	// Revision is the store's revision of the value that was decoded.
	Revision   int64
	Routes     []Route
	Services   map[string]Service
	Workspaces []Workspace
	Limits     Limits
	index      routeIndex
	keys       map[string]*Workspace
}

// Route maps requests of a host below a path prefix to services.
type Route struct {
	Name, Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the latency up to the answer, or up to the first event.
	Objective time.Duration
	// PauseObjective is the longest pause between two events.
	PauseObjective time.Duration
	// MaxAttempts bounds the endpoints that one request may be sent to.
	MaxAttempts int
	// Priority is the route's rank; 0 is the most urgent.
	Priority int
	// Public routes need no key.
	Public bool
	// Resumable streams may be continued at another endpoint.
	Resumable bool
	Backends  []Backend
}

// Idempotent tells whether a request may run more than once.
func (ro *Route) Idempotent() bool {
	return ro.Kind == Safe || ro.Kind == Streaming && ro.Resumable
}

// Backend is a service with its share of a route's requests.
type Backend struct {
	Service string
	Weight  int
}

// Service is a set of endpoints that answer alike.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is how many connections an endpoint accepts from all callers.
	MaxConns int
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine is the cost model of a model service. Times hold for a group whose
// pace is 1.
type Engine struct {
	// Slots is how many requests a group runs at once.
	Slots int
	// KVTokens is the memory of a group in tokens.
	KVTokens int64
	// Stride is how many steps a pass with writing requests executes.
	Stride int
	Models []Model
	// Step is the time of a token step without any request.
	Step time.Duration
	// StepPerRequest is added for each request that is writing.
	StepPerRequest time.Duration
	// StepPerKContext is added for each 1,000 tokens of a writer's context.
	StepPerKContext time.Duration
	// ReadPerSecond is the number of prompt tokens read in a second.
	PrefillPerSecond float64
	// PairsPerM is the time for each million pairs of a token and an earlier one.
	TimePerMillionPairs time.Duration
	// Chunk is the most prompt tokens read in one step.
	Chunk int
	// ReportLag is how old reported figures may be.
	ReportLag time.Duration
	// LoadsPerSecond bounds the loads from the weight store that may begin.
	LoadsPerSecond float64
	// LoadsAtOnce is how many loads run at full speed.
	LoadsAtOnce int
	// Form is how long a group takes from the order to open until it serves.
	FormTime time.Duration
	// MeanPrompt and MeanAnswer are the usual token counts of a request.
	MeanPrompt, MeanAnswer float64
	// Delays are the one-way delays between data centres.
	Delays map[[2]string]time.Duration
}

// Model is one model of an engine.
type Model struct {
	Name string
	// Size is how many VMs a group of the model has.
	Size int
	// Share is the model's part of the work at the start.
	Share float64
	// Pace multiplies all times of a group.
	Pace float64
	// Load is the time to fetch the weights, Warm the time when the host has them.
	Load, Warm time.Duration
}

// leastPace stands in for a pace that is not stated.
const leastPace = 0.05

// TimeFactor is what the engine's times are multiplied by for a group of the model; it is
// never zero.
func (mo Model) TimeFactor() float64 { return max(mo.Pace, leastPace) }

// Model returns the model of that name.
func (en *Engine) Model(name string) (Model, bool) {
	for _, mo := range en.Models {
		if mo.Name == name {
			return mo, true
		}
	}
	return Model{}, false
}

// Workspace is a customer with the keys that name it.
type Workspace struct {
	Name string
	// Priority goes before the route's; -1 when the workspace has none.
	Priority int
	Keys     []string
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes, BodyBytes int64
	HeaderTimeout          time.Duration
	IdleTimeout            time.Duration
}

// Workspace returns the workspace that holds the key, or nil.
func (co *Config) Workspace(key string) *Workspace { return co.keys[key] }

// NeedsKeys tells whether requests on routes that are not public carry keys.
func (co *Config) NeedsKeys() bool { return len(co.Workspaces) > 0 }
