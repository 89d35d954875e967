package backpressure

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// coldEndpoint is a cold endpoint as the deployments describe them.
var coldEndpoint = Cold{Instance: catalog.Instance{ID: "head-1", Incarnation: 7}, PerSecond: 17, Peak: 30.5}

// coldFleet simulates daemons that all have more requests for a cold endpoint than it tolerates.
type coldFleet struct {
	trackers []*Tracker
	known    []string
	at       time.Duration
	arrivals []time.Duration
}

func newColdFleet(daemons int) *coldFleet {
	cf := &coldFleet{}
	for num := range daemons {
		cf.known = append(cf.known, fmt.Sprintf("10.0.%d.%d", num/250, num%250))
		cf.trackers = append(cf.trackers, &Tracker{})
	}
	for num := range daemons {
		cf.start(num, true)
	}
	return cf
}

func (cf *coldFleet) now() time.Time { return time.Unix(1000, 0).Add(cf.at) }

// start replaces a daemon by a new process. complete is set if it knows all daemons.
func (cf *coldFleet) start(num int, complete bool) {
	cf.trackers[num] = &Tracker{}
	cf.join(num, cf.known, complete)
	cf.trackers[num].SetCold([]Cold{coldEndpoint}, cf.now())
}

// join sets a daemon's membership. accepting lists the daemons that it receives heartbeats from.
func (cf *coldFleet) join(num int, accepting []string, complete bool) {
	known := cf.known
	if !complete {
		known = cf.known[num : num+1]
	}
	cf.trackers[num].SetDaemons(Daemons{Own: cf.known[num], Accepting: accepting, Known: known, Complete: complete}, cf.now())
}

// cut partitions the network: each daemon receives heartbeats from its own part only.
func (cf *coldFleet) cut(parts int) {
	members := make([][]string, parts)
	for num, ip := range cf.known {
		members[num%parts] = append(members[num%parts], ip)
	}
	for num := range cf.trackers {
		cf.join(num, members[num%parts], true)
	}
}

// run lets every daemon send as much as it may for span.
func (cf *coldFleet) run(span time.Duration) {
	for end := cf.at + span; cf.at < end; cf.at += tick {
		for _, tr := range cf.trackers {
			for tr.Accepts(coldEndpoint.Instance, cf.now()) {
				tr.RecordSent(coldEndpoint.Instance, cf.now())
				cf.arrivals = append(cf.arrivals, cf.at)
			}
		}
	}
}

// peak returns the largest number of arrivals within any second.
func (cf *coldFleet) peak() int {
	most, first := 0, 0
	for num, at := range cf.arrivals {
		for at-cf.arrivals[first] >= time.Second {
			first++
		}
		most = max(most, num-first+1)
	}
	return most
}

// Guards against daemons that together send a cold endpoint more than it tolerates, or that leave
// it unused, at the sizes of the deployments.
func TestColdAtAnySize(t *testing.T) {
	const span = 10 * time.Second
	for _, daemons := range []int{1, 9, 65, 370, 985} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			cf := newColdFleet(daemons)
			cf.run(span)
			if got := cf.peak(); float64(got) > coldEndpoint.Peak {
				t.Errorf("%d requests within a second, want at most %v", got, coldEndpoint.Peak)
			}
			if got, want := float64(len(cf.arrivals)), 0.9*coldEndpoint.PerSecond*span.Seconds(); got < want {
				t.Errorf("%v requests in %s, want at least %v", got, span, want)
			}
		})
	}
}

// Guards against senders that each part of a network partition chooses for itself, and against
// daemons that start anew and take themselves for the only ones: the endpoint counts the requests
// of all of them.
func TestHoldColdInAnyParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cf := newColdFleet(rapid.IntRange(2, 64).Draw(t, "daemons"))
		t.Repeat(map[string]func(*rapid.T){
			"cut":  func(t *rapid.T) { cf.cut(rapid.IntRange(1, len(cf.known)).Draw(t, "parts")) },
			"heal": func(*rapid.T) { cf.cut(1) },
			"idle": func(t *rapid.T) { cf.at += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond },
			"run": func(t *rapid.T) {
				cf.run(time.Duration(rapid.IntRange(1, 20).Draw(t, "ticks")) * tick)
			},
			"restart": func(t *rapid.T) {
				num := rapid.IntRange(0, len(cf.trackers)-1).Draw(t, "daemon")
				cf.start(num, rapid.Bool().Draw(t, "complete"))
			},
			"restart all": func(t *rapid.T) {
				for num := range cf.trackers {
					cf.start(num, false)
				}
			},
			"learn": func(*rapid.T) { cf.cut(1) },
			"": func(t *rapid.T) {
				if got := cf.peak(); float64(got) > coldEndpoint.Peak {
					t.Fatalf("%d requests within a second, want at most %v", got, coldEndpoint.Peak)
				}
			},
		})
	})
}

// Guards against limits whose slack or rate leaves no room for several senders.
func TestColdLimits(t *testing.T) {
	tests := []struct{ perSecond, peak float64 }{{17, 30.5}, {17, 17}, {1, 6.5}, {0.5, 1}, {200, 305}, {3, 2}}
	for _, tc := range tests {
		cl := Cold{PerSecond: tc.perSecond, Peak: tc.peak}
		for _, daemons := range []int{1, 9, 65, 985} {
			senders := cl.senders(daemons)
			most := float64(senders)*burst + cl.rate(daemons)*float64(senders)
			if most > max(tc.peak, burst+minPerSecond) || senders > daemons {
				t.Errorf("%v a second, peak %v, %d daemons: up to %v requests within a second by %d senders", tc.perSecond, tc.peak, daemons, most, senders)
			}
		}
	}
}

// Guards against a cold endpoint that stays limited after it is warm, or whose daemons begin with
// a full share each time the list of cold endpoints is renewed.
func TestSetCold(t *testing.T) {
	now := time.Unix(1000, 0)
	tr := &Tracker{}
	if !tr.Accepts(coldEndpoint.Instance, now) {
		t.Error("an unknown endpoint does not accept")
	}
	tr.SetCold([]Cold{coldEndpoint}, now)
	if tr.Accepts(coldEndpoint.Instance, now) || !tr.Restricted(coldEndpoint.Instance, now) {
		t.Error("an endpoint that just became cold accepts at once, or is not restricted")
	}
	now = now.Add(time.Second)
	tr.RecordSent(coldEndpoint.Instance, now)
	tr.SetCold([]Cold{coldEndpoint}, now)
	if tr.Accepts(coldEndpoint.Instance, now) {
		t.Error("renewing the list refilled the share")
	}
	if wait, known := tr.WaitTime(coldEndpoint.Instance, now); !known || wait <= 0 || wait > time.Second {
		t.Errorf("wait %v, %v, want a fraction of a second", wait, known)
	}
	tr.SetCold(nil, now)
	if !tr.Accepts(coldEndpoint.Instance, now) {
		t.Error("a warm endpoint does not accept")
	}
}
