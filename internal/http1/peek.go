package http1

import (
	"io"
	"net"
	"syscall"
)

// peek returns the number of unread bytes of a connection, at most 1, without
// reading them. The error is io.EOF if the peer has closed the connection. It
// returns 0 for a connection that is not a socket.
func peek(n net.Conn) (int, error) {
	if t, ok := n.(interface{ NetConn() net.Conn }); ok {
		n = t.NetConn()
	}
	s, ok := n.(syscall.Conn)
	if !ok {
		return 0, nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, err
	}
	var unread int
	var readErr error
	// Control, unlike Read, does not wait for a goroutine that reads.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		unread, _, readErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return 0, err
	case readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK || readErr == syscall.EINTR:
		return 0, nil
	case readErr != nil:
		return 0, readErr
	case unread == 0:
		return 0, io.EOF
	}
	return unread, nil
}
