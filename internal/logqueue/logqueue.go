// Package logqueue writes log lines without ever making a request wait: a
// reader that stops reading standard output costs lines, not time.
package logqueue

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// maxLines bounds the lines that wait to be written: some seconds of a busy
// daemon, in about 1 MB.
const maxLines = 4096

// maxBatch bounds the bytes of one write.
const maxBatch = 32 << 10

var dropped = metrics.NewCounter("corianderhub_log_lines_dropped_total")

// Queue is an io.Writer for a log handler. Make it with New and call Run.
type Queue struct {
	out     io.Writer
	lines   chan []byte
	missing atomic.Int64
}

// New returns a queue in front of out.
func New(out io.Writer) *Queue {
	return &Queue{out: out, lines: make(chan []byte, maxLines)}
}

// Write takes one line. It never blocks: a line that finds the queue full is
// dropped and counted.
func (qu *Queue) Write(line []byte) (int, error) {
	select {
	case qu.lines <- append([]byte(nil), line...):
	default:
		qu.missing.Add(1)
		dropped.Inc()
	}
	return len(line), nil
}

// Run writes lines until ctx ends, and then those that wait.
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

// write writes a line together with those that wait behind it.
func (qu *Queue) write(batch []byte) {
	for len(batch) < maxBatch {
		select {
		case line := <-qu.lines:
			batch = append(batch, line...)
			continue
		default:
		}
		break
	}
	if num := qu.missing.Swap(0); num > 0 {
		batch = append(batch, fmt.Sprintf("level=WARN msg=\"log: lines dropped.\" count=%d\n", num)...)
	}
	// There is nowhere to tell that standard output is gone.
	_, _ = qu.out.Write(batch)
}

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
