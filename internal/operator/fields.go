package operator

import (
	"maps"
	"reflect"
	"slices"

	"github.com/BurntSushi/toml"

	"corianderhub.dev/corianderhub/pkg/admin"
)

// decode reads the nth table with the given name into ob, a pointer to a
// struct.
//
// Each key is decoded separately. The TOML library visits the keys of a table
// in random order and stops at the first value of the wrong type. Decoding a
// whole table would therefore report the keys not yet visited as unknown,
// different ones on each run, and would hide further type errors until the
// first is fixed.
func (rd *fileReader) decode(table string, nth int, pr toml.Primitive, ob any) []admin.Problem {
	var values map[string]toml.Primitive
	if err := rd.md.PrimitiveDecode(pr, &values); err != nil {
		return []admin.Problem{rd.tableProblem(table, nth, err)}
	}
	fields := keyedFields(reflect.ValueOf(ob).Elem())
	var problems []admin.Problem
	for _, key := range slices.Sorted(maps.Keys(values)) {
		field, ok := fields[key]
		if !ok {
			line := rd.de.lines.Field(table, nth, key)
			problems = append(problems, admin.Problem{File: rd.de.file, Line: line, Key: table + "." + key, Reason: "unknown key"})
			continue
		}
		if err := rd.md.PrimitiveDecode(values[key], field.Addr().Interface()); err != nil {
			problems = append(problems, rd.tableProblem(table, nth, err))
		}
	}
	return problems
}

// tableProblem converts an error of the TOML library to a problem. If the error
// has no position, the problem is placed at the header of the table.
func (rd *fileReader) tableProblem(table string, nth int, err error) admin.Problem {
	problem := TOMLProblem(rd.de.file, err)
	if problem.Line == 0 {
		problem.Line = rd.de.lines.Table(table, nth)
	}
	if problem.Key == "" {
		problem.Key = table
	}
	return problem
}

// keyedFields returns the fields of a struct by the keys in their toml tags.
func keyedFields(st reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value, st.NumField())
	for i := range st.NumField() {
		if key := st.Type().Field(i).Tag.Get("toml"); key != "" {
			fields[key] = st.Field(i)
		}
	}
	return fields
}
