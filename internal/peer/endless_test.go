package peer_test

import (
	"bytes"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcwire"

	"quetzaldock.example/quetzaldock/internal/peer"
	"quetzaldock.example/quetzaldock/pkg/hosts"
)

// A stream is what a node sends in answer to a call: head, and then part until
// the caller closes the connection, as fast as it reads or a part at a time.
type stream struct {
	name       string
	head, part []byte
	slow       bool
}

// startStream starts a node that answers each connection with the stream. closed
// gets a value each time the caller has closed one.
func startStream(t *testing.T, s stream) (host hosts.Host, closed <-chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	ended := make(chan struct{}, 8)
	part := s.part
	if !s.slow {
		part = bytes.Repeat(part, 16<<10/len(part)+1)
	}
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close(); ended <- struct{}{} }()
		pace := time.NewTicker(2 * time.Millisecond)
		defer pace.Stop()
		_, err = c.Write(s.head)
		for err == nil {
			if s.slow {
				<-pace.C
			}
			_, err = c.Write(part)
		}
	}()
	return hosts.Host{ID: "h-0002", ControlAddress: l.Addr().String()}, ended
}

// frame returns an encoded frame of the first stream of a connection.
func frame(kind drpcwire.Kind, message uint64, data []byte, done bool) []byte {
	return drpcwire.AppendFrame(nil, drpcwire.Frame{Data: data, ID: drpcwire.ID{Stream: 1, Message: message}, Kind: kind, Done: done})
}

// longFrame is the header of a frame whose data does not end.
func longFrame() []byte {
	b := []byte{byte(drpcwire.KindMessage<<1) | 1}
	b = drpcwire.AppendVarint(b, 1)
	b = drpcwire.AppendVarint(b, 1)
	return drpcwire.AppendVarint(b, 1<<60)
}

// Guards against a reply without end that uses up the memory, holds its call
// beyond the time limit or leaves its connection open.
func TestEndlessReplyOfANode(t *testing.T) {
	for _, s := range []stream{
		{"bytes that are no frame", nil, []byte{0xff}, false},
		{"zero bytes", nil, []byte{0}, false},
		{"frame", longFrame(), []byte("x"), false},
		{"message", nil, frame(drpcwire.KindMessage, 1, []byte("more"), false), false},
		{"empty frames", nil, frame(drpcwire.KindMessage, 1, nil, false), false},
		{"slow bytes that are no frame", nil, []byte{0xff}, true},
		{"slow frame", longFrame(), []byte("x"), true},
		{"text", nil, []byte("HTTP/1.1 200 OK\r\n"), false},
	} {
		host, closed := startStream(t, s)
		c := &peer.Client{}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err := c.Exchange(t.Context(), host, newMessage("h-0001"))
		runtime.ReadMemStats(&after)
		assert.Assert(t, errorx.IsOfType(err, peer.Unreachable) || errorx.IsOfType(err, peer.Timeout), "%s: %v", s.name, err)
		n := after.TotalAlloc - before.TotalAlloc
		assert.Assert(t, n < 32<<20, "%s: %d bytes", s.name, n)
		select {
		case <-closed:
		case <-time.After(10 * time.Second):
			t.Fatalf("%s: the connection stays open", s.name)
		}
		c.Close()
	}
}
