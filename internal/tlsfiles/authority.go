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
	// These lifetimes are longer than any demo or test.
	authorityCertificateLifetime = 10 * 365 * 24 * time.Hour
	hostCertificateLifetime      = 30 * 24 * time.Hour
	// clockSkewTolerance is how long before its issue a certificate is already
	// valid, for hosts whose clock is behind.
	clockSkewTolerance = time.Hour
)

// An Authority is a certificate authority whose key exists only in memory. It
// issues certificates of hosts for the demo and for tests.
type Authority struct {
	// Now returns the time of issue. The default is time.Now.
	Now func() time.Time

	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority makes an authority with a new ECDSA P-256 key.
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

// Issue returns the identity of a host, with a new key and certificate that exist
// only in memory.
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

// WriteFiles issues a certificate and writes it, its key and the authority's
// certificate to files in the directory. The host ID begins their names.
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

// issuePEM issues a certificate and returns it, its key and the authority's
// certificate in PEM.
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

// createCertificate gives the template a random serial number and returns the
// signed certificate in DER.
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
