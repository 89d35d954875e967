package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"corianderhub.dev/corianderhub/internal/http1"
	"corianderhub.dev/corianderhub/internal/httphead"
)

// maxListBytes limits the size of the list of VMs, which has about 200 bytes for each
// of 12,000 VMs.
const maxListBytes = 8 << 20

var vmsHTTP = http.Client{Transport: &http.Transport{IdleConnTimeout: 30 * time.Second, MaxResponseHeaderBytes: http1.MaxHeadBytes}}

// VMs implements VMList. It returns ErrUnavailable if the platform does not answer
// with status 200.
func (cl *Client) VMs(ctx context.Context, dataCenter string) ([]VM, error) {
	cl.kv() // Sets the default of cl.Timeout.
	ctx, cancel := context.WithTimeout(ctx, cl.Timeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: cl.Address, Path: "/vms", RawQuery: url.Values{"data-center": {dataCenter}}.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, eris.Wrap(err, "platform vms")
	}
	rsp, err := httphead.Do(&vmsHTTP, req)
	if err != nil {
		return nil, eris.Wrap(ErrUnavailable, err.Error())
	}
	defer rsp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(rsp.Body, maxListBytes))
	if err != nil {
		return nil, eris.Wrap(ErrUnavailable, err.Error())
	}
	if rsp.StatusCode != http.StatusOK {
		return nil, eris.Wrapf(ErrUnavailable, "platform vms: got status %d, want 200", rsp.StatusCode)
	}
	var vms []VM
	return vms, eris.Wrap(json.Unmarshal(body, &vms), "platform vms")
}
