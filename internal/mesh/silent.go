package mesh

import "time"

// Silent returns the daemons that have fallen silent lately, for the steward
// to tell the others, which hear most daemons seldom.
func (me *Mesh) Unresponsive() []string {
	me.mu.Lock()
	defer me.mu.Unlock()
	if len(me.peers) <= directMost || me.steward != me.IP {
		return nil
	}
	now := me.Clock.Now()
	if now.Sub(me.stewardSince) < stewardSettle {
		return nil
	}
	var silent []string
	for ip, pe := range me.peers {
		if age := now.Sub(pe.ReceivedAt); !pe.ReceivedAt.IsZero() && age > silentAfter && age < tellSilent {
			silent = append(silent, ip)
		}
	}
	return silent
}

const (
	// stewardSettle is how long a new steward does not tell: until it has become
	// known, the others send it no more than they do to everybody.
	stewardSettle = 1500 * time.Millisecond
	// silentAfter is the silence after which the steward tells that a daemon is
	// silent, tellSilent how long it does; by then others have noticed.
	silentAfter = 600 * time.Millisecond
	tellSilent  = 2 * time.Minute
)

// hearSilent takes in which daemons have fallen silent to the steward.
func (me *Mesh) hearSilent(be Heartbeat) {
	if !be.Steward || be.IP != me.steward {
		return
	}
	me.silent = make(map[string]bool, len(be.Unresponsive))
	for _, ip := range be.Unresponsive {
		me.silent[ip] = true
	}
}
