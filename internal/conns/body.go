package conns

import (
	"io"
	"net/http"
	"sync"
	"syscall"
)

// maxSkip bounds the body of an answer that is skipped.
const maxSkip = 1 << 20

// skip reads an answer to its end.
func skip(resp *http.Response) error {
	_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkip))
	return err
}

// A body is the body of an answer. Read to its end it gives the connection
// back to the pool; closed earlier it closes the connection.
type body struct {
	io.ReadCloser
	pool     *Pool
	key      Key
	conn     *conn
	stop     func() bool // ends the watch of the request's context
	written  <-chan struct{}
	header   http.Header
	reusable bool
	once     sync.Once
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.finish(b.reusable)
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

// finish settles what becomes of the connection.
func (b *body) finish(keep bool) {
	b.once.Do(func() {
		ended := !b.stop()
		if keep && !ended && b.isWritten() && b.conn.quiet() {
			b.pool.put(b.key, b.conn, b.header)
			return
		}
		b.conn.Close()
	})
}

// isWritten tells whether the whole request was sent. An endpoint may answer
// before it has read all of it.
func (b *body) isWritten() bool {
	select {
	case <-b.written:
		return true
	default:
		return false
	}
}

// quiet tells whether the connection is open and holds no bytes to read. Bytes
// after a complete answer belong to no request.
func (c *conn) quiet() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}
