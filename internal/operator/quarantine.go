package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"corianderhub.dev/corianderhub/internal/core/quarantine"
	"corianderhub.dev/corianderhub/pkg/admin"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

// maxReleaseBytes bounds the body of a release.
const maxReleaseBytes = 4 << 10

// Quarantine gives the administration API access to the quarantine.
type Quarantine interface {
	// Held returns what is in quarantine.
	Held() []quarantine.Entry
	// Release stores the release of a subject and tells it to all daemons. It returns a
	// *verdict.Error, with a reason, if the subject is not in quarantine or the release can't be
	// stored.
	Release(ctx context.Context, subject quarantine.Fingerprint, operator, reason string) (quarantine.Entry, error)
}

func (se *Server) listQuarantine(w http.ResponseWriter, _ *http.Request) {
	now := se.Clock.Now()
	out := admin.Quarantine{Subjects: []admin.Quarantined{}}
	for _, en := range se.Quarantine.Held() {
		out.Subjects = append(out.Subjects, Describe(en, now))
	}
	writeJSON(w, http.StatusOK, out)
}

func (se *Server) releaseQuarantine(w http.ResponseWriter, req *http.Request) {
	var re admin.Release
	if err := json.NewDecoder(io.LimitReader(req.Body, maxReleaseBytes)).Decode(&re); err != nil {
		writeRefusal(w, &verdict.Error{Code: verdict.CodeBadRequest, Verdict: verdict.NotRun, Message: err.Error()}, nil)
		return
	}
	subject, problems := CheckRelease(re)
	if len(problems) > 0 {
		writeRefusal(w, &verdict.Error{Code: verdict.CodeInvalid, Verdict: verdict.NotRun, Message: "the release was refused"}, problems)
		return
	}
	en, err := se.Quarantine.Release(req.Context(), subject, re.Operator, re.Reason)
	if err != nil {
		writeRefusal(w, verdict.As(err), nil)
		return
	}
	se.Log.Warn("Operator: released from quarantine.", "subject", subject, "operator", re.Operator, "reason", re.Reason)
	writeJSON(w, http.StatusOK, Describe(en, se.Clock.Now()))
}

// Describe returns an entry as operators see it.
func Describe(en quarantine.Entry, now time.Time) admin.Quarantined {
	out := admin.Quarantined{Subject: en.Subject.String(), Kind: admin.KindRequest, Since: en.Since, Until: en.Since.Add(quarantine.TTL), Held: en.Held(now)}
	if en.Part {
		out.Kind = admin.KindPart
	}
	return out
}

// maxReasonBytes bounds the reason of a release.
const maxReasonBytes = 500

// CheckRelease returns the subject of a release, and what is wrong with it.
func CheckRelease(re admin.Release) (quarantine.Fingerprint, []admin.Problem) {
	var subject quarantine.Fingerprint
	var problems []admin.Problem
	add := func(key, reason string) {
		problems = append(problems, admin.Problem{File: "release", Key: key, Reason: reason})
	}
	if err := subject.UnmarshalText([]byte(re.Subject)); err != nil {
		add("subject", "want 32 hexadecimal digits, as \"corianderhub quarantine list\" prints them")
	}
	switch reason := strings.TrimSpace(re.Reason); {
	case reason == "":
		add("reason", "is missing")
	case len(reason) > maxReasonBytes:
		add("reason", "is longer than 500 bytes")
	case strings.ContainsFunc(reason, func(ch rune) bool { return ch < ' ' }):
		add("reason", "has control characters")
	}
	return subject, problems
}
