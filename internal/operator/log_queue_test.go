package operator

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against logging that blocks the process when its output is no longer
// read.
func TestLogQueueDoesNotBlockOnAnOutputThatIsNotRead(t *testing.T) {
	in, out := io.Pipe()
	r := NewLogQueue(out)
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		r.Run(ctx)
		close(done)
	}()
	log := slog.New(slog.NewJSONHandler(r, nil))
	began := time.Now()
	for i := range 5000 {
		log.Info("request ended", "n", i)
	}
	assert.Assert(t, time.Since(began) < 2*time.Second)
	assert.Assert(t, r.Dropped() >= 5000-maxQueuedLines-2, "%d", r.Dropped())
	cancel()
	var b bytes.Buffer
	go func() {
		<-done
		_ = out.Close()
	}()
	_, err := io.Copy(&b, in)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(b.String(), `"msg":"log lines dropped"`))
	assert.Equal(t, strings.Count(b.String(), "\n"), strings.Count(b.String(), "{"))
}
