// Package peer implements calls between VMs: protobuf messages over yamux streams,
// with one stream per call, over TCP with or without mutual TLS.
package peer

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/conns"
	"knapweedplank.org/plank/internal/wire"
)

// Limits of connections between VMs.
const (
	// dialTimeout bounds a new connection, including its TLS handshake.
	dialTimeout = time.Second
	// callTimeout bounds a call with one reply, and the writes and stream openings
	// of yamux.
	callTimeout = 2 * time.Second
	// acceptTimeout bounds the TLS handshake of an accepted connection, and the
	// wait for the call message of an accepted stream.
	acceptTimeout = 5 * time.Second
	// keepAliveInterval is the time between yamux pings.
	keepAliveInterval = time.Minute
	// MaxMessageBytes bounds the size of one received message.
	MaxMessageBytes = 16 << 20
)

// A Stream is one call in progress.
type Stream struct {
	conn net.Conn
	r    *bufio.Reader
	sent int
}

// newStream returns a stream on an open yamux stream.
func newStream(conn net.Conn) *Stream {
	return &Stream{conn: conn, r: bufio.NewReader(conn)}
}

// Send writes one message. It uses a single write, since each write is a frame with
// its own system calls and wakes the receiver.
func (s *Stream) Send(m proto.Message) error {
	var buf bytes.Buffer
	if _, err := protodelim.MarshalTo(&buf, m); err != nil {
		return err
	}
	n, err := s.conn.Write(buf.Bytes())
	s.sent += n
	return err
}

// SentBytes returns the number of bytes sent, including the messages' length
// prefixes.
func (s *Stream) SentBytes() int { return s.sent }

// Receive reads the next message into m.
func (s *Stream) Receive(m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: MaxMessageBytes}.UnmarshalFrom(s.r, m)
}

// SetDeadline sets the deadline of pending and later sends and receives. The zero
// time removes it.
func (s *Stream) SetDeadline(t time.Time) error { return s.conn.SetDeadline(t) }

// Close ends the call.
func (s *Stream) Close() error { return s.conn.Close() }

// A Handler serves calls of other VMs.
type Handler interface {
	// Serve serves one call. The stream is closed when it returns.
	Serve(call *wire.Call, s *Stream)
}

// A Transport opens, accepts and reuses connections between VMs. It is safe for
// concurrent use.
type Transport struct {
	tls    *tls.Config // nil for plain TCP
	dialer net.Dialer
	log    *logrus.Entry

	mu       sync.Mutex
	sessions map[string]*yamux.Session // outgoing, by address
	accepted map[*yamux.Session]bool
	closed   bool
}

// New returns a Transport. tlsConfig is nil for plain TCP. Outgoing connections use
// the source address local, unless it is nil or unspecified.
func New(local net.IP, tlsConfig *tls.Config, log *logrus.Entry) *Transport {
	t := &Transport{
		dialer: net.Dialer{Control: conns.SetUserTimeout},
		tls:    tlsConfig, log: log,
		sessions: make(map[string]*yamux.Session), accepted: make(map[*yamux.Session]bool),
	}
	if local != nil && !local.IsUnspecified() {
		t.dialer.LocalAddr = &net.TCPAddr{IP: local}
	}
	return t
}

// yamuxConfig returns the settings of yamux for both ends of a connection.
func yamuxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.KeepAliveInterval = keepAliveInterval
	cfg.ConnectionWriteTimeout = callTimeout
	cfg.StreamOpenTimeout = callTimeout
	cfg.StreamCloseTimeout = 30 * time.Second
	cfg.LogOutput = io.Discard
	return cfg
}

// Serve accepts connections of other VMs and serves their calls until the listener
// is closed.
func (t *Transport) Serve(ln net.Listener, handler Handler) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go t.serveConn(conn, handler)
	}
}

// serveConn serves the calls of one accepted connection.
func (t *Transport) serveConn(conn net.Conn, handler Handler) {
	defer conn.Close()
	if t.tls != nil {
		secure := tls.Server(conn, t.tls)
		ctx, cancel := context.WithTimeout(context.Background(), acceptTimeout)
		err := secure.HandshakeContext(ctx)
		cancel()
		if err != nil {
			t.log.WithField("remote", conn.RemoteAddr()).WithError(err).Warn("peer: TLS handshake of an incoming connection failed")
			return
		}
		conn = secure
	}
	session, err := yamux.Server(conn, yamuxConfig())
	if err != nil {
		return
	}
	if !t.trackAccepted(session) {
		session.Close()
		return
	}
	defer t.closeAccepted(session)
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		go serveStream(stream, handler)
	}
}

// trackAccepted records an accepted connection, so that Close closes it. It reports
// false if the transport is closed.
func (t *Transport) trackAccepted(s *yamux.Session) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.accepted[s] = true
	return true
}

// closeAccepted closes an accepted connection and removes its record.
func (t *Transport) closeAccepted(s *yamux.Session) {
	s.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.accepted, s)
}

// serveStream reads the call message of an accepted stream and runs the handler.
func serveStream(conn net.Conn, handler Handler) {
	s := newStream(conn)
	defer s.Close()
	if err := s.SetDeadline(time.Now().Add(acceptTimeout)); err != nil {
		return
	}
	var call wire.Call
	if err := s.Receive(&call); err != nil {
		return
	}
	if err := s.SetDeadline(time.Time{}); err != nil {
		return
	}
	handler.Serve(&call, s)
}

// Context returns a context that is cancelled when the caller closes the stream or
// the connection fails. The caller must send nothing after its call message.
func (s *Stream) Context() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		_, _ = s.r.ReadByte()
		cancel()
	}()
	return ctx, cancel
}

// Open starts a call to the VM at addr. The stream is closed when ctx ends. Errors
// are of type *plank.UnavailableError.
func (t *Transport) Open(ctx context.Context, addr string, call *wire.Call) (*Stream, error) {
	session, err := t.session(ctx, addr)
	if err != nil {
		return nil, unavailable(addr, "dial", err)
	}
	conn, err := session.OpenStream()
	if err != nil {
		t.discard(addr, session)
		return nil, unavailable(addr, "open", err)
	}
	s := newStream(conn)
	context.AfterFunc(ctx, func() { s.Close() })
	if err := s.Send(call); err != nil {
		s.Close()
		t.discard(addr, session)
		return nil, unavailable(addr, "send", err)
	}
	return s, nil
}

// Call makes a call with one reply, which it reads into reply.
func (t *Transport) Call(ctx context.Context, addr string, call *wire.Call, reply proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s, err := t.Open(ctx, addr, call)
	if err != nil {
		return err
	}
	defer s.Close()
	if err := s.Receive(reply); err != nil {
		return unavailable(addr, "receive", err)
	}
	return nil
}

// unavailable returns the error of a failed operation on the peer at addr.
func unavailable(addr, op string, err error) error {
	return &plank.UnavailableError{Target: "peer " + addr, Op: op, Err: err}
}

// session returns the open connection to addr, or dials a new one.
func (t *Transport) session(ctx context.Context, addr string) (*yamux.Session, error) {
	t.mu.Lock()
	s := t.sessions[addr]
	t.mu.Unlock()
	if s != nil && !s.IsClosed() {
		return s, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := t.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	if t.tls != nil {
		secure := tls.Client(conn, t.tls)
		if err := secure.HandshakeContext(ctx); err != nil {
			conn.Close()
			return nil, err
		}
		conn = secure
	}
	s, err = yamux.Client(conn, yamuxConfig())
	if err != nil {
		conn.Close()
		return nil, err
	}
	return t.addSession(addr, s)
}

// addSession makes s the connection to addr, unless another caller added one first.
// It returns the connection to use.
func (t *Transport) addSession(addr string, s *yamux.Session) (*yamux.Session, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		s.Close()
		return nil, net.ErrClosed
	}
	if old := t.sessions[addr]; old != nil && !old.IsClosed() {
		s.Close()
		return old, nil
	}
	t.sessions[addr] = s
	return s, nil
}

// discard closes a failed connection, so that the next call to addr dials again.
func (t *Transport) discard(addr string, s *yamux.Session) {
	t.mu.Lock()
	if t.sessions[addr] == s {
		delete(t.sessions, addr)
	}
	t.mu.Unlock()
	s.Close()
}

// Discard closes the connection to addr, if any, so that the next call dials again.
func (t *Transport) Discard(addr string) {
	t.mu.Lock()
	s := t.sessions[addr]
	delete(t.sessions, addr)
	t.mu.Unlock()
	if s != nil {
		s.Close()
	}
}

// Close closes all connections and prevents new ones.
func (t *Transport) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for _, s := range t.sessions {
		s.Close()
	}
	for s := range t.accepted {
		s.Close()
	}
}
