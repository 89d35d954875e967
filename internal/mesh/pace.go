package mesh

import (
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"corianderhub.dev/corianderhub/internal/core/dispatch"
)

// Up to directMost other daemons, everybody tells everybody everything. With
// more of them, each daemon tells its load to the steward alone, which tells
// everyone the sum; beats between all others only say who is alive, to the own
// data centre more often than to others. What a daemon sends and hears then
// grows with the daemons of its data centre instead of with all of them times
// the groups: among 68 daemons, beats to everybody were 5 of 6 MB/s that the
// daemons sent altogether.
const directMost = 16

const (
	// directInterval is the time between beats where all tell all. What the
	// others sent since their last beat is missing from predictions: at 50 ms the
	// first event came within 116 ms of the prediction nine times in ten, at
	// 120 ms within 161 ms.
	directInterval  = 50 * time.Millisecond
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
func (me *Mesh) LoadDelay() time.Duration {
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

// pace holds the times between beats, as the number of daemons has it now.
type pace struct {
	direct                  bool
	each, steward, load     time.Duration
	near, far               time.Duration
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
	pa.far = paced(farInterval, num, farPerSecond)
	return pa
}

// toward is the time between beats to a daemon.
func (pa *pace) toward(ip string, pe *Peer) time.Duration {
	switch {
	case pa.direct:
		return pa.each
	case pa.stewardIP == pa.ownIP:
		return pa.steward
	case pa.stewardIP == ip:
		return pa.load
	}
	return pa.between(pe)
}

// from is the time between beats of a daemon.
func (pa *pace) from(ip string, pe *Peer) time.Duration {
	switch {
	case pa.direct:
		return pa.each
	case pa.stewardIP == pa.ownIP:
		return pa.load
	case pa.stewardIP == ip:
		return pa.steward
	}
	return pa.between(pe)
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
	return !pe.At.IsZero() && now.Sub(pe.At) < max(aliveFor, aliveBeats*pa.from(ip, pe))
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
	case pe.At.IsZero():
		return since >= silentEvery
	case now.Sub(pe.At) >= seldom:
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

// Silent returns the daemons that have fallen silent lately, for the steward
// to tell the others, which hear most daemons seldom.
func (me *Mesh) Silent() []string {
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
		if age := now.Sub(pe.At); !pe.At.IsZero() && age > silentAfter && age < tellSilent {
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
func (me *Mesh) hearSilent(be Beat) {
	if !be.Steward || be.IP != me.steward {
		return
	}
	me.silent = make(map[string]bool, len(be.Silent))
	for _, ip := range be.Silent {
		me.silent[ip] = true
	}
}

// Work is what a beat may tell of the work at groups.
type Work struct {
	// Own is this daemon's.
	Own dispatch.Work
	// But returns that of all daemons but one; the steward sets it.
	But func(ip string) dispatch.Work
}

// Send sends a beat.
func (me *Mesh) Send(be Beat, wo Work, to Audience) error {
	ma := mailer{be: be, wo: wo}
	for _, ad := range me.due(to) {
		raw, err := ma.letter(ad)
		if err != nil {
			return err
		}
		sentBytes.Add(len(raw))
		// A datagram that is lost is made up for by the next one.
		if _, err := me.Conn.WriteToUDPAddrPort(raw, ad.to); err != nil {
			me.Log.Debug("mesh: datagram not sent.", "to", ad.to.String(), "cause", err.Error())
		}
	}
	return nil
}

// addressee is a daemon to send a beat to, and which work it is told.
type addressee struct {
	to   netip.AddrPort
	tell WorkOf
}

func (me *Mesh) due(to Audience) []addressee {
	me.mu.Lock()
	defer me.mu.Unlock()
	now := me.Clock.Now()
	pa := me.pace()
	var due []addressee
	for ip, pe := range me.peers {
		if me.forget(ip, pe, now) || !pa.dueTo(ip, pe, now, to) {
			continue
		}
		pe.sent = now
		due = append(due, addressee{netip.AddrPortFrom(netip.MustParseAddr(ip), uint16(me.Port)), pa.tells(ip)})
	}
	return due
}

// forget drops a daemon that has been silent for long, and tells whether it did.
func (me *Mesh) forget(ip string, pe *Peer, now time.Time) bool {
	heard := pe.At
	if heard.IsZero() {
		heard = pe.known
	}
	if now.Sub(heard) <= forgetAfter {
		return false
	}
	delete(me.peers, ip)
	return true
}

// AnyDue tells whether a beat is due to any daemon, before the trouble is taken
// to make one.
func (me *Mesh) AnyDue() bool {
	me.mu.Lock()
	defer me.mu.Unlock()
	now := me.Clock.Now()
	pa := me.pace()
	for ip, pe := range me.peers {
		if pa.dueTo(ip, pe, now, ToDue) {
			return true
		}
	}
	return false
}

// mailer encodes a beat once for all daemons that are told the same.
type mailer struct {
	be        Beat
	wo        Work
	own, none []byte
}

func (ma *mailer) letter(ad addressee) ([]byte, error) {
	be := ma.be
	be.WorkOf = ad.tell
	switch {
	case ad.tell == WorkRelayed && ma.wo.But != nil:
		be.Work = ma.wo.But(ad.to.Addr().String())
		return encode(be)
	case ad.tell == WorkOwn:
		be.Work = ma.wo.Own
		return once(&ma.own, be)
	}
	be.WorkOf = WorkNone
	return once(&ma.none, be)
}

func once(raw *[]byte, be Beat) ([]byte, error) {
	if *raw != nil {
		return *raw, nil
	}
	var err error
	*raw, err = encode(be)
	return *raw, err
}

func encode(be Beat) ([]byte, error) {
	raw, err := cbor.Marshal(be)
	return raw, eris.Wrap(err, "beat")
}

func decode(raw []byte) (Beat, error) {
	var be Beat
	return be, eris.Wrap(cbor.Unmarshal(raw, &be), "beat")
}
