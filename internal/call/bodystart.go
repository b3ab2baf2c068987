package call

import (
	"bytes"
	"io"
	"sync"
	"time"
)

const (
	// startTimeout is how long the start of a streamed body may take to arrive. A
	// client may send more only once it gets the first part of the response.
	startTimeout = 200 * time.Millisecond
	// startPartBytes is the size of the parts in which a start is read.
	startPartBytes = 4 << 10
)

// A BodyStart is the start of a body that is streamed.
type BodyStart struct {
	// Content is the start. It is nil if it did not arrive in time.
	Content []byte
	// Arrived is how much of the body ReadArriving has read.
	Arrived int
	// Ended is set if Content is the whole body.
	Ended bool
	// Body returns the body from its beginning.
	Body io.Reader
}

// ReadStart reads up to n bytes of a body, for as long as startTimeout. The error is
// that of the read.
func ReadStart(r io.Reader, n int) (*BodyStart, error) {
	l := &lookahead{source: r, content: []byte{}}
	l.changed.L = &l.mu
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.fill(n)
	}()
	t := time.NewTimer(startTimeout)
	defer t.Stop()
	select {
	case <-t.C:
		return &BodyStart{Body: l}, nil
	case <-done:
	}
	if l.err != nil && l.err != io.EOF {
		return nil, l.err
	}
	return &BodyStart{Content: l.content, Ended: l.err == io.EOF, Body: io.MultiReader(bytes.NewReader(l.content), r)}, nil
}

// ReadArriving reads up to n bytes of a body for as long as some arrive within each
// stall, and for at most most. A client may send the rest only once it gets the first part
// of the response. The error is that of the read.
func ReadArriving(r io.Reader, n int, stall, most time.Duration) (*BodyStart, error) {
	l := &lookahead{source: r, content: make([]byte, 0, n)}
	l.changed.L = &l.mu
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.fill(n)
	}()
	t := time.NewTicker(stall)
	defer t.Stop()
	limit := time.NewTimer(most)
	defer limit.Stop()
	for before := 0; ; {
		select {
		case <-t.C:
			if now := l.size(); now > before {
				before = now
				continue
			}
			return &BodyStart{Body: l, Arrived: l.stop()}, nil
		case <-limit.C:
			return &BodyStart{Body: l, Arrived: l.stop()}, nil
		case <-done:
		}
		if l.err != nil && l.err != io.EOF {
			return nil, l.err
		}
		return &BodyStart{Content: l.content, Arrived: len(l.content), Ended: l.err == io.EOF, Body: io.MultiReader(bytes.NewReader(l.content), r)}, nil
	}
}

// A lookahead reads the start of a source before it is asked for.
type lookahead struct {
	source io.Reader

	mu sync.Mutex
	// changed is signaled when one of the fields below changes.
	changed sync.Cond
	// content is what was read ahead and not returned yet.
	content []byte
	// stopped is set once no further read may begin. ended is set once no more is read
	// ahead, because of err unless that is nil.
	stopped, ended bool
	err            error
}

// fill reads n bytes ahead.
func (l *lookahead) fill(n int) {
	part := make([]byte, min(n, startPartBytes))
	for n > 0 {
		m, err := l.source.Read(part[:min(n, len(part))])
		n -= m
		l.mu.Lock()
		l.content = append(l.content, part[:m]...)
		l.ended, l.err = n == 0 || err != nil || l.stopped, err
		ended := l.ended
		l.changed.Broadcast()
		l.mu.Unlock()
		if ended {
			return
		}
	}
}

// stop ends the reading ahead after the read that is under way, and returns how much was
// read.
func (l *lookahead) stop() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	return len(l.content)
}

// size returns how much was read ahead.
func (l *lookahead) size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.content)
}

// Read implements io.Reader.
func (l *lookahead) Read(p []byte) (int, error) {
	l.mu.Lock()
	for len(l.content) == 0 && !l.ended {
		l.changed.Wait()
	}
	n := copy(p, l.content)
	l.content = l.content[n:]
	err := l.err
	l.mu.Unlock()
	switch {
	case n > 0 || len(p) == 0:
		return n, nil
	case err != nil:
		return 0, err
	}
	return l.source.Read(p)
}
