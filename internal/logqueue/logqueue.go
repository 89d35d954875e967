// Package logqueue writes log lines without ever blocking a request. If the reader of
// standard output stalls, lines are lost, but requests do not wait.
package logqueue

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// maxQueuedLines limits the queue: some seconds of the output of a busy daemon, about
// 1 MB.
const maxQueuedLines = 4096

// maxBatchBytes is the size from which a write takes no further lines.
const maxBatchBytes = 32 << 10

// dropped counts the lines that were dropped because the queue was full.
var dropped = metrics.NewCounter("corianderhub_log_lines_dropped_total")

// Queue is an io.Writer for a log handler. Create it with New and call Run.
type Queue struct {
	out   io.Writer
	lines chan []byte
	// unreportedDrops counts dropped lines that the output does not mention yet.
	unreportedDrops atomic.Int64
}

// New returns a queue that writes to out.
func New(out io.Writer) *Queue {
	return &Queue{out: out, lines: make(chan []byte, maxQueuedLines)}
}

// Write queues one line. It never blocks and never fails: if the queue is full, the
// line is dropped and counted.
func (qu *Queue) Write(line []byte) (int, error) {
	select {
	case qu.lines <- append([]byte(nil), line...):
	default:
		qu.unreportedDrops.Add(1)
		dropped.Inc()
	}
	return len(line), nil
}

// Run writes lines until ctx ends, then writes the remaining ones and returns nil.
func (qu *Queue) Run(ctx context.Context) error {
	for {
		select {
		case line := <-qu.lines:
			qu.write(line)
		case <-ctx.Done():
			qu.flush()
			return nil
		}
	}
}

// write writes a line together with the lines queued behind it, and reports dropped
// lines.
func (qu *Queue) write(batch []byte) {
	for len(batch) < maxBatchBytes {
		select {
		case line := <-qu.lines:
			batch = append(batch, line...)
			continue
		default:
		}
		break
	}
	if num := qu.unreportedDrops.Swap(0); num > 0 {
		batch = append(batch, fmt.Sprintf("level=WARN msg=\"log: lines dropped.\" count=%d\n", num)...)
	}
	// A failure of standard output cannot be reported anywhere.
	_, _ = qu.out.Write(batch)
}

// flush writes all queued lines.
func (qu *Queue) flush() {
	for {
		select {
		case line := <-qu.lines:
			qu.write(line)
		default:
			return
		}
	}
}
