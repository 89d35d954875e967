package http1

import (
	"errors"
	"io"
)

const (
	// MaxHeadBytes bounds the status lines and fields of all responses that are read in one exchange,
	// in bytes.
	MaxHeadBytes = 32 << 10
	// MaxHeadLines bounds the lines of these. A parsed field needs a multiple of its bytes.
	MaxHeadLines = 256
	// headCopies is how often a head is held: as received and as parsed.
	headCopies = 2
	// maxErrorBytes bounds the text of an error, which may quote what the endpoint sent.
	maxErrorBytes = 200
)

// ErrHeadTooLong means that the status line and fields of a response exceed MaxHeadBytes or
// MaxHeadLines.
var ErrHeadTooLong = errors.New("http1: response head exceeds the size limit")

// HeadReader reads a connection and bounds what is read from it while a head is expected: until
// then nothing has parsed the bytes, so only this bounds them. Bytes read ahead of a body count
// as well.
type HeadReader struct {
	from io.Reader
	// limited is set while a head is expected.
	limited bool
	// bytes and lines are what may still be read.
	bytes, lines int
	// blank is set while the current line has no bytes. done is set after the head's empty line.
	blank, done bool
	// hold counts the memory of what is read; nil counts nothing.
	hold func(bytes int64) error
}

// NewHeadReader returns a reader of from that bounds nothing until Expect is called.
func NewHeadReader(from io.Reader) *HeadReader { return &HeadReader{from: from} }

// Begin begins an exchange: its heads may need MaxHeadBytes and MaxHeadLines in all. hold counts the memory
// of what is read; nil counts nothing.
func (hr *HeadReader) Begin(hold func(bytes int64) error) {
	hr.bytes, hr.lines, hr.hold = MaxHeadBytes, MaxHeadLines, hold
}

// Expect bounds what is read until Parsed is called.
func (hr *HeadReader) Expect() { hr.limited, hr.blank, hr.done = true, false, false }

// Parsed ends the bound: a head was read, or reading it has failed.
func (hr *HeadReader) Parsed() { hr.limited = false }

// Read implements io.Reader.
func (hr *HeadReader) Read(buf []byte) (int, error) {
	if !hr.limited {
		return hr.from.Read(buf)
	}
	if hr.bytes <= 0 || hr.lines <= 0 {
		return 0, ErrHeadTooLong
	}
	num, err := hr.from.Read(buf[:min(len(buf), hr.bytes)])
	hr.bytes -= num
	hr.countLines(buf[:num])
	if hr.hold != nil && err == nil {
		err = hr.hold(headCopies * int64(num))
	}
	return num, err
}

// countLines counts the lines of the head in data.
func (hr *HeadReader) countLines(data []byte) {
	for _, ch := range data {
		switch {
		case hr.done:
			return
		case ch == '\n':
			hr.lines--
			hr.done, hr.blank = hr.blank, true
		case ch != '\r':
			hr.blank = false
		}
	}
}

// Excerpt returns the beginning of a text that an endpoint has sent, for errors and logs.
func Excerpt(text string) string {
	if len(text) <= maxErrorBytes {
		return text
	}
	return text[:maxErrorBytes] + "..."
}
