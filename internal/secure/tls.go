// Package secure defines the mutual TLS between VMs.
package secure

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"knapweedplank.org/plank/internal/config"
)

// checkEvery is how long files are trusted to be unchanged.
const checkEvery = 2 * time.Second

// A Credentials holds the certificate and CA last read from files, and reads them
// again when they change. It is safe for concurrent use.
type Credentials struct {
	cfg config.TLS

	mu      sync.Mutex
	checked time.Time
	stamps  [3]time.Time // modification times of Cert, Key and CA
	cert    *tls.Certificate
	pool    *x509.CertPool
}

// New reads the files.
func New(cfg config.TLS) (*Credentials, error) {
	f := &Credentials{cfg: cfg}
	return f, f.read()
}

// read loads all files.
func (f *Credentials) read() error {
	cert, err := tls.LoadX509KeyPair(f.cfg.Cert, f.cfg.Key)
	if err != nil {
		return eris.Wrap(err, "read certificate")
	}
	pem, err := os.ReadFile(f.cfg.CA)
	if err != nil {
		return eris.Wrap(err, "read CA")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return eris.Errorf("no certificate in %s", f.cfg.CA)
	}
	f.cert, f.pool, f.stamps = &cert, pool, f.modified()
	return nil
}

func (f *Credentials) modified() [3]time.Time {
	var stamps [3]time.Time
	for i, path := range []string{f.cfg.Cert, f.cfg.Key, f.cfg.CA} {
		if info, err := os.Stat(path); err == nil {
			stamps[i] = info.ModTime()
		}
	}
	return stamps
}

// current returns the certificate and CA in force. Files that cannot be read
// leave the earlier ones in force.
func (f *Credentials) current() (*tls.Certificate, *x509.CertPool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := time.Now(); now.Sub(f.checked) > checkEvery {
		f.checked = now
		if f.modified() != f.stamps {
			_ = f.read()
		}
	}
	return f.cert, f.pool
}

// Config returns the TLS configuration for both directions. Each side must
// show a certificate that the CA signed; host names are not checked, since VMs
// are reached by IP number.
func (f *Credentials) Config() *tls.Config {
	return &tls.Config{
		MinVersion:            tls.VersionTLS13,
		ClientAuth:            tls.RequireAnyClientCert,
		InsecureSkipVerify:    true, // verifyPeer checks against the CA in force
		VerifyPeerCertificate: f.verifyPeer,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := f.current()
			return cert, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := f.current()
			return cert, nil
		},
	}
}

// verifyPeer checks the other side's certificate against the CA.
func (f *Credentials) verifyPeer(raw [][]byte, _ [][]*x509.Certificate) error {
	_, pool := f.current()
	if len(raw) == 0 {
		return eris.New("the other VM shows no certificate")
	}
	leaf, err := x509.ParseCertificate(raw[0])
	if err != nil {
		return eris.Wrap(err, "parse certificate")
	}
	_, err = leaf.Verify(x509.VerifyOptions{Roots: pool, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
	return eris.Wrap(err, "verify certificate")
}
