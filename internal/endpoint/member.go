// Package endpoint is the HTTP client for endpoints: the members of model engines and plain
// services. Failed completions and service calls return a *verdict.Error, which states whether
// the request may have run.
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
	"corianderhub.dev/corianderhub/internal/http1"
	"corianderhub.dev/corianderhub/internal/httphead"
)

// Headers of the engine protocol.
const (
	// HeaderRequestID carries the request ID in requests and responses.
	HeaderRequestID = "X-Request-Id"
	// HeaderGroup and HeaderFence identify the group, by its ID and fencing token, that a
	// request is meant for.
	HeaderGroup = "X-Group"
	HeaderFence = "X-Fence"
	// HeaderVerdict is set to "not-run" by an endpoint that refuses a request.
	HeaderVerdict = "X-Verdict"
)

// OrderBody is the JSON body of an order to a member.
type OrderBody struct {
	// Kind is KindJoin, KindRelease or KindPrepare.
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

// RingAddress is a VM in a group's ring and its address. The leader is the first of a ring.
type RingAddress struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
}

// Values of OrderBody.Kind.
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

// MemberClient probes engine members and sends orders to them.
type MemberClient struct {
	// Transport is shared by all members. If it is nil, http.DefaultTransport is used.
	Transport http.RoundTripper
}

func (ms MemberClient) client() *http.Client { return &http.Client{Transport: ms.Transport} }

// Probe requests the report of the member at addr. refused is set when the address refuses the
// connection, which means that no engine runs there.
func (ms MemberClient) Probe(ctx context.Context, addr string) (report *fleet.Report, refused bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/member", nil)
	if err != nil {
		return nil, false, eris.Wrap(err, "create probe request")
	}
	rsp, err := httphead.Do(ms.client(), req)
	if err != nil {
		return nil, errors.Is(err, syscall.ECONNREFUSED), eris.Wrap(err, "probe member")
	}
	defer rsp.Body.Close()
	if rsp.StatusCode != http.StatusOK {
		return nil, false, eris.Errorf("probe member: status %d, want 200", rsp.StatusCode)
	}
	report = &fleet.Report{}
	err = json.NewDecoder(io.LimitReader(rsp.Body, maxReportBytes)).Decode(report)
	if err != nil {
		return nil, false, eris.Wrap(err, "decode member report")
	}
	return report, false, nil
}

// Send delivers an order. It returns an error when the member refuses the order; the caller
// need not handle a refusal, because the next plan starts from the member's report.
func (ms MemberClient) Send(ctx context.Context, or fleet.Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	raw, err := json.Marshal(orderBody(or))
	if err != nil {
		return eris.Wrap(err, "encode order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+or.Target().Address+"/orders", bytes.NewReader(raw))
	if err != nil {
		return eris.Wrap(err, "create order request")
	}
	req.GetBody = nil
	rsp, err := httphead.Do(ms.client(), req)
	if err != nil {
		return eris.Wrap(err, "send order")
	}
	defer rsp.Body.Close()
	if rsp.StatusCode != http.StatusOK {
		return eris.Errorf("order refused: status %d, want 200", rsp.StatusCode)
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

// NewTransport returns a transport for endpoints that keeps at most perHost idle connections
// to each.
func NewTransport(perHost int) *http.Transport {
	return &http.Transport{
		DialContext:           (&net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}).DialContext,
		MaxIdleConnsPerHost:   perHost,
		IdleConnTimeout:       idleTimeout,
		DisableCompression:    true,
		ResponseHeaderTimeout: 0,
		// A response without end must not fill the memory.
		MaxResponseHeaderBytes: http1.MaxHeadBytes,
	}
}

const (
	dialTimeout = time.Second
	keepAlive   = 10 * time.Second
	idleTimeout = 30 * time.Second
)
