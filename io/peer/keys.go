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
	minSecretLength = 16
	keyInfo         = "daisysaddle peer link"
)

var (
	certificateStart = time.Unix(0, 0)
	certificateEnd   = time.Date(9999, 12, 31, 0, 0, 0, 0, time.UTC)
)

// Keys derives the TLS settings that all entries of a deployment share from its secret.
func Keys(deployment, secret string) (*tls.Config, error) {
	if len(secret) < minSecretLength {
		return nil, errors.Newf("peer secret has %d characters: want at least %d", len(secret), minSecretLength)
	}
	seed, err := hkdf.Key(sha256.New, []byte(secret), []byte(deployment), keyInfo, ed25519.SeedSize)
	if err != nil {
		return nil, errors.Wrap(err, "derive peer key")
	}
	key := ed25519.NewKeyFromSeed(seed)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: deployment},
		DNSNames:     []string{deployment},
		NotBefore:    certificateStart,
		NotAfter:     certificateEnd,
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(nil, template, template, key.Public(), key)
	if err != nil {
		return nil, errors.Wrap(err, "make peer certificate")
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "parse peer certificate")
	}
	trusted := x509.NewCertPool()
	trusted.AddCert(certificate)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      trusted,
		ClientCAs:    trusted,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   deployment,
		MinVersion:   tls.VersionTLS13,
	}, nil
}
