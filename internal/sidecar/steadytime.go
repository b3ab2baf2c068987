package sidecar

import (
	"sync/atomic"
	"time"
)

// steadyOrigin is the origin of every steadyTime.
var steadyOrigin = time.Now()

// A steadyTime is a time of the steady clock that several goroutines use. A jump of the
// time of day does not change its age. Its zero value is the start of the process.
type steadyTime struct{ sinceOrigin atomic.Int64 }

func (s *steadyTime) set(t time.Time) { s.sinceOrigin.Store(int64(t.Sub(steadyOrigin))) }

// age returns the time from s to now.
func (s *steadyTime) age(now time.Time) time.Duration {
	return now.Sub(steadyOrigin) - time.Duration(s.sinceOrigin.Load())
}
