package http1_test

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/http1"
)

var (
	soakSeed  = flag.Uint64("soak.seed", 1, "seed of the first run of TestServerSoak")
	soakSeeds = flag.Int("soak.seeds", 4, "number of runs of TestServerSoak")
)

// A countingListener counts the requests that a server has read and the responses
// that it has written.
type countingListener struct {
	net.Listener
	unanswered *atomic.Int64
	answered   *atomic.Int64
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{TCPConn: c.(*net.TCPConn), listener: l}, nil
}

// A countingConn counts the requests and responses of one connection.
type countingConn struct {
	*net.TCPConn
	listener        *countingListener
	read, responded atomic.Int64
	closeOnce       sync.Once
}

// Read implements io.Reader. Clients send each request in one write.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.read.Add(int64(bytes.Count(b[:n], []byte("\r\n\r\n"))))
	return n, err
}

// Write implements io.Writer.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	c.responded.Add(int64(bytes.Count(b[:n], []byte("HTTP/1.1 "))))
	return n, err
}

// Close implements io.Closer.
func (c *countingConn) Close() error {
	c.closeOnce.Do(func() {
		c.listener.answered.Add(c.responded.Load())
		c.listener.unanswered.Add(c.read.Load() - c.responded.Load())
	})
	return c.TCPConn.Close()
}

// startSoakServer starts a server whose handler takes up to 2 ms.
func startSoakServer(t *testing.T, address string, unanswered, answered *atomic.Int64) *http1.Server {
	t.Helper()
	var l net.Listener
	waitFor(t, "free address", func() (ok bool) {
		var err error
		l, err = net.Listen("tcp", address)
		return err == nil
	})
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-time.After(time.Duration(rand.IntN(2000)) * time.Microsecond)
		w.WriteHeader(http.StatusNoContent)
	})
	s := http1.NewServer(&http.Server{Handler: h, IdleTimeout: time.Minute, ReadHeaderTimeout: time.Minute}, &countingListener{l, unanswered, answered})
	go s.Serve()
	return s
}

// runSoakClient sends requests after pauses until done is closed. It uses each
// connection until the server closes it.
func runSoakClient(r *rand.Rand, address string, done <-chan struct{}) {
	for {
		c, err := net.Dial("tcp", address)
		in := bufio.NewReader(c)
		for err == nil {
			select {
			case <-done:
				_ = c.Close()
				return
			case <-time.After(time.Duration(r.IntN(3000)) * time.Microsecond):
			}
			if _, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
				break
			}
			var a *http.Response
			if a, err = http.ReadResponse(in, nil); err == nil && a.Close {
				break
			}
		}
		if c != nil {
			_ = c.Close()
		}
		select {
		case <-done:
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// Guards against requests that a server has read and not answered while it closes
// idle and surplus connections and is replaced by the next one.
func TestServerSoak(t *testing.T) {
	for seed := *soakSeed; seed < *soakSeed+uint64(*soakSeeds); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			var unanswered, answered atomic.Int64
			s := startSoakServer(t, "127.0.0.1:0", &unanswered, &answered)
			address := s.Listener.Addr().String()
			done := make(chan struct{})
			var clients sync.WaitGroup
			for i := range 32 {
				r := rand.New(rand.NewPCG(seed, uint64(i)))
				clients.Go(func() { runSoakClient(r, address, done) })
			}
			r := rand.New(rand.NewPCG(seed, 1000))
			for range 20 {
				for range 60 {
					s.Sweep(time.Duration(1+r.IntN(3000))*time.Microsecond, 10+r.IntN(30))
					<-time.After(time.Duration(r.IntN(1000)) * time.Microsecond)
				}
				assert.Equal(t, s.Drain(t.Context()), 0)
				s = startSoakServer(t, address, &unanswered, &answered)
			}
			close(done)
			clients.Wait()
			assert.Equal(t, s.Drain(t.Context()), 0)
			assert.Equal(t, unanswered.Load(), int64(0), "of %d requests", answered.Load()+unanswered.Load())
			assert.Assert(t, answered.Load() > 1000, "%d", answered.Load())
		})
	}
}
