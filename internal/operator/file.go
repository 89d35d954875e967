// Package operator serves the operators: it reads their declarative files and
// answers the administration API. A file is accepted or refused as a whole,
// and a refusal names everything that is wrong with it.
package operator

import (
	"fmt"
	"slices"

	"github.com/BurntSushi/toml"

	"corianderhub.dev/corianderhub/internal/core/chain"
	"corianderhub.dev/corianderhub/internal/core/intent"
	"corianderhub.dev/corianderhub/pkg/admin"
)

// document is the outline of a file. Its tables are decoded one by one, so
// that each can report what is wrong with it.
type document struct {
	Delete    []string         `toml:"delete"`
	Policy    *toml.Primitive  `toml:"policy"`
	Model     []toml.Primitive `toml:"model"`
	Group     []toml.Primitive `toml:"group"`
	Workspace []toml.Primitive `toml:"workspace"`
	Endpoint  []toml.Primitive `toml:"endpoint"`
}

// Declaration is what a file declares, with the places to blame.
type Declaration struct {
	Change intent.Change
	file   string
	lines  Locator
	// places finds the table of an object.
	places map[string]place
}

type place struct {
	table string
	nth   int
}

// Parse reads a file. Problems that can be seen without knowing the rest of
// the configuration are returned; the declaration is for use only if there
// are none.
func Parse(file, text string) (*Declaration, []admin.Problem) {
	de := &Declaration{file: file, lines: NewLocator(text), places: make(map[string]place)}
	if len(text) > chain.MaxEntryBytes {
		return de, []admin.Problem{{File: file, Reason: fmt.Sprintf("the file has %d bytes; at most %d can be applied at once", len(text), chain.MaxEntryBytes)}}
	}
	var doc document
	md, err := toml.Decode(text, &doc)
	if err != nil {
		return de, []admin.Problem{TOMLProblem(file, err)}
	}
	rd := &reader{de: de, md: md}
	rd.read(doc)
	for _, key := range md.Undecoded() {
		rd.problem(de.lines.Key(key), key.String(), "unknown key")
	}
	if len(rd.problems) == 0 && len(de.Change.IDs()) == 0 {
		rd.problem(0, "", "the file declares nothing")
	}
	slices.SortStableFunc(rd.problems, func(a, b admin.Problem) int { return a.Line - b.Line })
	return de, rd.problems
}

// reader decodes the tables of one file.
type reader struct {
	de       *Declaration
	md       toml.MetaData
	problems []admin.Problem
}

func (rd *reader) problem(line int, key, reason string) {
	rd.problems = append(rd.problems, admin.Problem{File: rd.de.file, Line: line, Key: key, Reason: reason})
}

func (rd *reader) read(doc document) {
	rd.de.Change.Deletes = doc.Delete
	if doc.Policy != nil {
		readTable[intent.Policy](rd, "policy", 0, *doc.Policy)
	}
	for i, pr := range doc.Model {
		readTable[intent.Model](rd, "model", i, pr)
	}
	for i, pr := range doc.Group {
		readTable[intent.Group](rd, "group", i, pr)
	}
	for i, pr := range doc.Workspace {
		readTable[intent.Workspace](rd, "workspace", i, pr)
	}
	for i, pr := range doc.Endpoint {
		readTable[intent.Endpoint](rd, "endpoint", i, pr)
	}
	for i, id := range doc.Delete {
		line := rd.de.lines.Top("delete")
		if slices.Contains(doc.Delete[:i], id) {
			rd.problem(line, "delete", id+" stands twice")
		}
		if _, ok := rd.de.places[id]; ok {
			rd.problem(line, "delete", id+" is declared in the same file")
		}
	}
}

func readTable[T intent.Object](rd *reader, table string, nth int, pr toml.Primitive) {
	var ob T
	if problems := rd.decode(table, nth, pr, &ob); len(problems) > 0 {
		rd.problems = append(rd.problems, problems...)
		return
	}
	done := withDefaults(ob)
	id := done.ID()
	if _, ok := rd.de.places[id]; ok {
		rd.problem(rd.de.lines.Table(table, nth), id, "stands twice in the file")
	}
	rd.de.places[id] = place{table, nth}
	rd.de.Change.Puts = append(rd.de.Change.Puts, done)
}

func withDefaults(ob intent.Object) intent.Object {
	if gr, ok := ob.(intent.Group); ok && gr.Role == "" {
		gr.Role = intent.RoleMixed
		return gr
	}
	return ob
}

// Blame turns faults of the configuration into problems of the file.
func (de *Declaration) Blame(faults []intent.Fault) []admin.Problem {
	var problems []admin.Problem
	for _, fa := range faults {
		pr := admin.Problem{File: de.file, Key: fa.ID + " " + fa.Key, Reason: fa.Reason}
		if pl, ok := de.places[fa.ID]; ok {
			pr.Line = de.lines.Field(pl.table, pl.nth, fa.Key)
		} else if fa.Key == "delete" {
			pr.Line = de.lines.Top("delete")
		}
		problems = append(problems, pr)
	}
	slices.SortStableFunc(problems, func(a, b admin.Problem) int { return a.Line - b.Line })
	return problems
}

// Check reports every problem of a file taken alone on top of cfg.
func Check(file, text string, cfg *intent.Config) (*Declaration, []admin.Problem) {
	de, problems := Parse(file, text)
	if len(problems) > 0 {
		return de, problems
	}
	return de, de.Blame(cfg.CheckChange(de.Change))
}
