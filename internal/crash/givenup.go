package crash

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"quetzaldock.example/quetzaldock/pkg/quarantine"
)

const (
	// maxGivenUp limits the given-up requests that are remembered.
	maxGivenUp = 256
	// maxGivenUpTime limits how long a given-up request counts as running.
	maxGivenUpTime = 3 * time.Second
	// watchPause is the time between connections that the server closes at once.
	watchPause = 500 * time.Millisecond
)

// A givenUpRequest was sent to the backend server and got no answer while the node
// waited for it.
type givenUpRequest struct {
	*Running
	// until is when the backend server no longer runs it.
	until time.Time
}

// GiveUp records that the node no longer waits for the answer of a request that was
// sent: its time limit has passed, or its caller has left. The backend server may still
// run it, up to its deadline and a little longer.
func (d *Detector) GiveUp(x *Running) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, running := d.running[x]
	delete(d.running, x)
	if !running || x.reported || d.closed {
		return
	}
	x.releaseBody()
	now := d.Now()
	left := max(x.request.Deadline.Sub(now), 0)
	d.givenUp = append(d.runningGivenUp(), givenUpRequest{x, now.Add(min(left+interruptionWindow, maxGivenUpTime))})
	if len(d.givenUp) > maxGivenUp {
		d.givenUp = slices.Delete(d.givenUp, 0, len(d.givenUp)-maxGivenUp)
	}
	if d.Dial != nil && !d.watching {
		d.watching = true
		d.start(d.watch)
	}
}

// releaseBody keeps only what a crash report needs of a request.
func (x *Running) releaseBody() {
	q := x.request.Identity()
	x.request.Identity = func() *quarantine.Request { return q }
	x.request.Fingerprint, x.body = x.fingerprint(), nil
}

// runningGivenUp returns the given-up requests that the backend server may still run.
// The caller holds the mutex.
func (d *Detector) runningGivenUp() []givenUpRequest {
	now := d.Now()
	return slices.DeleteFunc(d.givenUp, func(x givenUpRequest) bool { return !x.until.After(now) })
}

// forgetGivenUp drops the given-up requests with a fingerprint. The caller holds the
// mutex.
func (d *Detector) forgetGivenUp(f quarantine.Fingerprint) {
	d.givenUp = slices.DeleteFunc(d.givenUp, func(x givenUpRequest) bool { return x.request.Fingerprint == f })
}

// watch keeps a connection open until no given-up request may be running. The server
// has crashed if it closes the connection and then accepts no other one. Without that
// connection nothing would tell a crash from the restart of an idle server.
func (d *Detector) watch() {
	openUntil := d.Now()
	for short := 0; ; {
		left, ok := d.watchTime()
		if !ok {
			return
		}
		ctx, cancel := context.WithTimeout(d.ctx, left)
		began := time.Now()
		err := d.awaitClose(ctx)
		switch {
		case err == nil:
			openUntil = d.Now()
		case errors.Is(err, syscall.ECONNREFUSED):
			d.serverDown(openUntil)
		}
		// The first connection may have been closed a little before the listener.
		if short++; time.Since(began) >= watchPause {
			short = 0
		} else if short > 1 {
			sleep(ctx, watchPause)
		}
		cancel()
	}
}

// watchTime returns how long given-up requests may be running. It reports false at the
// end of the watch.
func (d *Detector) watchTime() (left time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.givenUp = d.runningGivenUp()
	if len(d.givenUp) == 0 || d.closed {
		d.givenUp, d.watching = nil, false
		return 0, false
	}
	last := slices.MaxFunc(d.givenUp, func(a, b givenUpRequest) int { return a.until.Compare(b.until) })
	return last.until.Sub(d.Now()), true
}

// awaitClose opens a connection to the backend server and waits until the server closes
// it or ctx ends. The error is that of the connection attempt.
func (d *Detector) awaitClose(ctx context.Context) error {
	c, err := d.Dial(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	defer context.AfterFunc(ctx, func() { _ = c.SetReadDeadline(time.Unix(1, 0)) })()
	_, _ = c.Read(make([]byte, 1))
	return nil
}
