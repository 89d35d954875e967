package operator

import (
	"errors"
	"regexp"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"

	"corianderhub.dev/corianderhub/pkg/admin"
)

// typeError is how the TOML library words a value of the wrong type.
var typeError = regexp.MustCompile(`^toml: line (\d+) \(last key "([^"]*)"\): (.*)$`)

// TOMLProblem keeps the position that the TOML library knows.
func TOMLProblem(file string, err error) admin.Problem {
	if parts := typeError.FindStringSubmatch(err.Error()); parts != nil {
		line, _ := strconv.Atoi(parts[1])
		return admin.Problem{File: file, Line: line, Key: parts[2], Reason: parts[3]}
	}
	var pe toml.ParseError
	if errors.As(err, &pe) {
		return admin.Problem{File: file, Line: pe.Position.Line, Key: pe.LastKey, Reason: pe.Message}
	}
	return admin.Problem{File: file, Reason: err.Error()}
}

// Locator finds lines in a TOML text, which the TOML library forgets.
type Locator []string

// NewLocator returns a Locator for the text of a file.
func NewLocator(text string) Locator { return strings.Split(text, "\n") }

// Table returns the line of the nth [[name]] or [name] header.
func (lo Locator) Table(name string, nth int) int {
	for i, line := range lo {
		if header(line) != name {
			continue
		}
		if nth == 0 {
			return i + 1
		}
		nth--
	}
	return 0
}

// Field returns the line of a key in a table, or of the table's header if the
// key is not there.
func (lo Locator) Field(table string, nth int, key string) int {
	first := lo.Table(table, nth)
	for i := first; first > 0 && i < len(lo) && header(lo[i]) == ""; i++ {
		if keyOf(lo[i]) == key {
			return i + 1
		}
	}
	return first
}

// Top returns the line of a key before the first table.
func (lo Locator) Top(key string) int {
	for i, line := range lo {
		if header(line) != "" {
			return 0
		}
		if keyOf(line) == key {
			return i + 1
		}
	}
	return 0
}

// Key returns the line of the first key of that path.
func (lo Locator) Key(key toml.Key) int {
	if len(key) == 1 {
		return max(lo.Top(key[0]), lo.Table(key[0], 0))
	}
	inside := false
	for i, line := range lo {
		if name := header(line); name != "" {
			inside = name == key[0]
			continue
		}
		if inside && keyOf(line) == key[1] {
			return i + 1
		}
	}
	return lo.Table(key[0], 0)
}

func header(line string) string {
	line = strings.TrimSpace(line)
	if !strings.HasPrefix(line, "[") || strings.Contains(line, "=") {
		return ""
	}
	return strings.Trim(strings.SplitN(line, "#", 2)[0], "[] \t")
}

func keyOf(line string) string {
	name, _, ok := strings.Cut(line, "=")
	if !ok {
		return ""
	}
	return strings.Trim(strings.TrimSpace(name), `"'`)
}
