package main

import (
	"context"
	"fmt"

	"corianderhub.dev/corianderhub/pkg/admin"
)

const planUsage = `Shows what applying FILE would change, without changing anything.

Pass the printed revision to "apply --base" to have the apply refused if one of
its objects was changed in the meantime.`

type planCommand struct {
	ctx context.Context
	operatorFlags
	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (pc *planCommand) Execute([]string) error {
	text, err := readFile(pc.Args.File)
	if err != nil {
		return err
	}
	cl, err := pc.client()
	if err != nil {
		return err
	}
	done, err := cl.Plan(pc.ctx, admin.Apply{File: pc.Args.File, Text: text})
	if err != nil {
		return err
	}
	if pc.JSON {
		return printJSON(done)
	}
	fmt.Printf("on top of revision %d:\n", done.Revision)
	printChanges(done.Changes)
	return nil
}

// printChanges prints each change with the object before (-) and after (+) it.
func printChanges(changes []admin.Diff) {
	if len(changes) == 0 {
		fmt.Println("nothing changes")
	}
	for _, di := range changes {
		fmt.Printf("%-6s %s\n", di.Action, di.ID)
		if di.Before != "" {
			fmt.Printf("       - %s\n", di.Before)
		}
		if di.After != "" {
			fmt.Printf("       + %s\n", di.After)
		}
	}
}
