package tlsfiles

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"os"
	"time"
)

const (
	// checkInterval is the time between two looks at the files. Certificates
	// are renewed days before they expire, so seconds do not matter.
	reloadInterval = 10 * time.Second
	// tickInterval is how often Run compares the clock with the stored time of
	// the next look, so that a paused process looks soon after it wakes.
	tickInterval = time.Second
)

// Files names PEM files.
type Files struct {
	Certificate string
	Key         string
	// Authority holds the certificates of all trusted authorities; two while
	// the fleet changes from one to the other.
	Authority string
}

// Load reads an identity. It fails if the certificate does not fit the key, is
// not valid now, or does not verify against the authority.
func Load(f Files) (*Identity, error) {
	i := &Identity{Now: time.Now, Log: slog.Default(), files: f}
	m, err := f.loadCredentials(i.Now())
	if err != nil {
		return nil, err
	}
	i.current.Store(m)
	i.nextReload = i.Now().Add(reloadInterval)
	return i, nil
}

// Run follows changes of the files until the context ends.
func (i *Identity) Run(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			i.ReloadIfDue(i.Now())
		}
	}
}

// Check looks at the files if the time has come, and takes them over if they
// have changed. On failure the old identity stays in force until the next
// look, because a file may be half written or not yet match the others.
func (i *Identity) ReloadIfDue(now time.Time) {
	if now.Before(i.nextReload) || i.files == (Files{}) {
		return
	}
	i.nextReload = now.Add(reloadInterval)
	pem, err := i.files.readPEM()
	if err == nil && samePEM(pem, i.current.Load().pem) {
		return
	}
	var m *credentials
	if err == nil {
		m, err = parsePEM(pem, now)
	}
	if err != nil {
		i.Log.Error("certificate files not taken over, the former ones stay in force", "error", err)
		return
	}
	i.current.Store(m)
	i.Log.Info("certificate files taken over", "expires", m.certificate.Leaf.NotAfter)
}

func (f Files) loadCredentials(now time.Time) (*credentials, error) {
	pem, err := f.readPEM()
	if err != nil {
		return nil, err
	}
	return parsePEM(pem, now)
}

func (f Files) readPEM() (pem [3][]byte, err error) {
	for n, path := range []string{f.Certificate, f.Key, f.Authority} {
		if pem[n], err = os.ReadFile(path); err != nil {
			return pem, ErrLoad.New("%s", err)
		}
	}
	return pem, nil
}

func samePEM(a, b [3][]byte) bool {
	for n := range a {
		if !bytes.Equal(a[n], b[n]) {
			return false
		}
	}
	return true
}

// parse makes an identity from the certificate, key and authority bytes.
func parsePEM(pem [3][]byte, now time.Time) (*credentials, error) {
	c, err := tls.X509KeyPair(pem[0], pem[1])
	if err != nil {
		return nil, ErrLoad.New("certificate and key: %s", err)
	}
	m := &credentials{certificate: c, authorities: x509.NewCertPool(), pem: pem}
	if !m.authorities.AppendCertsFromPEM(pem[2]) {
		return nil, ErrLoad.New("the authority file has no certificate")
	}
	if names := c.Leaf.DNSNames; len(names) != 1 {
		return nil, ErrLoad.New("the certificate has the DNS names %q, not one host ID", names)
	}
	return m, m.verifyOwnCertificate(now)
}

// verify checks the own certificate as a peer does, for both roles.
func (m *credentials) verifyOwnCertificate(now time.Time) error {
	intermediates := x509.NewCertPool()
	for _, der := range m.certificate.Certificate[1:] {
		c, err := x509.ParseCertificate(der)
		if err != nil {
			return ErrLoad.New("intermediate certificate: %s", err)
		}
		intermediates.AddCert(c)
	}
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		_, err := m.certificate.Leaf.Verify(x509.VerifyOptions{
			Roots: m.authorities, Intermediates: intermediates, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{usage},
		})
		if err != nil {
			return ErrLoad.New("the certificate does not verify: %s", err)
		}
	}
	return nil
}
