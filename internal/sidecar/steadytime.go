package sidecar

import (
	"sync/atomic"
	"time"
)

// steadyOrigin is the origin of every steadyTime. It lies so long before the start of
// the process that a zero steadyTime is older than every time that is waited for.
var steadyOrigin = time.Now().Add(-time.Hour)

// A steadyTime is a time of the steady clock that several goroutines use. A jump of the
// time of day does not change its age. Its zero value means never.
type steadyTime struct{ sinceOrigin atomic.Int64 }

func (s *steadyTime) set(t time.Time) { s.sinceOrigin.Store(int64(t.Sub(steadyOrigin))) }

// age returns the time from s to now.
func (s *steadyTime) age(now time.Time) time.Duration {
	return now.Sub(steadyOrigin) - time.Duration(s.sinceOrigin.Load())
}
