// Command corianderhub runs the daemon of an entry VM and provides the commands
// that operators use to configure and inspect the system.
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

// Exit codes, as documented by `corianderhub help exit-codes`.
const (
	exitFailed  = 1
	exitUsage   = 2
	exitRefused = 3
	exitUnknown = 4
)

const usage = `corianderhub serves language models whose replicas span several VMs.

Run a daemon with "corianderhub serve FILE". The other commands are for
operators. "corianderhub help" lists further help pages.`

// exitError makes the program print text to standard error and exit with code.
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

// run parses args, executes the subcommand and returns the exit code.
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

// command is one subcommand with its help texts. Its data receives the parsed
// flags and executes the subcommand.
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
		{"apply", "apply a file of declarations", applyUsage, &applyCommand{ctx: ctx}},
		{"status", "show daemons and groups", statusUsage, &statusCommand{ctx: ctx}},
		{"drain", "stop a daemon gracefully", drainUsage, &drainCommand{ctx: ctx}},
		{"explain", "explain how a request was handled", explainUsage, &explainCommand{ctx: ctx}},
		{"quarantine", "list or release what is in quarantine", quarantineUsage, newQuarantineCommand(ctx)},
		{"keys", "generate TLS keys and tokens", keysUsage, &keysCommand{}},
		{"version", "print the version", versionUsage, &versionCommand{}},
		{"help", "print a help page", helpUsage, &helpCommand{}},
	}
}

// report prints err to standard error and returns the exit code for it. A
// request for help is no error: its text goes to standard output.
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
