package node

import "quetzaldock.example/quetzaldock/internal/tlsfiles"

// loadTLS loads the TLS files that the settings name, unless TLS is set or
// disabled.
func (n *Node) loadTLS() error {
	t := n.Settings.TLS
	if n.TLS != nil || !t.Enabled() {
		return nil
	}
	i, err := tlsfiles.Load(tlsfiles.Files{Certificate: t.CertificateFile, Key: t.KeyFile, Authority: t.AuthorityFile})
	if err != nil {
		return err
	}
	i.Log = n.Log
	n.TLS = i
	return nil
}
