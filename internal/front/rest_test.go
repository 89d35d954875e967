package front

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/platform"
	"corianderhub.dev/corianderhub/platform/emulator"
)

const (
	// restLearnt is how long after a refusal requests may still arrive that were on their way.
	restLearnt = 500 * time.Millisecond
	// restSlack is how many may reach the endpoint after that until the rest is over.
	restSlack = 2
)

// duringRest counts the requests that reached a server within its first rest, but for those on
// their way when it began.
func duringRest(sv *emulator.Server, rest time.Duration) int {
	num := 0
	arrivals := sv.Arrivals()
	for _, ar := range arrivals {
		if since := ar.At.Sub(arrivals[0].At); since > restLearnt && since < rest {
			num++
		}
	}
	return num
}

// Guards against an endpoint that is sent request after request although it has asked this
// daemon for rest: each is refused, and the retry budget runs out.
func TestRestIsKept(t *testing.T) {
	const requests, rest = 40, 30 * time.Second
	for _, path := range []string{"/draft/x", "/confirm/x", "/slot/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			ri := newRig(t)
			for range 2 {
				ri.desk(nil)
				ri.head(nil)
			}
			shedding := []*emulator.Server{ri.desks[0], ri.heads[0]}
			for _, sv := range shedding {
				sv.SetBackpressure(emulator.Backpressure{Sheds: true, RetryAfter: strconv.Itoa(int(rest.Seconds()))})
			}
			for num := range requests {
				if re := ri.ask(path, fmt.Sprint("id-", num), streaming); re.status != http.StatusOK {
					t.Errorf("request %d: status %d, though another endpoint takes it", num, re.status)
				}
				time.Sleep(restLearnt * 3 / requests)
			}
			for _, sv := range shedding {
				if num := duringRest(sv, rest); num > restSlack {
					t.Errorf("%s got %d requests in its rest", sv.ID, num)
				}
			}
		})
	}
}

// Guards against callers who wait, or come again in vain, while all endpoints rest: they are
// refused at once and told when the first rest ends, and are served then.
func TestAllEndpointsRest(t *testing.T) {
	for _, path := range []string{"/draft/x", "/confirm/x", "/slot/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			ri := newRig(t)
			for num := range 2 {
				rest := strconv.Itoa(2 + 30*num)
				ri.desk(nil).SetBackpressure(emulator.Backpressure{Sheds: true, RetryAfter: rest})
				ri.head(nil).SetBackpressure(emulator.Backpressure{Sheds: true, RetryAfter: rest})
			}
			re := ri.ask(path, "first", streaming)
			if again, _ := strconv.ParseFloat(re.header.Get(platform.HeaderRetryAfter), 64); again < 1 {
				t.Errorf("who found out is told to come again after %.1f s", again)
			}
			num := len(ri.desks[0].Arrivals()) + len(ri.heads[0].Arrivals())
			re = ri.ask(path, "next", streaming)
			if got := len(ri.desks[0].Arrivals()) + len(ri.heads[0].Arrivals()); got != num {
				t.Errorf("%d requests reached an endpoint that rests", got-num)
			}
			again, err := strconv.ParseFloat(re.header.Get(platform.HeaderRetryAfter), 64)
			if re.status != http.StatusServiceUnavailable || err != nil || again < 1 || again > 2*(1+againSpread) {
				t.Fatalf("status %d, to come again %q", re.status, re.header.Get(platform.HeaderRetryAfter))
			}
			for _, sv := range append(ri.desks, ri.heads...) {
				sv.SetBackpressure(emulator.Backpressure{})
			}
			time.Sleep(time.Duration(again * float64(time.Second)))
			if re := ri.ask(path, "returned", streaming); re.status != http.StatusOK {
				t.Errorf("status %d when it was told to come again", re.status)
			}
		})
	}
}

// triesWithin is how many requests an endpoint may get in a time that refuses all: two, and one
// after each pause from 50 ms on that doubles up to 1.6 s.
func triesWithin(span time.Duration) int {
	tries := 2
	for pause := 50 * time.Millisecond; span >= pause; pause = min(2*pause, 1600*time.Millisecond) {
		span -= pause
		tries++
	}
	return tries
}

// Guards against an endpoint that turns away all it gets without asking for rest: it runs nothing,
// so that it looks empty and would get most requests, and the retry budget runs out.
func TestRefusingEndpointIsLeftOut(t *testing.T) {
	const requests, span = 60, 1500 * time.Millisecond
	for _, path := range []string{"/draft/x", "/confirm/x", "/slot/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			ri := newRig(t)
			for _, fault := range []emulator.Fault{emulator.Refuses, emulator.None} {
				ri.desk(always(fault))
				ri.head(always(fault))
			}
			begin := time.Now()
			for num := range requests {
				if re := ri.ask(path, fmt.Sprint("id-", num), streaming); re.status != http.StatusOK {
					t.Errorf("request %d: status %d, though another endpoint takes it", num, re.status)
				}
				time.Sleep(span / requests)
			}
			most := triesWithin(time.Since(begin))
			for _, sv := range []*emulator.Server{ri.desks[0], ri.heads[0]} {
				if num := len(sv.Arrivals()); num > most {
					t.Errorf("%s got %d requests, want %d at most", sv.ID, num, most)
				}
			}
			ri.desks[0].SetFault(nil)
			ri.heads[0].SetFault(nil)
			before := len(ri.desks[0].Runs()) + len(ri.heads[0].Runs())
			for end := time.Now().Add(longTimeout); len(ri.desks[0].Runs())+len(ri.heads[0].Runs()) == before; time.Sleep(20 * time.Millisecond) {
				ri.ask(path, "later", streaming)
				if time.Now().After(end) {
					t.Fatal("it is left out although it takes requests again")
				}
			}
		})
	}
}
