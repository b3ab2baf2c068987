package priorityadmission

import "time"

const (
	// A restart of the server is assumed when minRestartCloses connections, and
	// at least half of those that were open, close within closeWindow. Single
	// connections close for other reasons, such as idle timeouts and lost
	// answers.
	minRestartCloses = 3
	closeWindow      = 100 * time.Millisecond
)

// A RestartDetector distinguishes a restart of the server, which closes all of
// its connections, from the closing of single connections. The zero value is
// ready to use. It is not safe for concurrent use.
type RestartDetector struct {
	closed int
	// openAtStart is the number of connections that were open at windowStart.
	openAtStart int
	windowStart time.Time
}

// ConnectionsClosed records that the server closed n connections while
// stillOpen others remain, and reports whether it has probably restarted. That is
// assumed whenever none remains.
func (d *RestartDetector) ConnectionsClosed(n, stillOpen int, now time.Time) bool {
	if now.Sub(d.windowStart) > closeWindow {
		d.closed, d.openAtStart, d.windowStart = 0, stillOpen+n, now
	}
	d.closed += n
	return stillOpen <= 0 || (d.closed >= minRestartCloses && 2*d.closed >= d.openAtStart)
}
