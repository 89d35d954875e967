package inbound

import (
	"bytes"
	"net/http"
)

var newline = []byte{'\n'}

// headerScanner counts the bytes and lines of a request's header as they arrive.
type headerScanner struct {
	// line is the length of the request line, fields that of the lines after it.
	line, fields int64
	// lines is the number of line ends.
	lines int64
	// complete is set once the empty line after the fields has arrived. restBytes and restLines are
	// what has arrived behind it.
	complete             bool
	restBytes, restLines int64
	// endless is set if the empty line was not the end.
	endless bool
	// current is the length of the line in progress, onlyCR whether it is a carriage return.
	current int64
	onlyCR  bool
}

// scan counts the next bytes and returns those after the end of the header.
func (hs *headerScanner) scan(part []byte) (rest []byte) {
	for len(part) > 0 && !hs.complete {
		at := bytes.IndexByte(part, '\n')
		text := part
		if at >= 0 {
			text = part[:at]
		}
		if len(text) > 0 {
			hs.onlyCR = hs.current == 0 && len(text) == 1 && text[0] == '\r'
		}
		hs.current += int64(len(text))
		hs.count(int64(len(text)))
		if at < 0 {
			return nil
		}
		hs.count(1)
		hs.complete = !hs.endless && (hs.current == 0 || hs.onlyCR)
		hs.lines++
		hs.current, hs.onlyCR = 0, false
		part = part[at+1:]
	}
	hs.restBytes, hs.restLines = int64(len(part)), int64(bytes.Count(part, newline))
	return part
}

// reopen continues a header that has seemed complete. Its begin was sent ahead of a response, and the
// rest of a line may look like an empty one.
func (hs *headerScanner) reopen() {
	hs.complete, hs.endless = false, true
	hs.fields += hs.restBytes
	hs.lines += hs.restLines
}

// count adds bytes to the request line or to the fields.
func (hs *headerScanner) count(num int64) {
	if hs.lines == 0 {
		hs.line += num
		return
	}
	hs.fields += num
}

// cost returns the memory that the header needs while it is parsed.
func (hs *headerScanner) cost() int64 {
	return 2*(hs.line+hs.fields) + hs.lines*fieldBytes
}

// minHeaderBytes returns the least length of a request's header as the client sent it.
func minHeaderBytes(req *http.Request) int64 {
	length := len(req.Method) + len(req.RequestURI) + len(req.Proto) + len(req.Host)
	for name, vals := range req.Header {
		for _, val := range vals {
			length += len(name) + len(val) + len(":\n")
		}
	}
	return int64(length)
}

// headerCost returns the memory that a request's header needs while it is served.
func headerCost(req *http.Request) int64 {
	bytes := int64(len(req.RequestURI))
	for name, vals := range req.Header {
		for _, val := range vals {
			bytes += int64(len(name)+len(val)) + fieldBytes
		}
	}
	return copies * bytes
}
