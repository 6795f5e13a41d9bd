// Package conns implements a pool of HTTP/1.1 connections to endpoints.
//
// Unlike http.Transport, the pool never sends a request twice, and its errors state
// whether a failed request may have reached its endpoint.
package conns

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/budget"
)

// Limits of connections.
const (
	// defaultIdleTimeout is how long an idle connection is kept if its endpoint
	// states no idle timeout; unstated timeouts are below a second.
	defaultIdleTimeout = 400 * time.Millisecond
	// idleMargin is the fraction of a stated idle timeout that is not used,
	// since the endpoint's timer starts before the answer arrives.
	idleMargin = 0.25
	// userTimeout bounds how long sent data may stay unacknowledged. It
	// detects endpoints behind a network partition.
	userTimeout = 3 * time.Second
	// maxInlineBodyBytes is the largest body that is written before the
	// answer is read. It fits into the smallest socket buffers.
	maxInlineBodyBytes = 4 << 10
	// maxStrayAnswers bounds the discarded answers to other requests.
	maxStrayAnswers = 4
	// maxHeadBytes bounds the head of an answer, at four times the limit that
	// the users' sites set for requests.
	maxHeadBytes = 64 << 10
	// maxHeadLines bounds its lines, each of which costs more than its bytes.
	maxHeadLines    = 256
	readBufferBytes = 4 << 10
	// maxCarried is the number of requests of a connection whose IDs are kept. A late
	// copy of an answer before these would have met one of them.
	maxCarried = 16
	// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall lacks.
	tcpUserTimeout = 0x12
)

// Options are the settings and dependencies of a Pool.
type Options struct {
	DialTimeout time.Duration
	Clock       plank.Clock
	// OnDial, if not nil, is called after each new connection.
	OnDial func()
	// OnAnswer, if not nil, is called with the header of each answer that belongs to its
	// request, before Do returns it.
	OnAnswer func(key Key, status int, h http.Header)
}

// A Pool sends requests and keeps idle connections for reuse. It is safe for
// concurrent use.
type Pool struct {
	opts Options
	dial func(ctx context.Context, network, addr string) (*streamConn, error)

	mu sync.Mutex
	// idle holds connections with no request in progress, the most recently used
	// last.
	idle map[Key][]*conn
}

// A Key identifies an endpoint and its start, to which a connection leads.
type Key struct {
	Addr     string
	Endpoint plank.EndpointID
	Born     int64 // start time in Unix milliseconds
}

// A Request is one encoded request.
type Request struct {
	// ID is shared by the attempts of one request, whose answers cannot be told apart;
	// empty if there is only one attempt. The pool sends each on another connection.
	ID     plank.RequestID
	Method string
	Head   []byte // request line and header fields, including the final empty line
	Body   []byte
	// Matches reports whether an answer with this header belongs to the
	// request. If nil, every answer does.
	Matches func(http.Header) bool
	// Held is charged for the heads of answers until the request of the caller ends; it may be nil.
	Held *budget.Conn
}

// A conn is one connection, which carries one request at a time.
type conn struct {
	*streamConn
	br         *bufio.Reader // reads from head
	head       *headReader
	reuseUntil time.Time // end of the time in which it may be reused
	// carried holds the IDs of the last requests, the oldest first.
	carried []plank.RequestID
}

// New returns an empty pool.
func New(opts Options) *Pool {
	dial := dialer(&net.Dialer{Timeout: opts.DialTimeout, Control: SetUserTimeout})
	return &Pool{opts: opts, dial: dial, idle: make(map[Key][]*conn)}
}

// SetUserTimeout is a net.Dialer.Control function that sets the time for which sent
// data may stay unacknowledged.
func SetUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, sockErr)
}

// Do sends the request and returns the answer once its header has arrived. The
// connection is closed if ctx ends before the body has been read. If there is no
// answer, Do returns a *plank.SendError.
func (p *Pool) Do(ctx context.Context, key Key, r Request) (*http.Response, error) {
	c := p.take(key, r.ID)
	if c == nil {
		var err error
		if c, err = p.connect(ctx, key); err != nil {
			return nil, err
		}
	}
	c.record(r.ID)
	stop := context.AfterFunc(ctx, c.abandon)
	written, err := c.write(r)
	if err != nil {
		stop()
		c.abandon()
		return nil, &plank.SendError{Endpoint: key.Endpoint, Op: "write", Sent: true, Err: err}
	}
	resp, stray, err := c.read(ctx, r)
	if err != nil {
		stop()
		c.abandon()
		return nil, &plank.SendError{Endpoint: key.Endpoint, Op: "read", Sent: true, Err: err}
	}
	if p.opts.OnAnswer != nil {
		p.opts.OnAnswer(key, resp.StatusCode, resp.Header)
	}
	resp.Body = &body{ReadCloser: resp.Body, pool: p, key: key, conn: c, stopWatch: stop, written: written, header: resp.Header, reusable: !resp.Close && !stray}
	return resp, nil
}

// connect opens a connection to the address of key.
func (p *Pool) connect(ctx context.Context, key Key) (*conn, error) {
	stream, err := p.dial(ctx, "tcp", key.Addr)
	if err != nil {
		return nil, &plank.SendError{Endpoint: key.Endpoint, Op: "dial", Refused: errors.Is(err, syscall.ECONNREFUSED), Err: err}
	}
	if p.opts.OnDial != nil {
		p.opts.OnDial()
	}
	head := &headReader{r: stream}
	return &conn{streamConn: stream, head: head, br: bufio.NewReaderSize(head, readBufferBytes)}, nil
}

// errHeadTooLong reports an answer whose head exceeds maxHeadBytes or maxHeadLines.
var errHeadTooLong = errors.New("head of the answer longer than 64 KiB or 256 lines")

// A headReader bounds and charges the heads that are read from a connection: what is read
// between start and stop.
type headReader struct {
	r     io.Reader
	ctx   context.Context // of the request; nil after stop
	held  *budget.Conn
	head  budget.Head
	lines int
}

// start begins a head, the first bytes of which may have been read together with what is before it.
func (h *headReader) start(ctx context.Context, held *budget.Conn, read []byte) error {
	h.ctx, h.held, h.head, h.lines = ctx, held, budget.Head{}, 0
	return h.count(read)
}

// stop ends the counting.
func (h *headReader) stop() { h.ctx, h.held = nil, nil }

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	n, err := h.r.Read(p)
	if h.ctx != nil && n > 0 {
		if err := h.count(p[:n]); err != nil {
			return 0, err
		}
	}
	return n, err
}

// count counts and charges what was read.
func (h *headReader) count(p []byte) error {
	n, lines := h.head.Add(p)
	if n == 0 {
		return nil
	}
	h.lines += lines
	if h.head.Bytes > maxHeadBytes || h.lines > maxHeadLines {
		return errHeadTooLong
	}
	cost := budget.HeadCost(n, lines)
	if h.head.Bytes <= readBufferBytes {
		return h.held.Wait(h.ctx, cost)
	}
	return h.held.WaitLarge(h.ctx, cost)
}

// write sends the request. The returned channel is closed once all of it is written.
// A long body is written in the background while the answer is read, because
// endpoints may answer before they have read it.
func (c *conn) write(r Request) (<-chan struct{}, error) {
	written := make(chan struct{})
	if len(r.Body) <= maxInlineBodyBytes {
		defer close(written)
		data := r.Head
		if len(r.Body) > 0 {
			data = append(append(make([]byte, 0, len(r.Head)+len(r.Body)), r.Head...), r.Body...)
		}
		_, err := c.Write(data)
		return written, err
	}
	if _, err := c.Write(r.Head); err != nil {
		return nil, err
	}
	c.startWrite()
	go func() {
		if _, err := c.Write(r.Body); err == nil {
			close(written)
		}
		// After an error, reading the answer fails as well (see streamConn), unless the
		// answer is whole. The connection is closed then, as not all was written.
	}()
	return written, nil
}

// read returns the answer to the request. Answers to other requests that arrive
// before it are discarded. The bool reports whether there were any; in this case the
// connection must not be reused, since more may follow.
func (c *conn) read(ctx context.Context, r Request) (*http.Response, bool, error) {
	req := &http.Request{Method: r.Method}
	defer c.head.stop()
	for stray := 0; ; stray++ {
		buffered, err := c.br.Peek(c.br.Buffered())
		if err == nil {
			err = c.head.start(ctx, r.Held, buffered)
		}
		if err != nil {
			return nil, false, err
		}
		resp, err := http.ReadResponse(c.br, req)
		if err != nil {
			return nil, false, err
		}
		if resp.StatusCode/100 == 1 {
			if stray == maxStrayAnswers {
				return nil, false, errors.New("too many interim (1xx) answers")
			}
			continue
		}
		if err := checkStatus(resp.StatusCode); err != nil {
			return nil, false, err
		}
		if r.Matches == nil || r.Matches(resp.Header) {
			return resp, stray > 0, nil
		}
		if resp.Close || stray == maxStrayAnswers {
			return nil, false, errors.New("answer belongs to another request")
		}
		c.head.stop()
		if err := skip(resp); err != nil {
			return nil, false, err
		}
	}
}

// abandon closes the connection with a request on it whose answer is not whole. It resets the
// connection, so that bytes that have not arrived are discarded: after a partition they would
// reach the endpoint seconds after the caller was answered.
func (c *conn) abandon() {
	if tcp := c.tcp(); tcp != nil {
		_ = tcp.SetLinger(0) // fails only if the connection is closed
	}
	c.Close()
}

// record adds the ID of a request that is sent on the connection.
func (c *conn) record(id plank.RequestID) {
	if id == "" {
		return
	}
	if len(c.carried) == maxCarried {
		c.carried = append(c.carried[:0], c.carried[1:]...)
	}
	c.carried = append(c.carried, id)
}

// take removes and returns an idle connection that is still usable and did not carry a
// request with the given ID, or returns nil.
func (p *Pool) take(key Key, id plank.RequestID) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opts.Clock.Now()
	for i := len(p.idle[key]) - 1; i >= 0; i-- {
		c := p.idle[key][i]
		if id != "" && slices.Contains(c.carried, id) {
			continue
		}
		p.idle[key] = slices.Delete(p.idle[key], i, i+1)
		if c.reuseUntil.After(now) && c.isIdle() {
			return c
		}
		c.Close()
	}
	if len(p.idle[key]) == 0 {
		delete(p.idle, key)
	}
	return nil
}

// put returns a connection to the pool. h is the header of the last answer, which
// may state an idle timeout.
func (p *Pool) put(key Key, c *conn, h http.Header) {
	idle := defaultIdleTimeout
	if d, ok := idleTimeout(h); ok {
		idle = time.Duration(float64(d) * (1 - idleMargin))
	}
	c.reuseUntil = p.opts.Clock.Now().Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[key] = append(p.idle[key], c)
}

// Sweep closes the idle connections that may no longer be reused, and those whose
// key keep rejects.
func (p *Pool) Sweep(keep func(Key) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opts.Clock.Now()
	for key, cs := range p.idle {
		kept := cs[:0]
		for _, c := range cs {
			if keep(key) && c.reuseUntil.After(now) {
				kept = append(kept, c)
			} else {
				c.Close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, key)
		} else {
			p.idle[key] = kept
		}
	}
}

// idleTimeout returns the timeout parameter of a Keep-Alive header field, if present.
func idleTimeout(h http.Header) (time.Duration, bool) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n >= 0 {
			return time.Duration(n) * time.Second, true
		}
	}
	return 0, false
}
