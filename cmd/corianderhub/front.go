package main

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"runtime/debug"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/entry"
	"corianderhub.dev/corianderhub/internal/logqueue"
	"corianderhub.dev/corianderhub/platform"
)

const frontUsage = `Runs the daemon of an entry VM on the platform until it is stopped.

The environment variable CORIANDERHUB_SETTINGS names the platform's settings
file. SIGTERM stops the daemon gracefully. SIGHUP makes it read the file again and
log whether it is valid; the settings in use do not change.

All daemons of a deployment need the same values of --wait-for-slot, --fair-shares
and --schedule-returns.`

type frontCommand struct {
	ctx         context.Context
	MetricsPort int    `long:"metrics-port" default:"9464" description:"port of /metrics, 0 for none"`
	Log         string `long:"log" choice:"text" choice:"json" default:"text" description:"format of log lines"`
	Verbose     bool   `long:"verbose" description:"log every attempt"`

	WaitForSlot     bool `long:"wait-for-slot" description:"let requests that find all groups full wait for a slot of this daemon"`
	FairShares      bool `long:"fair-shares" description:"when groups are full, refuse requests of workspaces above their fair share first"`
	ScheduleReturns bool `long:"schedule-returns" description:"tell callers that are refused a time to return at which capacity is reserved"`
}

// heapFraction is the fraction of the memory limit that the heap may fill before
// the garbage collector runs continuously. The rest is for stacks, buffers and the
// runtime.
const heapFraction = 0.7

// Execute implements flags.Commander.
func (fc *frontCommand) Execute([]string) error {
	hups := keepOnSignals()
	file := os.Getenv(platform.SettingsVariable)
	if file == "" {
		return &exitError{exitUsage, platform.SettingsVariable + " is not set; it must name the settings file"}
	}
	set, err := platform.ReadSettings(file)
	var se *platform.SettingsError
	if errors.As(err, &se) {
		return &exitError{exitRefused, se.Error()}
	}
	if set.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(heapFraction * float64(set.MemoryBytes)))
	}
	qu := logqueue.New(os.Stdout)
	log := slog.New(fc.handler(qu))
	logCtx, stopLog := context.WithCancel(context.WithoutCancel(fc.ctx))
	flushed := make(chan struct{})
	go func() {
		defer close(flushed)
		_ = qu.Run(logCtx) // Run always returns nil.
	}()
	defer func() {
		stopLog()
		<-flushed
	}()
	read := func() error {
		_, err := platform.ReadSettings(file)
		return err
	}
	go checkSettingsOnHangup(logCtx, hups, file, read, log)
	da := &entry.Daemon{Settings: set, Clock: clock.System{}, Log: log, MetricsPort: fc.MetricsPort,
		Overload: entry.Overload{BoundedWait: fc.WaitForSlot, FairShares: fc.FairShares, ScheduleReturns: fc.ScheduleReturns}}
	return da.Run(fc.ctx)
}

// handler returns a handler that writes to qu in the chosen format and level.
func (fc *frontCommand) handler(qu *logqueue.Queue) slog.Handler {
	opts := &slog.HandlerOptions{Level: slog.LevelInfo}
	if fc.Verbose {
		opts.Level = slog.LevelDebug
	}
	if fc.Log == "json" {
		return slog.NewJSONHandler(qu, opts)
	}
	return slog.NewTextHandler(qu, opts)
}
