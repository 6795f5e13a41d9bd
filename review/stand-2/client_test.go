//go:build review

package stand

import (
	"bufio"
	"cmp"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"
)

// A request is one client attempt.
type request struct {
	id, method, path, body string
	header                 map[string]string
	deadline               time.Duration
	key                    string // the tenant's first one if empty
	withoutKey             bool
}

// An answer is what a client received.
type answer struct {
	status  int
	stamp   string
	header  http.Header
	body    string
	whole   bool // the answer ended as the protocol says
	err     error
	took    time.Duration
	ofClose bool // the connection ended without an answer
}

// String describes the answer for the record.
func (a answer) String() string {
	switch {
	case a.ofClose:
		return fmt.Sprintf("no answer: %v after %v", a.err, a.took.Round(time.Millisecond))
	case !a.whole:
		return fmt.Sprintf("%d, broken off: %v, %d bytes", a.status, a.err, len(a.body))
	}
	return fmt.Sprintf("%d, stamp %q, %d bytes, after %v", a.status, a.stamp, len(a.body), a.took.Round(time.Millisecond))
}

// kind describes the answer without what differs from one to the next.
func (a answer) kind() string {
	if a.ofClose {
		return "closed without an answer"
	}
	return fmt.Sprintf("status %d, whole: %t", a.status, a.whole)
}

// newID returns a new attempt id.
func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// bytes returns the request as it is sent, with a new id if it has none.
func (r *request) bytes() []byte {
	if r.id == "" {
		r.id = newID()
	}
	if r.deadline == 0 {
		r.deadline = 4 * time.Second
	}
	lines := []string{r.method + " " + r.path + " HTTP/1.1", "Host: " + host, "Knapweedplank-Attempt-Id: " + r.id, fmt.Sprintf("Knapweedplank-Deadline-Ms: %d", r.deadline.Milliseconds())}
	if !r.withoutKey {
		lines = append(lines, "Authorization: Token "+cmp.Or(r.key, key))
	}
	if r.body != "" {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(r.body)))
	}
	var names []string
	for name := range r.header {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		lines = append(lines, name+": "+r.header[name])
	}
	return []byte(strings.Join(lines, "\r\n") + "\r\n\r\n" + r.body)
}

// send sends a request to a daemon on a new connection and reads the answer.
func (d *daemon) send(r request) answer {
	begin := time.Now()
	data := r.bytes()
	conn, err := net.DialTimeout("tcp", d.frontend, time.Second)
	if err != nil {
		return answer{err: err, ofClose: true}
	}
	defer conn.Close()
	if _, err := conn.Write(data); err != nil {
		return answer{err: err, ofClose: true}
	}
	_ = conn.SetReadDeadline(begin.Add(r.deadline + 500*time.Millisecond)) // fails only on a closed connection
	a := readAnswer(bufio.NewReader(conn), r.method)
	a.took = time.Since(begin)
	return a
}

// readAnswer reads one answer.
func readAnswer(br *bufio.Reader, method string) answer {
	resp, err := http.ReadResponse(br, &http.Request{Method: method})
	if err != nil {
		return answer{err: err, ofClose: true}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, stamp: resp.Header.Get("Knapweedplank-Server-Stamp"), header: resp.Header, body: string(body), whole: err == nil, err: err}
}
