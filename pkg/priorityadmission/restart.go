package priorityadmission

import "time"

const (
	// closesOfRestart connections closed within closeSpan, and half of those
	// that were open, are taken for a restart of the server. Single ones close
	// for other reasons: a time-out of idle ones, or lost answers.
	closesOfRestart = 3
	closeSpan       = 100 * time.Millisecond
)

// Evidence tells a restart of the server, which closes all connections, from
// the close of single ones. The zero value is ready; it is not safe for
// concurrent use.
type RestartDetector struct {
	closes int
	// total is the number of connections that were open at since.
	total int
	since time.Time
}

// Closed records that the server closed n connections while open others
// remain, and reports whether it was probably started anew.
func (e *RestartDetector) ConnectionsClosed(n, open int, now time.Time) bool {
	if now.Sub(e.since) > closeSpan {
		e.closes, e.total, e.since = 0, open+n, now
	}
	e.closes += n
	return open <= 0 || (e.closes >= closesOfRestart && 2*e.closes >= e.total)
}
