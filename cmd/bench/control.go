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
	settleTime  = 15 * time.Second
	measureTime = 8 * time.Second
	firstPort   = 21000
	benchToken  = "bench"
	// letterPull is the pause between pulls at the size designed for.
	letterPull = time.Second
)

// benchControl measures what daemons cost that have no requests: bytes between
// daemons, processor time, memory, calls at the platform, and how long a
// change takes to be in force everywhere. All daemons run in this process, so
// processor time and memory include their listeners and the stand-in.
func benchControl(ctx context.Context) error {
	for _, num := range []int{3, 9, 30, 100} {
		if err := controlAt(ctx, num); err != nil {
			return err
		}
	}
	return nil
}

func controlAt(ctx context.Context, num int) error {
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
	measureControl(num, pl)
	err = measureApply(ctx, num)
	cancel()
	wg.Wait()
	ln.Close()
	return err
}

func port(daemon, nth int) string { return fmt.Sprintf("127.0.0.1:%d", firstPort+10*daemon+nth) }

func benchSettings(i int, platform string) daemon.Settings {
	sum := sha256.Sum256([]byte(benchToken))
	pull := intent.Duration(letterPull)
	ms := intent.Duration(time.Millisecond)
	return daemon.Settings{
		Name: fmt.Sprintf("b%03d", i), DataCenter: "dc", Region: "r", Platform: platform, Seeds: []string{port(0, 2)},
		Listen:   daemon.Listen{Caller: port(i, 0), Operator: port(i, 1), Peer: port(i, 2), Metrics: port(i, 3)},
		Operator: daemon.Operator{TokenSHA256: hex.EncodeToString(sum[:])},
		Timing: daemon.Timing{Probe: 500 * ms, Sweep: 5000 * ms, Permit: 3000 * ms, Pull: pull, Lease: 6000 * ms, List: 5000 * ms,
			ProbeBytes: 1, Entries: ms, Stall: 1000 * ms, Drain: 1000 * ms},
	}
}

func processorTime() time.Duration {
	var ru syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &ru) != nil {
		return 0
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

func measureControl(num int, pl *standin.Platform) {
	sent := metrics.GetOrCreateCounter("corianderhub_peer_bytes_sent_total")
	received := metrics.GetOrCreateCounter("corianderhub_peer_bytes_received_total")
	bytes, cpu, calls := sent.Get()+received.Get(), processorTime(), total(pl)
	time.Sleep(measureTime)
	per := 1 / measureTime.Seconds() / float64(num)
	row(fmt.Sprintf("control.bytes daemons=%d", num), float64(sent.Get()+received.Get()-bytes)*per, "bytes/s each, both ways")
	row(fmt.Sprintf("control.processor daemons=%d", num), (processorTime()-cpu).Seconds()*100*per, "% of a core each")
	row(fmt.Sprintf("control.platform daemons=%d", num), float64(total(pl)-calls)/measureTime.Seconds(), "calls/s in all")
	var ms runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&ms)
	row(fmt.Sprintf("control.memory daemons=%d", num), float64(ms.HeapInuse+ms.StackInuse)/float64(num)/(1<<20), "MB each")
}

func total(pl *standin.Platform) int {
	sum := 0
	for _, calls := range pl.Store.Calls() {
		sum += calls
	}
	return sum
}

// measureApply times changes from their acceptance until they are in force at
// every daemon.
func measureApply(ctx context.Context, num int) error {
	cl := &admin.Client{Address: port(0, 1), Token: benchToken}
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
				return fmt.Errorf("revision %d is not in force everywhere after a minute", done.Revision)
			}
		}
		worst = max(worst, time.Since(begin))
	}
	row(fmt.Sprintf("config.in-force daemons=%d", num), worst.Seconds(), "s, the slowest of 3 changes")
	return nil
}

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
