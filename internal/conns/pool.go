// Package conns defines pooled HTTP/1.1 connections to endpoints.
//
// Unlike http.Transport the pool never sends a request twice, and it tells
// whether a request that failed may have reached its endpoint.
package conns

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"knapweedplank.org/plank"
)

// The limits of connections.
const (
	// defaultIdle is how long a connection is kept whose endpoint names no
	// idle timeout; such timeouts are below a second.
	defaultIdle = 400 * time.Millisecond
	// idleMargin is the part of a stated idle timeout that is not used, since
	// the endpoint's clock started before the answer arrived.
	idleMargin = 0.25
	// userTimeout bounds how long sent data may stay unacknowledged. An
	// endpoint behind a partition acknowledges nothing.
	userTimeout = 3 * time.Second
	// inlineBody is the largest body that is written before the answer is
	// read; the smallest socket buffers hold it.
	inlineBody = 4 << 10
	// maxStray bounds the answers to other requests that are skipped.
	maxStray = 4
	// maxHead bounds the head of an answer, at four times what the users' sites
	// take of a caller.
	maxHead = 64 << 10
	bufSize = 4 << 10
	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
	tcpUserTimeout = 0x12
)

// Options are what a pool depends on.
type Options struct {
	DialTimeout time.Duration
	Clock       plank.Clock
	// OnDial, if not nil, is told of each new connection.
	OnDial func()
}

// A Pool keeps idle connections by endpoint. It is safe for concurrent use.
type Pool struct {
	opts   Options
	dialer net.Dialer

	mu sync.Mutex
	// idle holds connections with no request in progress, the latest last.
	idle map[Key][]*conn
}

// A Key names the endpoint start that a connection leads to.
type Key struct {
	Addr     string
	Endpoint plank.EndpointID
	Born     int64 // in Unix milliseconds
}

// A Request is one request in its wire form.
type Request struct {
	Method string
	Head   []byte // request line and header fields, with the empty line
	Body   []byte
	// Matches tells whether an answer with this header belongs to the request.
	Matches func(http.Header) bool
}

type conn struct {
	net.Conn
	br    *bufio.Reader // of head
	head  *headReader
	until time.Time // when it may no longer be reused
}

// New returns an empty pool.
func New(opts Options) *Pool {
	return &Pool{opts: opts, dialer: net.Dialer{Timeout: opts.DialTimeout, Control: SetUserTimeout}, idle: make(map[Key][]*conn)}
}

// SetUserTimeout is a net.Dialer.Control that bounds how long sent data may stay
// unacknowledged.
func SetUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// Do sends the request and returns the answer once its header has arrived. The
// connection is closed if ctx ends before the body has been read. A
// *plank.SendError reports that there is no answer.
func (p *Pool) Do(ctx context.Context, key Key, r Request) (*http.Response, error) {
	c := p.take(key)
	if c == nil {
		var err error
		if c, err = p.dial(ctx, key); err != nil {
			return nil, err
		}
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	written, err := c.write(r)
	if err != nil {
		stop()
		c.Close()
		return nil, &plank.SendError{Endpoint: key.Endpoint, Op: "write", Sent: true, Err: err}
	}
	resp, stray, err := c.read(r)
	if err != nil {
		stop()
		c.Close()
		return nil, &plank.SendError{Endpoint: key.Endpoint, Op: "read", Sent: true, Err: err}
	}
	resp.Body = &body{ReadCloser: resp.Body, pool: p, key: key, conn: c, stop: stop, written: written, header: resp.Header, reusable: !resp.Close && !stray}
	return resp, nil
}

func (p *Pool) dial(ctx context.Context, key Key) (*conn, error) {
	nc, err := p.dialer.DialContext(ctx, "tcp", key.Addr)
	if err != nil {
		return nil, &plank.SendError{Endpoint: key.Endpoint, Op: "dial", Refused: errors.Is(err, syscall.ECONNREFUSED), Err: err}
	}
	if p.opts.OnDial != nil {
		p.opts.OnDial()
	}
	head := &headReader{r: nc}
	return &conn{Conn: nc, head: head, br: bufio.NewReaderSize(head, bufSize)}, nil
}

// errLongHead reports an answer without an end of its head.
var errLongHead = errors.New("the head of the answer is too long")

// A headReader bounds the bytes that are read while a head is awaited.
type headReader struct {
	r       io.Reader
	limited bool
	left    int
}

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if h.limited && h.left <= 0 {
		return 0, errLongHead
	}
	n, err := h.r.Read(p)
	h.left -= n
	return n, err
}

// write sends the request. The channel is closed once all of it is written; a
// long body is written while the answer is read, because endpoints may answer
// before they have read it.
func (c *conn) write(r Request) (<-chan struct{}, error) {
	written := make(chan struct{})
	if len(r.Body) <= inlineBody {
		defer close(written)
		data := r.Head
		if len(r.Body) > 0 {
			data = append(append(make([]byte, 0, len(r.Head)+len(r.Body)), r.Head...), r.Body...)
		}
		_, err := c.Conn.Write(data)
		return written, err
	}
	if _, err := c.Conn.Write(r.Head); err != nil {
		return nil, err
	}
	go func() {
		if _, err := c.Conn.Write(r.Body); err == nil {
			close(written)
		}
		// After an error the read side fails too and closes the connection.
	}()
	return written, nil
}

// read returns the answer to the request. Answers to other requests that come
// first are skipped, and reported, since more may follow.
func (c *conn) read(r Request) (*http.Response, bool, error) {
	req := &http.Request{Method: r.Method}
	defer func() { c.head.limited = false }()
	for stray := 0; ; stray++ {
		c.head.limited, c.head.left = true, maxHead
		resp, err := http.ReadResponse(c.br, req)
		if err != nil {
			return nil, false, err
		}
		if resp.StatusCode/100 == 1 {
			if stray == maxStray {
				return nil, false, errors.New("too many interim answers")
			}
			continue
		}
		if r.Matches == nil || r.Matches(resp.Header) {
			return resp, stray > 0, nil
		}
		if resp.Close || stray == maxStray {
			return nil, false, errors.New("the answer belongs to another request")
		}
		c.head.limited = false
		if err := skip(resp); err != nil {
			return nil, false, err
		}
	}
}

// take returns an idle connection that is still sound, or nil.
func (p *Pool) take(key Key) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opts.Clock.Now()
	for {
		cs := p.idle[key]
		if len(cs) == 0 {
			delete(p.idle, key)
			return nil
		}
		c := cs[len(cs)-1]
		p.idle[key] = cs[:len(cs)-1]
		if c.until.After(now) && c.quiet() {
			return c
		}
		c.Close()
	}
}

// put keeps a connection for the next request.
func (p *Pool) put(key Key, c *conn, h http.Header) {
	idle := defaultIdle
	if d, ok := idleTimeout(h); ok {
		idle = time.Duration(float64(d) * (1 - idleMargin))
	}
	c.until = p.opts.Clock.Now().Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[key] = append(p.idle[key], c)
}

// Sweep closes the idle connections that are too old, or lead to endpoints
// that keep does not name.
func (p *Pool) Sweep(keep func(Key) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opts.Clock.Now()
	for key, cs := range p.idle {
		live := cs[:0]
		for _, c := range cs {
			if keep(key) && c.until.After(now) {
				live = append(live, c)
			} else {
				c.Close()
			}
		}
		if len(live) == 0 {
			delete(p.idle, key)
		} else {
			p.idle[key] = live
		}
	}
}

// idleTimeout reads the timeout parameter of a Keep-Alive field.
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
