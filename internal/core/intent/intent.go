// Package intent holds what the operators have declared: models, groups,
// workspaces, plain services and the policy. It knows no files and no
// sockets; package operator reads files into it.
package intent

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// MaxGroupVMs is the largest number of VMs that one replica spans.
const MaxGroupVMs = 16

// Role says which phase of a request a group works on.
type Role string

// Roles of a group.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Duration is a time.Duration written as text such as "40s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (du Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(du).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (du *Duration) UnmarshalText(text []byte) error {
	val, err := time.ParseDuration(string(text))
	*du = Duration(val)
	return err
}

// Object is one declared thing. It is one of Policy, Model, Group,
// Workspace and Endpoint.
type Object interface {
	// ID returns kind/name, the object's key in the configuration.
	ID() string
	check(cfg *Config) []Fault
}

// Policy weighs what cannot both be had.
type Policy struct {
	// DowntimeWeight is the cost of one group being down for one second.
	DowntimeWeight float64 `toml:"downtime-weight" json:"downtime-weight"`
	// StrandedWeight is the cost of one accelerator being powered without
	// belonging to a serving group for one second.
	StrandedWeight float64 `toml:"stranded-weight" json:"stranded-weight"`
	// LoadsPerMinute paces weight loads for the weight store; zero means no limit.
	LoadsPerMinute int `toml:"loads-per-minute" json:"loads-per-minute"`
}

// Model is a model at the version that should run.
type Model struct {
	Name    string `toml:"name" json:"name"`
	Version string `toml:"version" json:"version"`
	// VMs is how many VMs one replica spans, 1 to MaxGroupVMs.
	VMs      int      `toml:"vms" json:"vms"`
	Adapters []string `toml:"adapters" json:"adapters"`
	// LoadTime is how long a VM takes to load the weights.
	LoadTime Duration `toml:"load-time" json:"load-time"`
	// ChecksFencing says whether the engines refuse orders with an old fencing number.
	ChecksFencing bool `toml:"checks-fencing" json:"checks-fencing"`
	// CapacityTokens is how many resident tokens one replica holds.
	CapacityTokens int64 `toml:"capacity-tokens" json:"capacity-tokens"`
}

// Group asks for replicas of a model in one data center.
type Group struct {
	Name       string `toml:"name" json:"name"`
	Model      string `toml:"model" json:"model"`
	DataCenter string `toml:"data-center" json:"data-center"`
	Replicas   int    `toml:"replicas" json:"replicas"`
	// Spares is how many VMs are reserved for each replica ahead of a loss.
	Spares int  `toml:"spares" json:"spares"`
	Role   Role `toml:"role" json:"role"`
	// Priority orders groups when VMs are short; higher goes first.
	Priority int `toml:"priority" json:"priority"`
}

// Workspace is a customer with a share of the capacity.
type Workspace struct {
	Name string `toml:"name" json:"name"`
	// Share is the weight against other workspaces under contention.
	Share float64 `toml:"share" json:"share"`
	// KeySHA256 is the hex digest of the secret key.
	KeySHA256 string `toml:"key-sha256" json:"key-sha256"`
}

// Endpoint is a plain service beside the model engines.
type Endpoint struct {
	Name string `toml:"name" json:"name"`
	// Route is the path prefix that leads here, for example "/orders/".
	Route     string   `toml:"route" json:"route"`
	Addresses []string `toml:"addresses" json:"addresses"`
	// NotRepeatable lists calls that run at most once, as "METHOD /path/prefix".
	NotRepeatable []string `toml:"not-repeatable" json:"not-repeatable"`
	// Timeout bounds one call.
	Timeout Duration `toml:"timeout" json:"timeout"`
	// Leaving takes the listed addresses out of use for new calls.
	Leaving []string `toml:"leaving" json:"leaving"`
}

// ID implements Object.
func (Policy) ID() string { return "policy/policy" }

// ID implements Object.
func (mo Model) ID() string { return "model/" + mo.Name }

// ID implements Object.
func (gr Group) ID() string { return "group/" + gr.Name }

// ID implements Object.
func (wo Workspace) ID() string { return "workspace/" + wo.Name }

// ID implements Object.
func (en Endpoint) ID() string { return "endpoint/" + en.Name }

// Fault is one reason why a configuration is refused.
type Fault struct {
	// ID is the object's ID, Key the field inside it.
	ID, Key, Reason string
}

// Change is a set of objects to put and IDs to delete, accepted or refused
// as a whole.
type Change struct {
	Puts    []Object
	Deletes []string
}

// IDs returns the sorted IDs that the change touches.
func (ch Change) IDs() []string {
	ids := slices.Clone(ch.Deletes)
	for _, ob := range ch.Puts {
		ids = append(ids, ob.ID())
	}
	sort.Strings(ids)
	return ids
}

// Config is the whole configuration at one revision. It is not changed after
// it was made.
type Config struct {
	Revision   uint64
	Policy     Policy
	Models     map[string]Model
	Groups     map[string]Group
	Workspaces map[string]Workspace
	Endpoints  map[string]Endpoint
}

// DefaultPolicy is in force until an operator declares another.
var DefaultPolicy = Policy{DowntimeWeight: 1, StrandedWeight: 1}

// New returns the empty configuration, revision 0.
func New() *Config {
	return &Config{
		Policy:     DefaultPolicy,
		Models:     map[string]Model{},
		Groups:     map[string]Group{},
		Workspaces: map[string]Workspace{},
		Endpoints:  map[string]Endpoint{},
	}
}

// With returns a copy of cfg with the change applied, unchecked.
func (cfg *Config) With(ch Change, revision uint64) *Config {
	next := &Config{
		Revision:   revision,
		Policy:     cfg.Policy,
		Models:     maps.Clone(cfg.Models),
		Groups:     maps.Clone(cfg.Groups),
		Workspaces: maps.Clone(cfg.Workspaces),
		Endpoints:  maps.Clone(cfg.Endpoints),
	}
	for _, id := range ch.Deletes {
		next.remove(id)
	}
	for _, ob := range ch.Puts {
		next.put(ob)
	}
	return next
}

func (cfg *Config) put(ob Object) {
	switch ob := ob.(type) {
	case Policy:
		cfg.Policy = ob
	case Model:
		cfg.Models[ob.Name] = ob
	case Group:
		cfg.Groups[ob.Name] = ob
	case Workspace:
		cfg.Workspaces[ob.Name] = ob
	case Endpoint:
		cfg.Endpoints[ob.Name] = ob
	}
}

func (cfg *Config) remove(id string) {
	kind, name, _ := strings.Cut(id, "/")
	switch kind {
	case "policy":
		cfg.Policy = DefaultPolicy
	case "model":
		delete(cfg.Models, name)
	case "group":
		delete(cfg.Groups, name)
	case "workspace":
		delete(cfg.Workspaces, name)
	case "endpoint":
		delete(cfg.Endpoints, name)
	}
}

// Has tells whether an object of that ID is declared.
func (cfg *Config) Has(id string) bool {
	for _, ob := range cfg.Objects() {
		if ob.ID() == id {
			return true
		}
	}
	return false
}

// Objects returns all objects in the order of their IDs.
func (cfg *Config) Objects() []Object {
	obs := []Object{cfg.Policy}
	for _, ob := range cfg.Models {
		obs = append(obs, ob)
	}
	for _, ob := range cfg.Groups {
		obs = append(obs, ob)
	}
	for _, ob := range cfg.Workspaces {
		obs = append(obs, ob)
	}
	for _, ob := range cfg.Endpoints {
		obs = append(obs, ob)
	}
	sort.Slice(obs, func(i, j int) bool { return obs[i].ID() < obs[j].ID() })
	return obs
}

// Size returns how many VMs one replica of gr takes, spares included.
func (cfg *Config) Size(gr Group) int { return cfg.Models[gr.Model].VMs + gr.Spares }

// Encode returns the stored form of an object.
func Encode(ob Object) (json.RawMessage, error) {
	raw, err := json.Marshal(ob)
	return raw, eris.Wrap(err, ob.ID())
}

// Decode reads an object's stored form.
func Decode(id string, raw json.RawMessage) (Object, error) {
	kind, _, _ := strings.Cut(id, "/")
	switch kind {
	case "policy":
		return decodeAs[Policy](id, raw)
	case "model":
		return decodeAs[Model](id, raw)
	case "group":
		return decodeAs[Group](id, raw)
	case "workspace":
		return decodeAs[Workspace](id, raw)
	case "endpoint":
		return decodeAs[Endpoint](id, raw)
	}
	return nil, eris.Errorf("%s: unknown kind of object", id)
}

func decodeAs[T Object](id string, raw json.RawMessage) (Object, error) {
	var ob T
	if err := json.Unmarshal(raw, &ob); err != nil {
		return nil, eris.Wrap(err, id)
	}
	if ob.ID() != id {
		return nil, eris.Errorf("%s holds %s", id, ob.ID())
	}
	return ob, nil
}

// Diff describes one object that an apply would add, change or delete.
type Diff struct {
	ID     string `json:"id"`
	Action string `json:"action"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Plan returns what applying ch to cfg would change.
func (cfg *Config) Plan(ch Change) []Diff {
	before := cfg.texts()
	after := cfg.With(ch, cfg.Revision).texts()
	var diffs []Diff
	for _, id := range ch.IDs() {
		old, had := before[id]
		now, has := after[id]
		switch {
		case !had && has:
			diffs = append(diffs, Diff{ID: id, Action: "add", After: now})
		case had && !has:
			diffs = append(diffs, Diff{ID: id, Action: "delete", Before: old})
		case old != now:
			diffs = append(diffs, Diff{ID: id, Action: "change", Before: old, After: now})
		}
	}
	return diffs
}

func (cfg *Config) texts() map[string]string {
	texts := make(map[string]string)
	for _, ob := range cfg.Objects() {
		texts[ob.ID()] = fmt.Sprintf("%+v", ob)
	}
	return texts
}
