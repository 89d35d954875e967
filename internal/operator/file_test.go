package operator

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"corianderhub.dev/corianderhub/internal/core/chain"
	"corianderhub.dev/corianderhub/internal/core/intent"
)

const validFile = `
[[model]]
name = "linden"
version = "1"
vms = 2
load-time = "1s"
capacity-tokens = 1000

[[group]]
name = "g"
model = "linden"
data-center = "gent"
replicas = 2
`

const keyDigest = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0bc822cd15d6c15b0f00a0"

// Each problem of a file is reported with its line, key and reason. The texts
// are part of the administration API and of the output of the check command.
func TestCheck(t *testing.T) {
	tests := []struct {
		name string
		text string
		want []string
	}{
		{"good", validFile, nil},
		{"empty", "", []string{"f.toml: the file declares nothing"}},
		{"comments only", "# nothing\n", []string{"f.toml: the file declares nothing"}},
		{"half written", "[[model]]\nname = \"lin", []string{"f.toml:2: model.name: unexpected EOF; expected '\"'"}},
		{"unknown table", "[[modle]]\nname = \"a\"\n", []string{"f.toml:1: modle: unknown key", "f.toml:2: modle.name: unknown key"}},
		{"unknown key", validFile + "spears = 1\n", []string{"f.toml:14: group.spears: unknown key"}},
		{"wrong type", "[[model]]\nname = \"linden\"\nvms = \"two\"\n", []string{"f.toml:3: model.vms: incompatible types: TOML value has type string; destination has type integer"}},
		{"two wrong types and an unknown key", "[[model]]\nname = 7\nvms = \"two\"\nspears = 1\nload-time = \"1s\"\n", []string{
			"f.toml:2: model.name: incompatible types: TOML value has type int64; destination has type string",
			"f.toml:3: model.vms: incompatible types: TOML value has type string; destination has type integer",
			"f.toml:4: model.spears: unknown key"}},
		{"bad duration", "[[endpoint]]\nname = \"o\"\ntimeout = \"soon\"\n", []string{`f.toml:3: endpoint.timeout: time: invalid duration "soon"`}},
		{"key twice", "[[model]]\nname = \"a\"\nname = \"b\"\n", []string{"f.toml:3: model.name: Key 'model.name' has already been defined."}},
		{"object twice", validFile + "[[group]]\nname = \"g\"\nmodel = \"linden\"\ndata-center = \"gent\"\n", []string{"f.toml:14: group/g: stands twice in the file"}},
		{"deleted and declared", "delete = [\"model/linden\"]\n" + validFile, []string{"f.toml:1: delete: model/linden is declared in the same file"}},
		{"deletes what is not there", "delete = [\"model/oak\"]\n", []string{"f.toml:1: model/oak delete: no such object"}},
		{"model not declared", "[[group]]\nname = \"g\"\nmodel = \"oak\"\ndata-center = \"gent\"\n", []string{`f.toml:3: group/g model: no model "oak" is declared`}},
		{"several at once", strings.NewReplacer("vms = 2", "vms = 17", "replicas = 2", "replicas = -1").Replace(validFile),
			[]string{"f.toml:5: model/linden vms: must be 1 to 16", "f.toml:13: group/g replicas: must be 0 to 4096"}},
		{"share of nothing", "[[workspace]]\nname = \"w\"\nshare = 0\nkey-sha256 = \"" + keyDigest + "\"\n", []string{"f.toml:3: workspace/w share: must be above zero"}},
		{"share without bound", "[[workspace]]\nname = \"w\"\nshare = inf\nkey-sha256 = \"" + keyDigest + "\"\n", []string{"f.toml:3: workspace/w share: must be finite"}},
		{"weight without bound", "[policy]\ndowntime-weight = inf\n", []string{"f.toml:2: policy/policy downtime-weight: must be finite"}},
		{"one key for two", "[[workspace]]\nname = \"w\"\nshare = 1\nkey-sha256 = \"" + keyDigest + "\"\n[[workspace]]\nname = \"v\"\nshare = 1\nkey-sha256 = \"" + keyDigest + "\"\n",
			[]string{`f.toml:4: workspace/w key-sha256: workspace "v" has the same key`, `f.toml:8: workspace/v key-sha256: workspace "w" has the same key`}},
		{"routes overlap", "[[endpoint]]\nname = \"a\"\nroute = \"/o/\"\naddresses = [\"127.0.0.1:1\"]\n[[endpoint]]\nname = \"b\"\nroute = \"/o/p/\"\naddresses = [\"127.0.0.1:1\"]\n",
			[]string{`f.toml:3: endpoint/a route: overlaps with endpoint "b"`, `f.toml:7: endpoint/b route: overlaps with endpoint "a"`}},
		{"not an address", "[[endpoint]]\nname = \"a\"\nroute = \"/o/\"\naddresses = [\"orders:80\"]\n", []string{`f.toml:4: endpoint/a addresses: "orders:80" is not IP:port`}},
		{"signed port", "[[endpoint]]\nname = \"a\"\nroute = \"/o/\"\naddresses = [\"127.0.0.1:+80\"]\n", []string{`f.toml:4: endpoint/a addresses: "127.0.0.1:+80" is not IP:port`}},
		{"rule beside the route", "[[endpoint]]\nname = \"a\"\nroute = \"/o/\"\naddresses = [\"127.0.0.1:1\"]\nnot-repeatable = [\"POST /x/\"]\n",
			[]string{`f.toml:5: endpoint/a not-repeatable: "POST /x/" is not "METHOD /path" below the route`}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			_, problems := Check("f.toml", tc.text, intent.New())
			var got []string
			for _, pr := range problems {
				got = append(got, pr.String())
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("problems (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a file that is too large for one configuration entry: it must
// be refused before anything is written to the platform.
func TestOversizedFile(t *testing.T) {
	_, problems := Check("f.toml", "# "+strings.Repeat("x", chain.MaxEntryBytes), intent.New())
	if len(problems) != 1 || !strings.Contains(problems[0].Reason, "at most") {
		t.Errorf("problems = %v, want one whose reason contains \"at most\"", problems)
	}
}

// Parsing must not panic on any input, and must report a problem if the file
// declares nothing.
func FuzzCheck(f *testing.F) {
	f.Add(validFile)
	f.Add("delete = [\"a\", \"a\"]\n[[policy]]\n")
	f.Add("[[model]]\nname = [1]\n")
	f.Fuzz(func(t *testing.T, text string) {
		de, problems := Check("f.toml", text, intent.New())
		if len(problems) == 0 && len(de.Change.IDs()) == 0 {
			t.Error("no problems for a file that declares nothing")
		}
	})
}
