// Package peer defines the connections between VMs: protobuf messages over
// yamux streams, one stream a call, over TCP with or without mutual TLS.
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

// The limits of connections between VMs.
const (
	dialTimeout = time.Second
	// callTimeout bounds a call that has one answer.
	callTimeout = 2 * time.Second
	// firstTimeout bounds the wait for the call message of an accepted stream.
	firstTimeout = 5 * time.Second
	keepAlive    = time.Minute
	// MaxMessageBytes bounds one message.
	MaxMessageBytes = 16 << 20
)

// A Stream is one call in progress.
type Stream struct {
	conn net.Conn
	r    *bufio.Reader
	sent int
}

func newStream(conn net.Conn) *Stream {
	return &Stream{conn: conn, r: bufio.NewReader(conn)}
}

// Send writes one message. It makes one write of it, since each write is a
// frame with system calls of its own and wakes the receiver.
func (s *Stream) Send(m proto.Message) error {
	var buf bytes.Buffer
	if _, err := protodelim.MarshalTo(&buf, m); err != nil {
		return err
	}
	n, err := s.conn.Write(buf.Bytes())
	s.sent += n
	return err
}

// SentBytes returns how many bytes of messages were sent.
func (s *Stream) SentBytes() int { return s.sent }

// Receive reads one message.
func (s *Stream) Receive(m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: MaxMessageBytes}.UnmarshalFrom(s.r, m)
}

// SetDeadline bounds further sends and receives.
func (s *Stream) SetDeadline(t time.Time) error { return s.conn.SetDeadline(t) }

// Close ends the call.
func (s *Stream) Close() error { return s.conn.Close() }

// A Handler answers calls of other VMs.
type Handler interface {
	// Serve answers one call.
	Serve(call *wire.Call, s *Stream)
}

// A Transport holds the connections to other VMs.
type Transport struct {
	tls    *tls.Config // nil for plain TCP
	dialer net.Dialer
	log    *logrus.Entry

	mu       sync.Mutex
	sessions map[string]*yamux.Session // outgoing, by address
	accepted map[*yamux.Session]bool
	closed   bool
}

// New returns a hub. tlsConfig is nil for plain TCP. Connections go out from
// local unless that is the unspecified address.
func New(local net.IP, tlsConfig *tls.Config, log *logrus.Entry) *Transport {
	h := &Transport{
		dialer: net.Dialer{Control: conns.SetUserTimeout},
		tls:    tlsConfig, log: log,
		sessions: make(map[string]*yamux.Session), accepted: make(map[*yamux.Session]bool),
	}
	if local != nil && !local.IsUnspecified() {
		h.dialer.LocalAddr = &net.TCPAddr{IP: local}
	}
	return h
}

func yamuxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.KeepAliveInterval = keepAlive
	cfg.ConnectionWriteTimeout = callTimeout
	cfg.StreamOpenTimeout = callTimeout
	cfg.StreamCloseTimeout = 30 * time.Second
	cfg.LogOutput = io.Discard
	return cfg
}

// Serve accepts connections of other VMs until the listener is closed.
func (h *Transport) Serve(ln net.Listener, handler Handler) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go h.serveConn(conn, handler)
	}
}

// serveConn answers the calls of one connection.
func (h *Transport) serveConn(conn net.Conn, handler Handler) {
	defer conn.Close()
	if h.tls != nil {
		secure := tls.Server(conn, h.tls)
		ctx, cancel := context.WithTimeout(context.Background(), firstTimeout)
		err := secure.HandshakeContext(ctx)
		cancel()
		if err != nil {
			h.log.WithField("remote", conn.RemoteAddr()).WithError(err).Warn("peer: refused a connection")
			return
		}
		conn = secure
	}
	session, err := yamux.Server(conn, yamuxConfig())
	if err != nil {
		return
	}
	if !h.keep(session) {
		session.Close()
		return
	}
	defer h.drop(session)
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		go serveStream(stream, handler)
	}
}

func (h *Transport) keep(s *yamux.Session) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return false
	}
	h.accepted[s] = true
	return true
}

func (h *Transport) drop(s *yamux.Session) {
	s.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.accepted, s)
}

func serveStream(conn net.Conn, handler Handler) {
	s := newStream(conn)
	defer s.Close()
	if err := s.SetDeadline(time.Now().Add(firstTimeout)); err != nil {
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

// Context returns a context that ends when the caller closes the stream or its
// VM is gone. The caller must not send more than its call.
func (s *Stream) Context() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		_, _ = s.r.ReadByte()
		cancel()
	}()
	return ctx, cancel
}

// Open starts a call to the VM at addr. The stream ends with ctx.
func (h *Transport) Open(ctx context.Context, addr string, call *wire.Call) (*Stream, error) {
	session, err := h.session(ctx, addr)
	if err != nil {
		return nil, unavailable(addr, "dial", err)
	}
	conn, err := session.OpenStream()
	if err != nil {
		h.discard(addr, session)
		return nil, unavailable(addr, "open", err)
	}
	s := newStream(conn)
	context.AfterFunc(ctx, func() { s.Close() })
	if err := s.Send(call); err != nil {
		s.Close()
		h.discard(addr, session)
		return nil, unavailable(addr, "send", err)
	}
	return s, nil
}

// Call makes a call with one answer.
func (h *Transport) Call(ctx context.Context, addr string, call *wire.Call, reply proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s, err := h.Open(ctx, addr, call)
	if err != nil {
		return err
	}
	defer s.Close()
	if err := s.Receive(reply); err != nil {
		return unavailable(addr, "receive", err)
	}
	return nil
}

func unavailable(addr, op string, err error) error {
	return &plank.UnavailableError{Target: "peer " + addr, Op: op, Err: err}
}

// session returns the connection to addr, dialling if there is none.
func (h *Transport) session(ctx context.Context, addr string) (*yamux.Session, error) {
	h.mu.Lock()
	s := h.sessions[addr]
	h.mu.Unlock()
	if s != nil && !s.IsClosed() {
		return s, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := h.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	if h.tls != nil {
		secure := tls.Client(conn, h.tls)
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
	return h.adopt(addr, s)
}

// adopt makes s the connection to addr unless another caller was faster.
func (h *Transport) adopt(addr string, s *yamux.Session) (*yamux.Session, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		s.Close()
		return nil, net.ErrClosed
	}
	if old := h.sessions[addr]; old != nil && !old.IsClosed() {
		s.Close()
		return old, nil
	}
	h.sessions[addr] = s
	return s, nil
}

// discard closes a connection that failed, so that the next call dials anew.
func (h *Transport) discard(addr string, s *yamux.Session) {
	h.mu.Lock()
	if h.sessions[addr] == s {
		delete(h.sessions, addr)
	}
	h.mu.Unlock()
	s.Close()
}

// Discard closes the connection to addr, so that the next call dials anew.
func (h *Transport) Discard(addr string) {
	h.mu.Lock()
	s := h.sessions[addr]
	delete(h.sessions, addr)
	h.mu.Unlock()
	if s != nil {
		s.Close()
	}
}

// Close ends all connections.
func (h *Transport) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	for _, s := range h.sessions {
		s.Close()
	}
	for s := range h.accepted {
		s.Close()
	}
}
