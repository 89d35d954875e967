// Package mesh is the traffic between daemons: small datagrams that tell who
// is alive and what it has sent where, and calls for what is larger. What is
// told is a hint that later messages replace; nothing is agreed on here.
package mesh

import (
	"context"
	"log/slog"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/backpressure"
	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/internal/core/dispatch"
	"corianderhub.dev/corianderhub/internal/core/quarantine"
)

// Beat is what a daemon tells the others at short intervals. Numbers of fields
// are never given again with another meaning: daemons of two versions run
// together while they are replaced. 14 was the load in an earlier form, 20 the IDs
// of endpoints that left.
type Heartbeat struct {
	// IP identifies the daemon, Started the process on it.
	IP         string `cbor:"1,keyasint"`
	Started    int64  `cbor:"2,keyasint"`
	Number     uint64 `cbor:"3,keyasint"`
	Name       string `cbor:"4,keyasint"`
	DataCenter string `cbor:"5,keyasint"`
	// Callers is the address for callers; Taking is set while it may be used.
	Callers   string `cbor:"6,keyasint"`
	Accepting bool   `cbor:"7,keyasint,omitempty"`
	// Steward is set by the daemon that holds the lease of that term.
	Steward bool  `cbor:"8,keyasint,omitempty"`
	Term    int64 `cbor:"9,keyasint,omitempty"`
	// View counts the steward's views of the term.
	View int64 `cbor:"10,keyasint,omitempty"`
	// Config is the store's revision of the configuration in force.
	Config int64 `cbor:"11,keyasint,omitempty"`
	// Age is how long ago the store last confirmed what the daemon knows.
	Age time.Duration `cbor:"12,keyasint,omitempty"`
	// Served is set once callers have sent requests.
	Served bool `cbor:"13,keyasint,omitempty"`
	// Work is what daemons have to do with groups; WorkOf says which daemons.
	Work   dispatch.Work `cbor:"27,keyasint,omitzero"`
	WorkOf WorkOf        `cbor:"21,keyasint,omitempty"`
	// HeardTerm and HeardNumber name the last beat of a steward that the daemon
	// heard. With them it promises not to look at the lease for a while; they
	// are 0 while it does.
	AckTerm   int64  `cbor:"16,keyasint,omitempty"`
	AckNumber uint64 `cbor:"17,keyasint,omitempty"`
	// HeardFor is how long it promises that, from when that beat was sent.
	PromiseDuration time.Duration `cbor:"30,keyasint,omitempty"`
	// Uptime is how long ago the process started.
	Uptime time.Duration `cbor:"19,keyasint,omitempty"`
	// Leaving daemons will not become steward any more.
	Leaving bool `cbor:"18,keyasint,omitempty"`
	// Gone are endpoints that the daemon has lately seen leave at the store.
	Departed []catalog.Instance `cbor:"28,keyasint,omitempty"`
	// Suspects are groups that stand still.
	StallReports []GroupRef `cbor:"15,keyasint,omitempty"`
	// Advancing are groups that the daemon suspected and whose streams go on.
	ProgressReports []GroupRef `cbor:"29,keyasint,omitempty"`
	// Ended and Answered are what the daemon has seen of requests under which endpoints
	// end. As with work, all are told where daemons are few, and the steward else.
	Crashes     []quarantine.Crash      `cbor:"31,keyasint,omitempty"`
	Completions []quarantine.Completion `cbor:"32,keyasint,omitempty"`
	// Quarantine is the digest of the requests that it has quarantined.
	Quarantine uint64 `cbor:"33,keyasint,omitempty"`
	// Backpressure is what endpoints said of how much they take: to all where daemons are
	// few, and to the steward else, which tells it to all.
	Backpressure []backpressure.Notice `cbor:"34,keyasint,omitempty"`
	// Follows is set while the daemon follows the store itself.
	FollowsStore bool `cbor:"26,keyasint,omitempty"`
	// Sound are groups that were suspected and whose members have all answered.
	Healthy []GroupRef `cbor:"24,keyasint,omitempty"`
	// Power is the daemon's part of a processor, in thousandths of a core.
	MilliCPU int `cbor:"25,keyasint,omitempty"`
	// Silent are daemons that the steward does not hear any more.
	Unresponsive []string `cbor:"22,keyasint,omitempty"`
	// Change makes the steward's view of the one before; it is told once, and
	// whoever misses it fetches the view.
	Change *catalog.Change `cbor:"23,keyasint,omitempty"`
}

// WorkOf says whose work a beat tells.
type WorkOf uint8

// Whose work a beat tells.
const (
	// WorkNone means that the beat says nothing of work.
	WorkNone WorkOf = iota
	// WorkOwn is the sender's.
	WorkOwn
	// WorkRelayed is that of all daemons but the receiver.
	WorkRelayed
)

// Suspect names a group whose requests stand still.
type GroupRef struct {
	Group string `cbor:"1,keyasint"`
	Epoch int64  `cbor:"2,keyasint"`
}

const (
	// maxDatagram fits one packet of most networks with room to spare; larger
	// ones are sent in fragments, which is only a loss of time.
	maxDatagram = 60 << 10
	// aliveFor is how long a daemon counts as alive after its last beat.
	aliveFor = 900 * time.Millisecond
	// forgetAfter is how long silent daemons are still sent beats to, since
	// they may be behind a cut.
	forgetAfter = 10 * time.Minute
	// silentEvery is the interval of beats to daemons that are silent.
	silentEvery = time.Second
)

// Peer is another daemon.
type Peer struct {
	Heartbeat
	// At is when the last beat came; zero before the first.
	ReceivedAt time.Time
	// known is when the peer was heard of, sent when it was last sent a beat.
	known, sent time.Time
}

// Mesh sends and receives beats. Set the exported fields before Run.
type Mesh struct {
	Clock clock.Clock
	Log   *slog.Logger
	Conn  *net.UDPConn
	// IP and DataCenter are the daemon's own; Port is that of all daemons.
	IP, DataCenter string
	Port           int
	// OnBeat is called for each new beat of another daemon.
	OnHeartbeat func(Heartbeat)

	mu    sync.Mutex
	peers map[string]*Peer
	// deputy is set while the daemon follows the store for its data centre.
	deputy bool
	// steward is the steward's address, silent what it told in its last beat.
	steward string
	silent  map[string]bool
	// stewardSince is when the steward became known.
	stewardSince time.Time
}

// The traffic of beats, in bytes.
var (
	sentBytes  = metrics.NewCounter(`corianderhub_beat_bytes_total{way="sent"}`)
	heardBytes = metrics.NewCounter(`corianderhub_beat_bytes_total{way="heard"}`)
)

// Run receives beats until the socket is closed.
func (me *Mesh) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { me.Conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagram)
	for {
		num, _, err := me.Conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			me.Log.Warn("mesh: datagram not read.", "cause", err.Error())
			if me.Clock.Sleep(ctx, silentEvery) != nil {
				return nil
			}
			continue
		}
		heardBytes.Add(num)
		be, err := decode(buf[:num])
		if err != nil {
			me.Log.Warn("mesh: datagram not understood.", "cause", err.Error())
			continue
		}
		if me.Accept(be) {
			me.OnHeartbeat(be)
		}
	}
}

// Accept notes a beat, unless a later one of the daemon has come before it.
func (me *Mesh) Accept(be Heartbeat) bool {
	if _, err := netip.ParseAddr(be.IP); err != nil || be.IP == me.IP {
		return false
	}
	me.mu.Lock()
	defer me.mu.Unlock()
	now := me.Clock.Now()
	pe := me.add(be.IP, now)
	if be.Started < pe.Started || be.Started == pe.Started && be.Number <= pe.Number {
		return false
	}
	if pa := me.pace(); !pa.heardLately(be.IP, pe, now) {
		level := slog.LevelInfo
		if !pa.direct {
			// Each of 195 daemons would log each start of another one.
			level = slog.LevelDebug
		}
		me.Log.Log(context.Background(), level, "mesh: daemon joined.", "daemon", be.Name, "ip", be.IP)
	}
	pe.Heartbeat, pe.ReceivedAt = be, now
	pe.Work, pe.Change = dispatch.Work{}, nil
	me.hearSilent(be)
	return true
}

func (me *Mesh) add(ip string, now time.Time) *Peer {
	if me.peers == nil {
		me.peers = make(map[string]*Peer)
	}
	pe := me.peers[ip]
	if pe == nil {
		pe = &Peer{known: now}
		me.peers[ip] = pe
	}
	return pe
}

// Know adds daemons that were heard of.
func (me *Mesh) AddPeers(ips []string) {
	me.mu.Lock()
	defer me.mu.Unlock()
	for _, ip := range ips {
		if _, err := netip.ParseAddr(ip); err == nil && ip != me.IP {
			me.add(ip, me.Clock.Now())
		}
	}
}

// Known returns the addresses of all daemons, with the own one.
func (me *Mesh) Known() []string {
	me.mu.Lock()
	defer me.mu.Unlock()
	return append(slices.Sorted(maps.Keys(me.peers)), me.IP)
}

// Alive returns the daemons that were heard lately, by address.
func (me *Mesh) Alive() []Peer {
	me.mu.Lock()
	defer me.mu.Unlock()
	now := me.Clock.Now()
	pa := me.pace()
	var alive []Peer
	for _, ip := range slices.Sorted(maps.Keys(me.peers)) {
		if pe := me.peers[ip]; pa.heardLately(ip, pe, now) && !me.silent[ip] {
			alive = append(alive, *pe)
		}
	}
	return alive
}

// HeardWithin returns the daemons that were heard within a time, or within some
// of their intervals where those are longer.
func (me *Mesh) AliveWithin(span time.Duration) []Peer {
	me.mu.Lock()
	defer me.mu.Unlock()
	now := me.Clock.Now()
	pa := me.pace()
	var heard []Peer
	for _, pe := range me.peers {
		if !pe.ReceivedAt.IsZero() && now.Sub(pe.ReceivedAt) < max(span, aliveBeats*pa.between(pe)) {
			heard = append(heard, *pe)
		}
	}
	return heard
}
