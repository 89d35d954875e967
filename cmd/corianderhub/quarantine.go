package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"corianderhub.dev/corianderhub/internal/entry"
	"corianderhub.dev/corianderhub/internal/operator"
	"corianderhub.dev/corianderhub/pkg/admin"
	"corianderhub.dev/corianderhub/platform"
)

const quarantineUsage = `Lists or releases the requests and parts of prompts that are refused because
servers crash on them.

Without --settings, the command calls the daemon at --address. On the platform, daemons
serve no calls of operators: with --settings, which names the platform's settings
file, the command reads and writes the entries in the store, and daemons follow these
within a few seconds.`

// storeFlags select the platform's store instead of a daemon.
type storeFlags struct {
	Settings string `long:"settings" env:"CORIANDERHUB_SETTINGS" description:"the platform's settings file; the command then uses the store"`
}

// store returns the quarantine entries in the store, or nil without --settings.
func (sf storeFlags) store() (*entry.QuarantineStore, error) {
	if sf.Settings == "" {
		return nil, nil
	}
	set, err := platform.ReadSettings(sf.Settings)
	if err != nil {
		return nil, &exitError{exitRefused, err.Error()}
	}
	return entry.NewQuarantineStore(set.Store.Address), nil
}

type quarantineCommand struct {
	List    quarantineListCommand    `command:"list" description:"list what is in quarantine"`
	Release quarantineReleaseCommand `command:"release" description:"release a subject from quarantine at all daemons"`
}

func newQuarantineCommand(ctx context.Context) *quarantineCommand {
	return &quarantineCommand{List: quarantineListCommand{ctx: ctx}, Release: quarantineReleaseCommand{ctx: ctx}}
}

// Execute implements flags.Commander. It is called without a subcommand only.
func (qc *quarantineCommand) Execute([]string) error {
	return &exitError{exitUsage, "quarantine: either list or release is required"}
}

type quarantineListCommand struct {
	ctx context.Context
	operatorFlags
	storeFlags
}

// Execute implements flags.Commander.
func (lc *quarantineListCommand) Execute([]string) error {
	qu, err := lc.list()
	if err != nil {
		return err
	}
	if lc.JSON {
		return printJSON(qu)
	}
	return printQuarantine(qu)
}

func (lc *quarantineListCommand) list() (admin.Quarantine, error) {
	st, err := lc.store()
	if err != nil {
		return admin.Quarantine{}, err
	}
	if st == nil {
		cl, err := lc.client()
		if err != nil {
			return admin.Quarantine{}, err
		}
		return cl.Quarantine(lc.ctx)
	}
	qu := admin.Quarantine{Subjects: []admin.Quarantined{}}
	now := time.Now()
	held, err := st.Held(lc.ctx, now)
	for _, en := range held {
		qu.Subjects = append(qu.Subjects, operator.Describe(en, now))
	}
	return qu, err
}

func printQuarantine(qu admin.Quarantine) error {
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "SUBJECT\tKIND\tSINCE\tUNTIL")
	for _, su := range qu.Subjects {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\n", su.Subject, su.Kind, su.Since.UTC().Format(time.RFC3339), su.Until.UTC().Format(time.RFC3339))
	}
	return tw.Flush()
}

type quarantineReleaseCommand struct {
	ctx context.Context
	operatorFlags
	storeFlags
	Reason string `long:"reason" description:"why, for the log and the store; required"`
	Args   struct {
		Subject string `positional-arg-name:"SUBJECT" description:"as listed"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (rc *quarantineReleaseCommand) Execute([]string) error {
	re := admin.Release{Subject: rc.Args.Subject, Operator: operatorName(), Reason: strings.TrimSpace(rc.Reason)}
	done, err := rc.release(re)
	if err != nil {
		return err
	}
	if rc.JSON {
		return printJSON(done)
	}
	fmt.Println("released", done.Subject)
	return nil
}

func (rc *quarantineReleaseCommand) release(re admin.Release) (admin.Quarantined, error) {
	subject, problems := operator.CheckRelease(re)
	if len(problems) > 0 {
		var lines []string
		for _, pr := range problems {
			lines = append(lines, pr.String())
		}
		return admin.Quarantined{}, &exitError{exitRefused, strings.Join(lines, "\n")}
	}
	st, err := rc.store()
	if err != nil {
		return admin.Quarantined{}, err
	}
	if st == nil {
		cl, err := rc.client()
		if err != nil {
			return admin.Quarantined{}, err
		}
		return cl.Release(rc.ctx, re)
	}
	now := time.Now()
	en, err := st.Release(rc.ctx, subject, re.Operator, re.Reason, now)
	switch {
	case errors.Is(err, platform.ErrUnknown), errors.Is(err, platform.ErrRestored):
		return admin.Quarantined{}, &exitError{exitUnknown, "whether the release was stored is unknown; repeat it: " + err.Error()}
	case err != nil:
		return admin.Quarantined{}, &exitError{exitRefused, "not released: " + err.Error()}
	}
	return operator.Describe(en, now), nil
}
