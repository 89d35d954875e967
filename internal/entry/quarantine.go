package entry

import (
	"context"
	"encoding/json"
	"errors"
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
// ID and may reach any daemon, and requests that differ may share the part of their prompts
// that servers crash on. So crashes must be recorded by the request's content and by its
// parts, and shared among all daemons. Daemons announce the crashes that they see. What
// enough servers have crashed under is quarantined; the quarantine is kept in the store, so
// that it survives the loss of all daemons.

// quarantinePrefix precedes a subject's fingerprint in the store's keys.
const quarantinePrefix = keyPrefix + "quarantine/"

const (
	// announceRepeats is the number of heartbeats that carry an announcement, since
	// some may be lost.
	announceRepeats = 3
	// maxAnnouncements bounds the announcements kept for a new steward.
	// maxAnnouncedSubjects bounds the fingerprints in one heartbeat, which take 16 KB.
	maxAnnouncements     = 256
	maxAnnouncedSubjects = 1024
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
	// releaseRetention is how long the store keeps the entry of a released subject. Daemons that
	// hear no others read it there, at least every maxQuarantinePause.
	releaseRetention = time.Minute
	// maxStewardSilence is the time without a steward after which a daemon judges by what it has
	// seen itself.
	maxStewardSilence = 3 * time.Second
	// maxChanges bounds the keys of one transaction. The store accepts 32, conditions included.
	maxChanges = 16
	// maxLoggedRequests bounds the requests named in one log line.
	maxLoggedRequests = 40
)

// Counters of crashes and of the resulting quarantine entries.
var (
	crashCount           = metrics.NewCounter("corianderhub_endpoints_ended_total")
	quarantinedCount     = metrics.NewCounter("corianderhub_requests_quarantined_total")
	quarantinedPartCount = metrics.NewCounter("corianderhub_parts_quarantined_total")
)

// quarantineControl is the part of the control state for requests that crash servers.
type quarantineControl struct {
	// announcements are the events that this daemon has seen, oldest first.
	announcements []announcement
	// stored are the entries that the store was found to hold.
	stored map[quarantine.Fingerprint]storedEntry
	// nextSync is the time of the next synchronization with the store, pause the time
	// between attempts while the store does not answer. syncing is set while a
	// synchronization is in flight.
	nextSync time.Time
	pause    time.Duration
	syncing  bool
	// fetchedAt is when this daemon last fetched another daemon's entries.
	fetchedAt time.Time
}

// storedEntry is what is known of an entry in the store: its revision, and when an operator released the
// subject, or zero.
type storedEntry struct {
	revision   int64
	releasedAt time.Time
}

// announcement is an event that is sent with some heartbeats: either a crash or a
// completion. at is the time of the event, until the end of its announcement.
type announcement struct {
	crash      *quarantine.Crash
	completion *quarantine.Completion
	at, until  time.Time
}

// size returns the number of fingerprints in the announcement.
func (te *announcement) size() int {
	if te.crash == nil {
		return 1
	}
	num := 0
	for _, rq := range te.crash.Requests {
		num += 1 + len(rq.Parts)
	}
	return num
}

// endpointCrashed records and announces that this daemon has seen an endpoint crash while
// it processed the requests.
func (ct *control) endpointCrashed(endpoint string, requests []quarantine.Request) {
	now := ct.da.Clock.Now()
	crashCount.Inc()
	ct.da.quarantine.MarkProven(requests)
	var contents []quarantine.Fingerprint
	for _, rq := range requests[:min(maxLoggedRequests, len(requests))] {
		contents = append(contents, rq.Content)
	}
	ct.da.Log.Info("control: endpoint ended under requests.", "endpoint", endpoint, "requests", len(requests), "contents", contents)
	en := quarantine.Crash{Endpoint: endpoint, At: now, Requests: requests}
	ct.applyCrash(en, now)
	ct.announce(announcement{crash: &en, at: now})
	ct.sendHeartbeat(heartbeatExtra{to: mesh.ToSteward})
}

// subjectCompleted records and announces that a request completed, or one with a part, under
// which endpoints had crashed before.
func (ct *control) subjectCompleted(fp quarantine.Fingerprint, took time.Duration) {
	now := ct.da.Clock.Now()
	an := quarantine.Completion{Subject: fp, At: now, Took: took}
	held := ct.da.quarantine.Holds(fp, now)
	ct.da.quarantine.RecordCompletion(an, now)
	ct.quarantine.announcements = slices.DeleteFunc(ct.quarantine.announcements, func(te announcement) bool {
		return te.completion != nil && te.completion.Subject == fp
	})
	ct.announce(announcement{completion: &an, at: now})
	if held {
		// Until the others know, they refuse requests with it.
		ct.sendHeartbeat(heartbeatExtra{to: mesh.ToSteward})
	}
}

// applyCrash applies a crash that this daemon or another one has seen.
func (ct *control) applyCrash(en quarantine.Crash, now time.Time) {
	ct.noteQuarantined(ct.da.quarantine.RecordCrash(en, now), "ends")
}

// noteQuarantined counts and logs newly quarantined requests and parts.
func (ct *control) noteQuarantined(entries []quarantine.Entry, from string) {
	for _, en := range entries {
		if en.Part {
			quarantinedPartCount.Inc()
			ct.da.Log.Warn("control: part of prompts quarantined.", "part", en.Subject, "from", from)
		} else {
			quarantinedCount.Inc()
			ct.da.Log.Warn("control: request quarantined.", "content", en.Subject, "from", from)
		}
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
// newest first, up to maxAnnouncedSubjects.
func (ct *control) addQuarantine(be *mesh.Heartbeat, now time.Time) {
	be.QuarantineDigest = ct.da.quarantine.Digest(now)
	total := 0
	for _, te := range slices.Backward(ct.quarantine.announcements) {
		if now.After(te.until) {
			continue
		}
		if total += te.size(); total > maxAnnouncedSubjects {
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

// defersParts reports whether the steward judges the parts of prompts. It receives the reports of
// all daemons, this one only its own.
func (ct *control) defersParts(now time.Time) bool {
	return !ct.da.mesh.Direct() && !ct.lease.ready() && now.Sub(ct.lastStewardHeartbeat) < maxStewardSilence
}

// stepQuarantine synchronizes the quarantine with the store while this daemon follows it.
func (ct *control) stepQuarantine(now time.Time) {
	qc := &ct.quarantine
	syncs := ct.lease.core != nil || ct.deputy.Load() || ct.da.mesh.Direct()
	if !ct.follows() || !syncs || qc.syncing || now.Before(qc.nextSync) {
		return
	}
	qc.syncing = true
	changes, err := ct.quarantineChanges(now)
	if err != nil {
		ct.da.Log.Error("control: quarantine entries not stored.", "cause", err.Error())
	}
	ct.da.spawn(&ct.wg, func(ctx context.Context) {
		items, err := ct.syncQuarantine(ctx, changes)
		ct.post(func() { ct.quarantineSynced(items, err) })
	})
}

// quarantineChange are writes to the quarantine in the store and the revisions that they require. One that
// is repeated or takes effect late must not write over the release of an operator.
type quarantineChange struct {
	conditions []platform.Condition
	puts       []platform.Put
	deletes    []string
}

// quarantineChanges returns the changes that add the entries which the store lacks, and those that delete
// the ones no longer in quarantine.
func (ct *control) quarantineChanges(now time.Time) ([]quarantineChange, error) {
	held := ct.da.quarantine.Held(now)
	var puts, deletes quarantineChange
	for fp, se := range ct.quarantine.stored {
		isHeld := slices.ContainsFunc(held, func(en quarantine.Entry) bool { return en.Subject == fp })
		if !isHeld && now.Sub(se.releasedAt) >= releaseRetention && len(deletes.deletes) < maxChanges {
			key := quarantinePrefix + fp.String()
			deletes.deletes = append(deletes.deletes, key)
			deletes.conditions = append(deletes.conditions, platform.Condition{Key: key, Revision: se.revision})
		}
	}
	for _, en := range held {
		se, ok := ct.quarantine.stored[en.Subject]
		if ok && se.releasedAt.IsZero() || len(puts.puts) >= maxChanges {
			continue
		}
		raw, err := json.Marshal(en)
		if err != nil {
			return nil, eris.Wrap(err, "encode quarantine entry")
		}
		key := quarantinePrefix + en.Subject.String()
		puts.puts = append(puts.puts, platform.Put{Key: key, Value: raw})
		puts.conditions = append(puts.conditions, platform.Condition{Key: key, Revision: se.revision})
	}
	// Puts and deletes use separate transactions to stay within the limit of keys.
	return []quarantineChange{puts, deletes}, nil
}

// syncQuarantine writes the changes to the store and returns the items that it holds
// afterwards.
func (ct *control) syncQuarantine(ctx context.Context, changes []quarantineChange) ([]platform.Item, error) {
	for _, ch := range changes {
		if len(ch.conditions) == 0 {
			continue
		}
		// After a conflict, the next synchronization has the new revisions.
		if _, err := ct.da.store.Txn(ctx, ch.conditions, ch.puts, ch.deletes); err != nil && !errors.Is(err, platform.ErrConflict) {
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
	qc.stored = make(map[quarantine.Fingerprint]storedEntry, len(items))
	ct.readQuarantine(items)
}

// readQuarantine applies quarantine entries read from the store.
func (ct *control) readQuarantine(items []platform.Item) {
	now := ct.da.Clock.Now()
	if ct.quarantine.stored == nil {
		ct.quarantine.stored = make(map[quarantine.Fingerprint]storedEntry)
	}
	for _, it := range items {
		var en quarantine.Entry
		if err := json.Unmarshal(it.Value, &en); err != nil || quarantinePrefix+en.Subject.String() != it.Key {
			if !ct.loggedInvalid[it.Key] && len(ct.loggedInvalid) < maxLoggedInvalid {
				ct.loggedInvalid[it.Key] = true
				ct.da.Log.Warn("control: invalid quarantine entry ignored.", "key", brief(it.Key), "revision", it.Revision)
			}
			continue
		}
		ct.quarantine.stored[en.Subject] = storedEntry{it.Revision, en.ReleasedAt}
		if !en.ReleasedAt.IsZero() && ct.da.quarantine.Holds(en.Subject, now) {
			ct.noteReleased(it.Value)
		}
		ct.noteQuarantined(ct.da.quarantine.Merge([]quarantine.Entry{en}, now), fromStore)
	}
}

// splitKeys splits the project's items in the store into daemons and quarantined subjects.
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
