package idle

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"knapweedplank.org/plank/internal/budget"
)

// This file counts what callers hold while a connection reads and writes, and refuses heads
// that the http.Server would read to their end.

const (
	// writePiece is the size of the pieces in which answers are written, so that a caller that
	// reads slowly is told from one that does not read.
	writePiece = 32 << 10
	// refusalTimeout bounds the writing of a refusal, which fits into any socket's buffer.
	refusalTimeout = time.Second
	// retryAfter is when a caller that was refused for want of memory may come back.
	retryAfter = time.Second
)

// errRefused ends the reading of a connection whose request was refused. It is a read error
// of the connection, to which the http.Server does not answer.
var errRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the request was refused")}

// open adds the connection to an account, and reports whether there is room.
func (c *conn) open(account *budget.Account) bool {
	c.held = account.NewConn(c.evict)
	return c.held.Open()
}

// evict ends the connection or makes its reader refuse the request. Where connections are
// short it is closed at once: one that is refused stays open until its caller has the answer.
func (c *conn) evict(reason budget.Reason) {
	phase, _ := c.held.Phase()
	switch {
	case phase == budget.PhaseIdle, phase == budget.PhaseNew && reason == budget.TimedOut:
		if !c.closeIfIdle() {
			c.held.Keep()
		}
	case reason != budget.NoConnection && (phase == budget.PhaseHead || phase == budget.PhaseBody):
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed
	default:
		c.held.Disconnect()
		_ = c.Conn.Close() // the caller may have closed it
	}
}

// count charges what was read and returns an error if the connection ends with it.
func (c *conn) count(p []byte, readErr error) error {
	if c.isRefused {
		return errRefused
	}
	if len(p) > 0 {
		if !c.listener.isHTTP {
			if !c.head.HasText { // the first byte
				c.head.HasText = true
				c.held.StartServing()
			}
			return nil
		}
		if !c.held.StartHead() {
			c.held.Progress()
			return nil
		}
		n, lines := c.head.Add(p)
		switch {
		case n == 0: // after the head
		case c.head.Bytes > c.held.Limits().MaxHeader:
			return c.refuse(http.StatusRequestHeaderFieldsTooLarge)
		case !c.held.Grow(budget.HeadCost(n, lines)):
			return c.refuse(http.StatusServiceUnavailable)
		}
		return nil
	}
	// A head that has arrived whole is refused by the handler.
	if phase, isEvicted := c.held.Phase(); readErr != nil && isEvicted && phase == budget.PhaseHead && !c.head.IsWhole {
		return c.refuse(http.StatusServiceUnavailable)
	}
	return nil
}

// refuse answers a request whose head has not arrived, which no endpoint has run.
func (c *conn) refuse(status int) error {
	c.isRefused = true
	detail := http.StatusText(status) + "\n"
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\nConnection: close\r\n", status, http.StatusText(status), len(detail))
	if status == http.StatusServiceUnavailable {
		text += fmt.Sprintf("Retry-After: %.3f\r\n", retryAfter.Seconds())
	}
	// The caller may have closed the connection.
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = io.WriteString(c.Conn, text+"\r\n"+detail)
	return errRefused
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if !c.listener.isHTTP {
		return c.Conn.Write(p)
	}
	written := 0
	for {
		piece := p[written:min(len(p), written+writePiece)]
		c.held.SetBlocked(true)
		n, err := c.Conn.Write(piece)
		c.held.SetBlocked(false)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// discardBuffers hold what callers send after they were refused.
var discardBuffers = sync.Pool{New: func() any { return new([4 << 10]byte) }}

// linger closes the connection for writing and discards what the caller still sends, in the
// background, if its request has not arrived whole: a connection that is closed with unread
// bytes is reset, and the caller may lose the answer. It reports false if there is no need.
func (c *conn) linger() bool {
	phase, _ := c.held.Phase()
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || phase != budget.PhaseHead && phase != budget.PhaseBody || tcp.CloseWrite() != nil {
		return false
	}
	c.held.StartClosing()
	// The account ends the connection when its time is over.
	_ = tcp.SetReadDeadline(time.Time{})
	go func() {
		buf := discardBuffers.Get().(*[4 << 10]byte)
		defer discardBuffers.Put(buf)
		for {
			if _, err := tcp.Read(buf[:]); err != nil {
				_ = c.closeNow() // the caller may have closed it
				return
			}
		}
	}()
	return true
}
