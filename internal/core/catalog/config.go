// Package catalog defines the operators' configuration, the registered
// endpoints and the views that daemons route by. It does no input or output.
package catalog

import (
	"slices"
	"time"
)

// Kind classifies requests by whether they may be repeated and how they are
// answered.
type Kind int

// Kinds of requests.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests are idempotent.
	Safe
	// Streaming requests are answered by a stream of events. They are
	// idempotent only if the route is resumable.
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

// Config is one accepted version of the operators' configuration. It is
// immutable once decoded.
type Config struct {
	// Version is the operators' version number. It only grows.
	Version int64
	// Revision is the store's revision of the decoded value.
	Revision   int64
	Routes     []Route
	Services   map[string]Service
	Workspaces []Workspace
	Limits     Limits
	// Ignored describes values that are invalid and have no effect, each with its key.
	Ignored []string
	index   routeIndex
	keys    map[string]*Workspace
}

// Route maps requests of a host below a path prefix to services.
type Route struct {
	Name, Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout limits the time that a caller waits.
	Timeout time.Duration
	// Objective is the target latency until the answer, or until the first
	// event of a stream.
	Objective time.Duration
	// PauseObjective is the target for the longest pause between two events.
	PauseObjective time.Duration
	// MaxAttempts limits the number of endpoints that one request may be sent
	// to.
	MaxAttempts int
	// Priority is the route's rank; 0 is the most urgent.
	Priority int
	// Public routes need no key.
	Public bool
	// Resumable streams may be continued at another endpoint.
	Resumable bool
	Backends  []Backend
}

// Idempotent reports whether a request may run more than once.
func (ro *Route) Idempotent() bool {
	return ro.Kind == Safe || ro.Kind == Streaming && ro.Resumable
}

// Backend is a service and its weight among a route's backends.
type Backend struct {
	Service string
	Weight  int
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is the number of connections that an endpoint accepts from all
	// callers together.
	MaxConns int
	// ColdStart is how long an endpoint is cold after it has started. ColdPerSecond is the
	// number of requests a second that a cold endpoint tolerates from all daemons together; 0
	// means that there is no limit.
	ColdStart     time.Duration
	ColdPerSecond float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine is the cost model of a model service. All times are for a group with
// pace 1.
type Engine struct {
	// Slots is the number of requests that a group runs at once.
	Slots int
	// KVTokens is the KV cache capacity of a group in tokens.
	KVTokens int64
	// Stride is the number of decode steps that one pass executes while
	// requests are decoding.
	Stride int
	Models []Model
	// StepTime is the base time of a decode step, without any requests.
	StepTime time.Duration
	// StepPerRequest is added to a step for each decoding request.
	StepPerRequest time.Duration
	// StepPerKContext is added to a step for each 1,000 tokens of a decoding
	// request's context.
	StepPerKContext time.Duration
	// PrefillPerSecond is the prefill rate in prompt tokens per second.
	PrefillPerSecond float64
	// TimePerMillionPairs is the prefill time for one million pairs of a token
	// and an earlier token (attention).
	TimePerMillionPairs time.Duration
	// Chunk is the maximum number of prompt tokens processed in one step.
	Chunk int
	// ReportLag is the maximum age of reported figures.
	ReportLag time.Duration
	// LoadsPerSecond limits the rate at which loads from the weight store may
	// start.
	LoadsPerSecond float64
	// LoadsAtOnce is the number of concurrent loads that run at full speed.
	LoadsAtOnce int
	// Keeps is the number of staged models that a host keeps. It is 0 if the configuration does
	// not set it.
	Keeps int
	// FormTime is the time from the order to open a group until the group
	// serves.
	FormTime time.Duration
	// MeanPrompt and MeanAnswer are the mean token counts of a request's prompt
	// and answer.
	MeanPrompt, MeanAnswer float64
	// Delays holds the one-way network delays between pairs of data centres.
	Delays map[[2]string]time.Duration
}

// Model is one model of an engine.
type Model struct {
	Name string
	// Size is the number of VMs in a group of the model.
	Size int
	// Share is the model's initial share of the work.
	Share float64
	// Pace is the factor by which all times of a group are multiplied.
	Pace float64
	// LoadTime is the time to fetch the weights, WarmLoadTime the time to load them if the
	// host already has them.
	LoadTime, WarmLoadTime time.Duration
}

// minPace is the lower bound of a pace. It also applies where no pace is set.
const minPace = 0.05

// TimeFactor returns the factor by which the engine's times are multiplied for
// a group of the model. It is never zero.
func (mo Model) TimeFactor() float64 { return max(mo.Pace, minPace) }

// StagesModels reports whether hosts keep the weights of other models, so that groups can be exchanged
// without a load, and whether the sizes of the models allow it: each is a multiple of the next smaller
// one. Otherwise an exchange leaves VMs over that serve nothing.
func (en *Engine) StagesModels() bool {
	if en.Keeps < 1 || len(en.Models) < 2 {
		return false
	}
	sizes := make([]int, len(en.Models))
	for i, mo := range en.Models {
		sizes[i] = max(1, mo.Size)
	}
	slices.Sort(sizes)
	for i, size := range sizes[1:] {
		if size%sizes[i] != 0 {
			return false
		}
	}
	return true
}

// LargestSize returns the size of the largest group of any model.
func (en *Engine) LargestSize() int {
	largest := 0
	for _, mo := range en.Models {
		largest = max(largest, mo.Size)
	}
	return largest
}

// Model returns the model with that name.
func (en *Engine) Model(name string) (Model, bool) {
	for _, mo := range en.Models {
		if mo.Name == name {
			return mo, true
		}
	}
	return Model{}, false
}

// Workspace is a customer and the API keys that identify it.
type Workspace struct {
	Name string
	// Priority overrides the route's priority; -1 means that it is not set.
	Priority int
	Keys     []string
}

// Limits holds the limits on a caller's requests and connections.
type Limits struct {
	HeaderBytes, BodyBytes int64
	HeaderTimeout          time.Duration
	IdleTimeout            time.Duration
}

// Workspace returns the workspace that the key belongs to, or nil.
func (co *Config) Workspace(key string) *Workspace { return co.keys[key] }

// NeedsKeys reports whether requests on non-public routes must carry a key.
func (co *Config) NeedsKeys() bool { return len(co.Workspaces) > 0 }
