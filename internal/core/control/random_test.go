package control_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderhub.dev/corianderhub/internal/standin"
)

// TestMain sets a fixed seed so that the results are reproducible. Use -args
// -rapid.seed=N -rapid.checks=N for other seeds.
func TestMain(m *testing.M) {
	flag.Parse()
	fixed := map[string]string{"rapid.seed": "20260301", "rapid.checks": "12", "rapid.nofailfile": "true", "rapid.shrinktime": "2s"}
	flag.Visit(func(fl *flag.Flag) { delete(fixed, fl.Name) })
	for name, value := range fixed {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Injects random faults in random order, several at once: dead, suspended and
// partitioned daemons, dead, unresponsive and restarting VMs, platform outages,
// lost responses, and operators who change the number of replicas. The simulation
// checks the invariants after each event. After the faults end, the declared
// number of groups must serve.
func TestHoldUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newServingSimulation(rt, rapid.Uint64Range(1, 1<<20).Draw(rt, "seed"))
		replicas := 2
		for i := range rapid.IntRange(4, 16).Draw(rt, "faults") {
			w.injectFault(rt, i, &replicas)
			w.advance(time.Duration(rapid.IntRange(1, 4000).Draw(rt, "pause")) * time.Millisecond)
		}
		w.clearFaults()
		w.waitFor("declared number of groups serves", 5*time.Minute, w.allServe(replicas))
	})
}

// injectFault injects one random fault. i makes the operation name unique, and
// replicas receives the number of replicas last applied.
func (w *simulation) injectFault(rt *rapid.T, i int, replicas *int) {
	en := w.engines[w.vms[rapid.IntRange(0, len(w.vms)-1).Draw(rt, "vm")].Name]
	no := w.daemons[w.names[rapid.IntRange(0, len(w.names)-1).Draw(rt, "daemon")]]
	switch rapid.IntRange(0, 9).Draw(rt, "fault") {
	case 0:
		en.down = true
	case 1:
		en.unresponsive = !en.unresponsive
	case 2:
		en.boot()
	case 3:
		no.suspended = true
	case 4:
		if no.core != nil {
			w.resume(no)
		}
	case 5:
		no.kill()
	case 6:
		if no.core == nil {
			w.start(no)
		}
	case 7:
		name := no.name
		w.partitioned = func(a, b string) bool { return a == name || b == name }
	case 8:
		w.setFaults(standin.StoreFaults{Down: !w.faults.Down, DropResponses: 2})
	case 9:
		if no.core == nil || no.suspended {
			return
		}
		sp := spec
		sp.Replicas = rapid.IntRange(1, 3).Draw(rt, "replicas")
		if _, err := w.apply(no, fmt.Sprint("random", i), sp); err == nil {
			*replicas = sp.Replicas
		}
	}
}

// clearFaults ends all injected faults.
func (w *simulation) clearFaults() {
	w.setFaults(standin.StoreFaults{})
	w.partitioned = func(string, string) bool { return false }
	for _, vm := range w.vms {
		en := w.engines[vm.Name]
		if en.down {
			en.boot()
		}
		en.unresponsive, en.leaving = false, false
	}
	for _, name := range w.names {
		no := w.daemons[name]
		if no.core == nil {
			w.start(no)
		}
		w.resume(no)
	}
}
