package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"corianderhub.dev/corianderhub/internal/core/chain"
	"corianderhub.dev/corianderhub/internal/core/control"
	"corianderhub.dev/corianderhub/internal/core/fleet"
	"corianderhub.dev/corianderhub/internal/peer"
	"corianderhub.dev/corianderhub/internal/platform"
)

const (
	// watchTimeout is the longest time that one watch of the configuration's
	// head waits for a change.
	watchTimeout = 20 * time.Second
	// watchRetryDelay is the delay after a failed watch.
	watchRetryDelay = 500 * time.Millisecond
	// platformTimeout bounds one platform operation.
	platformTimeout = 3 * time.Second
	// transferTimeout bounds a fetch of documents or configuration.
	transferTimeout = 5 * time.Second
)

// startAction performs an action on its own goroutine and posts the resulting
// event, if any.
func (da *Daemon) startAction(ac control.Action) {
	go func() {
		if ev := da.perform(da.ctx, ac); ev != nil {
			da.loop.Post(ev)
		}
	}()
}

// perform carries out an action and returns its result as an event, or nil if
// the control state needs none.
func (da *Daemon) perform(ctx context.Context, ac control.Action) control.Event {
	switch ac := ac.(type) {
	case control.Probe:
		return da.probe(ctx, ac)
	case control.Pull:
		return da.pull(ctx, ac)
	case control.FetchDocs:
		return da.fetchDocs(ctx, ac)
	case control.FetchConfig:
		return da.fetchConfig(ctx, ac)
	case control.ReadConfig:
		return da.readConfig(ctx, ac)
	case control.Reapply:
		return da.reapply(ctx, ac)
	case control.BroadcastRevocation:
		da.broadcastRevocation(ctx, ac)
	case control.PullObservations:
		return da.pullObservations(ctx, ac)
	case control.AcquireLease:
		return da.acquireLease(ctx)
	case control.RenewLease:
		return da.renewLease(ctx, ac)
	case control.ReleaseLease:
		return da.releaseLease(ac)
	case control.ReadDomains:
		return da.readDomains(ctx, ac)
	case control.ReadVMs:
		return da.readVMs(ctx)
	case control.WriteDomain:
		return da.writeDomain(ctx, ac)
	case control.SendOrder:
		if err := da.memberClient.Send(ctx, ac.Order); err != nil {
			da.Log.Info("Steward: order not accepted.", "vm", ac.Order.Target().Name, "error", err)
		}
		return control.OrderDone{VM: ac.Order.Target().Name}
	}
	return nil
}

func (da *Daemon) probe(ctx context.Context, ac control.Probe) control.Event {
	ev := control.Probed{VM: ac.VM.Name, SentAt: da.Clock.Now()}
	re, refused, err := da.memberClient.Probe(ctx, ac.VM.Address)
	if err == nil && re.VM == ac.VM.Name {
		ev.Report = re
	}
	ev.Refused = refused
	return ev
}

func (da *Daemon) pull(ctx context.Context, ac control.Pull) control.Event {
	ev := control.Pulled{Peer: ac.Peer, SentAt: da.Clock.Now()}
	req := peer.PullRequest{From: da.Settings.Listen.Peer, Revision: ac.Revision}
	if err := da.node.Call(ctx, ac.Peer, req, &ev.Response); err != nil {
		return control.PullFailed{Peer: ac.Peer}
	}
	return ev
}

func (da *Daemon) fetchDocs(ctx context.Context, ac control.FetchDocs) control.Event {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	var an peer.DocsResponse
	// A failed fetch returns no documents; the next pull requests them again.
	_ = da.node.Call(ctx, ac.Peer, peer.DocsRequest{Have: ac.Have}, &an)
	return control.DocsArrived{Peer: ac.Peer, Docs: an.Docs}
}

func (da *Daemon) fetchConfig(ctx context.Context, ac control.FetchConfig) control.Event {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	ev := control.ConfigArrived{Source: control.SourcePeerConfig}
	var an control.ConfigResponse
	if err := da.node.Call(ctx, ac.Peer, peer.ConfigRequest{After: ac.After}, &an); err != nil {
		return ev
	}
	ev.Entries = an.Entries
	if len(an.Pieces) > 0 {
		cfg, err := chain.Join(an.Pieces)
		if err != nil {
			da.Log.Warn("Config: invalid snapshot from a peer.", "peer", ac.Peer, "error", err)
			return ev
		}
		ev.Snapshot = cfg
	}
	return ev
}

// readConfig reads the configuration from the platform. The steward's reads
// wait for a change, so that one watch serves a whole data centre.
func (da *Daemon) readConfig(ctx context.Context, ac control.ReadConfig) control.Event {
	ev := control.ConfigArrived{Source: control.SourcePlatformConfig}
	hd, rev, err := da.chain.Head(ctx)
	if err == nil && ac.Wait && hd.Revision <= ac.After {
		err = da.watchHead(ctx, rev)
		if err == nil {
			hd, _, err = da.chain.Head(ctx)
		}
	}
	if err != nil {
		// The event completes the action, and the next read may start
		// immediately. The delay keeps failed reads from looping.
		_ = da.Clock.Sleep(ctx, watchRetryDelay)
		return ev
	}
	up, err := da.chain.UpdateSince(ctx, hd, ac.After)
	if err != nil {
		da.Log.Warn("Config: reading the configuration chain failed.", "revision", hd.Revision, "error", err)
		_ = da.Clock.Sleep(ctx, watchRetryDelay)
		return ev
	}
	ev.Known, ev.Snapshot, ev.Entries, ev.StoredRevision = true, up.Snapshot, up.Entries, hd.Revision
	return ev
}

// watchHead waits for a change of the configuration's head, or a restore of the store.
func (da *Daemon) watchHead(ctx context.Context, rev uint64) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(da.era.current(), cancel)
	defer stop()
	err := da.platform.Watch(ctx, "config/head", rev, watchTimeout)
	if !stop() {
		return nil
	}
	return err
}

// reapplyTimeout bounds one attempt to apply lost changes again.
const reapplyTimeout = 5 * time.Second

func (da *Daemon) reapply(ctx context.Context, ac control.Reapply) control.Event {
	ctx, cancel := context.WithTimeout(ctx, reapplyTimeout)
	defer cancel()
	res, err := da.chain.Reapply(ctx, ac.Config, ac.Entries, ac.Base)
	da.Log.Warn("Config: changes applied again that a restore of the store took back.", "changes", len(ac.Entries),
		"refused", res.Refused, "error", err)
	return control.Reapplied{Base: ac.Base, Revision: res.Revision, Failed: err != nil}
}

// broadcastRevocation sends a revoked permit to the peers.
func (da *Daemon) broadcastRevocation(ctx context.Context, ac control.BroadcastRevocation) {
	for _, addr := range ac.Peers {
		go func() {
			// On a daemon that is not reached, the permit expires by time.
			_ = da.node.Call(ctx, addr, peer.RevokeRequest{Group: ac.Group, Fence: ac.Fence}, &peer.EmptyResponse{})
		}()
	}
}

func (da *Daemon) pullObservations(ctx context.Context, ac control.PullObservations) control.Event {
	ev := control.ObservationsArrived{Daemon: ac.Daemon, SentAt: da.Clock.Now()}
	var an control.ObservationsResponse
	if err := da.node.Call(ctx, ac.Peer, peer.ObservationsRequest{Since: ac.Since}, &an); err == nil {
		ev.Response = &an
	}
	return ev
}

// leaseKey is the store key of the steward's lease in this data centre.
func (da *Daemon) leaseKey() string { return "stewards/" + da.Settings.DataCenter }

// leaseHolder is the value stored under the key of the lease.
type leaseHolder struct {
	Name string `json:"name"`
}

func (da *Daemon) acquireLease(ctx context.Context) control.Event {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	sentAt := da.Clock.Now()
	lease, err := da.platform.Grant(ctx, time.Duration(da.Settings.Timing.Lease))
	if err != nil {
		return control.LeaseFailed{SentAt: sentAt}
	}
	raw, err := json.Marshal(leaseHolder{da.Settings.Name})
	if err != nil {
		return control.LeaseFailed{SentAt: sentAt}
	}
	epoch, err := da.platform.Put(ctx, da.leaseKey(), raw, 0, lease)
	if err == nil {
		da.Log.Info("Steward: lease acquired.", "epoch", epoch)
		return control.LeaseAcquired{Lease: lease, Epoch: epoch, SentAt: sentAt}
	}
	// Either another daemon holds the key or the response was lost. The new
	// lease is not used in either case. Revoking it also deletes a key that was
	// stored with it.
	_ = da.platform.Revoke(ctx, lease)
	if errors.Is(err, platform.ErrConflict) {
		return control.LeaseLost{}
	}
	return control.LeaseFailed{SentAt: sentAt}
}

func (da *Daemon) renewLease(ctx context.Context, ac control.RenewLease) control.Event {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	sentAt := da.Clock.Now()
	err := da.platform.Renew(ctx, ac.Lease)
	switch {
	case err == nil:
		return control.LeaseRenewed{SentAt: sentAt}
	case errors.Is(err, platform.ErrConflict):
		da.Log.Warn("Steward: lease lost.")
		return control.LeaseLost{}
	}
	return control.LeaseFailed{SentAt: sentAt}
}

func (da *Daemon) releaseLease(ac control.ReleaseLease) control.Event {
	ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
	defer cancel()
	// A lease that cannot be revoked expires.
	_ = da.platform.Revoke(ctx, ac.Lease)
	return nil
}

func (da *Daemon) readDomains(ctx context.Context, ac control.ReadDomains) control.Event {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	ev := control.DomainsRead{Only: ac.Only}
	entries, err := da.platform.List(ctx, control.DomainKey(da.Settings.DataCenter, ac.Only))
	if err != nil {
		ev.Failed = true
		return ev
	}
	for _, en := range entries {
		var dom fleet.Domain
		if err := json.Unmarshal(en.Value, &dom); err != nil || dom.Check() != nil {
			da.Log.Error("Steward: skipping an invalid assignment.", "key", en.Key, "error", err)
			continue
		}
		ev.Domains = append(ev.Domains, control.StoredDomain{Domain: dom, Revision: en.Revision})
	}
	return ev
}

func (da *Daemon) readVMs(ctx context.Context) control.Event {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	list, err := da.platform.VMs(ctx, da.Settings.DataCenter)
	if err != nil {
		return control.VMsRead{}
	}
	vms := []fleet.VM{}
	for _, vm := range list {
		vms = append(vms, fleet.VM{Name: vm.Name, Address: vm.Address, Domain: vm.FabricDomain, Leaving: vm.State == platform.VMLeaving})
	}
	return control.VMsRead{VMs: vms}
}

func (da *Daemon) writeDomain(ctx context.Context, ac control.WriteDomain) control.Event {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	raw, err := json.Marshal(ac.Domain)
	if err != nil {
		return control.DomainWriteUnconfirmed{Name: ac.Domain.Name}
	}
	rev, err := da.platform.Put(ctx, control.DomainKey(da.Settings.DataCenter, ac.Domain.Name), raw, ac.IfRevision, "")
	if err != nil {
		da.Log.Warn("Steward: writing an assignment failed.", "domain", ac.Domain.Name, "error", strings.TrimSpace(err.Error()))
		return control.DomainWriteUnconfirmed{Name: ac.Domain.Name}
	}
	return control.DomainWritten{StoredDomain: control.StoredDomain{Domain: ac.Domain, Revision: rev}}
}

// Handle implements peer.Handler. It handles the requests of other daemons, and
// returns errStopping if the control loop or ctx ends before the loop runs the
// request.
func (da *Daemon) Handle(ctx context.Context, req peer.Request) (any, error) {
	var answer any
	var err error
	switch req := req.(type) {
	case peer.ClaimRequest:
		return da.claims.DoLocal(ctx, req.Op), nil
	case peer.QuarantineRequest:
		return da.quarantine.entriesFor(req), nil
	case peer.QuarantineReports:
		return peer.EmptyResponse{}, da.quarantine.apply(req)
	case peer.TrialRequest:
		return peer.TrialResponse{Granted: da.quarantine.grant(req.Request)}, nil
	case peer.RevokeRequest:
		da.loop.Post(control.Revoked{Group: req.Group, Fence: req.Fence})
		return peer.EmptyResponse{}, nil
	case peer.PullRequest:
		if req.From != "" {
			da.loop.Post(control.PullReceived{Peer: req.From, Revision: req.Revision})
		}
		da.loop.call(ctx, func() { answer = da.loop.core.PullAt(da.Clock.Now()) })
	case peer.DocsRequest:
		da.loop.call(ctx, func() { answer = peer.DocsResponse{Docs: da.loop.core.Newer(req.Have)} })
	case peer.ConfigRequest:
		da.loop.call(ctx, func() { answer, err = da.loop.core.ConfigAfter(req.After) })
	case peer.ObservationsRequest:
		da.loop.call(ctx, func() { answer = da.loop.core.ObservationsAt(da.Clock.Now(), req.Since) })
	}
	if answer == nil && err == nil {
		err = errStopping
	}
	return answer, err
}

var errStopping = errors.New("the daemon is stopping")
