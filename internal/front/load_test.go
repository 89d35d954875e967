package front

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/platform"
)

// Guards against dropping the load that servers state, against logging each malformed one, and against
// taking the load of another server that has the address.
func TestLoadInResponseHeader(t *testing.T) {
	ri := newRig(t)
	ri.addGroup(nil)
	li := catalog.Instance{ID: ri.groupServers[0].ID}
	respond := func(status int, load string) {
		ri.front.ApplyResponseHeader(li, &http.Response{StatusCode: status, Header: http.Header{platform.HeaderLoad: {load}}}, time.Now())
	}
	shared := func() int { return len(ri.table.OwnWork(time.Now()).Readings) }
	ri.table.SetReportDelay(time.Second)
	for range 3 {
		respond(http.StatusOK, "many")
	}
	respond(http.StatusMisdirectedRequest, "9,0,26")
	if num := strings.Count(ri.log.String(), "invalid load"); num != 1 || shared() != 0 {
		t.Errorf("malformed loads are logged %d times and %d readings known, want one line and none", num, shared())
	}
	respond(http.StatusOK, "9,0,26")
	if shared() != 1 {
		t.Error("the stated load was not applied")
	}
}
