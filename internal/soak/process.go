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

// graceTime is how long a process may take to stop once it was told to, as the
// settings of the emulated platform have it.
const graceTime = 8 * time.Second

// process is a daemon as a process of its own, started anew after each end.
type process struct {
	num             int
	binary, dir, ip string
	settings        string

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	starts int
	// reserved is set while a fault ends or pauses the process.
	reserved bool
}

// name tells one life of the daemon from others.
func (ps *process) name() string {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return fmt.Sprintf("daemon %d, start %d", ps.num, ps.starts)
}

// start starts the daemon with a log file for each life.
func (ps *process) start() error {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.starts++
	log, err := os.Create(filepath.Join(ps.dir, fmt.Sprintf("daemon-%d-%d.log", ps.num, ps.starts)))
	if err != nil {
		return eris.Wrap(err, "log file")
	}
	defer log.Close()
	cmd := exec.Command(ps.binary, "front", "--metrics-port=0")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+ps.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return eris.Wrap(err, "start daemon")
	}
	ended := make(chan struct{})
	ps.cmd, ps.ended = cmd, ended
	go func() {
		_ = cmd.Wait() // How it ended is in its log, or the soak's doing.
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process that this soak started, if it runs still.
func (ps *process) signal(sig syscall.Signal) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	select {
	case <-ps.ended:
	default:
		_ = ps.cmd.Process.Signal(sig) // It may just have ended.
	}
}

// kill ends the process at once and waits for its end.
func (ps *process) kill() {
	ps.signal(syscall.SIGKILL)
	<-ps.end()
}

func (ps *process) end() <-chan struct{} {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return ps.ended
}

// stop tells the process to stop and reports whether it ended in time.
func (ps *process) stop() bool {
	ps.signal(syscall.SIGTERM)
	select {
	case <-ps.end():
		return true
	case <-time.After(graceTime):
		ps.kill()
		return false
	}
}

// reserve makes a daemon the business of one fault that ends or pauses it; faults
// that do so to the same one at once would only undo each other.
func (ps *process) reserve() bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if ps.reserved {
		return false
	}
	ps.reserved = true
	return true
}

func (ps *process) release() {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.reserved = false
}
