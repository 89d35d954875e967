// Package intent defines the operators' declarations: models, groups,
// workspaces, plain services and the policy. It does no input or output;
// package operator parses files into it.
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

// Role is the phase of a request that a group works on.
type Role string

// Roles of a group.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Duration is a time.Duration that is encoded as text such as "40s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (du Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(du).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (du *Duration) UnmarshalText(text []byte) error {
	val, err := time.ParseDuration(string(text))
	*du = Duration(val)
	return err
}

// Object is one declaration of the operators. It is one of Policy, Model,
// Group, Workspace and Endpoint.
type Object interface {
	// ID returns kind/name, the object's key in the configuration.
	ID() string
	check(cfg *Config) []Problem
}

// Policy holds the weights of competing objectives.
type Policy struct {
	// DowntimeWeight is the cost of one group being down for one second.
	DowntimeWeight float64 `toml:"downtime-weight" json:"downtime-weight"`
	// StrandedWeight is the cost of one accelerator being powered for one
	// second without belonging to a serving group.
	StrandedWeight float64 `toml:"stranded-weight" json:"stranded-weight"`
	// LoadsPerMinute limits the rate of weight loads from the weight store.
	// Zero means no limit.
	LoadsPerMinute int `toml:"loads-per-minute" json:"loads-per-minute"`
}

// Model is a model at the version that should run.
type Model struct {
	Name    string `toml:"name" json:"name"`
	Version string `toml:"version" json:"version"`
	// VMs is the number of VMs that one replica spans, 1 to MaxGroupVMs.
	VMs      int      `toml:"vms" json:"vms"`
	Adapters []string `toml:"adapters" json:"adapters"`
	// LoadTime is how long a VM takes to load the weights.
	LoadTime Duration `toml:"load-time" json:"load-time"`
	// ChecksFencing means that the engines refuse orders with an outdated
	// fencing token.
	ChecksFencing bool `toml:"checks-fencing" json:"checks-fencing"`
	// CapacityTokens is the number of resident tokens that one replica can
	// hold.
	CapacityTokens int64 `toml:"capacity-tokens" json:"capacity-tokens"`
}

// Group declares replicas of a model in one data centre.
type Group struct {
	Name       string `toml:"name" json:"name"`
	Model      string `toml:"model" json:"model"`
	DataCenter string `toml:"data-center" json:"data-center"`
	Replicas   int    `toml:"replicas" json:"replicas"`
	// Spares is the number of VMs that are reserved for each replica ahead of a
	// loss.
	Spares int  `toml:"spares" json:"spares"`
	Role   Role `toml:"role" json:"role"`
	// Priority orders groups when VMs are scarce; higher goes first.
	Priority int `toml:"priority" json:"priority"`
}

// Workspace is a customer with a share of the capacity.
type Workspace struct {
	Name string `toml:"name" json:"name"`
	// Share is the weight relative to other workspaces under contention.
	Share float64 `toml:"share" json:"share"`
	// KeySHA256 is the hex-encoded SHA-256 digest of the secret key.
	KeySHA256 string `toml:"key-sha256" json:"key-sha256"`
}

// Endpoint is a plain service, which is not a model engine.
type Endpoint struct {
	Name string `toml:"name" json:"name"`
	// Route is the path prefix of the service's requests, for example
	// "/orders/".
	Route     string   `toml:"route" json:"route"`
	Addresses []string `toml:"addresses" json:"addresses"`
	// NotRepeatable lists the calls that run at most once, as "METHOD
	// /path/prefix".
	NotRepeatable []string `toml:"not-repeatable" json:"not-repeatable"`
	// Timeout limits the duration of one call.
	Timeout Duration `toml:"timeout" json:"timeout"`
	// Leaving lists addresses that receive no new calls.
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

// Problem is one reason for refusing a configuration.
type Problem struct {
	// ID is the object's ID, Key the field within the object.
	ID, Key, Reason string
}

// Change is a set of objects to put and IDs to delete. It is accepted or
// refused as a whole.
type Change struct {
	Puts    []Object
	Deletes []string
}

// IDs returns the sorted IDs of the objects that the change puts or deletes.
func (ch Change) IDs() []string {
	ids := slices.Clone(ch.Deletes)
	for _, ob := range ch.Puts {
		ids = append(ids, ob.ID())
	}
	sort.Strings(ids)
	return ids
}

// Config is the whole configuration at one revision. It is immutable once
// built.
type Config struct {
	Revision uint64
	// Base is the first revision in the era of the key-value service that Revision is of. In a
	// later era than the first, the configuration at Base is that of revision Continues.
	Base, Continues uint64
	Policy          Policy
	Models          map[string]Model
	Groups          map[string]Group
	Workspaces      map[string]Workspace
	Endpoints       map[string]Endpoint
}

// DefaultPolicy applies until an operator declares another policy.
var DefaultPolicy = Policy{DowntimeWeight: 1, StrandedWeight: 1}

// New returns the empty configuration, at revision 0.
func New() *Config {
	return &Config{
		Policy:     DefaultPolicy,
		Models:     map[string]Model{},
		Groups:     map[string]Group{},
		Workspaces: map[string]Workspace{},
		Endpoints:  map[string]Endpoint{},
	}
}

// With returns a copy of cfg with the change applied. The result is not
// checked.
func (cfg *Config) With(ch Change, revision uint64) *Config {
	next := &Config{
		Revision:   revision,
		Base:       cfg.Base,
		Continues:  cfg.Continues,
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

// InEra returns a copy of cfg as the first configuration of a later era, at revision base.
func (cfg *Config) InEra(base uint64) *Config {
	next := cfg.With(Change{}, base)
	next.Base, next.Continues = base, cfg.Revision
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

// remove deletes an object. Deleting the policy restores the default one.
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

// Has reports whether an object with that ID is declared.
func (cfg *Config) Has(id string) bool {
	for _, ob := range cfg.Objects() {
		if ob.ID() == id {
			return true
		}
	}
	return false
}

// Objects returns all objects, sorted by ID.
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

// Size returns the number of VMs that one replica of gr takes, spares included.
func (cfg *Config) Size(gr Group) int { return cfg.Models[gr.Model].VMs + gr.Spares }

// Encode returns the stored form of an object.
func Encode(ob Object) (json.RawMessage, error) {
	raw, err := json.Marshal(ob)
	return raw, eris.Wrap(err, ob.ID())
}

// Decode decodes the stored form of the object with the given ID. It returns an
// error if the kind is unknown or the stored object has another ID.
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
	return nil, eris.Errorf("%s: unknown object kind", id)
}

// decodeAs decodes an object of type T and verifies its ID.
func decodeAs[T Object](id string, raw json.RawMessage) (Object, error) {
	var ob T
	if err := json.Unmarshal(raw, &ob); err != nil {
		return nil, eris.Wrap(err, id)
	}
	if ob.ID() != id {
		return nil, eris.Errorf("object stored as %s has ID %s", id, ob.ID())
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

// Plan returns the differences that applying ch to cfg would make.
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

// texts returns a textual form of all objects by ID, for comparison and
// display.
func (cfg *Config) texts() map[string]string {
	texts := make(map[string]string)
	for _, ob := range cfg.Objects() {
		texts[ob.ID()] = fmt.Sprintf("%+v", ob)
	}
	return texts
}
