//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"corianderhub.dev/corianderhub/platform"
	"corianderhub.dev/corianderhub/platform/emulator"
)

const (
	numDaemons = 3
	// eventInterval is the time between two events of a stream.
	eventInterval = 60 * time.Millisecond
	// readyTimeout bounds the start of a daemon, and of the whole deployment.
	readyTimeout = 20 * time.Second
	// grace is the time between SIGTERM and SIGKILL, as in the settings.
	grace = 8 * time.Second
	// Ports of the daemons, as in the emulator's settings.
	callersPort, readyPort, metricsPort = 18080, 18081, 9464
)

// lab is a small deployment with three daemons.
type lab struct {
	binary string
	record io.Writer
	began  time.Time
	// trouble is unset if the script runs without its disruption.
	trouble bool

	mu         sync.Mutex
	dir        string
	deployment *emulator.Deployment
	subnet     int
	store      string
	daemons    []*daemon
	cancel     context.CancelFunc
}

// daemon is a daemon's process.
type daemon struct {
	ip, settings string
	cmd          *exec.Cmd
	exited       chan struct{}
}

// note writes a line to the record and to standard output.
func (la *lab) note(format string, args ...any) {
	la.mu.Lock()
	defer la.mu.Unlock()
	line := fmt.Sprintf("%7.3f s  ", time.Since(la.began).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Println(line)
	fmt.Fprintln(la.record, line)
}

// start starts the platform and the daemons, and waits until they serve.
func (la *lab) start(ctx context.Context) error {
	var err error
	if la.dir, err = os.MkdirTemp("", "review-lab-"); err != nil {
		return err
	}
	if la.subnet, err = freeSubnet(); err != nil {
		return err
	}
	ctx, la.cancel = context.WithCancel(ctx)
	la.deployment = &emulator.Deployment{ModelServers: 6, PlainServers: 3, EventInterval: eventInterval}
	if err := la.deployment.Start(ctx); err != nil {
		return err
	}
	if _, la.store, err = la.deployment.OpenStoreProxy(); err != nil {
		return err
	}
	for num := 1; num <= numDaemons; num++ {
		da := &daemon{ip: la.ip(num), settings: filepath.Join(la.dir, fmt.Sprintf("daemon-%d.json", num))}
		if err := os.WriteFile(da.settings, la.settings(num), 0o600); err != nil {
			return err
		}
		la.daemons = append(la.daemons, da)
		if err := la.startDaemon(da); err != nil {
			return err
		}
	}
	for _, da := range la.daemons {
		if !da.awaitReady(ctx, readyTimeout) {
			return fmt.Errorf("daemon %s is not ready", da.ip)
		}
	}
	return la.awaitGroups(ctx)
}

func (la *lab) ip(num int) string { return fmt.Sprintf("127.0.%d.%d", la.subnet, num) }

// settings returns the settings file of a daemon.
func (la *lab) settings(num int) []byte {
	seeds := []string{la.ip(1) + ":18082", la.ip(2) + ":18082"}
	return emulator.Settings(fmt.Sprintf("entry-%d", num), la.ip(num), la.store, seeds)
}

// startDaemon starts a daemon with the command of the deploy file.
func (la *lab) startDaemon(da *daemon) error {
	log, err := os.OpenFile(da.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(la.binary, "front")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+da.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	da.cmd, da.exited = cmd, exited
	go func() {
		_ = cmd.Wait() // The exit code is in ProcessState.
		close(exited)
	}()
	return nil
}

// ended reports whether the daemon's process ends within limit.
func (da *daemon) ended(limit time.Duration) bool {
	select {
	case <-da.exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// stop ends all processes and removes the temporary folder.
func (la *lab) stop() {
	for _, da := range la.daemons {
		if da.cmd != nil {
			_ = da.cmd.Process.Signal(syscall.SIGKILL) // It may have ended.
			<-da.exited
		}
	}
	if la.cancel != nil {
		la.cancel()
	}
	if la.dir != "" {
		_ = os.RemoveAll(la.dir) // It is a temporary folder.
	}
}

// ready reports whether the daemon's readiness check succeeds.
func (da *daemon) ready() bool {
	client := http.Client{Timeout: time.Second}
	rsp, err := client.Get("http://" + address(da.ip, readyPort) + platform.PathReady)
	if err != nil {
		return false
	}
	rsp.Body.Close()
	return rsp.StatusCode == http.StatusOK
}

func (da *daemon) awaitReady(ctx context.Context, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		if da.ready() {
			return true
		}
	}
	return false
}

// awaitGroups waits until groups of both models serve.
func (la *lab) awaitGroups(ctx context.Context) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		leaders := la.deployment.Fleet.OpenLeaders(time.Now())
		if len(leaders[emulator.ModelLarge]) > 0 && len(leaders[emulator.ModelSmall]) > 0 {
			time.Sleep(time.Second) // The daemons learn of the groups.
			return nil
		}
	}
	return errors.New("no groups serve")
}

// freeSubnet returns a number N such that the addresses 127.0.N.x are not in use.
func freeSubnet() (int, error) {
	for subnet := 150; subnet < 250; subnet++ {
		if isFree(subnet) {
			return subnet, nil
		}
	}
	return 0, errors.New("no free loopback addresses")
}

func isFree(subnet int) bool {
	for num := 1; num <= numDaemons; num++ {
		for _, port := range []int{callersPort, readyPort, metricsPort} {
			ln, err := net.Listen("tcp", address(fmt.Sprintf("127.0.%d.%d", subnet, num), port))
			if err != nil {
				return false
			}
			ln.Close()
		}
	}
	return true
}

func address(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }
