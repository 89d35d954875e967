package intent

import (
	"encoding/hex"
	"math"
	"net"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Limits of declared values.
const (
	maxNameBytes = 63
	maxReplicas  = 4096
	sha256Bytes  = 32
)

var nameRE = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

// Check returns all problems of the configuration, in the order of object IDs.
func (cfg *Config) Check() []Problem {
	var problems []Problem
	for _, ob := range cfg.Objects() {
		problems = append(problems, ob.check(cfg)...)
	}
	return problems
}

// CheckChange returns the problems of cfg with ch applied, and of deletes in ch
// that name no object.
func (cfg *Config) CheckChange(ch Change) []Problem {
	var problems []Problem
	for _, id := range ch.Deletes {
		if !cfg.Has(id) {
			problems = append(problems, Problem{ID: id, Key: "delete", Reason: "no such object"})
		}
	}
	return append(problems, cfg.With(ch, cfg.Revision).Check()...)
}

// checker collects the problems of one object.
type checker struct {
	id       string
	problems []Problem
}

// require adds a problem unless ok holds.
func (ck *checker) require(ok bool, key, reason string) {
	if !ok {
		ck.problems = append(ck.problems, Problem{ID: ck.id, Key: key, Reason: reason})
	}
}

func (ck *checker) name(name string) {
	ck.require(len(name) <= maxNameBytes && nameRE.MatchString(name), "name",
		"must be 1 to "+strconv.Itoa(maxNameBytes)+" lower-case letters, digits, dots or dashes")
}

func (po Policy) check(*Config) []Problem {
	ck := checker{id: po.ID()}
	ck.require(po.DowntimeWeight >= 0, "downtime-weight", "must not be negative")
	ck.require(po.StrandedWeight >= 0, "stranded-weight", "must not be negative")
	ck.require(po.DowntimeWeight+po.StrandedWeight > 0, "downtime-weight", "one of the two weights must be above zero")
	ck.require(!math.IsInf(po.DowntimeWeight, 1), "downtime-weight", "must be finite")
	ck.require(!math.IsInf(po.StrandedWeight, 1), "stranded-weight", "must be finite")
	ck.require(po.LoadsPerMinute >= 0, "loads-per-minute", "must not be negative")
	return ck.problems
}

func (mo Model) check(*Config) []Problem {
	ck := checker{id: mo.ID()}
	ck.name(mo.Name)
	ck.require(mo.Version != "", "version", "must not be empty")
	ck.require(!strings.ContainsAny(mo.Version, "/ ?#"), "version", "must not hold spaces, slashes, ? or #")
	ck.require(mo.VMs >= 1 && mo.VMs <= MaxGroupVMs, "vms", "must be 1 to "+strconv.Itoa(MaxGroupVMs))
	ck.require(mo.LoadTime >= 0, "load-time", "must not be negative")
	ck.require(mo.CapacityTokens > 0, "capacity-tokens", "must be above zero")
	for i, ad := range mo.Adapters {
		ck.require(nameRE.MatchString(ad), "adapters", strconv.Quote(ad)+" is not a name")
		ck.require(!slices.Contains(mo.Adapters[:i], ad), "adapters", strconv.Quote(ad)+" stands twice")
	}
	return ck.problems
}

func (gr Group) check(cfg *Config) []Problem {
	ck := checker{id: gr.ID()}
	ck.name(gr.Name)
	_, ok := cfg.Models[gr.Model]
	ck.require(ok, "model", "no model "+strconv.Quote(gr.Model)+" is declared")
	ck.require(gr.DataCenter != "", "data-center", "must not be empty")
	ck.require(gr.Replicas >= 0 && gr.Replicas <= maxReplicas, "replicas", "must be 0 to "+strconv.Itoa(maxReplicas))
	ck.require(gr.Spares >= 0 && gr.Spares <= MaxGroupVMs, "spares", "must be 0 to "+strconv.Itoa(MaxGroupVMs))
	roles := []Role{RoleMixed, RolePrefill, RoleDecode}
	ck.require(slices.Contains(roles, gr.Role), "role", "must be mixed, prefill or decode")
	return ck.problems
}

func (wo Workspace) check(cfg *Config) []Problem {
	ck := checker{id: wo.ID()}
	ck.name(wo.Name)
	ck.require(wo.Share > 0, "share", "must be above zero")
	ck.require(!math.IsInf(wo.Share, 1), "share", "must be finite")
	digest, err := hex.DecodeString(wo.KeySHA256)
	ck.require(err == nil && len(digest) == sha256Bytes, "key-sha256", "must be the 64 hex digits of a SHA-256 digest")
	for _, other := range cfg.Workspaces {
		same := other.Name != wo.Name && strings.EqualFold(other.KeySHA256, wo.KeySHA256)
		ck.require(!same, "key-sha256", "workspace "+strconv.Quote(other.Name)+" has the same key")
	}
	return ck.problems
}

// reserved lists the path prefixes that the daemon serves itself.
var reserved = []string{"/v1/", "/healthz", "/readyz", "/metrics"}

func (en Endpoint) check(cfg *Config) []Problem {
	ck := checker{id: en.ID()}
	ck.name(en.Name)
	ck.require(strings.HasPrefix(en.Route, "/") && strings.HasSuffix(en.Route, "/") && len(en.Route) > 1, "route",
		"must begin and end with a slash and hold a name between")
	for _, path := range reserved {
		ck.require(!strings.HasPrefix(en.Route, path), "route", path+" is the daemon's own")
	}
	for _, other := range cfg.Endpoints {
		clash := other.Name != en.Name && (strings.HasPrefix(en.Route, other.Route) || strings.HasPrefix(other.Route, en.Route))
		ck.require(!clash, "route", "overlaps with endpoint "+strconv.Quote(other.Name))
	}
	ck.require(len(en.Addresses) > 0, "addresses", "must not be empty")
	for i, addr := range en.Addresses {
		ck.require(isAddress(addr), "addresses", strconv.Quote(addr)+" is not IP:port")
		ck.require(!slices.Contains(en.Addresses[:i], addr), "addresses", strconv.Quote(addr)+" stands twice")
	}
	for _, addr := range en.Leaving {
		ck.require(slices.Contains(en.Addresses, addr), "leaving", strconv.Quote(addr)+" is not one of the addresses")
	}
	for _, rule := range en.NotRepeatable {
		method, path, ok := strings.Cut(rule, " ")
		ok = ok && method == strings.ToUpper(method) && strings.HasPrefix(path, en.Route)
		ck.require(ok, "not-repeatable", strconv.Quote(rule)+` is not "METHOD /path" below the route`)
	}
	ck.require(en.Timeout >= 0 && time.Duration(en.Timeout) <= time.Hour, "timeout", "must be 0s to 1h")
	return ck.problems
}

func isAddress(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	num, err := strconv.ParseUint(port, 10, 16)
	return err == nil && num > 0
}
