package entry

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"corianderhub.dev/corianderhub/internal/core/quarantine"
	"corianderhub.dev/corianderhub/internal/mesh"
	"corianderhub.dev/corianderhub/platform"
)

// A request may crash each server that processes it, and its caller or a daemon sends it
// again: group after group is lost, with all their other requests. Each attempt has its own
// ID and may reach any daemon, so crashes must be recorded by the request's content and
// shared among all daemons. Daemons announce the crashes that they see. A request under
// which three servers have crashed is quarantined; the quarantine is kept in the store, so
// that it survives the loss of all daemons.

// quarantinePrefix precedes a request's fingerprint in the store's keys.
const quarantinePrefix = keyPrefix + "quarantine/"

const (
	// announceRepeats is the number of heartbeats that carry an announcement, since
	// some may be lost.
	announceRepeats = 3
	// maxAnnouncements bounds the announcements kept for a new steward.
	// maxAnnouncedRequests bounds the requests named in one heartbeat, which take 4 KB.
	maxAnnouncements     = 256
	maxAnnouncedRequests = 256
	// maxReannounceAge is the maximum age of an event that is announced again to a new
	// steward.
	maxReannounceAge = 15 * time.Minute
	// fetchPause is the minimum time between fetches of other daemons' quarantine entries.
	fetchPause = time.Second
	// quarantineSyncInterval is the time between synchronizations with the store. A daemon
	// that is cut off from the others learns of their quarantine entries there.
	quarantineSyncInterval = 2 * time.Second
	// maxQuarantinePause bounds that time while the store does not answer.
	maxQuarantinePause = 8 * time.Second
	// maxChanges is the number of keys that the store accepts in one transaction.
	maxChanges = 32
	// maxLoggedRequests bounds the requests named in one log line.
	maxLoggedRequests = 40
)

// Counters of crashes and of the resulting quarantine entries.
var (
	crashCount       = metrics.NewCounter("corianderhub_endpoints_ended_total")
	quarantinedCount = metrics.NewCounter("corianderhub_requests_quarantined_total")
)

// quarantineControl is the part of the control state for requests that crash servers.
type quarantineControl struct {
	// announcements are the events that this daemon has seen, oldest first.
	announcements []announcement
	// stored are the requests quarantined in the store.
	stored map[quarantine.Fingerprint]bool
	// nextSync is the time of the next synchronization with the store, pause the time
	// between attempts while the store does not answer. syncing is set while a
	// synchronization is in flight.
	nextSync time.Time
	pause    time.Duration
	syncing  bool
	// fetchedAt is when this daemon last fetched another daemon's entries.
	fetchedAt time.Time
}

// announcement is an event that is sent with some heartbeats: either a crash or a
// completion. at is the time of the event, until the end of its announcement.
type announcement struct {
	crash      *quarantine.Crash
	completion *quarantine.Completion
	at, until  time.Time
}

// size returns the number of requests that the announcement names.
func (te *announcement) size() int {
	if te.crash != nil {
		return len(te.crash.Requests)
	}
	return 1
}

// endpointCrashed records and announces that this daemon has seen an endpoint crash while
// it processed the requests.
func (ct *control) endpointCrashed(endpoint string, requests []quarantine.Fingerprint) {
	now := ct.da.Clock.Now()
	crashCount.Inc()
	ct.da.Log.Info("control: endpoint ended under requests.", "endpoint", endpoint, "requests", len(requests),
		"contents", requests[:min(maxLoggedRequests, len(requests))])
	en := quarantine.Crash{Endpoint: endpoint, At: now, Requests: requests}
	ct.applyCrash(en, now)
	ct.announce(announcement{crash: &en, at: now})
	ct.sendHeartbeat(heartbeatExtra{to: mesh.ToSteward})
}

// requestCompleted records and announces that a request completed under which endpoints had
// crashed before.
func (ct *control) requestCompleted(fp quarantine.Fingerprint) {
	now := ct.da.Clock.Now()
	an := quarantine.Completion{Request: fp, At: now}
	ct.da.quarantine.RecordCompletion(an, now)
	ct.announce(announcement{completion: &an, at: now})
}

// applyCrash applies a crash that this daemon or another one has seen.
func (ct *control) applyCrash(en quarantine.Crash, now time.Time) {
	ct.noteQuarantined(ct.da.quarantine.RecordCrash(en, now), "ends")
}

// noteQuarantined counts and logs newly quarantined requests.
func (ct *control) noteQuarantined(requests []quarantine.Fingerprint, from string) {
	for _, fp := range requests {
		quarantinedCount.Inc()
		ct.da.Log.Warn("control: request quarantined.", "content", fp, "from", from)
		// Daemons that follow the store write the entry immediately.
		ct.quarantine.nextSync = time.Time{}
	}
}

// announce queues an event for the next heartbeats, dropping the oldest beyond
// maxAnnouncements.
func (ct *control) announce(te announcement) {
	qc := &ct.quarantine
	te.until = te.at.Add(ct.announceFor())
	qc.announcements = append(qc.announcements, te)
	if len(qc.announcements) > maxAnnouncements {
		qc.announcements = qc.announcements[len(qc.announcements)-maxAnnouncements:]
	}
}

// announceFor returns how long an event is announced to the other daemons.
func (ct *control) announceFor() time.Duration { return announceRepeats * ct.da.mesh.WorkInterval() }

// reannounce announces recent events again. In large deployments only the steward counts
// crashes, and a new one may not have received them.
func (ct *control) reannounce(now time.Time) {
	if ct.da.mesh.Direct() {
		return
	}
	for i := range ct.quarantine.announcements {
		if te := &ct.quarantine.announcements[i]; now.Sub(te.at) < maxReannounceAge {
			te.until = now.Add(ct.announceFor())
		}
	}
}

// addQuarantine adds the quarantine digest and the current announcements to a heartbeat,
// newest first, up to maxAnnouncedRequests.
func (ct *control) addQuarantine(be *mesh.Heartbeat, now time.Time) {
	be.QuarantineDigest = ct.da.quarantine.Digest(now)
	total := 0
	for _, te := range slices.Backward(ct.quarantine.announcements) {
		if now.After(te.until) {
			continue
		}
		if total += te.size(); total > maxAnnouncedRequests {
			return
		}
		if te.crash != nil {
			en := *te.crash
			en.Age = now.Sub(te.at)
			be.Crashes = append(be.Crashes, en)
		} else {
			an := *te.completion
			an.Age = now.Sub(te.at)
			be.Completions = append(be.Completions, an)
		}
	}
}

// applyQuarantine applies the announcements in another daemon's heartbeat, and fetches its
// entries if the digests differ.
func (ct *control) applyQuarantine(be mesh.Heartbeat, now time.Time) {
	for _, en := range be.Crashes {
		en.At = now.Add(-en.Age)
		ct.applyCrash(en, now)
	}
	for _, an := range be.Completions {
		an.At = now.Add(-an.Age)
		ct.da.quarantine.RecordCompletion(an, now)
	}
	if be.QuarantineDigest == 0 || be.QuarantineDigest == ct.da.quarantine.Digest(now) || now.Sub(ct.quarantine.fetchedAt) < fetchPause {
		return
	}
	ct.quarantine.fetchedAt = now
	ct.fetch("quarantine", func(ctx context.Context) func() {
		entries, err := ct.da.peers.Quarantine(ctx, be.IP)
		if err != nil {
			ct.da.Log.Info("control: fetching quarantine entries failed.", "from", be.Name, "cause", err.Error())
			return nil
		}
		return func() { ct.noteQuarantined(ct.da.quarantine.Merge(entries, ct.da.Clock.Now()), "daemon "+be.Name) }
	})
}

// stepQuarantine synchronizes the quarantine with the store while this daemon follows it.
func (ct *control) stepQuarantine(now time.Time) {
	qc := &ct.quarantine
	syncs := ct.lease.core != nil || ct.deputy.Load() || ct.da.mesh.Direct()
	if !ct.follows() || !syncs || qc.syncing || now.Before(qc.nextSync) {
		return
	}
	qc.syncing = true
	puts, deletes := ct.quarantineChanges(now)
	ct.da.spawn(&ct.wg, func(ctx context.Context) {
		items, err := ct.syncQuarantine(ctx, puts, deletes)
		ct.post(func() { ct.quarantineSynced(items, err) })
	})
}

// quarantineChanges returns the entries that the store lacks, and those in the store that
// are no longer quarantined.
func (ct *control) quarantineChanges(now time.Time) (puts []quarantine.Entry, deletes []quarantine.Fingerprint) {
	for fp := range ct.quarantine.stored {
		if _, held := ct.da.quarantine.Quarantined(fp, now); !held && len(deletes) < maxChanges {
			deletes = append(deletes, fp)
		}
	}
	for _, en := range ct.da.quarantine.Entries(now) {
		if _, held := ct.da.quarantine.Quarantined(en.Request, now); held && !ct.quarantine.stored[en.Request] && len(puts) < maxChanges {
			puts = append(puts, en)
		}
	}
	return puts, deletes
}

// syncQuarantine writes the changes to the store and returns the items that it holds
// afterwards.
func (ct *control) syncQuarantine(ctx context.Context, puts []quarantine.Entry, deletes []quarantine.Fingerprint) ([]platform.Item, error) {
	var writes []platform.Put
	for _, en := range puts {
		raw, err := json.Marshal(en)
		if err != nil {
			return nil, eris.Wrap(err, "encode quarantine entry")
		}
		writes = append(writes, platform.Put{Key: quarantinePrefix + en.Request.String(), Value: raw})
	}
	var keys []string
	for _, fp := range deletes {
		keys = append(keys, quarantinePrefix+fp.String())
	}
	// Puts and deletes use separate transactions to stay within the limit of keys. A write
	// that is repeated or takes effect late is harmless: every daemon would write the
	// same.
	if len(writes) > 0 {
		if _, err := ct.da.store.Txn(ctx, nil, writes, nil); err != nil {
			return nil, err
		}
	}
	if len(keys) > 0 {
		if _, err := ct.da.store.Txn(ctx, nil, nil, keys); err != nil {
			return nil, err
		}
	}
	items, _, err := ct.da.store.Range(ctx, quarantinePrefix)
	return items, err
}

// quarantineSynced handles the result of a synchronization with the store.
func (ct *control) quarantineSynced(items []platform.Item, err error) {
	qc := &ct.quarantine
	qc.syncing = false
	now := ct.da.Clock.Now()
	if err != nil {
		ct.da.Log.Info("control: synchronizing the quarantine with the store failed.", "cause", err.Error())
		qc.pause = min(maxQuarantinePause, max(quarantineSyncInterval, 2*qc.pause))
		qc.nextSync = now.Add(qc.pause)
		return
	}
	qc.pause = 0
	qc.nextSync = now.Add(quarantineSyncInterval)
	qc.stored = make(map[quarantine.Fingerprint]bool, len(items))
	ct.readQuarantine(items)
}

// readQuarantine applies quarantine entries read from the store.
func (ct *control) readQuarantine(items []platform.Item) {
	now := ct.da.Clock.Now()
	if ct.quarantine.stored == nil {
		ct.quarantine.stored = make(map[quarantine.Fingerprint]bool)
	}
	for _, it := range items {
		var en quarantine.Entry
		if err := json.Unmarshal(it.Value, &en); err != nil || quarantinePrefix+en.Request.String() != it.Key {
			if !ct.loggedInvalid[it.Key] && len(ct.loggedInvalid) < maxLoggedInvalid {
				ct.loggedInvalid[it.Key] = true
				ct.da.Log.Warn("control: invalid quarantine entry ignored.", "key", it.Key, "revision", it.Revision)
			}
			continue
		}
		ct.quarantine.stored[en.Request] = true
		ct.noteQuarantined(ct.da.quarantine.Merge([]quarantine.Entry{en}, now), fromStore)
	}
}

// splitKeys splits the project's items in the store into daemons and quarantined requests.
func splitKeys(items []platform.Item) (daemons, quarantined []platform.Item) {
	for _, it := range items {
		switch {
		case strings.HasPrefix(it.Key, daemonPrefix):
			daemons = append(daemons, it)
		case strings.HasPrefix(it.Key, quarantinePrefix):
			quarantined = append(quarantined, it)
		}
	}
	return daemons, quarantined
}
