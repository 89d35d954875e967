package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/intent"
	"corianderhub.dev/corianderhub/internal/daemon"
	"corianderhub.dev/corianderhub/internal/peer"
	"corianderhub.dev/corianderhub/internal/standin"
	"corianderhub.dev/corianderhub/pkg/admin"
)

const (
	// settleTime is the time for the daemons to find each other before measuring.
	settleTime  = 15 * time.Second
	measureTime = 8 * time.Second
	// firstPort is the first port of the first daemon; each daemon has ten.
	firstPort  = 21000
	benchToken = "bench"
	// pullInterval is the pause between pulls at the size that the system is designed
	// for.
	pullInterval = time.Second
)

// benchControl measures the cost of daemons without requests: bytes between daemons,
// processor time, memory, calls to the platform, and the time until a change is in
// force at all daemons. All daemons run in this process, so processor time and memory
// include their listeners and the platform's test double.
func benchControl(ctx context.Context) error {
	for _, num := range []int{3, 9, 30, 100} {
		if err := benchDaemons(ctx, num); err != nil {
			return err
		}
	}
	return nil
}

// benchDaemons measures num daemons in this process.
func benchDaemons(ctx context.Context, num int) error {
	keys, err := peer.NewMaterial(time.Now())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	pl := standin.NewPlatform(nil, 0)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cancel()
		return err
	}
	go http.Serve(ln, pl.Handler())
	var wg sync.WaitGroup
	for i := range num {
		da := &daemon.Daemon{Settings: benchSettings(i, ln.Addr().String()), Keys: keys, Clock: clock.System{},
			Log: slog.New(slog.NewTextHandler(io.Discard, nil))}
		wg.Go(func() {
			if err := da.Run(ctx); err != nil {
				fmt.Println(err)
			}
		})
	}
	time.Sleep(settleTime)
	measureIdle(num, pl)
	err = measureApply(ctx, num)
	cancel()
	wg.Wait()
	ln.Close()
	return err
}

// listenAddr returns the address of a daemon's nth listener: 0 for callers, 1 for
// operators, 2 for peers, 3 for metrics.
func listenAddr(daemon, nth int) string { return fmt.Sprintf("127.0.0.1:%d", firstPort+10*daemon+nth) }

// benchSettings returns the settings of daemon number i.
func benchSettings(i int, platform string) daemon.Settings {
	sum := sha256.Sum256([]byte(benchToken))
	pull := intent.Duration(pullInterval)
	ms := intent.Duration(time.Millisecond)
	return daemon.Settings{
		Name: fmt.Sprintf("b%03d", i), DataCenter: "dc", Region: "r", Platform: platform, Seeds: []string{listenAddr(0, 2)},
		Listen:   daemon.Listen{Caller: listenAddr(i, 0), Operator: listenAddr(i, 1), Peer: listenAddr(i, 2), Metrics: listenAddr(i, 3)},
		Operator: daemon.Operator{TokenSHA256: hex.EncodeToString(sum[:])},
		Timing: daemon.Timing{Probe: 500 * ms, Sweep: 5000 * ms, Permit: 3000 * ms, Pull: pull, Lease: 6000 * ms, List: 5000 * ms,
			ProbeBytes: 1, Entries: ms, Stall: 1000 * ms, Drain: 1000 * ms},
	}
}

// processorTime returns the user and system time of this process, or 0 if it can't be
// read.
func processorTime() time.Duration {
	var ru syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &ru) != nil {
		return 0
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

// measureIdle prints the cost of num daemons over measureTime.
func measureIdle(num int, pl *standin.Platform) {
	sent := metrics.GetOrCreateCounter("corianderhub_peer_bytes_sent_total")
	received := metrics.GetOrCreateCounter("corianderhub_peer_bytes_received_total")
	bytes, cpu, calls := sent.Get()+received.Get(), processorTime(), totalCalls(pl)
	time.Sleep(measureTime)
	per := 1 / measureTime.Seconds() / float64(num)
	printRow(fmt.Sprintf("control.bytes daemons=%d", num), float64(sent.Get()+received.Get()-bytes)*per, "bytes/s each, both ways")
	printRow(fmt.Sprintf("control.processor daemons=%d", num), (processorTime()-cpu).Seconds()*100*per, "% of a core each")
	printRow(fmt.Sprintf("control.platform daemons=%d", num), float64(totalCalls(pl)-calls)/measureTime.Seconds(), "calls/s in all")
	var ms runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&ms)
	printRow(fmt.Sprintf("control.memory daemons=%d", num), float64(ms.HeapInuse+ms.StackInuse)/float64(num)/(1<<20), "MB each")
}

// totalCalls returns the number of calls to the platform's store so far.
func totalCalls(pl *standin.Platform) int {
	sum := 0
	for _, calls := range pl.Store.Calls() {
		sum += calls
	}
	return sum
}

// measureApply applies changes and prints the longest time from the acceptance of a
// change until it is in force at all num daemons.
func measureApply(ctx context.Context, num int) error {
	cl := &admin.Client{Address: listenAddr(0, 1), Token: benchToken}
	const changes = 3
	worst := time.Duration(0)
	for i := range changes {
		text := fmt.Sprintf("[policy]\ndowntime-weight = %d.0\nstranded-weight = 1.0\n", i+1)
		done, err := cl.Apply(ctx, admin.Apply{File: "bench", Text: text})
		if err != nil {
			return err
		}
		begin := time.Now()
		for !inForce(ctx, cl, done.Revision, num) {
			if time.Since(begin) > time.Minute {
				return fmt.Errorf("revision %d is not in force at all daemons after a minute", done.Revision)
			}
		}
		worst = max(worst, time.Since(begin))
	}
	printRow(fmt.Sprintf("config.in-force daemons=%d", num), worst.Seconds(), "s, the slowest of 3 changes")
	return nil
}

// inForce reports whether num daemons or more are known and all of them have the
// revision or a newer one.
func inForce(ctx context.Context, cl *admin.Client, revision uint64, num int) bool {
	st, err := cl.Status(ctx)
	if err != nil || len(st.Daemons) < num {
		return false
	}
	for _, dm := range st.Daemons {
		if dm.Revision < revision {
			return false
		}
	}
	return true
}
