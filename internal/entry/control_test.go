package entry

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/backpressure"
	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/internal/core/quarantine"
	"corianderhub.dev/corianderhub/internal/core/reach"
	"corianderhub.dev/corianderhub/internal/front"
	"corianderhub.dev/corianderhub/internal/mesh"
	"corianderhub.dev/corianderhub/internal/relay"
	"corianderhub.dev/corianderhub/platform"
)

// newTestControl returns the control state of one of 40 daemons in two data centres, with
// configuration 5. Its control loop does not run.
func newTestControl(milliCPU int) (*control, *clock.Manual) {
	cl := clock.NewManual(time.Unix(1000, 0))
	log := slog.New(slog.DiscardHandler)
	da := &Daemon{Clock: cl, Log: log, work: context.Background(), store: platform.NewStore("127.0.0.1:9", time.Second),
		Settings:   platform.Settings{IP: "10.0.0.200", DataCenter: "dc-0", CPUShare: float64(milliCPU) / 1000},
		dialer:     &relay.Dialer{Clock: cl, Timeout: dialTimeout, Paths: &reach.Tracker{}, Others: func(string) []string { return nil }},
		quarantine: &quarantine.Ledger{}, backpressure: &backpressure.Tracker{},
		mesh: &mesh.Mesh{Clock: cl, Log: log, IP: "10.0.0.200", DataCenter: "dc-0"}}
	da.config.Store(&configuration{Config: &catalog.Config{Revision: 5}})
	ct := newControl(da)
	da.control = ct
	ct.startedAt, ct.confirmed = cl.Now(), cl.Now()
	return ct, cl
}

// receiveFromAll delivers a heartbeat from each of the other 39 daemons.
func (ct *control) receiveFromAll(number uint64, be mesh.Heartbeat) {
	for i := range 39 {
		be.IP, be.DataCenter, be.Number, be.MilliCPU = fmt.Sprint("10.0.0.", i+1), fmt.Sprint("dc-", i%2), number, 192
		ct.da.mesh.Accept(be)
	}
}

// Guards against a false loss of a group member when the machine is suspended or out of
// CPU quota while it probes the member: a timeout in that period proves nothing, a later one
// does.
func TestLateSince(t *testing.T) {
	ct, cl := newTestControl(192)
	ct.noteDelay()
	sentAt := cl.Now()
	cl.Advance(tick)
	ct.noteDelay()
	if ct.lateSince(sentAt) {
		t.Error("late after a tick on time")
	}
	cl.Advance(lateRound + tick)
	ct.noteDelay()
	if !ct.lateSince(sentAt) {
		t.Error("not late after a delayed tick")
	}
	sentAt = cl.Now()
	cl.Advance(tick)
	ct.noteDelay()
	if ct.lateSince(sentAt) {
		t.Error("late for a request sent after the delay")
	}
}

// Guards against a steward that exceeds the weight store's limit after all daemons lose
// power. No daemon has served a caller since the restart, but loads are exempt from the
// limit only at the very first start.
func TestUnlimitedLoadsOnFirstStartOnly(t *testing.T) {
	tests := []struct {
		name              string
		bootstrap, served bool
		want              bool
	}{
		{"first start", true, false, true},
		{"first start, callers were served", true, true, false},
		{"start after a loss of all", false, false, false},
	}
	for _, tc := range tests {
		ct, _ := newTestControl(800)
		ct.da.front = &front.Server{}
		ct.da.Settings.Bootstrap, ct.served = tc.bootstrap, tc.served
		if got := ct.isInitialStart(); got != tc.want {
			t.Errorf("%s: loads exempt from the limit: got %v, want %v", tc.name, got, tc.want)
		}
	}
}
