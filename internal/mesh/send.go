package mesh

import (
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"corianderhub.dev/corianderhub/internal/core/dispatch"
)

// Work is what a beat may tell of the work at groups.
type Work struct {
	// Own is this daemon's.
	Own dispatch.Work
	// But returns that of all daemons but one; the steward sets it.
	Except func(ip string) dispatch.Work
}

// Send sends a beat.
func (me *Mesh) Send(be Heartbeat, wo Work, to Audience) error {
	en := beatEncoder{be: be, wo: wo}
	for _, re := range me.due(to) {
		raw, err := en.datagram(re)
		if err != nil {
			return err
		}
		sentBytes.Add(len(raw))
		// A datagram that is lost is made up for by the next one.
		if _, err := me.Conn.WriteToUDPAddrPort(raw, re.to); err != nil {
			me.Log.Debug("mesh: datagram not sent.", "to", re.to.String(), "cause", err.Error())
		}
	}
	return nil
}

// recipient is a daemon to send a beat to, and which work it is told.
type recipient struct {
	to   netip.AddrPort
	tell WorkOf
}

func (me *Mesh) due(to Audience) []recipient {
	me.mu.Lock()
	defer me.mu.Unlock()
	now := me.Clock.Now()
	pa := me.pace()
	var due []recipient
	for ip, pe := range me.peers {
		if me.forget(ip, pe, now) || !pa.dueTo(ip, pe, now, to) {
			continue
		}
		pe.sent = now
		due = append(due, recipient{netip.AddrPortFrom(netip.MustParseAddr(ip), uint16(me.Port)), pa.tells(ip)})
	}
	return due
}

// forget drops a daemon that has been silent for long, and tells whether it did.
func (me *Mesh) forget(ip string, pe *Peer, now time.Time) bool {
	heard := pe.ReceivedAt
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

// beatEncoder encodes a beat once for all daemons that are told the same.
type beatEncoder struct {
	be        Heartbeat
	wo        Work
	own, none []byte
}

// datagram returns the beat for one recipient, encoded.
func (en *beatEncoder) datagram(re recipient) ([]byte, error) {
	be := en.be
	be.WorkOf = re.tell
	if re.tell != WorkOwn {
		be.Crashes, be.Completions = nil, nil
	}
	if re.tell == WorkNone {
		be.Backpressure = nil
	}
	switch {
	case re.tell == WorkRelayed && en.wo.Except != nil:
		be.Work = en.wo.Except(re.to.Addr().String())
		return encode(be)
	case re.tell == WorkOwn:
		be.Work = en.wo.Own
		return once(&en.own, be)
	}
	be.WorkOf = WorkNone
	return once(&en.none, be)
}

func once(raw *[]byte, be Heartbeat) ([]byte, error) {
	if *raw != nil {
		return *raw, nil
	}
	var err error
	*raw, err = encode(be)
	return *raw, err
}

func encode(be Heartbeat) ([]byte, error) {
	raw, err := cbor.Marshal(be)
	return raw, eris.Wrap(err, "beat")
}

func decode(raw []byte) (Heartbeat, error) {
	var be Heartbeat
	return be, eris.Wrap(cbor.Unmarshal(raw, &be), "beat")
}
