// Package reach decides which way a connection to an endpoint takes: over this daemon's own path
// or through another daemon. A failed connection alone does not tell whether the endpoint is down
// or the path to it is broken: the path is lost only if another daemon reaches the endpoint.
package reach

import (
	"sync"
	"time"
)

const (
	// failureTTL is how long a failed connection counts as evidence. Endpoints in use are
	// connected to several times a second.
	failureTTL = 2 * time.Second
	// recheckInterval is the time between attempts to use a lost path again. Each endpoint is
	// rechecked by itself, with the next request to it, so that the requests of a daemon don't
	// return to its own path all at once.
	recheckInterval = 400 * time.Millisecond
	// downTTL is how long an endpoint that no daemon reached is tried over the own path only.
	downTTL = 500 * time.Millisecond
)

// Way is how to connect to an endpoint.
type Way uint8

// Values of Way.
const (
	// DirectFirst means this daemon's own path, and other daemons if it fails or is slow.
	DirectFirst Way = iota
	// DirectOnly means the own path alone: no daemon reached the endpoint a moment ago.
	DirectOnly
	// Both means the own path and another daemon at the same time.
	Both
	// RelayFirst means another daemon, and the own path if no other reaches the endpoint.
	RelayFirst
)

// Tracker records the outcomes of connections to endpoints by address. It is safe for concurrent
// use; the zero value is ready for use.
type Tracker struct {
	mu    sync.Mutex
	paths map[string]*path
}

// path is the state of the path to one address. Addresses without failures have none.
type path struct {
	// failedAt is when a connection over the own path last failed; refused is set if it was
	// refused.
	failedAt time.Time
	refused  bool
	// lost is set while another daemon reaches the endpoint and this one does not, since lostAt.
	// recheckAt is when the own path is tried again.
	lost              bool
	lostAt, recheckAt time.Time
	// usedAt is when a connection through another daemon was last opened.
	usedAt time.Time
	// downUntil is when other daemons are asked again after none of them reached the endpoint.
	downUntil time.Time
}

// Way returns how to connect to an address.
func (tr *Tracker) Way(addr string, now time.Time) Way {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	pa := tr.paths[addr]
	switch {
	case pa == nil:
		return DirectFirst
	case pa.lost && now.Before(pa.recheckAt):
		return RelayFirst
	case pa.lost:
		pa.recheckAt = now.Add(recheckInterval)
		return Both
	case now.Before(pa.downUntil):
		return DirectOnly
	}
	return DirectFirst
}

// DirectOpened records that a connection over this daemon's own path was opened.
func (tr *Tracker) DirectOpened(addr string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	delete(tr.paths, addr)
}

// DirectFailed records that no connection could be opened over this daemon's own path.
func (tr *Tracker) DirectFailed(addr string, refused bool, now time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	pa := tr.path(addr)
	pa.failedAt, pa.refused = now, refused
}

// RelayOpened records that a connection was opened through another daemon, while this daemon's own
// path had failed or not answered. It reports whether the path counts as lost only from now on.
func (tr *Tracker) RelayOpened(addr string, now time.Time) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	pa := tr.path(addr)
	pa.usedAt, pa.downUntil = now, time.Time{}
	if pa.lost {
		return false
	}
	pa.lost, pa.lostAt, pa.recheckAt = true, now, now.Add(recheckInterval)
	return true
}

// Unreachable records that neither this daemon nor the others that it asked reached the endpoint.
func (tr *Tracker) Unreachable(addr string, now time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	pa := tr.path(addr)
	pa.lost, pa.downUntil = false, now.Add(downTTL)
}

// path returns the state of the path to an address, and creates it if necessary. tr.mu must be
// held.
func (tr *Tracker) path(addr string) *path {
	if tr.paths == nil {
		tr.paths = make(map[string]*path)
	}
	if tr.paths[addr] == nil {
		tr.paths[addr] = new(path)
	}
	return tr.paths[addr]
}

// LostSince returns since when the path to an address is lost, and false if it is not: another
// daemon reaches the endpoint.
func (tr *Tracker) LostSince(addr string) (time.Time, bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	pa := tr.paths[addr]
	if pa == nil || !pa.lost {
		return time.Time{}, false
	}
	return pa.lostAt, true
}

// FailedRecently reports whether the last connection over this daemon's own path to an address
// failed a short time ago, and whether it was refused.
func (tr *Tracker) FailedRecently(addr string, now time.Time) (failed, refused bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	pa := tr.paths[addr]
	if pa == nil || now.Sub(pa.failedAt) >= recheckInterval {
		return false, false
	}
	return true, pa.refused
}

// Counts returns the number of addresses to which the last connection failed a short time ago,
// and of those to which the path is lost. It forgets paths that are not in use any more.
func (tr *Tracker) Counts(now time.Time) (unreached, lost int) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for addr, pa := range tr.paths {
		if now.Sub(pa.failedAt) > failureTTL && now.Sub(pa.usedAt) > failureTTL {
			delete(tr.paths, addr)
			continue
		}
		unreached++
		if pa.lost {
			lost++
		}
	}
	return unreached, lost
}
