package front

import (
	"log/slog"
	"strings"
	"testing"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// Guards against treating a mistyped priority of a workspace as the least urgent one, and against a
// log line for each of its requests.
func TestPriority(t *testing.T) {
	var log strings.Builder
	sv := &Server{}
	for _, tc := range []struct{ workspace, route, want int }{{-1, 4, 4}, {0, 4, 0}, {9, 4, 9}, {10, 4, 4}, {77, 2, 2}, {-1, 12, 9}, {-1, -3, 0}} {
		ca := &call{sv: sv, log: slog.New(slog.NewTextHandler(&log, nil)), route: &catalog.Route{Priority: tc.route},
			workspace: &catalog.Workspace{Name: "nursery", Priority: tc.workspace}}
		if got := ca.priority(); got != tc.want {
			t.Errorf("workspace %d, route %d: priority %d, want %d", tc.workspace, tc.route, got, tc.want)
		}
	}
	if num := strings.Count(log.String(), "invalid priority"); num != 1 {
		t.Errorf("%d log lines, want 1", num)
	}
}
