package explain

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// marginBefore is how long before a request's first line related lines
	// count, because they may name its cause: a failure is detected after some
	// 0.3 s, and a group re-forms within 2 s.
	marginBefore = 3 * time.Second
	// marginAfter is how long after a request's last line related lines count.
	marginAfter = 500 * time.Millisecond
)

// RequestLines returns the lines of a request, the lines from the same time about the
// groups and endpoints that it was sent to and the daemons that handled it, the last
// view published before it, the evacuations in force then, and all earlier lines about crashes under requests with
// the same content. Lines must be sorted by time. The result is nil if no line names
// the request.
func RequestLines(lines []Line, id string) []Line {
	var first, last time.Time
	targets, sources := make(map[string]bool), make(map[string]bool)
	content := ""
	for _, li := range lines {
		if li.Get("request") != id {
			continue
		}
		content = li.Get("content")
		if first.IsZero() {
			first = li.At
		}
		last = li.At
		sources[li.Source] = true
		for _, key := range []string{"group", "endpoint"} {
			if val := li.Get(key); val != "" {
				targets[val] = true
			}
		}
	}
	if first.IsZero() {
		return nil
	}
	viewIndex, evacuated := lastView(lines, first), evacuations(lines, first, sources)
	var found []Line
	for i, li := range lines {
		meanwhile := !li.At.Before(first.Add(-marginBefore)) && !li.At.After(last.Add(marginAfter))
		crashed := !li.At.After(last) && reportsCrash(&li, content)
		if li.Get("request") == id || i == viewIndex || evacuated[i] || crashed || meanwhile && isRelated(&li, targets, sources) {
			found = append(found, li)
		}
	}
	return found
}

// reportsCrash reports whether a line records that an endpoint crashed under
// requests with that content, or that they were quarantined for it. Either may
// precede the request's last attempt by hours.
func reportsCrash(li *Line, content string) bool {
	if content == "" {
		return false
	}
	switch li.Message {
	case "control: request quarantined.":
		return li.Get("content") == content
	case "control: endpoint ended under requests.":
		return strings.Contains(li.Get("contents"), content)
	}
	return false
}

// lastView returns the index of the last view published at or before a time, or
// -1. Its age does not matter, because a view applies until the next one.
func lastView(lines []Line, at time.Time) int {
	last := -1
	for i, li := range lines {
		if li.Message == "steward: view published." && !li.At.After(at) {
			last = i
		}
	}
	return last
}

// isRelated reports whether a line is about a group or endpoint that the request
// was sent to, or about the state of a daemon that handled it.
func isRelated(li *Line, targets, sources map[string]bool) bool {
	switch li.component() {
	case "front":
		return false
	case "steward":
		// A request that was sent to no group was waiting for any group, so every
		// broken or suspended group may be the cause.
		broken := len(targets) == 0 && (li.Message == "steward: group-broken." || li.Message == "steward: group-suspended.")
		return li.Message == "steward: view published." || broken || targets[li.Get("group")] || targets[li.Get("vm")]
	case "store", "daemon", "mesh":
		return sources[li.Source]
	}
	if targets[li.Get("group")] || targets[li.Get("endpoint")] {
		return true
	}
	return sources[li.Source] && slices.Contains(daemonMessages, li.Message)
}

// daemonMessages are messages about the state of a daemon that decide about all its requests.
var daemonMessages = []string{"control: configuration in force.", messageConfigIgnored, "control: following the store.",
	messageEvacuated, messageEvacuationEnded, "control: cold endpoints.", messageUnreached, "control: endpoints reached again."}

// Messages of a daemon that reads an outdated configuration, calls a restored store, learns of an
// evacuation or of its end, and does not reach endpoints.
const (
	messageConfigIgnored   = "control: configuration ignored, its version is not newer than the one in force."
	messageRestored        = "store: restored from a copy."
	messageEvacuated       = "control: data centre evacuated."
	messageEvacuationEnded = "control: evacuation ended."
	// messageEvacuationInForce is logged every 10 s, with the requests left in the data centre.
	messageEvacuationInForce = "control: evacuation in force."
	messageUnreached         = "control: endpoints not reached."
)

// evacuations returns the indexes of the lines by which the sources learned of evacuations that
// had not ended at a time, however long ago they began.
func evacuations(lines []Line, at time.Time, sources map[string]bool) map[int]bool {
	last := make(map[[2]string]int)
	for i, li := range lines {
		if li.At.After(at) || !sources[li.Source] {
			continue
		}
		switch key := [2]string{li.Source, li.Get("data-center")}; li.Message {
		case messageEvacuated:
			last[key] = i
		case messageEvacuationEnded:
			delete(last, key)
		}
	}
	indexes := make(map[int]bool)
	for _, i := range last {
		indexes[i] = true
	}
	return indexes
}

// stateMessages are the messages that set a part of a daemon's state. A line
// supersedes earlier lines of the same kind with the same value of attr.
var stateMessages = []struct{ kind, message, attr string }{
	{"process", "daemon: started.", ""},
	{"process", "daemon: stopping.", ""},
	{"configuration", "control: configuration in force.", ""},
	{"steward", "control: steward heard.", ""},
	{"steward", "steward: lease taken.", ""},
	{"steward", "steward: lease given up.", ""},
	{"view", "steward: view published.", ""},
	{"following", "control: following the store.", ""},
	{"restore", messageRestored, ""},
	{"store", "store: lost.", "prefix"},
	{"store", "store: regained.", "prefix"},
	{"group", "control: group stands still.", "group"},
	{"evacuation", messageEvacuated, "data-center"},
	{"evacuation", messageEvacuationInForce, "data-center"},
	{"evacuation", messageEvacuationEnded, "data-center"},
	{"cold", "control: cold endpoints.", ""},
	{"endpoint", "control: endpoint leaves.", "endpoint"},
	{"endpoint", "control: endpoint gone.", "endpoint"},
}

// lastingKinds are the kinds of state that last until a later line supersedes them.
var lastingKinds = map[string]bool{"store": true, "evacuation": true}

// recentWindow is how long a line about a single group or endpoint counts as
// current state.
const recentWindow = 10 * time.Second

// StateAt returns, for each source, the lines that describe its state at a time.
// The result is sorted by source, then by time.
func StateAt(lines []Line, at time.Time) []Line {
	last := make(map[string]Line)
	for _, li := range lines {
		if li.At.After(at) {
			continue
		}
		for _, sm := range stateMessages {
			if li.Message != sm.message || sm.attr != "" && !lastingKinds[sm.kind] && at.Sub(li.At) > recentWindow {
				continue
			}
			last[li.Source+"\x00"+sm.kind+"\x00"+li.Get(sm.attr)] = li
		}
	}
	var state []Line
	for _, li := range last {
		state = append(state, li)
	}
	slices.SortFunc(state, func(one, other Line) int {
		if diff := strings.Compare(one.Source, other.Source); diff != 0 {
			return diff
		}
		if diff := one.At.Compare(other.At); diff != 0 {
			return diff
		}
		return strings.Compare(one.String(), other.String())
	})
	return state
}

// Print writes the lines, and below them the outcome of the request with that ID
// and its likely causes. An empty id prints the lines alone.
func Print(to io.Writer, lines []Line, id string) error {
	for _, li := range lines {
		if _, err := fmt.Fprintln(to, li.String()); err != nil {
			return err
		}
	}
	for _, text := range outcomes(lines, id) {
		if _, err := fmt.Fprintln(to, text); err != nil {
			return err
		}
	}
	return nil
}

// outcomes describes how the request ended at each daemon that answered it. If it
// did not succeed, the causes that earlier lines name follow.
func outcomes(lines []Line, id string) []string {
	var texts []string
	for i, li := range lines {
		if li.Get("request") != id || li.Message != "front: answered." {
			continue
		}
		text := "end: " + li.Get("outcome")
		if reason := li.Get("reason"); reason != "" {
			text += ", " + reason
		}
		texts = append(texts, text+" at "+li.Source+", "+li.Get("ms")+" ms after it came")
		if inputs := refusalInputs(&li); inputs != "" {
			texts = append(texts, inputs)
		}
		if li.Get("outcome") == "whole" || li.Get("outcome") == "passed" && li.Get("status") == "200" {
			continue
		}
		texts = append(texts, causes(lines[:i+1], id)...)
	}
	return texts
}

// refusalInputs describes what decided a refusal and when its caller was told to return, or returns ""
// if the line does not name it, as in logs of earlier releases.
func refusalInputs(li *Line) string {
	var inputs []string
	for _, key := range []string{"groups", "excess", "free-slots", "sums-age-ms", "reserved", "retry-after-ms", "route", "workspace", "rank"} {
		if val := li.Get(key); val != "" {
			inputs = append(inputs, key+" "+val)
		}
	}
	if li.Get("outcome") != "refused" || len(inputs) == 0 {
		return ""
	}
	return "decided by: " + strings.Join(inputs, ", ")
}

// causes describes up to maxCauses distinct causes that the lines name, newest
// first. The last line must be the one that records the request's outcome.
func causes(lines []Line, id string) []string {
	var texts []string
	viewNamed := !isCapacityRefusal(lines)
	quarantined := lines[len(lines)-1].Get("reason") == "quarantined"
	for _, li := range slices.Backward(lines) {
		text := ""
		switch {
		case li.Get("request") == id && li.Message == "front: attempt failed.":
			text = "an attempt failed: " + li.Get("cause")
		case li.Get("request") == id && li.Message == "front: not sent again.":
			text = "not sent again: " + li.Get("reason")
		case li.Message == "control: endpoint ended under requests.":
			text = li.Get("endpoint") + " had ended under it"
		case li.Message == "control: group lost a member.":
			text = li.Get("group") + " had lost its member " + li.Get("member")
		case li.Message == "steward: group-broken." && !quarantined:
			text = li.Get("group") + " was broken: " + li.Get("reason")
		case li.Message == "steward: group-suspended." && !quarantined:
			text = li.Get("group") + " was suspended: " + li.Get("reason")
		case li.Message == messageEvacuated && foundNoEndpoint(lines):
			text = "data centre " + li.Get("data-center") + " was evacuated"
		case li.Message == "control: cold endpoints." && li.Get("count") != "0" && foundNoEndpoint(lines):
			text = li.Get("count") + " endpoints were cold and accepted few requests"
		case li.Message == "store: lost.":
			text = "the store was lost: " + li.Get("cause")
		case li.Message == messageRestored:
			text = "the store was restored from a copy and is in era " + li.Get("era")
		case li.Message == messageUnreached:
			text = li.Source + " did not reach " + li.Get("count") + " endpoints, " + li.Get("through-others") + " of which other daemons reached"
		case li.Message == messageConfigIgnored:
			text = "version " + li.Get("version") + " of the configuration was ignored, version " + li.Get("in-force") + " was in force"
		case li.Message == "steward: view published." && !viewNamed:
			viewNamed = true
			text = "the steward counted " + li.Get("serving") + " groups that served, " + li.Get("forming") + " that formed, " +
				li.Get("stranded") + " free VMs"
		}
		if text = "cause: " + text; text != "cause: " && !slices.Contains(texts, text) {
			texts = append(texts, text)
		}
		if len(texts) == maxCauses {
			break
		}
	}
	return texts
}

// maxCauses limits the causes that are printed for one outcome. All lines are
// printed in any case.
const maxCauses = 4

// isCapacityRefusal reports whether the last line records a refusal for lack of
// capacity.
func isCapacityRefusal(lines []Line) bool {
	reason := lines[len(lines)-1].Get("reason")
	return reason == "full" || reason == "no-group"
}

// foundNoEndpoint reports whether the request was refused because no endpoint accepted it. The
// last line must be the one that records the request's outcome.
func foundNoEndpoint(lines []Line) bool {
	reason := lines[len(lines)-1].Get("reason")
	return isCapacityRefusal(lines) || reason == "no-endpoint" || reason == "endpoints-closed"
}
