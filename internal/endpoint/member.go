// Package endpoint speaks to endpoints: the model engines' members and the
// plain services beside them. Every failure it returns carries a verdict.
package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"corianderhub.dev/corianderhub/internal/core/fleet"
	"corianderhub.dev/corianderhub/internal/core/intent"
)

// Headers of the engines' protocol.
const (
	// HeaderRequestID carries the request's ID both ways.
	HeaderRequestID = "X-Request-Id"
	// HeaderGroup and HeaderFence name the group that a request is meant for.
	HeaderGroup = "X-Group"
	HeaderFence = "X-Fence"
	// HeaderVerdict is set to "not-run" by an endpoint that refuses a request.
	HeaderVerdict = "X-Verdict"
)

// OrderBody is an order on the wire.
type OrderBody struct {
	// Kind is "join", "release" or "prepare".
	Kind        string        `json:"kind"`
	Incarnation string        `json:"incarnation"`
	Fence       uint64        `json:"fence"`
	Generation  uint64        `json:"turn"`
	Group       string        `json:"group,omitempty"`
	Model       string        `json:"model,omitempty"`
	Version     string        `json:"version,omitempty"`
	Role        intent.Role   `json:"role,omitempty"`
	Adapters    []string      `json:"adapters,omitempty"`
	Ring        []RingAddress `json:"ring,omitempty"`
}

// RingAddress is a VM of the ring, the leader first.
type RingAddress struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
}

// Kinds of OrderBody.
const (
	KindJoin    = "join"
	KindRelease = "release"
	KindPrepare = "prepare"
)

const (
	probeTimeout   = time.Second
	orderTimeout   = 2 * time.Second
	maxReportBytes = 64 << 10
)

// Members asks and orders the engines' members.
type MemberClient struct {
	// Transport is shared by all members; http.DefaultTransport when nil.
	Transport http.RoundTripper
}

func (ms MemberClient) client() *http.Client { return &http.Client{Transport: ms.Transport} }

// Probe asks the member at addr for its report. Refused tells that the
// address refused the connection, so that no engine runs there.
func (ms MemberClient) Probe(ctx context.Context, addr string) (report *fleet.Report, refused bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/member", nil)
	if err != nil {
		return nil, false, eris.Wrap(err, "probe")
	}
	rsp, err := ms.client().Do(req)
	if err != nil {
		return nil, errors.Is(err, syscall.ECONNREFUSED), eris.Wrap(err, "probe")
	}
	defer rsp.Body.Close()
	if rsp.StatusCode != http.StatusOK {
		return nil, false, eris.Errorf("probe: status %d", rsp.StatusCode)
	}
	report = &fleet.Report{}
	err = json.NewDecoder(io.LimitReader(rsp.Body, maxReportBytes)).Decode(report)
	if err != nil {
		return nil, false, eris.Wrap(err, "probe")
	}
	return report, false, nil
}

// Send delivers an order. A refusal is no error for the caller to mend: the
// next plan starts from what the member reports.
func (ms MemberClient) Send(ctx context.Context, or fleet.Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	raw, err := json.Marshal(orderBody(or))
	if err != nil {
		return eris.Wrap(err, "order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+or.Target().Address+"/orders", bytes.NewReader(raw))
	if err != nil {
		return eris.Wrap(err, "order")
	}
	req.GetBody = nil
	rsp, err := ms.client().Do(req)
	if err != nil {
		return eris.Wrap(err, "order")
	}
	defer rsp.Body.Close()
	if rsp.StatusCode != http.StatusOK {
		return eris.Errorf("order refused: status %d", rsp.StatusCode)
	}
	return nil
}

func orderBody(or fleet.Order) OrderBody {
	switch or := or.(type) {
	case fleet.Join:
		body := OrderBody{Kind: KindJoin, Incarnation: or.Incarnation, Fence: or.Group.Fence, Generation: or.Generation,
			Group: or.Group.ID, Model: or.Group.Model, Version: or.Group.Version, Role: or.Group.Role, Adapters: or.Group.Adapters}
		for _, me := range or.Ring {
			body.Ring = append(body.Ring, RingAddress{VM: me.VM, Address: me.Address})
		}
		return body
	case fleet.Prepare:
		return OrderBody{Kind: KindPrepare, Incarnation: or.Incarnation, Fence: or.Fence, Generation: or.Generation, Model: or.Model, Version: or.Version}
	case fleet.Release:
		return OrderBody{Kind: KindRelease, Incarnation: or.Incarnation, Fence: or.Fence, Generation: or.Generation}
	}
	return OrderBody{}
}

// NewTransport returns a transport for endpoints that keeps up to perHost
// idle connections to each.
func NewTransport(perHost int) *http.Transport {
	return &http.Transport{
		DialContext:           (&net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}).DialContext,
		MaxIdleConnsPerHost:   perHost,
		IdleConnTimeout:       idleTimeout,
		DisableCompression:    true,
		ResponseHeaderTimeout: 0,
	}
}

const (
	dialTimeout = time.Second
	keepAlive   = 10 * time.Second
	idleTimeout = 30 * time.Second
)
