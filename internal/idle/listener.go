// Package idle defines a listener that can close its idle connections without
// losing a request. http.Server.Shutdown does not suffice: it treats a connection
// as idle until the whole request header is read, so that it may close one whose
// request is then served.
package idle

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"knapweedplank.org/plank/internal/budget"
)

// Closing a listener resets the connections that it has not accepted, so Close first waits
// until there are none, for acceptTimeout at most.
const (
	acceptTimeout      = 200 * time.Millisecond
	acceptPollInterval = time.Millisecond
)

// A Listener tracks the connections that it accepted.
type Listener struct {
	net.Listener
	account *budget.Account
	// isHTTP is set if the connections carry HTTP requests. Others count as new until their
	// first byte, and as busy from then on.
	isHTTP bool

	mu    sync.Mutex
	conns map[*conn]bool
}

// WrapHTTP returns a listener for an http.Server, whose connections are counted and bounded
// by account. ConnState and ConnContext must be set as hooks of the server, and the server
// must have no timeouts of its own.
func WrapHTTP(ln net.Listener, account *budget.Account) *Listener {
	return &Listener{Listener: ln, account: account, isHTTP: true, conns: make(map[*conn]bool)}
}

// WrapOther returns a listener for another protocol, whose connections are bounded by account.
func WrapOther(ln net.Listener, account *budget.Account) *Listener {
	return &Listener{Listener: ln, account: account, conns: make(map[*conn]bool)}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: nc, listener: l}
		if !c.open(l.account) {
			_ = nc.Close() // the caller may have closed it
			continue
		}
		l.mu.Lock()
		l.conns[c] = true
		l.mu.Unlock()
		return c, nil
	}
}

// Close implements net.Listener. Connections that were waiting to be accepted are served.
func (l *Listener) Close() error {
	if sc, ok := l.Listener.(syscall.Conn); ok {
		for until := time.Now().Add(acceptTimeout); hasPending(sc) && time.Now().Before(until); {
			time.Sleep(acceptPollInterval)
		}
	}
	return l.Listener.Close()
}

// hasPending reports whether a connection waits to be accepted.
func hasPending(listener syscall.Conn) bool {
	raw, err := listener.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	err = raw.Control(func(fd uintptr) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		pending = err == nil && n > 0
	})
	return err == nil && pending
}

// hasUnread reports whether data waits to be read from a connection.
func hasUnread(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return err == nil && unread
}

// ConnState marks a connection as idle when its response is complete. It must be
// set as the ConnState hook of the http.Server.
func (l *Listener) ConnState(nc net.Conn, state http.ConnState) {
	if c, ok := nc.(*conn); ok && state == http.StateIdle {
		c.setBusy(false)
		c.head = budget.Head{}
		c.held.SetIdle()
	}
}

// ConnContext adds the account of a connection to the context of its requests. It must be set
// as the ConnContext hook of the http.Server.
func (l *Listener) ConnContext(ctx context.Context, nc net.Conn) context.Context {
	if c, ok := nc.(*conn); ok {
		return budget.NewContext(ctx, c.held)
	}
	return ctx
}

// CloseIdle closes the connections on which no byte of a request has arrived since
// the last response, and returns the number of the other connections.
func (l *Listener) CloseIdle() int {
	l.mu.Lock()
	conns := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	busy := 0
	for _, c := range conns {
		if !c.closeIfIdle() {
			busy++
		}
	}
	return busy
}

// A conn is a connection of a Listener.
type conn struct {
	net.Conn
	listener *Listener
	held     *budget.Conn
	head     budget.Head // of the request that is arriving; used by the server's goroutine only
	// isRefused is set once a refusal was written here instead of by the server.
	isRefused bool

	mu sync.Mutex
	// busy is set from the first byte of a request until its response is
	// complete.
	busy bool
	// closedIdle is set when the connection is closed as idle. Data that is read
	// afterwards is discarded, so that no request is served whose response could
	// not be sent.
	closedIdle bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.read(p)
	if refusal := c.count(p[:n], err); refusal != nil {
		return 0, refusal
	}
	return n, err
}

// read reads and marks the connection as busy.
func (c *conn) read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closedIdle {
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.busy = true
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.linger() {
		return nil
	}
	return c.closeNow()
}

// closeNow closes the connection without waiting for what the caller still sends.
func (c *conn) closeNow() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	c.held.Close()
	return c.Conn.Close()
}

func (c *conn) setBusy(busy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = busy
}

// closeIfIdle closes the connection unless it is busy or has unread data, and reports
// whether it was idle.
func (c *conn) closeIfIdle() bool {
	sc, ok := c.Conn.(syscall.Conn)
	unread := ok && hasUnread(sc)
	c.mu.Lock()
	idle := !c.busy && !unread
	c.closedIdle = c.closedIdle || idle
	c.mu.Unlock()
	if idle {
		_ = c.closeNow() // the caller may have closed it
	}
	return idle
}
