package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"corianderhub.dev/corianderhub/pkg/admin"
)

const statusUsage = `Shows the daemons, the configuration revision in force at each, and the groups.

The output is the state of the system as the daemon at --address sees it. A group
is "serving" if that daemon may send requests to it now.`

type statusCommand struct {
	ctx context.Context
	operatorFlags
}

// Execute implements flags.Commander.
func (sc *statusCommand) Execute([]string) error {
	cl, err := sc.client()
	if err != nil {
		return err
	}
	st, err := cl.Status(sc.ctx)
	if err != nil {
		return err
	}
	if sc.JSON {
		return printJSON(st)
	}
	return printStatus(st)
}

// printStatus prints st as tables. A daemon without a revision did not answer.
func printStatus(st admin.Status) error {
	fmt.Printf("revision %d, steward %s (epoch %d)\n\n", st.Revision, orDash(st.Steward), st.Epoch)
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "DAEMON\tDATA CENTER\tSTATE\tREVISION\tCALLERS")
	for _, dm := range st.Daemons {
		revision := "no answer"
		if dm.Revision > 0 {
			revision = fmt.Sprint(dm.Revision)
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\n", dm.Name, dm.DataCenter, dm.State, revision, dm.Caller)
	}
	fmt.Fprintln(tw, "\nGROUP\tMODEL\tVERSION\tDOMAIN\tSTATE\tVMS")
	for _, gr := range st.Groups {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%s\n", gr.ID, gr.Model, gr.Version, gr.Domain, groupState(gr), strings.Join(gr.VMs, " "))
	}
	return tw.Flush()
}

func groupState(gr admin.Group) string {
	switch {
	case gr.Draining:
		return "draining"
	case gr.Serving:
		return "serving"
	}
	return "down"
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
