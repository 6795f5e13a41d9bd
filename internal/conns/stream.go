package conns

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// writeGrace is how long after the end of its connection a write may take to return.
const writeGrace = 100 * time.Millisecond

// A streamConn is a connection whose end is told from a reset also while something is written
// to it. The system tells the error of a connection once: if a write takes it, the reads after
// it end as if the other side had closed the connection. It allows one write at a time.
type streamConn struct {
	net.Conn

	mu       sync.Mutex
	writing  bool
	writeErr error         // of the first write that failed
	written  chan struct{} // closed at the end of the write in progress; nil if no read waits for it
}

// A CutError reports that a connection ended before all that was written to it had been taken.
// What was read need not be all that the other side had sent.
type CutError struct {
	Reason error // the error of the write
}

// Error implements error.
func (e *CutError) Error() string {
	return "the connection ended during the request: " + e.Reason.Error()
}

// Unwrap returns the reason.
func (e *CutError) Unwrap() error { return e.Reason }

// errUnread is the reason if the other side has not read what is being written.
var errUnread = errors.New("the other side does not read it")

// dialer returns a function that connects with d.
func dialer(d *net.Dialer) func(ctx context.Context, network, addr string) (*streamConn, error) {
	return func(ctx context.Context, network, addr string) (*streamConn, error) {
		c, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &streamConn{Conn: c}, nil
	}
}

// Read implements net.Conn.
func (c *streamConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		if reason := c.writeResult(); reason != nil {
			err = &CutError{Reason: reason}
		}
	}
	return n, err
}

// startWrite records that a write is about to begin.
func (c *streamConn) startWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = true
}

// Write implements net.Conn.
func (c *streamConn) Write(p []byte) (int, error) {
	c.startWrite()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	if c.writeErr == nil {
		c.writeErr = err
	}
	if c.written != nil {
		close(c.written)
		c.written = nil
	}
	return n, err
}

// writeResult returns the error of the writes. It waits for the end of one that is in progress.
func (c *streamConn) writeResult() error {
	c.mu.Lock()
	if !c.writing {
		defer c.mu.Unlock()
		return c.writeErr
	}
	if c.written == nil {
		c.written = make(chan struct{})
	}
	written := c.written
	c.mu.Unlock()
	select {
	case <-written:
	case <-time.After(writeGrace):
		return errUnread
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeErr
}

// tcp returns the TCP connection, or nil if it is one of another kind.
func (c *streamConn) tcp() *net.TCPConn {
	tcp, _ := c.Conn.(*net.TCPConn)
	return tcp
}
