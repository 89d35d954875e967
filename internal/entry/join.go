package entry

import (
	"context"
	"net"
	"strings"
	"time"

	"corianderhub.dev/corianderhub/platform"
)

const (
	// joinPatience is how long a daemon that starts waits for word of who else is
	// there before it acts as if it were alone.
	joinPatience = 500 * time.Millisecond
	// seedPause is the time between questions to the daemons named in the settings,
	// while the store does not say who is there.
	seedPause = 500 * time.Millisecond
	// maxJoinPause bounds the time between tries to be known at the store, which
	// doubles. Daemons that are heard already need it for those alone that start later.
	maxJoinPause = 4 * time.Second
)

// join makes the daemon known at the store and learns of the others, there or
// from the seeds.
func (ct *control) join(ctx context.Context) {
	seeds, stop := context.WithCancel(ctx)
	defer stop()
	ct.da.once(&ct.wg, func(context.Context) { ct.joinSeeds(seeds) })
	pause := retryPause
	for ctx.Err() == nil {
		known, err := ct.joinStore(ctx)
		if err == nil && known {
			return
		}
		if err != nil {
			ct.da.Log.Info("control: daemons not read.", "cause", err.Error())
			_ = ct.da.Clock.Sleep(ctx, pause) // The loop looks at ctx.
			pause = min(maxJoinPause, 2*pause)
		}
	}
}

// joinStore reads who is known at the store and which requests are quarantined, and makes
// this daemon known unless it is: one that starts again at its address costs no write.
func (ct *control) joinStore(ctx context.Context) (known bool, err error) {
	items, _, err := ct.da.store.Range(ctx, keyPrefix)
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
	ct.knowDaemons(ips)
	if known {
		ct.da.Log.Info("control: daemons known.", "count", len(ips))
		return true, nil
	}
	put := platform.Put{Key: daemonPrefix + ct.da.Settings.IP, Value: []byte(ct.da.Settings.Name)}
	_, err = ct.da.store.Txn(ctx, nil, []platform.Put{put}, nil)
	return false, err
}

// knowDaemons takes in who is there.
func (ct *control) knowDaemons(ips []string) {
	ct.da.mesh.AddPeers(ips)
	ct.post(func() {
		ct.joined = true
		ct.shareBudgets()
	})
}

// joinSeeds learns of the other daemons from those named in the settings, for the
// case that the store is away. Daemons that start together are known to the seeds a
// little later, so it asks again.
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
			ct.knowDaemons(more)
		}
		_ = ct.da.Clock.Sleep(ctx, seedPause) // The loop looks at ctx.
	}
}
