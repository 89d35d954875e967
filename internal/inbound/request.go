package inbound

import (
	"context"
	"errors"
	"io"
	"net/http"

	"corianderhub.dev/corianderhub/internal/core/quota"
)

// requests is the handler around all others. It reports the state of a request to its connection.
type requests struct {
	next, refuse http.Handler
}

// ServeHTTP implements http.Handler.
func (re *requests) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	co := connOf(req.Context())
	if co == nil {
		re.next.ServeHTTP(w, req)
		return
	}
	defer co.end()
	if !co.begin(req) {
		re.refuse.ServeHTTP(w, req)
		return
	}
	if req.Body != nil && req.Body != http.NoBody {
		req.Body = &body{ReadCloser: req.Body, co: co, left: req.ContentLength}
	}
	re.next.ServeHTTP(w, req)
}

// RefuseOverloaded answers a request that there is no memory for.
func RefuseOverloaded(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", "1")
	http.Error(w, "memory-full", http.StatusServiceUnavailable)
}

// body is a request's body that reports its end.
type body struct {
	io.ReadCloser
	co *Conn
	// left is the number of bytes that are still due, or negative if that is not known.
	left int64
}

// errGivenUp is the error of reads from a request that was given up.
var errGivenUp = errors.New("inbound: request given up")

// Read implements io.Reader.
func (bo *body) Read(buf []byte) (int, error) {
	num, err := bo.ReadCloser.Read(buf)
	ended := err == io.EOF
	if bo.left > 0 {
		bo.left -= int64(num)
		ended = ended || bo.left == 0
	}
	if ended && !bo.co.bodyRead() {
		return num, errGivenUp
	}
	return num, err
}

// Hold counts the memory that a request needs for its body and its response. A nil Hold counts
// nothing.
type Hold struct{ co *Conn }

// HoldOf returns the hold of a request with the context, or nil if its server has no Listener.
func HoldOf(ctx context.Context) *Hold {
	if co := connOf(ctx); co != nil {
		return &Hold{co}
	}
	return nil
}

// Add counts memory that can't be refused, because the request has run; bytes may be negative. All
// that is counted for a request is released when its handler returns.
func (ho *Hold) Add(bytes int64) {
	if ho == nil {
		return
	}
	ho.co.mu.Lock()
	defer ho.co.mu.Unlock()
	ho.co.charged += bytes
	ho.co.li.gu.add(ho.co, bytes)
}

// grow counts memory. It returns false if the request was given up.
func (ho *Hold) grow(bytes int64) bool {
	if ho == nil {
		return true
	}
	ho.co.mu.Lock()
	defer ho.co.mu.Unlock()
	return ho.co.growLocked(bytes)
}

// GivenUp reports whether the request was given up, and whether that was because the daemon stops.
func (ho *Hold) GivenUp() (givenUp, stopping bool) {
	if ho == nil {
		return false, false
	}
	ho.co.mu.Lock()
	defer ho.co.mu.Unlock()
	return ho.co.dropped, ho.co.why == quota.Stopping
}

// Ended says how the client's connection ended: by which side, or by which deadline. It is empty while the
// connection is open.
func (ho *Hold) Ended() string {
	if ho == nil {
		return ""
	}
	ho.co.mu.Lock()
	defer ho.co.mu.Unlock()
	return ho.co.ended
}

// setReading records whether the body is being read.
func (ho *Hold) setReading(reading bool) {
	if ho == nil {
		return
	}
	ho.co.mu.Lock()
	defer ho.co.mu.Unlock()
	ho.co.reading = reading
}

// minReadBytes is the size of the first buffer for a body. It doubles as the body is read.
const minReadBytes = 1 << 10

// ReadBody reads a body and counts its bytes. size is its expected length, or negative if that is not
// known. complete is false if the request was given up; it can still be answered then.
func ReadBody(ho *Hold, from io.Reader, size int64) (body []byte, complete bool, err error) {
	ho.setReading(true)
	defer ho.setReading(false)
	for err == nil {
		if len(body) == cap(body) {
			if body, complete = enlarge(ho, body, size); !complete {
				return nil, false, nil
			}
		}
		var num int
		num, err = from.Read(body[len(body):cap(body)])
		body = body[:len(body)+num]
	}
	if givenUp, _ := ho.GivenUp(); givenUp {
		return nil, false, nil
	}
	if err == io.EOF {
		err = nil
	}
	return body, true, err
}

// enlarge returns a buffer of up to twice the size with the same content. Both are counted while one is
// copied.
func enlarge(ho *Hold, body []byte, expected int64) ([]byte, bool) {
	size := max(minReadBytes, 2*cap(body))
	// One byte more than expected shows that the body ends there.
	if expected >= int64(len(body)) && expected < int64(size) {
		size = int(expected) + 1
	}
	if !ho.grow(int64(size)) {
		return nil, false
	}
	larger := append(make([]byte, 0, size), body...)
	ho.Add(-int64(cap(body)))
	return larger, true
}
