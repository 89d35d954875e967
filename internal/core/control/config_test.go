package control_test

import (
	"fmt"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/control"
	"corianderhub.dev/corianderhub/internal/core/intent"
	"corianderhub.dev/corianderhub/internal/standin"
)

// revisionInForce returns a condition that holds once all running daemons have
// at least the given configuration revision.
func (w *simulation) revisionInForce(revision uint64) func() bool {
	return func() bool {
		for _, name := range w.names {
			no := w.daemons[name]
			if no.core == nil || no.suspended {
				continue
			}
			if cfg, _ := no.core.Config(); cfg.Revision < revision {
				return false
			}
		}
		return true
	}
}

func workspace(name string, share float64) intent.Workspace {
	return intent.Workspace{Name: name, Share: share, KeySHA256: fmt.Sprintf("%064x", name)}
}

// Guards against configuration changes that are lost, applied twice or reverted,
// and against a daemon that becomes ready with an outdated configuration.
func TestHoldConfig(t *testing.T) {
	// forceLimit is the time within which a change must be in force on all
	// daemons.
	const forceLimit = 9 * time.Second
	tests := []struct {
		name string
		run  func(t *testing.T, w *simulation)
	}{
		// Two operators apply changes at the same time through different
		// daemons. Both changes are accepted, one after the other, and neither
		// overwrites the other.
		{"operator-race", func(t *testing.T, w *simulation) {
			if _, err := w.apply(w.daemons["d1"], "one", workspace("one", 1)); err != nil {
				t.Fatal(err)
			}
			revision, err := w.apply(w.daemons["d2"], "two", workspace("two", 1))
			if err != nil {
				t.Fatal(err)
			}
			w.waitFor("both changes are in force", forceLimit, w.revisionInForce(revision))
			for _, name := range w.names {
				cfg, _ := w.daemons[name].core.Config()
				if len(cfg.Workspaces) != 2 {
					t.Errorf("%s has workspaces %v, want both", name, cfg.Workspaces)
				}
			}
		}},
		// The write of the configuration head takes effect but its response is
		// lost. The apply recognizes its own operation and does not write it
		// again.
		{"lost-answer", func(t *testing.T, w *simulation) {
			w.setFaults(standin.StoreFaults{DropResponses: 2})
			before, _ := w.daemons["d1"].core.Config()
			revision, err := w.apply(w.daemons["d1"], "one", workspace("one", 1))
			if err != nil {
				t.Fatal(err)
			}
			if revision != before.Revision+1 {
				t.Errorf("revision = %d, want %d", revision, before.Revision+1)
			}
			again, err := w.apply(w.daemons["d2"], "one", workspace("one", 1))
			if err != nil || again != revision {
				t.Errorf("repeated apply = %d, %v; want %d", again, err, revision)
			}
		}},
		// While the platform is down, an apply is rejected without effect and
		// the configuration in force stays. Afterwards the same operation
		// succeeds.
		{"platform-outage", func(t *testing.T, w *simulation) {
			w.setFaults(standin.StoreFaults{Down: true})
			if _, err := w.apply(w.daemons["d1"], "one", workspace("one", 1)); err == nil {
				t.Error("apply succeeded while the platform is down, want an error")
			}
			w.advance(time.Minute)
			w.setFaults(standin.StoreFaults{})
			revision, err := w.apply(w.daemons["d1"], "one", workspace("one", 1))
			if err != nil {
				t.Fatal(err)
			}
			w.waitFor("change is in force", forceLimit, w.revisionInForce(revision))
		}},
		// A daemon starts while the platform is down. It is ready only after it
		// has received the newest configuration from its peers.
		{"kill", func(t *testing.T, w *simulation) {
			want, _ := w.daemons["d1"].core.Config()
			w.setFaults(standin.StoreFaults{Down: true})
			w.daemons["d3"].kill()
			w.advance(5 * time.Second)
			w.start(w.daemons["d3"])
			w.waitFor("daemon is ready with its peers' configuration", forceLimit, func() bool { return w.daemons["d3"].core.View().Ready })
			if got, _ := w.daemons["d3"].core.Config(); got.Revision != want.Revision {
				t.Errorf("daemon is ready at revision %d, want %d", got.Revision, want.Revision)
			}
		}},
		// A daemon is suspended during several changes and catches up
		// afterwards.
		{"freeze", func(t *testing.T, w *simulation) {
			w.daemons["d3"].suspended = true
			var revision uint64
			for i := range 5 {
				var err error
				if revision, err = w.apply(w.daemons["d1"], fmt.Sprint("op", i), workspace("one", float64(i+1))); err != nil {
					t.Fatal(err)
				}
			}
			w.advance(5 * time.Second)
			w.resume(w.daemons["d3"])
			w.waitFor("daemon has caught up", forceLimit, w.revisionInForce(revision))
		}},
		// A partitioned daemon misses more changes than its peers keep as
		// entries. It catches up from a snapshot.
		{"cut", func(t *testing.T, w *simulation) {
			w.partitioned = func(a, b string) bool { return a == "d3" || b == "d3" }
			var revision uint64
			for i := range 300 {
				var err error
				if revision, err = w.apply(w.daemons["d1"], fmt.Sprint("op", i), workspace("one", float64(i+1))); err != nil {
					t.Fatal(err)
				}
			}
			w.advance(time.Second)
			w.partitioned = func(string, string) bool { return false }
			w.waitFor("daemon has caught up", forceLimit, w.revisionInForce(revision))
			cfg, _ := w.daemons["d3"].core.Config()
			if got := cfg.Workspaces["one"].Share; got != 300 {
				t.Errorf("share = %v, want 300", got)
			}
		}},
		// A stale read from the platform must not replace a newer
		// configuration.
		{"stale-read", func(t *testing.T, w *simulation) {
			no := w.daemons["d1"]
			if _, err := w.apply(no, "one", workspace("one", 1)); err != nil {
				t.Fatal(err)
			}
			cfg, _ := no.core.Config()
			old := cfg.With(intent.Change{}, cfg.Revision-1)
			w.deliver(no, no.incarnation, control.ConfigArrived{Source: control.SourcePlatformConfig, Known: true, Snapshot: old})
			if now, _ := no.core.Config(); now.Revision != cfg.Revision {
				t.Errorf("revision = %d after a stale read, want %d", now.Revision, cfg.Revision)
			}
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) { tc.run(t, newServingSimulation(t, 4)) })
	}
}
