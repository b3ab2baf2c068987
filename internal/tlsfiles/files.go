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
	// reloadInterval is the time between two reads of the files. Certificates
	// are renewed days before they expire, so seconds do not matter.
	reloadInterval = 10 * time.Second
	// tickInterval is how often Run compares the clock with the time of the
	// next read, so that a paused process reads the files soon after it resumes.
	tickInterval = time.Second
)

// Files holds the paths of the PEM files of one host.
type Files struct {
	// Certificate holds the host's certificate, followed by any intermediate
	// certificates.
	Certificate string
	// Key holds the private key of the certificate.
	Key string
	// Authority holds the certificates of all trusted authorities: two while
	// the fleet changes from one to the other.
	Authority string
}

// Load reads an identity from files. It fails if the certificate does not belong
// to the key, is not valid now, does not name exactly one host, or does not
// verify against the authorities.
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

// Run reloads the files when they change, until the context ends.
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

// ReloadIfDue reads the files if reloadInterval has passed since the last read,
// and puts changed ones in force. On failure it keeps the former credentials and
// tries again at the next read, because a file may be half written or not yet
// match the others.
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

// loadCredentials reads and parses the files.
func (f Files) loadCredentials(now time.Time) (*credentials, error) {
	pem, err := f.readPEM()
	if err != nil {
		return nil, err
	}
	return parsePEM(pem, now)
}

// readPEM returns the bytes of the certificate, key and authority file.
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

// parsePEM parses and verifies the bytes of the certificate, key and authority
// file.
func parsePEM(pem [3][]byte, now time.Time) (*credentials, error) {
	c, err := tls.X509KeyPair(pem[0], pem[1])
	if err != nil {
		return nil, ErrLoad.New("the certificate and the key are not a valid pair: %s", err)
	}
	m := &credentials{certificate: c, authorities: x509.NewCertPool(), pem: pem}
	if !m.authorities.AppendCertsFromPEM(pem[2]) {
		return nil, ErrLoad.New("the authority file contains no certificate")
	}
	if names := c.Leaf.DNSNames; len(names) != 1 {
		return nil, ErrLoad.New("the certificate has the DNS names %q, not one host ID", names)
	}
	return m, m.verifyOwnCertificate(now)
}

// verifyOwnCertificate verifies the host's certificate as peers do, for the roles
// of server and client.
func (m *credentials) verifyOwnCertificate(now time.Time) error {
	intermediates := x509.NewCertPool()
	for _, der := range m.certificate.Certificate[1:] {
		c, err := x509.ParseCertificate(der)
		if err != nil {
			return ErrLoad.New("an intermediate certificate cannot be parsed: %s", err)
		}
		intermediates.AddCert(c)
	}
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		_, err := m.certificate.Leaf.Verify(x509.VerifyOptions{
			Roots: m.authorities, Intermediates: intermediates, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{usage},
		})
		if err != nil {
			return ErrLoad.New("the certificate does not verify against the authorities: %s", err)
		}
	}
	return nil
}
