package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// How long loads take: of an adapter, and of the model from the worker's own disk.
const (
	adapterLoad = 250 * time.Millisecond
	modelLoad   = 760 * time.Millisecond
)

// An arrival is a request at a worker that has passed the worker's checks.
type arrival struct {
	*http.Request
	id, body string
	at       time.Duration
	worker   *worker
}

// A worker is a stand-in of a worker: of a model worker if model is set. It serves, registers
// and takes orders as the protocol page says.
type worker struct {
	site                 *site
	zone, service, model string
	ip                   string
	slots                int
	downtime             time.Duration // from a crash to the next start
	// serve answers the requests that pass the checks.
	serve func(w http.ResponseWriter, a *arrival)

	mu       sync.Mutex
	starts   int
	id, addr string
	born     time.Time
	isUp     bool
	ln       net.Listener
	conns    map[net.Conn]struct{}
	endRuns  context.CancelFunc
	runs     context.Context
	modelAt  time.Time            // when the model is there; zero if it is not ordered
	resident map[string]uint64    // versions of adapters
	loading  map[string]time.Time // when their loads end
	seq      uint64
	fence    uint64
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

// start starts the worker anew, with another id and without adapters.
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
	w.modelAt = time.Time{} // workers restart empty
	if w.starts++; w.starts == 1 {
		w.modelAt = time.Now()
	}
	w.ln, w.addr, w.isUp, w.born = ln, ln.Addr().String(), true, time.Now()
	w.id = "i-" + newID()[:10]
	w.resident, w.loading, w.seq, w.fence = make(map[string]uint64), make(map[string]time.Time), 0, 0
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

// entry returns the worker's registration. The lock is held.
func (w *worker) entry() map[string]any {
	e := map[string]any{
		"service": w.service, "addr": w.addr, "zone": w.zone, "version": "v1", "slots": w.slots, "state": "ready", "cold_left_ms": 0,
		"seq": w.seq, "born": w.born.UnixMilli(),
	}
	if w.model != "" {
		e["stage"], e["models"] = "unified", w.models()
	}
	return e
}

// hasModel reports whether the model is there. The lock is held.
func (w *worker) hasModel() bool { return !w.modelAt.IsZero() && !time.Now().Before(w.modelAt) }

// models returns what the worker holds. The lock is held.
func (w *worker) models() []map[string]any {
	if !w.hasModel() {
		return []map[string]any{}
	}
	adapters := []string{}
	for name, version := range w.resident {
		adapters = append(adapters, fmt.Sprintf("%s@%d", name, version))
	}
	sort.Strings(adapters)
	return []map[string]any{{"name": w.model, "version": 1, "adapters": adapters}}
}

// writeEntry writes the registration if more than its count of orders has changed. The lock is
// held.
func (w *worker) writeEntry() {
	e := w.entry()
	seq := e["seq"]
	delete(e, "seq")
	text, err := json.Marshal(e)
	if err != nil || string(text) == w.written {
		return
	}
	w.written, e["seq"] = string(text), seq
	w.site.store.Put("servers/"+w.id, e)
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
			w.finishLoads()
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

// finishLoads makes the adapters resident whose loads have ended. The lock is held.
func (w *worker) finishLoads() {
	for name, ends := range w.loading {
		if !time.Now().Before(ends) {
			w.resident[name] = 1
			delete(w.loading, name)
		}
	}
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
	case r.URL.Path == "/report":
		w.report(rw)
	case r.URL.Path == "/order":
		w.order(rw, a.body)
	case r.URL.Path == "/healthz":
		rw.Header().Set("Knapweedplank-Instance-Id", id)
	case a.id == "":
		w.refuse(rw, http.StatusBadRequest)
	case w.model != "" && !w.holds(r.Header):
		w.refuse(rw, http.StatusMisdirectedRequest)
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

// holds reports whether the worker holds the adapter that a request asks for.
func (w *worker) holds(h http.Header) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finishLoads()
	_, adapter, ok := strings.Cut(h.Get("Knapweedplank-Model"), "/")
	version, resident := w.resident[adapter]
	expected := h.Get("Knapweedplank-Expect-Version")
	return w.hasModel() && (!ok || resident && (expected == "" || expected == strconv.FormatUint(version, 10)))
}

// report answers with what the worker holds and does.
func (w *worker) report(rw http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finishLoads()
	coming := []string{}
	for name := range w.loading {
		coming = append(coming, fmt.Sprintf("%s/%s@1", w.model, name))
	}
	writeJSON(rw, map[string]any{
		"stage": "unified", "models": w.models(), "busy": !w.modelAt.IsZero() && !w.hasModel(), "seq": w.seq, "waiting": 0, "running": 0, "kv_used": 0, "kv_total": 255303,
		"handles": 0, "coming": coming, "born": w.born.UnixMilli(), "state": "ready",
	})
}

// order carries out a load or unload of an adapter.
func (w *worker) order(rw http.ResponseWriter, body string) {
	var o struct {
		Op, Model, Adapter, Holder string
		Expect                     *uint64
		Fence                      uint64
	}
	if json.Unmarshal([]byte(body), &o) != nil || o.Holder == "" || o.Fence == 0 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finishLoads()
	_, isLoading := w.loading[o.Adapter]
	_, isResident := w.resident[o.Adapter]
	switch {
	case o.Fence < w.fence:
		rw.WriteHeader(http.StatusPreconditionFailed)
	case o.Op == "load" && (isLoading || o.Adapter == "" && !w.modelAt.IsZero() && !w.hasModel()):
		rw.WriteHeader(http.StatusAccepted)
	case o.Op == "load" && (o.Adapter == "" && w.hasModel() || isResident), o.Op == "unload" && !isResident:
		rw.WriteHeader(http.StatusOK)
	case o.Adapter != "" && !w.hasModel():
		rw.WriteHeader(http.StatusBadRequest)
	case o.Expect != nil && *o.Expect != w.seq:
		rw.WriteHeader(http.StatusConflict)
	default:
		w.fence = o.Fence
		w.seq++
		if o.Op == "unload" {
			delete(w.resident, o.Adapter)
			return
		}
		if o.Adapter == "" {
			w.modelAt = time.Now().Add(modelLoad)
		} else {
			w.loading[o.Adapter] = time.Now().Add(adapterLoad)
		}
		rw.WriteHeader(http.StatusAccepted)
	}
}

func writeJSON(rw http.ResponseWriter, v any) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(v) // the caller may have left
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
	rw.Header().Set("Knapweedplank-Weight-Versions", "1")
	rw.WriteHeader(http.StatusOK)
	for n := 1; n <= events; n++ {
		if !a.work(pause) {
			return
		}
		fmt.Fprint(rw, event(n))
		_ = http.NewResponseController(rw).Flush() // the caller may have left
	}
}
