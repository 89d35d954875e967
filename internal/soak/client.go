package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"corianderhub.dev/corianderhub/internal/httphead"
	"corianderhub.dev/corianderhub/platform"
	"corianderhub.dev/corianderhub/platform/emulator"
)

const (
	// clientTimeout limits the duration of a request, as callers do.
	clientTimeout = 8 * time.Second
	// addressTTL is how long clients use a resolved list of addresses: three times
	// the TTL that daemons return, as some callers do.
	addressTTL = 3 * time.Second
	// draftEvents is the number of events of a stream. With eventInterval between
	// two events a stream takes one second.
	draftEvents = 20
	// thinkTime is a client's mean pause between two requests.
	thinkTime = 40 * time.Millisecond
)

// client sends one request after the other. It keeps connections open and reuses them
// until the process at the other end is gone.
type client struct {
	so   *Soak
	num  int
	rnd  *rand.Rand
	http *http.Client
	// daemons are the indexes in Soak.daemons that the client may connect to. They
	// are valid until expiry.
	daemons []int
	expiry  time.Time
	// lastUse is when the connection to each daemon was last used, by index.
	lastUse map[int]time.Time
	// sent is the number of requests sent. It makes their IDs unique.
	sent int
}

func newClient(so *Soak, num int, seed uint64) *client {
	return &client{so: so, num: num, lastUse: make(map[int]time.Time), rnd: rand.New(rand.NewPCG(seed, uint64(num))),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}}
}

// run sends requests until ctx ends and waits for the last one.
func (cl *client) run(ctx context.Context) {
	defer cl.http.CloseIdleConnections()
	for ctx.Err() == nil {
		if time.Now().After(cl.expiry) {
			cl.resolve(ctx)
		}
		if len(cl.daemons) > 0 {
			// Requests in flight continue after ctx ends, so that their outcome counts.
			cl.send(context.WithoutCancel(ctx))
		}
		cl.think(ctx)
	}
}

// idlePart is the part of the idle timeout after which connections are not used again.
const idlePart = 0.8

// think waits before the next request: from time to time for almost as long as connections may be idle.
func (cl *client) think(ctx context.Context) {
	dur := time.Duration(cl.rnd.ExpFloat64() * float64(thinkTime))
	if cl.so.Changes && cl.rnd.IntN(8) == 0 {
		dur = time.Duration(idlePart * cl.rnd.Float64() * float64(min(maxThinkTime, cl.so.idleTimeout())))
	}
	cl.so.pause(ctx, dur)
}

// closeIdle closes the connections if the one to a daemon has been idle for too long to be used again.
func (cl *client) closeIdle(daemon int) {
	if cl.so.Changes && time.Since(cl.lastUse[daemon]) > time.Duration(idlePart*float64(cl.so.idleTimeout())) {
		cl.http.CloseIdleConnections()
	}
}

// resolve requests the current addresses from a random daemon. If that fails, the
// client keeps the previous list.
func (cl *client) resolve(ctx context.Context) {
	ps := pick(cl.rnd, cl.so.daemons)
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, platform.ResolveURL(ps.ip+":18083", emulator.Host, "hall-a"), nil)
	if err != nil {
		cl.so.check.ReportViolation("client: %v", err)
		return
	}
	rsp, err := httphead.Do(cl.http, req)
	if err != nil {
		return
	}
	defer rsp.Body.Close()
	var rr platform.ResolveResponse
	if json.NewDecoder(rsp.Body).Decode(&rr) != nil || len(rr.Addresses) == 0 {
		return
	}
	cl.daemons, cl.expiry = nil, time.Now().Add(addressTTL)
	for _, addr := range rr.Addresses {
		for num, ps := range cl.so.daemons {
			if strings.HasPrefix(addr, ps.ip+":") {
				cl.daemons = append(cl.daemons, num)
			}
		}
	}
}

// send sends one request and records its outcome.
func (cl *client) send(ctx context.Context) {
	cl.sent++
	kinds := []Kind{Draft, Draft, Slot, Confirm}
	if cl.so.Changes {
		kinds = append(kinds, Once)
	}
	kind := pick(cl.rnd, kinds)
	oc := Outcome{ID: fmt.Sprintf("%s-%d-%d", kind, cl.num, cl.sent), Kind: kind, Daemon: pick(cl.rnd, cl.daemons), Start: time.Now()}
	cl.closeIdle(oc.Daemon)
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) { oc.Sent, oc.SentAt = info.Err == nil, time.Now() }})
	// A body of a type that net/http cannot rewind keeps it from retrying the request.
	body := io.MultiReader(strings.NewReader("question"))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+cl.so.daemons[oc.Daemon].ip+":18080/"+string(kind)+"/x", body)
	if err != nil {
		cl.so.check.ReportViolation("client: %v", err)
		return
	}
	req.Host = emulator.Host
	req.Header.Set(platform.HeaderRequestID, oc.ID)
	req.Header.Set(platform.HeaderAuthorization, "Token "+emulator.APIKey)
	req.Header.Set(platform.HeaderDeadline, fmt.Sprint(clientTimeout.Milliseconds()))
	if kind == Draft || kind == Once {
		req.Header.Set(platform.HeaderModel, pick(cl.rnd, []string{emulator.ModelLarge, emulator.ModelSmall}))
		req.Header.Set(platform.HeaderTokens, fmt.Sprint("100,", draftEvents*7))
	}
	rsp, err := httphead.Do(cl.http, req)
	if err == nil {
		raw, readErr := io.ReadAll(rsp.Body)
		rsp.Body.Close()
		oc.Status, oc.Body, err = rsp.StatusCode, string(raw), readErr
	}
	oc.End = time.Now()
	cl.lastUse[oc.Daemon] = oc.End
	oc.Disconnected, oc.TimedOut = err != nil, ctx.Err() != nil
	cl.so.check.RecordOutcome(oc)
	if oc.Disconnected {
		cl.so.Log.Info("soak: request was disconnected.", "request", oc.ID, "daemon", oc.Daemon, "sent", oc.Sent, "timed-out", oc.TimedOut, "passed-on", cl.so.deployment.Received(oc.ID),
			"status", oc.Status, "bytes", len(oc.Body), "took", oc.End.Sub(oc.Start).Round(time.Millisecond), "cause", err)
	}
	if err != nil && !oc.Sent {
		cl.expiry = time.Time{}
	}
}

// want returns the complete body of the response to a request.
func want(kind Kind, id string) string {
	if kind != Draft && kind != Once {
		return emulator.Body(id)
	}
	var all strings.Builder
	for num := 1; num <= draftEvents; num++ {
		all.WriteString(emulator.Event(id, num))
	}
	return all.String()
}
