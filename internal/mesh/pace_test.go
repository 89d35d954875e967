package mesh

import (
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/backpressure"
	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/internal/core/dispatch"
	"corianderhub.dev/corianderhub/internal/core/quarantine"
)

// crowd is a mesh of one daemon that knows many others, spread over four data
// centres, all of which it hears all the time.
type crowd struct {
	*Mesh
	clock   *clock.Manual
	started int64
	number  uint64
}

func newCrowd(others int) *crowd {
	cl := clock.NewManual(time.Unix(1000, 0))
	cr := &crowd{clock: cl, Mesh: &Mesh{Clock: cl, Log: slog.New(slog.DiscardHandler), IP: "10.0.0.1", DataCenter: "dc-0", Port: 7}}
	for i := range others {
		cr.hear(i, Heartbeat{})
	}
	return cr
}

func otherIP(num int) string { return fmt.Sprintf("10.0.%d.%d", 1+num/200, 1+num%200) }

// hear makes a beat of that daemon come in.
func (cr *crowd) hear(num int, be Heartbeat) {
	cr.number++
	be.IP, be.DataCenter, be.Number, be.Started = otherIP(num), fmt.Sprint("dc-", num%4), cr.number, cr.started
	cr.Accept(be)
}

// hearAll makes all others but some be heard.
func (cr *crowd) hearAll(others int, but ...int) {
	for i := range others {
		if !slices.Contains(but, i) {
			cr.hear(i, Heartbeat{Steward: cr.steward == otherIP(i)})
		}
	}
}

// count returns how many beats each daemon is sent in that time.
func (cr *crowd) count(others int, span time.Duration) map[recipient]int {
	sent := make(map[recipient]int)
	for step := range int(span / countStep) {
		for _, ad := range cr.due(ToDue) {
			sent[ad]++
		}
		if step%20 == 0 {
			cr.hearAll(others)
		}
		cr.clock.Advance(countStep)
	}
	return sent
}

// countStep is the interval at which beats are sent when they are due.
const countStep = 10 * time.Millisecond

func to(num int, tell WorkOf) recipient {
	return recipient{netip.AddrPortFrom(netip.MustParseAddr(otherIP(num)), 7), tell}
}

// Few daemons tell each other of their load directly, many through the
// steward. Whatever their number, what a daemon sends stays bounded.
func TestPace(t *testing.T) {
	tests := []struct {
		name            string
		others, steward int
		// perSecond bounds what is sent in all; load, near and far are the beats
		// that the daemons 1 (the steward), 4 and 2 are sent in 10 s.
		perSecond       int
		load, near, far int
		loadTells       WorkOf
	}{
		{"few", 8, 1, 200, 200, 200, 200, WorkOwn},
		{"many", 67, 1, 80, 100, 23, 3, WorkOwn},
		{"very many", 369, 1, 70, 19, 4, 1, WorkOwn},
		{"steward of many", 67, -1, 1000, 125, 125, 125, WorkRelayed},
		{"steward of very many", 369, -1, 1000, 27, 27, 27, WorkRelayed},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			cr := newCrowd(tc.others)
			cr.SetSteward(cr.IP)
			if tc.steward >= 0 {
				cr.SetSteward(otherIP(tc.steward))
			}
			sent := cr.count(tc.others, 10*time.Second)
			total := 0
			for _, num := range sent {
				total += num
			}
			if total > tc.perSecond*10*11/10 {
				t.Errorf("%d beats in 10 s, want %d at most", total, tc.perSecond*10)
			}
			others := WorkNone
			if tc.loadTells == WorkRelayed || tc.others <= directMost {
				others = tc.loadTells
			}
			for _, want := range []struct{ num, beats int }{{1, tc.load}, {4, tc.near}, {2, tc.far}} {
				tell := others
				if want.num == 1 {
					tell = tc.loadTells
				}
				if got := sent[to(want.num, tell)]; got < want.beats*8/10 || got > want.beats+2 {
					t.Errorf("daemon %d got %d beats in 10 s, want some %d; all: %v", want.num, got, want.beats, sent[to(want.num, WorkNone)])
				}
			}
		})
	}
}

// A daemon dies among many. Its neighbours hear it seldom and would name it to
// callers for seconds; the steward, which hears it often, tells them.
func TestStewardTellsWhoIsSilent(t *testing.T) {
	const others, dead = 67, 4
	steward, neighbour := newCrowd(others), newCrowd(others)
	steward.SetSteward(steward.IP)
	neighbour.SetSteward(otherIP(1))
	for _, cr := range []*crowd{steward, neighbour} {
		cr.clock.Advance(stewardSettle)
		cr.hearAll(others)
		cr.clock.Advance(700 * time.Millisecond)
		cr.hearAll(others, dead)
	}
	silent := steward.Unresponsive()
	if !slices.Equal(silent, []string{otherIP(dead)}) {
		t.Fatalf("silent: %v, want daemon %d alone", silent, dead)
	}
	alive := func() bool {
		return slices.ContainsFunc(neighbour.Alive(), func(pe Peer) bool { return pe.IP == otherIP(dead) })
	}
	if !alive() {
		t.Fatal("a neighbour takes the daemon as dead already, so the test shows nothing")
	}
	neighbour.hear(2, Heartbeat{Steward: true, Unresponsive: silent})
	if !alive() {
		t.Error("believed another daemon than the steward")
	}
	neighbour.hear(1, Heartbeat{Steward: true, Unresponsive: silent})
	if alive() {
		t.Error("the dead daemon still counts as alive")
	}
	neighbour.hear(1, Heartbeat{Steward: true})
	if !alive() {
		t.Error("the daemon does not count as alive although the steward hears it again")
	}
}

// The steward is lost and another daemon takes over. It has heard those of other
// data centres seconds ago, as they heard it. They hear of it at once, and it
// does not tell that they are silent.
func TestNewStewardIsHeardAtOnce(t *testing.T) {
	const others = 67
	cr := newCrowd(others)
	cr.SetSteward(otherIP(1))
	cr.count(others, time.Second)
	cr.clock.Advance(2 * time.Second)
	cr.SetSteward(cr.IP)
	if got := len(cr.due(ToEveryone)); got != others {
		t.Errorf("%d daemons hear of the new steward at once, want %d", got, others)
	}
	if silent := cr.Unresponsive(); len(silent) > 0 {
		t.Errorf("%d daemons are called silent that were not due to be heard", len(silent))
	}
}

// Who is told what of the load: one datagram for all that are told the same.
func TestDatagrams(t *testing.T) {
	own := map[string]dispatch.Load{"a": {Requests: 3}}
	en := beatEncoder{be: Heartbeat{IP: "10.0.0.1"}, wo: Work{Own: dispatch.Work{Loads: own},
		Except: func(ip string) dispatch.Work {
			return dispatch.Work{Loads: map[string]dispatch.Load{ip: {Requests: 1}}, Rates: map[string]float32{"linden": 2.5}}
		}}}
	tests := []struct {
		tell WorkOf
		want map[string]dispatch.Load
	}{
		{WorkOwn, own},
		{WorkNone, nil},
		{WorkRelayed, map[string]dispatch.Load{otherIP(1): {Requests: 1}}},
		{WorkOwn, own},
	}
	for _, tc := range tests {
		raw, err := en.datagram(to(1, tc.tell))
		if err != nil {
			t.Fatal(err)
		}
		be, err := decode(raw)
		if err != nil {
			t.Fatal(err)
		}
		if be.WorkOf != tc.tell || len(be.Work.Loads) != len(tc.want) {
			t.Errorf("told %v: %v, want %v", be.WorkOf, be.Work.Loads, tc.want)
		}
		for name, lo := range tc.want {
			if be.Work.Loads[name] != lo {
				t.Errorf("load of %s: %v, want %v", name, be.Work.Loads[name], lo)
			}
		}
	}
}

func BenchmarkAnyDue(b *testing.B) {
	cr := newCrowd(67)
	cr.SetSteward(otherIP(1))
	cr.due(ToEveryone)
	for b.Loop() {
		cr.AnyDue()
	}
}

// A daemon follows the store for the others of its data centre, which go by what it tells
// of that. With 39 of them the beats among them are a second apart; this one's must be
// closer, or the others begin to follow the store too.
func TestDeputyTellsNearDaemonsOften(t *testing.T) {
	const others, span = 160, 4 * time.Second
	for _, deputy := range []bool{false, true} {
		cr := newCrowd(others)
		cr.SetDeputy(deputy)
		least := others
		for re, num := range cr.count(others, span) {
			if near := re.to.Addr().String() == otherIP(0); near {
				least = min(least, num)
			}
		}
		if often := least >= int(span/nearInterval)-1; often != deputy {
			t.Errorf("deputy %v: %d beats to a daemon nearby in %v", deputy, least, span)
		}
	}
}

// Each server that ends makes news of all requests that it had. Where daemons are many, it
// goes to the steward alone: sent to all of them it would be most of what they tell.
func TestEndsAreToldToTheSteward(t *testing.T) {
	be := Heartbeat{Crashes: []quarantine.Crash{{Endpoint: "s1", AtMillis: 5, Requests: []quarantine.Fingerprint{{1, 2}, {3}}}},
		Completions: []quarantine.Completion{{Request: quarantine.Fingerprint{4}, AtMillis: 6}}, Quarantine: 7}
	for _, tell := range []WorkOf{WorkOwn, WorkNone, WorkRelayed} {
		en := beatEncoder{be: be, wo: Work{Except: func(string) dispatch.Work { return dispatch.Work{} }}}
		raw, err := en.datagram(to(0, tell))
		if err != nil {
			t.Fatal(err)
		}
		got, err := decode(raw)
		if err != nil {
			t.Fatal(err)
		}
		if tell == WorkOwn {
			if diff := cmp.Diff(be.Crashes, got.Crashes) + cmp.Diff(be.Completions, got.Completions); diff != "" {
				t.Errorf("told otherwise: %s", diff)
			}
		} else if len(got.Crashes)+len(got.Completions) != 0 {
			t.Errorf("told with %v", tell)
		}
		if got.Quarantine != be.Quarantine {
			t.Errorf("digest %d with %v", got.Quarantine, tell)
		}
	}
}

// Guards against words of endpoints that don't reach all daemons where they are many: each
// tells the steward, which tells all. Sent to everyone by everyone they would be most of what
// is told.
func TestBackpressureIsTold(t *testing.T) {
	be := Heartbeat{Backpressure: []backpressure.Notice{{Instance: catalog.Instance{ID: "s1", Incarnation: 5},
		Limit: backpressure.Limit{PerSecond: 1.5, Named: true}, LimitAge: time.Second}}}
	for tell, want := range map[WorkOf]bool{WorkOwn: true, WorkRelayed: true, WorkNone: false} {
		en := beatEncoder{be: be, wo: Work{Except: func(string) dispatch.Work { return dispatch.Work{} }}}
		raw, err := en.datagram(to(0, tell))
		if err != nil {
			t.Fatal(err)
		}
		got, err := decode(raw)
		if err != nil {
			t.Fatal(err)
		}
		if want {
			if diff := cmp.Diff(be.Backpressure, got.Backpressure); diff != "" {
				t.Errorf("with %v told otherwise: %s", tell, diff)
			}
		} else if len(got.Backpressure) != 0 {
			t.Errorf("told with %v", tell)
		}
	}
}
