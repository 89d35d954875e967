package story

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// before is how long before a request's first line others may tell its
	// cause: a loss is noticed some 0.3 s after it, a group formed anew in 2 s.
	before = 3 * time.Second
	// after is the same after its last line.
	after = 500 * time.Millisecond
)

// OfRequest returns the lines of a request, and those that tell what happened
// meanwhile to the groups and endpoints that it was sent to and to the daemons
// that handled it.
func RequestLines(lines []Line, id string) []Line {
	var first, last time.Time
	touched, sources := make(map[string]bool), make(map[string]bool)
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
				touched[val] = true
			}
		}
	}
	if first.IsZero() {
		return nil
	}
	counted := lastView(lines, first)
	var story []Line
	for i, li := range lines {
		meanwhile := !li.At.Before(first.Add(-before)) && !li.At.After(last.Add(after))
		earlier := !li.At.After(last) && endsServers(&li, content)
		if li.Get("request") == id || i == counted || earlier || meanwhile && concerns(&li, touched, sources) {
			story = append(story, li)
		}
	}
	return story
}

// endsServers tells whether a line says that servers ended under a request of that content,
// or that it is quarantined for it. That may be hours before its last attempt.
func endsServers(li *Line, content string) bool {
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

// lastView finds the last count of groups before a moment, however long before
// it stands: it holds until the next one.
func lastView(lines []Line, at time.Time) int {
	last := -1
	for i, li := range lines {
		if li.Message == "steward: view published." && !li.At.After(at) {
			last = i
		}
	}
	return last
}

// concerns tells whether a line is about something that the request touched, or
// about what a daemon that handled it could know.
func concerns(li *Line, touched, sources map[string]bool) bool {
	switch li.part() {
	case "front":
		return false
	case "steward":
		// A request that was sent to no group waited for any of them.
		broken := len(touched) == 0 && li.Message == "steward: group-broken."
		return li.Message == "steward: view published." || broken || touched[li.Get("group")] || touched[li.Get("vm")]
	case "store", "daemon", "mesh":
		return sources[li.Source]
	}
	if touched[li.Get("group")] || touched[li.Get("endpoint")] {
		return true
	}
	return sources[li.Source] && (li.Message == "control: configuration in force." || li.Message == "control: following the store.")
}

// beliefs are the messages that tell what a daemon believes until the next one
// of the kind. Lines with the same value of the attribute replace each other.
var beliefs = []struct{ kind, message, attr string }{
	{"process", "daemon: started.", ""},
	{"process", "daemon: stopping.", ""},
	{"configuration", "control: configuration in force.", ""},
	{"steward", "control: steward heard.", ""},
	{"steward", "steward: lease taken.", ""},
	{"steward", "steward: lease given up.", ""},
	{"view", "steward: view published.", ""},
	{"following", "control: following the store.", ""},
	{"store", "store: lost.", "prefix"},
	{"store", "store: regained.", "prefix"},
	{"group", "control: group stands still.", "group"},
	{"endpoint", "control: endpoint leaves.", "endpoint"},
	{"endpoint", "control: endpoint gone.", "endpoint"},
}

// recent is how long a belief about a single group or endpoint is worth telling.
const recent = 10 * time.Second

// Believed returns, for each source, the lines that tell what it believed at a
// moment.
func StateAt(lines []Line, at time.Time) []Line {
	last := make(map[string]Line)
	for _, li := range lines {
		if li.At.After(at) {
			continue
		}
		for _, be := range beliefs {
			if li.Message != be.message || be.attr != "" && be.kind != "store" && at.Sub(li.At) > recent {
				continue
			}
			last[li.Source+"\x00"+be.kind+"\x00"+li.Get(be.attr)] = li
		}
	}
	var told []Line
	for _, li := range last {
		told = append(told, li)
	}
	slices.SortFunc(told, func(one, other Line) int {
		if diff := strings.Compare(one.Source, other.Source); diff != 0 {
			return diff
		}
		if diff := one.At.Compare(other.At); diff != 0 {
			return diff
		}
		return strings.Compare(one.String(), other.String())
	})
	return told
}

// Print writes lines, and for a request what they name as its end and cause.
func Print(to io.Writer, lines []Line, id string) error {
	for _, li := range lines {
		if _, err := fmt.Fprintln(to, li.String()); err != nil {
			return err
		}
	}
	for _, text := range ends(lines, id) {
		if _, err := fmt.Fprintln(to, text); err != nil {
			return err
		}
	}
	return nil
}

// ends says how a request ended at each daemon that answered it, and what the
// lines before name as the cause.
func ends(lines []Line, id string) []string {
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
		if li.Get("outcome") == "whole" || li.Get("outcome") == "passed" && li.Get("status") == "200" {
			continue
		}
		texts = append(texts, causes(lines[:i+1], id)...)
	}
	return texts
}

// causes picks the lines that name a cause, newest first.
func causes(lines []Line, id string) []string {
	var texts []string
	counted := !needsRoom(lines)
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
		case li.Message == "store: lost.":
			text = "the store was lost: " + li.Get("cause")
		case li.Message == "steward: view published." && !counted:
			counted = true
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

// maxCauses bounds what is named as a cause; the lines are all there.
const maxCauses = 4

// needsRoom tells whether the last line is a refusal for want of room.
func needsRoom(lines []Line) bool {
	reason := lines[len(lines)-1].Get("reason")
	return reason == "full" || reason == "no-group"
}
