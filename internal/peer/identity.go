package peer

import (
	"crypto/tls"
	"crypto/x509"
)

// identity returns the host ID that a verified connection's certificate names.
func identity(s tls.ConnectionState) (string, error) {
	if len(s.PeerCertificates) == 0 || len(s.PeerCertificates[0].DNSNames) == 0 {
		return "", Identity.New("certificate names no host")
	}
	return s.PeerCertificates[0].DNSNames[0], nil
}

// clientConfig returns the configuration for a connection to the host with the
// given ID, or to a host whose ID is not known yet. The chain of certificates
// is verified in both cases.
func clientConfig(base *tls.Config, id string) *tls.Config {
	c := base.Clone()
	c.MinVersion = tls.VersionTLS13
	if id != "" {
		c.ServerName = id
		return c
	}
	c.InsecureSkipVerify = true // replaced by VerifyConnection
	c.VerifyConnection = func(s tls.ConnectionState) error {
		o := x509.VerifyOptions{Roots: base.RootCAs, Intermediates: x509.NewCertPool()}
		if len(s.PeerCertificates) == 0 {
			return Identity.New("no certificate")
		}
		for _, i := range s.PeerCertificates[1:] {
			o.Intermediates.AddCert(i)
		}
		_, err := s.PeerCertificates[0].Verify(o)
		return err
	}
	return c
}

// serverConfig demands a certificate from every client.
func serverConfig(base *tls.Config) *tls.Config {
	c := base.Clone()
	c.MinVersion = tls.VersionTLS13
	c.ClientAuth = tls.RequireAndVerifyClientCert
	return c
}
