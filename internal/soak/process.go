package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"corianderhub.dev/corianderhub/platform"
)

// graceTime is how long a daemon may take to exit after SIGTERM. It matches the
// settings of the emulated platform.
const graceTime = 8 * time.Second

// process is a daemon that runs as an operating system process. It can be started again
// after each exit.
type process struct {
	num             int
	binary, dir, ip string
	settings        string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	starts int
}

// id identifies the daemon over all its incarnations.
func (ps *process) id() string { return fmt.Sprint("daemon-", ps.num) }

// name identifies one incarnation of the daemon.
func (ps *process) name() string {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return fmt.Sprintf("daemon %d, start %d", ps.num, ps.starts)
}

// start starts the daemon with a new log file for this incarnation.
func (ps *process) start() error {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.starts++
	log, err := os.Create(filepath.Join(ps.dir, fmt.Sprintf("daemon-%d-%d.log", ps.num, ps.starts)))
	if err != nil {
		return eris.Wrap(err, "create log file of daemon")
	}
	defer log.Close()
	cmd := exec.Command(ps.binary, "front", "--metrics-port=0")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+ps.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return eris.Wrap(err, "start daemon")
	}
	exited := make(chan struct{})
	ps.cmd, ps.exited = cmd, exited
	go func() {
		_ = cmd.Wait() // The log holds the cause of the exit unless a fault caused it.
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process unless it has exited.
func (ps *process) signal(sig syscall.Signal) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	select {
	case <-ps.exited:
	default:
		_ = ps.cmd.Process.Signal(sig) // The process may just have exited.
	}
}

// kill kills the process and waits for its exit.
func (ps *process) kill() {
	ps.signal(syscall.SIGKILL)
	<-ps.done()
}

// done returns a channel that is closed when the current incarnation has exited.
func (ps *process) done() <-chan struct{} {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return ps.exited
}

// stop sends SIGTERM and reports whether the process exited within graceTime. If not,
// it kills the process.
func (ps *process) stop() bool {
	ps.signal(syscall.SIGTERM)
	select {
	case <-ps.done():
		return true
	case <-time.After(graceTime):
		ps.kill()
		return false
	}
}
