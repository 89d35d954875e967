package main

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

const daemonIP = "127.0.203.1"

// daemonSettings are the settings of a daemon whose store can't be reached.
const daemonSettings = `{"node": "entry-1", "role": "entry", "ip": %[1]q, "zone": "a", "region": "r",
"listen": {"front": "%[1]s:8227", "ready": "%[1]s:8220", "control": "%[1]s:8229", "directory": "%[1]s:8224"},
"port_range": [7340, 7355], "seeds": ["%[1]s:8229"], "limits": {"cpu_share": 0.4, "memory_mb": 284, "max_fds": 4100}, "heartbeat_ms": 1200,
"bounds": {"drain_ms": 2000, "grace_s": 8, "config_apply_ms": 2000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 136, "stall_ms": 6000, "ttl_max_s": 5},
"platform": {"address": "%[1]s:8223", "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "ttl_min_ms": 1000}}`

// program returns a command that runs the program's own main with args in a process of its own.
func program(t *testing.T, args ...string) *exec.Cmd {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(file, fmt.Appendf(nil, daemonSettings, daemonIP), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), runMain+"=1", "CORIANDERHUB_SETTINGS="+file)
	return cmd
}

// runMain is the environment variable that makes the test program run main.
const runMain = "CORIANDERHUB_TEST_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMain) != "" {
		main()
	}
	os.Exit(m.Run())
}

// Guards against a daemon that ends with all its requests when the reader of its log has ended.
func TestDaemonOutlivesReaderOfItsLog(t *testing.T) {
	cmd := program(t, "front", "--metrics-port", "0")
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	if _, err := bufio.NewReader(out).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	out.Close()
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	for range 10 {
		cmd.Process.Signal(syscall.SIGHUP) // The daemon writes a line.
		select {
		case err := <-ended:
			t.Fatalf("the daemon has ended: %v", err)
		case <-time.After(100 * time.Millisecond):
		}
	}
	cmd.Process.Kill()
	<-ended
}

// Guards against a daemon that a hangup ends at once, with the requests in flight.
func TestServeOutlivesHangup(t *testing.T) {
	dir := t.TempDir()
	if out, err := program(t, "keys", dir).CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	text := fmt.Sprintf("name = \"a\"\ndata-center = \"d\"\nplatform = \"%[1]s:8301\"\nseeds = [\"%[1]s:8302\"]\n"+
		"[listen]\ncaller = \"%[1]s:8303\"\noperator = \"%[1]s:8304\"\npeer = \"%[1]s:8302\"\nmetrics = \"%[1]s:8305\"\n"+
		"[tls]\nca = \"%[2]s/ca.pem\"\ncert = \"%[2]s/daemon.pem\"\nkey = \"%[2]s/daemon-key.pem\"\n"+
		"[operator]\ntoken-sha256 = \"%064[3]d\"\n", daemonIP, dir, 0)
	file := filepath.Join(dir, "daemon.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := program(t, "serve", file)
	out, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	if line, err := bufio.NewReader(out).ReadString('\n'); err != nil {
		t.Fatalf("%v after %q", err, line)
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	cmd.Process.Signal(syscall.SIGHUP)
	select {
	case err := <-ended:
		t.Fatalf("the daemon has ended: %v", err)
	case <-time.After(500 * time.Millisecond):
	}
	cmd.Process.Kill()
	<-ended
}
