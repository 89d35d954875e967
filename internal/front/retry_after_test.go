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
	// inFlightGrace is how long after the first arrival requests may still arrive that were
	// already in flight.
	inFlightGrace = 500 * time.Millisecond
	// backOffSlack is the number of requests that may arrive later during the back-off.
	backOffSlack = 2
)

// numDuringBackOff returns the number of requests that a server received during its first
// back-off, except those in flight when it began.
func numDuringBackOff(sv *emulator.Server, backOff time.Duration) int {
	num := 0
	arrivals := sv.Arrivals()
	for _, ar := range arrivals {
		if since := ar.At.Sub(arrivals[0].At); since > inFlightGrace && since < backOff {
			num++
		}
	}
	return num
}

// Guards against sending requests to an endpoint during its back-off. Each would be refused, and
// the retries would spend the retry budget.
func TestRetryAfterIsHonored(t *testing.T) {
	const requests, backOff = 40, 30 * time.Second
	for _, path := range []string{"/draft/x", "/confirm/x", "/slot/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			ri := newRig(t)
			for range 2 {
				ri.addPlain(nil)
				ri.addGroup(nil)
			}
			shedding := []*emulator.Server{ri.plainServers[0], ri.groupServers[0]}
			for _, sv := range shedding {
				sv.SetBackpressure(emulator.Backpressure{Sheds: true, RetryAfter: strconv.Itoa(int(backOff.Seconds()))})
			}
			for num := range requests {
				if re := ri.send(path, fmt.Sprint("id-", num), setTokenCounts); re.status != http.StatusOK {
					t.Errorf("request %d: status %d, want 200 from the other endpoint", num, re.status)
				}
				time.Sleep(inFlightGrace * 3 / requests)
			}
			for _, sv := range shedding {
				if num := numDuringBackOff(sv, backOff); num > backOffSlack {
					t.Errorf("%s received %d requests during its back-off, want at most backOffSlack", sv.ID, num)
				}
			}
		})
	}
}

// Guards against callers that wait or retry in vain while all endpoints back off. They must be
// refused at once, with the time when the first back-off ends, and be served after it.
func TestAllEndpointsBackOff(t *testing.T) {
	for _, path := range []string{"/draft/x", "/confirm/x", "/slot/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			ri := newRig(t)
			for num := range 2 {
				backOff := strconv.Itoa(2 + 30*num)
				ri.addPlain(nil).SetBackpressure(emulator.Backpressure{Sheds: true, RetryAfter: backOff})
				ri.addGroup(nil).SetBackpressure(emulator.Backpressure{Sheds: true, RetryAfter: backOff})
			}
			re := ri.send(path, "first", setTokenCounts)
			if retryAfter, _ := strconv.ParseFloat(re.header.Get(platform.HeaderRetryAfter), 64); retryAfter < 1 {
				t.Errorf("first refused caller: Retry-After %.1f s, want at least 1", retryAfter)
			}
			num := len(ri.plainServers[0].Arrivals()) + len(ri.groupServers[0].Arrivals())
			re = ri.send(path, "next", setTokenCounts)
			if got := len(ri.plainServers[0].Arrivals()) + len(ri.groupServers[0].Arrivals()); got != num {
				t.Errorf("%d requests reached an endpoint during its back-off, want 0", got-num)
			}
			retryAfter, err := strconv.ParseFloat(re.header.Get(platform.HeaderRetryAfter), 64)
			if re.status != http.StatusServiceUnavailable || err != nil || retryAfter < 1 || retryAfter > 2*(1+retryAfterJitter) {
				t.Fatalf("status %d with Retry-After %q, want 503 with the end of the first back-off", re.status, re.header.Get(platform.HeaderRetryAfter))
			}
			for _, sv := range append(ri.plainServers, ri.groupServers...) {
				sv.SetBackpressure(emulator.Backpressure{})
			}
			time.Sleep(time.Duration(retryAfter * float64(time.Second)))
			if re := ri.send(path, "returned", setTokenCounts); re.status != http.StatusOK {
				t.Errorf("status %d for a retry after the Retry-After time, want 200", re.status)
			}
		})
	}
}

// maxAttemptsWithin returns how many requests an endpoint that refuses all may receive in a time
// span: two, and one after each pause. The pauses start at 50 ms and double up to 1.6 s.
func maxAttemptsWithin(span time.Duration) int {
	tries := 2
	for pause := 50 * time.Millisecond; span >= pause; pause = min(2*pause, 1600*time.Millisecond) {
		span -= pause
		tries++
	}
	return tries
}

// Guards against preferring an endpoint that refuses every request without a back-off time. It
// runs nothing and so looks idle: it would receive most requests, and the retry budget would be
// spent.
func TestRefusingEndpointIsAvoided(t *testing.T) {
	const requests, span = 60, 1500 * time.Millisecond
	for _, path := range []string{"/draft/x", "/confirm/x", "/slot/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			ri := newRig(t)
			for _, fault := range []emulator.Fault{emulator.Refuses, emulator.None} {
				ri.addPlain(always(fault))
				ri.addGroup(always(fault))
			}
			begin := time.Now()
			for num := range requests {
				if re := ri.send(path, fmt.Sprint("id-", num), setTokenCounts); re.status != http.StatusOK {
					t.Errorf("request %d: status %d, want 200 from the other endpoint", num, re.status)
				}
				time.Sleep(span / requests)
			}
			most := maxAttemptsWithin(time.Since(begin))
			for _, sv := range []*emulator.Server{ri.plainServers[0], ri.groupServers[0]} {
				if num := len(sv.Arrivals()); num > most {
					t.Errorf("%s received %d requests, want at most %d", sv.ID, num, most)
				}
			}
			ri.plainServers[0].SetFault(nil)
			ri.groupServers[0].SetFault(nil)
			before := len(ri.plainServers[0].Runs()) + len(ri.groupServers[0].Runs())
			for end := time.Now().Add(longTimeout); len(ri.plainServers[0].Runs())+len(ri.groupServers[0].Runs()) == before; time.Sleep(20 * time.Millisecond) {
				ri.send(path, "later", setTokenCounts)
				if time.Now().After(end) {
					t.Fatal("the endpoints receive no requests although they accept them again")
				}
			}
		})
	}
}
