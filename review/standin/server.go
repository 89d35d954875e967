//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"corianderhub.dev/corianderhub/platform"
)

const (
	// workTime is how long a request runs. Its answer is written in two halves, at half of the time and at
	// the end.
	workTime = 200 * time.Millisecond
	// unframedEvery is which answers of the first server have no length: one in twenty.
	unframedEvery = 20
	bodyRepeats   = 40
)

// body returns the whole body of the answer to a request.
func body(id string) string { return strings.Repeat("booking "+id+" confirmed\n", bodyRepeats) }

// server is a plain server. It is a process of its own.
type server struct {
	id       string
	unframed bool
	count    atomic.Int64
}

// ServeHTTP runs a request. It says on standard output which requests it runs and when half of an answer
// without a length is written.
func (sv *server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if want := req.Header.Get(platform.HeaderExpectEndpoint); want != "" && want != sv.id {
		w.Header().Set("X-Instance-Id", sv.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := req.Header.Get(platform.HeaderRequestID)
	fmt.Println("runs", id)
	text, seal := body(id), "seal-of-"+sv.id
	if sv.unframed && sv.count.Add(1)%unframedEvery == 0 {
		sv.answerUnframed(w, id, text, seal)
		return
	}
	time.Sleep(workTime)
	w.Header().Set(platform.HeaderRequestID, id)
	w.Header().Set(platform.HeaderSeal, seal)
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	_, _ = w.Write([]byte(text))
}

// answerUnframed sends an answer that ends with its connection.
func (sv *server) answerUnframed(w http.ResponseWriter, id, text, seal string) {
	nc, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer nc.Close()
	time.Sleep(workTime / 2)
	fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n%s: %s\r\n%s: %s\r\nConnection: close\r\n\r\n", platform.HeaderRequestID, id, platform.HeaderSeal, seal)
	fmt.Fprint(nc, text[:len(text)/2])
	fmt.Println("half", id)
	time.Sleep(workTime / 2)
	fmt.Fprint(nc, text[len(text)/2:])
}

// serve runs a server until it is killed.
func serve(id, addr string, unframed bool) int {
	if err := http.ListenAndServe(addr, &server{id: id, unframed: unframed}); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return notRun
}
