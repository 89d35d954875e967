package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
)

// keepOnSignals keeps a daemon running on the signals that would end it without a graceful stop: SIGPIPE,
// which a write to the log raises once the log's reader has ended, and SIGHUP, which the returned channel
// receives.
func keepOnSignals() <-chan os.Signal {
	signal.Ignore(syscall.SIGPIPE)
	hups := make(chan os.Signal, 1)
	signal.Notify(hups, syscall.SIGHUP)
	return hups
}

// checkSettingsOnHangup reads and checks the settings file at each SIGHUP until ctx ends, and logs the
// result. The settings in use do not change: addresses are fixed for the lifetime of the process, and an
// invalid file is only reported.
func checkSettingsOnHangup(ctx context.Context, hups <-chan os.Signal, file string, read func() error, log *slog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hups:
		}
		if err := read(); err != nil {
			log.Error("daemon: settings file is invalid; keeping the current settings.", "cause", err.Error())
			continue
		}
		log.Info("daemon: settings file read again.", "file", file)
	}
}
