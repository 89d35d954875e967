package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"corianderhub.dev/corianderhub/internal/explain"
)

const explainUsage = `Shows how the daemon at --address handled a request: where it was sent and why,
and the result of each attempt. A daemon keeps the records of several
thousand requests. The identifier is in the X-Request-Id header of every response.

With --log, the command reads the logs of daemons instead. It prints the lines
about the request, and those about the groups it was sent to during that time, in
order and with the causes that they name. --log may be given once for each
daemon's log; "-" is standard input. --at prints the state of the system that
each daemon assumed at that time.`

type explainCommand struct {
	ctx context.Context
	operatorFlags
	Logs []string `long:"log" description:"log of a daemon, - for standard input"`
	At   string   `long:"at" description:"time, as in the log, for which to print the state that daemons assumed"`
	Args struct {
		RequestID string `positional-arg-name:"REQUEST-ID"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (ec *explainCommand) Execute([]string) error {
	switch {
	case ec.Args.RequestID == "" && ec.At == "":
		return &exitError{exitUsage, "argument REQUEST-ID is missing; it may be left out only with --at"}
	case len(ec.Logs) > 0:
		return ec.fromLogs(os.Stdout)
	case ec.At != "":
		return &exitError{exitUsage, "--at requires --log"}
	}
	return ec.fromDaemon()
}

// fromLogs prints the log lines about the request or, with --at, the lines that
// give the state assumed by each daemon at that time.
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
		return explain.Print(to, explain.StateAt(lines, at), "")
	}
	found := explain.RequestLines(lines, ec.Args.RequestID)
	if len(found) == 0 {
		return &exitError{exitFailed, "no log line found for request " + ec.Args.RequestID}
	}
	return explain.Print(to, found, ec.Args.RequestID)
}

// readLogs returns the lines of all logs in order of time.
func (ec *explainCommand) readLogs() ([]explain.Line, error) {
	var lines []explain.Line
	for _, file := range ec.Logs {
		read, err := readLog(file)
		if err != nil {
			return nil, err
		}
		lines = append(lines, read...)
	}
	explain.Sort(lines)
	return lines, nil
}

// readLog reads one log, or standard input if file is "-". The source of its
// lines is the file's base name without the suffix .log.
func readLog(file string) ([]explain.Line, error) {
	from, source := os.Stdin, "stdin"
	if file != "-" {
		fi, err := os.Open(file)
		if err != nil {
			return nil, &exitError{exitRefused, err.Error()}
		}
		defer fi.Close()
		from, source = fi, strings.TrimSuffix(filepath.Base(file), ".log")
	}
	lines, skipped, err := explain.Read(source, from)
	if skipped > 0 {
		fmt.Fprintf(os.Stderr, "%s: skipped %d lines that are not log lines of a daemon\n", file, skipped)
	}
	return lines, err
}

// fromDaemon prints the record that the daemon at --address has of the request.
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
