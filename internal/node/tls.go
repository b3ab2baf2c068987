package node

import (
	"crypto/tls"

	"quetzaldock.example/quetzaldock/internal/tlsfiles"
)

// loadTLS reads the certificates that the settings name.
func (n *Node) loadTLS() error {
	t := n.Settings.TLS
	if n.TLS != nil || !t.Enabled() {
		return nil
	}
	i, err := tlsfiles.Load(tlsfiles.Files{Certificate: t.CertificateFile, Key: t.KeyFile, Authority: t.AuthorityFile})
	if err != nil {
		return err
	}
	c := i.Client("")
	n.TLS = &tls.Config{MinVersion: tls.VersionTLS13, Certificates: c.Certificates, RootCAs: c.RootCAs, ClientCAs: c.RootCAs}
	return nil
}
