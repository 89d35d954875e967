package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"corianderhub.dev/corianderhub/platform"
	"corianderhub.dev/corianderhub/platform/emulator"
)

const (
	numDesks    = 3
	numRequests = 12
	// firstCrash is when the first server is killed after the requests were sent; the others follow at
	// intervals of crashInterval. All requests are at work then.
	firstCrash    = 600 * time.Millisecond
	crashInterval = 300 * time.Millisecond
	// deadline is how long clients wait.
	deadline = 8 * time.Second
)

// answer is what a client got for a request.
type answer struct {
	id     string
	took   time.Duration
	status int
	seal   string
	bytes  int64
	// complete is set if the response has ended as it must.
	complete bool
	err      error
}

// unframedCrash kills the servers of a plain service one after the other while they answer without a
// length.
func unframedCrash(ctx context.Context, la *lab) (bool, error) {
	if err := la.start(ctx); err != nil {
		return false, err
	}
	for num := 1; num <= numDesks; num++ {
		if _, err := la.startDesk(num); err != nil {
			return false, err
		}
	}
	done := make(chan struct{})
	defer close(done)
	go la.beat(done)
	time.Sleep(2 * time.Second) // The daemons learn of the servers.
	answers := make([]*answer, numRequests)
	var wg sync.WaitGroup
	sent := time.Now()
	for i := range answers {
		wg.Go(func() { answers[i] = confirm(la.daemons[0].ip, fmt.Sprintf("confirm-%d", i+1)) })
	}
	la.note("%d requests sent", numRequests)
	if la.trouble {
		for i, de := range la.desks {
			time.Sleep(time.Until(sent.Add(firstCrash + time.Duration(i)*crashInterval)))
			de.kill()
			la.note("server %s is killed", de.id)
		}
	}
	wg.Wait()
	for _, de := range la.desks {
		de.kill()
	}
	held := true
	for _, an := range answers {
		server := "no server"
		for _, de := range la.desks {
			if de.ran(an.id) {
				server = de.id
			}
		}
		wrong := an.complete && an.status < http.StatusMultipleChoices && an.bytes != bodyBytes
		la.note("request %s: run by %s, status %d, seal %q, %d of %d bytes, complete response: %v, after %.3f s, error %v, broken: %v",
			an.id, server, an.status, an.seal, an.bytes, bodyBytes, an.complete, an.took.Seconds(), an.err, wrong)
		held = held && !wrong
	}
	return held, nil
}

// confirm sends an unsafe request to a daemon.
func confirm(ip, id string) *answer {
	an := &answer{id: id}
	begin := time.Now()
	defer func() { an.took = time.Since(begin) }()
	nc, err := net.DialTimeout("tcp", address(ip, callersPort), time.Second)
	if err != nil {
		an.err = err
		return an
	}
	defer nc.Close()
	_ = nc.SetDeadline(begin.Add(deadline)) // An error shows at the next call.
	_, an.err = fmt.Fprintf(nc, "POST /confirm/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Token %s\r\nContent-Length: 0\r\n\r\n",
		emulator.Host, platform.HeaderRequestID, id, platform.HeaderDeadline, deadline.Milliseconds(), emulator.APIKey)
	if an.err != nil {
		return an
	}
	rsp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		an.err = err
		return an
	}
	defer rsp.Body.Close()
	an.status, an.seal = rsp.StatusCode, rsp.Header.Get(platform.HeaderSeal)
	an.bytes, an.err = io.Copy(io.Discard, rsp.Body)
	an.complete = an.err == nil
	return an
}
