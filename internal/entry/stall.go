package entry

import (
	"context"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/internal/mesh"
)

// probeTries is how often a member is asked before it counts as lost; one
// packet may be lost.
const probeTries = 2

// stepStalls looks for groups whose streams stand still, tells the steward,
// and asks their members itself: the steward may be behind a cut, or gone.
func (ct *control) stepStalls(now time.Time) {
	stalled := ct.da.table.Stalled(now)
	if len(stalled) == 0 {
		return
	}
	var suspects []mesh.Suspect
	for _, gr := range stalled {
		ct.da.Log.Info("control: group stands still.", "group", gr.Name, "epoch", gr.Epoch)
		suspects = append(suspects, mesh.Suspect{Group: gr.Name, Epoch: gr.Epoch})
		if ct.lease.core != nil {
			ct.lease.core.Suspect(gr.Name, gr.Epoch, now)
		}
		ct.da.once(&ct.wg, func(ctx context.Context) { ct.probe(ctx, gr) })
	}
	ct.sendBeat(beatExtra{suspects: suspects, to: mesh.ToSteward})
	if ct.lease.core != nil {
		ct.stepSteward(now)
	}
}

// probe asks all members of a group. One that does not answer is lost, and the
// group's requests go on elsewhere.
func (ct *control) probe(ctx context.Context, gr catalog.Group) {
	lost := make(chan string, len(gr.Members))
	for _, me := range gr.Members {
		go func() {
			if ct.answers(ctx, gr, me) {
				lost <- ""
				return
			}
			lost <- me.ID
		}()
	}
	for range gr.Members {
		if id := <-lost; id != "" {
			ct.da.Log.Info("control: group lost a member.", "group", gr.Name, "member", id)
			ct.da.table.Broken(gr.Name)
			return
		}
	}
	ct.da.table.Sound(gr.Name)
}

// answers tells whether a member is there and still belongs to the group.
func (ct *control) answers(ctx context.Context, gr catalog.Group, me catalog.Member) bool {
	for range probeTries {
		re, err := ct.da.report(ctx, me.ID, me.Address, urgentTimeout, true)
		if err == nil {
			return re.Member != nil && re.Member.Group == gr.Name && re.Member.Epoch == gr.Epoch && re.Member.State != catalog.Broken
		}
	}
	return false
}
