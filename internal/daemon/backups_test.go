package daemon

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"corianderhub.dev/corianderhub/internal/core/gossip"
)

// Guards against claims that only an unreachable owner was asked to remember, and against a daemon
// that is its own backup.
func TestBackups(t *testing.T) {
	ranked := []gossip.Daemon{{Name: "a", Peer: "peer-a"}, {Name: "b", Peer: "peer-b"}, {Name: "c", Peer: "peer-c"}}
	tests := []struct {
		name   string
		ranked []gossip.Daemon
		want   []string
	}{
		{"a", ranked, []string{"peer-b", "peer-c"}},
		{"b", ranked, []string{"peer-c", "peer-a"}},
		{"c", ranked, []string{"peer-b", "peer-a"}},
		{"d", ranked, []string{"peer-b", "peer-c"}},
		{"a", ranked[:2], []string{"peer-b"}},
		{"b", ranked[:2], []string{"peer-a"}},
		{"a", ranked[:1], nil},
		{"b", ranked[:1], []string{"peer-a"}},
		{"a", nil, nil},
	}
	for _, tc := range tests {
		if diff := cmp.Diff(tc.want, backups(tc.name, tc.ranked)); diff != "" {
			t.Errorf("%s of %d (-want +got):\n%s", tc.name, len(tc.ranked), diff)
		}
	}
}
