// Package story reads the log lines of daemons and tells what became of a
// request, or what a daemon believed at a moment.
package story

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Line is one line of a daemon's log.
type Line struct {
	At time.Time
	// Source is the file that the line stands in.
	Source  string
	Message string
	// Attrs are the line's attributes in their order.
	Attrs []Attr
}

// Attr is an attribute of a line.
type Attr struct{ Key, Value string }

// Get returns the value of an attribute, or "".
func (li *Line) Get(key string) string {
	for _, at := range li.Attrs {
		if at.Key == key {
			return at.Value
		}
	}
	return ""
}

// part is the prefix of the message, which names the part of the daemon.
func (li *Line) part() string {
	part, _, _ := strings.Cut(li.Message, ":")
	return part
}

// String returns the line in one form, whatever the form of the log was.
func (li *Line) String() string {
	var sb strings.Builder
	fmt.Fprintf(&sb, "%s %s %s", li.At.UTC().Format("15:04:05.000"), li.Source, li.Message)
	for _, at := range li.Attrs {
		if at.Value == "" {
			continue
		}
		val := at.Value
		if strings.ContainsAny(val, " \"=") {
			val = strconv.Quote(val)
		}
		fmt.Fprintf(&sb, " %s=%s", at.Key, val)
	}
	return sb.String()
}

// maxLine bounds a line; a view of all groups takes some 20 KB.
const maxLine = 1 << 20

// Read reads a log in text or JSON form. Lines in another form are counted and
// passed over: a log may begin or end in the middle of one.
func Read(source string, from io.Reader) (lines []Line, skipped int, err error) {
	sc := bufio.NewScanner(from)
	sc.Buffer(make([]byte, 0, 64<<10), maxLine)
	for sc.Scan() {
		li, ok := parse(sc.Text())
		if !ok {
			skipped++
			continue
		}
		li.Source = source
		lines = append(lines, li)
	}
	return lines, skipped, eris.Wrap(sc.Err(), source)
}

// Sort puts the lines of several logs in the order of their times. Lines of one
// log with the same time stay in their order.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(one, other Line) int { return one.At.Compare(other.At) })
}

func parse(text string) (Line, bool) {
	if strings.HasPrefix(text, "{") {
		return parseJSON(text)
	}
	return parseText(text)
}

// parseText reads key=value pairs, of which values may be quoted.
func parseText(text string) (Line, bool) {
	var li Line
	for text = strings.TrimSpace(text); text != ""; text = strings.TrimLeft(text, " ") {
		key, rest, ok := strings.Cut(text, "=")
		if !ok || strings.ContainsAny(key, " \"") {
			return li, false
		}
		var val string
		if strings.HasPrefix(rest, `"`) {
			quoted, err := strconv.QuotedPrefix(rest)
			if err != nil {
				return li, false
			}
			val, _ = strconv.Unquote(quoted) // QuotedPrefix has checked it.
			text = rest[len(quoted):]
		} else {
			val, text, _ = strings.Cut(rest, " ")
		}
		if !li.set(key, val) {
			return li, false
		}
	}
	return li, li.Message != "" && !li.At.IsZero()
}

func parseJSON(text string) (Line, bool) {
	var li Line
	dec := json.NewDecoder(strings.NewReader(text))
	dec.UseNumber()
	if tok, err := dec.Token(); err != nil || tok != json.Delim('{') {
		return li, false
	}
	for dec.More() {
		tok, err := dec.Token()
		key, ok := tok.(string)
		var val any
		if err != nil || !ok || dec.Decode(&val) != nil {
			return li, false
		}
		if !li.set(key, fmt.Sprint(val)) {
			return li, false
		}
	}
	return li, li.Message != "" && !li.At.IsZero()
}

// set takes in one attribute and tells whether it has a proper value.
func (li *Line) set(key, val string) bool {
	switch key {
	case "time":
		at, err := time.Parse(time.RFC3339Nano, val)
		li.At = at
		return err == nil
	case "msg":
		li.Message = val
	case "level":
	default:
		li.Attrs = append(li.Attrs, Attr{key, val})
	}
	return true
}
