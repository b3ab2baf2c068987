package peer

import (
	"net"
	"sync/atomic"
)

// A Meter counts the traffic of control connections.
type Meter struct {
	// ReceivedBytes and SentBytes include TLS records and handshakes; Dials and
	// Accepts are the connections opened and accepted.
	ReceivedBytes, SentBytes, Dials, Accepts atomic.Int64
}

// A meteredConn adds the bytes of one connection to a Meter.
type meteredConn struct {
	net.Conn
	meter *Meter
}

func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.ReceivedBytes.Add(int64(n))
	return n, err
}

func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.SentBytes.Add(int64(n))
	return n, err
}
