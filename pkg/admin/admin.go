// Package admin is the client of the administration API, through which operators check
// and apply declarations and inspect and drain daemons.
package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"corianderhub.dev/corianderhub/internal/httphead"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

// Apply is the request to check, plan or apply a file of declarations.
type Apply struct {
	// File is the name that problems refer to, Text the content in TOML.
	File string `json:"file"`
	Text string `json:"text"`
	// Operation identifies the apply across retries: repeating it with the
	// same identifier has no further effect. If it is empty, the daemon generates one.
	Operation string `json:"operation"`
	// Operator is the name of the operator, which is stored with the changes.
	Operator string `json:"operator"`
	// Base is the revision that the operator has seen: the apply is refused
	// if an object that it names was changed since. Zero disables the check.
	Base uint64 `json:"base"`
}

// Applied is the result of an apply, or of the check or plan of one.
type Applied struct {
	// Revision is the configuration that contains the changes. For a check or plan it
	// is the one that they were compared with.
	Revision  uint64 `json:"revision"`
	Operation string `json:"operation,omitempty"`
	Changes   []Diff `json:"changes"`
}

// Diff is one object that is added, changed or deleted.
type Diff struct {
	// ID is the object's kind and name, such as "workspace/nursery".
	ID string `json:"id"`
	// Action is "add", "change" or "delete".
	Action string `json:"action"`
	// Before and After are the object before and after the change; empty if it did
	// not exist.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Problem is one problem in a file.
type Problem struct {
	File string `json:"file"`
	// Line is the number of the line, from 1, or 0 if the problem is not in one line.
	Line int `json:"line,omitempty"`
	// Key is the key in the file; empty if the problem is not in one key.
	Key    string `json:"key,omitempty"`
	Reason string `json:"reason"`
}

// String returns the problem in the form file:line: key: reason.
func (pr Problem) String() string {
	text := pr.File
	if pr.Line > 0 {
		text += fmt.Sprintf(":%d", pr.Line)
	}
	if pr.Key != "" {
		text += ": " + pr.Key
	}
	return text + ": " + pr.Reason
}

// Refusal is an error response of the API. Its verdict says whether the request may
// have taken effect.
type Refusal struct {
	Code     verdict.Code    `json:"code"`
	Verdict  verdict.Verdict `json:"verdict"`
	Message  string          `json:"message"`
	Problems []Problem       `json:"problems,omitempty"`
}

// Error implements the error interface.
func (re *Refusal) Error() string {
	lines := []string{fmt.Sprintf("%s (%s): %s", re.Code, re.Verdict, re.Message)}
	for _, pr := range re.Problems {
		lines = append(lines, pr.String())
	}
	return strings.Join(lines, "\n")
}

// Status is the state of the system as one daemon sees it.
type Status struct {
	// Revision is the configuration in force at the daemon that was called.
	Revision uint64 `json:"revision"`
	// Ready reports whether that daemon knows the configuration and is not stopping.
	Ready bool `json:"ready"`
	// Steward is the steward of the daemon's data centre, if known, and Epoch the
	// epoch of its lease.
	Steward string   `json:"steward"`
	Epoch   uint64   `json:"epoch"`
	Daemons []Daemon `json:"daemons"`
	Groups  []Group  `json:"groups"`
}

// Daemon is the state of one daemon.
type Daemon struct {
	Name       string `json:"name"`
	DataCenter string `json:"data-center"`
	// Caller is the address of the daemon's caller listener, as IP:port.
	Caller string `json:"caller"`
	// State is "serving", "leaving" or "dead".
	State string `json:"state"`
	// Revision is the configuration in force at the daemon; 0 if it did not answer.
	Revision uint64 `json:"revision"`
}

// Group is the state of one replica.
type Group struct {
	ID string `json:"id"`
	// Spec is the name of the declared group that the replica belongs to.
	Spec string `json:"spec"`
	// Domain is the fabric domain of the replica's VMs.
	Domain   string   `json:"domain"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	VMs      []string `json:"vms"`
	Draining bool     `json:"draining"`
	// Serving reports whether the daemon that was called may send to the group now.
	Serving bool `json:"serving"`
}

// Explanation describes how a daemon handled a request.
type Explanation struct {
	ID        string    `json:"id"`
	Path      string    `json:"path"`
	Workspace string    `json:"workspace"`
	Begin     time.Time `json:"begin"`
	Attempts  []Attempt `json:"attempts"`
	// Outcome is "ok" or the verdict.Code of the error. It is empty while the request is
	// in progress.
	Outcome string `json:"outcome"`
	Error   string `json:"error,omitempty"`
}

// Attempt is one routing decision for a request, or the result of one.
type Attempt struct {
	At time.Time `json:"at"`
	// Target is the ID of the group or the address of the endpoint.
	Target string `json:"target"`
	// Reason says why the target was chosen, or what the result was.
	Reason string `json:"reason"`
	// Load is the target's estimated load in tokens.
	Load int64 `json:"load"`
}

// Client calls the administration API of one daemon. Set the fields before the first
// call.
type Client struct {
	// Address is the daemon's listener for operators, as IP:port.
	Address string
	// Token is the operators' secret token.
	Token string
}

// maxResponseBytes bounds how much of a response body is read.
const maxResponseBytes = 64 << 20

// Check checks a file on top of the configuration in force. It returns a *Refusal that
// lists all problems if there are any.
func (cl *Client) Check(ctx context.Context, ap Apply) (Applied, error) {
	return cl.apply(ctx, "check", ap)
}

// Plan returns the changes that an apply of the file would make.
func (cl *Client) Plan(ctx context.Context, ap Apply) (Applied, error) {
	return cl.apply(ctx, "plan", ap)
}

// Apply applies a file as a whole or not at all. If it returns a *Refusal with the
// verdict may-have-run, the outcome is unknown: repeat the call with the same operation.
func (cl *Client) Apply(ctx context.Context, ap Apply) (Applied, error) {
	done, err := cl.apply(ctx, "apply", ap)
	var lost *responseError
	if errors.As(err, &lost) {
		return done, &Refusal{Code: verdict.CodeEndpointFailed, Verdict: verdict.MayHaveRun, Message: lost.Error()}
	}
	return done, err
}

// responseError means that a request may have arrived, and that its response was lost.
type responseError struct {
	cause error
}

// Error implements the error interface.
func (re *responseError) Error() string { return "the daemon's response was lost: " + re.cause.Error() }

// Unwrap returns the cause.
func (re *responseError) Unwrap() error { return re.cause }

func (cl *Client) apply(ctx context.Context, verb string, ap Apply) (Applied, error) {
	var done Applied
	return done, cl.do(ctx, http.MethodPost, verb, ap, &done)
}

// Status returns the state of the system as the daemon sees it.
func (cl *Client) Status(ctx context.Context) (Status, error) {
	var st Status
	return st, cl.do(ctx, http.MethodGet, "status", nil, &st)
}

// Explain returns how the daemon handled a request. Daemons keep only their latest
// requests; it returns a *Refusal if the daemon has no record of this one.
func (cl *Client) Explain(ctx context.Context, requestID string) (Explanation, error) {
	var ex Explanation
	return ex, cl.do(ctx, http.MethodGet, "explain/"+requestID, nil, &ex)
}

// Drain starts the daemon's graceful stop and returns without waiting for its end.
func (cl *Client) Drain(ctx context.Context) error {
	return cl.do(ctx, http.MethodPost, "drain", nil, &struct{}{})
}

// do sends body as JSON to path and stores the decoded response in into. Any status but
// 200 is an error: a *Refusal if the response has its form.
func (cl *Client) do(ctx context.Context, method, path string, body, into any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "administration")
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+cl.Address+"/admin/"+path, bytes.NewReader(raw))
	if err != nil {
		return eris.Wrap(err, "administration")
	}
	req.Header.Set("Authorization", "Bearer "+cl.Token)
	rsp, err := httphead.Do(http.DefaultClient, req)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return eris.Wrap(err, "administration")
	}
	if err != nil {
		return &responseError{err}
	}
	defer rsp.Body.Close()
	respBody, err := io.ReadAll(io.LimitReader(rsp.Body, maxResponseBytes))
	if err != nil {
		return &responseError{err}
	}
	if rsp.StatusCode != http.StatusOK {
		re := &Refusal{}
		if json.Unmarshal(respBody, re) != nil || re.Code == "" {
			return eris.Errorf("administration: status %d", rsp.StatusCode)
		}
		return re
	}
	return eris.Wrap(json.Unmarshal(respBody, into), "administration")
}
