package soak

import (
	"log/slog"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// regressions are seeds that failed once, each with its cause. They are played with
// the sizes of the command's defaults.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{21, "the checker took a daemon's refusal before it had a configuration for knowing the newest one"},
}

// Three daemons are killed, paused, stopped, cut off and reconfigured for some
// seconds. No caller sees a promise broken, whatever happens at once.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	binary := filepath.Join(t.TempDir(), "corianderhub")
	if out, err := exec.Command("go", "build", "-o", binary, "corianderhub.dev/corianderhub/cmd/corianderhub").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	seeds := []uint64{1}
	for _, re := range regressions {
		seeds = append(seeds, re.seed)
	}
	for _, seed := range seeds {
		so := &Soak{Log: slog.New(slog.DiscardHandler), Binary: binary, Dir: t.TempDir(), Seed: seed, Daemons: 4, ModelServers: 9, PlainServers: 3,
			Clients: 16, Duration: 6 * time.Second, FaultInterval: 700 * time.Millisecond, Subnet: 119}
		violations, err := so.Run(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		for _, vi := range violations {
			t.Errorf("seed %d: %s", seed, vi)
		}
	}
}
