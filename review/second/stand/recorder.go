// Package stand holds stand-ins for what surrounds the sidecar: the platform's store,
// instances, clients and the machines with their processes. They do what PROTOCOL and
// DEPLOY say and no more. All addresses are loopback addresses.
package stand

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// A Recorder writes what was sent, answered and run, one event a line.
type Recorder struct {
	start time.Time
	file  *os.File

	mu     sync.Mutex
	buffer *bufio.Writer
}

// NewRecorder creates the file.
func NewRecorder(path string) (*Recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Recorder{start: time.Now(), file: f, buffer: bufio.NewWriter(f)}, nil
}

// Printf writes one line, with the seconds since the start before it.
func (r *Recorder) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.buffer, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.buffer, format, args...)
	_ = r.buffer.WriteByte('\n')
}

// Verdict writes a line to the record and to standard output.
func (r *Recorder) Verdict(format string, args ...any) {
	r.Printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close writes what is buffered.
func (r *Recorder) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.buffer.Flush()
	_ = r.file.Close()
}
