package entry

import (
	"context"

	"github.com/VictoriaMetrics/metrics"

	"corianderhub.dev/corianderhub/internal/mesh"
	"corianderhub.dev/corianderhub/platform"
)

// setConfig decodes and applies a configuration unless the current one is at least as new.
// revision is its revision in the store. from names its source: fromStore or a daemon.
func (ct *control) setConfig(raw []byte, revision int64, from string) {
	if co := ct.da.config.Load(); co != nil && co.Revision >= revision {
		if co.Revision > revision {
			ct.logIgnoredConfig(raw, revision, from)
		}
		return
	}
	cfg, err := platform.DecodeConfig(raw, revision)
	if err != nil {
		ct.da.Log.Error("control: configuration rejected, keeping the previous one.", "revision", revision, "cause", err.Error())
		return
	}
	ct.da.config.Store(&configuration{cfg, raw})
	ct.da.Log.Info("control: configuration in force.", "version", cfg.Version, "revision", revision, "era", ct.da.store.Era(),
		"routes", len(cfg.Routes), "from", from)
	for _, what := range cfg.Ignored {
		ct.da.Log.Warn("control: invalid value in the configuration ignored.", "version", cfg.Version, "value", what)
	}
	if ct.lease.core != nil {
		ct.lease.core.SetServices(cfg)
	}
	ct.refreshCold(ct.da.Clock.Now())
	ct.updateView()
	if from == fromStore || ct.da.mesh.Direct() {
		ct.sendHeartbeat(heartbeatExtra{to: mesh.ToEveryone})
	}
}

// logIgnoredConfig logs a configuration that is not newer than the one in force, once for each
// version.
func (ct *control) logIgnoredConfig(raw []byte, revision int64, from string) {
	cfg, err := platform.DecodeConfig(raw, revision)
	co := ct.da.currentConfig()
	if err != nil || cfg.Version == co.Version || cfg.Version == ct.loggedIgnored {
		return
	}
	ct.loggedIgnored = cfg.Version
	ignoredConfigCount.Inc()
	ct.da.Log.Warn("control: configuration ignored, a newer one is in force.", "version", cfg.Version, "revision", revision,
		"in-force", co.Version, "in-force-revision", co.Revision, "era", ct.da.store.Era(), "from", from)
}

var ignoredConfigCount = metrics.NewCounter("corianderhub_configurations_ignored_total")

// fromStore is the source of a configuration read from the store. Unless the mesh is in
// direct mode, only such a configuration is announced immediately to the other daemons,
// since one fetched from a daemon is already known to others.
const fromStore = "store"

// fetchNewerConfig fetches the sender's configuration if it is newer than this daemon's.
func (ct *control) fetchNewerConfig(be mesh.Heartbeat) {
	co := ct.da.config.Load()
	if be.ConfigRevision == 0 || co != nil && co.Revision >= be.ConfigRevision {
		return
	}
	ct.fetch("config", func(ctx context.Context) func() {
		raw, rev, err := ct.da.peers.Config(ctx, be.IP)
		if err != nil {
			ct.da.Log.Info("control: fetching the configuration failed.", "from", be.Name, "cause", err.Error())
			return nil
		}
		return func() { ct.setConfig(raw, rev, "daemon "+be.Name) }
	})
}
