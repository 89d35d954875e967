//go:build review

// Command standin runs daemons and plain servers as separate processes in front of an emulated platform, for
// the cases of the review.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"corianderhub.dev/corianderhub/platform"
	"corianderhub.dev/corianderhub/platform/emulator"
)

const (
	numDaemons = 3
	numServers = 3
	numModels  = 6
	// clientsPerDaemon send one request after the other. Every other one sends requests that must not be
	// repeated.
	clientsPerDaemon = 3
	readyLimit       = 40 * time.Second
	sendPause        = 10 * time.Millisecond
	callTimeout      = 1500 * time.Millisecond
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// arrival is a request that a server has begun to run.
type arrival struct {
	server, id string
	at         time.Time
}

// run is one run of a case.
type run struct {
	dir, binary string
	subnet      int
	trouble     bool
	record      io.Writer
	begin       time.Time
	platform    *emulator.Deployment
	// proxies are in front of the store, one for each daemon.
	proxies   []*cutProxy
	processes []*exec.Cmd
	servers   []*exec.Cmd
	// half receives the request of an answer without a length when half of it is written.
	half    chan string
	numHalf atomic.Int64

	mu       sync.Mutex
	sent     int
	statuses map[string]int
	arrivals []arrival
	answers  map[string]answer
}

func (ru *run) note(format string, args ...any) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	fmt.Fprintf(ru.record, "%7.3f  %s\n", time.Since(ru.begin).Seconds(), fmt.Sprintf(format, args...))
}

func (ru *run) ip(num int) string { return fmt.Sprintf("127.0.%d.%d", ru.subnet, num+1) }

func serverID(num int) string { return fmt.Sprintf("i-desk-%d", num+1) }

// start starts the platform, the servers and the daemons, and waits until every daemon serves.
func (ru *run) start(ctx context.Context) error {
	ru.platform = &emulator.Deployment{ModelServers: numModels, EventInterval: 50 * time.Millisecond}
	if err := ru.platform.Start(ctx); err != nil {
		return err
	}
	for num := range numServers {
		if err := ru.startServer(num); err != nil {
			return err
		}
	}
	for num := range numDaemons {
		if err := ru.startDaemon(num); err != nil {
			return err
		}
	}
	until := time.Now().Add(readyLimit)
	for num := range numDaemons {
		for ru.send(num, "/slot/", fmt.Sprintf("ready-%d-%d", num, time.Now().UnixNano())).status != http.StatusOK {
			if time.Now().After(until) {
				return fmt.Errorf("daemon %d doesn't serve", num)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	ru.note("all %d daemons serve", numDaemons)
	return nil
}

// startServer starts a plain server and registers it in the store.
func (ru *run) startServer(num int) error {
	id, addr := serverID(num), net.JoinHostPort(ru.ip(100+num), "18200")
	cmd := exec.Command(os.Args[0], "server", id, addr, fmt.Sprint(num == 0))
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := ru.launch(cmd); err != nil {
		return err
	}
	ru.servers = append(ru.servers, cmd)
	go ru.follow(id, out)
	entry, err := json.Marshal(map[string]any{"service": "desk", "address": addr, "zone": emulator.DataCenter, "version": "v1",
		"slots": 6, "state": "ready", "cold_left_ms": 0, "sequence": 1})
	if err != nil {
		return err
	}
	ru.platform.Store.Put(platform.EndpointPrefix+id, entry)
	return nil
}

// follow reads what a server says.
func (ru *run) follow(server string, out io.Reader) {
	sc := bufio.NewScanner(out)
	for sc.Scan() {
		what, id, _ := strings.Cut(sc.Text(), " ")
		switch what {
		case "runs":
			ru.mu.Lock()
			ru.arrivals = append(ru.arrivals, arrival{server, id, time.Now()})
			ru.mu.Unlock()
		case "half":
			ru.numHalf.Add(1)
			select {
			case ru.half <- id:
			default:
			}
		}
	}
}

func (ru *run) startDaemon(num int) error {
	_, store, err := ru.platform.OpenStoreProxy()
	if err != nil {
		return err
	}
	cp := &cutProxy{target: store}
	if store, err = cp.start(); err != nil {
		return err
	}
	ru.proxies = append(ru.proxies, cp)
	file := filepath.Join(ru.dir, fmt.Sprintf("daemon-%d.json", num))
	raw := emulator.Settings(fmt.Sprintf("entry-%d", num), ru.ip(num), store, []string{ru.ip(0) + ":18082", ru.ip(1) + ":18082"})
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(ru.dir, fmt.Sprintf("daemon-%d.log", num)))
	if err != nil {
		return err
	}
	cmd := exec.Command(ru.binary, "front")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+file)
	cmd.Stdout, cmd.Stderr = log, log
	return ru.launch(cmd)
}

// launch starts a process that ends with this one.
func (ru *run) launch(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ru.processes = append(ru.processes, cmd)
	return nil
}

// stop ends all processes.
func (ru *run) stop() {
	for _, cmd := range ru.processes {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

// answer is what a client got.
type answer struct {
	path   string
	daemon int
	status int
	seal   string
	body   string
	err    error
}

// send sends a request to a daemon.
func (ru *run) send(num int, path, id string) answer {
	an := answer{path: path, daemon: num}
	cl := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callTimeout}
	req, err := http.NewRequest(http.MethodPost, "http://"+ru.ip(num)+":18080"+path, strings.NewReader("a booking"))
	if err != nil {
		an.err = err
		return an
	}
	req.Host = emulator.Host
	req.Header.Set(platform.HeaderRequestID, id)
	req.Header.Set(platform.HeaderAuthorization, "Token "+emulator.APIKey)
	req.Header.Set(platform.HeaderDeadline, fmt.Sprint(callTimeout.Milliseconds()))
	rsp, err := cl.Do(req)
	if err != nil {
		an.err = err
		return an
	}
	defer rsp.Body.Close()
	text, err := io.ReadAll(rsp.Body)
	an.status, an.seal, an.body, an.err = rsp.StatusCode, rsp.Header.Get(platform.HeaderSeal), string(text), err
	return an
}

// clients sends requests to all daemons but one until ctx ends; -1 leaves out none.
func (ru *run) clients(ctx context.Context, except int) *sync.WaitGroup {
	var wg sync.WaitGroup
	for num := range numDaemons {
		if num == except {
			continue
		}
		for cn := range clientsPerDaemon {
			path := []string{"/confirm/", "/slot/"}[cn%2]
			wg.Go(func() {
				for i := 0; ctx.Err() == nil; i++ {
					id := fmt.Sprintf("r-%d-%d-%d", num, cn, i)
					ru.count(id, ru.send(num, path, id))
					time.Sleep(sendPause)
				}
			})
		}
	}
	return &wg
}

// count records an answer.
func (ru *run) count(id string, an answer) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.sent++
	ru.answers[id] = an
	if an.err != nil {
		ru.statuses["broken off"]++
		return
	}
	ru.statuses[fmt.Sprint(an.status)]++
}

// freeSubnet returns a subnet of the loopback network on which the daemons' ports are free.
func freeSubnet() (int, error) {
	for subnet := 20 + os.Getpid()%100; subnet < 250; subnet++ {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.1:18080", subnet))
		if err == nil {
			return subnet, ln.Close()
		}
	}
	return 0, fmt.Errorf("no free addresses")
}

var cases = map[string]func(*run, context.Context) int{"truncation": (*run).truncation, "leaving": (*run).leaving}

func main() {
	if len(os.Args) == 5 && os.Args[1] == "server" {
		os.Exit(serve(os.Args[2], os.Args[3], os.Args[4] == "true"))
	}
	if len(os.Args) != 5 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin truncation|leaving DAEMON DIR RECORD")
		os.Exit(notRun)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2], os.Args[3], os.Args[4]))
}

func runCase(check func(*run, context.Context) int, binary, dir, recordFile string) int {
	record, err := os.Create(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer record.Close()
	subnet, err := freeSubnet()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ru := &run{dir: dir, binary: binary, subnet: subnet, trouble: os.Getenv("TROUBLE") != "0", record: record, begin: time.Now(),
		half: make(chan string, 1), statuses: make(map[string]int), answers: make(map[string]answer)}
	defer ru.stop()
	if err := ru.start(ctx); err != nil {
		ru.note("could not start: %v", err)
		return notRun
	}
	return check(ru, ctx)
}
