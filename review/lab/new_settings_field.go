//go:build review

package main

import (
	"context"
	"encoding/json"
	"os"
	"syscall"
	"time"
)

const (
	// maxStarts is how often a process that ends by itself is started.
	maxStarts = 3
	// startTimeout bounds the time until a daemon is ready.
	startTimeout = 10 * time.Second
)

// newSettingsField restarts the daemons in turn after their settings files got a field that they
// don't know.
func newSettingsField(ctx context.Context, la *lab) (bool, error) {
	if err := la.start(ctx); err != nil {
		return false, err
	}
	for _, da := range la.daemons {
		if !la.trouble {
			continue
		}
		if err := addField(da.settings); err != nil {
			return false, err
		}
		la.note("the settings file of the daemon at %s has a new field", da.ip)
	}
	held := true
	for _, da := range la.daemons {
		if err := la.restart(da); err != nil {
			return false, err
		}
		held = la.awaitStart(ctx, da) && held
	}
	return held, nil
}

// restart stops a daemon as the platform does and starts it again.
func (la *lab) restart(da *daemon) error {
	if err := da.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	if !da.ended(grace) {
		_ = da.cmd.Process.Kill() // It may just have ended.
		<-da.exited
	}
	la.note("the process at %s has ended after SIGTERM and is started again", da.ip)
	return la.startDaemon(da)
}

// awaitStart reports whether a daemon becomes ready. One whose process ends by itself is started again.
func (la *lab) awaitStart(ctx context.Context, da *daemon) bool {
	starts := 1
	for end := time.Now().Add(startTimeout); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		if da.ready() {
			la.note("the daemon at %s is ready", da.ip)
			return true
		}
		if !da.ended(0) {
			continue
		}
		la.note("the process at %s has ended by itself, exit code %d", da.ip, da.cmd.ProcessState.ExitCode())
		if starts == maxStarts || la.startDaemon(da) != nil {
			break
		}
		starts++
	}
	la.note("the daemon at %s does not start", da.ip)
	return false
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
	if listen, ok := body["listen"].(map[string]any); ok {
		listen["probe"] = map[string]any{"address": "127.0.0.1:18084", "interval_ms": 1000}
	}
	if raw, err = json.Marshal(body); err != nil {
		return err
	}
	return os.WriteFile(file, raw, 0o600)
}
