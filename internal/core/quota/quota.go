// Package quota bounds the memory and the connections that the clients of a daemon use together. It
// decides which connections are given up when there is not enough for all.
package quota

import (
	"sync/atomic"
	"time"
)

// Phase is what a connection is doing.
type Phase int

// Phases of a connection. In all but Serving the daemon waits for the client.
const (
	// Idle connections have sent nothing of a request.
	Idle Phase = iota
	// Header connections have sent a part of a request's header.
	Header
	// Body connections have sent the header and a part of the body.
	Body
	// Serving connections have sent a complete request and wait for the response.
	Serving
)

// String returns the phase's name in logs and metrics.
func (ph Phase) String() string {
	return [...]string{"idle", "header", "body", "serving"}[ph]
}

const (
	// ConnBytes is counted for each connection: the buffers, goroutines and socket buffers that it
	// has in any phase.
	ConnBytes = 16 << 10
	// smallRequestBytes is what a request may use, with its connection, of the part of the memory that
	// is kept for small requests. That part is one in smallRequestPart.
	smallRequestBytes = 96 << 10
	smallRequestPart  = 8
	// stalledWrite is the time after which a response that the client does not read counts as
	// waiting for the client.
	stalledWrite = time.Second
)

// Listener is the use of the connections that one listener has accepted. A listener may use what the
// others don't need, except the shares that are kept for them.
type Listener struct {
	Name string
	// Share is the part of the memory and of the connections that other listeners can't use.
	Share float64

	bytes int64
	conns int
}

// Bytes returns the memory in use, Conns the number of connections.
func (li *Listener) Bytes() int64 { return li.bytes }

// Conns returns the number of connections.
func (li *Listener) Conns() int { return li.conns }

// Client is the connection of one client. Use it with the Budget that opened it.
type Client struct {
	Listener *Listener
	// Drop is called by the owner of the Budget for a client that was given up.
	Drop func(Reason)

	phase Phase
	// since is when the phase began. For Body it is the begin of the request's header.
	since time.Time
	bytes int64
	// held is bytes when the client was given up.
	held int64
	// answered is set once a request was answered on the connection.
	answered bool
	// dropped is set when the client was given up.
	dropped bool
	// opened is when the connection was accepted. writing is the time from then to the begin of the
	// write in progress, in nanoseconds; 0 if there is none.
	opened  time.Time
	writing atomic.Int64
	// index is the position in Budget.clients; -1 once it was removed.
	index int
}

// Reason is why a client was given up.
type Reason string

// Reasons to give up a client.
const (
	Memory      Reason = "memory"
	Connections Reason = "connections"
	Stopping    Reason = "stopping"
)

// Budget bounds the use of all clients. Set the exported fields before use. It is not safe for
// concurrent use. The functions that give up clients return them; the caller then calls their Drop.
type Budget struct {
	// Bytes and Conns are the limits; 0 means that there is none.
	Bytes int64
	Conns int
	// Listeners are all listeners.
	Listeners []*Listener

	clients []*Client
}

// Open adds a connection. It returns no client if there is no room for one.
func (bu *Budget) Open(li *Listener, now time.Time) (cl *Client, dropped []*Client) {
	for bu.Conns > 0 {
		own := li.conns >= bu.maxConns(li)
		if !own && len(bu.clients) < bu.Conns {
			break
		}
		victim := bu.firstByAge(li, own, now)
		if victim == nil {
			return nil, dropped
		}
		bu.remove(victim)
		dropped = append(dropped, victim)
	}
	cl = &Client{Listener: li, opened: now, since: now, index: len(bu.clients)}
	bu.clients = append(bu.clients, cl)
	li.conns++
	ok, more := bu.Grow(cl, ConnBytes, now)
	dropped = append(dropped, more...)
	if !ok {
		bu.remove(cl)
		return nil, dropped
	}
	return cl, dropped
}

// Grow counts more memory for a client. It returns false if there is no room for it. A client without
// a complete request is then given up, but not among those returned.
func (bu *Budget) Grow(cl *Client, bytes int64, now time.Time) (ok bool, dropped []*Client) {
	if cl.dropped || cl.index < 0 {
		return false, nil
	}
	for bu.Bytes > 0 {
		own := cl.Listener.bytes+bytes > bu.maxBytes(cl, bytes)
		if !own && bu.used()+bytes <= bu.Bytes {
			break
		}
		victim := bu.firstByMemory(cl, own, now)
		if victim == nil || victim == cl {
			if cl.phase != Serving {
				bu.giveUp(cl)
			}
			return false, dropped
		}
		bu.giveUp(victim)
		dropped = append(dropped, victim)
	}
	bu.Add(cl, bytes)
	return true, dropped
}

// Add counts more memory for a client whether or not there is room for it; bytes may be negative.
func (bu *Budget) Add(cl *Client, bytes int64) {
	if cl.dropped || cl.index < 0 {
		return
	}
	cl.bytes += bytes
	cl.Listener.bytes += bytes
}

// Enter changes the phase of a client. It returns false if the client was given up before.
func (bu *Budget) Enter(cl *Client, ph Phase, now time.Time) bool {
	if cl.dropped || cl.index < 0 {
		return false
	}
	if cl.phase == Serving && ph == Idle {
		cl.answered = true
	}
	if cl.phase != Header || ph != Body {
		cl.since = now
	}
	cl.phase = ph
	return true
}

// Close removes a connection that was closed.
func (bu *Budget) Close(cl *Client) {
	if cl.index >= 0 {
		bu.remove(cl)
	}
}

// GiveUpUnread gives up all clients that have not sent a complete request.
func (bu *Budget) GiveUpUnread(li *Listener) (dropped []*Client) {
	for _, cl := range bu.clients {
		if cl.Listener == li && cl.phase != Serving && !cl.dropped {
			bu.giveUp(cl)
			dropped = append(dropped, cl)
		}
	}
	return dropped
}

// Held returns the memory counted for the client, or for one that was given up what it had then.
func (cl *Client) Held() int64 {
	if cl.dropped {
		return cl.held
	}
	return cl.bytes
}

// Dropped reports whether the client was given up.
func (cl *Client) Dropped() bool { return cl.dropped }

// Phase returns the client's phase, Since when it began.
func (cl *Client) Phase() Phase { return cl.phase }

// Since returns when the phase began.
func (cl *Client) Since() time.Time { return cl.since }

// BeginWrite and EndWrite enclose a write to the client. They are safe for concurrent use.
func (cl *Client) BeginWrite(now time.Time) { cl.writing.Store(max(1, int64(now.Sub(cl.opened)))) }

// EndWrite records that the write has ended.
func (cl *Client) EndWrite() { cl.writing.Store(0) }

// used returns the memory in use.
func (bu *Budget) used() (bytes int64) {
	for _, li := range bu.Listeners {
		bytes += li.bytes
	}
	return bytes
}

// othersShare returns the sum of the shares that are kept for the other listeners.
func (bu *Budget) othersShare(li *Listener) (share float64) {
	for _, other := range bu.Listeners {
		if other != li {
			share += other.Share
		}
	}
	return share
}

// maxConns returns the largest number of connections of a listener.
func (bu *Budget) maxConns(li *Listener) int {
	return max(1, int(float64(bu.Conns)*(1-bu.othersShare(li))))
}

// maxBytes returns the memory that the client's listener may use for the client to get more bytes.
func (bu *Budget) maxBytes(cl *Client, more int64) int64 {
	limit := int64(float64(bu.Bytes) * (1 - bu.othersShare(cl.Listener)))
	if cl.bytes+more > smallRequestBytes {
		limit -= limit / smallRequestPart
	}
	return limit
}

// waits returns whether the daemon waits for the client, and since when.
func (cl *Client) waits(now time.Time) (since time.Time, waits bool) {
	if cl.phase != Serving {
		return cl.since, true
	}
	begin := cl.writing.Load()
	if since = cl.opened.Add(time.Duration(begin)); begin != 0 && now.Sub(since) >= stalledWrite {
		return since, true
	}
	return time.Time{}, false
}

// mayDropFor reports whether clients of other may be given up for one of li. own is set if li itself
// uses too much, overShare if other uses more than its share.
func mayDropFor(other, li *Listener, own, overShare bool) bool {
	return other == li || !own && overShare
}

// firstByMemory returns the client to give up when memory is short, or nil if there is none: that which
// has held the most memory for the longest without completing its request. Idle connections hold
// little, and come last.
func (bu *Budget) firstByMemory(cl *Client, own bool, now time.Time) (first *Client) {
	var firstIdle bool
	var most float64
	for _, other := range bu.clients {
		since, waits := other.waits(now)
		overShare := other.Listener.bytes > int64(other.Listener.Share*float64(bu.Bytes))
		if !waits || other.dropped || other.bytes == 0 || !mayDropFor(other.Listener, cl.Listener, own, overShare) {
			continue
		}
		idle, held := other.phase == Idle && other != cl, float64(other.bytes)*now.Sub(since).Seconds()
		if first == nil || firstIdle && !idle || firstIdle == idle && held > most {
			first, firstIdle, most = other, idle, held
		}
	}
	return first
}

// firstByAge returns the client to give up when connections are short, or nil if there is none: one
// that never completed a request, an idle one, one whose body is incomplete, and one that does not read
// its response, in this order; among these the one that has waited longest.
func (bu *Budget) firstByAge(li *Listener, own bool, now time.Time) (first *Client) {
	var firstRank int
	var oldest time.Time
	for _, cl := range bu.clients {
		since, waits := cl.waits(now)
		overShare := cl.Listener.conns > int(cl.Listener.Share*float64(bu.Conns))
		if !waits || !mayDropFor(cl.Listener, li, own, overShare) {
			continue
		}
		if rank := cl.rank(); first == nil || rank < firstRank || rank == firstRank && since.Before(oldest) {
			first, firstRank, oldest = cl, rank, since
		}
	}
	return first
}

// rank orders the clients that may be given up when connections are short.
func (cl *Client) rank() int {
	switch {
	case cl.phase <= Header && !cl.answered:
		return 0
	case cl.phase <= Header:
		return 1
	case cl.phase == Body:
		return 2
	}
	return 3
}

// giveUp frees the memory of a client. Its connection counts until it is closed.
func (bu *Budget) giveUp(cl *Client) {
	if !cl.dropped {
		cl.dropped, cl.held = true, cl.bytes
	}
	cl.Listener.bytes -= cl.bytes
	cl.bytes = 0
}

// remove gives up a client and its connection.
func (bu *Budget) remove(cl *Client) {
	bu.giveUp(cl)
	cl.Listener.conns--
	last := bu.clients[len(bu.clients)-1]
	bu.clients[cl.index], last.index = last, cl.index
	bu.clients = bu.clients[:len(bu.clients)-1]
	cl.index = -1
}
