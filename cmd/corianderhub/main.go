// Command corianderhub is the daemon of an entry VM and the operators' tool.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"corianderhub.dev/corianderhub/pkg/admin"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

// Exit codes; `corianderhub help exit-codes` explains them.
const (
	exitFailed  = 1
	exitUsage   = 2
	exitRefused = 3
	exitUnknown = 4
)

const usage = `corianderhub serves language models whose replicas span several VMs.

Run a daemon with "corianderhub serve FILE". The other commands are for
operators. "corianderhub help" lists pages that say more.`

// exitError ends the program with a code after its message was printed.
type exitError struct {
	code int
	text string
}

// Error implements the error interface.
func (ee *exitError) Error() string { return ee.text }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

func run(ctx context.Context, args []string) int {
	pa := flags.NewNamedParser("corianderhub", flags.HelpFlag|flags.PassDoubleDash)
	pa.LongDescription = usage
	for _, cd := range commands(ctx) {
		if _, err := pa.AddCommand(cd.name, cd.short, cd.long, cd.data); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitFailed
		}
	}
	_, err := pa.ParseArgs(args)
	return report(err)
}

// command is one subcommand.
type command struct {
	name, short, long string
	data              flags.Commander
}

func commands(ctx context.Context) []command {
	return []command{
		{"serve", "run a daemon", serveUsage, &serveCommand{ctx: ctx}},
		{"front", "run the daemon of an entry VM on the platform", frontUsage, &frontCommand{ctx: ctx}},
		{"check", "check files of declarations", checkUsage, &checkCommand{ctx: ctx}},
		{"plan", "show what an apply would change", planUsage, &planCommand{ctx: ctx}},
		{"apply", "put a file of declarations in force", applyUsage, &applyCommand{ctx: ctx}},
		{"status", "show daemons and groups", statusUsage, &statusCommand{ctx: ctx}},
		{"drain", "stop a daemon gracefully", drainUsage, &drainCommand{ctx: ctx}},
		{"explain", "tell how a request was handled", explainUsage, &explainCommand{ctx: ctx}},
		{"keys", "make TLS keys and tokens", keysUsage, &keysCommand{}},
		{"version", "print the version", versionUsage, &versionCommand{}},
		{"help", "print a page of help", helpUsage, &helpCommand{}},
	}
}

// report prints an error and returns the exit code for it.
func report(err error) int {
	var fe *flags.Error
	var ee *exitError
	var re *admin.Refusal
	switch {
	case err == nil:
		return 0
	case errors.As(err, &fe) && fe.Type == flags.ErrHelp:
		fmt.Println(fe.Message)
		return 0
	case errors.As(err, &fe):
		fmt.Fprintln(os.Stderr, fe.Message)
		return exitUsage
	case errors.As(err, &ee):
		fmt.Fprintln(os.Stderr, ee.text)
		return ee.code
	case errors.As(err, &re):
		fmt.Fprintln(os.Stderr, re.Error())
		if re.Verdict == verdict.MayHaveRun {
			return exitUnknown
		}
		return exitRefused
	}
	fmt.Fprintln(os.Stderr, err)
	return exitFailed
}
