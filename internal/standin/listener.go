package standin

import (
	"net"
	"sync"
	"time"
)

// relistenTimeout is the maximum time that a stand-in waits after an imitated
// restart until its own port is free again.
const relistenTimeout = 5 * time.Second

// A listener tracks the accepted connections of a stand-in so that they can be
// reset or made silent.
type listener struct {
	net.Listener
	// acceptDelay is the pause after every new connection, before it is served
	// and before the next one is accepted.
	acceptDelay time.Duration
	// maxConns is the maximum number of open connections; 0 means no limit.
	maxConns int

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// listen listens on the address. It retries up to relistenTimeout, because
// connections of the previous listener on the port may still be closing.
func listen(address string, acceptDelay time.Duration, maxConns int) (*listener, error) {
	deadline := time.Now().Add(relistenTimeout)
	for {
		l, err := net.Listen("tcp", address)
		if err == nil {
			return &listener{Listener: l, acceptDelay: acceptDelay, maxConns: maxConns, conns: map[*conn]struct{}{}}, nil
		}
		if time.Now().After(deadline) {
			return nil, ListenFailed.Wrap(err, "cannot listen on %s", address)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Accept returns the next connection and resets connections above maxConns.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.acceptDelay > 0 {
			time.Sleep(l.acceptDelay)
		}
		c := &conn{Conn: nc, owner: l, silenced: make(chan struct{}), closed: make(chan struct{})}
		l.mu.Lock()
		full := l.maxConns > 0 && len(l.conns) >= l.maxConns
		if !full {
			l.conns[c] = struct{}{}
		}
		l.mu.Unlock()
		if !full {
			return c, nil
		}
		reset(nc)
	}
}

// silence makes every open connection permanently silent and returns their
// number.
func (l *listener) silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silenceOnce.Do(func() { close(c.silenced) })
	}
	return len(l.conns)
}

// resetAll closes every open connection with a TCP reset.
func (l *listener) resetAll() {
	l.mu.Lock()
	open := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		open = append(open, c)
	}
	l.mu.Unlock()
	for _, c := range open {
		reset(c.Conn)
		_ = c.Close()
	}
}

func (l *listener) openCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// A conn can be made silent: reads then block until it is closed, and writes
// succeed without sending anything.
type conn struct {
	net.Conn
	owner       *listener
	silenced    chan struct{}
	silenceOnce sync.Once
	closed      chan struct{}
	closeOnce   sync.Once
}

// Read reads from the connection. If the connection is silent, it drops any
// data and blocks until Close.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	select {
	case <-c.silenced:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

// Write writes to the connection. It drops the data if the connection is silent.
func (c *conn) Write(b []byte) (int, error) {
	select {
	case <-c.silenced:
		return len(b), nil
	default:
		return c.Conn.Write(b)
	}
}

// Close closes the connection. The socket of a silent connection stays open
// until the listener resets it, so that its peer does not notice the close.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	select {
	case <-c.silenced:
		return nil
	default:
	}
	c.owner.mu.Lock()
	delete(c.owner.conns, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}

// reset closes a TCP connection with RST instead of FIN.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
