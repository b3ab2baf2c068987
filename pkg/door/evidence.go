package door

import "time"

const (
	// closesOfRestart connections closed within closeSpan are taken for a
	// restart of the server. Single ones close for other reasons: a time-out of
	// idle ones, or a lost answer.
	closesOfRestart = 3
	closeSpan       = 100 * time.Millisecond
)

// Evidence tells a restart of the server, which closes all connections, from
// the close of single ones. The zero value is ready; it is not safe for
// concurrent use.
type Evidence struct {
	closes int
	since  time.Time
}

// Closed records that the server closed n connections while open others
// remain, and reports whether it was probably started anew.
func (e *Evidence) Closed(n, open int, now time.Time) bool {
	if now.Sub(e.since) > closeSpan {
		e.closes, e.since = 0, now
	}
	e.closes += n
	return e.closes >= closesOfRestart || open <= 0
}
