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

// A request may end each server that begins to run it, and its caller, or a daemon, sends it
// again: group after group is lost, with all the answers that it was giving. Each attempt
// has an identifier of its own and may come to any daemon, so what an attempt shows is worth
// nothing unless it is kept with the request's content and told to all. Daemons tell each
// other the ends that they see; the request that three servers ended under is quarantined,
// which is kept at the store, so that it outlasts all daemons.

// quarantinePrefix precedes a fingerprint in the store's keys.
const quarantinePrefix = keyPrefix + "quarantine/"

const (
	// tellTimes is in how many beats the others are told of an end; some may be lost.
	tellTimes = 3
	// maxTellings bounds what is kept to be told to a new steward, maxTold the requests that
	// one beat names: 4 KB of them.
	maxTellings = 256
	maxTold     = 256
	// retellFor is how long ago it may have been seen.
	retellFor = 15 * time.Minute
	// fetchPause is the time between calls for what other daemons have quarantined.
	fetchPause = time.Second
	// quarantineEvery is the time between looks at the store. A daemon that hears no other
	// one learns there what they quarantine.
	quarantineEvery = 2 * time.Second
	// maxQuarantinePause bounds it while the store does not answer.
	maxQuarantinePause = 8 * time.Second
	// maxChanges is how many keys the store takes in one transaction.
	maxChanges = 32
	// maxLogged bounds the requests that one line names.
	maxLogged = 40
)

// Counters of ends and of what they led to.
var (
	endedCount       = metrics.NewCounter("corianderhub_endpoints_ended_total")
	quarantinedCount = metrics.NewCounter("corianderhub_requests_quarantined_total")
)

// quarantineControl is the control state's part for requests that end servers.
type quarantineControl struct {
	// tellings are what this daemon has seen, the oldest first.
	tellings []telling
	// stored are the requests that the store names.
	stored map[quarantine.Fingerprint]bool
	// due is when to look at the store next, pause the time between looks while it does
	// not answer; looking is set while that goes on.
	due     time.Time
	pause   time.Duration
	looking bool
	// fetchedAt is when another daemon was last asked.
	fetchedAt time.Time
}

// telling is one thing that the others are told of, for some beats: an end, or an answer.
type telling struct {
	ended     *quarantine.Crash
	answered  *quarantine.Completion
	at, until time.Time
}

// size is how many requests it names.
func (te *telling) size() int {
	if te.ended != nil {
		return len(te.ended.Requests)
	}
	return 1
}

// endedUnder takes in that this daemon has seen an endpoint end under requests.
func (ct *control) endedUnder(endpoint string, requests []quarantine.Fingerprint) {
	now := ct.da.Clock.Now()
	endedCount.Inc()
	ct.da.Log.Info("control: endpoint ended under requests.", "endpoint", endpoint, "requests", len(requests),
		"contents", requests[:min(maxLogged, len(requests))])
	en := quarantine.Crash{Endpoint: endpoint, AtMillis: now.UnixMilli(), Requests: requests}
	ct.hearEnd(en, now)
	ct.tell(telling{ended: &en, at: now})
	ct.sendBeat(beatExtra{to: mesh.ToSteward})
}

// answered takes in that a request was answered whole under which endpoints had ended.
func (ct *control) answered(fp quarantine.Fingerprint) {
	now := ct.da.Clock.Now()
	an := quarantine.Completion{Request: fp, AtMillis: now.UnixMilli()}
	ct.da.quarantine.RecordCompletion(an, now)
	ct.tell(telling{answered: &an, at: now})
}

// hearEnd takes in an end that this daemon or another one has seen.
func (ct *control) hearEnd(en quarantine.Crash, now time.Time) {
	ct.quarantined(ct.da.quarantine.RecordCrash(en, now), "ends")
}

// quarantined notes requests that are quarantined from now on.
func (ct *control) quarantined(requests []quarantine.Fingerprint, from string) {
	for _, fp := range requests {
		quarantinedCount.Inc()
		ct.da.Log.Warn("control: request quarantined.", "content", fp, "from", from)
		// Whoever follows the store writes it there at once.
		ct.quarantine.due = time.Time{}
	}
}

func (ct *control) tell(te telling) {
	qc := &ct.quarantine
	te.until = te.at.Add(ct.tellFor())
	qc.tellings = append(qc.tellings, te)
	if len(qc.tellings) > maxTellings {
		qc.tellings = qc.tellings[len(qc.tellings)-maxTellings:]
	}
}

// tellFor is how long the others are told of something.
func (ct *control) tellFor() time.Duration { return tellTimes * ct.da.mesh.WorkInterval() }

// retell tells again what this daemon has seen, where daemons are many: nobody but the
// steward counts the ends there, and a new one may not have heard of them.
func (ct *control) retell(now time.Time) {
	if ct.da.mesh.Direct() {
		return
	}
	for i := range ct.quarantine.tellings {
		if te := &ct.quarantine.tellings[i]; now.Sub(te.at) < retellFor {
			te.until = now.Add(ct.tellFor())
		}
	}
}

// tellQuarantine adds to a beat what the others are to know of requests that end endpoints.
func (ct *control) tellQuarantine(be *mesh.Heartbeat, now time.Time) {
	be.Quarantine = ct.da.quarantine.Digest(now)
	told := 0
	for _, te := range slices.Backward(ct.quarantine.tellings) {
		if now.After(te.until) {
			continue
		}
		if told += te.size(); told > maxTold {
			return
		}
		if te.ended != nil {
			be.Crashes = append(be.Crashes, *te.ended)
		} else {
			be.Completions = append(be.Completions, *te.answered)
		}
	}
}

// hearQuarantine takes in what another daemon told of them. What it has quarantined and this
// one has not is fetched.
func (ct *control) hearQuarantine(be mesh.Heartbeat, now time.Time) {
	for _, en := range be.Crashes {
		ct.hearEnd(en, now)
	}
	for _, an := range be.Completions {
		ct.da.quarantine.RecordCompletion(an, now)
	}
	if be.Quarantine == 0 || be.Quarantine == ct.da.quarantine.Digest(now) || now.Sub(ct.quarantine.fetchedAt) < fetchPause {
		return
	}
	ct.quarantine.fetchedAt = now
	ct.fetch("quarantine", func(ctx context.Context) func() {
		entries, err := ct.da.peers.Quarantine(ctx, be.IP)
		if err != nil {
			ct.da.Log.Info("control: quarantine not fetched.", "from", be.Name, "cause", err.Error())
			return nil
		}
		return func() { ct.quarantined(ct.da.quarantine.Merge(entries, ct.da.Clock.Now()), "daemon "+be.Name) }
	})
}

// stepQuarantine keeps the store and this daemon in step about quarantined requests, while
// it is one of those that follow the store.
func (ct *control) stepQuarantine(now time.Time) {
	qc := &ct.quarantine
	few := ct.lease.core != nil || ct.deputy.Load() || ct.da.mesh.Direct()
	if !ct.follows() || !few || qc.looking || now.Before(qc.due) {
		return
	}
	qc.looking = true
	puts, deletes := ct.quarantineChanges(now)
	ct.da.once(&ct.wg, func(ctx context.Context) {
		items, err := ct.syncQuarantine(ctx, puts, deletes)
		ct.post(func() { ct.quarantineSynced(items, err) })
	})
}

// quarantineChanges returns what the store lacks, and what it names in vain.
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

// syncQuarantine writes what has changed and reads what the store names then.
func (ct *control) syncQuarantine(ctx context.Context, puts []quarantine.Entry, deletes []quarantine.Fingerprint) ([]platform.Item, error) {
	var writes []platform.Put
	for _, en := range puts {
		raw, err := json.Marshal(en)
		if err != nil {
			return nil, eris.Wrap(err, "quarantine")
		}
		writes = append(writes, platform.Put{Key: quarantinePrefix + en.Request.String(), Value: raw})
	}
	var keys []string
	for _, fp := range deletes {
		keys = append(keys, quarantinePrefix+fp.String())
	}
	// One transaction each, so that both fit. A write that is repeated, or takes effect late,
	// writes what every daemon would write.
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

// quarantineSynced takes in what came of a look at the store.
func (ct *control) quarantineSynced(items []platform.Item, err error) {
	qc := &ct.quarantine
	qc.looking = false
	now := ct.da.Clock.Now()
	if err != nil {
		ct.da.Log.Info("control: quarantine not in step with the store.", "cause", err.Error())
		qc.pause = min(maxQuarantinePause, max(quarantineEvery, 2*qc.pause))
		qc.due = now.Add(qc.pause)
		return
	}
	qc.pause = 0
	qc.due = now.Add(quarantineEvery)
	qc.stored = make(map[quarantine.Fingerprint]bool, len(items))
	ct.readQuarantine(items)
}

// readQuarantine takes in what the store names.
func (ct *control) readQuarantine(items []platform.Item) {
	now := ct.da.Clock.Now()
	if ct.quarantine.stored == nil {
		ct.quarantine.stored = make(map[quarantine.Fingerprint]bool)
	}
	for _, it := range items {
		var en quarantine.Entry
		if err := json.Unmarshal(it.Value, &en); err != nil || quarantinePrefix+en.Request.String() != it.Key {
			if !ct.setAside[it.Key] && len(ct.setAside) < maxSetAside {
				ct.setAside[it.Key] = true
				ct.da.Log.Warn("control: quarantine entry set aside.", "key", it.Key, "revision", it.Revision)
			}
			continue
		}
		ct.quarantine.stored[en.Request] = true
		ct.quarantined(ct.da.quarantine.Merge([]quarantine.Entry{en}, now), fromStore)
	}
}

// splitKeys parts the project's own items of the store into daemons and quarantined requests.
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
