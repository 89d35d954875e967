package front

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderhub.dev/corianderhub/platform"
	"corianderhub.dev/corianderhub/platform/emulator"
)

// Guards against bodies of many callers that together exceed the limit, against a small body that
// is evicted while a larger one is being read, and against bytes that stay counted after their
// request has ended.
func TestHoldBodyMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bm := &BodyMemory{Limit: 1000}
		var reading []*bodyHold
		t.Repeat(map[string]func(*rapid.T){
			"open": func(*rapid.T) { reading = append(reading, bm.open(func() {})) },
			"grow": func(t *rapid.T) {
				if len(reading) == 0 {
					return
				}
				bh := rapid.SampledFrom(reading).Draw(t, "hold")
				bytes := int64(rapid.IntRange(1, 1200).Draw(t, "bytes"))
				largest := int64(0)
				for _, other := range reading {
					largest = max(largest, other.bytes)
				}
				before := bh.bytes
				if !bh.grow(bytes) && before > 0 && before < largest && bytes <= before {
					t.Fatalf("a request with %d bytes was evicted before one with %d", before, largest)
				}
			},
			"close": func(t *rapid.T) {
				if len(reading) == 0 {
					return
				}
				at := rapid.IntRange(0, len(reading)-1).Draw(t, "hold")
				reading[at].close()
				reading = append(reading[:at], reading[at+1:]...)
			},
			"": func(t *rapid.T) {
				if held := bm.Held(); held < 0 || held > bm.Limit {
					t.Fatalf("%d bytes held, want 0 to %d", held, bm.Limit)
				}
			},
		})
		for _, bh := range reading {
			bh.close()
		}
		if held := bm.Held(); held != 0 {
			t.Fatalf("%d bytes held after all requests", held)
		}
	})
}

// Guards against a body that is cut, changed or counted wrongly, at sizes around those of the
// buffers.
func TestReadAllOfBody(t *testing.T) {
	for _, size := range []int{0, 1, minReadBytes - 1, minReadBytes, minReadBytes + 1, 100_000} {
		bm := &BodyMemory{Limit: 1 << 20}
		bh := bm.open(func() {})
		want := bytes.Repeat([]byte("x"), size)
		body, complete, err := bh.readAll(bytes.NewReader(want))
		if err != nil || !complete || !bytes.Equal(body, want) || bm.Held() < int64(size) {
			t.Errorf("%d bytes: read %d, complete %v, %d held, error %v", size, len(body), complete, bm.Held(), err)
		}
		bh.close()
		if bm.Held() != 0 {
			t.Errorf("%d bytes: %d held after the request", size, bm.Held())
		}
	}
	failure := errors.New("connection reset")
	bh := (&BodyMemory{}).open(func() {})
	if _, complete, err := bh.readAll(io.MultiReader(strings.NewReader("part"), failingReader{failure})); !complete || err != failure {
		t.Errorf("complete %v, error %v, want %v", complete, err, failure)
	}
}

type failingReader struct{ err error }

func (er failingReader) Read([]byte) (int, error) { return 0, er.err }

// Guards against a caller that sends a large body slowly and so uses up the memory of all
// callers: it is refused as not run, and the others are served.
func TestLargestBodyIsEvicted(t *testing.T) {
	ri := newRig(t)
	sv := ri.addPlain(nil)
	ri.front.Memory.Limit = 64 << 10
	conn, err := net.Dial("tcp", ri.hs.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /confirm/x HTTP/1.1\r\nHost: some.example\r\n%s: slow\r\n%s: Token key-1\r\nContent-Length: 100000\r\n\r\n%s",
		platform.HeaderRequestID, platform.HeaderAuthorization, strings.Repeat("x", 40_000))
	for ri.front.Memory.Held() < 40_000 {
		time.Sleep(time.Millisecond)
	}
	small := strings.Repeat("y", 20_000)
	got := ri.send("/confirm/x", "small", func(req *http.Request) {
		req.Body, req.ContentLength = io.NopCloser(strings.NewReader(small)), int64(len(small))
	})
	if got.body != emulator.Body("small") {
		t.Errorf("the smaller request got %+v", got)
	}
	answer := make([]byte, 200)
	if err := conn.SetReadDeadline(time.Now().Add(longTimeout)); err != nil {
		t.Fatal(err)
	}
	num, err := conn.Read(answer)
	if err != nil || !strings.HasPrefix(string(answer[:num]), "HTTP/1.1 503 ") || !strings.Contains(string(answer[:num]), platform.HeaderRetryAfter) {
		t.Errorf("the larger request got %q, error %v, want status 503 with a retry time", answer[:num], err)
	}
	if runs := sv.Runs(); len(runs) != 1 || runs[0].Body != small {
		t.Errorf("%d requests ran, want the smaller one alone and unchanged", len(runs))
	}
	for ri.front.Memory.Held() != 0 {
		time.Sleep(time.Millisecond)
	}
}

// stalledWriter is a response writer whose caller reads the first bytes only. Without a deadline
// its writes would block forever.
type stalledWriter struct {
	*httptest.ResponseRecorder
	reads    int
	deadline time.Time
}

func (sw *stalledWriter) SetWriteDeadline(at time.Time) error {
	sw.deadline = at
	return nil
}

func (sw *stalledWriter) Write(part []byte) (int, error) {
	if sw.reads -= len(part); sw.reads >= 0 {
		return len(part), nil
	}
	if sw.deadline.IsZero() {
		panic("write without a deadline")
	}
	return 0, io.ErrShortWrite
}

// Guards against a response that is held without end for a caller that has stopped reading.
func TestResponseToStalledCaller(t *testing.T) {
	sw := &stalledWriter{ResponseRecorder: httptest.NewRecorder(), reads: 2 * writeChunkBytes}
	if err := writeBody(sw, make([]byte, 4*writeChunkBytes)); err == nil {
		t.Error("no error although the caller does not read")
	}
	if until := time.Until(sw.deadline); until > writeTimeout {
		t.Errorf("write deadline in %s, want at most %s", until, writeTimeout)
	}
	all := &stalledWriter{ResponseRecorder: httptest.NewRecorder(), reads: 4 * writeChunkBytes}
	if err := writeBody(all, make([]byte, 4*writeChunkBytes)); err != nil {
		t.Errorf("error %v although the caller reads all", err)
	}
}

// Guards against a caller that gets no response because its body never arrives.
func TestBodyThatNeverArrives(t *testing.T) {
	ri := newRig(t)
	conn, err := net.Dial("tcp", ri.hs.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /confirm/x HTTP/1.1\r\nHost: some.example\r\n%s: slow\r\n%s: Token key-1\r\n%s: 50\r\nContent-Length: 1000\r\n\r\npart",
		platform.HeaderRequestID, platform.HeaderAuthorization, platform.HeaderDeadline)
	if err := conn.SetReadDeadline(time.Now().Add(longTimeout)); err != nil {
		t.Fatal(err)
	}
	answer := make([]byte, 200)
	num, err := conn.Read(answer)
	if err != nil || !strings.HasPrefix(string(answer[:num]), "HTTP/1.1 400 ") {
		t.Errorf("got %q, error %v, want status 400", answer[:num], err)
	}
}
