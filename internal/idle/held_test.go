package idle

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/budget"
)

// A testServer is an http.Server on a listener with an account.
type testServer struct {
	*Listener
	account *budget.Account
	mu      sync.Mutex
	limits  budget.Limits
}

func newTestServer(t *testing.T, handler http.HandlerFunc) *testServer {
	t.Helper()
	s := &testServer{limits: budget.Limits{
		Bytes: 8 << 20, Conns: 50, MaxHeader: 16 << 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute, LingerTimeout: 5 * time.Second,
	}}
	s.account = budget.New(plank.SystemClock{}, func() budget.Limits {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.limits
	}, func(budget.Eviction) {})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.Listener = WrapHTTP(ln, s.account)
	server := &http.Server{Handler: handler, ConnState: s.ConnState, ConnContext: s.ConnContext}
	go func() { _ = server.Serve(s.Listener) }()
	t.Cleanup(func() { server.Close() })
	return s
}

func (s *testServer) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	return conn
}

func readStatus(t *testing.T, conn net.Conn) int {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode
}

// awaitEmpty waits until the account holds nothing.
func (s *testServer) awaitEmpty(t *testing.T) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if bytes, conns := s.account.Usage(); bytes != 0 || conns != 0 {
			return poll.Continue("%d bytes, %d connections", bytes, conns)
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
}

// Guards against refusals that a sound caller loses because it is still sending: a connection
// that is closed with unread bytes is reset.
func TestRefusalReachesACallerThatIsStillSending(t *testing.T) {
	s := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
		budget.FromContext(r.Context()).StartBody()
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	})
	long := strings.Repeat("x", 4<<20)
	for _, test := range []struct {
		text   string
		status int
	}{
		{"POST / HTTP/1.1\r\nHost: x\r\nX-Long: " + long + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4194304\r\n\r\n" + long, http.StatusRequestEntityTooLarge},
	} {
		conn := s.dial(t)
		_, err := io.WriteString(conn, test.text)
		assert.NilError(t, err)
		assert.Equal(t, readStatus(t, conn), test.status)
		conn.Close()
	}
	s.awaitEmpty(t)
}

// Guards against a head of the largest legal size that is refused, and one of a byte more that
// is not.
func TestHeadLimitIsExact(t *testing.T) {
	s := newTestServer(t, func(http.ResponseWriter, *http.Request) {})
	for extra, status := range []int{http.StatusOK, http.StatusRequestHeaderFieldsTooLarge} {
		conn := s.dial(t)
		start := "GET / HTTP/1.1\r\nHost: x\r\nX-Long: "
		_, err := io.WriteString(conn, start+strings.Repeat("x", 16<<10-len(start)-4+extra)+"\r\n\r\n")
		assert.NilError(t, err)
		assert.Equal(t, readStatus(t, conn), status)
	}
}

// Guards against a head that is refused for want of memory without an answer, and against two
// answers to one that has arrived whole meanwhile.
func TestEvictedHeadIsRefused(t *testing.T) {
	s := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
		if !budget.FromContext(r.Context()).StartBody() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	s.mu.Lock()
	s.limits.Bytes = 512 << 10
	s.mu.Unlock()
	slow := s.dial(t)
	_, err := io.WriteString(slow, "GET / HTTP/1.1\r\nHost: x\r\n"+strings.Repeat("a:\r\n", 3000))
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond) // it holds its memory for longer than the next one
	other := s.dial(t)
	_, err = io.WriteString(other, "GET / HTTP/1.1\r\nHost: x\r\n"+strings.Repeat("a:\r\n", 500)+"\r\n")
	assert.NilError(t, err)
	assert.Equal(t, readStatus(t, other), http.StatusOK)
	assert.Equal(t, readStatus(t, slow), http.StatusServiceUnavailable)
	slow.Close()
	other.Close()
	s.awaitEmpty(t)
}

// Guards against pipelined requests that are lost, or whose memory stays charged.
func TestPipelinedRequests(t *testing.T) {
	served := 0
	s := newTestServer(t, func(_ http.ResponseWriter, r *http.Request) {
		h := budget.FromContext(r.Context())
		assert.Check(t, h.StartBody())
		_, err := io.ReadAll(r.Body)
		assert.Check(t, err)
		assert.Check(t, h.StartServing())
		assert.Check(t, h.Grow(1000))
		served++
	})
	conn := s.dial(t)
	const n = 20
	_, err := io.WriteString(conn, strings.Repeat("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody", n))
	assert.NilError(t, err)
	r := bufio.NewReader(conn)
	for range n {
		resp, err := http.ReadResponse(r, nil)
		assert.NilError(t, err)
		resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	}
	assert.Equal(t, served, n)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if bytes, _ := s.account.Usage(); bytes != budget.ConnCost {
			return poll.Continue("%d bytes are charged", bytes)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	conn.Close()
	s.awaitEmpty(t)
}

// Guards against a planned stop that cuts a refused caller off, or that waits for one without
// end.
func TestStopWaitsForRefusedCallers(t *testing.T) {
	s := newTestServer(t, func(_ http.ResponseWriter, _ *http.Request) {})
	conn := s.dial(t)
	_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nX-Long: "+strings.Repeat("x", 20<<10))
	assert.NilError(t, err)
	assert.Equal(t, readStatus(t, conn), http.StatusRequestHeaderFieldsTooLarge)
	assert.Equal(t, s.CloseIdle(), 1)
	s.mu.Lock()
	s.limits.LingerTimeout = 0
	s.mu.Unlock()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		s.account.Sweep() // the server may not have closed the connection yet
		if s.CloseIdle() > 0 {
			return poll.Continue("still open")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	s.awaitEmpty(t)
}

// Guards against an answer that a caller reads slowly and that is cut off, and against one that
// is not read and stays for ever.
func TestBlockedWrites(t *testing.T) {
	body := make([]byte, 8<<20)
	s := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
		h := budget.FromContext(r.Context())
		assert.Check(t, h.StartBody() && h.StartServing())
		_, _ = w.Write(body) // the connection may be closed
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s.mu.Lock()
	s.limits.IdleTimeout = 300 * time.Millisecond
	s.mu.Unlock()
	go func() {
		for ctx.Err() == nil {
			s.account.Sweep()
			time.Sleep(10 * time.Millisecond)
		}
	}()
	slow, stalled := s.dial(t), s.dial(t)
	for _, conn := range []net.Conn{slow, stalled} {
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		assert.NilError(t, err)
	}
	buf, got := make([]byte, 128<<10), 0
	for {
		n, err := slow.Read(buf)
		got += n
		if err != nil {
			assert.Equal(t, err, io.EOF)
			break
		}
		time.Sleep(5 * time.Millisecond) // the caller under test
	}
	assert.Assert(t, got > len(body), "%d bytes", got)
	s.awaitEmpty(t)
}
