package mesh

import "time"

// Up to directMost other daemons, everybody tells everybody everything. With
// more of them, each daemon tells its load to the steward alone, which tells
// everyone the sum; beats between all others only say who is alive, to the own
// data centre more often than to others. What a daemon sends and hears then
// grows with the daemons of its data centre instead of with all of them times
// the groups.
const directMost = 16

const (
	// directInterval is the time between beats where all tell all. What the
	// others sent since their last beat is missing from predictions.
	directInterval = 50 * time.Millisecond
	// directPerSecond and the other rates are the beats a second, to all daemons
	// together, beyond which the interval grows.
	directPerSecond = 200
	// stewardInterval is the time between the steward's beats to a daemon, which
	// is to stay far below the silence after which daemons look at the lease.
	stewardInterval  = 80 * time.Millisecond
	stewardPerSecond = 1000
	// loadInterval is the time between a daemon's beats to the steward. The
	// steward hears loadPerSecond of them at most.
	loadInterval  = 100 * time.Millisecond
	loadPerSecond = 700
	// nearInterval is the time between beats within a data centre, farInterval
	// to others; the rates bound them where there are many.
	nearInterval  = 400 * time.Millisecond
	nearPerSecond = 40
	farInterval   = time.Second
	farPerSecond  = 20
	// aliveBeats is how many beats in a row may be missing from a daemon that
	// counts as alive; packets are lost, and machines slow for a moment.
	aliveBeats = 3
)

// paced is an interval that grows so that num daemons get perSecond beats in
// all.
func paced(interval time.Duration, num, perSecond int) time.Duration {
	return max(interval, time.Duration(num)*time.Second/time.Duration(perSecond))
}

// Direct tells whether all daemons tell each other everything.
func (me *Mesh) Direct() bool {
	me.mu.Lock()
	defer me.mu.Unlock()
	return len(me.peers) <= directMost
}

// LoadDelay is how old what other daemons tell of their load is when it counts,
// on average: half of each interval on its way, and the ways themselves.
func (me *Mesh) ReportDelay() time.Duration {
	me.mu.Lock()
	defer me.mu.Unlock()
	pa := me.pace()
	switch {
	case pa.direct:
		return pa.each/2 + wayDelay
	case pa.stewardIP == pa.ownIP:
		return pa.load/2 + wayDelay
	}
	return (pa.load+pa.steward)/2 + 2*wayDelay
}

// ToldWithin is the time between beats that tell a daemon's own work, to all daemons or to
// the steward.
func (me *Mesh) WorkInterval() time.Duration {
	me.mu.Lock()
	defer me.mu.Unlock()
	pa := me.pace()
	return max(pa.each, pa.load)
}

// wayDelay is the time that a beat takes: until the next look whether one is
// due, and the way.
const wayDelay = 15 * time.Millisecond

// SetSteward tells which daemon is the steward; "" when none is known.
func (me *Mesh) SetSteward(ip string) {
	me.mu.Lock()
	defer me.mu.Unlock()
	if me.steward != ip {
		me.steward, me.silent, me.stewardSince = ip, nil, me.Clock.Now()
	}
}

// SetDeputy tells whether this daemon follows the store for its data centre. The others
// there rely on its word of how fresh its knowledge is, so they are told often: with one
// beat a second it was at times older than what they believe.
func (me *Mesh) SetDeputy(on bool) {
	me.mu.Lock()
	defer me.mu.Unlock()
	me.deputy = on
}

// pace holds the times between beats, as the number of daemons has it now.
type pace struct {
	direct              bool
	each, steward, load time.Duration
	// near and far are between daemons of which neither is the steward, nearOut is what
	// this one sends.
	near, nearOut, far      time.Duration
	ownIP, stewardIP, ownDC string
}

func (me *Mesh) pace() pace {
	num := len(me.peers)
	pa := pace{direct: num <= directMost, ownIP: me.IP, stewardIP: me.steward, ownDC: me.DataCenter}
	if pa.direct {
		pa.each = paced(directInterval, num, directPerSecond)
		return pa
	}
	near := 0
	for _, pe := range me.peers {
		if pe.DataCenter == me.DataCenter {
			near++
		}
	}
	pa.steward = paced(stewardInterval, num, stewardPerSecond)
	pa.load = paced(loadInterval, num, loadPerSecond)
	pa.near = paced(nearInterval, near, nearPerSecond)
	pa.nearOut = pa.near
	if me.deputy {
		pa.nearOut = nearInterval
	}
	pa.far = paced(farInterval, num, farPerSecond)
	return pa
}

// toward is the time between beats to a daemon.
func (pa *pace) toward(ip string, pe *Peer) time.Duration {
	between := pa.between(pe)
	if pe.DataCenter == pa.ownDC {
		between = pa.nearOut
	}
	return pa.interval(ip, pa.steward, pa.load, between)
}

// from is the time between beats of a daemon.
func (pa *pace) from(ip string, pe *Peer) time.Duration {
	return pa.interval(ip, pa.load, pa.steward, pa.between(pe))
}

// interval is the time between beats of one direction between this daemon and
// another one: asSteward where this daemon is the steward, withSteward where the
// other one is, between where neither is.
func (pa *pace) interval(ip string, asSteward, withSteward, between time.Duration) time.Duration {
	switch {
	case pa.direct:
		return pa.each
	case pa.stewardIP == pa.ownIP:
		return asSteward
	case pa.stewardIP == ip:
		return withSteward
	}
	return between
}

// between is the time between beats of two daemons of which neither is the
// steward.
func (pa *pace) between(pe *Peer) time.Duration {
	if pe.DataCenter == pa.ownDC {
		return pa.near
	}
	return pa.far
}

func (pa *pace) heardLately(ip string, pe *Peer, now time.Time) bool {
	return !pe.ReceivedAt.IsZero() && now.Sub(pe.ReceivedAt) < max(aliveFor, aliveBeats*pa.from(ip, pe))
}

// Audience is who is to get a beat.
type Audience int

// Audiences of a beat.
const (
	// ToDue are the daemons that have not had one for their time.
	ToDue Audience = iota
	// ToSteward is the steward besides; where all tell all, it is everyone.
	ToSteward
	// ToEveryone are all daemons that are heard.
	ToEveryone
)

// dueTo tells whether a daemon is to get a beat now. Daemons that are silent
// are sent beats all the same, less often: they may be behind a cut.
func (pa *pace) dueTo(ip string, pe *Peer, now time.Time, to Audience) bool {
	since := now.Sub(pe.sent)
	// A new steward has heard most daemons seldom until now, and they are to hear
	// of it at once.
	seldom := max(aliveFor, aliveBeats*max(pa.from(ip, pe), pa.between(pe)))
	switch {
	case pe.ReceivedAt.IsZero():
		return since >= silentEvery
	case now.Sub(pe.ReceivedAt) >= seldom:
		return since >= max(silentEvery, pa.toward(ip, pe))
	case to == ToEveryone, to == ToSteward && (pa.direct || ip == pa.stewardIP):
		return true
	}
	return since >= pa.toward(ip, pe)
}

// tells says which work a daemon is told.
func (pa *pace) tells(ip string) WorkOf {
	switch {
	case pa.direct, pa.stewardIP == ip:
		return WorkOwn
	case pa.stewardIP == pa.ownIP:
		return WorkRelayed
	}
	return WorkNone
}
