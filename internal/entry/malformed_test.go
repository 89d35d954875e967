package entry

import (
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/backpressure"
	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/internal/core/steward"
	"corianderhub.dev/corianderhub/internal/front"
	"corianderhub.dev/corianderhub/internal/http1"
	"corianderhub.dev/corianderhub/internal/servertest"
)

// Guards against a malformed response to a control call that is taken for an endpoint's report, or for the
// acceptance or the refusal of an order, which it may have begun.
func TestMalformedControlResponse(t *testing.T) {
	da := &Daemon{Clock: clock.System{}, pool: &http1.Pool{Clock: clock.System{}}, front: &front.Server{Clock: clock.System{}, Backpressure: &backpressure.Tracker{}}}
	for name, send := range map[string]func(addr string) error{
		"report": func(addr string) error {
			_, err := da.report(t.Context(), "id", addr, time.Minute, true)
			return err
		},
		"order": func(addr string) error {
			out, _, err := da.order(t.Context(), 1, steward.Command{ID: "id", Address: addr, Order: catalog.Leave{Group: "group", Epoch: 1}})
			if err != nil && out != steward.Unanswered {
				t.Errorf("got outcome %v, error %v; want outcome %v", out, err, steward.Unanswered)
			}
			return err
		},
	} {
		t.Run(name, func(t *testing.T) { servertest.TestClient(t, "", "{        }", send) })
	}
}
