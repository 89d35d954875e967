package steward

import "time"

// A VM that leaves questions unanswered is silent, and not yet lost. Its own machine,
// the network, or the steward's machine may be late. What proves a loss depends on
// what stands against it: a group that serves is torn down only if streams of other
// daemons stand still there too, or if the silence lasts.

const (
	// silencePatience is how long a member that this steward has heard before must be
	// silent before its group is given up although no daemon finds its streams
	// standing still. Such a group runs no request, or its streams go on.
	silencePatience = 4 * time.Second
	// suspicionSpan is how long a daemon's word counts that a group stands still.
	// Daemons repeat it every 0.7 s.
	suspicionSpan = 2 * time.Second
	// noticeSpan is how long a member must be silent after the word of a daemon that its
	// group stands still: streams that only pause have gone on by then.
	noticeSpan = 200 * time.Millisecond
	// unheardPatience is silencePatience for a member that this steward has never
	// heard: it may have been dead before the steward began.
	unheardPatience = 600 * time.Millisecond
	// heldInterval is the time between questions to a silent member whose loss is not
	// proved.
	heldInterval = 250 * time.Millisecond
	// doubtSpan and doubtDomains tell from when on the steward doubts its own way to
	// the VMs: that many fabric domains had a VM that fell silent within that time.
	// Losses strike single VMs or one domain, or a data centre, whose groups' streams
	// then stand still for other daemons too.
	doubtSpan    = 600 * time.Millisecond
	doubtDomains = 3
)

// proved tells whether the silence of a group's member is to be taken as its loss.
func (co *Core) proved(gr *group, vm *vm, now time.Time) bool {
	switch {
	case co.vms[gr.members[0]] == nil || !co.complete(gr):
		// The group does not serve; its other members are of more use elsewhere.
		return true
	case now.Sub(vm.silentSince) > silencePatience:
		return true
	case now.Sub(gr.suspected) < suspicionSpan:
		return now.Sub(gr.suspectedFirst) >= noticeSpan && (!gr.ownWord || !co.doubtful(now))
	}
	return !vm.known && now.Sub(vm.silentSince) > unheardPatience && !co.doubtful(now)
}

// heldInterval is the time between questions to a silent member whose loss is not
// proved: none while that is about to be decided.
func (co *Core) heldInterval(vm *vm) time.Duration {
	if !vm.known {
		return 0
	}
	return heldInterval
}

// doubtful tells whether VMs of so many domains have fallen silent at once that the
// cause is likely to be this machine or its link.
func (co *Core) doubtful(now time.Time) bool {
	num := 0
	for _, at := range co.silences {
		if now.Sub(at) < doubtSpan {
			num++
		}
	}
	return num >= doubtDomains
}
