package mesh

import "time"

// maxDirectPeers is the largest number of other daemons for direct mode, in which
// every daemon sends its full state to every other one. With more peers, each daemon
// sends its load to the steward alone, which sends the sum to all. Heartbeats between
// other pairs of daemons then only signal liveness, more often within a data centre
// than between data centres. The traffic of a daemon then grows with the number of
// daemons in its data centre instead of with all daemons times the groups.
const maxDirectPeers = 16

const (
	// directInterval is the interval between heartbeats in direct mode. Predictions
	// lack the requests that other daemons have sent since their last heartbeat.
	directInterval = 50 * time.Millisecond
	// directPerSecond and the other rates limit the heartbeats per second to all
	// daemons together. Intervals grow so that the limit holds.
	directPerSecond = 200
	// stewardInterval is the interval between the steward's heartbeats to one daemon.
	// It must be far shorter than the time without heartbeats after which daemons try
	// to acquire the lease.
	stewardInterval  = 80 * time.Millisecond
	stewardPerSecond = 1000
	// loadInterval is the interval between a daemon's heartbeats to the steward, which
	// receives at most loadPerSecond of them.
	loadInterval  = 100 * time.Millisecond
	loadPerSecond = 700
	// localInterval is the interval between heartbeats within a data centre,
	// remoteInterval between data centres. The rates bound them where there are many
	// daemons.
	localInterval   = 400 * time.Millisecond
	localPerSecond  = 40
	remoteInterval  = time.Second
	remotePerSecond = 20
	// maxMissedHeartbeats is the number of intervals without a heartbeat for which a
	// daemon still counts as alive. Packets get lost, and machines stall for a moment.
	maxMissedHeartbeats = 3
)

// scaledInterval returns the interval, extended if necessary so that num daemons
// receive at most perSecond heartbeats per second in total.
func scaledInterval(interval time.Duration, num, perSecond int) time.Duration {
	return max(interval, time.Duration(num)*time.Second/time.Duration(perSecond))
}

// Direct reports whether the mesh is in direct mode, in which all daemons send each
// other their full state.
func (me *Mesh) Direct() bool {
	me.mu.Lock()
	defer me.mu.Unlock()
	return len(me.peers) <= maxDirectPeers
}

// ReportDelay returns the average age of the load reports of other daemons: half of the
// interval of each hop plus the latency of each hop.
func (me *Mesh) ReportDelay() time.Duration {
	me.mu.Lock()
	defer me.mu.Unlock()
	pa := me.intervals()
	switch {
	case pa.direct:
		return pa.uniform/2 + reportLatency
	case pa.stewardIP == pa.ownIP:
		return pa.load/2 + reportLatency
	}
	return (pa.load+pa.steward)/2 + 2*reportLatency
}

// WorkInterval returns the interval between heartbeats with this daemon's own work,
// which go to all daemons or to the steward.
func (me *Mesh) WorkInterval() time.Duration {
	me.mu.Lock()
	defer me.mu.Unlock()
	pa := me.intervals()
	return max(pa.uniform, pa.load)
}

// reportLatency is the delay of one heartbeat: the wait until the next check for due
// heartbeats, and the network latency.
const reportLatency = 15 * time.Millisecond

// SetSteward sets the IP address of the steward, "" if none is known.
func (me *Mesh) SetSteward(ip string) {
	me.mu.Lock()
	defer me.mu.Unlock()
	if me.steward != ip {
		me.steward, me.unresponsive, me.stewardSince = ip, nil, me.Clock.Now()
	}
}

// SetDeputy sets whether this daemon follows the store on behalf of its data centre.
// The other daemons there rely on the age of state that it reports, so it sends them
// heartbeats more often: at one per second, the reported age was at times too old for
// them to accept.
func (me *Mesh) SetDeputy(on bool) {
	me.mu.Lock()
	defer me.mu.Unlock()
	me.deputy = on
}

// intervals holds the intervals between heartbeats for the current number of daemons.
type intervals struct {
	// direct is set in direct mode, in which uniform applies to all daemons. Otherwise
	// steward applies to heartbeats of the steward, load to those sent to it.
	direct                 bool
	uniform, steward, load time.Duration
	// local and remote apply between daemons of which neither is the steward, in the
	// same and in different data centres. localSend replaces local for heartbeats that
	// this daemon sends.
	local, localSend, remote time.Duration
	ownIP, stewardIP, ownDC  string
}

// intervals computes the current intervals. me.mu must be held.
func (me *Mesh) intervals() intervals {
	num := len(me.peers)
	pa := intervals{direct: num <= maxDirectPeers, ownIP: me.IP, stewardIP: me.steward, ownDC: me.DataCenter}
	if pa.direct {
		pa.uniform = scaledInterval(directInterval, num, directPerSecond)
		return pa
	}
	numLocal := 0
	for _, pe := range me.peers {
		if pe.DataCenter == me.DataCenter {
			numLocal++
		}
	}
	pa.steward = scaledInterval(stewardInterval, num, stewardPerSecond)
	pa.load = scaledInterval(loadInterval, num, loadPerSecond)
	pa.local = scaledInterval(localInterval, numLocal, localPerSecond)
	pa.localSend = pa.local
	if me.deputy {
		pa.localSend = localInterval
	}
	pa.remote = scaledInterval(remoteInterval, num, remotePerSecond)
	return pa
}

// sendInterval returns the interval between heartbeats from this daemon to another
// one.
func (pa *intervals) sendInterval(ip string, pe *Peer) time.Duration {
	between := pa.peerInterval(pe)
	if pe.DataCenter == pa.ownDC {
		between = pa.localSend
	}
	return pa.interval(ip, pa.steward, pa.load, between)
}

// receiveInterval returns the interval between heartbeats from another daemon to this
// one.
func (pa *intervals) receiveInterval(ip string, pe *Peer) time.Duration {
	return pa.interval(ip, pa.load, pa.steward, pa.peerInterval(pe))
}

// interval selects the interval for one direction between this daemon and another one:
// asSteward if this daemon is the steward, withSteward if the other one is, and
// between if neither is.
func (pa *intervals) interval(ip string, asSteward, withSteward, between time.Duration) time.Duration {
	switch {
	case pa.direct:
		return pa.uniform
	case pa.stewardIP == pa.ownIP:
		return asSteward
	case pa.stewardIP == ip:
		return withSteward
	}
	return between
}

// peerInterval returns the interval between heartbeats of two daemons of which neither
// is the steward.
func (pa *intervals) peerInterval(pe *Peer) time.Duration {
	if pe.DataCenter == pa.ownDC {
		return pa.local
	}
	return pa.remote
}

// isAlive reports whether a daemon's last heartbeat is recent enough for it to count
// as alive.
func (pa *intervals) isAlive(ip string, pe *Peer, now time.Time) bool {
	return !pe.ReceivedAt.IsZero() && now.Sub(pe.ReceivedAt) < max(aliveTimeout, maxMissedHeartbeats*pa.receiveInterval(ip, pe))
}

// Audience selects the recipients of a heartbeat.
type Audience int

// Values of Audience.
const (
	// ToDue selects the daemons whose interval has passed.
	ToDue Audience = iota
	// ToSteward selects the steward in addition to those; in direct mode it selects all
	// daemons that are not unresponsive.
	ToSteward
	// ToEveryone selects all daemons except unresponsive ones that are not due.
	ToEveryone
)

// isDue reports whether a heartbeat is to be sent to a daemon now. Unresponsive
// daemons still get heartbeats, less often, because they may be alive behind a network
// partition.
func (pa *intervals) isDue(ip string, pe *Peer, now time.Time, to Audience) bool {
	since := now.Sub(pe.sentAt)
	// The timeout allows for the longer of the two intervals. Most daemons have sent to
	// a new steward at the peer interval so far, and it must notify them at once.
	timeout := max(aliveTimeout, maxMissedHeartbeats*max(pa.receiveInterval(ip, pe), pa.peerInterval(pe)))
	switch {
	case pe.ReceivedAt.IsZero():
		return since >= unresponsiveInterval
	case now.Sub(pe.ReceivedAt) >= timeout:
		return since >= max(unresponsiveInterval, pa.sendInterval(ip, pe))
	case to == ToEveryone, to == ToSteward && (pa.direct || ip == pa.stewardIP):
		return true
	}
	return since >= pa.sendInterval(ip, pe)
}

// workFor returns whose work a heartbeat to a daemon contains.
func (pa *intervals) workFor(ip string) WorkOf {
	switch {
	case pa.direct, pa.stewardIP == ip:
		return WorkOwn
	case pa.stewardIP == pa.ownIP:
		return WorkRelayed
	}
	return WorkNone
}
