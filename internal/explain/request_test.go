package explain

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rogpeppe/go-internal/txtar"
)

// Guards against an explanation that does not name the injected fault. Each file in
// testdata holds excerpts of the logs of several daemons, from a real run in which a
// request failed, the ID of the request in the archive's comment, and the expected
// output in the file "story". UPDATE_GOLDEN rewrites the expected output.
func TestExplainRequest(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("no files in testdata, error %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			ar, err := txtar.ParseFile(file)
			if err != nil {
				t.Fatal(err)
			}
			id := strings.TrimSpace(string(ar.Comment))
			var lines []Line
			want := -1
			for i, fi := range ar.Files {
				if fi.Name == "story" {
					want = i
					continue
				}
				read, skipped, err := Read(strings.TrimSuffix(fi.Name, ".log"), bytes.NewReader(fi.Data))
				if err != nil || skipped > 0 {
					t.Fatalf("%s: %d lines skipped, error %v; want 0, none", fi.Name, skipped, err)
				}
				lines = append(lines, read...)
			}
			Sort(lines)
			var got bytes.Buffer
			if err := Print(&got, RequestLines(lines, id), id); err != nil {
				t.Fatal(err)
			}
			if os.Getenv("UPDATE_GOLDEN") != "" {
				ar.Files[want].Data = got.Bytes()
				if err := os.WriteFile(file, txtar.Format(ar), 0o644); err != nil {
					t.Fatal(err)
				}
				return
			}
			if diff := cmp.Diff(string(ar.Files[want].Data), got.String()); diff != "" {
				t.Errorf("output (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against lines that are lost or misread in one of the two log formats, and
// against an error for a notice of lost lines, a malformed time or a truncated line,
// which Read skips.
func TestRead(t *testing.T) {
	log := strings.Join([]string{
		`time=2026-05-01T10:00:00.250Z level=INFO msg="front: answered." request=ab outcome=refused cause="a \"b\" = c"`,
		`{"time":"2026-05-01T10:00:00.125Z","level":"INFO","msg":"front: answered.","request":"cd","ms":7}`,
		`n lines were lost before this one`,
		`time=yesterday msg=x`,
		`time=2026-05-01T10:00:00.250Z level=INFO msg="cut off in the mid`,
	}, "\n")
	lines, skipped, err := Read("one", strings.NewReader(log))
	if err != nil || skipped != 3 || len(lines) != 2 {
		t.Fatalf("%d lines read, %d skipped, error %v; want 2, 3, none", len(lines), skipped, err)
	}
	Sort(lines)
	if lines[0].Get("request") != "cd" || lines[0].Get("ms") != "7" || lines[1].Get("cause") != `a "b" = c` {
		t.Errorf("lines %v, want request cd with ms=7, then the line with the quoted cause", lines)
	}
	if got, want := lines[1].String(), `10:00:00.250 one front: answered. request=ab outcome=refused cause="a \"b\" = c"`; got != want {
		t.Errorf("line %s, want %s", got, want)
	}
}

// Guards against a refusal whose cause the logs name and its explanation does not.
func TestExplainCause(t *testing.T) {
	tests := []struct {
		name, log string
		want      []string
	}{
		{"store restored", `time=2026-05-01T10:00:00Z level=WARN msg="store: restored from a copy." era=5 before=4
time=2026-05-01T10:00:01Z level=WARN msg="control: configuration ignored, its version is not newer than the one in force." version=88 in-force=96
time=2026-05-01T10:00:02Z level=INFO msg="front: answered." request=ab outcome=refused status=404 reason=no-route sends=0 ms=0`,
			[]string{"the store was restored from a copy and is in era 5", "version 88 of the configuration was ignored, version 96 was in force"}},
		{"daemon cut off from endpoints", `time=2026-05-01T10:00:00Z level=INFO msg="control: endpoints not reached." count=53 through-others=50 before=0
time=2026-05-01T10:00:02Z level=INFO msg="front: answered." request=ab outcome=refused status=503 reason=endpoints-refused sends=0 ms=0`,
			[]string{"one did not reach 53 endpoints, 50 of which other daemons reached"}},
		{"overload", `time=2026-05-01T10:00:02Z level=INFO msg="front: answered." request=ab outcome=refused status=503 reason=full sends=0 waited-ms=0 ms=0 route=draft rank=1 workspace=nursery groups=9 excess=0.41 free-slots=3.2 reserved=true sums-age-ms=85 retry-after-ms=2133`,
			[]string{"decided by: groups 9, excess 0.41, free-slots 3.2, sums-age-ms 85, reserved true, retry-after-ms 2133, route draft, workspace nursery, rank 1"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			lines, _, err := Read("one", strings.NewReader(tt.log))
			if err != nil {
				t.Fatal(err)
			}
			var out bytes.Buffer
			if err := Print(&out, RequestLines(lines, "ab"), "ab"); err != nil {
				t.Fatal(err)
			}
			got := out.String()
			for _, want := range tt.want {
				if !strings.Contains(got, want) {
					t.Errorf("%q is missing in:\n%s", want, got)
				}
			}
		})
	}
}

// Guards against outdated or later lines in the state at a time. The state consists
// of the newest line of each kind before that time; lines about a single group or
// endpoint expire after recentWindow.
func TestStateAt(t *testing.T) {
	log := `time=2026-05-01T10:00:00Z level=INFO msg="daemon: started." name=one
time=2026-05-01T10:00:01Z level=INFO msg="control: configuration in force." version=4
time=2026-05-01T10:00:02Z level=INFO msg="control: configuration in force." version=9
time=2026-05-01T10:00:03Z level=WARN msg="store: lost." prefix=op/ cause=reset
time=2026-05-01T10:00:04Z level=INFO msg="control: group stands still." group=g1
time=2026-05-01T10:00:06Z level=INFO msg="control: data centre evacuated." data-center=hall-a
time=2026-05-01T10:00:16Z level=INFO msg="control: evacuation in force." data-center=hall-a requests-left=3
time=2026-05-01T10:00:20Z level=INFO msg="control: configuration in force." version=12
time=2026-05-01T10:00:25Z level=INFO msg="control: evacuation ended." data-center=hall-a`
	lines, _, err := Read("one", strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	at := func(second int) time.Time { return time.Date(2026, 5, 1, 10, 0, second, 0, time.UTC) }
	tests := []struct {
		second int
		want   []string
	}{
		{5, []string{"daemon: started.", "control: configuration in force. 9", "store: lost.", "control: group stands still."}},
		{18, []string{"daemon: started.", "control: configuration in force. 9", "store: lost.", "control: evacuation in force."}},
		{30, []string{"daemon: started.", "store: lost.", "control: configuration in force. 12", "control: evacuation ended."}},
	}
	for _, tc := range tests {
		var got []string
		for _, li := range StateAt(lines, at(tc.second)) {
			got = append(got, strings.TrimSpace(li.Message+" "+li.Get("version")))
		}
		if diff := cmp.Diff(tc.want, got); diff != "" {
			t.Errorf("second %d (-want +got):\n%s", tc.second, diff)
		}
	}
}

// Every line that Read accepts has a time and a message.
func FuzzRead(f *testing.F) {
	f.Add(`time=2026-05-01T10:00:00.250Z level=INFO msg="front: answered." request=ab`)
	f.Add(`{"time":"2026-05-01T10:00:00.125Z","msg":"x","a":[1,{"b":2}]}`)
	f.Fuzz(func(t *testing.T, text string) {
		lines, _, err := Read("one", strings.NewReader(text))
		if err != nil {
			return
		}
		for _, li := range lines {
			if li.Message == "" || li.At.IsZero() {
				t.Errorf("line %+v has no time or no message", li)
			}
		}
	})
}
