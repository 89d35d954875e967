package front

import (
	"io"
	"sync"
	"time"
)

// A daemon holds each request's body until the request ends, so that it can be retried, and each
// complete response until its caller has read it. Callers that send or read slowly therefore
// occupy memory, and a burst of large bodies could exceed the machine's.

const (
	// minReadBytes is the size of the first buffer for a body. It doubles as the body is read.
	minReadBytes = 1 << 10
	// retryAfterMemory is the retry delay of a request whose body did not fit: by then most of
	// the requests that held the memory have ended.
	retryAfterMemory = time.Second
)

// BodyMemory bounds the bytes of request and response bodies that a daemon holds for all callers
// together. When they reach the limit, the largest request body that is still being read is
// given up, so that one caller cannot use up the memory of all others. The zero value has no
// limit.
type BodyMemory struct {
	// Limit is in bytes; 0 means that there is none.
	Limit int64

	mu      sync.Mutex
	held    int64
	readers map[*bodyHold]struct{}
}

// bodyHold is the memory held for one request.
type bodyHold struct {
	bm    *BodyMemory
	bytes int64
	// abort interrupts the read of the request body. evicted is set once it was called.
	abort   func()
	evicted bool
}

// open begins to count the bytes of a request whose body is being read.
func (bm *BodyMemory) open(abort func()) *bodyHold {
	bm.mu.Lock()
	defer bm.mu.Unlock()
	if bm.readers == nil {
		bm.readers = make(map[*bodyHold]struct{})
	}
	bh := &bodyHold{bm: bm, abort: abort}
	bm.readers[bh] = struct{}{}
	return bh
}

// Held returns the bytes held at present.
func (bm *BodyMemory) Held() int64 {
	bm.mu.Lock()
	defer bm.mu.Unlock()
	return bm.held
}

// grow counts more bytes of a body that is being read. It returns false if the request is given
// up to free memory.
func (bh *bodyHold) grow(bytes int64) bool {
	bm := bh.bm
	bm.mu.Lock()
	defer bm.mu.Unlock()
	for bm.Limit > 0 && bm.held+bytes > bm.Limit && !bh.evicted {
		largest := bh
		for other := range bm.readers {
			if other.bytes > largest.bytes {
				largest = other
			}
		}
		bm.evict(largest)
	}
	if bh.evicted {
		return false
	}
	bh.bytes += bytes
	bm.held += bytes
	return true
}

// evict gives up a request whose body is being read. The caller holds mu.
func (bm *BodyMemory) evict(bh *bodyHold) {
	bh.evicted = true
	delete(bm.readers, bh)
	bm.held -= bh.bytes
	bh.bytes = 0
	bh.abort()
}

// finishReading records that the body has been read, so that the request is not given up any more.
// It returns false if that has already happened.
func (bh *bodyHold) finishReading() bool {
	bh.bm.mu.Lock()
	defer bh.bm.mu.Unlock()
	delete(bh.bm.readers, bh)
	return !bh.evicted
}

// add counts the bytes of a response. They are never refused, since the request has run.
func (bh *bodyHold) add(bytes int64) {
	bm := bh.bm
	bm.mu.Lock()
	defer bm.mu.Unlock()
	bh.bytes += bytes
	bm.held += bytes
}

// close releases everything that is held for the request.
func (bh *bodyHold) close() {
	if bh == nil {
		return
	}
	bm := bh.bm
	bm.mu.Lock()
	defer bm.mu.Unlock()
	delete(bm.readers, bh)
	bm.held -= bh.bytes
	bh.bytes = 0
}

// readAll reads a body and counts its bytes. complete is false if the request was given up.
func (bh *bodyHold) readAll(from io.Reader) (body []byte, complete bool, err error) {
	for err == nil {
		if len(body) == cap(body) {
			more := max(minReadBytes, cap(body))
			if !bh.grow(int64(more)) {
				return nil, false, nil
			}
			body = append(make([]byte, 0, cap(body)+more), body...)
		}
		var num int
		num, err = from.Read(body[len(body):cap(body)])
		body = body[:len(body)+num]
	}
	if !bh.finishReading() {
		return nil, false, nil
	}
	if err == io.EOF {
		err = nil
	}
	return body, true, err
}
