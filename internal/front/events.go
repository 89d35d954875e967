package front

import (
	"bytes"
	"errors"
	"io"
	"strconv"
)

// errTruncatedEvent means that a stream ended within an event.
var errTruncatedEvent = errors.New("front: stream truncated within an event")

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// eventReader splits a stream into complete events, each up to and including its blank line.
// It never returns a part of an event when the stream is truncated.
type eventReader struct {
	from io.Reader
	buf  []byte
	// start and end delimit the bytes in buf that have been read and not yet returned.
	start, end int
	// searched is the end of the bytes after start that contain no blank line.
	searched int
	// hold counts the memory of buf; nil counts nothing.
	hold func(bytes int64) error
}

func newEventReader(from io.Reader) *eventReader {
	return &eventReader{from: from, buf: make([]byte, 2<<10)}
}

// next returns the next event with its blank line. It returns io.EOF only at the end of a
// complete stream.
func (er *eventReader) next() ([]byte, error) {
	for {
		if event := er.nextBuffered(); event != nil {
			return event, nil
		}
		if err := er.fill(); err != nil {
			if err == io.EOF && er.end > er.start {
				return nil, errTruncatedEvent
			}
			return nil, err
		}
	}
}

// nextBuffered returns the next complete event in the buffer, or nil if there is none.
func (er *eventReader) nextBuffered() []byte {
	// A blank line may begin up to three bytes before those that were searched.
	from := max(er.start, er.searched-3)
	rest := er.buf[from:er.end]
	at, size := bytes.Index(rest, []byte("\n\n")), 2
	if crlf := bytes.Index(rest, []byte("\r\n\r\n")); crlf >= 0 && (at < 0 || crlf < at) {
		at, size = crlf, 4
	}
	if at < 0 {
		er.searched = er.end
		return nil
	}
	event := er.buf[er.start : from+at+size]
	er.start = from + at + size
	er.searched = er.start
	return event
}

func (er *eventReader) fill() error {
	if er.start > 0 {
		copy(er.buf, er.buf[er.start:er.end])
		er.end -= er.start
		er.searched = max(0, er.searched-er.start)
		er.start = 0
	}
	if er.end == len(er.buf) {
		if len(er.buf) >= maxEventBytes {
			return errors.New("front: event exceeds 1 MiB")
		}
		if err := er.enlarge(); err != nil {
			return err
		}
	}
	num, err := er.from.Read(er.buf[er.end:])
	er.end += num
	if num > 0 {
		return nil
	}
	return err
}

// enlarge doubles the buffer.
func (er *eventReader) enlarge() error {
	if er.hold != nil {
		if err := er.hold(int64(len(er.buf))); err != nil {
			return err
		}
	}
	er.buf = append(er.buf, make([]byte, len(er.buf))...)
	return nil
}

// eventID returns the ID of an event. IDs increase along a stream.
func eventID(event []byte) (int64, bool) {
	for len(event) > 0 {
		line, rest, _ := bytes.Cut(event, []byte("\n"))
		event = rest
		val, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		num, err := strconv.ParseInt(string(bytes.TrimSpace(val)), 10, 64)
		return num, err == nil
	}
	return 0, false
}
