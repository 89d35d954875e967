package operator

import (
	"errors"
	"regexp"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"

	"corianderhub.dev/corianderhub/pkg/admin"
)

// typeErrorPattern matches the TOML library's error for a value of the wrong
// type.
var typeErrorPattern = regexp.MustCompile(`^toml: line (\d+) \(last key "([^"]*)"\): (.*)$`)

// TOMLProblem converts an error of the TOML library to a problem, with the line
// and key if the error has them.
func TOMLProblem(file string, err error) admin.Problem {
	if parts := typeErrorPattern.FindStringSubmatch(err.Error()); parts != nil {
		line, _ := strconv.Atoi(parts[1])
		return admin.Problem{File: file, Line: line, Key: parts[2], Reason: parts[3]}
	}
	var pe toml.ParseError
	if errors.As(err, &pe) {
		return admin.Problem{File: file, Line: pe.Position.Line, Key: pe.LastKey, Reason: pe.Message}
	}
	return admin.Problem{File: file, Reason: err.Error()}
}

// Locator finds the lines of tables and keys in a TOML text. The TOML library
// does not keep them for decoded values. Lines count from 1; 0 means not found.
type Locator []string

// NewLocator returns a Locator for the text of a file.
func NewLocator(text string) Locator { return strings.Split(text, "\n") }

// Table returns the line of the nth [[name]] or [name] header, counted from 0.
func (lo Locator) Table(name string, nth int) int {
	for i, line := range lo {
		if tableName(line) != name {
			continue
		}
		if nth == 0 {
			return i + 1
		}
		nth--
	}
	return 0
}

// Field returns the line of a key in the nth table with the given name, or of
// the table's header if the table does not contain the key.
func (lo Locator) Field(table string, nth int, key string) int {
	first := lo.Table(table, nth)
	for i := first; first > 0 && i < len(lo) && tableName(lo[i]) == ""; i++ {
		if keyName(lo[i]) == key {
			return i + 1
		}
	}
	return first
}

// TopLevel returns the line of a key before the first table.
func (lo Locator) TopLevel(key string) int {
	for i, line := range lo {
		if tableName(line) != "" {
			return 0
		}
		if keyName(line) == key {
			return i + 1
		}
	}
	return 0
}

// Key returns the line of the first key with the given path.
func (lo Locator) Key(key toml.Key) int {
	if len(key) == 1 {
		return max(lo.TopLevel(key[0]), lo.Table(key[0], 0))
	}
	inside := false
	for i, line := range lo {
		if name := tableName(line); name != "" {
			inside = name == key[0]
			continue
		}
		if inside && keyName(line) == key[1] {
			return i + 1
		}
	}
	return lo.Table(key[0], 0)
}

// tableName returns the name in a table header, or "" if the line is not one.
func tableName(line string) string {
	line = strings.TrimSpace(line)
	if !strings.HasPrefix(line, "[") || strings.Contains(line, "=") {
		return ""
	}
	return strings.Trim(strings.SplitN(line, "#", 2)[0], "[] \t")
}

// keyName returns the key of a "key = value" line, or "" if the line is not
// one.
func keyName(line string) string {
	name, _, ok := strings.Cut(line, "=")
	if !ok {
		return ""
	}
	return strings.Trim(strings.TrimSpace(name), `"'`)
}
