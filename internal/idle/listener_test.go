package idle_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"knapweedplank.org/plank/internal/idle"
)

// acceptOne returns a wrapped listener and both ends of a connection that it
// accepted.
func acceptOne(t *testing.T) (*idle.Listener, net.Conn, net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := idle.Wrap(ln)
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

// TestCloseIdleDropsUnreadRequest checks that the server does not receive a
// request that arrived but was not read before the connection was closed.
func TestCloseIdleDropsUnreadRequest(t *testing.T) {
	l, client, server := acceptOne(t)
	_, err := client.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	assert.NilError(t, err)
	assert.Equal(t, l.CloseIdle(), 0)
	n, err := server.Read(make([]byte, 64))
	assert.Equal(t, n, 0)
	assert.Assert(t, err != nil)
}

// TestCloseIdleClosesKeepAliveConnections checks that a connection is idle again
// once its response is complete.
func TestCloseIdleClosesKeepAliveConnections(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := idle.Wrap(ln)
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
