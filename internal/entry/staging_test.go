package entry

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/platform/emulator"
)

// Guards against a configuration whose number of staged models does not reach the steward, and
// against stage orders that a model server does not understand.
func TestStagesBeforeFirstRequest(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	sk := &stack{t: t, ctx: ctx, subnet: <-subnets, log: &logBuffer{}, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		de: &emulator.Deployment{ModelServers: 7, EventInterval: 20 * time.Millisecond}}
	sk.de.Fleet.Keeps = 1
	if err := sk.de.Start(ctx); err != nil {
		t.Fatal(err)
	}
	sk.start(0)
	sk.until("the members of a group have staged the other model", func() bool {
		vi := sk.daemons[0].da.view.Load()
		if vi == nil {
			return false
		}
		for _, gr := range vi.Groups {
			staged := sk.de.Fleet.Staged(gr.Leader().ID)
			if len(staged) > 0 && !slices.Contains(staged, gr.Model) {
				return true
			}
		}
		return false
	})
	sk.until("the steward has heard of it", func() bool { return strings.Contains(sk.log.String(), "steward: vm-staged.") })
	if loads := len(sk.de.Fleet.Loads()); loads != 0 {
		t.Errorf("%d loads from the weight store, want none", loads)
	}
	if got := sk.send(sk.daemons[0], "/draft/", "after"); got != completeStream("after") {
		t.Errorf("got %q", got)
	}
	sk.checkInvariants()
}
