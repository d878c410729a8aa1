// Package keys creates and loads the certificates with which the balancers of a
// deployment authenticate each other: one certificate authority per deployment,
// and one certificate per VM with the VM's name as common name.
package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"

	"github.com/pkg/errors"
)

// Protocol is the ALPN name of the control protocol.
const Protocol = "rosedale/1"

const (
	serialBits = 120
	backdate   = 5 * time.Minute // tolerated clock difference between VMs
)

// Pair is a certificate with its private key, in PEM.
type Pair struct {
	Cert, Key []byte
}

// NewAuthority creates the certificate authority of a deployment; it expires at now plus
// valid.
func NewAuthority(name string, valid time.Duration, now time.Time) (Pair, error) {
	t, err := template(name, valid, now)
	if err != nil {
		return Pair{}, err
	}
	t.IsCA = true
	t.BasicConstraintsValid = true
	t.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature
	return sign(t, nil, nil)
}

// NewMember creates the certificate of the VM with this name, signed by ca; it expires at now
// plus valid.
func NewMember(ca Pair, name string, valid time.Duration, now time.Time) (Pair, error) {
	t, err := template(name, valid, now)
	if err != nil {
		return Pair{}, err
	}
	t.DNSNames = []string{name}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	c, err := tls.X509KeyPair(ca.Cert, ca.Key)
	if err != nil {
		return Pair{}, errors.Wrap(err, "keys: load authority")
	}
	parent, err := x509.ParseCertificate(c.Certificate[0])
	if err != nil {
		return Pair{}, errors.Wrap(err, "keys: parse authority")
	}
	return sign(t, parent, c.PrivateKey)
}

func template(name string, valid time.Duration, now time.Time) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "keys: serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(valid),
	}, nil
}

func sign(t, parent *x509.Certificate, signer any) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, errors.Wrap(err, "keys: generate")
	}
	if parent == nil {
		parent, signer = t, key
	}
	der, err := x509.CreateCertificate(rand.Reader, t, parent, &key.PublicKey, signer)
	if err != nil {
		return Pair{}, errors.Wrap(err, "keys: sign")
	}
	kb, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, errors.Wrap(err, "keys: encode")
	}
	return Pair{
		Cert: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:  pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: kb}),
	}, nil
}

// Name returns the VM name in the peer's certificate of a verified connection, or "".
func Name(s tls.ConnectionState) string {
	if len(s.PeerCertificates) == 0 {
		return ""
	}
	return s.PeerCertificates[0].Subject.CommonName
}
