// Command soak runs daemons as separate processes in front of an emulated platform,
// injects faults from outside, and checks the daemons' guarantees by what callers and
// endpoints observe. Each seed is one run.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"corianderhub.dev/corianderhub/internal/soak"
)

type options struct {
	Binary        string        `long:"binary" required:"yes" description:"path of the corianderhub binary"`
	Dir           string        `long:"dir" required:"yes" description:"directory for settings and logs"`
	Seed          uint64        `long:"seed" default:"1" description:"the first seed"`
	Seeds         int           `long:"seeds" default:"1" description:"number of seeds to run"`
	Daemons       int           `long:"daemons" default:"4" description:"number of daemons"`
	ModelServers  int           `long:"models" default:"9" description:"number of model servers in the fabric domain"`
	PlainServers  int           `long:"desks" default:"3" description:"number of plain servers"`
	Clients       int           `long:"clients" default:"16" description:"number of clients; each sends one request after the other"`
	FaultDuration time.Duration `long:"time" default:"12s" description:"how long faults are injected in each run"`
	Restores      bool          `long:"restores" description:"also restore the store from copies"`
	Crashes       bool          `long:"crashes" description:"also send requests that crash servers, and responses without framing"`
	Silences      bool          `long:"silences" description:"also make sound servers silent for a time, and change the models' shares"`
	Changes       bool          `long:"changes" description:"also change limits and routes, each time before servers fall silent, and restart daemons in series"`
	PlannedOnly   bool          `long:"planned-only" description:"draw only planned faults and silences, which excuse no disconnected request"`
	FaultInterval time.Duration `long:"every" default:"700ms" description:"mean time between two faults"`
	Subnet        int           `long:"subnet" default:"120" description:"daemons get the addresses 127.0.SUBNET.1 and up"`
}

func main() {
	var op options
	if _, err := flags.Parse(&op); err != nil {
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	failed, err := run(ctx, op)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
	}
	if err != nil || failed > 0 {
		stop()
		os.Exit(1)
	}
}

// run executes one soak run for each seed and returns the number of runs with
// violations. The error is that of a run that could not start.
func run(ctx context.Context, op options) (failed int, err error) {
	for seed := op.Seed; seed < op.Seed+uint64(op.Seeds) && ctx.Err() == nil; seed++ {
		dir := filepath.Join(op.Dir, fmt.Sprint("seed-", seed))
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return failed, err
		}
		so := &soak.Soak{Log: slog.Default(), Binary: op.Binary, Dir: dir, Seed: seed, Daemons: op.Daemons, ModelServers: op.ModelServers,
			PlainServers: op.PlainServers, Clients: op.Clients, Duration: op.FaultDuration, FaultInterval: op.FaultInterval, Restores: op.Restores, Crashes: op.Crashes, Silences: op.Silences, Changes: op.Changes, PlannedOnly: op.PlannedOnly, Subnet: op.Subnet}
		violations, err := so.Run(ctx)
		if err != nil {
			return failed, err
		}
		for _, vi := range violations {
			fmt.Printf("seed %d: %s\n", seed, vi)
		}
		if len(violations) > 0 {
			failed++
		}
		fmt.Printf("seed %d: %d violations\n", seed, len(violations))
	}
	return failed, nil
}
