package entry

import (
	"context"
	"net"
	"strings"
	"time"
)

const (
	// joinTimeout is how long a starting daemon waits to discover the other daemons before
	// it proceeds as if it were alone.
	joinTimeout = 500 * time.Millisecond
	// seedInterval is the time between queries to the seed daemons while the store has not
	// returned the list of daemons.
	seedInterval = 500 * time.Millisecond
	// maxJoinPause bounds the time between attempts to register at the store, which
	// doubles. A running daemon needs its registration only so that daemons which start
	// later discover it.
	maxJoinPause = 4 * time.Second
)

// join registers the daemon at the store and discovers the other daemons from the store or
// the seeds.
func (ct *control) join(ctx context.Context) {
	seeds, stop := context.WithCancel(ctx)
	defer stop()
	ct.da.spawn(&ct.wg, func(context.Context) { ct.joinSeeds(seeds) })
	pause := retryPause
	for ctx.Err() == nil {
		known, err := ct.joinStore(ctx)
		if err == nil && known {
			return
		}
		if err != nil {
			ct.da.Log.Info("control: registering at the store failed.", "cause", err.Error())
			_ = ct.da.Clock.Sleep(ctx, pause) // The loop checks ctx.
			pause = min(maxJoinPause, 2*pause)
		}
	}
}

// joinStore reads the daemons and quarantined requests from the store and registers this
// daemon if it is not registered yet. A daemon that restarts at its address costs no write.
func (ct *control) joinStore(ctx context.Context) (known bool, err error) {
	items, at, err := ct.da.store.Range(ctx, keyPrefix)
	if err != nil {
		return false, err
	}
	daemons, quarantined := splitKeys(items)
	ct.post(func() { ct.readQuarantine(quarantined) })
	var ips []string
	for _, it := range daemons {
		ip := strings.TrimPrefix(it.Key, daemonPrefix)
		known = known || ip == ct.da.Settings.IP
		ips = append(ips, ip)
	}
	ct.addDaemons(ips)
	if known {
		ct.da.Log.Info("control: daemons known.", "count", len(ips))
		ct.post(func() { ct.knowsDaemons, ct.registeredEra = true, at.Era })
		return true, nil
	}
	return false, ct.writeRegistration(ctx)
}

// addDaemons adds discovered daemons to the mesh.
func (ct *control) addDaemons(ips []string) {
	ct.da.mesh.AddPeers(ips)
	ct.post(func() {
		ct.joined = true
		ct.shareBudgets()
	})
}

// joinSeeds discovers the other daemons from the seeds in the settings, in case the store
// is unavailable. It repeats the query, since a seed learns of daemons that start at the
// same time a little later.
func (ct *control) joinSeeds(ctx context.Context) {
	var seeds []string
	for _, seed := range ct.da.Settings.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil && host != ct.da.Settings.IP {
			seeds = append(seeds, host)
		}
	}
	ct.da.mesh.AddPeers(seeds)
	for ctx.Err() == nil {
		for _, ip := range seeds {
			more, err := ct.da.peers.Daemons(ctx, ip)
			if err != nil {
				ct.da.Log.Debug("control: seed did not answer.", "seed", ip, "cause", err.Error())
				continue
			}
			ct.addDaemons(more)
		}
		_ = ct.da.Clock.Sleep(ctx, seedInterval) // The loop checks ctx.
	}
}
