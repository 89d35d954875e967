// Package inbound accepts the connections of a daemon's clients. It applies the limits on requests and
// bounds what all clients use together.
package inbound

import (
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/quota"
	"corianderhub.dev/corianderhub/internal/logqueue"
)

// Limits are the limits on one client. A limit of 0 is replaced by the default of the same name.
type Limits struct {
	// HeaderBytes bounds the request line, and the fields of the header together.
	HeaderBytes int64
	// HeaderTimeout bounds the time from the first byte of a request to the end of its header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may be open without a request.
	IdleTimeout time.Duration
}

// Defaults of Limits.
const (
	DefaultHeaderBytes   = 256 << 10
	DefaultHeaderTimeout = 10 * time.Second
	DefaultIdleTimeout   = 3 * time.Minute
)

// orDefaults returns the limits with the defaults for those that are not set.
func (li Limits) orDefaults() Limits {
	if li.HeaderBytes <= 0 {
		li.HeaderBytes = DefaultHeaderBytes
	}
	if li.HeaderTimeout <= 0 {
		li.HeaderTimeout = DefaultHeaderTimeout
	}
	if li.IdleTimeout <= 0 {
		li.IdleTimeout = DefaultIdleTimeout
	}
	return li
}

const (
	// memoryDivisor is the part of the machine's memory that clients may use. The heap grows to about
	// twice what is in use before it is collected.
	memoryDivisor = 4
	// reservedFiles is the number of descriptors for files and for sockets other than those of clients
	// and endpoints. Of the rest one in filesPerClient is for clients: a request in progress needs a
	// connection to an endpoint, and another one while a second attempt runs beside the first.
	reservedFiles  = 200
	filesPerClient = 3
	// PrimaryShare and SecondaryShare are the shares of the listener for callers and of each other
	// listener.
	PrimaryShare   = 0.625
	SecondaryShare = 0.03125
)

// Guard bounds what all clients of a daemon use together. Set the exported fields before the first
// call of Listen.
type Guard struct {
	Clock clock.Clock
	Log   *slog.Logger
	// MemoryBytes is the memory of the machine; 0 means that it is not bounded.
	MemoryBytes int64
	// MaxFiles is the number of descriptors that the process may use; 0 means that connections are not
	// bounded.
	MaxFiles int

	once   sync.Once
	mu     sync.Mutex
	budget quota.Budget
	log    logqueue.Limited
}

// Listener accepts the connections of one kind of client. Use it as the listener of the http.Server
// that its Server method returns.
type Listener struct {
	net.Listener
	// Limits returns the current limits on one client; nil means the defaults.
	Limits func() Limits

	gu  *Guard
	own *quota.Listener
}

// Listen returns a listener that accepts from ln. The share is that of quota.Listener.
func (gu *Guard) Listen(ln net.Listener, name string, share float64) *Listener {
	gu.once.Do(gu.setLimits)
	li := &Listener{Listener: ln, gu: gu, own: &quota.Listener{Name: name, Share: share}}
	gu.mu.Lock()
	defer gu.mu.Unlock()
	gu.budget.Listeners = append(gu.budget.Listeners, li.own)
	return li
}

// setLimits sets the limits of the budget.
func (gu *Guard) setLimits() {
	gu.log.Clock, gu.log.Log = gu.Clock, gu.Log
	gu.budget.Bytes = gu.MemoryBytes / memoryDivisor
	if gu.MaxFiles > 0 {
		gu.budget.Conns = max(filesPerClient, gu.MaxFiles-reservedFiles) / filesPerClient
	}
	gu.Log.Info("inbound: limits on all clients.", "bytes", gu.budget.Bytes, "connections", gu.budget.Conns)
}

// FileLimit returns the number of descriptors that the process may use: the configured one, or the limit
// of the operating system if that is lower or configured is 0.
func FileLimit(configured int) int {
	var system unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &system); err != nil || configured > 0 && uint64(configured) <= system.Cur {
		return configured
	}
	return int(min(system.Cur, maxFileLimit))
}

// maxFileLimit is the largest number of descriptors that is used.
const maxFileLimit = 1 << 20

// Accept implements net.Listener. A connection that there is no room for is closed.
func (li *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := li.Listener.Accept()
		if err != nil {
			return nil, li.afterAccept(err)
		}
		co := &Conn{Conn: nc, li: li}
		if li.gu.open(co) {
			return co, nil
		}
		nc.Close()
	}
}

// limits returns the current limits on one client.
func (li *Listener) limits() Limits {
	if li.Limits == nil {
		return Limits{}.orDefaults()
	}
	return li.Limits().orDefaults()
}

// open adds a connection to the budget. It returns false if there is no room for it.
func (gu *Guard) open(co *Conn) bool {
	now := gu.Clock.Now()
	gu.mu.Lock()
	cl, dropped := gu.budget.Open(co.li.own, now)
	if cl != nil {
		cl.Drop = co.drop
		co.client = cl
	}
	lines := gu.dropLines(dropped, now)
	gu.mu.Unlock()
	gu.drop(dropped, lines, quota.Connections)
	if cl == nil {
		countDropped(co.li.own.Name, "new", quota.Connections)
		gu.log.Warn("inbound: connection refused.", "listener", co.li.own.Name, "client", co.Conn.RemoteAddr().String())
	}
	return cl != nil
}

// grow counts memory for a connection. It returns false if the connection was given up.
func (gu *Guard) grow(co *Conn, bytes int64) bool {
	now := gu.Clock.Now()
	gu.mu.Lock()
	self := gu.dropLines([]*quota.Client{co.client}, now)
	before := co.client.Dropped()
	ok, dropped := gu.budget.Grow(co.client, bytes, now)
	lines := gu.dropLines(dropped, now)
	givenUp := co.client.Dropped() && !before
	gu.mu.Unlock()
	gu.drop(dropped, lines, quota.Memory)
	if givenUp {
		gu.drop([]*quota.Client{co.client}, self, quota.Memory)
	}
	return ok
}

// add counts memory that can't be refused; bytes may be negative.
func (gu *Guard) add(co *Conn, bytes int64) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	gu.budget.Add(co.client, bytes)
}

// close removes a connection that was closed.
func (gu *Guard) close(co *Conn) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	gu.budget.Close(co.client)
}

// enter changes the phase of a connection. It returns false if the connection was given up.
func (gu *Guard) enter(co *Conn, ph quota.Phase) bool {
	now := gu.Clock.Now()
	gu.mu.Lock()
	defer gu.mu.Unlock()
	return gu.budget.Enter(co.client, ph, now)
}

// RefuseUnread gives up the connections of a listener that have not sent a complete request.
func (gu *Guard) RefuseUnread(li *Listener) {
	now := gu.Clock.Now()
	gu.mu.Lock()
	dropped := gu.budget.GiveUpUnread(li.own)
	lines := gu.dropLines(dropped, now)
	gu.mu.Unlock()
	gu.drop(dropped, lines, quota.Stopping)
}

// dropLine is what the log says of a connection that was given up. The caller of dropLines holds mu.
type dropLine struct {
	listener string
	phase    quota.Phase
	bytes    int64
	age      time.Duration
}

func (gu *Guard) dropLines(dropped []*quota.Client, now time.Time) []dropLine {
	lines := make([]dropLine, 0, len(dropped))
	for _, cl := range dropped {
		lines = append(lines, dropLine{cl.Listener.Name, cl.Phase(), cl.Held(), now.Sub(cl.Since())})
	}
	return lines
}

// drop closes connections that were given up and logs each.
func (gu *Guard) drop(dropped []*quota.Client, lines []dropLine, why quota.Reason) {
	for i, cl := range dropped {
		cl.Drop(why)
		li := lines[i]
		countDropped(li.listener, li.phase.String(), why)
		gu.log.Warn("inbound: connection given up.", "reason", why, "listener", li.listener, "phase", li.phase.String(),
			"bytes", li.bytes, "age-ms", li.age.Milliseconds())
	}
}

func countDropped(listener, phase string, why quota.Reason) {
	metrics.GetOrCreateCounter(`corianderhub_inbound_dropped_total{listener="` + listener + `",phase="` + phase + `",reason="` + string(why) + `"}`).Inc()
}

// Use is what the clients of one listener use at present.
type Use struct {
	Listener string
	Bytes    int64
	Conns    int
}

// Uses returns the use of each listener.
func (gu *Guard) Uses() []Use {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	var uses []Use
	for _, li := range gu.budget.Listeners {
		uses = append(uses, Use{li.Name, li.Bytes(), li.Conns()})
	}
	return uses
}

// Register adds the gauges of all listeners to a set.
func (gu *Guard) Register(set *metrics.Set) {
	for at, us := range gu.Uses() {
		set.NewGauge(`corianderhub_inbound_bytes{listener="`+us.Listener+`"}`, func() float64 { return float64(gu.Uses()[at].Bytes) })
		set.NewGauge(`corianderhub_inbound_connections{listener="`+us.Listener+`"}`, func() float64 { return float64(gu.Uses()[at].Conns) })
	}
}

// Server returns a server for the listener's connections. refuse answers the requests that there is no
// memory for; it must state that they were not run.
func (li *Listener) Server(handler, refuse http.Handler) *http.Server {
	gu := li.gu
	return &http.Server{
		Handler:     &requests{handler, refuse},
		ConnContext: withConn,
		ConnState:   connState,
		// Conn applies the limits, which may change while the server runs.
		MaxHeaderBytes: maxServerHeaderBytes,
		ErrorLog:       slog.NewLogLogger(gu.Log.Handler(), slog.LevelDebug),
	}
}

// maxServerHeaderBytes is a header limit of http.Server that no request reaches.
const maxServerHeaderBytes = 1 << 30
