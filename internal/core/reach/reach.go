// Package reach tracks which endpoints this daemon reaches over its own network path. A failed
// connection alone does not tell whether the endpoint is down or the path to it is broken: the
// path is lost only if another daemon reaches the endpoint.
package reach

import (
	"sync"
	"time"
)

// failureTTL is how long a failed connection counts as evidence. Endpoints in use are connected
// to several times a second.
const failureTTL = 2 * time.Second

// Tracker records the outcomes of connections to endpoints by address. It is safe for concurrent
// use; the zero value is ready for use.
type Tracker struct {
	mu    sync.Mutex
	paths map[string]*path
}

// path is the state of the path to one address. Addresses without failures have none.
type path struct {
	failedAt time.Time
}

// DirectOpened records that a connection over this daemon's own path was opened.
func (tr *Tracker) DirectOpened(addr string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	delete(tr.paths, addr)
}

// DirectFailed records that no connection could be opened over this daemon's own path.
func (tr *Tracker) DirectFailed(addr string, now time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.paths == nil {
		tr.paths = make(map[string]*path)
	}
	if tr.paths[addr] == nil {
		tr.paths[addr] = new(path)
	}
	tr.paths[addr].failedAt = now
}

// Unreached returns the number of addresses to which the last connection failed a short time ago.
func (tr *Tracker) Unreached(now time.Time) int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	num := 0
	for addr, pa := range tr.paths {
		if now.Sub(pa.failedAt) > failureTTL {
			delete(tr.paths, addr)
			continue
		}
		num++
	}
	return num
}
