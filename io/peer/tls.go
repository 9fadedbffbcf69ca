package peer

import (
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	minSecretBytes = 16
	hkdfInfo       = "daisysaddle peer link"
)

var (
	certificateNotBefore = time.Unix(0, 0)
	certificateNotAfter  = time.Date(9999, 12, 31, 0, 0, 0, 0, time.UTC)
)

// TLSConfig returns the mutual TLS configuration of a deployment's entries. All entries derive the same key and self-signed
// certificate from the deployment's secret. A secret of fewer than 16 bytes is an error.
func TLSConfig(deployment, secret string) (*tls.Config, error) {
	if len(secret) < minSecretBytes {
		return nil, errors.Newf("peer secret has %d bytes: want at least %d", len(secret), minSecretBytes)
	}
	seed, err := hkdf.Key(sha256.New, []byte(secret), []byte(deployment), hkdfInfo, ed25519.SeedSize)
	if err != nil {
		return nil, errors.Wrap(err, "derive peer key")
	}
	key := ed25519.NewKeyFromSeed(seed)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: deployment},
		DNSNames:     []string{deployment},
		NotBefore:    certificateNotBefore,
		NotAfter:     certificateNotAfter,
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(nil, template, template, key.Public(), key)
	if err != nil {
		return nil, errors.Wrap(err, "create peer certificate")
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "parse peer certificate")
	}
	roots := x509.NewCertPool()
	roots.AddCert(certificate)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      roots,
		ClientCAs:    roots,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   deployment,
		MinVersion:   tls.VersionTLS13,
	}, nil
}
