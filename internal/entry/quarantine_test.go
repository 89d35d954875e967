package entry

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/platform/emulator"
)

const (
	// crashing is the path of a request that ends each server that begins to run it.
	crashing = "/draft/crash-"
	// endsUntilKnown is how many servers a request must have ended to be known for it.
	endsUntilKnown = 3
	// laterEnds is how many servers more may end under it after that.
	laterEnds = 3
)

// crashes makes model servers end under the request that ends them.
func (sk *stack) crashes() {
	sk.de.BackAfter = 300 * time.Millisecond
	sk.de.SetModelFault(func(req *http.Request) emulator.Fault {
		if strings.HasPrefix(req.URL.Path, crashing) {
			return emulator.Ends
		}
		return emulator.None
	})
}

// sendCrashing lets a caller come with it some times, to one daemon after the other, each
// time as soon as there is a group that could run it.
func (sk *stack) sendCrashing(times int) {
	for num := range times {
		ru := sk.daemons[num%len(sk.daemons)]
		sk.until("a group serves", func() bool {
			id := fmt.Sprint("sound-", num, "-", time.Now().UnixNano())
			return sk.ask(ru, "/draft/", id) == wholeStream(id)
		})
		sk.ask(ru, crashing, fmt.Sprint("crash-", num, "-", time.Now().UnixNano()))
	}
}

// Callers of all kinds are refused for seconds, since the fleet is short of groups. A caller
// has sent one request again and again, under a new identifier each time and to all daemons,
// and each server that began to run it has ended: three or more with each attempt.
func TestRequestThatEndsServers(t *testing.T) {
	sk := newStack(t, 3)
	sk.crashes()
	sk.sendCrashing(12)
	if num := sk.de.Ended(); num < endsUntilKnown || num > endsUntilKnown+laterEnds {
		t.Errorf("%d servers ended under one request", num)
	}
	sk.checkPromises()
}
