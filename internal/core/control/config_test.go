package control_test

import (
	"fmt"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/control"
	"corianderhub.dev/corianderhub/internal/core/intent"
	"corianderhub.dev/corianderhub/internal/standin"
)

// revisionEverywhere tells whether all running daemons have the revision.
func (w *world) revisionEverywhere(revision uint64) func() bool {
	return func() bool {
		for _, name := range w.names {
			no := w.daemons[name]
			if no.core == nil || no.frozen {
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

func TestHoldConfig(t *testing.T) {
	// forceLimit is within how long a change is in force everywhere.
	const forceLimit = 9 * time.Second
	tests := []struct {
		name string
		run  func(t *testing.T, w *world)
	}{
		// Two operators apply at the same moment through different daemons.
		// Both are accepted, one after the other, and both changes stay.
		{"operator-race", func(t *testing.T, w *world) {
			if _, err := w.apply(w.daemons["d1"], "one", workspace("one", 1)); err != nil {
				t.Fatal(err)
			}
			revision, err := w.apply(w.daemons["d2"], "two", workspace("two", 1))
			if err != nil {
				t.Fatal(err)
			}
			w.until("both in force", forceLimit, w.revisionEverywhere(revision))
			for _, name := range w.names {
				cfg, _ := w.daemons[name].core.Config()
				if len(cfg.Workspaces) != 2 {
					t.Errorf("%s has workspaces %v, want both", name, cfg.Workspaces)
				}
			}
		}},
		// The write of the head takes effect and its answer is lost. The apply
		// finds its own operation and does not write a second time.
		{"lost-answer", func(t *testing.T, w *world) {
			w.setFaults(standin.StoreFaults{LoseAnswers: 2})
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
		// The platform is down: an apply is refused as not run, and what is in
		// force stays so. Afterwards the same operation goes through.
		{"platform-outage", func(t *testing.T, w *world) {
			w.setFaults(standin.StoreFaults{Down: true})
			if _, err := w.apply(w.daemons["d1"], "one", workspace("one", 1)); err == nil {
				t.Error("an apply was accepted while the platform is down")
			}
			w.run(time.Minute)
			w.setFaults(standin.StoreFaults{})
			revision, err := w.apply(w.daemons["d1"], "one", workspace("one", 1))
			if err != nil {
				t.Fatal(err)
			}
			w.until("in force", forceLimit, w.revisionEverywhere(revision))
		}},
		// A daemon boots while the platform is down. It takes the newest
		// configuration from its peers and only then counts as ready.
		{"kill", func(t *testing.T, w *world) {
			want, _ := w.daemons["d1"].core.Config()
			w.setFaults(standin.StoreFaults{Down: true})
			w.daemons["d3"].kill()
			w.run(5 * time.Second)
			w.start(w.daemons["d3"])
			w.until("ready from its peers", forceLimit, func() bool { return w.daemons["d3"].core.View().Ready })
			if got, _ := w.daemons["d3"].core.Config(); got.Revision != want.Revision {
				t.Errorf("ready at revision %d, want %d", got.Revision, want.Revision)
			}
		}},
		// A daemon is frozen over several changes and wakes up.
		{"freeze", func(t *testing.T, w *world) {
			w.daemons["d3"].frozen = true
			var revision uint64
			for i := range 5 {
				var err error
				if revision, err = w.apply(w.daemons["d1"], fmt.Sprint("op", i), workspace("one", float64(i+1))); err != nil {
					t.Fatal(err)
				}
			}
			w.run(5 * time.Second)
			w.thaw(w.daemons["d3"])
			w.until("caught up", forceLimit, w.revisionEverywhere(revision))
		}},
		// A daemon that is cut off from its data center catches up with more
		// changes than its peers keep as entries, by a snapshot.
		{"cut", func(t *testing.T, w *world) {
			w.cut = func(a, b string) bool { return a == "d3" || b == "d3" }
			var revision uint64
			for i := range 300 {
				var err error
				if revision, err = w.apply(w.daemons["d1"], fmt.Sprint("op", i), workspace("one", float64(i+1))); err != nil {
					t.Fatal(err)
				}
			}
			w.run(time.Second)
			w.cut = func(string, string) bool { return false }
			w.until("caught up", forceLimit, w.revisionEverywhere(revision))
			cfg, _ := w.daemons["d3"].core.Config()
			if got := cfg.Workspaces["one"].Share; got != 300 {
				t.Errorf("share = %v, want 300", got)
			}
		}},
		// The steward reads an old head: a stale read never takes it back.
		{"stale-read", func(t *testing.T, w *world) {
			no := w.daemons["d1"]
			if _, err := w.apply(no, "one", workspace("one", 1)); err != nil {
				t.Fatal(err)
			}
			cfg, _ := no.core.Config()
			old := cfg.With(intent.Change{}, cfg.Revision-1)
			w.deliver(no, no.life, control.ConfigArrived{Source: control.SourcePlatformConfig, Known: true, Snapshot: old})
			if now, _ := no.core.Config(); now.Revision != cfg.Revision {
				t.Errorf("revision = %d after a stale read, want %d", now.Revision, cfg.Revision)
			}
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) { tc.run(t, gent(t, 4)) })
	}
}
