// Package idle defines a listener whose idle connections can be closed without
// losing a request. http.Server.Shutdown takes a connection for idle until it
// has read a whole request header, so it can close one whose request it goes on
// to serve.
package idle

import (
	"net"
	"net/http"
	"sync"
)

// A Listener tracks its connections.
type Listener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*conn]bool
}

// Wrap returns a listener that accepts from ln.
func Wrap(ln net.Listener) *Listener {
	return &Listener{Listener: ln, conns: make(map[*conn]bool)}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	return c, nil
}

// ConnState is the http.Server.ConnState hook that tells when a connection's
// answer is complete.
func (l *Listener) ConnState(nc net.Conn, state http.ConnState) {
	if c, ok := nc.(*conn); ok && state == http.StateIdle {
		c.setBusy(false)
	}
}

// CloseIdle closes the connections on which no byte of a request was read, and
// returns how many others there are.
func (l *Listener) CloseIdle() int {
	l.mu.Lock()
	all := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		all = append(all, c)
	}
	l.mu.Unlock()
	busy := 0
	for _, c := range all {
		if !c.closeIfIdle() {
			busy++
		}
	}
	return busy
}

// A conn is one connection.
type conn struct {
	net.Conn
	listener *Listener

	mu sync.Mutex
	// busy is set from the first byte of a request until its answer is
	// complete.
	busy bool
	// shut is set when the connection was closed as idle. What is read then is
	// dropped, so that no request is served that cannot be answered.
	shut bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shut {
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.busy = true
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

func (c *conn) setBusy(busy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = busy
}

// closeIfIdle closes the connection unless it is busy, and tells whether it
// did.
func (c *conn) closeIfIdle() bool {
	c.mu.Lock()
	idle := !c.busy
	c.shut = c.shut || idle
	c.mu.Unlock()
	if idle {
		c.Close()
	}
	return idle
}
