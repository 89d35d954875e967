package dispatch

import (
	"errors"
	"fmt"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// ErrStalled means that a group has stalled. It may be lost, or go on after a while.
var ErrStalled = errors.New("dispatch: group stalled")

// The reasons why a group counts as stalled for its requests.
var (
	errNotInView  = fmt.Errorf("%w: not in the view", ErrStalled)
	errMemberLost = fmt.Errorf("%w: member does not serve", ErrStalled)
	errPathLost   = fmt.Errorf("%w: path to the leader lost", ErrStalled)
)

const (
	// minStall is the least time without an event after which a group with requests counts as
	// stalled. A pass takes 50 to 100 ms, and 200 ms with many prompts.
	minStall = 260 * time.Millisecond
	// stallPasses is the same time in predicted passes, or in predicted times to the first event if
	// none of this daemon's requests has emitted an event yet.
	stallPasses = 2.5
	// recheckInterval is the time between probes of the members of a group that stays stalled
	// although all of them respond.
	recheckInterval = 700 * time.Millisecond
)

// StalledGroups returns the groups whose members are to be probed now, because this daemon's
// requests there have stalled, the leader is unreachable, or the group has stalled before and has no
// requests, which could show that it goes on. For requests at stalled groups that have left the view,
// onStall is called.
func (ta *Table) StalledGroups(now time.Time) []catalog.Group {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	var stalled []catalog.Group
	for _, gr := range ta.groups {
		silent := len(gr.streams) > 0 && now.Sub(gr.lastActivity) >= gr.stallTimeout()
		unknown := gr.unreachable || gr.stalled && len(gr.streams) == 0
		switch {
		case !gr.inView && silent:
			gr.reportStall(errNotInView)
		case gr.inView && (silent || unknown) && now.Sub(gr.checkedAt) > recheckInterval:
			gr.checkedAt, gr.stalled = now, true
			stalled = append(stalled, gr.Group)
		}
	}
	return stalled
}

// RecoveredGroups returns the groups in the view that were stalled and have emitted events again
// since the last call.
func (ta *Table) RecoveredGroups() []catalog.Group {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	var groups []catalog.Group
	for _, gr := range ta.groups {
		if gr.recovered && gr.inView {
			groups = append(groups, gr.Group)
		}
		gr.recovered = false
	}
	return groups
}

// stallTimeout returns how long the group may emit nothing before it counts as stalled. If no
// request of this daemon has emitted an event yet, it is a multiple of the predicted time to the
// first event, which grows with the load: treating loaded groups as lost would shift their load to
// the others, whose requests would then be late as well.
func (gr *Group) stallTimeout() time.Duration {
	pr := predict(gr.engine, gr.model, gr.slowness(), gr.ownLoad.plus(gr.peerLoad), 0)
	for ti := range gr.streams {
		if ti.emitted {
			return max(minStall, scale(pr.Pass, stallPasses))
		}
	}
	return max(minStall, scale(pr.FirstEvent, stallPasses))
}

// reportStall calls onStall of this daemon's requests at the group.
func (gr *Group) reportStall(cause error) {
	for ti := range gr.streams {
		ti.onStall(cause)
	}
}

// ReportSilent calls onStall of the requests that were sent before the path to their group's leader was
// lost and that have emitted nothing for the group's stall timeout. lostSince returns since when the path
// to an address is lost, if it is. The group itself is not stalled: requests sent since then take another
// path.
func (ta *Table) ReportSilent(lostSince func(addr string) (time.Time, bool), now time.Time) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	for _, gr := range ta.groups {
		lostAt, lost := lostSince(gr.Leader().Address)
		if !lost {
			continue
		}
		for ti := range gr.streams {
			active := ti.sent
			if ti.lastEvent.After(active) {
				active = ti.lastEvent
			}
			if ti.sent.Before(lostAt) && now.Sub(active) >= gr.stallTimeout() {
				ti.onStall(errPathLost)
			}
		}
	}
}

// MarkBroken calls onStall of the requests at a group that seems to have lost a member, and excludes the
// group from new requests.
func (ta *Table) MarkBroken(name string, now time.Time) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if gr := ta.groups[name]; gr != nil {
		gr.stalled = true
		ta.moves.add(gr, now)
		gr.reportStall(errMemberLost)
	}
}

// MarkHealthy records that all members of a stalled group have responded. The group gets requests
// again until the next stall.
func (ta *Table) MarkHealthy(name string) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if gr := ta.groups[name]; gr != nil {
		gr.stalled, gr.unreachable = false, false
	}
}

// MarkUnreachable records that connecting to a group's leader has failed. The group gets no requests
// until its members have responded, and StalledGroups returns it at once. Otherwise a daemon without
// a stream at the group would send it one request after the other, each of which runs into the
// timeout.
func (ta *Table) MarkUnreachable(gr *Group) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	gr.stalled, gr.unreachable = true, true
}

// MarkMisrouted records that an endpoint rejected a request as addressed to another one: the view is
// outdated. The group gets no requests until it emits an event or its members have responded.
func (ta *Table) MarkMisrouted(gr *Group) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	gr.stalled = true
}
