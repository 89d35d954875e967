package entry

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/internal/core/steward"
	"corianderhub.dev/corianderhub/internal/mesh"
	"corianderhub.dev/corianderhub/platform"
)

// Keys of the project in the store.
const (
	keyPrefix    = "corianderhub/"
	stewardKey   = keyPrefix + "steward"
	daemonPrefix = keyPrefix + "daemons/"
)

const (
	// leaseTTL is how long a failed steward's lease prevents others from taking over. No
	// group is repaired in that time, and under frequent failures a group loses a member
	// every two seconds. The lease outlasts three renewals against a slow store, which
	// answers in 400 ms. In outages of the store the promises of the other daemons replace
	// it.
	leaseTTL = 1800 * time.Millisecond
	// renewInterval is the interval of lease renewals.
	renewInterval = 450 * time.Millisecond
	// leaseMargin is subtracted from the lease's duration by its holder.
	leaseMargin = 300 * time.Millisecond
	// startupStewardTimeout is how long a daemon that has just started waits for a
	// steward's heartbeat before it tries to acquire the lease. The steward learns of the
	// daemon from its first heartbeat and sends its own every 80 ms. After a loss of all
	// daemons there is no steward for this long.
	startupStewardTimeout = 750 * time.Millisecond
	// rankDelay staggers the attempts of the daemons: each waits for those that precede
	// it.
	rankDelay = 250 * time.Millisecond
	// campaignInterval is the time between checks whether to try to acquire the lease.
	campaignInterval = 300 * time.Millisecond
	// holderProbeTimeout bounds the check whether the lease holder's process is alive.
	holderProbeTimeout = 150 * time.Millisecond
)

// stewardship is the part of the control state that belongs to the steward's lease.
type stewardship struct {
	// core is nil unless this daemon is the steward.
	core *steward.Core
	term int64
	// until is the time since boot until which the store's lease is held.
	until time.Duration
	// resign stops the renewal of the lease. resigning is set from then on.
	resign    context.CancelFunc
	resigning bool
	// sequence counts the views of the term. published is the last one.
	sequence  int64
	published *catalog.View
	// endpointsAt and configAt are when the store last confirmed the endpoints and the
	// configuration. They are kept when the lease is acquired or lost.
	endpointsAt, configAt time.Time
	// unheldSince is when the lease was first not known to be held; zero while it is known
	// to be held.
	unheldSince time.Time
	// nextStep is the earliest time of the next step.
	nextStep time.Time
	// demandAt is when the core last received the callers' demand.
	demandAt time.Time
	// registered is set once the known endpoints have been registered with core.
	registered bool
	// sentAt maps heartbeat numbers of the term to their send times since boot. promises
	// are the daemons' promises, by IP, as of the newest heartbeat that each has
	// acknowledged.
	sentAt   map[uint64]time.Duration
	promises map[string]promise
}

// ready reports whether this daemon is the steward and has published a view.
func (sh *stewardship) ready() bool { return sh.core != nil && sh.published != nil }

// campaign acquires the lease when it is free, and then acts as the steward until the lease
// is lost.
func (ct *control) campaign(ctx context.Context) {
	for ctx.Err() == nil {
		if ct.da.stopping.Load() {
			return
		}
		if ct.shouldCampaign() {
			ct.acquireLease(ctx)
			ct.post(func() { ct.campaigning = false })
		}
		_ = ct.da.Clock.Sleep(ctx, campaignInterval) // The loop checks ctx.
	}
}

// shouldCampaign reports whether there has been no steward heartbeat for so long that it is
// this daemon's turn to try to acquire the lease.
func (ct *control) shouldCampaign() bool {
	result := make(chan bool, 1)
	ct.post(func() {
		now := ct.da.Clock.Now()
		rank := 0
		for _, pe := range ct.da.mesh.Alive() {
			if ct.precedes(pe) {
				rank++
			}
		}
		ct.rank = rank
		elapsed, delay := now.Sub(ct.lastStewardHeartbeat), ct.campaignDelay()
		if ct.lastStewardHeartbeat.IsZero() {
			elapsed, delay = now.Sub(ct.startedAt), startupStewardTimeout+rankWait(rank)
		}
		try := ct.lease.core == nil && elapsed > delay && now.After(ct.promisedUntil)
		ct.campaigning = try
		result <- try
	})
	select {
	case try := <-result:
		return try
	case <-ct.da.work.Done():
		return false
	}
}

// precedes reports whether pe should become steward rather than this daemon. Larger
// machines precede smaller ones, since the steward has several times the load of other
// daemons; the IP address breaks ties.
func (ct *control) precedes(pe mesh.Peer) bool {
	own := int(ct.da.Settings.CPUShare * 1000)
	return pe.MilliCPU > own || pe.MilliCPU == own && pe.IP < ct.da.Settings.IP
}

const (
	// firstRanks is the number of daemons that try one after the other in the first
	// seconds.
	firstRanks = 6
	// laterRankDelay keeps the remaining daemons from reading the lease all at once while
	// the store rejects writes: without it, each of 195 daemons read the lease 9 to 18
	// times in the ten seconds after 117 of them had been killed.
	laterRankDelay = 100 * time.Millisecond
	// maxRankWait bounds the wait of the last daemon, in case all others are cut off from
	// the store.
	maxRankWait = 12 * time.Second
)

// rankWait returns how much longer than the first daemon a daemon with the given rank
// waits.
func rankWait(rank int) time.Duration {
	wait := time.Duration(min(rank, firstRanks)) * rankDelay
	wait += time.Duration(max(0, rank-firstRanks)) * laterRankDelay
	return min(wait, maxRankWait)
}

// acquireLease acquires the lease if it is free or its holder has certainly exited. It then
// renews the lease, and this daemon acts as the steward, until the lease is lost.
func (ct *control) acquireLease(ctx context.Context) {
	item, err := ct.da.store.Get(ctx, stewardKey)
	if err != nil {
		ct.da.Log.Info("steward: reading the lease failed.", "cause", err.Error())
		return
	}
	if item.Revision != 0 {
		if !ct.holderExited(ctx, item) {
			return
		}
		// Ends the lease too, so that a holder which still runs behind a broken path stops at its next
		// renewal.
		err := ct.da.store.Revoke(ctx, item.Lease)
		if err != nil && !errors.Is(err, platform.ErrNoLease) {
			ct.da.Log.Info("steward: ending the previous lease failed.", "cause", err.Error())
			return
		}
		if err == nil {
			item.Revision = 0
		}
	}
	begin, era := clock.SinceBoot(), ct.da.store.Era()
	lease, err := ct.da.store.Grant(ctx, leaseTTL)
	if err != nil {
		ct.da.Log.Info("steward: granting a lease failed.", "cause", err.Error())
		return
	}
	revision, err := ct.writeLeaseKey(ctx, item.Revision, lease)
	if err != nil {
		ct.da.Log.Info("steward: acquiring the lease failed.", "cause", err.Error())
		// A write that takes effect late must find its lease ended.
		_ = ct.da.store.Revoke(ctx, lease) // It expires soon anyway.
		return
	}
	renewing, resign := context.WithCancel(ctx)
	defer resign()
	ct.post(func() { ct.becomeSteward(revision, ct.leaseEnd(begin, era), resign) })
	lease = ct.renew(renewing, lease, era)
	why := "lease lost"
	if renewing.Err() != nil {
		why = "stopping"
		ct.releaseLease(ctx, lease)
	}
	ct.post(func() { ct.loseSteward(why) })
}

// releaseLease ends the lease of a steward that resigns. While the store is unavailable no
// other daemon could acquire the lease, so this daemon stays steward and tries again;
// otherwise groups that lose members would stay unrepaired until the store is back.
func (ct *control) releaseLease(ctx context.Context, lease int64) {
	for ctx.Err() == nil {
		err := ct.da.store.Revoke(ctx, lease)
		if err == nil || errors.Is(err, platform.ErrNoLease) {
			return
		}
		ct.da.Log.Info("steward: releasing the lease failed, continuing as steward.", "cause", err.Error())
		_ = ct.da.Clock.Sleep(ctx, campaignInterval) // The loop checks ctx.
	}
}

// writeLeaseKey writes the steward's key if its revision is unchanged, and returns the new
// revision.
func (ct *control) writeLeaseKey(ctx context.Context, revision, lease int64) (int64, error) {
	value, err := json.Marshal(holder{ct.da.Settings.IP, ct.da.started, ct.da.Settings.DataCenter})
	if err != nil {
		return 0, err
	}
	return ct.da.store.Txn(ctx, []platform.Condition{{Key: stewardKey, Revision: revision}},
		[]platform.Put{{Key: stewardKey, Value: value, Lease: lease}}, nil)
}

// leaseEnd returns until when a lease is held that was granted or renewed at a time since boot, in
// the given era. It is 0 if the store has been restored since, which may have taken the lease away.
func (ct *control) leaseEnd(begin time.Duration, era int64) time.Duration {
	if ct.da.store.Era() != era {
		return 0
	}
	return begin + leaseTTL - leaseMargin
}

// renew renews the lease, which was granted in the given era, until it is lost or ctx ends. It
// returns the last lease ID. A lease that expired in an outage, or that a restore took away, is
// acquired again unless another daemon holds one.
func (ct *control) renew(ctx context.Context, lease, era int64) int64 {
	for ctx.Err() == nil && ct.da.Clock.Sleep(ctx, renewInterval) == nil {
		begin := clock.SinceBoot()
		err := ct.da.store.Renew(ctx, lease)
		if now := ct.da.store.Era(); err == nil && now != era {
			if err = ct.checkLease(ctx, lease); err == nil {
				era = now
			}
		}
		revision := int64(0)
		if errors.Is(err, platform.ErrNoLease) {
			if !ct.extendLease(0, era, 0) {
				return lease
			}
			begin, era = clock.SinceBoot(), ct.da.store.Era()
			newLease := int64(0)
			if revision, newLease, err = ct.reacquireLease(ctx); errors.Is(err, platform.ErrConflict) {
				return lease
			}
			if err == nil {
				lease = newLease
			}
		}
		if err != nil {
			ct.da.Log.Info("steward: renewing the lease failed.", "cause", err.Error())
		}
		if err != nil {
			begin = 0
		}
		if !ct.extendLease(begin, era, revision) {
			return lease
		}
	}
	return lease
}

// extendLease updates the end of a lease that was granted or renewed at a time since boot, in the
// given era, and the term if it was acquired again at a revision of the store. A zero time or
// revision leaves them unchanged. It reports whether this daemon is still the steward.
func (ct *control) extendLease(begin time.Duration, era, revision int64) bool {
	held := make(chan bool, 1)
	ct.post(func() {
		if ct.lease.core != nil {
			if begin > 0 {
				ct.lease.extend(ct.leaseEnd(begin, era))
			}
			if revision > 0 && ct.lease.adoptTerm(ct.nextTerm(revision)) {
				ct.applyView(ct.lease.published)
			}
		}
		held <- ct.lease.core != nil
	})
	select {
	case ok := <-held:
		return ok
	case <-ct.da.work.Done():
		return false
	}
}

// extend moves the end of the lease forward, unless the steward resigns.
func (sh *stewardship) extend(until time.Duration) {
	if !sh.resigning {
		sh.until = max(sh.until, until)
	}
}

// reacquireLease acquires a new lease after the previous one expired. It returns
// platform.ErrConflict if another daemon holds the lease.
func (ct *control) reacquireLease(ctx context.Context) (revision, lease int64, err error) {
	item, err := ct.da.store.Get(ctx, stewardKey)
	if err != nil {
		return 0, 0, err
	}
	if item.Revision != 0 && !ct.isHolder(item) {
		return 0, 0, platform.ErrConflict
	}
	if lease, err = ct.da.store.Grant(ctx, leaseTTL); err != nil {
		return 0, 0, err
	}
	revision, err = ct.writeLeaseKey(ctx, item.Revision, lease)
	return revision, lease, err
}

// becomeSteward starts acting as the steward of a new term after it acquired the lease at a
// revision of the store. The lease is held until the given time since boot.
func (ct *control) becomeSteward(revision int64, until time.Duration, resign context.CancelFunc) {
	now := ct.da.Clock.Now()
	term := ct.nextTerm(revision)
	ct.da.Log.Info("steward: lease taken.", "term", term)
	ct.lease = stewardship{core: steward.New(term, now), term: term, until: until, resign: resign,
		endpointsAt: ct.lease.endpointsAt, configAt: ct.lease.configAt,
		sentAt: make(map[uint64]time.Duration), promises: make(map[string]promise)}
	ct.campaigning = false
	if ct.da.stopping.Load() {
		// The daemon was stopped while the lease was being acquired.
		ct.resignNow()
	}
	ct.da.mesh.SetSteward(ct.da.Settings.IP)
	ct.lease.core.RequestsAt = func(group string) int { return ct.da.table.RequestsAt(group, ct.da.Clock.Now()) }
	ct.lease.core.SpreadDataCenters = ct.da.Settings.LostDataCenters > 0
	ct.lease.core.SetEvacuation(ct.evacuation.Order())
	if cfg := ct.da.currentConfig(); cfg != nil {
		ct.lease.core.SetServices(cfg)
	}
	ct.stepFollowing(now)
}

// loseSteward stops acting as the steward. why is the reason for the log.
func (ct *control) loseSteward(why string) {
	if ct.lease.core == nil {
		return
	}
	ct.da.Log.Info("steward: lease given up.", "term", ct.lease.term, "reason", why)
	ct.lease = stewardship{endpointsAt: ct.lease.endpointsAt, configAt: ct.lease.configAt}
	ct.da.stats.Store(nil)
	ct.lastStewardHeartbeat = ct.da.Clock.Now()
	ct.da.mesh.SetSteward("")
}

// resignNow releases the lease, so that another daemon can acquire it immediately. The
// store may execute the release at any time, even if its response is lost, so from now on
// only the other daemons' promises show that no other daemon is the steward.
func (ct *control) resignNow() {
	if ct.lease.core == nil || ct.lease.resigning {
		return
	}
	ct.lease.resigning, ct.lease.until = true, 0
	ct.lease.resign()
}
