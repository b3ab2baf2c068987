package tlsfiles_test

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/tlsfiles"
)

const day = 24 * time.Hour

func authority(t *testing.T) *tlsfiles.Authority {
	t.Helper()
	a, err := tlsfiles.NewAuthority()
	assert.NilError(t, err)
	return a
}

func issue(t *testing.T, a *tlsfiles.Authority, id string) *tlsfiles.Identity {
	t.Helper()
	i, err := a.Issue(id)
	assert.NilError(t, err)
	return i
}

// connect sends one byte from the server to the client over loopback. It returns
// the host ID that the server read from the client's certificate, and the error
// of each side.
func connect(t *testing.T, server, client *tls.Config) (peer string, serverErr, clientErr error) {
	t.Helper()
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	done := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			done <- err
			return
		}
		defer func() { _ = c.Close() }()
		s := c.(*tls.Conn)
		if err := s.Handshake(); err != nil {
			done <- err
			return
		}
		peer, _ = tlsfiles.PeerID(s.ConnectionState())
		_, err = s.Write([]byte{1})
		done <- err
	}()
	d := &net.Dialer{Timeout: 5 * time.Second}
	c, clientErr := tls.DialWithDialer(d, "tcp", l.Addr().String(), client)
	if clientErr == nil {
		defer func() { _ = c.Close() }()
		assert.Equal(t, c.ConnectionState().Version, uint16(tls.VersionTLS13))
		// In TLS 1.3 the client sees the server's refusal at its first read.
		_, clientErr = io.ReadFull(c, make([]byte, 1))
	}
	return peer, <-done, clientErr
}

// Guards against hosts that cannot connect to their peers, or are taken for
// another host.
func TestPeersIdentifyEachOther(t *testing.T) {
	a := authority(t)
	peer, serverErr, clientErr := connect(t, issue(t, a, "desk-1").ServerConfig(), issue(t, a, "desk-2").ClientConfig("desk-1"))
	assert.NilError(t, serverErr)
	assert.NilError(t, clientErr)
	assert.Equal(t, peer, "desk-2")
}

// Guards against a connection with a peer whose certificate is missing, expired
// or of another authority, or that is another host than the one dialled.
func TestConnectionsAreRefused(t *testing.T) {
	a, other := authority(t), authority(t)
	desk := issue(t, a, "desk-1")
	later := func(i *tlsfiles.Identity) *tlsfiles.Identity {
		i.Now = func() time.Time { return time.Now().Add(60 * day) }
		return i
	}
	anonymous := issue(t, a, "desk-2").ClientConfig("desk-1")
	anonymous.Certificates = nil
	old := issue(t, a, "desk-2").ClientConfig("desk-1")
	old.MinVersion, old.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	for _, c := range []struct {
		name           string
		server, client *tls.Config
		want           string
	}{
		{"client of another authority", desk.ServerConfig(), withCertificatesOf(issue(t, a, "x").ClientConfig("desk-1"), issue(t, other, "desk-2").ClientConfig("desk-1")), "unknown authority"},
		{"server of another authority", desk.ServerConfig(), issue(t, other, "desk-2").ClientConfig("desk-1"), "unknown authority"},
		{"client without certificate", desk.ServerConfig(), anonymous, "didn't provide a certificate"},
		{"another host", desk.ServerConfig(), issue(t, a, "desk-2").ClientConfig("desk-3"), "not desk-3"},
		{"any host", issue(t, a, "*").ServerConfig(), issue(t, a, "desk-2").ClientConfig("desk-1"), "not desk-1"},
		{"host in other case", issue(t, a, "DESK-1").ServerConfig(), issue(t, a, "desk-2").ClientConfig("desk-1"), `is for host "DESK-1"`},
		{"expired server", desk.ServerConfig(), later(issue(t, a, "desk-2")).ClientConfig("desk-1"), "expired"},
		{"expired client", later(issue(t, a, "desk-1")).ServerConfig(), issue(t, a, "desk-2").ClientConfig("desk-1"), "expired"},
		{"TLS 1.2", desk.ServerConfig(), old, "protocol version"},
	} {
		_, serverErr, clientErr := connect(t, c.server, c.client)
		assert.Assert(t, clientErr != nil, c.name)
		assert.Assert(t, serverErr != nil, c.name)
		assert.Assert(t, strings.Contains(serverErr.Error()+clientErr.Error(), c.want), "%s: %v; %v", c.name, serverErr, clientErr)
	}
}

// withCertificatesOf returns a configuration that trusts the authorities of a and
// presents the certificate of b.
func withCertificatesOf(a, b *tls.Config) *tls.Config {
	a.Certificates = b.Certificates
	return a
}

// Guards against a certificate with several DNS names that is accepted for each
// of these hosts.
func TestPeerIDNeedsOneName(t *testing.T) {
	for _, certificates := range [][]*x509.Certificate{nil, {{}}, {{DNSNames: []string{"desk-1", "desk-2"}}}} {
		_, err := tlsfiles.PeerID(tls.ConnectionState{PeerCertificates: certificates})
		assert.Assert(t, errorx.IsOfType(err, tlsfiles.ErrPeer))
	}
}

// A fileHost is an identity loaded from files, with its log and its clock.
type fileHost struct {
	*tlsfiles.Identity
	log *bytes.Buffer
	now time.Time
}

func load(t *testing.T, f tlsfiles.Files) *fileHost {
	t.Helper()
	i, err := tlsfiles.Load(f)
	assert.NilError(t, err)
	h := &fileHost{Identity: i, log: &bytes.Buffer{}, now: time.Now()}
	h.Log = slog.New(slog.NewTextHandler(h.log, nil))
	return h
}

// reload moves the clock past the reload interval and reloads the files.
func (h *fileHost) reload() {
	h.now = h.now.Add(time.Minute)
	h.ReloadIfDue(h.now)
}

// Guards against a renewed certificate or authority that comes into force only
// after a restart, and against files that are read more often than the reload
// interval allows.
func TestReloadTakesNewFilesOver(t *testing.T) {
	a, next := authority(t), authority(t)
	dir := t.TempDir()
	f, err := a.WriteFiles(dir, "desk-1")
	assert.NilError(t, err)
	h := load(t, f)
	server := h.ServerConfig()
	_, serverErr, clientErr := connect(t, server, issue(t, a, "desk-2").ClientConfig("desk-1"))
	assert.NilError(t, errors.Join(serverErr, clientErr))

	_, err = next.WriteFiles(dir, "desk-1")
	assert.NilError(t, err)
	h.ReloadIfDue(h.now)
	_, _, clientErr = connect(t, server, issue(t, next, "desk-2").ClientConfig("desk-1"))
	assert.Assert(t, clientErr != nil, "the files were reloaded before the reload interval had passed")

	h.reload()
	peer, serverErr, clientErr := connect(t, server, issue(t, next, "desk-2").ClientConfig("desk-1"))
	assert.NilError(t, errors.Join(serverErr, clientErr))
	assert.Equal(t, peer, "desk-2")
	_, _, clientErr = connect(t, server, issue(t, a, "desk-2").ClientConfig("desk-1"))
	assert.Assert(t, clientErr != nil, "the former authority is still trusted")
	_, serverErr, clientErr = connect(t, issue(t, next, "desk-2").ServerConfig(), h.ClientConfig("desk-2"))
	assert.NilError(t, errors.Join(serverErr, clientErr))

	_, err = a.WriteFiles(dir, "desk-1")
	assert.NilError(t, err)
	h.ReloadIfDue(h.now)
	_, serverErr, clientErr = connect(t, server, issue(t, next, "desk-2").ClientConfig("desk-1"))
	assert.NilError(t, errors.Join(serverErr, clientErr), "the files were reloaded twice within one reload interval")
}

// Guards against a half-written, mismatched or missing file that makes a running
// host lose its identity.
func TestReloadKeepsTheOldIdentityOnFailure(t *testing.T) {
	a := authority(t)
	dir := t.TempDir()
	f, err := a.WriteFiles(dir, "desk-1")
	assert.NilError(t, err)
	h := load(t, f)
	good, err := os.ReadFile(f.Certificate)
	assert.NilError(t, err)
	foreign, err := authority(t).WriteFiles(t.TempDir(), "desk-1")
	assert.NilError(t, err)
	otherCertificate, err := os.ReadFile(foreign.Certificate)
	assert.NilError(t, err)
	for name, damage := range map[string]func() error{
		"half written": func() error { return os.WriteFile(f.Certificate, good[:len(good)/2], 0o600) },
		"other key":    func() error { return os.WriteFile(f.Certificate, otherCertificate, 0o600) },
		"missing":      func() error { return os.Remove(f.Certificate) },
	} {
		assert.NilError(t, damage())
		h.reload()
		assert.Assert(t, strings.Contains(h.log.String(), "level=ERROR"), "%s is not logged", name)
		h.log.Reset()
		_, serverErr, clientErr := connect(t, h.ServerConfig(), issue(t, a, "desk-2").ClientConfig("desk-1"))
		assert.NilError(t, errors.Join(serverErr, clientErr), name)
	}
	assert.NilError(t, os.WriteFile(f.Certificate, good, 0o600))
	h.reload()
	assert.Equal(t, h.log.String(), "")
}

// Guards against a host that starts with files that no peer accepts.
func TestLoadRefuses(t *testing.T) {
	a, other := authority(t), authority(t)
	expired := authority(t)
	expired.Now = func() time.Time { return time.Now().Add(-60 * day) }
	write := func(a *tlsfiles.Authority) tlsfiles.Files {
		f, err := a.WriteFiles(t.TempDir(), "desk-1")
		assert.NilError(t, err)
		return f
	}
	wrongAuthority, otherKey := write(a), write(a)
	wrongAuthority.Authority = write(other).Authority
	otherKey.Key = write(a).Key
	noAuthority := write(a)
	noAuthority.Authority = noAuthority.Key
	for name, f := range map[string]tlsfiles.Files{
		"expired": write(expired), "wrong authority": wrongAuthority, "other key": otherKey,
		"no authority": noAuthority, "missing": {},
	} {
		_, err := tlsfiles.Load(f)
		assert.Assert(t, errorx.IsOfType(err, tlsfiles.ErrLoad), "%s: %v", name, err)
	}
}
