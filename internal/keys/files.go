package keys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"github.com/pkg/errors"
)

// Files holds the paths of a VM's PEM files. CA may contain several authorities,
// so that one can replace another without an interruption.
type Files struct {
	CA   string `toml:"ca"`
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
}

// Load returns the TLS configuration of a VM: both sides of a connection must
// present a certificate of one of the deployment's authorities. The files are read
// again for each handshake, so that replaced keys take effect without a restart.
// refused is called for each peer whose certificate is rejected.
func (f Files) Load(refused func()) (*tls.Config, error) {
	if _, err := f.pool(); err != nil {
		return nil, err
	}
	if _, err := f.pair(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{Protocol},
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true, // verify checks both directions against the current files
		VerifyPeerCertificate: func(raw [][]byte, _ [][]*x509.Certificate) error {
			err := f.verify(raw)
			if err != nil {
				refused()
			}
			return err
		},
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return f.pair() },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return f.pair() },
	}, nil
}

func (f Files) pair() (*tls.Certificate, error) {
	c, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	return &c, errors.Wrap(err, "keys: load certificate")
}

func (f Files) pool() (*x509.CertPool, error) {
	b, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, errors.Wrap(err, "keys: read authorities")
	}
	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(b) {
		return nil, errors.Errorf("keys: no authority in %s", f.CA)
	}
	return p, nil
}

func (f Files) verify(raw [][]byte) error {
	if len(raw) == 0 {
		return errors.New("keys: peer presented no certificate")
	}
	c, err := x509.ParseCertificate(raw[0])
	if err != nil {
		return errors.Wrap(err, "keys: parse peer certificate")
	}
	roots, err := f.pool()
	if err != nil {
		return err
	}
	_, err = c.Verify(x509.VerifyOptions{Roots: roots, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
	return errors.Wrapf(err, "keys: peer %q", c.Subject.CommonName)
}

// RemainingValidity returns the time until the VM's certificate expires: negative if it has
// expired, zero if it cannot be read.
func (f Files) RemainingValidity(now time.Time) time.Duration {
	c, err := f.pair()
	if err != nil || c.Leaf == nil {
		return 0
	}
	return c.Leaf.NotAfter.Sub(now)
}
