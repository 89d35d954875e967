package main

import (
	"context"
	"fmt"
)

const explainUsage = `Tells how the daemon at --address handled a request: where it was sent and
why, and what came of each attempt. A daemon remembers some thousand requests.
The identifier is in the X-Request-Id header of every answer.`

type explainCommand struct {
	ctx context.Context
	operatorFlags
	Args struct {
		RequestID string `positional-arg-name:"REQUEST-ID"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (ec *explainCommand) Execute([]string) error {
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
