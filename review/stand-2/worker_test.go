//go:build review

package stand

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// An arrival is a request at a worker that has passed the worker's checks.
type arrival struct {
	*http.Request
	id, body string
	at       time.Duration
	worker   *worker
}

// A worker is a stand-in of a worker of a service without engines. It serves and registers as the
// protocol page says.
type worker struct {
	site          *site
	zone, service string
	ip            string
	slots         int
	downtime      time.Duration // from a crash to the next start
	// serve answers the requests that pass the checks.
	serve func(w http.ResponseWriter, a *arrival)

	mu       sync.Mutex
	id, addr string
	born     time.Time
	isUp     bool
	ln       net.Listener
	conns    map[net.Conn]struct{}
	runs     context.Context // ends with the process
	endRuns  context.CancelFunc
	written  string // the entry that was last written
	quit     chan struct{}
}

// addWorker starts a worker.
func (s *site) addWorker(w *worker) error {
	w.site, w.quit = s, make(chan struct{})
	w.ip = fmt.Sprintf("127.40.64.%d", len(s.workers)+1)
	if w.slots == 0 {
		w.slots = 6
	}
	if err := w.start(); err != nil {
		return err
	}
	s.workers = append(s.workers, w)
	go w.beat()
	return nil
}

// start starts the worker anew, with another id.
func (w *worker) start() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	addr := w.addr
	if addr == "" {
		addr = w.ip + ":0"
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	w.ln, w.addr, w.isUp, w.born = ln, ln.Addr().String(), true, time.Now()
	w.id = "i-" + newID()[:10]
	conns := make(map[net.Conn]struct{})
	w.conns = conns
	w.runs, w.endRuns = context.WithCancel(context.Background())
	server := &http.Server{Handler: w, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 5 * time.Second, ConnState: func(c net.Conn, state http.ConnState) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if state == http.StateNew {
			conns[c] = struct{}{}
		} else if state == http.StateClosed {
			delete(conns, c)
		}
	}}
	go func() { _ = server.Serve(ln) }()
	w.writeEntry()
	return nil
}

// writeEntry writes the registration if it has changed. The lock is held.
func (w *worker) writeEntry() {
	entry := map[string]any{
		"service": w.service, "addr": w.addr, "zone": w.zone, "version": "v1", "slots": w.slots, "state": "ready", "cold_left_ms": 0,
		"seq": 0, "born": w.born.UnixMilli(),
	}
	text, err := json.Marshal(entry)
	if err != nil || string(text) == w.written {
		return
	}
	w.written = string(text)
	w.site.store.Put("servers/"+w.id, entry)
}

// beat registers the worker again and again, as long as it is up.
func (w *worker) beat() {
	for {
		select {
		case <-w.quit:
			return
		case <-time.After(heartbeat):
		}
		w.mu.Lock()
		if w.isUp {
			w.writeEntry()
		}
		w.mu.Unlock()
	}
}

// crash ends the worker's process at once. It starts again after the downtime, and its entry is
// removed after three heartbeats of silence.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isUp {
		return
	}
	w.isUp = false
	w.site.rec.note("worker %s (%s) crashes", w.id, w.service)
	w.ln.Close()
	for c := range w.conns {
		c.Close()
	}
	w.endRuns()
	id := w.id
	time.AfterFunc(3*heartbeat, func() { w.site.store.Delete("servers/" + id) })
	time.AfterFunc(w.downtime, func() {
		if err := w.start(); err == nil {
			w.site.rec.note("worker %s (%s) has started", w.id, w.service)
		}
	})
}

// stop ends the worker for good.
func (w *worker) stop() {
	close(w.quit)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ln.Close()
	w.endRuns()
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body := new(strings.Builder)
	buf := make([]byte, 4096)
	for {
		n, err := r.Body.Read(buf)
		body.Write(buf[:n])
		if err != nil {
			break
		}
	}
	a := &arrival{Request: r, id: r.Header.Get("Knapweedplank-Attempt-Id"), body: body.String(), at: w.site.rec.now(), worker: w}
	if a.id != "" {
		rw.Header().Set("Knapweedplank-Attempt-Id", a.id)
	}
	w.mu.Lock()
	expected, id := r.Header.Get("Knapweedplank-Expect-Instance"), w.id
	w.mu.Unlock()
	switch {
	case expected != "" && expected != id:
		rw.Header().Set("Knapweedplank-Instance-Id", id)
		w.refuse(rw, http.StatusMisdirectedRequest)
	case r.URL.Path == "/healthz":
		rw.Header().Set("Knapweedplank-Instance-Id", id)
	case a.id == "":
		w.refuse(rw, http.StatusBadRequest)
	default:
		rw.Header().Set("Knapweedplank-Server-Stamp", "stamp-"+id)
		w.serve(rw, a)
	}
}

// refuse answers a request that is not run.
func (w *worker) refuse(rw http.ResponseWriter, status int) {
	rw.Header().Set("Knapweedplank-Not-Executed", "1")
	rw.WriteHeader(status)
}

// work waits for a time, and reports whether the worker is still up and the caller there.
func (a *arrival) work(d time.Duration) bool {
	a.worker.mu.Lock()
	runs := a.worker.runs
	a.worker.mu.Unlock()
	select {
	case <-time.After(d):
		return true
	case <-runs.Done():
	case <-a.Context().Done():
	}
	return false
}

// event returns the text of an event of a stream.
func event(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d of the answer\n\n", n, n) }

// stream answers with a stream of events, with a pause before each.
func (a *arrival) stream(rw http.ResponseWriter, events int, pause time.Duration) {
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.WriteHeader(http.StatusOK)
	for n := 1; n <= events; n++ {
		if !a.work(pause) {
			return
		}
		fmt.Fprint(rw, event(n))
		_ = http.NewResponseController(rw).Flush() // the caller may have left
	}
}
