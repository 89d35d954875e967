package dispatch

import (
	"errors"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// ErrStalled is the cause of the context of a request whose group stands still.
var ErrStalled = errors.New("dispatch: the group stands still")

const (
	// minStall is how long a group with requests must emit nothing before its
	// members are asked. A pass takes 50 to 100 ms, with many prompts 200 ms.
	minStall = 260 * time.Millisecond
	// stallPasses is the same in predicted passes.
	stallPasses = 2.5
	// checkAgain is the time between questions to the members of a group that
	// goes on standing still although all of them answer.
	checkAgain = 700 * time.Millisecond
)

// Stalled returns the groups whose members are to be asked now, because this
// daemon's requests there stand still or the head can't be reached. Requests at groups that have left the
// view and stand still are ended, so that they go on elsewhere.
func (ta *Table) StalledGroups(now time.Time) []catalog.Group {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	var stalled []catalog.Group
	for _, gr := range ta.groups {
		if !gr.unreachable && (len(gr.streams) == 0 || now.Sub(gr.activity) < gr.patience()) {
			continue
		}
		if !gr.listed {
			gr.abandon()
			continue
		}
		if now.Sub(gr.checked) > checkAgain {
			gr.checked, gr.stalled = now, true
			stalled = append(stalled, gr.Group)
		}
	}
	return stalled
}

// Advancing returns the groups that stood still and whose streams have gone on since
// it was last called.
func (ta *Table) RecoveredGroups() []catalog.Group {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	var groups []catalog.Group
	for _, gr := range ta.groups {
		if gr.advancing && gr.listed {
			groups = append(groups, gr.Group)
		}
		gr.advancing = false
	}
	return groups
}

// patience is how long the group may emit nothing. Where no request of this
// daemon writes yet, that is no more than a first event that takes longer than
// predicted, as it does under load; taking such groups as lost would put their
// load on the others and make those late in turn.
func (gr *Group) patience() time.Duration {
	pr := predict(gr.engine, gr.model, gr.slowness(), gr.own.plus(gr.peers), 0)
	for ti := range gr.streams {
		if ti.first {
			return max(minStall, scale(pr.Pass, stallPasses))
		}
	}
	return max(minStall, scale(pr.FirstEvent, stallPasses))
}

func (gr *Group) abandon() {
	for ti := range gr.streams {
		ti.cancel(ErrStalled)
	}
}

// Broken ends the requests at a group that has lost a member, so that they go
// on elsewhere, and keeps new ones from it.
func (ta *Table) MarkBroken(name string, now time.Time) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if gr := ta.groups[name]; gr != nil {
		gr.stalled = true
		ta.moves.add(gr, now)
		gr.abandon()
	}
}

// Sound tells that all members of a group that stood still have answered. It
// is used again until it is asked about the next time.
func (ta *Table) MarkHealthy(name string) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if gr := ta.groups[name]; gr != nil {
		gr.stalled, gr.unreachable = false, false
	}
}

// Unreachable tells that no connection to a group's head could be opened. The
// group is not used until its members have answered, and they are asked at once. A
// daemon that has no stream at the group would else send it one request after the
// other, each of which waits for the timeout.
func (ta *Table) MarkUnreachable(gr *Group) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	gr.stalled, gr.unreachable = true, true
}

// Wrong tells that an endpoint refused a request as not its own: the view is
// old, and the group is not used until the next one.
func (ta *Table) MarkMisrouted(gr *Group) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	gr.stalled = true
}
