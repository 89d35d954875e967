package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"syscall"

	"corianderhub.dev/corianderhub/platform"
)

// holder is the value of the steward's key.
type holder struct {
	IP      string `json:"ip"`
	Started int64  `json:"started"`
}

// holderExited reports whether the process that holds the lease has certainly ended: a
// newer process runs at its address, or connections there are refused. A lack of heartbeats
// or a timeout proves nothing.
func (ct *control) holderExited(ctx context.Context, item platform.Item) bool {
	var ho holder
	if err := json.Unmarshal(item.Value, &ho); err != nil {
		ct.da.Log.Warn("steward: decoding the lease holder failed.", "cause", err.Error())
		return false
	}
	if ho.IP == ct.da.Settings.IP {
		return ho.Started != ct.da.started
	}
	for _, pe := range ct.da.mesh.Alive() {
		if pe.IP == ho.IP {
			return pe.Started > ho.Started
		}
	}
	di := net.Dialer{Timeout: holderProbeTimeout}
	nc, err := di.DialContext(ctx, "tcp", net.JoinHostPort(ho.IP, strconv.Itoa(ct.da.Settings.InternalPorts[1])))
	if err == nil {
		nc.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// isHolder reports whether the steward's key names this process.
func (ct *control) isHolder(item platform.Item) bool {
	var ho holder
	return json.Unmarshal(item.Value, &ho) == nil && ho.IP == ct.da.Settings.IP && ho.Started == ct.da.started
}

// checkLease returns ErrNoLease unless the steward's key is this daemon's, with the given lease. The
// ID of a lease that a restore of the store has taken away may belong to another daemon's.
func (ct *control) checkLease(ctx context.Context, lease int64) error {
	item, err := ct.da.store.Get(ctx, stewardKey)
	if err != nil {
		return err
	}
	if item.Lease != lease || !ct.isHolder(item) {
		return platform.ErrNoLease
	}
	return nil
}
