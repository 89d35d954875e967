package soak

import (
	"log/slog"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// regressions are seeds that failed before, with the cause. They run with the sizes of
// the command's defaults.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{21, "the checker counted a refusal by a daemon without a configuration as proof that it served the newest version"},
}

// Guards against overlapping faults that make a caller observe a violated guarantee.
// Daemons are killed, paused, stopped, disconnected and reconfigured for some seconds.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts daemons as processes")
	}
	binary := buildDaemon(t)
	type run struct {
		seed              uint64
		restores, crashes bool
	}
	runs := []run{{1, false, false}, {1, true, false}, {1, false, true}}
	for _, re := range regressions {
		runs = append(runs, run{re.seed, false, false})
	}
	for _, ru := range runs {
		so := &Soak{Log: slog.New(slog.DiscardHandler), Binary: binary, Dir: t.TempDir(), Seed: ru.seed, Restores: ru.restores, Crashes: ru.crashes, Daemons: 4, ModelServers: 9, PlainServers: 3,
			Clients: 16, Duration: 6 * time.Second, FaultInterval: 700 * time.Millisecond, Subnet: 119}
		violations, err := so.Run(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		for _, vi := range violations {
			t.Errorf("seed %d, restores %t, crashes %t: %s", ru.seed, ru.restores, ru.crashes, vi)
		}
	}
}

// Guards against requests that are disconnected because sound servers fall silent for some time, beside
// changes of the configuration, signals and graceful stops.
func TestSoakOfSilences(t *testing.T) {
	binary := buildDaemon(t)
	so := &Soak{Log: slog.New(slog.DiscardHandler), Binary: binary, Dir: t.TempDir(), Seed: 2, Silences: true, PlannedOnly: true, Daemons: 4, ModelServers: 9, PlainServers: 3,
		Clients: 16, Duration: 12 * time.Second, FaultInterval: 700 * time.Millisecond, Subnet: 118}
	violations, err := so.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, vi := range violations {
		t.Errorf("seed %d: %s", so.Seed, vi)
	}
}

// Guards against requests that are passed on to sound servers and end without an answer, because the
// limits and routes change and the servers are silent for a second soon after.
func TestSoakOfChanges(t *testing.T) {
	binary := buildDaemon(t)
	so := &Soak{Log: slog.New(slog.DiscardHandler), Binary: binary, Dir: t.TempDir(), Seed: 2, Changes: true, PlannedOnly: true, Daemons: 4, ModelServers: 9, PlainServers: 3,
		Clients: 32, Duration: 12 * time.Second, FaultInterval: 500 * time.Millisecond, Subnet: 117}
	violations, err := so.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, vi := range violations {
		t.Errorf("seed %d: %s", so.Seed, vi)
	}
}

// buildDaemon builds the daemon's program and returns its path.
func buildDaemon(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "corianderhub")
	if out, err := exec.Command("go", "build", "-o", binary, "corianderhub.dev/corianderhub/cmd/corianderhub").CombinedOutput(); err != nil {
		t.Fatalf("build of the daemon: %v: %s", err, out)
	}
	return binary
}
