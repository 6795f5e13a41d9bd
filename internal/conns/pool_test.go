package conns_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/conns"
)

// serve answers each connection's requests with the given texts in turn; after
// the last the connection is closed if it ends with an exclamation mark.
func serve(t *testing.T, answers ...string) (string, *atomic.Int32) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { ln.Close() })
	var accepted atomic.Int32
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for _, a := range answers {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					text, last := strings.CutSuffix(a, "!")
					if _, err := io.WriteString(c, text); err != nil || last {
						return
					}
				}
				_, _ = r.ReadByte() // until the pool closes it
			}()
		}
	}()
	return ln.Addr().String(), &accepted
}

func newPool() *conns.Pool {
	return conns.New(conns.Options{DialTimeout: time.Second, Clock: plank.SystemClock{}})
}

func get(p *conns.Pool, addr string) (string, error) {
	resp, err := p.Do(context.Background(), conns.Key{Addr: addr, Endpoint: "e"}, conns.Request{
		Method: "GET", Head: []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
		Matches: func(h http.Header) bool { return h.Get("Id") == "me" },
	})
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

const mine = "HTTP/1.1 200 OK\r\nId: me\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok"
const stray = "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n\r\nbad"

func TestPool(t *testing.T) {
	for _, test := range []struct {
		name    string
		answers []string
		conns   int32 // after two requests
	}{
		{"kept", []string{mine, mine}, 1},
		{"a stray answer before", []string{stray + mine, mine}, 2},
		{"bytes behind the answer", []string{mine + "more", mine}, 2},
		{"closed by the endpoint", []string{mine + "!"}, 2},
		{"asked to close", []string{strings.Replace(mine, "Id:", "Connection: close\r\nId:", 1), mine}, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			addr, accepted := serve(t, test.answers...)
			p := newPool()
			for range 2 {
				body, err := get(p, addr)
				assert.NilError(t, err)
				assert.Equal(t, body, "ok")
				time.Sleep(20 * time.Millisecond) // what is behind the answer arrives
			}
			assert.Equal(t, accepted.Load(), test.conns)
		})
	}
}

// An answer that ends early is told, and a request that failed is never sent
// again.
func TestPoolFailures(t *testing.T) {
	for _, test := range []struct {
		name, answer string
		wantSend     bool // a *plank.SendError, else an error of the body
	}{
		{"cut in the header", "HTTP/1.1 200 OK\r\nId: m!", true},
		{"cut in the body", "HTTP/1.1 200 OK\r\nId: me\r\nContent-Length: 9\r\n\r\nok!", false},
		{"cut in a chunk", "HTTP/1.1 200 OK\r\nId: me\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok!", false},
		{"no answer to this request", stray + "!", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			addr, accepted := serve(t, test.answer)
			_, err := get(newPool(), addr)
			assert.Assert(t, err != nil)
			var send *plank.SendError
			assert.Equal(t, errors.As(err, &send) && send.Sent, test.wantSend)
			assert.Equal(t, accepted.Load(), int32(1))
		})
	}
}

func TestRefusedConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := ln.Addr().String()
	ln.Close()
	_, err = get(newPool(), addr)
	var send *plank.SendError
	assert.Assert(t, errors.As(err, &send))
	assert.Assert(t, send.Refused && !send.Sent)
}
