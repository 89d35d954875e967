package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Kind is a kind of request.
type Kind string

// The kinds of requests that the clients send, by the prefix of their route.
const (
	Draft   Kind = "draft"
	Slot    Kind = "slot"
	Confirm Kind = "confirm"
)

// Outcome is what a client has seen of one request.
type Outcome struct {
	ID     string
	Kind   Kind
	Daemon int
	// Begun and Ended are when the request was sent and when its answer ended.
	Begun, Ended time.Time
	// Sent is set once the request may have been read.
	Sent   bool
	Status int
	Body   string
	// Cut is set if the answer, or the connection without one, broke off, and GaveUp
	// if the client itself did that because its patience was over.
	Cut, GaveUp bool
}

// span is a time for which something was so.
type span struct{ from, to time.Time }

func (sp span) overlaps(from, to time.Time) bool {
	return sp.from.Before(to) && (sp.to.IsZero() || sp.to.After(from))
}

// Checker collects what is seen from outside and which promises that breaks. Its
// methods are safe for use by several goroutines.
type Checker struct {
	// Want returns the whole body of a request's answer.
	Want func(kind Kind, id string) string

	mu         sync.Mutex
	outcomes   map[string]Outcome
	counts     map[string]int
	unplanned  []span
	stops      map[int][]span
	newest     map[string]int
	violations []string
}

// maxViolations bounds what is kept; the first ones tell the cause.
const maxViolations = 50

// Violate notes that a promise was broken.
func (ch *Checker) Violate(format string, args ...any) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.violate(format, args...)
}

func (ch *Checker) violate(format string, args ...any) {
	if len(ch.violations) < maxViolations {
		ch.violations = append(ch.violations, fmt.Sprintf(format, args...))
	}
}

// Violations returns all that were found.
func (ch *Checker) Violations() []string {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	return append([]string(nil), ch.violations...)
}

// Counts returns how many requests ended how.
func (ch *Checker) Counts() map[string]int {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	counts := make(map[string]int, len(ch.counts))
	for name, num := range ch.counts {
		counts[name] = num
	}
	return counts
}

// Fault notes an unplanned fault from now on; the function returned ends it.
func (ch *Checker) Fault() (end func()) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	at := len(ch.unplanned)
	ch.unplanned = append(ch.unplanned, span{from: time.Now()})
	return func() {
		ch.mu.Lock()
		defer ch.mu.Unlock()
		ch.unplanned[at].to = time.Now()
	}
}

// Stopping notes that a daemon is told to stop; the function returned ends that.
func (ch *Checker) Stopping(daemon int) (end func()) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	if ch.stops == nil {
		ch.stops = make(map[int][]span)
	}
	at := len(ch.stops[daemon])
	ch.stops[daemon] = append(ch.stops[daemon], span{from: time.Now()})
	return func() {
		ch.mu.Lock()
		defer ch.mu.Unlock()
		ch.stops[daemon][at].to = time.Now()
	}
}

// settleTime is how long after an unplanned fault its effects are excused.
const settleTime = 4 * time.Second

func (ch *Checker) calm(from, to time.Time) bool {
	for _, sp := range ch.unplanned {
		if sp.overlaps(from.Add(-settleTime), to) {
			return false
		}
	}
	return true
}

// Ended takes in what a client has seen.
func (ch *Checker) Ended(oc Outcome) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	if ch.outcomes == nil {
		ch.outcomes, ch.counts = make(map[string]Outcome), make(map[string]int)
	}
	ch.outcomes[oc.ID] = oc
	ch.counts[fmt.Sprintf("%s %d cut=%t", oc.Kind, oc.Status, oc.Cut)]++
	want := ch.Want(oc.Kind, oc.ID)
	switch {
	case oc.Status == 200 && !oc.Cut && oc.Body != want:
		ch.violate("answer of %s (%s) is not its own or not whole: %q", oc.ID, oc.Kind, oc.Body)
	case oc.Status == 200 && oc.Cut && !strings.HasPrefix(want, oc.Body):
		ch.violate("what came of the answer of %s (%s) is not its own: %q", oc.ID, oc.Kind, oc.Body)
	}
	if !oc.Cut || oc.GaveUp || !oc.Sent || !ch.calm(oc.Begun, oc.Ended) {
		return
	}
	for _, sp := range ch.stops[oc.Daemon] {
		if sp.overlaps(oc.Begun, oc.Ended) {
			ch.violate("a planned stop of daemon %d cut %s (%s) off", oc.Daemon, oc.ID, oc.Kind)
			return
		}
	}
}

// Limited notes what a server got in its busiest span since it named a limit of one request a
// second. A daemon that was killed, stood still or was cut off meanwhile is excused.
func (ch *Checker) Limited(server string, requests int, since time.Time) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	if requests > mostLimited && ch.calm(since, time.Now()) {
		ch.violate("%s named a limit of one request a second and got %d in %v, %d allowed", server, requests, needWindow, mostLimited)
	}
}

// Served notes that a process was seen to serve, or not to know, a route that came
// with a version of the configuration.
func (ch *Checker) Served(process string, version int, known bool) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	if ch.newest == nil {
		ch.newest = make(map[string]int)
	}
	if known {
		ch.newest[process] = max(ch.newest[process], version)
		return
	}
	if ch.newest[process] >= version {
		ch.violate("process %s knew version %d of the configuration and lost %d", process, ch.newest[process], version)
	}
}

// notRunStatuses promise that a request has not run and never will.
var notRunStatuses = map[int]bool{408: true, 421: true, 429: true, 503: true}

// Finish checks the outcomes against how often each request ran.
func (ch *Checker) Finish(runs map[string]int) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	for id, oc := range ch.outcomes {
		if oc.Kind != Confirm {
			continue
		}
		if runs[id] > 1 {
			ch.violate("%s must not repeat and ran %d times", id, runs[id])
		}
		if notRunStatuses[oc.Status] && runs[id] > 0 {
			ch.violate("%s was refused with %d as not run, and ran", id, oc.Status)
		}
		if oc.Status == 200 && runs[id] == 0 {
			ch.violate("%s was answered and never ran", id)
		}
	}
}
