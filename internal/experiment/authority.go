package experiment

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"time"
)

// certificateLife is how long the certificates of a run are valid.
const certificateLife = 24 * time.Hour

// An authority issues the certificates of one run's nodes.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	pool *x509.CertPool
}

func newAuthority() (*authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, FleetFailed.Wrap(err, "cannot make the authority's key")
	}
	t := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "trial authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(certificateLife), KeyUsage: x509.KeyUsageCertSign,
	}
	b, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, FleetFailed.Wrap(err, "cannot make the authority's certificate")
	}
	cert, err := x509.ParseCertificate(b)
	if err != nil {
		return nil, FleetFailed.Wrap(err, "cannot read the authority's certificate")
	}
	a := &authority{key: key, cert: cert, pool: x509.NewCertPool()}
	a.pool.AddCert(cert)
	return a, nil
}

// issue returns the TLS configuration of the node of one host.
func (a *authority) issue(host string) (*tls.Config, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, FleetFailed.Wrap(err, "cannot make the key of %s", host)
	}
	t := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: host}, DNSNames: []string{host},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore:   time.Now().Add(-time.Hour), NotAfter: time.Now().Add(certificateLife),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	b, err := x509.CreateCertificate(rand.Reader, t, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return nil, FleetFailed.Wrap(err, "cannot make the certificate of %s", host)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{{Certificate: [][]byte{b}, PrivateKey: key}},
		RootCAs:      a.pool, ClientCAs: a.pool,
	}, nil
}
