package conns

import (
	"io"
	"net/http"
	"sync"
	"syscall"
)

// maxSkippedBytes bounds the body of a discarded answer.
const maxSkippedBytes = 1 << 20

// skip reads and discards the body of an answer.
func skip(resp *http.Response) error {
	_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes))
	return err
}

// A body is the body of an answer. When it has been read to its end, the connection
// returns to the pool. If it is closed earlier, the connection is closed.
type body struct {
	io.ReadCloser
	pool      *Pool
	key       Key
	conn      *conn
	stopWatch func() bool // cancels the closing of conn when the request's context ends
	written   <-chan struct{}
	header    http.Header
	reusable  bool
	once      sync.Once
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.finish(true)
	} else if err != nil {
		b.finish(false)
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.finish(false)
	return nil
}

// finish returns the connection to the pool if the answer is whole and the connection can be
// reused, and closes it otherwise.
func (b *body) finish(whole bool) {
	b.once.Do(func() {
		ctxEnded := !b.stopWatch()
		switch {
		case !whole:
			b.conn.abandon()
		case b.reusable && !ctxEnded && b.isWritten() && b.conn.isIdle():
			b.pool.put(b.key, b.conn, b.header)
		default:
			b.conn.Close()
		}
	})
}

// isWritten reports whether the whole request was sent. An endpoint may answer
// before it has read all of it.
func (b *body) isWritten() bool {
	select {
	case <-b.written:
		return true
	default:
		return false
	}
}

// isIdle reports whether the connection is open and has no unread bytes. Bytes after a
// complete answer belong to no request.
func (c *conn) isIdle() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	tcp := c.tcp()
	if tcp == nil {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && idle
}
