// Package tlsfiles makes mutual TLS 1.3 configurations from PEM files and
// follows changes of the files.
//
// A host is identified by its ID, the only DNS name in its certificate. Both
// sides verify the other's certificate against the same authority.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
)

// Errors holds the error types of the package.
var Errors = errorx.NewNamespace("tlsfiles")

var (
	// ErrLoad says that files cannot be read, or make no valid identity.
	ErrLoad = Errors.NewType("load")
	// ErrPeer says that a peer's certificate does not identify one host, or
	// another host than expected.
	ErrPeer = Errors.NewType("peer")
	// ErrIssue says that the in-memory authority cannot make a certificate.
	ErrIssue = Errors.NewType("issue")
)

// material is what one state of the files gives.
type credentials struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	// pem is the bytes of the certificate, key and authority file.
	pem [3][]byte
}

// An Identity is a host's certificate and the authority it trusts. Methods
// other than Run and Check may be called from any goroutine.
type Identity struct {
	// Now and Log are set before use; Load sets time.Now and the default log.
	Now func() time.Time
	Log *slog.Logger

	files   Files
	current atomic.Pointer[credentials]
	// nextCheck is owned by the goroutine that calls Run or Check.
	nextReload time.Time
}

// Server returns the configuration of a listener. Each handshake uses the
// certificate and authority in force at that moment.
func (i *Identity) ServerConfig(protocols ...string) *tls.Config {
	c := i.baseConfig(protocols)
	c.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		return i.handshakeConfig(protocols), nil
	}
	return c
}

func (i *Identity) handshakeConfig(protocols []string) *tls.Config {
	c := i.baseConfig(protocols)
	m := i.current.Load()
	c.Certificates = []tls.Certificate{m.certificate}
	c.ClientAuth = tls.RequireAndVerifyClientCert
	c.ClientCAs = m.authorities
	c.VerifyConnection = func(s tls.ConnectionState) error {
		_, err := PeerID(s)
		return err
	}
	return c
}

// Client returns the configuration of one connection to the given host, or to
// any host of the same authority if hostID is empty. It
// holds the certificate and authority in force now, so a caller takes a new
// one for each connection it dials.
func (i *Identity) ClientConfig(hostID string, protocols ...string) *tls.Config {
	c := i.baseConfig(protocols)
	m := i.current.Load()
	c.Certificates = []tls.Certificate{m.certificate}
	c.RootCAs = m.authorities
	c.ServerName = hostID
	if hostID == "" {
		c.InsecureSkipVerify = true // VerifyConnection takes its place.
	}
	c.VerifyConnection = func(s tls.ConnectionState) error {
		id, err := PeerID(s)
		switch {
		case err != nil:
			return err
		case hostID == "":
			return i.verifyChain(s, m.authorities)
		case id != hostID:
			return ErrPeer.New("the certificate is for host %q, not %q", id, hostID)
		}
		return nil
	}
	return c
}

// verifyChain checks a peer's certificate without its name.
func (i *Identity) verifyChain(s tls.ConnectionState, roots *x509.CertPool) error {
	o := x509.VerifyOptions{Roots: roots, Intermediates: x509.NewCertPool(), CurrentTime: i.Now()}
	for _, c := range s.PeerCertificates[1:] {
		o.Intermediates.AddCert(c)
	}
	if _, err := s.PeerCertificates[0].Verify(o); err != nil {
		return ErrPeer.Wrap(err, "the certificate is of another authority")
	}
	return nil
}

func (i *Identity) baseConfig(protocols []string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		Time:       func() time.Time { return i.Now() },
		// A resumed session would outlive a change of the authority.
		SessionTicketsDisabled: true,
	}
}

// PeerID returns the host ID of a verified peer. The error is of type
// ErrPeer.
func PeerID(s tls.ConnectionState) (string, error) {
	if len(s.PeerCertificates) == 0 {
		return "", ErrPeer.New("the peer sent no certificate")
	}
	names := s.PeerCertificates[0].DNSNames
	if len(names) != 1 {
		return "", ErrPeer.New("the peer's certificate has the DNS names %q, not one host ID", names)
	}
	return names[0], nil
}
