package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"corianderhub.dev/corianderhub/internal/story"
)

const explainUsage = `Tells how the daemon at --address handled a request: where it was sent and
why, and what came of each attempt. A daemon remembers some thousand requests.
The identifier is in the X-Request-Id header of every answer.

With --log, the logs of daemons are read instead, and the lines about the request
and about what happened meanwhile to the groups it was sent to are printed in
order, with the causes that they name. --log may be given once for each daemon's
log; "-" is standard input. --at prints what each daemon believed at that moment.`

type explainCommand struct {
	ctx context.Context
	operatorFlags
	Logs []string `long:"log" description:"log of a daemon, - for standard input"`
	At   string   `long:"at" description:"moment, as in the log, to tell what daemons believed then"`
	Args struct {
		RequestID string `positional-arg-name:"REQUEST-ID"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (ec *explainCommand) Execute([]string) error {
	switch {
	case ec.Args.RequestID == "" && ec.At == "":
		return &exitError{exitUsage, "the request's identifier is missing"}
	case len(ec.Logs) > 0:
		return ec.fromLogs(os.Stdout)
	case ec.At != "":
		return &exitError{exitUsage, "--at needs --log"}
	}
	return ec.fromDaemon()
}

// fromLogs tells the story from logs.
func (ec *explainCommand) fromLogs(to io.Writer) error {
	lines, err := ec.readLogs()
	if err != nil {
		return err
	}
	if ec.At != "" {
		at, err := time.Parse(time.RFC3339Nano, ec.At)
		if err != nil {
			return &exitError{exitUsage, "--at: " + err.Error()}
		}
		return story.Print(to, story.StateAt(lines, at), "")
	}
	found := story.RequestLines(lines, ec.Args.RequestID)
	if len(found) == 0 {
		return &exitError{exitFailed, "no line about request " + ec.Args.RequestID}
	}
	return story.Print(to, found, ec.Args.RequestID)
}

func (ec *explainCommand) readLogs() ([]story.Line, error) {
	var lines []story.Line
	for _, file := range ec.Logs {
		read, err := readLog(file)
		if err != nil {
			return nil, err
		}
		lines = append(lines, read...)
	}
	story.Sort(lines)
	return lines, nil
}

func readLog(file string) ([]story.Line, error) {
	from, source := os.Stdin, "stdin"
	if file != "-" {
		fi, err := os.Open(file)
		if err != nil {
			return nil, &exitError{exitRefused, err.Error()}
		}
		defer fi.Close()
		from, source = fi, strings.TrimSuffix(filepath.Base(file), ".log")
	}
	lines, skipped, err := story.Read(source, from)
	if skipped > 0 {
		fmt.Fprintf(os.Stderr, "%s: %d lines are not log lines of a daemon and were passed over\n", file, skipped)
	}
	return lines, err
}

// fromDaemon asks a daemon.
func (ec *explainCommand) fromDaemon() error {
	cl, err := ec.client()
	if err != nil {
		return err
	}
	ex, err := cl.Explain(ec.ctx, ec.Args.RequestID)
	if err != nil {
		return err
	}
	if ec.JSON {
		return printJSON(ex)
	}
	fmt.Printf("%s %s workspace=%s outcome=%s %s\n", ex.ID, ex.Path, ex.Workspace, ex.Outcome, ex.Error)
	for _, at := range ex.Attempts {
		fmt.Printf("  +%-10s %s load=%d %s\n", at.At.Sub(ex.Begin), at.Target, at.Load, at.Reason)
	}
	return nil
}
