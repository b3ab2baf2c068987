package peer_test

import (
	"bytes"
	"context"
	"crypto/rand"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"
	"go.uber.org/goleak"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/peer"
	"quetzaldock.example/quetzaldock/internal/tlsfiles"
	"quetzaldock.example/quetzaldock/pkg/hosts"
	"quetzaldock.example/quetzaldock/pkg/replication"
)

// Guards against goroutines that are left after a server or client has ended.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newAuthority(t testing.TB) *tlsfiles.Authority {
	t.Helper()
	a, err := tlsfiles.NewAuthority()
	assert.NilError(t, err)
	return a
}

func issueIdentity(t testing.TB, a *tlsfiles.Authority, id string) *tlsfiles.Identity {
	t.Helper()
	i, err := a.Issue(id)
	assert.NilError(t, err)
	return i
}

// startServer runs a server until the end of the test and returns it as a host.
func startServer(t testing.TB, s *peer.Server, id string) hosts.Host {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { assert.Check(t, s.Serve(ctx, l)) })
	t.Cleanup(func() { cancel(); done.Wait() })
	return hosts.Host{ID: id, ControlAddress: l.Addr().String()}
}

func echo(_ context.Context, _ string, in replication.Message) (replication.Message, error) {
	in.From = "h-0002"
	return in, nil
}

func newMessage(from string) replication.Message {
	return replication.Message{From: from, Summary: replication.Summary{
		Version: 2900, Digest: replication.Digest(strings.Repeat("b5", 32)),
		Floor: 2900, HostsRevision: 12000, ConfirmedAgeMs: 812, Serving: true,
	}}
}

// Guards against calls that need over 160 bytes beyond the encoded messages, and
// against a new connection for each call. It logs both overheads, which the
// simulation in the tests of pkg/replication adds to its counts.
func TestWireOverhead(t *testing.T) {
	a := newAuthority(t)
	host := startServer(t, &peer.Server{TLS: issueIdentity(t, a, "h-0002"), Exchange: echo}, "h-0002")
	c := &peer.Client{TLS: issueIdentity(t, a, "h-0001"), Meter: &peer.Meter{}}
	defer c.Close()
	in := newMessage("h-0001")
	total := func() int64 { return c.Meter.ReceivedBytes.Load() + c.Meter.SentBytes.Load() }
	out, err := c.Exchange(t.Context(), host, in)
	assert.NilError(t, err)
	b, err := cbor.Marshal(&in)
	assert.NilError(t, err)
	o, err := cbor.Marshal(&out)
	assert.NilError(t, err)
	first := total()
	const calls = 100
	for range calls {
		_, err = c.Exchange(t.Context(), host, in)
		assert.NilError(t, err)
	}
	warm := (total()-first)/calls - int64(len(b)+len(o))
	t.Logf("message %d and %d bytes; call overhead %d bytes; new connection %d bytes", len(b), len(o), warm, first-warm-int64(len(b)+len(o)))
	assert.Equal(t, c.Meter.Dials.Load(), int64(1))
	assert.Assert(t, warm <= 160, "%d bytes", warm)
}

// Guards against a host that sends messages under the ID of another host, and
// against calls to a host whose certificate names another one.
func TestIdentityComesFromTheCertificate(t *testing.T) {
	a := newAuthority(t)
	host := startServer(t, &peer.Server{TLS: issueIdentity(t, a, "h-0002"), Exchange: echo}, "h-0002")
	c := &peer.Client{TLS: issueIdentity(t, a, "h-0001")}
	defer c.Close()
	_, err := c.Exchange(t.Context(), host, newMessage("h-0003"))
	assert.Assert(t, errorx.IsOfType(err, peer.Unreachable), "%v", err)
	host.ID = "h-0004"
	_, err = c.Exchange(t.Context(), host, newMessage("h-0001"))
	assert.Assert(t, errorx.IsOfType(err, peer.Unreachable), "%v", err)
	// A seed is known by its address only.
	host.ID = ""
	_, err = c.Exchange(t.Context(), host, newMessage("h-0001"))
	assert.NilError(t, err)
	other := &peer.Client{TLS: issueIdentity(t, newAuthority(t), "h-0001")}
	defer other.Close()
	_, err = other.Exchange(t.Context(), host, newMessage("h-0001"))
	assert.Assert(t, errorx.IsOfType(err, peer.Unreachable), "%v", err)
}

// Guards against a peer that no longer answers while its connection stays open:
// the call ends at its deadline and the next one uses a new connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	release := make(chan struct{})
	var calls atomic.Int64
	s := &peer.Server{Exchange: func(_ context.Context, _ string, in replication.Message) (replication.Message, error) {
		if calls.Add(1) == 1 {
			<-release
		}
		return in, nil
	}}
	host := startServer(t, s, "h-0002")
	defer close(release)
	c := &peer.Client{Meter: &peer.Meter{}}
	defer c.Close()
	_, err := c.Exchange(t.Context(), host, newMessage("h-0001"))
	assert.Assert(t, errorx.IsOfType(err, peer.Timeout), "%v", err)
	_, err = c.Exchange(t.Context(), host, newMessage("h-0001"))
	assert.NilError(t, err)
	assert.Equal(t, c.Meter.Dials.Load(), int64(2))
}

// Guards against parts that compression changes, and against replies over
// MaxMessageBytes.
func TestPull(t *testing.T) {
	random := make([]byte, 1<<20)
	_, err := rand.Read(random)
	assert.NilError(t, err)
	text := bytes.Repeat([]byte("Prefix = \"/entries\"\n"), 20000)
	s := &peer.Server{Pull: func(_ context.Context, _ string, q replication.PullRequest) (replication.PullReply, error) {
		if q.Manifest == "huge" {
			return replication.PullReply{Manifest: random, HostList: random}, nil
		}
		return replication.PullReply{Manifest: []byte("m"), Parts: map[string][]byte{"random": random, "text": text}}, nil
	}}
	host := startServer(t, s, "h-0002")
	c := &peer.Client{Meter: &peer.Meter{}}
	defer c.Close()
	out, err := c.Pull(t.Context(), host, replication.PullRequest{Parts: []string{"random", "text"}})
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(out.Parts["random"], random) && bytes.Equal(out.Parts["text"], text))
	assert.Equal(t, string(out.Manifest), "m")
	assert.Assert(t, c.Meter.ReceivedBytes.Load() < 1<<20+1<<16, "%d bytes", c.Meter.ReceivedBytes.Load())
	_, err = c.Pull(t.Context(), host, replication.PullRequest{Manifest: "huge"})
	assert.Assert(t, errorx.IsOfType(err, peer.Unreachable), "%v", err)
}

// Guards against quota messages that are changed on the way, and against calls
// that succeed although the server has no function for them.
func TestQuotaCarriesBytes(t *testing.T) {
	a := newAuthority(t)
	s := &peer.Server{TLS: issueIdentity(t, a, "h-0002"), Quota: func(_ context.Context, from string, b []byte) ([]byte, error) {
		return append([]byte(from+" "), b...), nil
	}}
	host := startServer(t, s, "h-0002")
	c := &peer.Client{TLS: issueIdentity(t, a, "h-0001")}
	defer c.Close()
	out, err := c.Quota(t.Context(), host, []byte{0, 1, 255})
	assert.NilError(t, err)
	assert.DeepEqual(t, out, []byte("h-0001 \x00\x01\xff"))
	_, err = c.Exchange(t.Context(), host, newMessage("h-0001"))
	assert.Assert(t, errorx.IsOfType(err, peer.Unreachable), "%v", err)
}

func BenchmarkExchange(b *testing.B) {
	a := newAuthority(b)
	host := startServer(b, &peer.Server{TLS: issueIdentity(b, a, "h-0002"), Exchange: echo}, "h-0002")
	c := &peer.Client{TLS: issueIdentity(b, a, "h-0001")}
	defer c.Close()
	in := newMessage("h-0001")
	start := cpuTime(b)
	for b.Loop() {
		if _, err := c.Exchange(b.Context(), host, in); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64((cpuTime(b)-start).Nanoseconds())/float64(b.N), "cpu-ns/op")
}

// cpuTime returns the processor time that this process has used. The process is
// both sides of a call.
func cpuTime(t testing.TB) time.Duration {
	t.Helper()
	var u unix.Rusage
	assert.NilError(t, unix.Getrusage(unix.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func BenchmarkDial(b *testing.B) {
	a := newAuthority(b)
	host := startServer(b, &peer.Server{TLS: issueIdentity(b, a, "h-0002"), Exchange: echo}, "h-0002")
	own := issueIdentity(b, a, "h-0001")
	in := newMessage("h-0001")
	start := cpuTime(b)
	for b.Loop() {
		c := &peer.Client{TLS: own}
		if _, err := c.Exchange(b.Context(), host, in); err != nil {
			b.Fatal(err)
		}
		c.Close()
	}
	b.ReportMetric(float64((cpuTime(b)-start).Nanoseconds())/float64(b.N), "cpu-ns/op")
}
