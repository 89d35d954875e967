package mesh

import (
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"corianderhub.dev/corianderhub/internal/core/dispatch"
)

// Work provides the work at groups that a heartbeat may contain.
type Work struct {
	// Own is the work of this daemon.
	Own dispatch.Work
	// Except returns the work of all daemons except the one at ip. Only the steward sets
	// it.
	Except func(ip string) dispatch.Work
}

// Send sends a heartbeat to the recipients that to selects, each with the work meant
// for it. It returns an error only if encoding fails.
func (me *Mesh) Send(be Heartbeat, wo Work, to Audience) error {
	en := heartbeatEncoder{be: be, wo: wo}
	for _, re := range me.due(to) {
		raw, err := en.datagram(re)
		if err != nil {
			return err
		}
		sentBytes.Add(len(raw))
		// The next heartbeat replaces a lost one.
		if _, err := me.Conn.WriteToUDPAddrPort(raw, re.to); err != nil {
			me.Log.Debug("mesh: cannot send datagram.", "to", re.to.String(), "cause", err.Error())
		}
	}
	return nil
}

// recipient is the address of a daemon and whose work its heartbeat contains.
type recipient struct {
	to   netip.AddrPort
	work WorkOf
}

// due returns the recipients of a heartbeat now, and records them as sent to. It
// removes daemons that were unresponsive for longer than deadRetention.
func (me *Mesh) due(to Audience) []recipient {
	me.mu.Lock()
	defer me.mu.Unlock()
	now := me.Clock.Now()
	pa := me.intervals()
	var due []recipient
	for ip, pe := range me.peers {
		if me.expire(ip, pe, now) || !pa.isDue(ip, pe, now, to) {
			continue
		}
		pe.sentAt = now
		due = append(due, recipient{netip.AddrPortFrom(netip.MustParseAddr(ip), uint16(me.Port)), pa.workFor(ip)})
	}
	return due
}

// expire removes a daemon that sent no heartbeat for longer than deadRetention, and
// reports whether it did. me.mu must be held.
func (me *Mesh) expire(ip string, pe *Peer, now time.Time) bool {
	lastSeen := pe.ReceivedAt
	if lastSeen.IsZero() {
		lastSeen = pe.addedAt
	}
	if now.Sub(lastSeen) <= deadRetention {
		return false
	}
	delete(me.peers, ip)
	return true
}

// AnyDue reports whether a heartbeat is due to any daemon, so that the caller builds
// one only if it is needed.
func (me *Mesh) AnyDue() bool {
	me.mu.Lock()
	defer me.mu.Unlock()
	now := me.Clock.Now()
	pa := me.intervals()
	for ip, pe := range me.peers {
		if pa.isDue(ip, pe, now, ToDue) {
			return true
		}
	}
	return false
}

// heartbeatEncoder encodes a heartbeat once for all recipients with the same content.
// own and none cache the encodings for WorkOwn and WorkNone.
type heartbeatEncoder struct {
	be        Heartbeat
	wo        Work
	own, none []byte
}

// datagram returns the encoded heartbeat for one recipient.
func (en *heartbeatEncoder) datagram(re recipient) ([]byte, error) {
	be := en.be
	be.WorkOf = re.work
	if re.work != WorkOwn {
		be.Crashes, be.Completions = nil, nil
	}
	if re.work == WorkNone {
		be.Backpressure = nil
	}
	switch {
	case re.work == WorkRelayed && en.wo.Except != nil:
		be.Work = en.wo.Except(re.to.Addr().String())
		return encode(be)
	case re.work == WorkOwn:
		be.Work = en.wo.Own
		return encodeOnce(&en.own, be)
	}
	be.WorkOf = WorkNone
	return encodeOnce(&en.none, be)
}

// encodeOnce returns *raw, and sets it to the encoded heartbeat first if it is nil.
func encodeOnce(raw *[]byte, be Heartbeat) ([]byte, error) {
	if *raw != nil {
		return *raw, nil
	}
	var err error
	*raw, err = encode(be)
	return *raw, err
}

func encode(be Heartbeat) ([]byte, error) {
	raw, err := cbor.Marshal(be)
	return raw, eris.Wrap(err, "encode heartbeat")
}

func decode(raw []byte) (Heartbeat, error) {
	var be Heartbeat
	if err := cbor.Unmarshal(raw, &be); err != nil {
		return be, eris.Wrap(err, "decode heartbeat")
	}
	return be, be.check()
}
