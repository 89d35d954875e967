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

// maxWitnessProbes bounds the connections that show whether a data centre can be reached.
const maxWitnessProbes = 3

// holder is the value of the steward's key.
type holder struct {
	IP      string `json:"ip"`
	Started int64  `json:"started"`
	// DataCenter is empty in the value of a daemon of an earlier version.
	DataCenter string `json:"data-center,omitempty"`
}

// holderExited reports whether the process that holds the lease has ended: a newer process
// runs at its address, or connections there are refused although the path to its data centre
// works. A lack of heartbeats or a timeout proves nothing.
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
	return errors.Is(ct.probeDaemon(ctx, ho.IP), syscall.ECONNREFUSED) && ct.reachesDataCenter(ctx, ho.DataCenter)
}

// reachesDataCenter reports whether some other daemon of a data centre accepts a connection. Between
// data centres that are partitioned from each other, connections may be refused by the network.
func (ct *control) reachesDataCenter(ctx context.Context, dc string) bool {
	if dc == ct.da.Settings.DataCenter {
		return true
	}
	probes := 0
	for _, pe := range ct.da.mesh.Alive() {
		if pe.DataCenter != dc || probes == maxWitnessProbes {
			continue
		}
		if ct.probeDaemon(ctx, pe.IP) == nil {
			return true
		}
		probes++
	}
	return false
}

// probeDaemon opens a connection to the daemon at an IP address and closes it.
func (ct *control) probeDaemon(ctx context.Context, ip string) error {
	ctx, cancel := context.WithTimeout(ctx, holderProbeTimeout)
	defer cancel()
	dial := ct.da.dialDaemon
	if dial == nil {
		dial = func(ctx context.Context, addr string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", addr)
		}
	}
	nc, err := dial(ctx, net.JoinHostPort(ip, strconv.Itoa(ct.da.Settings.InternalPorts[1])))
	if err == nil {
		nc.Close()
	}
	return err
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
