package operator

import (
	"context"
	"io"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// ringLines bounds the lines that wait to be written. At 20 lines a second
	// about requests they cover half a minute of an output that is not read.
	ringLines = 512
	// droppedEvery is the least pause between two lines about dropped lines.
	droppedEvery = time.Second
)

// A LogQueue is an io.Writer for logs that never blocks: lines wait in a bounded
// ring for a writer of their own, and those that find it full are dropped and
// counted. A host whose output is not read goes on serving.
type LogQueue struct {
	// Out is set before Run.
	Out io.Writer

	lines   chan []byte
	dropped atomic.Int64
}

// NewLogQueue returns a queue that writes to out once Run is called.
func NewLogQueue(out io.Writer) *LogQueue {
	return &LogQueue{Out: out, lines: make(chan []byte, ringLines)}
}

// Write implements io.Writer for one whole line. It takes a copy and never
// fails.
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

// Run writes lines until ctx ends and then those that still wait.
func (r *LogQueue) Run(ctx context.Context) {
	var told int64
	var next time.Time
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
		if n := r.dropped.Load(); n > told && time.Now().After(next) {
			r.write([]byte(`{"time":"` + time.Now().UTC().Format(time.RFC3339Nano) +
				`","level":"WARN","msg":"log lines dropped","count":` + strconv.FormatInt(n-told, 10) + "}\n"))
			told, next = n, time.Now().Add(droppedEvery)
		}
	}
}

// write drops what the output refuses: there is no other place to report it.
func (r *LogQueue) write(line []byte) {
	if _, err := r.Out.Write(line); err != nil {
		r.dropped.Add(1)
	}
}
