package http1

import (
	"crypto/tls"
	"errors"
	"net"
	"time"
)

const (
	// queueWait is how long a listener that closes waits for a connection that has
	// been opened and not accepted. It does so twice, since on a busy host the first
	// deadline may pass before the wait begins.
	queueWait = 20 * time.Millisecond
	// maxQueueTime limits the time in which such connections are accepted.
	maxQueueTime = 300 * time.Millisecond
)

// A queueListener accepts the connections that wait to be accepted before it
// closes. Closing the listener alone would reset them, although their requests may
// have been sent.
type queueListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *queueListener) Accept() (net.Conn, error) {
	for empty := 0; ; {
		c, err := l.Listener.Accept()
		if err == nil {
			if n := l.wrap(c); n != nil {
				return n, nil
			}
			continue
		}
		if !isTimeout(err) {
			return nil, err
		}
		// Only finish sets a deadline.
		if empty++; empty == 2 {
			return nil, net.ErrClosed
		}
		l.finish()
	}
}

// finish lets Accept fail once no connection waits. It reports false if the listener
// has no deadlines.
func (l *queueListener) finish() bool {
	d, ok := l.Listener.(interface{ SetDeadline(t time.Time) error })
	return ok && d.SetDeadline(time.Now().Add(queueWait)) == nil
}

// wrap returns a connection without TLS as a serverNetConn, or nil if a limit refuses
// it. net/http has to see the type of a TLS connection.
func (l *queueListener) wrap(c net.Conn) net.Conn {
	if _, ok := c.(*tls.Conn); ok {
		return c
	}
	n := &serverNetConn{Conn: c, server: l.server}
	if limits := l.server.Limits; limits != nil && !n.join(limits) {
		_ = c.Close()
		return nil
	}
	return n
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}
