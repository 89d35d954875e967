package daemon

import (
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"corianderhub.dev/corianderhub/internal/core/control"
	"corianderhub.dev/corianderhub/internal/core/intent"
	"corianderhub.dev/corianderhub/internal/operator"
	"corianderhub.dev/corianderhub/pkg/admin"
)

// Settings are the settings of one daemon, read from a TOML file at startup.
// The configuration that all daemons share is read from the platform.
type Settings struct {
	Name       string `toml:"name"`
	DataCenter string `toml:"data-center"`
	Region     string `toml:"region"`
	// Platform is the address (IP:port) of the platform API.
	Platform string `toml:"platform"`
	// Seeds are the peer addresses of other daemons to contact first.
	Seeds    []string `toml:"seeds"`
	Listen   Listen   `toml:"listen"`
	TLS      TLS      `toml:"tls"`
	Operator Operator `toml:"operator"`
	Timing   Timing   `toml:"timing"`
	Limits   Limits   `toml:"limits"`
	Trace    Trace    `toml:"trace"`
	Log      Log      `toml:"log"`
}

// Listen holds the addresses that the daemon listens on, as IP:port. Peer is a
// UDP address, the others are TCP.
type Listen struct {
	Caller   string `toml:"caller"`
	Operator string `toml:"operator"`
	Peer     string `toml:"peer"`
	Metrics  string `toml:"metrics"`
}

// TLS names the PEM files for connections between daemons.
type TLS struct {
	CA   string `toml:"ca"`
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
}

// Operator holds the credentials for the administration API.
type Operator struct {
	// TokenSHA256 is the SHA-256 digest of the operators' token, as 64 hex digits.
	TokenSHA256 string `toml:"token-sha256"`
}

// Timing holds intervals and timeouts of the daemon. Zero values are replaced
// by defaults. The fields before Entries are described at control.Timing.
type Timing struct {
	Probe      intent.Duration `toml:"probe"`
	Sweep      intent.Duration `toml:"sweep"`
	Permit     intent.Duration `toml:"permit"`
	Pull       intent.Duration `toml:"pull"`
	Lease      intent.Duration `toml:"lease"`
	List       intent.Duration `toml:"list"`
	ProbeBytes int             `toml:"probe-bytes"`
	// Entries is how long callers may cache the list of daemon addresses.
	Entries intent.Duration `toml:"entries"`
	// Stall is how long an engine may send nothing before another attempt is
	// started beside it.
	Stall intent.Duration `toml:"stall"`
	// Drain bounds the wait for requests in flight at a graceful stop.
	Drain intent.Duration `toml:"drain"`
}

// Limits bounds what the daemon uses for all its clients together. Zero values are replaced by
// defaults.
type Limits struct {
	// MemoryMiB is the memory of the machine, in MiB. The default is what GOMEMLIMIT is set for, or
	// else all memory of the machine.
	MemoryMiB int64 `toml:"memory-mib"`
	// MaxFiles is the number of descriptors that the process may use. The default is the limit of the
	// operating system.
	MaxFiles int `toml:"max-files"`
}

// MemoryBytes returns MemoryMiB in bytes.
func (li Limits) MemoryBytes() int64 { return li.MemoryMiB << 20 }

// Trace configures tracing.
type Trace struct {
	// OTLP is the URL of an OTLP/HTTP receiver; tracing is off if it is empty.
	OTLP string `toml:"otlp"`
}

// Log configures the log output.
type Log struct {
	// JSON selects one JSON object per line instead of text.
	JSON bool `toml:"json"`
}

// Defaults of the fields of Timing with the same names.
const (
	defaultEntries = 10 * time.Second
	defaultStall   = 10 * time.Second
	defaultDrain   = 10 * time.Minute
)

// SettingsError holds all problems of a settings file, one line each.
type SettingsError struct{ Problems []string }

// Error implements the error interface.
func (se *SettingsError) Error() string { return strings.Join(se.Problems, "\n") }

// ReadSettings reads and validates a settings file and sets defaults. If the
// file cannot be read or is invalid, the error is a *SettingsError.
func ReadSettings(file string) (Settings, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, &SettingsError{[]string{err.Error()}}
	}
	return ParseSettings(file, string(raw))
}

// ParseSettings parses and validates the text of a settings file and sets
// defaults. The name of the file is used in problems only.
func ParseSettings(file, text string) (Settings, error) {
	var set Settings
	md, err := toml.Decode(text, &set)
	if err != nil {
		return set, &SettingsError{[]string{operator.TOMLProblem(file, err).String()}}
	}
	lines := operator.NewLocator(text)
	var problems []string
	for _, key := range md.Undecoded() {
		problems = append(problems, admin.Problem{File: file, Line: lines.Key(key), Key: key.String(), Reason: "unknown key"}.String())
	}
	for _, pr := range set.validate() {
		table, key, ok := strings.Cut(pr.key, ".")
		line := lines.TopLevel(pr.key)
		if ok {
			line = lines.Field(table, 0, key)
		}
		problems = append(problems, admin.Problem{File: file, Line: line, Key: pr.key, Reason: pr.reason}.String())
	}
	if len(problems) > 0 {
		return set, &SettingsError{problems}
	}
	set.applyDefaults()
	return set, nil
}

// settingProblem is an invalid setting and what it must be.
type settingProblem struct{ key, reason string }

// validate returns the problems of all settings.
func (set Settings) validate() []settingProblem {
	var problems []settingProblem
	want := func(ok bool, key, reason string) {
		if !ok {
			problems = append(problems, settingProblem{key, reason})
		}
	}
	want(set.Name != "" && !strings.ContainsAny(set.Name, "/ "), "name", "must be a name without spaces and slashes")
	want(set.DataCenter != "" && !strings.ContainsAny(set.DataCenter, "/ "), "data-center", "must be a name without spaces and slashes")
	for _, ad := range []struct{ key, addr string }{
		{"platform", set.Platform},
		{"listen.caller", set.Listen.Caller},
		{"listen.operator", set.Listen.Operator},
		{"listen.peer", set.Listen.Peer},
		{"listen.metrics", set.Listen.Metrics},
	} {
		want(isAddress(ad.addr), ad.key, "must be IP:port")
	}
	for _, seed := range set.Seeds {
		want(isAddress(seed), "seeds", fmt.Sprintf("%q is not IP:port", seed))
	}
	want(set.TLS.CA != "", "tls.ca", "must name a PEM file")
	want(set.TLS.Cert != "", "tls.cert", "must name a PEM file")
	want(set.TLS.Key != "", "tls.key", "must name a PEM file")
	digest, err := hex.DecodeString(set.Operator.TokenSHA256)
	want(err == nil && len(digest) == 32, "operator.token-sha256", "must be the 64 hex digits of a SHA-256 digest")
	ti := set.Timing
	for _, du := range []struct {
		key string
		val intent.Duration
	}{{"probe", ti.Probe}, {"sweep", ti.Sweep}, {"permit", ti.Permit}, {"pull", ti.Pull}, {"lease", ti.Lease},
		{"list", ti.List}, {"entries", ti.Entries}, {"stall", ti.Stall}, {"drain", ti.Drain}} {
		want(du.val >= 0, "timing."+du.key, "must not be negative")
	}
	want(ti.Permit == 0 || ti.Probe == 0 || ti.Permit >= 2*ti.Probe, "timing.permit", "must be at least twice timing.probe")
	want(set.Limits.MemoryMiB == 0 || set.Limits.MemoryMiB >= minMemoryMiB, "limits.memory-mib", fmt.Sprintf("must be at least %d", minMemoryMiB))
	want(set.Limits.MaxFiles == 0 || set.Limits.MaxFiles >= minFiles, "limits.max-files", fmt.Sprintf("must be at least %d", minFiles))
	return problems
}

// Least values of Limits. With less a daemon could not serve a request of the largest size.
const (
	minMemoryMiB = 128
	minFiles     = 256
)

func isAddress(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	return err == nil && net.ParseIP(host) != nil && port != "" && port != "0"
}

// applyDefaults replaces the zero values of Timing.
func (set *Settings) applyDefaults() {
	de := control.DefaultTiming
	ti := &set.Timing
	for _, du := range []struct {
		set *intent.Duration
		def time.Duration
	}{
		{&ti.Probe, de.Probe}, {&ti.Sweep, de.Sweep}, {&ti.Permit, de.Permit}, {&ti.Pull, de.Pull},
		{&ti.Lease, de.Lease}, {&ti.List, de.List},
		{&ti.Entries, defaultEntries}, {&ti.Stall, defaultStall}, {&ti.Drain, defaultDrain},
	} {
		if *du.set == 0 {
			*du.set = intent.Duration(du.def)
		}
	}
	if ti.ProbeBytes == 0 {
		ti.ProbeBytes = de.ProbeBytes
	}
}

// controlSettings returns the settings of the control state.
func (set Settings) controlSettings() control.Settings {
	ti := set.Timing
	return control.Settings{
		Name:       set.Name,
		DataCenter: set.DataCenter,
		Region:     set.Region,
		Caller:     set.Listen.Caller,
		Peer:       set.Listen.Peer,
		Seeds:      set.Seeds,
		Timing: control.Timing{
			Probe:      time.Duration(ti.Probe),
			Sweep:      time.Duration(ti.Sweep),
			Permit:     time.Duration(ti.Permit),
			Pull:       time.Duration(ti.Pull),
			Lease:      time.Duration(ti.Lease),
			List:       time.Duration(ti.List),
			ProbeBytes: ti.ProbeBytes,
		},
	}
}
