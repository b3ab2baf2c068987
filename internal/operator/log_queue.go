package operator

import (
	"context"
	"io"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is the number of lines that can wait to be written. At 20
	// lines per second about requests, it covers half a minute in which the output
	// is not read.
	maxQueuedLines = 512
	// dropReportInterval is the minimum time between two lines that report
	// dropped lines.
	dropReportInterval = time.Second
)

// A LogQueue is an io.Writer for log lines that never blocks. Run writes the
// queued lines to Out. While the queue is full, new lines are dropped and counted.
// This lets a node continue to serve while its output is not read.
type LogQueue struct {
	// Out must be set before Run is called.
	Out io.Writer

	lines   chan []byte
	dropped atomic.Int64
}

// NewLogQueue returns an empty queue whose Run writes to out.
func NewLogQueue(out io.Writer) *LogQueue {
	return &LogQueue{Out: out, lines: make(chan []byte, maxQueuedLines)}
}

// Write implements io.Writer. It queues a copy of one complete line, or drops it,
// and never returns an error.
func (r *LogQueue) Write(line []byte) (int, error) {
	select {
	case r.lines <- append([]byte(nil), line...):
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (r *LogQueue) Dropped() int64 { return r.dropped.Load() }

// Run writes queued lines until ctx ends, and then those that remain. It reports
// the number of dropped lines as a log line.
func (r *LogQueue) Run(ctx context.Context) {
	var reported int64
	var nextReport time.Time
	for {
		select {
		case line := <-r.lines:
			r.write(line)
		case <-ctx.Done():
			for {
				select {
				case line := <-r.lines:
					r.write(line)
				default:
					return
				}
			}
		}
		if n := r.dropped.Load(); n > reported && time.Now().After(nextReport) {
			r.write([]byte(`{"time":"` + time.Now().UTC().Format(time.RFC3339Nano) +
				`","level":"WARN","msg":"log lines dropped","count":` + strconv.FormatInt(n-reported, 10) + "}\n"))
			reported, nextReport = n, time.Now().Add(dropReportInterval)
		}
	}
}

// write writes one line to Out. A line that cannot be written is counted as
// dropped, because there is no other place to report it.
func (r *LogQueue) write(line []byte) {
	if _, err := r.Out.Write(line); err != nil {
		r.dropped.Add(1)
	}
}
