package inbound

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"

	"corianderhub.dev/corianderhub/internal/clock"
)

// failingListener fails the first call of Accept.
type failingListener struct {
	net.Listener
	err   error
	calls atomic.Int64
}

func (fl *failingListener) Accept() (net.Conn, error) {
	if fl.calls.Add(1) == 1 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: fl.Addr(), Err: fl.err}
	}
	return fl.Listener.Accept()
}

// Guards against a daemon that ends, with all requests in flight, because the kernel could not accept one
// connection: it lacked memory, or the connection had an error of its own.
func TestServerOutlivesFailedAccept(t *testing.T) {
	for _, err := range []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM, syscall.EPROTO, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.EMFILE} {
		t.Run(err.Error(), func(t *testing.T) {
			ln, listenErr := net.Listen("tcp", "127.0.0.1:0")
			if listenErr != nil {
				t.Fatal(listenErr)
			}
			gu := &Guard{Clock: clock.System{}, Log: slog.New(slog.DiscardHandler)}
			li := gu.Listen(&failingListener{Listener: ln, err: err}, "callers", PrimaryShare)
			sv := li.Server(http.HandlerFunc(echo), http.HandlerFunc(RefuseOverloaded))
			ended := make(chan error, 1)
			go func() { ended <- sv.Serve(li) }()
			defer sv.Close()
			answered := make(chan error, 1)
			go func() {
				rsp, err := http.Get("http://" + ln.Addr().String())
				if err == nil {
					_, err = io.Copy(io.Discard, rsp.Body)
					rsp.Body.Close()
				}
				answered <- err
			}()
			select {
			case err := <-ended:
				t.Errorf("the server has ended: %v", err)
				ln.Close()
			case err := <-answered:
				if err != nil {
					t.Error(err)
				}
			}
		})
	}
}
