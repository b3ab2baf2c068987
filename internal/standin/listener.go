package standin

import (
	"net"
	"sync"
	"time"
)

// relistenTimeout bounds how long a stand-in waits for its own port to become
// free again after an imitated restart.
const relistenTimeout = 5 * time.Second

// A listener tracks the accepted connections of a stand-in so that they can be
// reset or made silent. It is reopened on the same port after close.
type listener struct {
	net.Listener
	// cost is spent on every new connection before it is served.
	acceptDelay time.Duration
	// limit is the largest number of open connections; 0 means no limit.
	maxConns int

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// listen binds address; a port in use is tried again for a short time because
// connections of the previous listener may still be closing.
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

// Accept returns the next connection under the connection limit. Connections
// over the limit are reset.
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

// silence makes every open connection silent for good.
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

// A conn can be made silent: reads then wait until it is closed, and writes
// succeed without sending anything.
type conn struct {
	net.Conn
	owner       *listener
	silenced    chan struct{}
	silenceOnce sync.Once
	closed      chan struct{}
	closeOnce   sync.Once
}

// Read waits until the connection is closed once it is silent. Data that
// arrived while the read was waiting is dropped.
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

// Write drops the data of a silent connection.
func (c *conn) Write(b []byte) (int, error) {
	select {
	case <-c.silenced:
		return len(b), nil
	default:
		return c.Conn.Write(b)
	}
}

// Close closes the connection, except that the peer of a silent connection
// hears nothing: the socket is left open until the listener resets it.
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

// reset closes a TCP connection with a reset instead of an orderly end.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
