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

// probeTimeout bounds a question to a member, which takes some 3 ms.
const probeTimeout = 120 * time.Millisecond

// stepStalls looks for groups whose streams stand still and tells the steward.
// It asks their members itself where daemons are few, or while no steward is
// heard. Where 68 daemons all did so, each pause of a loaded group made over
// 1,000 questions, and small machines were too late for the answers.
func (ct *control) stepStalls(now time.Time) {
	ct.tellAdvancing(now)
	stalled := ct.da.table.StalledGroups(now)
	if len(stalled) == 0 {
		return
	}
	direct := ct.da.mesh.Direct()
	ownProbe := direct || ct.lease.core == nil && now.Sub(ct.heard) > manyStewardLate
	var suspects []mesh.GroupRef
	for _, gr := range stalled {
		ct.da.Log.Info("control: group stands still.", "group", gr.Name, "epoch", gr.Epoch)
		suspects = append(suspects, mesh.GroupRef{Group: gr.Name, Epoch: gr.Epoch})
		if ct.lease.core != nil {
			ct.lease.core.HandleStallReport(gr.Name, gr.Epoch, true, now)
		}
		if ownProbe && (direct || ct.probing < maxProbes) {
			ct.probing++
			ct.da.once(&ct.wg, func(ctx context.Context) {
				ct.probe(ctx, gr)
				ct.post(func() { ct.probing-- })
			})
		}
	}
	ct.sendBeat(beatExtra{suspects: suspects, to: mesh.ToSteward})
	if ct.lease.core != nil {
		ct.stepSteward(now)
	}
}

// tellAdvancing tells the steward of groups that this daemon had found standing still
// and whose streams go on: all their members are alive, whoever leaves a question
// unanswered.
func (ct *control) tellAdvancing(now time.Time) {
	var groups []mesh.GroupRef
	for _, gr := range ct.da.table.RecoveredGroups() {
		groups = append(groups, mesh.GroupRef{Group: gr.Name, Epoch: gr.Epoch})
		if ct.lease.core != nil {
			ct.lease.core.HandleProgressReport(gr.Name, gr.Epoch, now)
		}
	}
	if len(groups) > 0 && ct.lease.core == nil {
		ct.sendBeat(beatExtra{advancing: groups, to: mesh.ToSteward})
	}
}

const (
	// manyStewardLate is the silence of the steward from which a daemon of many does
	// not rely on it for an answer: some four beats.
	manyStewardLate = 800 * time.Millisecond
	// maxProbes bounds the groups whose members a daemon of many asks at a time: in 8 s
	// without a steward 195 daemons made 65,000 questions to groups of up to 32.
	maxProbes = 2
)

// soundGroups are groups that the steward has found sound after they had been
// suspected, until when the others are told.
type soundGroups map[mesh.GroupRef]time.Time

// tellSound is how long the others are told; a beat or two may be lost. It is
// less than checkAgain in package dispatch, so that a group that is suspected
// anew is not cleared by an old answer.
const tellSound = 350 * time.Millisecond

func (sg soundGroups) note(su mesh.GroupRef, now time.Time) { sg[su] = now.Add(tellSound) }

// lately returns the groups to tell of and forgets old ones.
func (sg soundGroups) lately(now time.Time) []mesh.GroupRef {
	var lately []mesh.GroupRef
	for su, until := range sg {
		if now.After(until) {
			delete(sg, su)
			continue
		}
		lately = append(lately, su)
	}
	return lately
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
			ct.da.table.MarkBroken(gr.Name, ct.da.Clock.Now())
			return
		}
	}
	ct.da.table.MarkHealthy(gr.Name)
}

// answers tells whether a member is there and still belongs to the group.
func (ct *control) answers(ctx context.Context, gr catalog.Group, me catalog.Member) bool {
	for tries := 0; tries < probeTries; tries++ {
		asked := ct.da.Clock.Now()
		re, err := ct.da.report(ctx, me.ID, me.Address, probeTimeout, true)
		if err == nil {
			return re.Member != nil && re.Member.Group == gr.Name && re.Member.Epoch == gr.Epoch && re.Member.State != catalog.Broken
		}
		if ct.lateSince(asked) {
			// What this machine was too late for says nothing of the member. The
			// group is asked about again if it goes on standing still.
			return true
		}
	}
	return false
}
