package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"corianderhub.dev/corianderhub/internal/core/gossip"
	"corianderhub.dev/corianderhub/internal/core/quarantine"
	"corianderhub.dev/corianderhub/internal/peer"
	"corianderhub.dev/corianderhub/internal/platform"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

const (
	// quarantineInterval is the time between two comparisons with the entries of another daemon, which
	// cover lost reports. startInterval applies until the first one has succeeded.
	quarantineInterval = time.Second
	startInterval      = 50 * time.Millisecond
	// releaseInterval is the time between two reads of the stored releases, while something is in
	// quarantine: 985 daemons make 33 of the 6,000 reads that the store allows a second.
	releaseInterval = 30 * time.Second
	// maxReports bounds the reports in one message and those that wait to be sent. What is dropped, the
	// comparisons tell if it led to a quarantine.
	maxReports = 64
	// maxReportsAge bounds the age of a report that is accepted.
	maxReportsAge = 15 * time.Minute
	// maxReportRequests and maxReportParts bound the requests of a reported crash and their parts.
	maxReportRequests, maxReportParts = 1024, 16
	// maxSenders bounds the concurrent calls that send reports. At 985 daemons and 1 ms a call, a broadcast
	// takes about 30 ms.
	maxSenders = 32
	// deciderKey selects the daemon that grants probes and trials.
	deciderKey = "quarantine/decider"
)

var (
	reportsDroppedTotal = metrics.NewCounter("corianderhub_quarantine_reports_dropped_total")
	probesTotal         = metrics.GetOrCreateCounter("corianderhub_quarantine_trials_total")
)

// quarantineExchange shares the crashes of engines, the completions and the quarantined subjects with
// the other daemons. Reports go to all of them at once. Each also compares its entries with those of a
// random other one, and so fetches them when it has just started.
type quarantineExchange struct {
	da      *Daemon
	ledger  quarantine.Ledger
	pauses  quarantine.Pauses
	reports chan any
	// senders holds a token for each call that sends reports.
	senders chan struct{}
}

func newQuarantineExchange(da *Daemon) *quarantineExchange {
	return &quarantineExchange{da: da, reports: make(chan any, maxReports), senders: make(chan struct{}, maxSenders)}
}

// tellCrash queues a crash that this daemon has recorded, to tell the others.
func (qe *quarantineExchange) tellCrash(en quarantine.Crash) { qe.tell(en) }

// tellCompletion queues a completion that this daemon has recorded.
func (qe *quarantineExchange) tellCompletion(an quarantine.Completion) { qe.tell(an) }

func (qe *quarantineExchange) tell(event any) {
	select {
	case qe.reports <- event:
	default:
		reportsDroppedTotal.Inc()
	}
}

// run sends reports and compares entries until ctx ends.
func (qe *quarantineExchange) run(ctx context.Context) error {
	next := time.NewTimer(startInterval)
	defer next.Stop()
	interval := startInterval
	releases := time.NewTicker(releaseInterval)
	defer releases.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-qe.reports:
			qe.broadcast(ctx, qe.collect(event))
		case <-releases.C:
			qe.readReleases(ctx)
		case <-next.C:
			qe.ledger.Sweep(qe.da.Clock.Now())
			if qe.compare(ctx) {
				interval = quarantineInterval
			}
			next.Reset(interval)
		}
	}
}

// collect returns a message with the event and those that wait.
func (qe *quarantineExchange) collect(event any) peer.QuarantineReports {
	var msg peer.QuarantineReports
	now := qe.da.Clock.Now()
	for num := 1; ; num++ {
		switch ev := event.(type) {
		case quarantine.Crash:
			ev.Age = now.Sub(ev.At)
			msg.Crashes = append(msg.Crashes, ev)
		case quarantine.Completion:
			ev.Age = now.Sub(ev.At)
			msg.Completions = append(msg.Completions, ev)
		case quarantine.Entry:
			msg.Released = append(msg.Released, peer.QuarantineEntries([]quarantine.Entry{ev})...)
		}
		if num == maxReports {
			return msg
		}
		select {
		case event = <-qe.reports:
		default:
			return msg
		}
	}
}

// broadcast sends the message to all other daemons that are not dead.
func (qe *quarantineExchange) broadcast(ctx context.Context, msg peer.QuarantineReports) {
	for _, dm := range qe.others() {
		select {
		case qe.senders <- struct{}{}:
		case <-ctx.Done():
			return
		}
		go func() {
			defer func() { <-qe.senders }()
			// A daemon that isn't reached learns of quarantined subjects by its comparisons.
			_ = qe.da.node.Call(ctx, dm.Peer, msg, &peer.EmptyResponse{})
		}()
	}
}

// others returns the other daemons that are not dead.
func (qe *quarantineExchange) others() []gossip.Daemon {
	var others []gossip.Daemon
	for _, dm := range qe.da.View().Daemons {
		if dm.Name != qe.da.Settings.Name && dm.State != gossip.Dead {
			others = append(others, dm)
		}
	}
	return others
}

// compare fetches the entries of a random other daemon if they differ, and reports whether it answered.
func (qe *quarantineExchange) compare(ctx context.Context) bool {
	others := qe.others()
	if len(others) == 0 {
		return false
	}
	dm := others[rand.IntN(len(others))]
	var an peer.QuarantineResponse
	if err := qe.da.node.Call(ctx, dm.Peer, peer.QuarantineRequest{Digest: qe.ledger.Digest(qe.da.Clock.Now())}, &an); err != nil {
		return false
	}
	qe.merge(peer.LedgerEntries(an.Entries), "daemon "+dm.Name)
	return true
}

// merge adds entries of another daemon or of the store.
func (qe *quarantineExchange) merge(entries []quarantine.Entry, from string) {
	qe.da.callerServer.NoteQuarantined(qe.ledger.Merge(entries, qe.da.Clock.Now()), from)
}

// entriesFor answers a comparison of another daemon.
func (qe *quarantineExchange) entriesFor(req peer.QuarantineRequest) peer.QuarantineResponse {
	now := qe.da.Clock.Now()
	if qe.ledger.Digest(now) == req.Digest {
		return peer.QuarantineResponse{}
	}
	return peer.QuarantineResponse{Entries: peer.QuarantineEntries(qe.ledger.Entries(now))}
}

// apply records the reports of another daemon. It returns an error, and records nothing, if they exceed
// the bounds.
func (qe *quarantineExchange) apply(msg peer.QuarantineReports) error {
	if len(msg.Crashes)+len(msg.Completions)+len(msg.Released) > maxReports {
		return eris.Errorf("quarantine reports: more than %d reports", maxReports)
	}
	for _, en := range msg.Crashes {
		if !validAge(en.Age) || len(en.Requests) > maxReportRequests {
			return eris.New("quarantine reports: crash too old or with too many requests")
		}
		for _, rq := range en.Requests {
			if len(rq.Parts) > maxReportParts {
				return eris.Errorf("quarantine reports: request with more than %d parts", maxReportParts)
			}
		}
	}
	now := qe.da.Clock.Now()
	for _, en := range msg.Crashes {
		en.At = now.Add(-en.Age)
		qe.da.callerServer.NoteQuarantined(qe.ledger.RecordCrash(en, now), "crash seen by another daemon")
	}
	for _, an := range msg.Completions {
		if validAge(an.Age) {
			an.At = now.Add(-an.Age)
			qe.ledger.RecordCompletion(an, now)
		}
	}
	qe.merge(peer.LedgerEntries(msg.Released), "released")
	return nil
}

func validAge(age time.Duration) bool { return age >= 0 && age <= maxReportsAge }

// claimProbe reports whether a quarantined request may be sent. The daemon that ranks first of the
// serving ones decides for all, so that there is one probe or trial at a time. If it can't be
// reached, the request is refused.
func (qe *quarantineExchange) claimProbe(ctx context.Context, rq quarantine.Request) bool {
	now := qe.da.Clock.Now()
	held := qe.ledger.HeldParts(rq, now)
	if len(held) == 0 {
		return false
	}
	var serving []gossip.Daemon
	for _, dm := range qe.da.View().Daemons {
		if dm.State == gossip.Serving {
			serving = append(serving, dm)
		}
	}
	first := gossip.Ranked(serving, deciderKey, 1)
	if len(first) == 0 || first[0].Name == qe.da.Settings.Name {
		return qe.grant(rq)
	}
	if !qe.pauses.MayAsk(held, now) {
		return false
	}
	var an peer.TrialResponse
	if err := qe.da.node.Call(ctx, first[0].Peer, peer.TrialRequest{Request: rq}, &an); err != nil {
		qe.da.Log.Info("Quarantine: asking for a trial failed.", "daemon", first[0].Name, "error", err)
		return false
	}
	return an.Granted
}

// grant decides on a probe or a trial.
func (qe *quarantineExchange) grant(rq quarantine.Request) bool {
	now := qe.da.Clock.Now()
	if len(rq.Parts) > maxReportParts || !qe.ledger.ClaimProbe(rq, now) && !qe.ledger.ClaimTrial(rq, now) {
		return false
	}
	probesTotal.Inc()
	qe.da.Log.Info("Quarantine: probe or trial granted.", "content", rq.Content, "parts", rq.Parts)
	return true
}

// releasedPrefix precedes a subject's fingerprint in the store's keys of releases.
const releasedPrefix = "quarantine/released/"

// storedRelease is the value of such a key.
type storedRelease struct {
	quarantine.Entry
	Operator string `json:"operator"`
	Reason   string `json:"reason"`
}

// Held implements operator.Quarantine.
func (qe *quarantineExchange) Held() []quarantine.Entry { return qe.ledger.Held(qe.da.Clock.Now()) }

// Release implements operator.Quarantine. The release is stored first: a daemon that isn't reached by a
// report reads it there.
func (qe *quarantineExchange) Release(ctx context.Context, subject quarantine.Fingerprint, operator, reason string) (quarantine.Entry, error) {
	held := qe.Held()
	i := slices.IndexFunc(held, func(en quarantine.Entry) bool { return en.Subject == subject })
	if i < 0 {
		return quarantine.Entry{}, &verdict.Error{Code: verdict.CodeNoRoute, Verdict: verdict.NotRun, Message: "the subject is not in quarantine at this daemon"}
	}
	en := held[i]
	en.ReleasedAt = qe.da.Clock.Now()
	if en.ReleasedAt.Before(en.Since) {
		// The latest crash was dated by a clock ahead of this one.
		en.ReleasedAt = en.Since
	}
	if err := qe.storeRelease(ctx, storedRelease{en, operator, reason}); err != nil {
		return en, err
	}
	qe.merge([]quarantine.Entry{en}, "released")
	qe.tell(en)
	return en, nil
}

// storeRelease writes a release to the store. It returns a *verdict.Error.
func (qe *quarantineExchange) storeRelease(ctx context.Context, sr storedRelease) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	raw, err := json.Marshal(sr)
	if err != nil {
		return eris.Wrap(err, "encode release")
	}
	key := releasedPrefix + sr.Subject.String()
	before, err := qe.da.platform.Get(ctx, key)
	if err != nil {
		return &verdict.Error{Code: verdict.CodePlatform, Verdict: verdict.NotRun, Message: "not released: the store can't be read", Cause: err}
	}
	_, err = qe.da.platform.Put(ctx, key, raw, before.Revision, "")
	switch {
	case errors.Is(err, platform.ErrUnknown):
		return &verdict.Error{Code: verdict.CodePlatform, Verdict: verdict.MayHaveRun, Message: "whether the release was stored is unknown; repeat it", Cause: err}
	case err != nil:
		return &verdict.Error{Code: verdict.CodePlatform, Verdict: verdict.NotRun, Message: "not released: the release can't be stored", Cause: err}
	}
	return nil
}

// readReleases merges the stored releases while something is in quarantine, and deletes old ones.
func (qe *quarantineExchange) readReleases(ctx context.Context) {
	now := qe.da.Clock.Now()
	if len(qe.ledger.Held(now)) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	items, err := qe.da.platform.List(ctx, releasedPrefix)
	if err != nil {
		qe.da.Log.Info("Quarantine: reading the stored releases failed.", "error", err)
		return
	}
	for _, it := range items {
		var sr storedRelease
		if err := json.Unmarshal(it.Value, &sr); err != nil || releasedPrefix+sr.Subject.String() != it.Key {
			qe.da.Log.Warn("Quarantine: invalid stored release ignored.", "key", it.Key)
			continue
		}
		if now.Sub(sr.ReleasedAt) >= quarantine.TTL {
			// Another daemon may have deleted it, or stored a newer one.
			_ = qe.da.platform.Delete(ctx, it.Key, it.Revision)
			continue
		}
		qe.merge([]quarantine.Entry{sr.Entry}, "store")
	}
}
