package main

import (
	"context"
	"fmt"
	"os"

	"corianderhub.dev/corianderhub/internal/core/intent"
	"corianderhub.dev/corianderhub/internal/operator"
	"corianderhub.dev/corianderhub/pkg/admin"
)

const checkUsage = `Checks files of declarations and prints all problems in them.

Without --online the files are checked one on top of the other, starting from an
empty configuration. With --online they are checked on top of the configuration
in force. Exits with 3 if there are problems.`

type checkCommand struct {
	ctx context.Context
	operatorFlags
	Online bool `long:"online" description:"check on top of the configuration in force"`
	Args   struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (cc *checkCommand) Execute([]string) error {
	cfg := intent.New()
	var problems []admin.Problem
	for _, file := range cc.Args.Files {
		text, err := readFile(file)
		if err != nil {
			return err
		}
		if cc.Online {
			if err := cc.checkOnline(file, text); err != nil {
				return err
			}
			continue
		}
		de, found := operator.Check(file, text, cfg)
		problems = append(problems, found...)
		cfg = cfg.With(de.Change, cfg.Revision)
	}
	return cc.print(problems)
}

// checkOnline has the daemon at --address check the file. The error lists the
// problems.
func (cc *checkCommand) checkOnline(file, text string) error {
	cl, err := cc.client()
	if err != nil {
		return err
	}
	_, err = cl.Check(cc.ctx, admin.Apply{File: file, Text: text})
	return err
}

// print prints the problems and returns an error if there are any.
func (cc *checkCommand) print(problems []admin.Problem) error {
	if cc.JSON {
		if err := printJSON(append([]admin.Problem{}, problems...)); err != nil {
			return err
		}
	}
	for _, pr := range problems {
		if !cc.JSON {
			fmt.Fprintln(os.Stderr, pr)
		}
	}
	if len(problems) > 0 {
		return &exitError{exitRefused, fmt.Sprintf("refused; problems: %d", len(problems))}
	}
	return nil
}
