package idle_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/budget"
	"knapweedplank.org/plank/internal/idle"
)

// wrap returns a listener with an account without practical limits.
func wrap(ln net.Listener) *idle.Listener {
	limits := budget.Limits{Bytes: 1 << 30, Conns: 1000, MaxHeader: 1 << 20, HeaderTimeout: time.Hour, IdleTimeout: time.Hour, LingerTimeout: time.Hour}
	return idle.WrapHTTP(ln, budget.New(plank.SystemClock{}, func() budget.Limits { return limits }, func(budget.Eviction) {}))
}

// acceptOne returns a wrapped listener and both ends of a connection that it
// accepted.
func acceptOne(t *testing.T) (*idle.Listener, net.Conn, net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := wrap(ln)
	t.Cleanup(func() { l.Close() })
	client, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { client.Close() })
	server, err := l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { server.Close() })
	return l, client, server
}

// TestCloseIdleKeepsConnectionBeingRead checks that a connection stays open if
// the first byte of a request was read, because the server will respond to it.
func TestCloseIdleKeepsConnectionBeingRead(t *testing.T) {
	l, client, server := acceptOne(t)
	_, err := client.Write([]byte("G"))
	assert.NilError(t, err)
	_, err = io.ReadFull(server, make([]byte, 1))
	assert.NilError(t, err)
	assert.Equal(t, l.CloseIdle(), 1)
	_, err = server.Write([]byte("x"))
	assert.NilError(t, err)
	_, err = io.ReadFull(client, make([]byte, 1))
	assert.NilError(t, err)
}

// In a planned stop under load, requests that had arrived but were not read yet were cut
// off: their connections counted as idle.
func TestCloseIdleCutsOffUnreadRequest(t *testing.T) {
	l, client, server := acceptOne(t)
	const request = "GET / HTTP/1.1\r\n\r\n"
	_, err := client.Write([]byte(request))
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if l.CloseIdle() == 1 {
			return poll.Success()
		}
		return poll.Error(errors.New("the connection was closed"))
	})
	read := make([]byte, len(request))
	_, err = io.ReadFull(server, read)
	assert.NilError(t, err)
	assert.Equal(t, string(read), request)
	_, err = server.Write([]byte("x"))
	assert.NilError(t, err)
	_, err = io.ReadFull(client, make([]byte, 1))
	assert.NilError(t, err)
}

// A connection that is closed as idle reads nothing more, so that no request is served
// whose response could not be sent.
func TestClosedIdleConnectionReadsNothing(t *testing.T) {
	l, client, server := acceptOne(t)
	assert.Equal(t, l.CloseIdle(), 0)
	_, _ = client.Write([]byte("GET / HTTP/1.1\r\n\r\n")) // may fail: the connection is closed
	n, err := server.Read(make([]byte, 64))
	assert.Equal(t, n, 0)
	assert.Assert(t, err != nil)
}

// Connections that had been established but not accepted were reset when the listener of
// a stopping VM was closed.
func TestCloseResetsWaitingConnections(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := wrap(ln)
	client, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	defer client.Close()
	accepted := make(chan error, 1)
	go func() {
		time.Sleep(20 * time.Millisecond) // as in a process that waits for the processor
		c, err := l.Accept()
		if err == nil {
			_, err = c.Write([]byte("x"))
			c.Close()
		}
		accepted <- err
	}()
	assert.NilError(t, l.Close())
	assert.NilError(t, <-accepted)
	_, err = io.ReadFull(client, make([]byte, 1))
	assert.NilError(t, err)
}

// TestCloseIdleClosesKeepAliveConnections checks that a connection is idle again
// once its response is complete.
func TestCloseIdleClosesKeepAliveConnections(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := wrap(ln)
	s := &http.Server{
		Handler:   http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }),
		ConnState: l.ConnState,
	}
	go func() { _ = s.Serve(l) }()
	defer s.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	defer client.Close()
	_, err = client.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	assert.NilError(t, err)
	_, err = io.ReadAll(resp.Body)
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if l.CloseIdle() == 0 {
			return poll.Success()
		}
		return poll.Continue("still busy")
	}, poll.WithDelay(time.Millisecond))
}
