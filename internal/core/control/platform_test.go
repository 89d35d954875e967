package control_test

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/control"
	"corianderhub.dev/corianderhub/internal/core/fleet"
	"corianderhub.dev/corianderhub/internal/core/intent"
	"corianderhub.dev/corianderhub/internal/platform"
	"corianderhub.dev/corianderhub/internal/platform/chainstore"
	"corianderhub.dev/corianderhub/internal/standin"
)

// readConfig performs a ReadConfig action against the simulated platform.
func (w *simulation) readConfig(no *node, ac control.ReadConfig) {
	failed := control.ConfigArrived{Source: control.SourcePlatformConfig}
	w.call(no, platformID, failed, func(answer func(control.Event)) {
		st := chainstore.Store{KV: w.store, Clock: w.clock}
		hd, _, err := st.Head(context.Background())
		if err != nil {
			return
		}
		up, err := st.UpdateSince(context.Background(), hd, ac.After)
		if err != nil {
			return
		}
		answer(control.ConfigArrived{Source: control.SourcePlatformConfig, Known: true, Snapshot: up.Snapshot, Entries: up.Entries,
			StoredRevision: hd.Revision})
	})
}

// reapply performs a Reapply action against the simulated platform.
func (w *simulation) reapply(no *node, ac control.Reapply) {
	w.call(no, platformID, control.Reapplied{Base: ac.Base, Failed: true}, func(answer func(control.Event)) {
		st := chainstore.Store{KV: w.store, Clock: clock.NewManual(w.clock.Now())}
		res, err := st.Reapply(context.Background(), ac.Config, ac.Entries, ac.Base)
		answer(control.Reapplied{Base: ac.Base, Revision: res.Revision, Failed: err != nil})
	})
}

// performStore performs the actions that go to the platform's store.
func (w *simulation) performStore(no *node, ac control.Action, now time.Time) {
	ctx := context.Background()
	dc := no.set.DataCenter
	switch ac := ac.(type) {
	case control.AcquireLease:
		w.call(no, platformID, control.LeaseFailed{SentAt: now}, func(answer func(control.Event)) {
			lease, err := w.store.Grant(ctx, no.set.Timing.Lease)
			if err != nil {
				answer(control.LeaseFailed{SentAt: now})
				return
			}
			epoch, err := w.store.Put(ctx, "stewards/"+dc, []byte(no.name), 0, lease)
			if err == nil {
				answer(control.LeaseAcquired{Lease: lease, Epoch: epoch, SentAt: now})
				return
			}
			w.store.Revoke(ctx, lease)
			if errors.Is(err, platform.ErrConflict) {
				answer(control.LeaseLost{})
				return
			}
			answer(control.LeaseFailed{SentAt: now})
		})
	case control.RenewLease:
		w.call(no, platformID, control.LeaseFailed{SentAt: now}, func(answer func(control.Event)) {
			switch err := w.store.Renew(ctx, ac.Lease); {
			case err == nil:
				answer(control.LeaseRenewed{SentAt: now})
			case errors.Is(err, platform.ErrConflict):
				answer(control.LeaseLost{})
			default:
				answer(control.LeaseFailed{SentAt: now})
			}
		})
	case control.ReleaseLease:
		w.call(no, platformID, nil, func(func(control.Event)) { w.store.Revoke(ctx, ac.Lease) })
	case control.ReadDomains:
		w.call(no, platformID, control.DomainsRead{Failed: true}, func(answer func(control.Event)) {
			entries, err := w.store.List(ctx, control.DomainKey(dc, ""))
			if err != nil {
				answer(control.DomainsRead{Failed: true})
				return
			}
			ev := control.DomainsRead{}
			for _, en := range entries {
				var dom fleet.Domain
				if err := json.Unmarshal(en.Value, &dom); err != nil {
					w.t.Fatal(err)
				}
				ev.Domains = append(ev.Domains, control.StoredDomain{Domain: dom, Revision: en.Revision})
			}
			answer(ev)
		})
	case control.ReadVMs:
		w.call(no, platformID, control.VMsRead{}, func(answer func(control.Event)) {
			if w.faults.Down {
				answer(control.VMsRead{})
				return
			}
			answer(control.VMsRead{VMs: w.listVMs(dc)})
		})
	case control.WriteDomain:
		w.call(no, platformID, control.DomainWriteUnconfirmed{Name: ac.Domain.Name}, func(answer func(control.Event)) {
			raw, err := json.Marshal(ac.Domain)
			if err != nil {
				w.t.Fatal(err)
			}
			rev, err := w.store.Put(ctx, control.DomainKey(dc, ac.Domain.Name), raw, ac.IfRevision, "")
			if err != nil {
				answer(control.DomainWriteUnconfirmed{Name: ac.Domain.Name})
				return
			}
			answer(control.DomainWritten{StoredDomain: control.StoredDomain{Domain: ac.Domain, Revision: rev}})
		})
	default:
		w.t.Fatalf("unexpected action %T", ac)
	}
}

// listVMs returns the VMs in a data centre, as the platform lists them.
func (w *simulation) listVMs(dc string) []fleet.VM {
	vms := []fleet.VM{}
	for _, vm := range w.vms {
		if vm.Address == dc+"/"+vm.Name {
			vms = append(vms, vm)
		}
	}
	return vms
}

// setFaults sets the faults injected into the platform.
func (w *simulation) setFaults(sf standin.StoreFaults) {
	w.faults = sf
	w.store.SetFaults(sf)
}

// apply applies a configuration change through the given daemon and returns the
// new revision.
func (w *simulation) apply(no *node, operation string, obs ...intent.Object) (uint64, error) {
	st := chainstore.Store{KV: w.store, Clock: clock.NewManual(w.clock.Now())}
	cfg, _ := no.core.Config()
	done, err := st.Apply(context.Background(), cfg, chainstore.ApplyRequest{Change: intent.Change{Puts: obs}, Operation: operation, Operator: no.name})
	if err == nil {
		w.deliver(no, no.incarnation, control.ConfigArrived{Known: true, Snapshot: done.Update.Snapshot, Entries: done.Update.Entries})
	}
	return done.Revision, err
}
