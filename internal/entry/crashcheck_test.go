package entry

import (
	"net"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/dispatch"
	"corianderhub.dev/corianderhub/internal/core/quarantine"
	"corianderhub.dev/corianderhub/internal/front"
	"corianderhub.dev/corianderhub/internal/loopback"
	"corianderhub.dev/corianderhub/internal/mesh"
)

// Guards against a crash that isn't noticed because the endpoint was found running shortly before,
// when it had closed another connection.
func TestCrashAfterTruncatedResponse(t *testing.T) {
	ct, _ := newTestControl(800)
	ct.da.front, ct.da.table, ct.da.plain = &front.Server{}, &dispatch.Table{}, &dispatch.PlainTable{}
	ct.da.Clock = clock.System{}
	held, err := loopback.Hold("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	endpoint, err := held.Listen()
	if err != nil {
		t.Fatal(err)
	}
	witness, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer witness.Close()
	ct.da.dialer.Others = func(string) []string { return []string{witness.Addr().String()} }
	disconnect := func() bool {
		known := make(chan bool, 1)
		ct.handleDisconnect(front.Disconnect{Endpoint: "s1", Address: held.String()}, known)
		for {
			select {
			case event := <-ct.events:
				event()
			case crashed := <-known:
				return crashed
			case <-time.After(waitTimeout):
				t.Fatal("the check doesn't end")
			}
		}
	}
	if disconnect() {
		t.Error("an endpoint that is running was taken as crashed")
	}
	endpoint.Close()
	if !disconnect() {
		t.Error("a crash after that was not noticed")
	}
}

// Guards against daemons whose clocks differ: a crash that a daemon reports with its clock ahead must
// not outweigh the completions of all others for that time.
func TestCrashReportsOfOtherClocks(t *testing.T) {
	ahead, aheadClock := newTestControl(800)
	aheadClock.Advance(time.Hour)
	rq := quarantine.Request{Content: quarantine.Fingerprint{1}}
	ahead.announce(announcement{crash: &quarantine.Crash{Endpoint: "s1", At: aheadClock.Now(), Requests: []quarantine.Request{rq}}, at: aheadClock.Now()})
	var be mesh.Heartbeat
	ahead.addQuarantine(&be, aheadClock.Now())

	ct, cl := newTestControl(800)
	ct.applyQuarantine(be, cl.Now())
	cl.Advance(time.Second)
	if len(ct.da.quarantine.Suspected(rq)) != 1 {
		t.Fatal("the request is not suspected after a crash")
	}
	ct.subjectCompleted(rq.Content, 0)
	if len(ct.da.quarantine.Suspected(rq)) != 0 {
		t.Error("a completion after the crash doesn't clear the request")
	}
}
