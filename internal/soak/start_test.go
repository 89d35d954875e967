package soak

import (
	"log/slog"
	"os"
	"path/filepath"
	"testing"
)

// Guards against daemons that outlive a run which could not start all of them.
func TestFailedStartLeavesNoDaemon(t *testing.T) {
	dir := t.TempDir()
	binary := filepath.Join(dir, "daemon")
	if err := os.WriteFile(binary, []byte("#!/bin/sh\nexec sleep 600\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	// The settings of the second daemon can't be written.
	if err := os.Mkdir(filepath.Join(dir, "daemon-1.json"), 0o700); err != nil {
		t.Fatal(err)
	}
	so := &Soak{Log: slog.New(slog.DiscardHandler), Binary: binary, Dir: dir, Daemons: 2, Subnet: 120}
	if _, err := so.Run(t.Context()); err == nil {
		t.Fatal("no error although a daemon could not be started")
	}
	if len(so.daemons) != 1 {
		t.Fatalf("%d daemons started, want 1", len(so.daemons))
	}
	select {
	case <-so.daemons[0].done():
	default:
		t.Error("the first daemon still runs")
		so.daemons[0].kill()
	}
}
