package front

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/google/go-cmp/cmp"

	"corianderhub.dev/corianderhub/internal/http1"
)

// Guards against passing on a part of an event when the stream is truncated, and against
// taking a truncated stream for a complete one.
func TestEventReader(t *testing.T) {
	tests := []struct {
		name, stream string
		want         []string
		err          error
	}{
		{"whole", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, io.EOF},
		{"carriage returns", "id: 1\r\ndata: a\r\n\r\n", []string{"id: 1\r\ndata: a\r\n\r\n"}, io.EOF},
		{"empty", "", nil, io.EOF},
		{"truncated within an event", "id: 1\ndata: a\n\nid: 2\nda", []string{"id: 1\ndata: a\n\n"}, errTruncatedEvent},
		{"truncated before the blank line", "id: 1\ndata: a\n", nil, errTruncatedEvent},
		{"large event", "data: " + strings.Repeat("x", 9000) + "\n\n", []string{"data: " + strings.Repeat("x", 9000) + "\n\n"}, io.EOF},
	}
	for _, tc := range tests {
		for _, from := range []io.Reader{strings.NewReader(tc.stream), iotest.OneByteReader(strings.NewReader(tc.stream))} {
			var got []string
			er := newEventReader(from)
			event, err := er.next()
			for ; err == nil; event, err = er.next() {
				got = append(got, string(event))
			}
			if diff := cmp.Diff(tc.want, got); diff != "" || !errors.Is(err, tc.err) {
				t.Errorf("%s: error %v, want %v; events (-want +got):\n%s", tc.name, err, tc.err, diff)
			}
		}
	}
}

func TestEventID(t *testing.T) {
	tests := []struct {
		event string
		id    int64
		ok    bool
	}{
		{"id: 12\ndata: a\n\n", 12, true},
		{"x-weight-versions: 3\nid:7\ndata: a\n\n", 7, true},
		{"data: id: 4\n\n", 0, false},
		{"id: x\n\n", 0, false},
		{"", 0, false},
	}
	for _, tc := range tests {
		if id, ok := eventID([]byte(tc.event)); id != tc.id || ok != tc.ok {
			t.Errorf("%q: got ID %d, %v", tc.event, id, ok)
		}
	}
}

// For any input, the returned events must be an unchanged prefix of the stream.
func FuzzEventReader(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n")
	f.Fuzz(func(t *testing.T, stream string) {
		er := newEventReader(iotest.HalfReader(strings.NewReader(stream)))
		var got strings.Builder
		for event, err := er.next(); err == nil; event, err = er.next() {
			got.Write(event)
		}
		if !strings.HasPrefix(stream, got.String()) {
			t.Errorf("events %q are not a prefix of the stream %q", got.String(), stream)
		}
	})
}

// Guards against processor time that grows with the square of an event's length if it arrives in small parts.
func TestTrickledEvent(t *testing.T) {
	stream := "data: " + strings.Repeat("x", maxEventBytes/2) + "\n\n"
	begin := time.Now()
	event, err := newEventReader(iotest.OneByteReader(strings.NewReader(stream))).next()
	if took := time.Since(begin); err != nil || len(event) != len(stream) || took > 2*time.Second {
		t.Errorf("got %d bytes after %v, error %v; want all within 2 s", len(event), took, err)
	}
}

// Guards against events without end that together exceed the memory because nothing counts them.
func TestEndlessEventIsCounted(t *testing.T) {
	er := newEventReader(strings.NewReader(strings.Repeat("x", maxEventBytes)))
	er.hold = func(bytes int64) error {
		if bytes > 64<<10 {
			return http1.ErrGivenUp
		}
		return nil
	}
	if _, err := er.next(); !errors.Is(err, http1.ErrGivenUp) {
		t.Errorf("got error %v, want %v", err, http1.ErrGivenUp)
	}
}
