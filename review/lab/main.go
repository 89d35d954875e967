//go:build review

// Command lab plays the scripts of the review: it starts an emulated platform in its own process and
// the project's daemons as separate processes, brings about one disruption, and judges what clients
// and servers have seen.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxTime bounds a script.
const maxTime = 110 * time.Second

// scripts are the scripts by name. Each reports whether the rule held.
var scripts = map[string]func(context.Context, *lab) (held bool, err error){
	"new-settings-field": newSettingsField,
}

func main() {
	os.Exit(run())
}

// run plays the script that the arguments name and returns its exit code.
func run() int {
	if len(os.Args) != 4 || scripts[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab SCRIPT DAEMON-BINARY RECORD")
		return exitNotRun
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxTime)
	defer cancel()
	binary, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	record, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	la := &lab{binary: binary, record: record, began: time.Now(), trouble: os.Getenv("TROUBLE") != "0"}
	defer la.stop()
	held, err := scripts[os.Args[1]](ctx, la)
	switch {
	case err != nil:
		la.note("not run: %v", err)
		return exitNotRun
	case !held:
		la.note("the rule was broken")
		return exitBroken
	}
	la.note("the rule held")
	return exitHeld
}
