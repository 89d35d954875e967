package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"time"

	"corianderhub.dev/corianderhub/platform"
	"corianderhub.dev/corianderhub/platform/emulator"
)

const (
	// bodyBytes is the size of an answer of a plain server. Half of it is sent at once, the rest after
	// workTime.
	bodyBytes = 800
	workTime  = 2 * time.Second
	// heartbeatInterval is the interval at which servers write their entries, as in the settings.
	// An entry is removed after maxSilentHeartbeats intervals of silence.
	heartbeatInterval   = 1200 * time.Millisecond
	maxSilentHeartbeats = 3
	// plainService is the name of the plain service in the configuration.
	plainService = "desk"
)

// serveDesk is the process of a plain server: it serves the address until it is killed. Its answers
// have no length and end with their connection.
func serveDesk(addr, id string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	fmt.Println(ln.Addr())
	return http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { answerUnframed(w, req, id) }))
}

// answerUnframed runs a request, unless it is meant for another server.
func answerUnframed(w http.ResponseWriter, req *http.Request, id string) {
	if want := req.Header.Get(platform.HeaderExpectEndpoint); want != id {
		w.Header().Set("X-Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, req.Body) // A caller that is gone gets no answer in any case.
	request := req.Header.Get(platform.HeaderRequestID)
	fmt.Println("run", request)
	nc, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer nc.Close()
	body := bytes.Repeat([]byte("x"), bodyBytes)
	fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%d\r\nConnection: close\r\n\r\n", platform.HeaderRequestID, request,
		platform.HeaderSeal, id, bodyBytes)
	_, _ = nc.Write(body[:bodyBytes/2])
	time.Sleep(workTime)
	_, _ = nc.Write(body[bodyBytes/2:])
}

// desk is a plain server that runs as a process of its own.
type desk struct {
	id, address string
	cmd         *exec.Cmd
	log         *bytes.Buffer
	born        int64
	exited      chan struct{}
	killedAt    time.Time
}

// startDesk starts a plain server.
func (la *lab) startDesk(num int) (*desk, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	de := &desk{id: fmt.Sprintf("i-desk-%d", num), address: address(la.ip(10+num), callersPort), log: new(bytes.Buffer), born: time.Now().UnixMilli(), exited: make(chan struct{})}
	de.cmd = exec.Command(self, "desk", de.address, de.id)
	de.cmd.Stdout, de.cmd.Stderr = de.log, os.Stderr
	if err := de.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = de.cmd.Wait() // It is killed.
		close(de.exited)
	}()
	la.desks = append(la.desks, de)
	return de, nil
}

// kill ends the server's process.
func (de *desk) kill() {
	_ = de.cmd.Process.Kill() // It may have ended.
	<-de.exited
	de.killedAt = time.Now()
}

// ran reports whether the server has begun to run a request. Its process must have ended.
func (de *desk) ran(request string) bool {
	return bytes.Contains(de.log.Bytes(), []byte("run "+request+"\n"))
}

// beat writes the entries of the servers that run, and removes those of servers that were silent for
// too long, until done is closed.
func (la *lab) beat(done <-chan struct{}) {
	ti := time.NewTicker(heartbeatInterval)
	defer ti.Stop()
	for sequence := 1; ; sequence++ {
		for _, de := range la.desks {
			la.writeEntry(de, sequence)
		}
		select {
		case <-done:
			return
		case <-ti.C:
		}
	}
}

func (la *lab) writeEntry(de *desk, sequence int) {
	key := platform.EndpointPrefix + de.id
	select {
	case <-de.exited:
		if time.Since(de.killedAt) > maxSilentHeartbeats*heartbeatInterval {
			la.deployment.Store.Delete(key)
		}
		return
	default:
	}
	raw, err := json.Marshal(map[string]any{"service": plainService, "address": de.address, "zone": emulator.DataCenter, "version": "v1",
		"slots": 6, "state": "ready", "cold_left_ms": 0, "sequence": sequence, "born": de.born})
	if err == nil {
		la.deployment.Store.Put(key, raw)
	}
}
