package peer

import (
	"time"

	"corianderhub.dev/corianderhub/internal/core/quarantine"
)

// QuarantineRequest requests the entries of the daemon's quarantine, unless they have the digest. The
// response is QuarantineResponse.
type QuarantineRequest struct {
	Digest uint64 `cbor:"1,keyasint"`
}

// QuarantineResponse is the response to QuarantineRequest.
type QuarantineResponse struct {
	Entries []QuarantineEntry `cbor:"1,keyasint,omitempty"`
}

// QuarantineReports reports crashes of engines, completions and released subjects. The response is
// EmptyResponse.
type QuarantineReports struct {
	Crashes     []quarantine.Crash      `cbor:"1,keyasint,omitempty"`
	Completions []quarantine.Completion `cbor:"2,keyasint,omitempty"`
	Released    []QuarantineEntry       `cbor:"3,keyasint,omitempty"`
}

// TrialRequest asks whether a request that is quarantined may be sent. The response is TrialResponse.
type TrialRequest struct {
	Request quarantine.Request `cbor:"1,keyasint"`
}

// TrialResponse is the response to TrialRequest.
type TrialResponse struct {
	Granted bool `cbor:"1,keyasint"`
}

// QuarantineEntry is a quarantine.Entry with its times in ns since 1970, 0 for none. They are the same at
// all daemons: ages would differ a little with each transfer, and a completion could seem to be before
// the crash that it clears.
type QuarantineEntry struct {
	Subject     quarantine.Fingerprint `cbor:"1,keyasint"`
	Part        bool                   `cbor:"2,keyasint,omitempty"`
	Since       int64                  `cbor:"3,keyasint"`
	CompletedAt int64                  `cbor:"4,keyasint,omitempty"`
	ReleasedAt  int64                  `cbor:"5,keyasint,omitempty"`
}

// QuarantineEntries converts entries for a message.
func QuarantineEntries(entries []quarantine.Entry) []QuarantineEntry {
	var out []QuarantineEntry
	for _, en := range entries {
		out = append(out, QuarantineEntry{en.Subject, en.Part, nanos(en.Since), nanos(en.CompletedAt), nanos(en.ReleasedAt)})
	}
	return out
}

// LedgerEntries converts the entries of a message.
func LedgerEntries(entries []QuarantineEntry) []quarantine.Entry {
	var out []quarantine.Entry
	for _, en := range entries {
		out = append(out, quarantine.Entry{Subject: en.Subject, Part: en.Part, Since: moment(en.Since), CompletedAt: moment(en.CompletedAt), ReleasedAt: moment(en.ReleasedAt)})
	}
	return out
}

func nanos(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixNano()
}

func moment(ns int64) time.Time {
	if ns == 0 {
		return time.Time{}
	}
	return time.Unix(0, ns)
}
