package priorityadmission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a server that loses some answers and is taken for one that
// starts anew again and again, and against a restart that goes unnoticed.
func TestEvidenceOfARestart(t *testing.T) {
	now := time.Unix(1000, 0)
	var e RestartDetector
	for range 20 {
		now = now.Add(60 * time.Millisecond)
		assert.Assert(t, !e.ConnectionsClosed(1, 5, now))
	}
	now = now.Add(time.Second)
	assert.Assert(t, !e.ConnectionsClosed(1, 5, now))
	assert.Assert(t, !e.ConnectionsClosed(1, 4, now.Add(10*time.Millisecond)))
	assert.Assert(t, e.ConnectionsClosed(1, 3, now.Add(20*time.Millisecond)))
	now = now.Add(time.Second)
	for i := range 5 {
		assert.Assert(t, !e.ConnectionsClosed(1, 12-i, now.Add(time.Duration(i)*time.Millisecond)), "lost answers under load")
	}
	assert.Assert(t, e.ConnectionsClosed(1, 0, now.Add(time.Minute)))
	assert.Assert(t, e.ConnectionsClosed(6, 2, now.Add(time.Hour)))
}
