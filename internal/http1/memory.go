package http1

import (
	"errors"
	"io"
	"net"

	"github.com/VictoriaMetrics/metrics"
)

// ErrGivenUp means that a response was given up because all that are being read exceed Pool.MaxBytes
// and it holds most.
var ErrGivenUp = errors.New("http1: response given up for memory")

// errBodyTooLong means that a body exceeds the limit of its reader.
var errBodyTooLong = errors.New("http1: response body exceeds the size limit")

// MemoryDivisor is the part of the machine's memory that all responses that are being read may use.
const MemoryDivisor = 8

// minReadBytes is the size of the first buffer for a body. It doubles as the body is read.
const minReadBytes = 1 << 10

var givenUpCount = metrics.GetOrCreateCounter("corianderhub_responses_given_up_total")

// Hold counts memory that the reader of the response uses, until Close; bytes may be negative. It
// fails if the response was given up, and after Close.
func (ex *Exchange) Hold(bytes int64) error {
	po := ex.po
	po.memory.Lock()
	defer po.memory.Unlock()
	po.responses.Bytes = po.MaxBytes
	if ex.ended {
		return net.ErrClosed
	}
	if !ex.givenUp {
		for _, rs := range po.responses.Grow(ex.held, bytes) {
			rs.Drop()
			givenUpCount.Inc()
		}
	}
	if ex.givenUp {
		return ErrGivenUp
	}
	return nil
}

// drop gives up the response. The caller holds Pool.memory.
func (ex *Exchange) drop() {
	ex.givenUp = true
	ex.cn.nc.Close()
}

// endHold frees the memory of the response. It reports whether that was given up.
func (ex *Exchange) endHold() bool {
	ex.po.memory.Lock()
	defer ex.po.memory.Unlock()
	ex.po.responses.End(ex.held)
	ex.ended = true
	return ex.givenUp
}

// cause replaces an error of reading by ErrGivenUp if the response was given up.
func (ex *Exchange) cause(err error) error {
	if err == nil || err == io.EOF {
		return err
	}
	ex.po.memory.Lock()
	defer ex.po.memory.Unlock()
	if ex.givenUp {
		return ErrGivenUp
	}
	return err
}

// ReadAll reads the response body and returns an error if it exceeds limit bytes. A declared length
// reserves no memory.
func (ex *Exchange) ReadAll(limit int64) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			larger, err := ex.enlarge(body, limit)
			if err != nil {
				return nil, err
			}
			body = larger
		}
		num, err := ex.Read(body[len(body):cap(body)])
		body = body[:len(body)+num]
		switch {
		case int64(len(body)) > limit:
			return nil, errBodyTooLong
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// enlarge returns a buffer of up to twice the size with the same content. Both are counted while one is
// copied.
func (ex *Exchange) enlarge(body []byte, limit int64) ([]byte, error) {
	size := min(max(minReadBytes, 2*int64(cap(body))), limit+1)
	if expected := ex.Response.ContentLength; expected >= int64(len(body)) {
		size = min(size, expected+1) // One byte more than expected shows that the body ends there.
	}
	if err := ex.Hold(size); err != nil {
		return nil, err
	}
	larger := append(make([]byte, 0, size), body...)
	return larger, ex.Hold(-int64(cap(body)))
}
