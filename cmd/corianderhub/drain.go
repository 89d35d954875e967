package main

import (
	"context"
	"fmt"
)

const drainUsage = `Stops the daemon at --address gracefully.

The command returns at once; the daemon's process exits when nothing is in
flight.`

type drainCommand struct {
	ctx context.Context
	operatorFlags
}

// Execute implements flags.Commander.
func (dc *drainCommand) Execute([]string) error {
	cl, err := dc.client()
	if err != nil {
		return err
	}
	if err := cl.Drain(dc.ctx); err != nil {
		return err
	}
	fmt.Println("leaving")
	return nil
}
