package main

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"os"
	"runtime/debug"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/daemon"
	"corianderhub.dev/corianderhub/internal/peer"
)

const serveUsage = `Runs a daemon with the settings in FILE until it is stopped.

SIGTERM or SIGINT stops it gracefully: it is removed from the list of entries,
serves for as long as callers may cache that list, finishes the requests in
flight and hands over its lease. SIGHUP makes it read FILE again and log whether it
is valid; the settings in use do not change. "corianderhub help settings" describes
FILE.`

type serveCommand struct {
	ctx  context.Context
	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (sc *serveCommand) Execute([]string) error {
	hups := keepOnSignals()
	set, err := daemon.ReadSettings(sc.Args.File)
	var se *daemon.SettingsError
	if errors.As(err, &se) {
		return &exitError{exitRefused, se.Error()}
	}
	keys, err := peer.ReadMaterial(set.TLS.CA, set.TLS.Cert, set.TLS.Key)
	if err != nil {
		return &exitError{exitRefused, err.Error()}
	}
	if set.Limits.MemoryMiB, err = limitMemory(set.Limits.MemoryMiB); err != nil {
		return err
	}
	log := newLog(set.Log.JSON)
	stop, err := daemon.StartTracing(sc.ctx, set)
	if err != nil {
		return err
	}
	defer stop()
	read := func() error {
		_, err := daemon.ReadSettings(sc.Args.File)
		return err
	}
	go checkSettingsOnHangup(context.WithoutCancel(sc.ctx), hups, sc.Args.File, read, log)
	da := &daemon.Daemon{Settings: set, Keys: keys, Clock: clock.System{}, Log: log}
	return da.Run(sc.ctx)
}

// limitMemory sets the limit of the heap for a machine with the given memory, and returns that memory.
// If it is 0, it follows from GOMEMLIMIT, or else is all memory of the machine. All are in MiB.
func limitMemory(memory int64) (int64, error) {
	const mib = 1 << 20
	if memory > 0 {
		debug.SetMemoryLimit(int64(heapFraction * float64(memory*mib)))
		return memory, nil
	}
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		return int64(float64(limit)/heapFraction) / mib, nil
	}
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return 0, eris.Wrap(err, "memory of the machine")
	}
	memory = int64(info.Totalram) * int64(info.Unit) / mib
	debug.SetMemoryLimit(int64(heapFraction * float64(memory*mib)))
	return memory, nil
}

// newLog returns a logger that writes JSON or text to standard error.
func newLog(json bool) *slog.Logger {
	if json {
		return slog.New(slog.NewJSONHandler(os.Stderr, nil))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, nil))
}
