package mesh

import "time"

// Unresponsive returns the IP addresses of daemons that have recently become
// unresponsive. The steward sends them to the other daemons, which receive heartbeats
// from most daemons too seldom to notice soon. It returns nil on other daemons and in
// direct mode.
func (me *Mesh) Unresponsive() []string {
	me.mu.Lock()
	defer me.mu.Unlock()
	if len(me.peers) <= maxDirectPeers || me.steward != me.IP {
		return nil
	}
	now := me.Clock.Now()
	if now.Sub(me.stewardSince) < stewardSettleTime {
		return nil
	}
	var unresponsive []string
	for ip, pe := range me.peers {
		if age := now.Sub(pe.ReceivedAt); !pe.ReceivedAt.IsZero() && age > unresponsiveTimeout && age < unresponsiveReportTime {
			unresponsive = append(unresponsive, ip)
		}
	}
	return unresponsive
}

const (
	// stewardSettleTime is how long a new steward reports no unresponsive daemons.
	// Until the others recognize it as the steward, they send it heartbeats only at the
	// peer interval.
	stewardSettleTime = 1500 * time.Millisecond
	// unresponsiveTimeout is the time without heartbeats after which the steward
	// reports a daemon as unresponsive. After unresponsiveReportTime it stops, because
	// the other daemons have noticed by then.
	unresponsiveTimeout    = 600 * time.Millisecond
	unresponsiveReportTime = 2 * time.Minute
)

// applyUnresponsive records the unresponsive daemons that a heartbeat of the steward
// lists. It ignores heartbeats of other daemons. me.mu must be held.
func (me *Mesh) applyUnresponsive(be Heartbeat) {
	if !be.Steward || be.IP != me.steward {
		return
	}
	me.unresponsive = make(map[string]bool, len(be.Unresponsive))
	for _, ip := range be.Unresponsive {
		me.unresponsive[ip] = true
	}
}
