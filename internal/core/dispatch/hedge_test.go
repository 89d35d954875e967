package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// hedgedRequest is a request at a silent group with its second attempt at another one; second is nil
// if no group had a slot.
type hedgedRequest struct {
	first  runningRequest
	second *Ticket
	group  string
}

// silence makes a group silent and hedges its requests at other groups. The group stays in the view.
func (cw *slotSim) silence(name string) (*slotQueue, []hedgedRequest) {
	silent := cw.groups[name]
	cw.names = slices.DeleteFunc(cw.names, func(nm string) bool { return nm == name })
	for _, ta := range cw.daemons {
		ta.MarkBroken(name, cw.now)
	}
	var hedged []hedgedRequest
	for _, rr := range silent.running {
		ne := slotSimRequest()
		ne.Resumed, ne.Polled, ne.Exclude = true, true, []*Group{rr.ticket.Group}
		hr := hedgedRequest{first: rr}
		ch, ti := rr.ticket.ta.Pick(ne, ignore, cw.now)
		if ti != nil {
			hr.second, hr.group = ti, ch.Group.Name
			gr := cw.groups[hr.group]
			gr.waiting = append(gr.waiting, waitingRequest{cw.now, ti, false})
		}
		hedged = append(hedged, hr)
	}
	return silent, hedged
}

// resume lets a silent group go on. Requests whose second attempt has started end at the group; the
// second attempts of the others are canceled.
func (cw *slotSim) resume(name string, silent *slotQueue, hedged []hedgedRequest) {
	silent.running = nil
	for _, hr := range hedged {
		if hr.second != nil && !cw.cancelWaiting(hr) {
			hr.first.ticket.End()
			continue
		}
		silent.running = append(silent.running, hr.first)
	}
	cw.names = append(cw.names, name)
	for _, ta := range cw.daemons {
		ta.MarkHealthy(name)
	}
}

// cancelWaiting cancels a second attempt that has not started, and reports whether it did.
func (cw *slotSim) cancelWaiting(hr hedgedRequest) bool {
	gr := cw.groups[hr.group]
	before := len(gr.waiting)
	gr.waiting = slices.DeleteFunc(gr.waiting, func(wr waitingRequest) bool { return wr.ticket == hr.second })
	if len(gr.waiting) == before {
		return false
	}
	hr.second.Return(cw.now)
	return true
}

// requests returns the number of requests at all groups, as counted by the daemons themselves.
func (cw *slotSim) requests() int {
	num := 0
	for _, ta := range cw.daemons {
		num += ta.Requests(false)
	}
	return num
}

// Hedged requests: a group of 40 daemons falls silent under half and under nearly full load, and all
// hedge its requests at the same moment. Guards against overfilling the groups with second attempts, which
// hold slots twice, and against counting a request for good at the group whose attempt was canceled.
func TestHedgedRequestsAreSpread(t *testing.T) {
	for _, load := range []float64{0.5, 0.9} {
		t.Run(fmt.Sprint("load ", load), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(10) {
				cw := newSlotSim(seed, 40, 8)
				cw.reportLatency = slotSimRelayLatency
				cw.simulate(load*cw.capacity(), 4*time.Second)
				before := make(map[string]int)
				for name, gr := range cw.groups {
					before[name] = gr.size()
				}
				silent, hedged := cw.silence("group-0")
				for name, gr := range cw.groups {
					if moved := gr.size() - before[name]; name != "group-0" && moved > 10 {
						t.Errorf("seed %d: %d second attempts at %s, want at most 10", seed, moved, name)
					}
				}
				cw.simulate(load*cw.capacity(), time.Second)
				cw.resume("group-0", silent, hedged)
				cw.simulate(0, time.Minute)
				if num := cw.requests(); num != 0 {
					t.Errorf("seed %d: %d requests counted after all have ended", seed, num)
				}
			}
		})
	}
}
