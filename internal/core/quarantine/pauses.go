package quarantine

import (
	"sync"
	"time"
)

const (
	// trialPause is the time after which a daemon asks again for a trial of the same parts.
	trialPause = 300 * time.Millisecond
	// maxTrialPauses bounds the sets of parts that are asked for in trialPause.
	maxTrialPauses = 32
)

// Pauses bounds how often a daemon asks another one for a trial: each request that it refuses could. The
// zero value is ready for use. It is safe for concurrent use.
type Pauses struct {
	mu sync.Mutex
	// askedAt is when a trial was last asked for, by the quarantined parts.
	askedAt map[string]time.Time
}

// MayAsk reports whether a trial of these parts may be asked for, and notes that it is.
func (pa *Pauses) MayAsk(held []Fingerprint, now time.Time) bool {
	var key []byte
	for _, fp := range held {
		key = append(key, fp[:]...)
	}
	pa.mu.Lock()
	defer pa.mu.Unlock()
	if now.Sub(pa.askedAt[string(key)]) < trialPause {
		return false
	}
	for old, at := range pa.askedAt {
		if now.Sub(at) >= trialPause {
			delete(pa.askedAt, old)
		}
	}
	if len(pa.askedAt) >= maxTrialPauses {
		return false
	}
	if pa.askedAt == nil {
		pa.askedAt = make(map[string]time.Time)
	}
	pa.askedAt[string(key)] = now
	return true
}
