package tlsfiles

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"log/slog"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

const (
	// authorityLifetime and hostLifetime outlast any demo and test.
	authorityCertificateLifetime = 10 * 365 * 24 * time.Hour
	hostCertificateLifetime      = 30 * 24 * time.Hour
	// backdating tolerates clocks that run late.
	clockSkewTolerance = time.Hour
)

// An Authority issues certificates in memory, for the demo and for tests.
type Authority struct {
	// Now is the time of issue, time.Now unless set.
	Now func() time.Time

	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority makes an authority with a fresh ECDSA P-256 key.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, ErrIssue.New("%s", err)
	}
	now := time.Now()
	template := &x509.Certificate{
		Subject:   pkix.Name{CommonName: "quetzaldock in-memory authority"},
		NotBefore: now.Add(-clockSkewTolerance), NotAfter: now.Add(authorityCertificateLifetime),
		IsCA: true, BasicConstraintsValid: true, MaxPathLenZero: true,
		KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := createCertificate(template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	c, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, ErrIssue.New("%s", err)
	}
	return &Authority{Now: time.Now, certificate: c, key: key}, nil
}

// Issue returns the identity of a host with a fresh key and certificate. It
// is held in memory only.
func (a *Authority) Issue(hostID string) (*Identity, error) {
	pem, err := a.issuePEM(hostID)
	if err != nil {
		return nil, err
	}
	m, err := parsePEM(pem, a.Now())
	if err != nil {
		return nil, err
	}
	i := &Identity{Now: time.Now, Log: slog.Default()}
	i.current.Store(m)
	return i, nil
}

// Write issues a certificate and writes certificate, key and authority into
// the directory, named after the host.
func (a *Authority) WriteFiles(dir, hostID string) (Files, error) {
	f := Files{
		Certificate: filepath.Join(dir, hostID+".certificate.pem"),
		Key:         filepath.Join(dir, hostID+".key.pem"),
		Authority:   filepath.Join(dir, hostID+".authority.pem"),
	}
	pem, err := a.issuePEM(hostID)
	if err != nil {
		return f, err
	}
	for n, path := range []string{f.Certificate, f.Key, f.Authority} {
		if err := os.WriteFile(path, pem[n], 0o600); err != nil {
			return f, ErrIssue.New("%s", err)
		}
	}
	return f, nil
}

// issue returns the bytes of a certificate, its key and the authority.
func (a *Authority) issuePEM(hostID string) (out [3][]byte, err error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return out, ErrIssue.New("%s", err)
	}
	now := a.Now()
	template := &x509.Certificate{
		Subject: pkix.Name{CommonName: hostID}, DNSNames: []string{hostID},
		NotBefore: now.Add(-clockSkewTolerance), NotAfter: now.Add(hostCertificateLifetime),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := createCertificate(template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return out, err
	}
	privateKey, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return out, ErrIssue.New("%s", err)
	}
	out[0] = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	out[1] = pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: privateKey})
	out[2] = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.certificate.Raw})
	return out, nil
}

func createCertificate(template, parent *x509.Certificate, publicKey *ecdsa.PublicKey, signingKey *ecdsa.PrivateKey) ([]byte, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 127))
	if err != nil {
		return nil, ErrIssue.New("%s", err)
	}
	template.SerialNumber = serial
	der, err := x509.CreateCertificate(rand.Reader, template, parent, publicKey, signingKey)
	if err != nil {
		return nil, ErrIssue.New("%s", err)
	}
	return der, nil
}
