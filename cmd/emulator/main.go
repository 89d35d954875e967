// Command emulator emulates the platform on this machine: a metadata store, model
// servers and plain servers. It writes a settings file for each daemon that is to run
// in front of them.
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
	Dir          string `long:"dir" required:"yes" description:"directory for the settings files"`
	Daemons      int    `long:"daemons" default:"3" description:"number of settings files to write"`
	ModelServers int    `long:"models" default:"9" description:"number of model servers in the fabric domain"`
	PlainServers int    `long:"desks" default:"3" description:"number of plain servers"`
	Subnet       int    `long:"subnet" default:"9" description:"daemons get the addresses 127.0.SUBNET.1 and up"`
}

// eventInterval is the time between two events of a stream, typical of an engine
// under moderate load.
const eventInterval = 60 * time.Millisecond

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

// run starts the emulated platform, writes the settings files and serves until ctx
// ends.
func run(ctx context.Context, op options) error {
	de := &emulator.Deployment{ModelServers: op.ModelServers, PlainServers: op.PlainServers, EventInterval: eventInterval}
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
