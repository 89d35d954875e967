package admin

import (
	"context"
	"errors"
	"net/http"
	"time"

	"corianderhub.dev/corianderhub/pkg/verdict"
)

// Kinds of subjects in quarantine.
const (
	KindRequest = "request"
	KindPart    = "part"
)

// Quarantine lists what is in quarantine at one daemon.
type Quarantine struct {
	Subjects []Quarantined `json:"subjects"`
}

// Quarantined is a request, or a part of prompts, that servers have crashed on.
type Quarantined struct {
	// Subject is the fingerprint in 32 hexadecimal digits.
	Subject string `json:"subject"`
	// Kind is KindRequest or KindPart.
	Kind string `json:"kind"`
	// Since is the time of the latest crash, Until the end of the quarantine if there are no more.
	Since time.Time `json:"since"`
	Until time.Time `json:"until"`
	// Held reports whether requests with the subject are refused.
	Held bool `json:"held"`
}

// Release is the request to release a subject from quarantine.
type Release struct {
	Subject string `json:"subject"`
	// Operator and Reason are stored and logged with the release.
	Operator string `json:"operator"`
	Reason   string `json:"reason"`
}

// Quarantine returns what is in quarantine at the daemon.
func (cl *Client) Quarantine(ctx context.Context) (Quarantine, error) {
	var qu Quarantine
	return qu, cl.do(ctx, http.MethodGet, "quarantine", nil, &qu)
}

// Release releases a subject from quarantine at all daemons. It returns a *Refusal if the release is
// invalid or could not be stored. Repeating it is harmless.
func (cl *Client) Release(ctx context.Context, re Release) (Quarantined, error) {
	var done Quarantined
	err := cl.do(ctx, http.MethodPost, "quarantine/release", re, &done)
	var lost *responseError
	if errors.As(err, &lost) {
		return done, &Refusal{Code: verdict.CodeEndpointFailed, Verdict: verdict.MayHaveRun, Message: lost.Error()}
	}
	return done, err
}
