package standin_test

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/standin"
)

// startProxy starts a proxy in front of a server that echoes bytes.
func startProxy(t *testing.T) *standin.FaultProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	p := standin.NewFaultProxy(l.Addr().String(), 1)
	assert.NilError(t, p.Start())
	t.Cleanup(p.Close)
	return p
}

func dial(t *testing.T, p *standin.FaultProxy) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", p.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// echo sends the message and returns how many of its bytes came back in time.
func echo(c net.Conn, message string, within time.Duration) (int, error) {
	_ = c.SetDeadline(time.Now().Add(within))
	if _, err := io.WriteString(c, message); err != nil {
		return 0, err
	}
	return io.ReadFull(c, make([]byte, len(message)))
}

func timedOut(err error) bool {
	n, ok := err.(net.Error)
	return ok && n.Timeout()
}

// Guards against silence, partition, hold and refusal that do not stop the
// traffic, or that also stop connections which have to work.
func TestFaultProxyStopsTraffic(t *testing.T) {
	p := startProxy(t)
	old := dial(t, p)
	_, err := echo(old, "hello", 5*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, p.SilenceOpenLinks(), 1)
	_, err = echo(old, "hello", 100*time.Millisecond)
	assert.Assert(t, timedOut(err), "%v", err)
	c := dial(t, p)
	_, err = echo(c, "hello", 5*time.Second)
	assert.NilError(t, err)
	p.SetPartitioned(true)
	_, err = echo(c, "hello", 100*time.Millisecond)
	assert.Assert(t, timedOut(err), "%v", err)
	p.SetPartitioned(false)
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, err = io.ReadFull(c, make([]byte, 5))
	assert.NilError(t, err)
	p.SetShapeFromTarget(standin.TrafficShape{Hold: true})
	_, err = echo(c, "hello", 100*time.Millisecond)
	assert.Assert(t, timedOut(err), "%v", err)
	p.SetShapeFromTarget(standin.TrafficShape{})
	p.SetRefusing(true)
	_, err = echo(dial(t, p), "hello", 5*time.Second)
	assert.Assert(t, err != nil && !timedOut(err), "%v", err)
}

// Guards against delays and bandwidth limits that do not slow traffic down, and
// against a cut that still delivers the whole message.
func TestFaultProxyShapesTraffic(t *testing.T) {
	p := startProxy(t)
	start := time.Now()
	p.SetShapeToTarget(standin.TrafficShape{Delay: 30 * time.Millisecond, Jitter: 10 * time.Millisecond})
	p.SetShapeFromTarget(standin.TrafficShape{BytesPerSecond: 100_000})
	_, err := echo(dial(t, p), string(make([]byte, 5000)), 5*time.Second)
	assert.NilError(t, err)
	assert.Assert(t, time.Since(start) >= 80*time.Millisecond)
	p.SetShapeToTarget(standin.TrafficShape{})
	p.SetShapeFromTarget(standin.TrafficShape{CutPerMille: 1000})
	n, err := echo(dial(t, p), "0123456789", 5*time.Second)
	assert.Assert(t, err != nil && !timedOut(err), "%v", err)
	assert.Assert(t, n <= 5)
}
