//go:build review

package main

import (
	"context"
	"net/http"
	"time"
)

const (
	// calmTime is the time before the crash, afterTime the time after it.
	calmTime   = 5 * time.Second
	afterTime  = 3 * time.Second
	crashLimit = 30 * time.Second
	// calmUnframed is the number of answers without a length that a run without the crash waits for.
	calmUnframed = 3
)

// truncation kills all servers of the service while an answer without a length is half written, and checks
// that no client takes it for complete.
func (ru *run) truncation(ctx context.Context) int {
	sending, stop := context.WithCancel(ctx)
	defer stop()
	wg := ru.clients(sending, -1)
	time.Sleep(calmTime)
	if ru.trouble && !ru.crash() {
		ru.note("no answer without a length was sent")
		return notRun
	}
	for until := time.Now().Add(crashLimit); !ru.trouble && ru.numHalf.Load() < calmUnframed && time.Now().Before(until); {
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(afterTime)
	stop()
	wg.Wait()
	return ru.truncated()
}

// crash kills all servers of the service while an answer without a length is half written. It returns
// false if there was none.
func (ru *run) crash() bool {
	for len(ru.half) > 0 {
		<-ru.half
	}
	select {
	case id := <-ru.half:
		for _, cmd := range ru.servers {
			_ = cmd.Process.Kill()
		}
		ru.note("all %d servers of the service are killed; half of the answer to %s is written", numServers, id)
		return true
	case <-time.After(crashLimit):
		return false
	}
}

// truncated writes what was sent, answered and run, and returns the exit code. A success must be whole.
func (ru *run) truncated() int {
	ru.note("sent %d requests; answers: %v; answers without a length: %d; requests run: %d", ru.sent, ru.statuses, ru.numHalf.Load(), len(ru.arrivals))
	wrong := 0
	for id, an := range ru.answers {
		want := body(id)
		if an.err != nil || an.status != http.StatusOK || an.body == want {
			continue
		}
		wrong++
		ru.note("%s%s at daemon %d: status 200, seal %q, complete for its client with %d of %d bytes", an.path, id, an.daemon, an.seal, len(an.body), len(want))
	}
	ru.note("successes that are not the server's whole body: %d", wrong)
	switch {
	case wrong > 0:
		return broken
	case ru.numHalf.Load() == 0:
		return notRun
	}
	return held
}
