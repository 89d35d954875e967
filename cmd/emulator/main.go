// Command emulator stands in for the platform on this machine: a metadata
// store, model servers and plain servers. It writes a settings file for each
// daemon that is to run before them.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"corianderhub.dev/corianderhub/platform/emulator"
)

type options struct {
	Dir     string `long:"dir" required:"yes" description:"where the settings files go"`
	Daemons int    `long:"daemons" default:"3" description:"how many settings files to write"`
	Models  int    `long:"models" default:"9" description:"model servers in the fabric domain"`
	Desks   int    `long:"desks" default:"3" description:"plain servers"`
	Subnet  int    `long:"subnet" default:"9" description:"daemons get the addresses 127.0.SUBNET.1 and up"`
}

// eventEvery is the time between two events of a stream, as engines have it
// under some load.
const eventEvery = 60 * time.Millisecond

func main() {
	var op options
	if _, err := flags.Parse(&op); err != nil {
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, op); err != nil {
		fmt.Fprintln(os.Stderr, "emulator:", err)
		stop()
		os.Exit(1)
	}
}

func run(ctx context.Context, op options) error {
	de := &emulator.Deployment{ModelServers: op.Models, PlainServers: op.Desks, EventInterval: eventEvery}
	if err := de.Start(ctx); err != nil {
		return err
	}
	_, store, err := de.OpenStoreProxy()
	if err != nil {
		return err
	}
	ip := func(num int) string { return fmt.Sprintf("127.0.%d.%d", op.Subnet, num) }
	for num := 1; num <= op.Daemons; num++ {
		file := filepath.Join(op.Dir, fmt.Sprintf("daemon-%d.json", num))
		raw := emulator.Settings(fmt.Sprintf("entry-%d", num), ip(num), store, []string{ip(1) + ":18082", ip(2) + ":18082"})
		if err := os.WriteFile(file, raw, 0o600); err != nil {
			return err
		}
	}
	fmt.Println("emulator: ready, store at", store)
	<-ctx.Done()
	return nil
}
