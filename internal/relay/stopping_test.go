package relay

import "testing"

// Guards against connections that a stopping daemon accepts for others and cuts at the end of its grace
// period.
func TestStoppingDaemonRelaysNothingNew(t *testing.T) {
	pr := newPair(t)
	pr.own.refuses.Store(true)
	addr := serve(t, echo)
	before, err := pr.dialer.Dial(t.Context(), addr)
	if err != nil {
		t.Fatal(err)
	}
	defer before.Close()
	pr.stopping.Store(true)
	if nc, err := pr.dialer.Dial(t.Context(), addr); err == nil {
		nc.Close()
		t.Error("got a connection through a daemon that stops")
	}
	if got := pr.server.Open(); got != 1 {
		t.Errorf("%d connections are open, want the one from before", got)
	}
}
