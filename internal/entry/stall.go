package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/internal/mesh"
)

// probeAttempts is how often a member is probed before it counts as lost, since a packet
// may be lost.
const probeAttempts = 2

// probeTimeout bounds a probe of a member, which normally takes about 3 ms.
const probeTimeout = 120 * time.Millisecond

// stepStalls detects groups whose streams have stalled and reports them to the steward. The
// daemon probes their members itself only in small deployments or without a steward. When
// all of 68 daemons did so, each pause of a loaded group caused over 1,000 probes, and
// small machines could not process the responses in time.
func (ct *control) stepStalls(now time.Time) {
	ct.reportProgress(now)
	ct.moveFromLostPaths(now)
	stalled := ct.da.table.StalledGroups(now)
	if len(stalled) == 0 {
		return
	}
	direct := ct.da.mesh.Direct()
	ownProbe := direct || ct.lease.core == nil && now.Sub(ct.lastStewardHeartbeat) > stewardLateAfter
	var stallReports []mesh.GroupRef
	for _, gr := range stalled {
		ct.da.Log.Info("control: group stands still.", "group", gr.Name, "epoch", gr.Epoch)
		stallReports = append(stallReports, mesh.GroupRef{Group: gr.Name, Epoch: gr.Epoch})
		if ct.lease.core != nil {
			ct.lease.core.HandleStallReport(gr.Name, gr.Epoch, true, now)
		}
		if ownProbe && (direct || ct.probing < maxProbes) {
			ct.probing++
			ct.da.spawn(&ct.wg, func(ctx context.Context) {
				ct.probe(ctx, gr)
				ct.post(func() { ct.probing-- })
			})
		}
		if !ownProbe && ct.checkingPaths < maxPathChecks {
			ct.checkingPaths++
			ct.da.spawn(&ct.wg, func(ctx context.Context) {
				ct.checkPath(ctx, gr)
				ct.post(func() { ct.checkingPaths-- })
			})
		}
	}
	ct.sendHeartbeat(heartbeatExtra{stallReports: stallReports, to: mesh.ToSteward})
	if ct.lease.core != nil {
		ct.stepSteward(now)
	}
}

// reportProgress reports groups to the steward that this daemon had reported as stalled and
// whose streams advance again. All their members are alive, even if one leaves a poll
// unanswered.
func (ct *control) reportProgress(now time.Time) {
	var progressReports []mesh.GroupRef
	for _, gr := range ct.da.table.RecoveredGroups() {
		progressReports = append(progressReports, mesh.GroupRef{Group: gr.Name, Epoch: gr.Epoch})
		if ct.lease.core != nil {
			ct.lease.core.HandleProgressReport(gr.Name, gr.Epoch, now)
		}
	}
	if len(progressReports) > 0 && ct.lease.core == nil {
		ct.sendHeartbeat(heartbeatExtra{progressReports: progressReports, to: mesh.ToSteward})
	}
}

const (
	// stewardLateAfter is the time since the steward's last heartbeat, about four
	// intervals, after which a daemon in a large deployment probes stalled groups itself.
	stewardLateAfter = 800 * time.Millisecond
	// maxProbes bounds the groups that a daemon in a large deployment probes concurrently:
	// in 8 s without a steward, 195 daemons sent 65,000 probes to groups of up to 32
	// members.
	maxProbes = 2
	// maxPathChecks bounds the groups to whose leaders a daemon that does not probe opens a
	// connection concurrently.
	maxPathChecks = 8
)

// healthyGroups are groups that the steward found healthy after a stall report, with the
// end of their announcement.
type healthyGroups map[mesh.GroupRef]time.Time

// announceHealthyFor is how long a group is announced as healthy, since a heartbeat or two
// may be lost. It is less than recheckInterval in package dispatch, so that an old
// announcement does not clear a new stall report.
const announceHealthyFor = 350 * time.Millisecond

// add announces a group as healthy for announceHealthyFor.
func (sg healthyGroups) add(su mesh.GroupRef, now time.Time) { sg[su] = now.Add(announceHealthyFor) }

// recent returns the groups to announce and removes expired ones.
func (sg healthyGroups) recent(now time.Time) []mesh.GroupRef {
	var recent []mesh.GroupRef
	for su, until := range sg {
		if now.After(until) {
			delete(sg, su)
			continue
		}
		recent = append(recent, su)
	}
	return recent
}

// probeResult is the result of probing a member. answered is set if it responded at all, lost if it
// does not serve in the group any more or did not respond.
type probeResult struct {
	member         string
	answered, lost bool
}

// probe probes all members of a group. If one does not respond while other endpoints do, the group is
// marked as broken and its requests are retried elsewhere. If none responds, nothing is known: this
// daemon may be cut off, or all of them silent for a moment. The group is probed again if it stays
// stalled.
func (ct *control) probe(ctx context.Context, gr catalog.Group) {
	results := make(chan probeResult, len(gr.Members))
	for _, me := range gr.Members {
		go func() { results <- ct.probeMember(ctx, gr, me) }()
	}
	lost, answered := "", false
	for range gr.Members {
		re := <-results
		answered = answered || re.answered
		if re.lost {
			lost = re.member
		}
	}
	switch {
	case lost == "":
		ct.da.table.MarkHealthy(gr.Name)
	case answered || ct.anyResponds(ctx, gr):
		ct.da.Log.Info("control: group lost a member.", "group", gr.Name, "member", lost)
		ct.da.table.MarkBroken(gr.Name, ct.da.Clock.Now())
	default:
		ct.da.Log.Info("control: no endpoint responds, group kept.", "group", gr.Name, "member", lost)
	}
}

// probeMember probes a member of a group.
func (ct *control) probeMember(ctx context.Context, gr catalog.Group, me catalog.Member) probeResult {
	for tries := 0; tries < probeAttempts; tries++ {
		sentAt := ct.da.Clock.Now()
		re, err := ct.da.report(ctx, me.ID, me.Address, probeTimeout, true)
		if err == nil {
			serves := re.Member != nil && re.Member.Group == gr.Name && re.Member.Epoch == gr.Epoch && re.Member.State != catalog.Broken
			return probeResult{member: me.ID, answered: true, lost: !serves}
		}
		if ct.lateSince(sentAt) {
			// The timeout proves nothing if this machine ran late. The group is probed
			// again if it stays stalled.
			return probeResult{member: me.ID}
		}
	}
	return probeResult{member: me.ID, lost: true}
}

// maxWitnesses is the number of endpoints of other groups that are probed when no member of a group
// responds.
const maxWitnesses = 4

// anyResponds reports whether one of a few endpoints outside a group responds.
func (ct *control) anyResponds(ctx context.Context, gr catalog.Group) bool {
	vi := ct.da.view.Load()
	if vi == nil {
		return false
	}
	var others []catalog.Member
	for _, other := range vi.Groups {
		if other.Name != gr.Name {
			others = append(others, other.Members...)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(len(others), maxWitnesses)]
	responds := make(chan bool, len(others))
	for _, me := range others {
		go func() {
			_, err := ct.da.report(ctx, me.ID, me.Address, probeTimeout, true)
			responds <- err == nil
		}()
	}
	for range others {
		if <-responds {
			return true
		}
	}
	return false
}
