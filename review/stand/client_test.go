//go:build review

package stand

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// A request is what a client sends.
type request struct {
	id, method, path, body string
	adapter                string // "" for a plain service
	deadline               time.Duration
	// leaveAfter is how long after the request the client ends its side of the connection; 0
	// if it waits for the answer. It reads on until the connection ends.
	leaveAfter time.Duration
}

// A reply is what a client got.
type reply struct {
	status int
	header http.Header
	body   string
	err    error // set if there was no whole answer
	after  time.Duration
}

// events returns the ids of the events in a stream.
func (r *reply) events() []string {
	var ids []string
	for line := range strings.Lines(r.body) {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			ids = append(ids, strings.TrimSpace(id))
		}
	}
	return ids
}

func (r *reply) String() string {
	if r.err != nil {
		return fmt.Sprintf("status %d, %d bytes, then %v, after %d ms", r.status, len(r.body), r.err, ms(r.after))
	}
	return fmt.Sprintf("status %d, stamp %q, whole body of %d bytes, %d events, after %d ms", r.status, r.header.Get("Knapweedplank-Server-Stamp"), len(r.body), len(r.events()), ms(r.after))
}

// send sends a request on a new connection to a daemon and returns the answer.
func (f *fleet) send(d *daemon, q request) reply {
	begin := time.Now()
	f.logf("client: %s %s %s sent to %s", q.method, q.path, q.id, d.name)
	r := sendTo(d.callers, q)
	r.after = time.Since(begin)
	f.logf("client: %s got %v", q.id, &r)
	return r
}

func sendTo(addr string, q request) reply {
	nc, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return reply{err: err}
	}
	defer nc.Close()
	conn, ok := nc.(*net.TCPConn)
	if !ok {
		return reply{err: errors.New("no TCP connection")}
	}
	if err := conn.SetDeadline(time.Now().Add(q.deadline + time.Second)); err != nil {
		return reply{err: err}
	}
	lines := []string{
		q.method + " " + q.path + " HTTP/1.1", "Host: " + host, "Knapweedplank-Attempt-Id: " + q.id,
		fmt.Sprintf("Knapweedplank-Deadline-Ms: %d", ms(q.deadline)), "Authorization: Token " + key,
	}
	if q.adapter != "" {
		lines = append(lines, "Knapweedplank-Model: "+baseModel+"/"+q.adapter, "Knapweedplank-Token-Usage: 628,290", "Knapweedplank-Prompt-Prefix: aa:500,bb"+q.id+":128")
	}
	if q.method == http.MethodPost {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(q.body)))
	}
	if _, err := io.WriteString(conn, strings.Join(lines, "\r\n")+"\r\n\r\n"+q.body); err != nil {
		return reply{err: err}
	}
	if q.leaveAfter > 0 {
		time.AfterFunc(q.leaveAfter, func() { _ = conn.CloseWrite() }) // the answer may be in already
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: q.method})
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}
