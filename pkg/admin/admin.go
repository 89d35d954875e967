// Package admin is the client of the administration API.
package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"corianderhub.dev/corianderhub/pkg/verdict"
)

// Apply asks to check, plan or apply a file of declarations.
type Apply struct {
	// File is the name to use in problems, Text the content in TOML.
	File string `json:"file"`
	Text string `json:"text"`
	// Operation identifies the apply across retries: repeating it with the
	// same identifier has no further effect. One is made if it is empty.
	Operation string `json:"operation"`
	Operator  string `json:"operator"`
	// Base is the revision that the operator has seen: the apply is refused
	// when an object it touches was changed since. Zero takes any.
	Base uint64 `json:"base"`
}

// Applied says what an apply did, or what it would do.
type Applied struct {
	Revision  uint64 `json:"revision"`
	Operation string `json:"operation,omitempty"`
	Changes   []Diff `json:"changes"`
}

// Diff describes one object that is added, changed or deleted.
type Diff struct {
	ID     string `json:"id"`
	Action string `json:"action"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Problem is one thing that is wrong with a file.
type Problem struct {
	File string `json:"file"`
	// Line is 0 where no single line is to blame.
	Line   int    `json:"line,omitempty"`
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

// Refusal is the form of every error of the API.
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

// Status is the state of the system as one daemon knows it.
type Status struct {
	// Revision is the configuration in force at the daemon that was asked.
	Revision uint64 `json:"revision"`
	Ready    bool   `json:"ready"`
	// Steward is the steward of the daemon's data center, if known.
	Steward string   `json:"steward"`
	Epoch   uint64   `json:"epoch"`
	Daemons []Daemon `json:"daemons"`
	Groups  []Group  `json:"groups"`
}

// Daemon is one daemon.
type Daemon struct {
	Name       string `json:"name"`
	DataCenter string `json:"data-center"`
	Caller     string `json:"caller"`
	State      string `json:"state"`
	// Revision is the configuration in force there; 0 if it did not answer.
	Revision uint64 `json:"revision"`
}

// Group is one replica.
type Group struct {
	ID       string   `json:"id"`
	Spec     string   `json:"spec"`
	Domain   string   `json:"domain"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	VMs      []string `json:"vms"`
	Draining bool     `json:"draining"`
	// Serving tells whether the asked daemon may send to the group now.
	Serving bool `json:"serving"`
}

// Explanation tells how a request was handled.
type Explanation struct {
	ID        string    `json:"id"`
	Path      string    `json:"path"`
	Workspace string    `json:"workspace"`
	Begin     time.Time `json:"begin"`
	Attempts  []Attempt `json:"attempts"`
	Outcome   string    `json:"outcome"`
	Error     string    `json:"error,omitempty"`
}

// Attempt is one decision on the way of a request.
type Attempt struct {
	At time.Time `json:"at"`
	// Target is the group or address.
	Target string `json:"target"`
	// Reason says why the target was chosen, or what came of it.
	Reason string `json:"reason"`
	// Load is the target's estimated load in tokens.
	Load int64 `json:"load"`
}

// Client asks one daemon. Set the fields before the first call.
type Client struct {
	// Address is the daemon's listener for operators, as IP:port.
	Address string
	Token   string
}

const maxAnswerBytes = 64 << 20

// Check checks a file on top of the configuration in force.
func (cl *Client) Check(ctx context.Context, ap Apply) (Applied, error) {
	return cl.apply(ctx, "check", ap)
}

// Plan returns what an apply would change.
func (cl *Client) Plan(ctx context.Context, ap Apply) (Applied, error) {
	return cl.apply(ctx, "plan", ap)
}

// Apply puts a file in force as a whole. A *Refusal whose verdict is
// may-have-run is settled by repeating the apply with the same operation.
func (cl *Client) Apply(ctx context.Context, ap Apply) (Applied, error) {
	return cl.apply(ctx, "apply", ap)
}

func (cl *Client) apply(ctx context.Context, verb string, ap Apply) (Applied, error) {
	var done Applied
	return done, cl.do(ctx, http.MethodPost, verb, ap, &done)
}

// Status returns the state of the system.
func (cl *Client) Status(ctx context.Context) (Status, error) {
	var st Status
	return st, cl.do(ctx, http.MethodGet, "status", nil, &st)
}

// Explain tells how the asked daemon handled a request.
func (cl *Client) Explain(ctx context.Context, requestID string) (Explanation, error) {
	var ex Explanation
	return ex, cl.do(ctx, http.MethodGet, "explain/"+requestID, nil, &ex)
}

// Drain begins the asked daemon's graceful stop.
func (cl *Client) Drain(ctx context.Context) error {
	return cl.do(ctx, http.MethodPost, "drain", nil, &struct{}{})
}

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
	rsp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrap(err, "administration")
	}
	defer rsp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(rsp.Body, maxAnswerBytes))
	if err != nil {
		return eris.Wrap(err, "administration")
	}
	if rsp.StatusCode != http.StatusOK {
		re := &Refusal{}
		if json.Unmarshal(answer, re) != nil || re.Code == "" {
			return eris.Errorf("administration: status %d", rsp.StatusCode)
		}
		return re
	}
	return eris.Wrap(json.Unmarshal(answer, into), "administration")
}
