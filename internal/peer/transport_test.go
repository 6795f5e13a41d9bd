package peer_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"knapweedplank.org/plank/internal/config"
	"knapweedplank.org/plank/internal/peer"
	"knapweedplank.org/plank/internal/secure"
	"knapweedplank.org/plank/internal/wire"
)

// An echo is a handler that replies to each borrow request with the requested
// tokens.
type echo struct{}

// Serve implements peer.Handler.
func (echo) Serve(call *wire.Call, s *peer.Stream) {
	_ = s.Send(&wire.BorrowReply{Tokens: call.GetBorrow().GetTokens()})
}

func discardLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// serve starts a server and returns its address.
func serve(t *testing.T, cfg *tls.Config) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	transport := peer.New(nil, cfg, discardLog())
	go transport.Serve(ln, echo{})
	t.Cleanup(func() {
		ln.Close()
		transport.Close()
	})
	return ln.Addr().String()
}

func borrow(t *testing.T, cfg *tls.Config, addr string) error {
	t.Helper()
	client := peer.New(nil, cfg, discardLog())
	defer client.Close()
	var reply wire.BorrowReply
	call := &wire.Call{Body: &wire.Call_Borrow{Borrow: &wire.BorrowRequest{Tokens: 7}}}
	if err := client.Call(context.Background(), addr, call, &reply); err != nil {
		return err
	}
	assert.Equal(t, reply.GetTokens(), 7.0)
	return nil
}

// An authority is a certificate authority.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	der  []byte
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return &authority{cert: cert, key: key, der: der}
}

// issue writes a new certificate, its key and the CA's certificate into dir.
func (a *authority) issue(t *testing.T, dir string) config.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	cfg := config.TLS{Cert: filepath.Join(dir, "vm.pem"), Key: filepath.Join(dir, "vm.key"), CA: filepath.Join(dir, "ca.pem")}
	write := func(path, kind string, der []byte) {
		text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
		assert.NilError(t, os.WriteFile(path, text, 0o600))
	}
	write(cfg.Cert, "CERTIFICATE", der)
	write(cfg.Key, "PRIVATE KEY", keyDER)
	write(cfg.CA, "CERTIFICATE", a.der)
	return cfg
}

func tlsConfig(t *testing.T, cfg config.TLS) *tls.Config {
	t.Helper()
	files, err := secure.New(cfg)
	assert.NilError(t, err)
	return files.Config()
}

// TestMutualTLS checks that VMs of the same CA connect, and that certificates of
// another CA and plain TCP are rejected.
func TestMutualTLS(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	addr := serve(t, tlsConfig(t, ours.issue(t, t.TempDir())))
	assert.NilError(t, borrow(t, tlsConfig(t, ours.issue(t, t.TempDir())), addr))
	assert.ErrorContains(t, borrow(t, tlsConfig(t, theirs.issue(t, t.TempDir())), addr), "unavailable")
	assert.ErrorContains(t, borrow(t, nil, addr), "unavailable")
}

// TestCertificateReload replaces the certificate files of a running VM by those of
// another CA.
func TestCertificateReload(t *testing.T) {
	ours, next := newAuthority(t), newAuthority(t)
	dir := t.TempDir()
	addr := serve(t, tlsConfig(t, ours.issue(t, dir)))
	assert.NilError(t, borrow(t, tlsConfig(t, ours.issue(t, t.TempDir())), addr))
	next.issue(t, dir)
	later := time.Now().Add(time.Minute)
	for _, name := range []string{"vm.pem", "vm.key", "ca.pem"} {
		assert.NilError(t, os.Chtimes(filepath.Join(dir, name), later, later))
	}
	client := tlsConfig(t, next.issue(t, t.TempDir()))
	for end := time.Now().Add(10 * time.Second); borrow(t, client, addr) != nil; {
		assert.Assert(t, time.Now().Before(end), "the new certificate files are not used")
		time.Sleep(50 * time.Millisecond)
	}
}

// TestMalformedInput sends invalid data, after which the transport must still serve
// other connections.
func TestMalformedInput(t *testing.T) {
	addr := serve(t, nil)
	session := []byte{0, 1, 0, 1, 0, 0, 0, 1, 0, 0, 0, 0} // yamux: open stream 1
	data := func(payload ...byte) []byte {
		head := []byte{0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, byte(len(payload))}
		return append(append([]byte{}, head...), payload...)
	}
	cases := map[string][]byte{
		"noise":           []byte("GET / HTTP/1.1\r\n\r\n"),
		"nothing":         nil,
		"huge message":    append(append([]byte{}, session...), data(0xff, 0xff, 0xff, 0xff, 0x7f)...),
		"truncated":       append(append([]byte{}, session...), data(20, 1, 2)...),
		"not a message":   append(append([]byte{}, session...), data(3, 0xff, 0xff, 0xff)...),
		"empty call":      append(append([]byte{}, session...), data(0)...),
		"unknown stream":  data(1, 2, 3),
		"wrong version":   {9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9},
		"half a header":   {0, 1},
		"huge data frame": {0, 0, 0, 0, 0, 0, 0, 1, 0x7f, 0xff, 0xff, 0xff},
	}
	for name, payload := range cases {
		conn, err := net.Dial("tcp", addr)
		assert.NilError(t, err, name)
		_, err = conn.Write(payload)
		assert.NilError(t, err, name)
		assert.NilError(t, borrow(t, nil, addr), name)
		conn.Close()
		assert.NilError(t, borrow(t, nil, addr), name)
	}
}
