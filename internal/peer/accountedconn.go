package peer

import (
	"net"
	"sync/atomic"

	"quetzaldock.example/quetzaldock/pkg/memorybudget"
)

const (
	// ConnectionBytes is what an open control connection takes: the buffers and the
	// goroutines of drpc.
	ConnectionBytes = 32 << 10
	// messageFactor is what each byte of an incoming message takes. drpc keeps it in a
	// buffer that doubles, while the former one is garbage, and in the message itself.
	messageFactor = 6
	// reserveStep is the size of the parts in which memory is reserved.
	reserveStep = 16 << 10
)

// An accountedConn reserves memory for the messages that arrive on a connection. drpc
// keeps its buffers as long as the connection, so the memory is not released before.
type accountedConn struct {
	net.Conn
	server *Server
	share  *memorybudget.Share
	// message counts the bytes since the last reply, held what is reserved for them.
	// Read and Write run at the same time, so message may be too small for a moment.
	message atomic.Int64
	held    int64
}

// account returns the connection with its share of the memory, or nil if a limit refuses
// it.
func (s *Server) account(c net.Conn) net.Conn {
	if s.Connections == nil {
		return c
	}
	a := &accountedConn{Conn: c, server: s}
	share, reason := s.Connections.Join(a)
	if share == nil {
		s.reportLimit(reason, c)
		_ = c.Close()
		return nil
	}
	a.share = share
	return a
}

func (s *Server) reportLimit(reason memorybudget.Limit, c net.Conn) {
	if s.OnLimit != nil {
		s.OnLimit(reason, c.RemoteAddr().String())
	}
}

// Shed implements memorybudget.Connection.
func (c *accountedConn) Shed(reason memorybudget.Limit) bool {
	c.server.reportLimit(reason, c.Conn)
	_ = c.Conn.Close()
	return true
}

// Read implements net.Conn.
func (c *accountedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	if !c.share.Start() {
		return 0, net.ErrClosed
	}
	need := c.message.Add(int64(n)) * messageFactor
	for c.held < need {
		reserve := c.share.ReserveBulk
		if c.held == 0 {
			// Most messages are short.
			reserve = c.share.Reserve
		}
		if !reserve(reserveStep, 0) {
			c.Shed(memorybudget.Memory)
			return 0, net.ErrClosed
		}
		c.held += reserveStep
	}
	c.share.AwaitBody()
	return n, err
}

// Write implements net.Conn.
func (c *accountedConn) Write(b []byte) (int, error) {
	c.share.AwaitWrite()
	n, err := c.Conn.Write(b)
	c.share.Written(n)
	if err == nil {
		c.message.Store(0)
		c.share.Idle()
	}
	return n, err
}

// Close implements net.Conn.
func (c *accountedConn) Close() error {
	err := c.Conn.Close()
	c.share.Leave()
	return err
}
