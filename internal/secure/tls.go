// Package secure implements mutual TLS between VMs.
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

// checkInterval is the shortest time between checks whether the files changed.
const checkInterval = 2 * time.Second

// Credentials holds the certificate and CA last read from files, and reads them
// again when the files change. It is safe for concurrent use.
type Credentials struct {
	cfg config.TLS

	mu        sync.Mutex
	checkedAt time.Time
	modTimes  [3]time.Time // modification times of Cert, Key and CA
	cert      *tls.Certificate
	pool      *x509.CertPool
}

// New returns the credentials in the configured files.
func New(cfg config.TLS) (*Credentials, error) {
	c := &Credentials{cfg: cfg}
	return c, c.read()
}

// read reads all files. On an error the credentials stay unchanged.
func (c *Credentials) read() error {
	cert, err := tls.LoadX509KeyPair(c.cfg.Cert, c.cfg.Key)
	if err != nil {
		return eris.Wrap(err, "read certificate")
	}
	pem, err := os.ReadFile(c.cfg.CA)
	if err != nil {
		return eris.Wrap(err, "read CA")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return eris.Errorf("no certificate in %s", c.cfg.CA)
	}
	c.cert, c.pool, c.modTimes = &cert, pool, c.readModTimes()
	return nil
}

func (c *Credentials) readModTimes() [3]time.Time {
	var modTimes [3]time.Time
	for i, path := range []string{c.cfg.Cert, c.cfg.Key, c.cfg.CA} {
		if info, err := os.Stat(path); err == nil {
			modTimes[i] = info.ModTime()
		}
	}
	return modTimes
}

// current returns the current certificate and CA, and first reads the files again if
// they changed. If that fails, the earlier ones stay current.
func (c *Credentials) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.checkedAt) > checkInterval {
		c.checkedAt = now
		if c.readModTimes() != c.modTimes {
			_ = c.read()
		}
	}
	return c.cert, c.pool
}

// Config returns the TLS configuration for servers and clients. Each side must
// present a certificate signed by the CA. Host names are not verified, since VMs
// are reached by IP address.
func (c *Credentials) Config() *tls.Config {
	return &tls.Config{
		MinVersion:            tls.VersionTLS13,
		ClientAuth:            tls.RequireAnyClientCert,
		InsecureSkipVerify:    true, // verifyPeer verifies against the current CA
		VerifyPeerCertificate: c.verifyPeer,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := c.current()
			return cert, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := c.current()
			return cert, nil
		},
	}
}

// verifyPeer verifies the other side's certificate against the CA.
func (c *Credentials) verifyPeer(raw [][]byte, _ [][]*x509.Certificate) error {
	_, pool := c.current()
	if len(raw) == 0 {
		return eris.New("the other VM presented no certificate")
	}
	leaf, err := x509.ParseCertificate(raw[0])
	if err != nil {
		return eris.Wrap(err, "parse certificate")
	}
	_, err = leaf.Verify(x509.VerifyOptions{Roots: pool, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
	return eris.Wrap(err, "verify certificate")
}
