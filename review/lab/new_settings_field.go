package main

import (
	"context"
	"encoding/json"
	"os"
	"syscall"
	"time"
)

// newSettingsField restarts a daemon after its settings file got a field that it doesn't know.
func newSettingsField(ctx context.Context, la *lab) (bool, error) {
	if err := la.start(ctx); err != nil {
		return false, err
	}
	da := la.daemons[1]
	if la.trouble {
		if err := addField(da.settings); err != nil {
			return false, err
		}
		la.note("the settings file of the daemon at %s has a new field", da.ip)
	}
	if err := da.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return false, err
	}
	if !da.ended(grace) {
		_ = da.cmd.Process.Kill() // It may just have ended.
		<-da.exited
	}
	la.note("the daemon's process has ended; it is started again")
	for range 3 {
		if err := la.startDaemon(da); err != nil {
			return false, err
		}
		if da.awaitReady(ctx, 5*time.Second) {
			la.note("the daemon is ready")
			return true, nil
		}
		if !da.ended(0) {
			la.note("the daemon runs and is not ready")
			return false, nil
		}
		la.note("the daemon's process has ended by itself, exit code %d", da.cmd.ProcessState.ExitCode())
	}
	return false, nil
}

// addField adds a field to the listeners of a settings file.
func addField(file string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var body map[string]any
	if err := json.Unmarshal(raw, &body); err != nil {
		return err
	}
	listen := body["listen"].(map[string]any)
	listen["probe"] = map[string]any{"address": "127.0.0.1:18084", "interval_ms": 1000}
	if raw, err = json.Marshal(body); err != nil {
		return err
	}
	return os.WriteFile(file, raw, 0o600)
}
