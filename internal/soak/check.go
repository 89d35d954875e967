package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Kind is a kind of request.
type Kind string

// The kinds of requests that clients send, named after the prefix of their route.
const (
	// Draft is a resumable stream from a model server.
	Draft Kind = "draft"
	// Slot is a repeatable request to a plain server.
	Slot Kind = "slot"
	// Once is a stream from a model server that is neither resumable nor repeatable.
	Once Kind = "once"
	// Confirm is a request to a plain server that is not repeatable.
	Confirm Kind = "confirm"
)

// Outcome is the result of one request as its client observed it.
type Outcome struct {
	ID     string
	Kind   Kind
	Daemon int
	// Start is the time right before the request was sent. End is when the response
	// ended or failed.
	Start, End time.Time
	// Sent is set once the request has been written, so that the daemon may have
	// read it.
	Sent bool
	// SentAt is when the request had been written.
	SentAt time.Time
	Status int
	Body   string
	// Disconnected is set if the connection broke before the end of the response.
	// TimedOut is set if the client caused that itself, after clientTimeout.
	Disconnected, TimedOut bool
}

// span is a period of time. A zero end means that it has not ended. name is the fault's, if any.
type span struct {
	from, to time.Time
	name     string
}

func (sp span) overlaps(from, to time.Time) bool {
	return sp.from.Before(to) && (sp.to.IsZero() || sp.to.After(from))
}

// Checker records what clients and servers observe, and collects the violations of
// guarantees that it finds. Its methods are safe for concurrent use.
type Checker struct {
	// Want returns the complete body of the response to a request. It must be set.
	Want func(kind Kind, id string) string
	// PassedOn reports whether a request has reached a server. If it is set, connections may be closed while
	// a request that is not passed on crosses the close.
	PassedOn func(id string) bool

	mu              sync.Mutex
	outcomes        map[string]Outcome
	counts          map[string]int
	unplannedFaults []span
	stops           map[int][]span
	// timeouts are the timeouts of the routes, by kind, in the order of their configurations.
	timeouts map[Kind][]routeTimeout
	// newestVersion is the newest configuration version served, by process.
	newestVersion map[string]int
	violations    []string
}

// maxViolations limits the violations kept. The first ones show the cause.
const maxViolations = 50

// ReportViolation records that a guarantee was violated.
func (ch *Checker) ReportViolation(format string, args ...any) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.reportViolation(format, args...)
}

// reportViolation is ReportViolation for callers that hold mu.
func (ch *Checker) reportViolation(format string, args ...any) {
	if len(ch.violations) < maxViolations {
		ch.violations = append(ch.violations, fmt.Sprintf(format, args...))
	}
}

// Violations returns the first maxViolations violations.
func (ch *Checker) Violations() []string {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	return append([]string(nil), ch.violations...)
}

// Counts returns the number of requests by kind, status, and whether they disconnected or timed out.
func (ch *Checker) Counts() map[string]int {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	counts := make(map[string]int, len(ch.counts))
	for name, num := range ch.counts {
		counts[name] = num
	}
	return counts
}

// BeginFault records the start of an unplanned fault. The returned function records
// its end.
func (ch *Checker) BeginFault(name string) (end func()) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	at := len(ch.unplannedFaults)
	ch.unplannedFaults = append(ch.unplannedFaults, span{from: time.Now(), name: name})
	return func() {
		ch.mu.Lock()
		defer ch.mu.Unlock()
		ch.unplannedFaults[at].to = time.Now()
	}
}

// BeginStop records the start of a planned stop of a daemon. The returned function
// records its end.
func (ch *Checker) BeginStop(daemon int) (end func()) {
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

// settleTime is how long after the end of an unplanned fault its effects are excused.
const settleTime = 4 * time.Second

// faultFree reports whether no unplanned fault could have had an effect in a period, apart
// from those of the given names. Callers hold mu.
func (ch *Checker) faultFree(from, to time.Time, except ...string) bool {
	for _, sp := range ch.unplannedFaults {
		if !slices.Contains(except, sp.name) && sp.overlaps(from.Add(-settleTime), to) {
			return false
		}
	}
	return true
}

// RecordOutcome records the outcome of a request. It reports a violation if the body
// is not that of the request, or if it was disconnected although no unplanned fault acted.
func (ch *Checker) RecordOutcome(oc Outcome) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	if ch.outcomes == nil {
		ch.outcomes, ch.counts = make(map[string]Outcome), make(map[string]int)
	}
	ch.outcomes[oc.ID] = oc
	ch.counts[fmt.Sprintf("%s %d cut=%t timeout=%t", oc.Kind, oc.Status, oc.Disconnected, oc.TimedOut)]++
	want := ch.Want(oc.Kind, oc.ID)
	switch {
	case oc.Status == 200 && !oc.Disconnected && oc.Body != want:
		ch.reportViolation("%s (%s): response with status 200 is mismatched or incomplete: %q", oc.ID, oc.Kind, oc.Body)
	case oc.Status == 200 && oc.Disconnected && !strings.HasPrefix(want, oc.Body):
		ch.reportViolation("%s (%s): partial response is mismatched: %q", oc.ID, oc.Kind, oc.Body)
	}
	if !oc.Disconnected || oc.TimedOut || !oc.Sent || !ch.faultFree(oc.Start, oc.End) || ch.crossesClose(oc) || ch.timeoutReached(oc) {
		return
	}
	for _, sp := range ch.stops[oc.Daemon] {
		if sp.overlaps(oc.Start, oc.End) {
			ch.reportViolation("planned stop of daemon %d disconnected %s (%s)", oc.Daemon, oc.ID, oc.Kind)
			return
		}
	}
	ch.reportViolation("daemon %d disconnected %s (%s) at %s after %v, with status %d and %d of %d bytes, although no unplanned fault acted", oc.Daemon, oc.ID, oc.Kind,
		oc.End.Format(time.StampMilli), oc.End.Sub(oc.Start).Round(time.Millisecond), oc.Status, len(oc.Body), len(want))
}

// lossSlack is how long after a request its connection may be closed because the two have crossed.
const lossSlack = 100 * time.Millisecond

// crossesClose reports whether a request has crossed the close of its connection.
func (ch *Checker) crossesClose(oc Outcome) bool {
	return ch.PassedOn != nil && !ch.PassedOn(oc.ID) && oc.End.Sub(oc.SentAt) <= lossSlack
}

// routeTimeout is the timeout of a route in the configurations from a time on.
type routeTimeout struct {
	from    time.Time
	timeout time.Duration
}

// configApplyTime is how long an older configuration may be in force.
const configApplyTime = 3 * time.Second

// SetTimeout records that the next configuration gives the route of a kind another timeout.
func (ch *Checker) SetTimeout(kind Kind, timeout time.Duration) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	if ch.timeouts == nil {
		ch.timeouts = make(map[Kind][]routeTimeout)
	}
	ch.timeouts[kind] = append(ch.timeouts[kind], routeTimeout{time.Now(), timeout})
}

// timeoutReached reports whether a request has lasted for the timeout of its route in a configuration
// that may have been in force.
func (ch *Checker) timeoutReached(oc Outcome) bool {
	all := ch.timeouts[oc.Kind]
	for i, rt := range all {
		replaced := i+1 < len(all) && all[i+1].from.Add(configApplyTime).Before(oc.Start)
		if !replaced && rt.from.Before(oc.End) && oc.End.Sub(oc.Start) >= rt.timeout {
			return true
		}
	}
	return false
}

// CheckLimit checks the number of requests that a server received in its busiest
// limitWindow after it announced a limit of one request per second. A count above
// maxLimitedRequests is excused if an unplanned fault, such as a killed or paused
// daemon, had an effect since then.
func (ch *Checker) CheckLimit(server string, requests int, since time.Time) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	if requests > maxLimitedRequests && ch.faultFree(since, time.Now()) {
		ch.reportViolation("server %s announced a limit of one request per second and received %d in %v, want at most %d", server, requests, limitWindow, maxLimitedRequests)
	}
}

// RecordVersion records whether a process served the route that a version of the
// configuration adds. It reports a violation if the process served that version or a
// newer one before and does not serve it now.
func (ch *Checker) RecordVersion(process string, version int, known bool) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	if ch.newestVersion == nil {
		ch.newestVersion = make(map[string]int)
	}
	if known {
		ch.newestVersion[process] = max(ch.newestVersion[process], version)
		return
	}
	if ch.newestVersion[process] >= version {
		ch.reportViolation("%s served configuration version %d and later did not serve version %d", process, ch.newestVersion[process], version)
	}
}

// notRunStatuses are the statuses that guarantee that a request has not run and
// will not run.
var notRunStatuses = map[int]bool{408: true, 421: true, 429: true, 503: true}

// Finish checks the outcomes of requests that are not repeatable against how many
// times each request ID ran.
func (ch *Checker) Finish(runs map[string]int) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	for id, oc := range ch.outcomes {
		if oc.Kind != Confirm && oc.Kind != Once {
			continue
		}
		if runs[id] > 1 {
			ch.reportViolation("%s is not repeatable and ran %d times", id, runs[id])
		}
		if notRunStatuses[oc.Status] && runs[id] > 0 {
			ch.reportViolation("%s was refused with status %d, which means not run, but ran", id, oc.Status)
		}
		if oc.Status == 200 && runs[id] == 0 {
			ch.reportViolation("%s was answered with status 200 but never ran", id)
		}
	}
}
