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
	"corianderhub.dev/corianderhub/internal/front"
	"corianderhub.dev/corianderhub/internal/mesh"
	"corianderhub.dev/corianderhub/platform"
)

// newLoneControl returns the control state of one of 40 daemons in two data
// centres. It holds configuration 5, and nothing of it runs by itself.
func newLoneControl(power int) (*control, *clock.Manual) {
	cl := clock.NewManual(time.Unix(1000, 0))
	log := slog.New(slog.DiscardHandler)
	da := &Daemon{Clock: cl, Log: log, work: context.Background(),
		Settings:   platform.Settings{IP: "10.0.0.200", DataCenter: "dc-0", CPUShare: float64(power) / 1000},
		quarantine: &quarantine.Ledger{}, backpressure: &backpressure.Register{},
		mesh: &mesh.Mesh{Clock: cl, Log: log, IP: "10.0.0.200", DataCenter: "dc-0"}}
	da.config.Store(&configuration{Config: &catalog.Config{Revision: 5}})
	ct := newControl(da)
	da.control = ct
	ct.begun, ct.confirmed = cl.Now(), cl.Now()
	return ct, cl
}

// hearAll makes a beat of each other daemon come in.
func (ct *control) hearAll(number uint64, be mesh.Heartbeat) {
	for i := range 39 {
		be.IP, be.DataCenter, be.Number, be.MilliCPU = fmt.Sprint("10.0.0.", i+1), fmt.Sprint("dc-", i%2), number, 192
		ct.da.mesh.Accept(be)
	}
}

// A machine is frozen, or out of processor time, while it asks the members of a
// group. What ran out of time meanwhile is no proof; what did later is.
func TestLateSince(t *testing.T) {
	ct, cl := newLoneControl(192)
	ct.noteDelay()
	asked := cl.Now()
	cl.Advance(tick)
	ct.noteDelay()
	if ct.lateSince(asked) {
		t.Error("late after a tick in time")
	}
	cl.Advance(lateRound + tick)
	ct.noteDelay()
	if !ct.lateSince(asked) {
		t.Error("not late after a tick that came late")
	}
	asked = cl.Now()
	cl.Advance(tick)
	ct.noteDelay()
	if ct.lateSince(asked) {
		t.Error("late still for what was asked after the delay")
	}
}

// All daemons lose power and start again. No caller has been served since, but the
// weight store's limit holds: only at the very first start are loads free. A steward
// that took each start for the first one would begin more loads than are allowed.
func TestLoadsAreFreeAtFirstStartOnly(t *testing.T) {
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
		ct, _ := newLoneControl(800)
		ct.da.front = &front.Server{}
		ct.da.Settings.Bootstrap, ct.served = tc.bootstrap, tc.served
		if got := ct.initial(); got != tc.want {
			t.Errorf("%s: loads are free: %v, want %v", tc.name, got, tc.want)
		}
	}
}
