package entry

import (
	"bytes"
	"context"

	"github.com/VictoriaMetrics/metrics"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/internal/mesh"
	"corianderhub.dev/corianderhub/platform"
)

// setConfig decodes and applies a configuration if its version is higher than that of the one
// in force. revision is its revision in the store. It doesn't order configurations, since the
// store may be restored from a copy. from names the source: fromStore or a daemon.
func (ct *control) setConfig(raw []byte, revision int64, from string) {
	co := ct.da.config.Load()
	if co != nil && bytes.Equal(co.raw, raw) {
		return
	}
	cfg, err := platform.DecodeConfig(raw, revision)
	if err != nil {
		ct.da.Log.Error("control: configuration rejected, keeping the previous one.", "revision", revision, "cause", err.Error())
		return
	}
	if co != nil && cfg.Version <= co.Version {
		ct.logIgnoredConfig(cfg, co.Config, from)
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
func (ct *control) logIgnoredConfig(cfg, inForce *catalog.Config, from string) {
	if cfg.Version == ct.loggedIgnored {
		return
	}
	ct.loggedIgnored = cfg.Version
	ignoredConfigCount.Inc()
	ct.da.Log.Warn("control: configuration ignored, its version is not newer than the one in force.", "version", cfg.Version, "revision", cfg.Revision,
		"in-force", inForce.Version, "in-force-revision", inForce.Revision, "era", ct.da.store.Era(), "from", from)
}

var ignoredConfigCount = metrics.NewCounter("corianderhub_configurations_ignored_total")

// fromStore is the source of a configuration read from the store. Unless the mesh is in
// direct mode, only such a configuration is announced immediately to the other daemons,
// since one fetched from a daemon is already known to others.
const fromStore = "store"

// hasNewerConfig reports whether the sender of a heartbeat has a newer configuration than this
// daemon. Daemons of earlier releases name only its revision.
func (ct *control) hasNewerConfig(be mesh.Heartbeat) bool {
	co := ct.da.config.Load()
	switch {
	case be.ConfigRevision == 0:
		return false
	case co == nil:
		return true
	case be.ConfigVersion == 0:
		return be.ConfigRevision > co.Revision
	}
	return be.ConfigVersion > co.Version
}

// fetchNewerConfig fetches the sender's configuration if it is newer than this daemon's.
func (ct *control) fetchNewerConfig(be mesh.Heartbeat) {
	if !ct.hasNewerConfig(be) {
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
