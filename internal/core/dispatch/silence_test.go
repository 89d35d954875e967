package dispatch

import (
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// Guards against sending requests to an endpoint that is silent, against losing count of the request
// that it still has, and against avoiding it after it has gone on.
func TestSilentEndpoint(t *testing.T) {
	pl := &PlainTable{}
	pl.Update(&catalog.View{Plain: []catalog.PlainEndpoint{{ID: "a", Service: "desk"}, {ID: "b", Service: "desk"}}})
	now := time.Now()
	silent := pl.Pick("desk", nil, now)
	pl.RecordSilence(silent, now)
	if num := pl.RequestsIn(""); num != 1 {
		t.Errorf("%d requests counted during the silence, want 1", num)
	}
	for range 20 {
		ep := pl.Pick("desk", nil, now)
		if ep == silent {
			t.Fatal("the silent endpoint was chosen while there is another one")
		}
		defer pl.Release(ep)
	}
	pl.RecordResponse(silent, time.Second, false, now)
	if num := pl.RequestsIn(""); num != 20 {
		t.Errorf("%d requests counted after the silence, want 20", num)
	}
	if ep := pl.Pick("desk", nil, now); ep != silent {
		t.Error("the endpoint is still avoided after its response")
	}
}
