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

// TestMain fixes the seed, so that every run of the tests has the same
// verdict. Other seeds are tried with -args -rapid.seed=N -rapid.checks=N.
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

// Any faults in any order, several at once: kills, freezes, cuts, hanging and
// restarting VMs, platform outages, lost answers and operators who change
// their minds. The world checks after each event what must always hold. When
// the faults end, what is declared is what serves.
func TestHoldUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := gent(rt, rapid.Uint64Range(1, 1<<20).Draw(rt, "seed"))
		replicas := 2
		for i := range rapid.IntRange(4, 16).Draw(rt, "faults") {
			w.fault(rt, i, &replicas)
			w.run(time.Duration(rapid.IntRange(1, 4000).Draw(rt, "pause")) * time.Millisecond)
		}
		w.healAll()
		w.until("what is declared serves", 5*time.Minute, w.allServe(replicas))
	})
}

func (w *world) fault(rt *rapid.T, i int, replicas *int) {
	en := w.engines[w.vms[rapid.IntRange(0, len(w.vms)-1).Draw(rt, "vm")].Name]
	no := w.daemons[w.names[rapid.IntRange(0, len(w.names)-1).Draw(rt, "daemon")]]
	switch rapid.IntRange(0, 9).Draw(rt, "fault") {
	case 0:
		en.down = true
	case 1:
		en.silent = !en.silent
	case 2:
		en.boot()
	case 3:
		no.frozen = true
	case 4:
		if no.core != nil {
			w.thaw(no)
		}
	case 5:
		no.kill()
	case 6:
		if no.core == nil {
			w.start(no)
		}
	case 7:
		name := no.name
		w.cut = func(a, b string) bool { return a == name || b == name }
	case 8:
		w.setFaults(standin.StoreFaults{Down: !w.faults.Down, LoseAnswers: 2})
	case 9:
		if no.core == nil || no.frozen {
			return
		}
		sp := spec
		sp.Replicas = rapid.IntRange(1, 3).Draw(rt, "replicas")
		if _, err := w.apply(no, fmt.Sprint("random", i), sp); err == nil {
			*replicas = sp.Replicas
		}
	}
}

// healAll ends all faults.
func (w *world) healAll() {
	w.setFaults(standin.StoreFaults{})
	w.cut = func(string, string) bool { return false }
	for _, vm := range w.vms {
		en := w.engines[vm.Name]
		if en.down {
			en.boot()
		}
		en.silent, en.leaving = false, false
	}
	for _, name := range w.names {
		no := w.daemons[name]
		if no.core == nil {
			w.start(no)
		}
		w.thaw(no)
	}
}
