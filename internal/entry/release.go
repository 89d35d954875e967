package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"corianderhub.dev/corianderhub/internal/core/quarantine"
	"corianderhub.dev/corianderhub/platform"
)

var releasedCount = metrics.NewCounter("corianderhub_quarantine_released_total")

// ErrNotQuarantined is returned for the release of a subject that the store doesn't hold.
var ErrNotQuarantined = eris.New("the store has no quarantine entry of this subject")

// storedRelease is a quarantine entry in the store that an operator has released. Daemons read the
// entry and ignore the rest but for their logs.
type storedRelease struct {
	quarantine.Entry
	Operator string `json:"operator"`
	Reason   string `json:"reason"`
}

// QuarantineStore reads and releases the quarantine entries in the store, for operators. Daemons on the
// platform serve no calls of operators; those that follow the store read the entries every
// quarantineSyncInterval and pass them on.
type QuarantineStore struct {
	Store *platform.Store
}

// NewQuarantineStore returns the entries in the store at address.
func NewQuarantineStore(address string) *QuarantineStore {
	return &QuarantineStore{platform.NewStore(address, storeTimeout)}
}

// Held returns the entries that are in quarantine. It leaves out invalid ones.
func (qs *QuarantineStore) Held(ctx context.Context, now time.Time) ([]quarantine.Entry, error) {
	items, _, err := qs.Store.Range(ctx, quarantinePrefix)
	if err != nil {
		return nil, err
	}
	var held []quarantine.Entry
	for _, it := range items {
		var en quarantine.Entry
		if json.Unmarshal(it.Value, &en) == nil && quarantinePrefix+en.Subject.String() == it.Key && en.Held(now) {
			held = append(held, en)
		}
	}
	return held, nil
}

// Release writes the release of a subject over its entry. It returns ErrNotQuarantined if there is none,
// platform.ErrConflict if the entry changed meanwhile, platform.ErrUnavailable if it was not stored, and
// platform.ErrUnknown if it may be.
func (qs *QuarantineStore) Release(ctx context.Context, subject quarantine.Fingerprint, operator, reason string, now time.Time) (quarantine.Entry, error) {
	key := quarantinePrefix + subject.String()
	it, err := qs.Store.Get(ctx, key)
	if err != nil {
		return quarantine.Entry{}, eris.Wrap(err, "read the quarantine entry")
	}
	var sr storedRelease
	if it.Revision == 0 || json.Unmarshal(it.Value, &sr) != nil || sr.Subject != subject || !sr.Held(now) {
		return quarantine.Entry{}, ErrNotQuarantined
	}
	sr.Operator, sr.Reason, sr.ReleasedAt = operator, reason, now
	if now.Before(sr.Since) {
		// The latest crash was dated by a clock ahead of this one.
		sr.ReleasedAt = sr.Since
	}
	raw, err := json.Marshal(sr)
	if err != nil {
		return sr.Entry, eris.Wrap(err, "encode release")
	}
	_, err = qs.Store.Txn(ctx, []platform.Condition{{Key: key, Revision: it.Revision}}, []platform.Put{{Key: key, Value: raw}}, nil)
	return sr.Entry, eris.Wrap(err, "store the release")
}

// noteReleased counts and logs a release that was read from the store.
func (ct *control) noteReleased(raw []byte) {
	var sr storedRelease
	if json.Unmarshal(raw, &sr) != nil {
		return
	}
	releasedCount.Inc()
	ct.da.Log.Warn("control: released from quarantine.", "subject", sr.Subject, "operator", sr.Operator, "reason", sr.Reason, "released", sr.ReleasedAt)
}
