package main

import (
	"context"
	"errors"
	"log/slog"
	"os"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/daemon"
	"corianderhub.dev/corianderhub/internal/peer"
)

const serveUsage = `Runs a daemon with the settings in FILE until it is stopped.

SIGTERM or SIGINT stops it gracefully: it is removed from the list of entries,
serves for as long as callers may cache that list, finishes the requests in
flight and hands over its lease. "corianderhub help settings" describes FILE.`

type serveCommand struct {
	ctx  context.Context
	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (sc *serveCommand) Execute([]string) error {
	set, err := daemon.ReadSettings(sc.Args.File)
	var se *daemon.SettingsError
	if errors.As(err, &se) {
		return &exitError{exitRefused, se.Error()}
	}
	keys, err := peer.ReadMaterial(set.TLS.CA, set.TLS.Cert, set.TLS.Key)
	if err != nil {
		return &exitError{exitRefused, err.Error()}
	}
	log := newLog(set.Log.JSON)
	stop, err := daemon.StartTracing(sc.ctx, set)
	if err != nil {
		return err
	}
	defer stop()
	da := &daemon.Daemon{Settings: set, Keys: keys, Clock: clock.System{}, Log: log}
	return da.Run(sc.ctx)
}

// newLog returns a logger that writes JSON or text to standard error.
func newLog(json bool) *slog.Logger {
	if json {
		return slog.New(slog.NewJSONHandler(os.Stderr, nil))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, nil))
}
