package call_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/call"
)

// Guards against a process that runs requests after a pause although their
// deadline passed while they waited in its socket.
func TestDelayEstimatorSeesTimeInSocket(t *testing.T) {
	var e call.DelayEstimator
	base := time.Unix(100, 0)
	skew := 42 * time.Second
	for i := range 100 {
		d := time.Duration(i) * 10 * time.Millisecond
		got := e.ExtraDelay(d, base.Add(d), d+skew+time.Millisecond)
		assert.Equal(t, got, time.Duration(0))
	}
	sent := 2 * time.Second
	got := e.ExtraDelay(sent, base.Add(12*time.Second), sent+skew+10*time.Second)
	assert.Equal(t, got, 10*time.Second-time.Millisecond)
}

// Guards against an extra delay that is lost because the process was paused for
// longer than a window.
func TestDelayEstimatorSurvivesLongPause(t *testing.T) {
	var e call.DelayEstimator
	base := time.Unix(100, 0)
	e.ExtraDelay(0, base, 0)
	got := e.ExtraDelay(time.Second, base.Add(time.Hour), time.Hour)
	assert.Equal(t, got, time.Hour-time.Second)
}
