package keys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"github.com/pkg/errors"
)

// Files names the PEM files of a VM. CA may hold several authorities, so that
// one can replace another without an interruption.
type Files struct {
	CA   string `toml:"ca"`
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
}

// Load returns the TLS configuration of a VM: both sides of a connection must
// show a certificate of the deployment's authorities. The files are read again
// for each handshake, so that replaced keys take effect without a restart.
// Refused is called for each peer that is not of the deployment.
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
		return errors.New("keys: peer showed no certificate")
	}
	c, err := x509.ParseCertificate(raw[0])
	if err != nil {
		return errors.Wrap(err, "keys: parse peer certificate")
	}
	p, err := f.pool()
	if err != nil {
		return err
	}
	_, err = c.Verify(x509.VerifyOptions{Roots: p, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
	return errors.Wrapf(err, "keys: peer %q", c.Subject.CommonName)
}

// RemainingValidity returns how long the VM's certificate in the files is valid from now on:
// negative when it has expired, zero when it cannot be read.
func (f Files) RemainingValidity(now time.Time) time.Duration {
	c, err := f.pair()
	if err != nil || c.Leaf == nil {
		return 0
	}
	return c.Leaf.NotAfter.Sub(now)
}
