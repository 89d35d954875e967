package control_test

import (
	"fmt"
	"time"

	"corianderhub.dev/corianderhub/internal/core/control"
	"corianderhub.dev/corianderhub/internal/core/fleet"
)

// engine is a VM's engine.
type engine struct {
	vm          fleet.VM
	incarnation string
	down        bool
	silent      bool
	leaving     bool
	unchecked   bool
	loadTime    time.Duration
	report      fleet.Report
	life        int
	generation  int
	loads       int
	orders      int
}

// boot starts the engine afresh.
func (en *engine) boot() {
	en.life++
	en.incarnation = fmt.Sprintf("boot-%d", en.life)
	en.down, en.silent, en.leaving = false, false, false
	en.report = fleet.Report{VM: en.vm.Name, Incarnation: en.incarnation}
	en.generation++
}

func (w *world) probe(no *node, ac control.Probe, now time.Time) {
	failed := control.Probed{VM: ac.VM.Name, SentAt: now}
	w.call(no, ac.VM.Name, failed, func(answer func(control.Event)) {
		en := w.engines[ac.VM.Name]
		switch {
		case en.silent:
		case en.down:
			answer(control.Probed{VM: ac.VM.Name, SentAt: now, Refused: true})
		default:
			re := en.report
			re.Leaving = en.leaving
			answer(control.Probed{VM: ac.VM.Name, SentAt: now, Report: &re})
		}
	})
}

func (w *world) order(no *node, ac control.SendOrder) {
	vm := ac.Order.Target().Name
	w.call(no, vm, control.OrderDone{VM: vm}, func(answer func(control.Event)) {
		en := w.engines[vm]
		if en.silent {
			return
		}
		if !en.down {
			w.obey(en, ac.Order)
		}
		answer(control.OrderDone{VM: vm})
	})
}

// obey follows an order as the engines do.
func (w *world) obey(en *engine, or fleet.Order) {
	switch or := or.(type) {
	case fleet.Join:
		if or.Incarnation != en.incarnation || !en.unchecked && old(en.report, or.Group.Fence, or.Generation) {
			return
		}
		en.orders++
		en.generation++
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
		generation := en.generation
		w.at(en.loadTime, func() {
			if en.generation == generation && !en.down {
				en.loads++
				re.Model, re.Version, re.Ready = or.Group.Model, or.Group.Version, true
			}
		})
	case fleet.Prepare:
		if or.Incarnation != en.incarnation || !en.unchecked && old(en.report, or.Fence, or.Generation) {
			return
		}
		en.generation++
		re, generation := &en.report, en.generation
		re.Fence, re.Generation = or.Fence, or.Generation
		w.at(en.loadTime, func() {
			if en.generation == generation && !en.down {
				en.loads++
				re.Model, re.Version = or.Model, or.Version
			}
		})
	case fleet.Release:
		if or.Incarnation != en.incarnation || !en.unchecked && old(en.report, or.Fence, or.Generation) {
			return
		}
		en.orders++
		en.generation++
		re := &en.report
		re.Group, re.Fence, re.Generation, re.Ring, re.Ready = "", or.Fence, or.Generation, nil, false
	}
}

func old(re fleet.Report, fence, turn uint64) bool {
	return fence < re.Fence || fence == re.Fence && turn < re.Generation
}

// truth returns the report of a VM's engine, whatever the daemons know.
func (w *world) truth(vm string) (fleet.Report, bool) {
	en := w.engines[vm]
	return en.report, !en.down && !en.silent
}
