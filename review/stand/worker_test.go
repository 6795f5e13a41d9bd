//go:build review

package stand

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// A worker is a stand-in of an endpoint of the booking service.
type worker struct {
	f        *fleet
	id, zone string
	addr     string
	workTime time.Duration
	born     int64
	server   *http.Server

	mu       sync.Mutex
	running  int
	arrivals []arrival
}

// An arrival is a request that reached a worker.
type arrival struct {
	id string
	at time.Time
}

const workerSlots = 6

// startWorker starts a worker and registers it as ready.
func (f *fleet) startWorker(id, zone string, workTime time.Duration) (*worker, error) {
	w := &worker{f: f, id: id, zone: zone, workTime: workTime, born: time.Now().UnixMilli()}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.addr = ln.Addr().String()
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(ln) }()
	f.register(id, map[string]any{
		"service": plainService, "addr": w.addr, "zone": zone, "version": "v1", "slots": workerSlots, "state": "ready", "cold_left_ms": 0, "seq": 0, "born": w.born,
	})
	return w, nil
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Knapweedplank-Attempt-Id")
	rw.Header().Set("Knapweedplank-Attempt-Id", id)
	rw.Header().Set("Knapweedplank-Instance-Id", w.id)
	if expected := r.Header.Get("Knapweedplank-Expect-Instance"); expected != "" && expected != w.id {
		w.f.logf("worker %s: %s is for %s: 421", w.id, id, expected)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/healthz" {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.mu.Lock()
	w.arrivals = append(w.arrivals, arrival{id, time.Now()})
	w.running++
	n := w.running
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.running--
	}()
	if n > workerSlots {
		w.f.logf("worker %s: %s not run, full: 503", w.id, id)
		rw.Header().Set("Knapweedplank-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.f.logf("worker %s: runs %s %s %s", w.id, r.Method, r.URL.Path, id)
	select {
	case <-time.After(w.workTime):
	case <-r.Context().Done():
		w.f.logf("worker %s: dropped %s, its connection was closed", w.id, id)
		return
	}
	w.f.logf("worker %s: ran %s to its end: 200", w.id, id)
	rw.Header().Set("Knapweedplank-Server-Stamp", "stamp-"+w.id+"-"+id)
	rw.Header().Set("Knapweedplank-Server-Load", fmt.Sprintf("%d,0,%d", n, workerSlots))
	_, _ = io.WriteString(rw, "booked "+id) // the caller may have left
}

// arrivalsAfter returns the requests that arrived after a time.
func (w *worker) arrivalsAfter(t time.Time) []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []arrival
	for _, a := range w.arrivals {
		if a.at.After(t) {
			out = append(out, a)
		}
	}
	return out
}

// exit ends the worker.
func (w *worker) exit() {
	w.f.logf("worker %s: exits", w.id)
	_ = w.server.Close() // closes the listener and all connections
}
