// Package mesh exchanges state between daemons. Heartbeats over UDP carry liveness and
// load; HTTP calls carry larger data such as views and configurations. Everything a
// daemon sends is a hint that a later message replaces: the package reaches no
// agreement between daemons.
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
	"corianderhub.dev/corianderhub/internal/core/evacuation"
	"corianderhub.dev/corianderhub/internal/core/quarantine"
	"corianderhub.dev/corianderhub/internal/logqueue"
)

// Heartbeat is the message that a daemon sends to the other daemons at short
// intervals. Field numbers are never reused with another meaning, because daemons of
// two versions run together during an upgrade. Number 14 was the load in an earlier
// encoding, 20 the IDs of departed endpoints.
type Heartbeat struct {
	// IP identifies the daemon. Started identifies the process on it: its start time in
	// nanoseconds since the Unix epoch. Number is the sequence number of the heartbeat
	// within the process.
	IP         string `cbor:"1,keyasint"`
	Started    int64  `cbor:"2,keyasint"`
	Number     uint64 `cbor:"3,keyasint"`
	Name       string `cbor:"4,keyasint"`
	DataCenter string `cbor:"5,keyasint"`
	// Callers is the address that callers connect to. Accepting is set while the daemon
	// accepts requests there.
	Callers   string `cbor:"6,keyasint"`
	Accepting bool   `cbor:"7,keyasint,omitempty"`
	// Steward is set by the daemon that holds the steward lease. Term is the term of
	// that lease.
	Steward bool  `cbor:"8,keyasint,omitempty"`
	Term    int64 `cbor:"9,keyasint,omitempty"`
	// ViewSequence is the sequence number of the steward's current view within the term.
	ViewSequence int64 `cbor:"10,keyasint,omitempty"`
	// ConfigRevision is the store's revision of the configuration in force, 0 for none.
	// ConfigVersion is its version, by which configurations are ordered; daemons of earlier
	// releases don't send it.
	ConfigRevision int64 `cbor:"11,keyasint,omitempty"`
	ConfigVersion  int64 `cbor:"36,keyasint,omitempty"`
	// StoreEra is the latest era of the store that the daemon knows.
	StoreEra int64 `cbor:"37,keyasint,omitempty"`
	// LostPaths is the number of endpoints that the daemon reaches through other daemons only.
	LostPaths int `cbor:"38,keyasint,omitempty"`
	// StateAge is the time since the store last confirmed the daemon's copy of the stored
	// state.
	StateAge time.Duration `cbor:"12,keyasint,omitempty"`
	// RequestReceived is set once any daemon, as far as the sender knows, has received a request
	// from a caller.
	RequestReceived bool `cbor:"13,keyasint,omitempty"`
	// Work is the load that requests in flight put on groups. WorkOf says whose
	// requests it counts.
	Work   dispatch.Work `cbor:"27,keyasint,omitzero"`
	WorkOf WorkOf        `cbor:"21,keyasint,omitempty"`
	// AckTerm and AckNumber acknowledge the last heartbeat that the daemon received
	// from a steward. The acknowledgment promises the steward that the daemon will not
	// try to acquire the lease for a while. Both are 0 while the daemon makes no such
	// promise.
	AckTerm   int64  `cbor:"16,keyasint,omitempty"`
	AckNumber uint64 `cbor:"17,keyasint,omitempty"`
	// PromiseDuration is the duration of the promise, counted from the time at which the
	// acknowledged heartbeat was sent.
	PromiseDuration time.Duration `cbor:"30,keyasint,omitempty"`
	// Uptime is the time since the process started.
	Uptime time.Duration `cbor:"19,keyasint,omitempty"`
	// Leaving is set while the daemon shuts down. It does not become steward any more.
	Leaving bool `cbor:"18,keyasint,omitempty"`
	// Departed lists endpoints whose departure the daemon has recently seen at the
	// store.
	Departed []catalog.Instance `cbor:"28,keyasint,omitempty"`
	// StallReports lists stalled groups.
	StallReports []GroupRef `cbor:"15,keyasint,omitempty"`
	// ProgressReports lists groups that the daemon reported as stalled and whose
	// streams make progress again.
	ProgressReports []GroupRef `cbor:"29,keyasint,omitempty"`
	// Crashes reports endpoint crashes with the requests in flight at the time,
	// Completions the completion of such requests. In direct mode they go to all
	// daemons, otherwise only to the steward, like Work.
	Crashes     []quarantine.Crash      `cbor:"31,keyasint,omitempty"`
	Completions []quarantine.Completion `cbor:"32,keyasint,omitempty"`
	// QuarantineDigest is the digest of the daemon's quarantined requests.
	QuarantineDigest uint64 `cbor:"33,keyasint,omitempty"`
	// Backpressure holds the notices of endpoints about how much load they accept. In
	// direct mode they go to all daemons, otherwise to the steward, which forwards them
	// to all.
	Backpressure []backpressure.Notice `cbor:"34,keyasint,omitempty"`
	// Evacuation is the operators' order of which data centres are evacuated.
	Evacuation evacuation.Order `cbor:"35,keyasint,omitzero"`
	// FollowsStore is set while the daemon follows the store itself.
	FollowsStore bool `cbor:"26,keyasint,omitempty"`
	// Healthy lists groups that were reported as stalled and whose members have all
	// answered since.
	Healthy []GroupRef `cbor:"24,keyasint,omitempty"`
	// MilliCPU is the daemon's CPU share, in thousandths of a core.
	MilliCPU int `cbor:"25,keyasint,omitempty"`
	// Unresponsive lists the IP addresses of daemons from which the steward receives no
	// heartbeats.
	Unresponsive []string `cbor:"22,keyasint,omitempty"`
	// Change is the difference between the steward's view and the previous one. It is
	// sent once; a daemon that misses it fetches the whole view.
	Change *catalog.Change `cbor:"23,keyasint,omitempty"`
}

// WorkOf says whose work a heartbeat contains.
type WorkOf uint8

// Values of WorkOf.
const (
	// WorkNone means that the heartbeat contains no work.
	WorkNone WorkOf = iota
	// WorkOwn means the work of the sender.
	WorkOwn
	// WorkRelayed means the work of all daemons except the receiver, summed by the
	// steward.
	WorkRelayed
)

// GroupRef identifies a group in one of its epochs.
type GroupRef struct {
	Group string `cbor:"1,keyasint"`
	Epoch int64  `cbor:"2,keyasint"`
}

const (
	// maxDatagramBytes bounds a received datagram, which UDP limits to 64 KB. The
	// network fragments a datagram that exceeds one packet, which only costs time.
	maxDatagramBytes = 60 << 10
	// aliveTimeout is the minimum time for which a daemon counts as alive after its
	// last heartbeat.
	aliveTimeout = 900 * time.Millisecond
	// deadRetention is how long heartbeats are still sent to unresponsive daemons,
	// which may be alive behind a network partition.
	deadRetention = 10 * time.Minute
	// unresponsiveInterval is the interval between heartbeats to an unresponsive
	// daemon, and the pause after a read error.
	unresponsiveInterval = time.Second
)

// Peer is the state of another daemon: its last heartbeat and local timestamps.
type Peer struct {
	Heartbeat
	// ReceivedAt is when the last heartbeat arrived. It is zero before the first one.
	ReceivedAt time.Time
	// addedAt is when the peer became known, sentAt when the last heartbeat was sent to
	// it.
	addedAt, sentAt time.Time
}

// Mesh sends and receives heartbeats. Set the exported fields before Run.
type Mesh struct {
	Clock clock.Clock
	Log   *slog.Logger
	Conn  *net.UDPConn
	// IP and DataCenter are those of this daemon. Port is the UDP port, the same on all
	// daemons.
	IP, DataCenter string
	Port           int
	// OnHeartbeat is called for each heartbeat that Accept records.
	OnHeartbeat func(Heartbeat)

	mu    sync.Mutex
	peers map[string]*Peer
	// deputy is set while this daemon follows the store on behalf of its data centre.
	deputy bool
	// steward is the IP address of the steward, "" if unknown. unresponsive holds the
	// daemons that its last heartbeat listed as unresponsive.
	steward      string
	unresponsive map[string]bool
	// stewardSince is when the current value of steward was set.
	stewardSince time.Time
}

// Heartbeat traffic, in bytes.
var (
	sentBytes     = metrics.NewCounter(`corianderhub_beat_bytes_total{way="sent"}`)
	receivedBytes = metrics.NewCounter(`corianderhub_beat_bytes_total{way="heard"}`)
	// invalidDatagrams counts the datagrams that are no heartbeats.
	invalidDatagrams = metrics.NewCounter("corianderhub_invalid_datagrams_total")
)

// Run receives heartbeats until ctx ends, and then closes the socket. It always
// returns nil.
func (me *Mesh) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { me.Conn.Close() })
	defer stop()
	// A datagram may arrive as ctx ends, before AfterFunc has closed the socket.
	defer me.Conn.Close()
	invalid := logqueue.Limited{Clock: me.Clock, Log: me.Log}
	buf := make([]byte, maxDatagramBytes)
	for {
		num, from, err := me.Conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			me.Log.Warn("mesh: cannot read datagram.", "cause", err.Error())
			if me.Clock.Sleep(ctx, unresponsiveInterval) != nil {
				return nil
			}
			continue
		}
		receivedBytes.Add(num)
		be, err := decode(buf[:num])
		if err != nil {
			invalidDatagrams.Inc()
			invalid.Warn("mesh: cannot decode datagram.", "from", from.String(), "bytes", num, "cause", err.Error())
			continue
		}
		if me.Accept(be) {
			me.OnHeartbeat(be)
		}
	}
}

// Accept records a heartbeat of another daemon and returns true. It ignores a
// heartbeat with an invalid address or that of this daemon, and one that is not newer
// than the last from its sender, and returns false. A process that started earlier than the
// last one counts as newer once that one is not alive.
func (me *Mesh) Accept(be Heartbeat) bool {
	if _, err := netip.ParseAddr(be.IP); err != nil || be.IP == me.IP {
		return false
	}
	me.mu.Lock()
	defer me.mu.Unlock()
	now := me.Clock.Now()
	pe := me.add(be.IP, now)
	pa := me.intervals()
	alive := pa.isAlive(be.IP, pe, now)
	// The clock of a machine may be set back before its daemon restarts.
	if be.Started < pe.Started && alive || be.Started == pe.Started && be.Number <= pe.Number {
		return false
	}
	if !alive {
		level := slog.LevelInfo
		if !pa.direct {
			// With 195 daemons, each of them would log every start of another one.
			level = slog.LevelDebug
		}
		me.Log.Log(context.Background(), level, "mesh: daemon joined.", "daemon", be.Name, "ip", be.IP)
	}
	pe.Heartbeat, pe.ReceivedAt = be, now
	pe.Work, pe.Change = dispatch.Work{}, nil
	me.applyUnresponsive(be)
	return true
}

// add returns the peer with that address and creates it if necessary. me.mu must be
// held.
func (me *Mesh) add(ip string, now time.Time) *Peer {
	if me.peers == nil {
		me.peers = make(map[string]*Peer)
	}
	pe := me.peers[ip]
	if pe == nil {
		pe = &Peer{addedAt: now}
		me.peers[ip] = pe
	}
	return pe
}

// AddPeers adds the daemons with these addresses as peers. It ignores invalid
// addresses.
func (me *Mesh) AddPeers(ips []string) {
	me.mu.Lock()
	defer me.mu.Unlock()
	for _, ip := range ips {
		if _, err := netip.ParseAddr(ip); err == nil && ip != me.IP {
			me.add(ip, me.Clock.Now())
		}
	}
}

// Known returns the IP addresses of all known daemons, including this one.
func (me *Mesh) Known() []string {
	me.mu.Lock()
	defer me.mu.Unlock()
	return append(slices.Sorted(maps.Keys(me.peers)), me.IP)
}

// Knows reports whether an IP address is that of this or another daemon.
func (me *Mesh) Knows(ip string) bool {
	me.mu.Lock()
	defer me.mu.Unlock()
	return ip == me.IP || me.peers[ip] != nil
}

// Alive returns the other daemons that count as alive, sorted by address: those with a
// recent heartbeat that the steward does not list as unresponsive.
func (me *Mesh) Alive() []Peer {
	me.mu.Lock()
	defer me.mu.Unlock()
	now := me.Clock.Now()
	pa := me.intervals()
	var alive []Peer
	for _, ip := range slices.Sorted(maps.Keys(me.peers)) {
		if pe := me.peers[ip]; pa.isAlive(ip, pe, now) && !me.unresponsive[ip] {
			alive = append(alive, *pe)
		}
	}
	return alive
}

// AliveWithin returns the daemons whose last heartbeat is younger than span, or than
// maxMissedHeartbeats intervals if that is longer.
func (me *Mesh) AliveWithin(span time.Duration) []Peer {
	me.mu.Lock()
	defer me.mu.Unlock()
	now := me.Clock.Now()
	pa := me.intervals()
	var recent []Peer
	for _, pe := range me.peers {
		if !pe.ReceivedAt.IsZero() && now.Sub(pe.ReceivedAt) < max(span, maxMissedHeartbeats*pa.peerInterval(pe)) {
			recent = append(recent, *pe)
		}
	}
	return recent
}
