package priorityadmission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against lost answers of a running server that are mistaken for
// restarts, and against a restart that goes undetected.
func TestRestartDetector(t *testing.T) {
	now := time.Unix(1000, 0)
	var d RestartDetector
	for range 20 {
		now = now.Add(60 * time.Millisecond)
		assert.Assert(t, !d.ConnectionsClosed(1, 5, now))
	}
	now = now.Add(time.Second)
	assert.Assert(t, !d.ConnectionsClosed(1, 5, now))
	assert.Assert(t, !d.ConnectionsClosed(1, 4, now.Add(10*time.Millisecond)))
	assert.Assert(t, d.ConnectionsClosed(1, 3, now.Add(20*time.Millisecond)))
	now = now.Add(time.Second)
	for i := range 5 {
		assert.Assert(t, !d.ConnectionsClosed(1, 12-i, now.Add(time.Duration(i)*time.Millisecond)), "lost answers under load")
	}
	assert.Assert(t, d.ConnectionsClosed(1, 0, now.Add(time.Minute)))
	assert.Assert(t, d.ConnectionsClosed(6, 2, now.Add(time.Hour)))
}
