package entry

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"corianderhub.dev/corianderhub/platform"
)

// Guards against a log that holds whole entries: a number of a million digits, a text of a million bytes
// and a long key, all written repeatedly.
func TestLogOfOddEntries(t *testing.T) {
	ct, _ := newTestControl(800)
	log := &logBuffer{}
	ct.da.Log = slog.New(slog.NewTextHandler(testWriter{t, log}, nil))
	long := strings.Repeat("9", 1_000_000)
	for i, value := range []string{`{"slots":` + long + `}`, `{"slots":"` + long + `"}`, `{"service":{"` + long + `":1}}`} {
		for range 3 {
			ct.decode(platform.Item{Key: fmt.Sprint(platform.EndpointPrefix, long[:1000], i), Value: []byte(value)})
		}
	}
	if lines := strings.Count(log.String(), "\n"); lines != 3 || len(log.String()) > 3*1000 {
		t.Errorf("%d lines, %d bytes, want 3 lines of at most 1000 bytes", lines, len(log.String()))
	}
}
