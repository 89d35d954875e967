package control_test

import (
	"fmt"
	"time"

	"corianderhub.dev/corianderhub/internal/core/control"
	"corianderhub.dev/corianderhub/internal/core/fleet"
)

// engine simulates the engine on a VM.
type engine struct {
	vm          fleet.VM
	incarnation string
	// A down engine refuses connections; an unresponsive one accepts them and
	// never answers. An engine that ignores fencing follows outdated orders.
	down           bool
	unresponsive   bool
	leaving        bool
	ignoresFencing bool
	loadTime       time.Duration
	report         fleet.Report
	bootCount      int
	// loadSeq changes with every order and boot that ends a load in progress.
	loadSeq    int
	loadCount  int
	orderCount int
}

// boot starts or restarts the engine with an empty state.
func (en *engine) boot() {
	en.bootCount++
	en.incarnation = fmt.Sprintf("boot-%d", en.bootCount)
	en.down, en.unresponsive, en.leaving = false, false, false
	en.report = fleet.Report{VM: en.vm.Name, Incarnation: en.incarnation}
	en.loadSeq++
}

func (w *simulation) probe(no *node, ac control.Probe, now time.Time) {
	failed := control.Probed{VM: ac.VM.Name, SentAt: now}
	w.call(no, ac.VM.Name, failed, func(answer func(control.Event)) {
		en := w.engines[ac.VM.Name]
		switch {
		case en.unresponsive:
		case en.down:
			answer(control.Probed{VM: ac.VM.Name, SentAt: now, Refused: true})
		default:
			re := en.report
			re.Leaving = en.leaving
			answer(control.Probed{VM: ac.VM.Name, SentAt: now, Report: &re})
		}
	})
}

func (w *simulation) order(no *node, ac control.SendOrder) {
	vm := ac.Order.Target().Name
	w.call(no, vm, control.OrderDone{VM: vm}, func(answer func(control.Event)) {
		en := w.engines[vm]
		if en.unresponsive {
			return
		}
		if !en.down {
			w.applyOrder(en, ac.Order)
		}
		answer(control.OrderDone{VM: vm})
	})
}

// applyOrder applies an order in the way the engines do.
func (w *simulation) applyOrder(en *engine, or fleet.Order) {
	switch or := or.(type) {
	case fleet.Join:
		if or.Incarnation != en.incarnation || !en.ignoresFencing && staleOrder(en.report, or.Group.Fence, or.Generation) {
			return
		}
		en.orderCount++
		en.loadSeq++
		re := &en.report
		re.Group, re.Fence, re.Generation, re.Role, re.Adapters = or.Group.ID, or.Group.Fence, or.Generation, or.Group.Role, or.Group.Adapters
		re.Ring = nil
		for _, me := range or.Ring {
			re.Ring = append(re.Ring, me.VM)
		}
		if re.Model == or.Group.Model && re.Version == or.Group.Version {
			re.Ready = true
			return
		}
		re.Ready = false
		loadSeq := en.loadSeq
		w.after(en.loadTime, func() {
			if en.loadSeq == loadSeq && !en.down {
				en.loadCount++
				re.Model, re.Version, re.Ready = or.Group.Model, or.Group.Version, true
			}
		})
	case fleet.Prepare:
		if or.Incarnation != en.incarnation || !en.ignoresFencing && staleOrder(en.report, or.Fence, or.Generation) {
			return
		}
		en.loadSeq++
		re, loadSeq := &en.report, en.loadSeq
		re.Fence, re.Generation = or.Fence, or.Generation
		w.after(en.loadTime, func() {
			if en.loadSeq == loadSeq && !en.down {
				en.loadCount++
				re.Model, re.Version = or.Model, or.Version
			}
		})
	case fleet.Release:
		if or.Incarnation != en.incarnation || !en.ignoresFencing && staleOrder(en.report, or.Fence, or.Generation) {
			return
		}
		en.orderCount++
		en.loadSeq++
		re := &en.report
		re.Group, re.Fence, re.Generation, re.Ring, re.Ready = "", or.Fence, or.Generation, nil, false
	}
}

// staleOrder reports whether an order with this fencing token and generation is
// older than the last one that the engine applied.
func staleOrder(re fleet.Report, fence, generation uint64) bool {
	return fence < re.Fence || fence == re.Fence && generation < re.Generation
}

// actualReport returns the state of a VM's engine, as opposed to the
// daemons' observations of it, and whether the engine works.
func (w *simulation) actualReport(vm string) (fleet.Report, bool) {
	en := w.engines[vm]
	return en.report, !en.down && !en.unresponsive
}
