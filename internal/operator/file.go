// Package operator implements the administration API for operators and reads
// their declarative TOML files. A file is accepted or refused as a whole, and a
// refusal lists every problem found in it.
package operator

import (
	"fmt"
	"slices"

	"github.com/BurntSushi/toml"

	"corianderhub.dev/corianderhub/internal/core/chain"
	"corianderhub.dev/corianderhub/internal/core/intent"
	"corianderhub.dev/corianderhub/pkg/admin"
)

// document is the top level of a file. Its tables are decoded one at a time, so
// that the problems of each can be reported.
type document struct {
	Delete    []string         `toml:"delete"`
	Policy    *toml.Primitive  `toml:"policy"`
	Model     []toml.Primitive `toml:"model"`
	Group     []toml.Primitive `toml:"group"`
	Workspace []toml.Primitive `toml:"workspace"`
	Endpoint  []toml.Primitive `toml:"endpoint"`
}

// Declaration is the content of a file, with the positions needed to report
// problems.
type Declaration struct {
	Change intent.Change
	file   string
	lines  Locator
	// locations maps the ID of an object to its table.
	locations map[string]location
}

// location identifies a table by its name and its index among the tables with
// that name.
type location struct {
	table string
	nth   int
}

// Parse reads a file. It returns the problems that can be found without the
// rest of the configuration. The declaration may be used only if there are
// none.
func Parse(file, text string) (*Declaration, []admin.Problem) {
	de := &Declaration{file: file, lines: NewLocator(text), locations: make(map[string]location)}
	if len(text) > chain.MaxEntryBytes {
		return de, []admin.Problem{{File: file, Reason: fmt.Sprintf("the file has %d bytes; at most %d can be applied at once", len(text), chain.MaxEntryBytes)}}
	}
	var doc document
	md, err := toml.Decode(text, &doc)
	if err != nil {
		return de, []admin.Problem{TOMLProblem(file, err)}
	}
	rd := &fileReader{de: de, md: md}
	rd.readDocument(doc)
	for _, key := range md.Undecoded() {
		rd.addProblem(de.lines.Key(key), key.String(), "unknown key")
	}
	if len(rd.problems) == 0 && len(de.Change.IDs()) == 0 {
		rd.addProblem(0, "", "the file declares nothing")
	}
	slices.SortStableFunc(rd.problems, func(a, b admin.Problem) int { return a.Line - b.Line })
	return de, rd.problems
}

// fileReader decodes the tables of one file.
type fileReader struct {
	de       *Declaration
	md       toml.MetaData
	problems []admin.Problem
}

func (rd *fileReader) addProblem(line int, key, reason string) {
	rd.problems = append(rd.problems, admin.Problem{File: rd.de.file, Line: line, Key: key, Reason: reason})
}

func (rd *fileReader) readDocument(doc document) {
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
		line := rd.de.lines.TopLevel("delete")
		if slices.Contains(doc.Delete[:i], id) {
			rd.addProblem(line, "delete", id+" stands twice")
		}
		if _, ok := rd.de.locations[id]; ok {
			rd.addProblem(line, "delete", id+" is declared in the same file")
		}
	}
}

// readTable decodes a table as an object of type T and adds it to the change.
func readTable[T intent.Object](rd *fileReader, table string, nth int, pr toml.Primitive) {
	var ob T
	if problems := rd.decode(table, nth, pr, &ob); len(problems) > 0 {
		rd.problems = append(rd.problems, problems...)
		return
	}
	object := withDefaults(ob)
	id := object.ID()
	if _, ok := rd.de.locations[id]; ok {
		rd.addProblem(rd.de.lines.Table(table, nth), id, "stands twice in the file")
	}
	rd.de.locations[id] = location{table, nth}
	rd.de.Change.Puts = append(rd.de.Change.Puts, object)
}

// withDefaults sets the role of a group without one to mixed. Other objects are
// returned unchanged.
func withDefaults(ob intent.Object) intent.Object {
	if gr, ok := ob.(intent.Group); ok && gr.Role == "" {
		gr.Role = intent.RoleMixed
		return gr
	}
	return ob
}

// ProblemsOf adds the positions in the file to problems of the configuration, and
// sorts them by line.
func (de *Declaration) ProblemsOf(problems []intent.Problem) []admin.Problem {
	var located []admin.Problem
	for _, pb := range problems {
		pr := admin.Problem{File: de.file, Key: pb.ID + " " + pb.Key, Reason: pb.Reason}
		if loc, ok := de.locations[pb.ID]; ok {
			pr.Line = de.lines.Field(loc.table, loc.nth, pb.Key)
		} else if pb.Key == "delete" {
			pr.Line = de.lines.TopLevel("delete")
		}
		located = append(located, pr)
	}
	slices.SortStableFunc(located, func(a, b admin.Problem) int { return a.Line - b.Line })
	return located
}

// Check reads a file and validates it against the configuration cfg. It returns
// all problems found, or none if the file can be applied to cfg.
func Check(file, text string, cfg *intent.Config) (*Declaration, []admin.Problem) {
	de, problems := Parse(file, text)
	if len(problems) > 0 {
		return de, problems
	}
	return de, de.ProblemsOf(cfg.CheckChange(de.Change))
}
