package peer

import (
	"net"
	"sync/atomic"
)

// A Meter counts the bytes of control connections, with TLS and handshakes.
type Meter struct {
	// In and Out are bytes received and sent; Dials and Accepts are
	// connections opened and accepted.
	ReceivedBytes, SentBytes, Dials, Accepts atomic.Int64
}

// metered counts the bytes of one connection.
type metered struct {
	net.Conn
	m *Meter
}

func (c *metered) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.m.ReceivedBytes.Add(int64(n))
	return n, err
}

func (c *metered) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.m.SentBytes.Add(int64(n))
	return n, err
}
