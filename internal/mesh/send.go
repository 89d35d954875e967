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
