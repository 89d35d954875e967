package evacuation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

var dataCenters = []string{"hall-a", "hall-b", "hall-c"}

// fleet simulates daemons that learn of evacuations from the store or from each other.
type fleet struct {
	// orders holds what the operators ordered, by revision of the store; the last one is in
	// force.
	orders  []Order
	daemons []*daemon
	// messages are heartbeats that have not arrived.
	messages []message
	// cut separates the daemons into parts that exchange nothing.
	cut bool
}

type daemon struct {
	tr *Tracker
	// follows is set for a daemon that reads the store, read is the revision it has read.
	follows bool
	read    int
	part    int
}

type message struct {
	to    int
	order Order
}

func (fl *fleet) current() Order { return fl.orders[len(fl.orders)-1] }

// change writes or removes the evacuation of a data centre.
func (fl *fleet) change(dataCenter string) {
	last := fl.current()
	fl.orders = append(fl.orders, last.With(dataCenter, !last.Has(dataCenter), catalog.Position{Revision: last.Revision + 1}))
}

// follow lets a daemon read up to the given number of changes from the store.
func (fl *fleet) follow(da *daemon, changes int) {
	for ; changes > 0 && da.read < len(fl.orders)-1; changes-- {
		da.read++
		da.tr.Apply(fl.orders[da.read], time.Time{})
	}
}

// restart replaces a daemon's process by one that knows nothing. A daemon that follows the
// store begins with a full read.
func (fl *fleet) restart(da *daemon) {
	da.tr = &Tracker{}
	if da.follows {
		da.read = len(fl.orders) - 1
		da.tr.Apply(fl.current(), time.Time{})
	}
}

// send sends a daemon's heartbeat to all others of its part.
func (fl *fleet) send(from *daemon) {
	for to, da := range fl.daemons {
		if da != from && (!fl.cut || da.part == from.part) {
			fl.messages = append(fl.messages, message{to, from.tr.Order()})
		}
	}
}

// check fails unless each daemon holds what the operators had ordered at its revision.
func (fl *fleet) check(t *rapid.T) {
	for num, da := range fl.daemons {
		or := da.tr.Order()
		if diff := cmp.Diff(fl.orders[or.Revision], or); diff != "" {
			t.Fatalf("daemon %d at revision %d (-ordered +held):\n%s", num, or.Revision, diff)
		}
	}
}

// Guards against a daemon that routes requests to an evacuated data centre because it lost, delayed
// or reordered messages, restarted or was partitioned: no daemon holds a set that was never
// ordered, and one heartbeat of a daemon that follows the store brings it up to date.
func TestHoldEvacuation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fl := &fleet{orders: []Order{{}}}
		for num := range rapid.IntRange(2, 64).Draw(t, "daemons") {
			fl.daemons = append(fl.daemons, &daemon{tr: &Tracker{}, follows: num == 0 || rapid.IntRange(0, 9).Draw(t, "follows") == 0, part: num % 3})
		}
		anyDaemon := func() *daemon { return fl.daemons[rapid.IntRange(0, len(fl.daemons)-1).Draw(t, "daemon")] }
		t.Repeat(map[string]func(*rapid.T){
			"change":  func(t *rapid.T) { fl.change(rapid.SampledFrom(dataCenters).Draw(t, "data centre")) },
			"cut":     func(*rapid.T) { fl.cut = !fl.cut },
			"send":    func(*rapid.T) { fl.send(anyDaemon()) },
			"restart": func(*rapid.T) { fl.restart(anyDaemon()) },
			"follow": func(t *rapid.T) {
				if da := anyDaemon(); da.follows {
					fl.follow(da, rapid.IntRange(1, 5).Draw(t, "changes"))
				}
			},
			"deliver or lose": func(t *rapid.T) {
				for range min(len(fl.messages), rapid.IntRange(1, 100).Draw(t, "messages")) {
					at := rapid.IntRange(0, len(fl.messages)-1).Draw(t, "message")
					me := fl.messages[at]
					fl.messages = slices.Delete(fl.messages, at, at+1)
					if rapid.Bool().Draw(t, "arrives") {
						fl.daemons[me.to].tr.Apply(me.order, time.Time{})
					}
				}
			},
			"": func(t *rapid.T) { fl.check(t) },
		})
		fl.cut, fl.messages = false, nil
		fl.follow(fl.daemons[0], len(fl.orders))
		fl.send(fl.daemons[0])
		for _, me := range fl.messages {
			fl.daemons[me.to].tr.Apply(me.order, time.Time{})
		}
		for num, da := range fl.daemons {
			if diff := cmp.Diff(fl.current(), da.tr.Order()); diff != "" {
				t.Fatalf("daemon %d after the faults (-ordered +held):\n%s", num, diff)
			}
		}
	})
}

// Guards against an evacuation that is taken back for another data centre, begins twice, or
// counts as ended although it was ordered again.
func TestApply(t *testing.T) {
	at := time.Unix(100, 0)
	steps := []struct {
		order        Order
		begun, ended []string
	}{
		{Order{Revision: 3}, nil, nil},
		{Order{Revision: 5, DataCenters: []string{"hall-a"}}, []string{"hall-a"}, nil},
		{Order{Revision: 5, DataCenters: []string{"hall-b"}}, nil, nil},
		{Order{Revision: 4}, nil, nil},
		{Order{Revision: 6, DataCenters: []string{"hall-a", "hall-b"}}, []string{"hall-b"}, nil},
		{Order{Revision: 7, DataCenters: []string{"hall-b"}}, nil, []string{"hall-a"}},
		{Order{Revision: 8, DataCenters: []string{"hall-a", "hall-b"}}, []string{"hall-a"}, nil},
		{Order{Revision: 9}, nil, []string{"hall-a", "hall-b"}},
	}
	tr := &Tracker{}
	for _, st := range steps {
		begun, ended := tr.Apply(st.order, at)
		if diff := cmp.Diff([][]string{st.begun, st.ended}, [][]string{begun, ended}); diff != "" {
			t.Errorf("order %v: begun and ended (-want +got):\n%s", st.order, diff)
		}
	}
	if end, ok := tr.EndedAt("hall-a"); !ok || !end.Equal(at) {
		t.Errorf("the evacuation of hall-a ended at %v, %v, want %v", end, ok, at)
	}
	tr.Apply(Order{Revision: 10, DataCenters: []string{"hall-a"}}, at)
	if _, ok := tr.EndedAt("hall-a"); ok {
		t.Error("an evacuation that was ordered again counts as ended")
	}
	// A later repetition of the order must not move its begin.
	tr.Apply(Order{Revision: 11, DataCenters: []string{"hall-a"}}, at.Add(time.Minute))
	if diff := cmp.Diff([]Evacuation{{"hall-a", at}}, tr.InForce()); diff != "" {
		t.Errorf("evacuations in force (-want +got):\n%s", diff)
	}
}

func TestWith(t *testing.T) {
	tests := []struct {
		have       []string
		dataCenter string
		evacuated  bool
		want       []string
	}{
		{nil, "b", true, []string{"b"}},
		{[]string{"b"}, "a", true, []string{"a", "b"}},
		{[]string{"a", "b"}, "a", true, []string{"a", "b"}},
		{[]string{"a", "b"}, "a", false, []string{"b"}},
		{[]string{"b"}, "a", false, []string{"b"}},
		{[]string{"b"}, "b", false, nil},
	}
	for _, tc := range tests {
		t.Run(fmt.Sprint(tc.have, tc.dataCenter, tc.evacuated), func(t *testing.T) {
			got := Order{Revision: 1, DataCenters: tc.have}.With(tc.dataCenter, tc.evacuated, catalog.Position{Revision: 2})
			if diff := cmp.Diff(Order{Revision: 2, DataCenters: tc.want}, got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}
