// Package explain reads the logs of daemons and explains how a request was
// handled, or which state a daemon was in at a given time. It matches messages
// and attribute keys letter for letter, also in logs that other builds wrote.
package explain

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

// Line is one parsed line of a daemon's log.
type Line struct {
	At time.Time
	// Source is the name of the log that contains the line, as given to Read.
	Source  string
	Message string
	// Attrs are the attributes in the order of the log, without time, level and
	// message.
	Attrs []Attr
}

// Attr is one attribute of a line. Values of all types are kept as text.
type Attr struct{ Key, Value string }

// Get returns the value of the first attribute with that key, or "" if there is
// none.
func (li *Line) Get(key string) string {
	for _, at := range li.Attrs {
		if at.Key == key {
			return at.Value
		}
	}
	return ""
}

// component returns the message up to its first colon, which names the component
// of the daemon that wrote the line.
func (li *Line) component() string {
	part, _, _ := strings.Cut(li.Message, ":")
	return part
}

// String formats the line in the same way for both log formats: time of day in
// UTC, source, message and all attributes that are not empty.
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

// maxLineBytes is the longest line accepted. The longest lines, views of all
// groups, take some 20 KB.
const maxLineBytes = 1 << 20

// Read parses a log in the text or JSON format of log/slog. Malformed lines are
// skipped and counted, because a log may begin or end in the middle of a line.
// The error is that of the reader, or bufio.ErrTooLong.
func Read(source string, from io.Reader) (lines []Line, skipped int, err error) {
	sc := bufio.NewScanner(from)
	sc.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
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

// Sort sorts the lines of several logs by time. The sort is stable, so lines of
// one log with the same time keep their order.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(one, other Line) int { return one.At.Compare(other.At) })
}

func parse(text string) (Line, bool) {
	if strings.HasPrefix(text, "{") {
		return parseJSON(text)
	}
	return parseText(text)
}

// parseText parses key=value pairs. Values may be quoted.
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
			val, _ = strconv.Unquote(quoted) // QuotedPrefix has validated it.
			text = rest[len(quoted):]
		} else {
			val, text, _ = strings.Cut(rest, " ")
		}
		if !li.setAttr(key, val) {
			return li, false
		}
	}
	return li, li.Message != "" && !li.At.IsZero()
}

// parseJSON parses a JSON object and keeps its attributes in the order of the log.
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
		if !li.setAttr(key, fmt.Sprint(val)) {
			return li, false
		}
	}
	return li, li.Message != "" && !li.At.IsZero()
}

// setAttr stores one attribute. It returns false if the time is malformed, and
// accepts every other value.
func (li *Line) setAttr(key, val string) bool {
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
