package main

import (
	"context"
	"fmt"
	"os/user"

	"github.com/google/uuid"

	"corianderhub.dev/corianderhub/pkg/admin"
)

const applyUsage = `Applies the declarations in FILE, all of them or none.

Objects that FILE does not name stay unchanged; "delete = [...]" at its top
removes objects. If the outcome is unknown (exit code 4), repeat the command
with the --operation that was printed: an operation is applied once, however
often the command is repeated.`

type applyCommand struct {
	ctx context.Context
	operatorFlags
	Base      uint64 `long:"base" description:"refuse if an object was changed since this revision"`
	Operation string `long:"operation" description:"identifier of an apply to repeat"`
	Args      struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (ac *applyCommand) Execute([]string) error {
	text, err := readFile(ac.Args.File)
	if err != nil {
		return err
	}
	cl, err := ac.client()
	if err != nil {
		return err
	}
	if ac.Operation == "" {
		ac.Operation = uuid.NewString()
	}
	done, err := cl.Apply(ac.ctx, admin.Apply{File: ac.Args.File, Text: text, Operation: ac.Operation, Operator: operatorName(), Base: ac.Base})
	if err != nil {
		return fmt.Errorf("operation %s: %w", ac.Operation, err)
	}
	if ac.JSON {
		return printJSON(done)
	}
	fmt.Printf("in force as revision %d (operation %s):\n", done.Revision, done.Operation)
	printChanges(done.Changes)
	return nil
}

// operatorName returns the name of the local user, or "unknown". Daemons store
// it with the changed objects and name it in conflicts.
func operatorName() string {
	us, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return us.Username
}
