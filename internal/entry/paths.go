package entry

import (
	"context"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/internal/core/reach"
)

// relayCandidates returns the daemons that may open connections to endpoints for this one.
func (da *Daemon) relayCandidates() []reach.Candidate {
	var candidates []reach.Candidate
	for _, pe := range da.mesh.Alive() {
		if pe.Accepting {
			candidates = append(candidates, reach.Candidate{IP: pe.IP, DataCenter: pe.DataCenter, Lost: pe.LostPaths})
		}
	}
	return candidates
}

// cutOffPaths is the number of lost paths from which on a daemon expects to have lost the others too.
const cutOffPaths = 2

// pathLost closes idle connections over a path that was found lost.
func (da *Daemon) pathLost(addr string) {
	da.pool.CloseIdle(addr)
	if _, lost := da.dialer.Paths.Counts(da.Clock.Now()); lost >= cutOffPaths {
		da.pool.CloseAllIdle()
	}
}

// otherEndpoints returns the addresses of the endpoints in the view that are not at addr: those of
// the same service, or of all services if there are none.
func (da *Daemon) otherEndpoints(addr string) []string {
	vi := da.view.Load()
	if vi == nil {
		return nil
	}
	byService := make(map[string][]string)
	service := ""
	add := func(of, at string) {
		if at == addr {
			service = of
			return
		}
		byService[of] = append(byService[of], at)
	}
	for _, gr := range vi.Groups {
		for _, me := range gr.Members {
			add(gr.Service, me.Address)
		}
	}
	for _, pe := range vi.Plain {
		add(pe.Service, pe.Address)
	}
	if same := byService[service]; len(same) > 0 {
		return same
	}
	var all []string
	for _, list := range byService {
		all = append(all, list...)
	}
	return all
}

// checkPath opens a connection to a stalled group's leader, which shows whether the path to it is
// lost.
func (ct *control) checkPath(ctx context.Context, gr catalog.Group) {
	if nc, err := ct.da.dialer.Dial(ctx, gr.Leader().Address); err == nil {
		nc.Close()
	}
}

// moveFromLostPaths moves the streams that have fallen silent at groups whose leader this daemon
// does not reach any more. The group serves, and gets their rest over another path.
func (ct *control) moveFromLostPaths(now time.Time) {
	if _, lost := ct.da.dialer.Paths.Counts(now); lost > 0 {
		ct.da.table.ReportSilent(ct.da.dialer.Paths.LostSince, now)
	}
}

// logUnreached logs changes of the number of endpoints that are unreachable from this daemon, and how
// many of them other daemons reach: a network partition, as opposed to endpoints that are down.
func (ct *control) logUnreached(now time.Time) {
	num, lost := ct.da.dialer.Paths.Counts(now)
	switch {
	case num > 0 && num != ct.unreached:
		ct.da.Log.Info("control: endpoints not reached.", "count", num, "through-others", lost, "before", ct.unreached)
	case num == 0 && ct.unreached > 0:
		ct.da.Log.Info("control: endpoints reached again.", "before", ct.unreached)
	}
	ct.unreached = num
}
