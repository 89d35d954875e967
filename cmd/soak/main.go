// Command soak runs daemons as processes before an emulated platform, disturbs them
// from outside, and checks what callers and endpoints see. Each seed plays one run.
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
	Binary  string        `long:"binary" required:"yes" description:"the daemon's program"`
	Dir     string        `long:"dir" required:"yes" description:"where settings and logs go"`
	Seed    uint64        `long:"seed" default:"1" description:"the first seed"`
	Seeds   int           `long:"seeds" default:"1" description:"how many seeds to play"`
	Daemons int           `long:"daemons" default:"4" description:"daemons"`
	Models  int           `long:"models" default:"9" description:"model servers in the fabric domain"`
	Desks   int           `long:"desks" default:"3" description:"plain servers"`
	Clients int           `long:"clients" default:"16" description:"clients that send one request after the other"`
	Time    time.Duration `long:"time" default:"12s" description:"how long faults come in each run"`
	Every   time.Duration `long:"every" default:"700ms" description:"mean time between two faults"`
	Subnet  int           `long:"subnet" default:"120" description:"daemons get the addresses 127.0.SUBNET.1 and up"`
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

// run plays the seeds and returns how many of them broke a promise.
func run(ctx context.Context, op options) (failed int, err error) {
	for seed := op.Seed; seed < op.Seed+uint64(op.Seeds) && ctx.Err() == nil; seed++ {
		dir := filepath.Join(op.Dir, fmt.Sprint("seed-", seed))
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return failed, err
		}
		so := &soak.Soak{Log: slog.Default(), Binary: op.Binary, Dir: dir, Seed: seed, Daemons: op.Daemons, ModelServers: op.Models,
			PlainServers: op.Desks, Clients: op.Clients, Duration: op.Time, FaultInterval: op.Every, Subnet: op.Subnet}
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
		fmt.Printf("seed %d: %d promises broken\n", seed, len(violations))
	}
	return failed, nil
}
