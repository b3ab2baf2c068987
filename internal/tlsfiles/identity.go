// Package tlsfiles makes the configurations for mutual TLS 1.3 between nodes from
// PEM files. It reloads the files when they change, so that certificates can be
// renewed without a restart of the node.
//
// A host is identified by its ID, which is the only DNS name in its certificate.
// Both sides of a connection verify the other's certificate against the same
// authorities. An Authority issues certificates for the demo and for tests.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
)

// ErrorNamespace is the namespace of the package's error types.
var ErrorNamespace = errorx.NewNamespace("tlsfiles")

var (
	// ErrLoad is returned if files cannot be read or do not form a valid
	// identity.
	ErrLoad = ErrorNamespace.NewType("load")
	// ErrPeer is returned if a peer's certificate is missing, does not verify,
	// does not name exactly one host, or names another host than expected.
	ErrPeer = ErrorNamespace.NewType("peer")
	// ErrIssue is returned if an Authority cannot make or write a certificate.
	ErrIssue = ErrorNamespace.NewType("issue")
)

// credentials holds the parsed content of the three files at one time.
type credentials struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	// pem holds the bytes of the certificate, key and authority file.
	pem [3][]byte
}

// An Identity holds a host's certificate and the authorities that it trusts. Run
// and ReloadIfDue must be called from one goroutine; the other methods are safe
// for concurrent use.
type Identity struct {
	// Now and Log may be changed only before use. The default is time.Now and
	// the default logger.
	Now func() time.Time
	Log *slog.Logger

	files   Files
	current atomic.Pointer[credentials]
	// nextReload is used only by the goroutine that calls Run or ReloadIfDue.
	nextReload time.Time
}

// ServerConfig returns the configuration of a listener with these ALPN
// protocols. Each handshake uses the certificate and authorities in force at
// that moment.
func (i *Identity) ServerConfig(protocols ...string) *tls.Config {
	c := i.baseConfig(protocols)
	c.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		return i.handshakeConfig(protocols), nil
	}
	return c
}

// handshakeConfig returns the server's configuration for one handshake, with the
// certificate and authorities in force now.
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

// ClientConfig returns the configuration of one connection to the given host, or
// to any host with a certificate of a trusted authority if hostID is empty. It
// holds the certificate and authorities in force now, so each connection needs a
// new one.
func (i *Identity) ClientConfig(hostID string, protocols ...string) *tls.Config {
	c := i.baseConfig(protocols)
	m := i.current.Load()
	c.Certificates = []tls.Certificate{m.certificate}
	c.RootCAs = m.authorities
	c.ServerName = hostID
	if hostID == "" {
		c.InsecureSkipVerify = true // VerifyConnection verifies the chain instead.
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

// verifyChain verifies a peer's certificate chain without checking its name.
func (i *Identity) verifyChain(s tls.ConnectionState, roots *x509.CertPool) error {
	o := x509.VerifyOptions{Roots: roots, Intermediates: x509.NewCertPool(), CurrentTime: i.Now()}
	for _, c := range s.PeerCertificates[1:] {
		o.Intermediates.AddCert(c)
	}
	if _, err := s.PeerCertificates[0].Verify(o); err != nil {
		return ErrPeer.Wrap(err, "the peer's certificate does not verify against the trusted authorities")
	}
	return nil
}

// baseConfig returns the settings that servers and clients share.
func (i *Identity) baseConfig(protocols []string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		Time:       func() time.Time { return i.Now() },
		// A resumed session would skip the check of the certificate after a
		// change of the authorities.
		SessionTicketsDisabled: true,
	}
}

// PeerID returns the host ID in the certificate of a verified peer. Errors are of
// type ErrPeer.
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
