package sidecar

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// maxWatchTime limits a watch of the store whose answer keeps arriving. On a link of
// 10 Mbit/s it allows for ten configurations of 250 KB.
const maxWatchTime = 2 * time.Second

// A readProgress records when bytes of the store's answers arrive, so that a read is not
// given up while its answer arrives: what has arrived would have to be sent again, and on
// a slow link no read would ever end.
type readProgress struct {
	// lastRead is when bytes arrived last. reading is set while a watch is under way that
	// began at began.
	lastRead, began steadyTime
	reading         atomic.Bool
}

// dial is DialTCP for connections whose bytes are recorded.
func (p *readProgress) dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := DialTCP(ctx, address)
	if err != nil {
		return nil, err
	}
	return &progressConn{c, p}, nil
}

// arriving reports whether a watch is under way of which bytes arrived within the limit.
func (p *readProgress) arriving(now time.Time, limit time.Duration) bool {
	age := p.lastRead.age(now)
	return p.reading.Load() && age < limit && age < p.began.age(now)
}

// A progressConn records when bytes are read from it.
type progressConn struct {
	net.Conn
	progress *readProgress
}

// Read implements net.Conn.
func (c *progressConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.progress.lastRead.set(time.Now())
	}
	return n, err
}

// A progressContext ends with context.DeadlineExceeded if nothing arrives in time.
type progressContext struct {
	context.Context
	done chan struct{}

	mu  sync.Mutex
	err error
}

// withProgress returns a context that ends after first, unless bytes have begun to
// arrive; then it ends once none arrive for stall, and after most in any case.
func (p *readProgress) withProgress(ctx context.Context, first, stall, most time.Duration) (context.Context, context.CancelFunc) {
	began := time.Now()
	limited, cancel := context.WithTimeout(ctx, most)
	c := &progressContext{Context: limited, done: make(chan struct{})}
	p.began.set(began)
	p.reading.Store(true)
	go func() {
		t := time.NewTimer(first)
		defer t.Stop()
		for {
			select {
			case <-limited.Done():
				c.end(limited.Err())
				return
			case <-t.C:
			}
			now := time.Now()
			silent := p.lastRead.age(now)
			if silent >= stall || silent > now.Sub(began) {
				c.end(context.DeadlineExceeded)
				return
			}
			t.Reset(stall - silent)
		}
	}()
	return c, func() {
		p.reading.Store(false)
		cancel()
	}
}

func (c *progressContext) end(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = err
		close(c.done)
	}
}

// Done implements context.Context.
func (c *progressContext) Done() <-chan struct{} { return c.done }

// Err implements context.Context.
func (c *progressContext) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}
