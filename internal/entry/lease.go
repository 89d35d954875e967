package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"syscall"
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
	// leaseTTL is how long a steward that falls silent keeps others from
	// taking over. Nothing is repaired until then: groups lose a member every
	// two seconds on bad days. It outlasts a slow store, whose answers take
	// 400 ms, by three renewals; in outages the other daemons' promises hold.
	leaseTTL = 1800 * time.Millisecond
	// renewEvery is the interval of renewals.
	renewEvery = 450 * time.Millisecond
	// leaseMargin is taken off a lease's time by its holder.
	leaseMargin = 300 * time.Millisecond
	// startSilence is how long a daemon that has just started waits for a steward to be
	// heard before it looks at the lease, so that one has time: it learns of the daemon from its first beat
	// and sends its own every 80 ms. All daemons are without a steward for so
	// long after a loss of all.
	startSilence = 750 * time.Millisecond
	// rankDelay keeps daemons from trying all at once: each waits for those
	// that come before it by address.
	rankDelay = 250 * time.Millisecond
	// campaignPause is the time between looks at the lease.
	campaignPause = 300 * time.Millisecond
	// provePatience bounds the question whether a holder's process is there.
	provePatience = 150 * time.Millisecond
)

// holder is the value of the steward's key.
type holder struct {
	IP      string `json:"ip"`
	Started int64  `json:"started"`
}

// stewardship is the control state's part for the steward's lease.
type stewardship struct {
	// core is nil unless this daemon is the steward.
	core *steward.Core
	term int64
	// until is the time since boot for which the store's lease is held.
	until time.Duration
	// resign ends the renewal of the lease; resigning is set from then on.
	resign    context.CancelFunc
	resigning bool
	// sequence counts the views of the term; published is the last one.
	sequence              int64
	published             *catalog.View
	endpointsAt, configAt time.Time
	// unheldSince is since when the lease is not held for certain; zero while it is.
	unheldSince time.Time
	// stepAfter is when the next step may be made.
	stepAfter time.Time
	// demandAt is when the core was last told what callers ask for.
	demandAt time.Time
	asked    bool
	// sentAt is when beats of the term were sent, since boot, by their number;
	// promises is the newest of them that each daemon has heard.
	sentAt   map[uint64]time.Duration
	promises map[string]promise
}

// settled tells whether the steward knows enough for its view to be used.
func (sh *stewardship) settled() bool { return sh.core != nil && sh.published != nil }

// campaign takes the lease when nobody holds it, and renews it.
func (ct *control) campaign(ctx context.Context) {
	for ctx.Err() == nil {
		if ct.da.stopping.Load() {
			return
		}
		if ct.shouldTry() {
			ct.tryLease(ctx)
			ct.post(func() { ct.campaigning = false })
		}
		_ = ct.da.Clock.Sleep(ctx, campaignPause) // The loop looks at ctx.
	}
}

// shouldTry tells whether no steward was heard for so long that it is this
// daemon's turn to look at the lease.
func (ct *control) shouldTry() bool {
	answer := make(chan bool, 1)
	ct.post(func() {
		now := ct.da.Clock.Now()
		rank := 0
		for _, pe := range ct.da.mesh.Alive() {
			if ct.before(pe) {
				rank++
			}
		}
		ct.rank = rank
		silent, need := now.Sub(ct.heard), ct.patience()
		if ct.heard.IsZero() {
			silent, need = now.Sub(ct.begun), startSilence+rankWait(rank)
		}
		try := ct.lease.core == nil && silent > need && now.After(ct.promisedUntil)
		ct.campaigning = try
		answer <- try
	})
	select {
	case try := <-answer:
		return try
	case <-ct.da.work.Done():
		return false
	}
}

// before tells whether another daemon is to be steward rather than this one: a
// larger machine first, since the steward has several times the work.
func (ct *control) before(pe mesh.Peer) bool {
	own := int(ct.da.Settings.CPUShare * 1000)
	return pe.MilliCPU > own || pe.MilliCPU == own && pe.IP < ct.da.Settings.IP
}

const (
	// firstRanks is how many daemons try one after the other in the first seconds.
	firstRanks = 6
	// laterRankDelay keeps the rest from asking the store all at once while it can't
	// be written to: of 195 daemons each read the lease 9 to 18 times in the ten
	// seconds after 117 of them had been killed.
	laterRankDelay = 100 * time.Millisecond
	// maxRankWait bounds the wait of the last one, for the case that all others are
	// cut off from the store.
	maxRankWait = 12 * time.Second
)

// rankWait is how much longer than the first a daemon waits that has so many before
// it.
func rankWait(rank int) time.Duration {
	wait := time.Duration(min(rank, firstRanks)) * rankDelay
	wait += time.Duration(max(0, rank-firstRanks)) * laterRankDelay
	return min(wait, maxRankWait)
}

// tryLease takes the lease if it is free or its holder is certainly gone, and
// then serves as steward until it is lost.
func (ct *control) tryLease(ctx context.Context) {
	item, _, err := ct.da.store.Get(ctx, stewardKey)
	if err != nil {
		ct.da.Log.Info("steward: lease not read.", "cause", err.Error())
		return
	}
	if item.Revision != 0 && !ct.holderGone(ctx, item) {
		return
	}
	begin := clock.SinceBoot()
	lease, err := ct.da.store.Grant(ctx, leaseTTL)
	if err != nil {
		ct.da.Log.Info("steward: no lease granted.", "cause", err.Error())
		return
	}
	term, err := ct.take(ctx, item.Revision, lease)
	if err != nil {
		ct.da.Log.Info("steward: lease not taken.", "cause", err.Error())
		// A write that is carried out late must find its lease ended.
		_ = ct.da.store.Revoke(ctx, lease) // It ends by itself soon.
		return
	}
	renewing, resign := context.WithCancel(ctx)
	defer resign()
	ct.post(func() { ct.becomeSteward(term, begin+leaseTTL-leaseMargin, resign) })
	lease = ct.renew(renewing, lease)
	why := "lease lost"
	if renewing.Err() != nil {
		why = "stopping"
		ct.endLease(ctx, lease)
	}
	ct.post(func() { ct.loseSteward(why) })
}

// endLease ends the lease of a steward that resigns. While the store is away
// nobody else could take it, so the daemon stays steward and tries again: groups
// would else lose members unrepaired until the store is back.
func (ct *control) endLease(ctx context.Context, lease int64) {
	for ctx.Err() == nil {
		err := ct.da.store.Revoke(ctx, lease)
		if err == nil || errors.Is(err, platform.ErrNoLease) {
			return
		}
		ct.da.Log.Info("steward: lease not given back; going on.", "cause", err.Error())
		_ = ct.da.Clock.Sleep(ctx, campaignPause) // The loop looks at ctx.
	}
}

// take writes the steward's key if it is still as it was read. The revision is
// the term: it grows with each steward.
func (ct *control) take(ctx context.Context, revision, lease int64) (int64, error) {
	value, err := json.Marshal(holder{ct.da.Settings.IP, ct.da.started})
	if err != nil {
		return 0, err
	}
	return ct.da.store.Txn(ctx, []platform.Condition{{Key: stewardKey, Revision: revision}},
		[]platform.Put{{Key: stewardKey, Value: value, Lease: lease}}, nil)
}

// holderGone tells whether the process that holds the lease has certainly
// ended: a later one runs at its address, or nothing listens there. Silence
// proves nothing.
func (ct *control) holderGone(ctx context.Context, item platform.Item) bool {
	var ho holder
	if err := json.Unmarshal(item.Value, &ho); err != nil {
		ct.da.Log.Warn("steward: holder not understood.", "cause", err.Error())
		return false
	}
	if ho.IP == ct.da.Settings.IP {
		return ho.Started != ct.da.started
	}
	for _, pe := range ct.da.mesh.Alive() {
		if pe.IP == ho.IP {
			return pe.Started > ho.Started
		}
	}
	di := net.Dialer{Timeout: provePatience}
	nc, err := di.DialContext(ctx, "tcp", net.JoinHostPort(ho.IP, strconv.Itoa(ct.da.Settings.InternalPorts[1])))
	if err == nil {
		nc.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// renew renews the lease until it is lost or ctx ends, and returns the one it
// renewed last. A lease that ran out in an outage is taken anew, if nobody else
// has taken it.
func (ct *control) renew(ctx context.Context, lease int64) int64 {
	for ctx.Err() == nil && ct.da.Clock.Sleep(ctx, renewEvery) == nil {
		begin := clock.SinceBoot()
		err := ct.da.store.Renew(ctx, lease)
		term := int64(0)
		if errors.Is(err, platform.ErrNoLease) {
			if !ct.stillSteward(0, 0) {
				return lease
			}
			begin = clock.SinceBoot()
			taken := int64(0)
			if term, taken, err = ct.retake(ctx); errors.Is(err, platform.ErrConflict) {
				return lease
			}
			if err == nil {
				lease = taken
			}
		}
		if err != nil {
			ct.da.Log.Info("steward: lease not renewed.", "cause", err.Error())
		}
		until := time.Duration(0)
		if err == nil {
			until = begin + leaseTTL - leaseMargin
		}
		if !ct.stillSteward(until, term) {
			return lease
		}
	}
	return lease
}

// stillSteward notes until when the lease is held, and the term if it was taken
// anew, and tells whether this daemon is the steward still.
func (ct *control) stillSteward(until time.Duration, term int64) bool {
	held := make(chan bool, 1)
	ct.post(func() {
		if ct.lease.core != nil {
			ct.lease.extend(until)
			if ct.lease.renumber(term) {
				ct.hearView(ct.lease.published)
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

// extend notes until when the lease is held.
func (sh *stewardship) extend(until time.Duration) {
	if !sh.resigning {
		sh.until = max(sh.until, until)
	}
}

// renumber goes on under a new term with what the steward knows, and tells
// whether there is a view to be told anew.
func (sh *stewardship) renumber(term int64) bool {
	if term == 0 {
		return false
	}
	sh.term, sh.core.Term = term, term
	if sh.published == nil {
		return false
	}
	vi := *sh.published
	vi.Term = term
	sh.published = &vi
	return true
}

// retake takes a lease that has run out, unless another daemon holds one now.
func (ct *control) retake(ctx context.Context) (term, lease int64, err error) {
	item, _, err := ct.da.store.Get(ctx, stewardKey)
	if err != nil {
		return 0, 0, err
	}
	var ho holder
	if item.Revision != 0 && (json.Unmarshal(item.Value, &ho) != nil || ho.IP != ct.da.Settings.IP || ho.Started != ct.da.started) {
		return 0, 0, platform.ErrConflict
	}
	if lease, err = ct.da.store.Grant(ctx, leaseTTL); err != nil {
		return 0, 0, err
	}
	term, err = ct.take(ctx, item.Revision, lease)
	return term, lease, err
}

func (ct *control) becomeSteward(term int64, until time.Duration, resign context.CancelFunc) {
	now := ct.da.Clock.Now()
	ct.da.Log.Info("steward: lease taken.", "term", term)
	ct.lease = stewardship{core: steward.New(term, now), term: term, until: until, resign: resign,
		endpointsAt: ct.lease.endpointsAt, configAt: ct.lease.configAt,
		sentAt: make(map[uint64]time.Duration), promises: make(map[string]promise)}
	ct.campaigning = false
	if ct.da.stopping.Load() {
		// Told to stop while the lease was on its way.
		ct.resignNow()
	}
	ct.da.mesh.SetSteward(ct.da.Settings.IP)
	if cfg := ct.da.currentConfig(); cfg != nil {
		ct.lease.core.SetServices(cfg)
	}
	ct.stepFollowing(now)
}

func (ct *control) loseSteward(why string) {
	if ct.lease.core == nil {
		return
	}
	ct.da.Log.Info("steward: lease given up.", "term", ct.lease.term, "reason", why)
	ct.lease = stewardship{endpointsAt: ct.lease.endpointsAt, configAt: ct.lease.configAt}
	ct.da.stats.Store(nil)
	ct.heard = ct.da.Clock.Now()
	ct.da.mesh.SetSteward("")
}

// resignNow gives the lease back, so that another daemon can take it at once.
// The store may carry that out at any time from now on without an answer, so only
// the others' promises show until then that nobody else is steward.
func (ct *control) resignNow() {
	if ct.lease.core == nil || ct.lease.resigning {
		return
	}
	ct.lease.resigning, ct.lease.until = true, 0
	ct.lease.resign()
}
