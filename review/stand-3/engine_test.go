//go:build review

package stand3_test

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The speed of an engine, as on the sheet of the users' small site.
const (
	tokensPerMs   = 38.7
	stepTime      = 22 * time.Millisecond // of an event of four tokens
	adapterLoad   = 250 * time.Millisecond
	recentLoad    = 25 * time.Millisecond
	baseLoad      = 760 * time.Millisecond // from the worker's disk
	adapterPlaces = 8
	engineSlots   = 64
	engineMemory  = 232000
)

// An engine is a stand-in of a model worker. It reads prompts one after another in the order of
// their arrival, and then writes the events of all streams side by side. A request begins with
// its first event. What a request names as its prompt belongs to it alone, so that nothing is kept.
type engine struct {
	id, service, zone, model, addr string
	born                           int64
	rec                            *record
	onBegin                        func(e *engine, id, adapter string, version int) // may be nil

	mu      sync.Mutex
	seq     uint64
	fence   uint64
	held    map[string]int // versions of the adapters
	loading map[string]load
	recent  map[string]bool
	users   map[string]int // requests on each adapter
	queue   []*work        // prompts to be read
	running int
	wake    chan struct{}

	// The fields below serve the case of late orders.
	bare      bool      // the model is not loaded
	baseUntil time.Time // when its load ends; zero for none
	server    *http.Server
	conns     map[net.Conn]bool
	lateShare float64 // share of the orders that get no answer and are carried out late
	runs      int     // starts of the worker
	onExcess  func(e *engine, o lateOrder)
	rng       *rand.Rand
}

// A lateOrder is an order that got no answer.
type lateOrder struct {
	op, adapter string
	version     int
	fence       uint64
	expect      *uint64
	sent        time.Time
	run         int // in which it was sent
}

type load struct {
	version int
	until   time.Time
}

// A work is a prompt that waits to be read.
type work struct {
	tokens  float64
	read    chan struct{} // closed once it has been read
	dropped bool
}

// start serves on a free port.
func (e *engine) start() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.addr, e.born = ln.Addr().String(), time.Now().UnixMilli()
	e.held, e.loading, e.recent, e.users, e.wake = map[string]int{}, map[string]load{}, map[string]bool{}, map[string]int{}, make(chan struct{}, 1)
	go e.readPrompts()
	e.serveOn(ln)
	return nil
}

// serveOn serves the connections of a listener.
func (e *engine) serveOn(ln net.Listener) {
	e.conns = make(map[net.Conn]bool)
	conns := e.conns
	e.server = &http.Server{Handler: e, ConnState: func(c net.Conn, state http.ConnState) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if state == http.StateNew {
			conns[c] = true
		} else if state == http.StateClosed {
			delete(conns, c)
		}
	}}
	server := e.server
	go func() { _ = server.Serve(ln) }()
}

// crash ends the worker: its connections are reset, and nothing that it held is left.
func (e *engine) crash() {
	e.rec.addf("worker %s: crashes at order count %d", e.id, e.orderCount())
	e.server.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		c.Close()
	}
	for _, w := range e.queue {
		w.dropped = true
	}
}

// restart starts the worker again under the id and at the address that it had, empty.
func (e *engine) restart() error {
	var ln net.Listener
	var err error
	for range 100 {
		if ln, err = net.Listen("tcp", e.addr); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.born, e.seq, e.fence, e.bare, e.baseUntil = time.Now().UnixMilli(), 0, 0, true, time.Time{}
	e.held, e.loading, e.recent = map[string]int{}, map[string]load{}, map[string]bool{}
	e.runs++
	e.mu.Unlock()
	e.rec.addf("worker %s: has started again", e.id)
	e.serveOn(ln)
	return nil
}

// orderCount returns how many orders the worker has accepted since its start.
func (e *engine) orderCount() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.seq
}

// setLateShare sets the share of the orders that get no answer.
func (e *engine) setLateShare(x float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lateShare = x
}

// carryOutLate carries out an order that got no answer, 2 to 12 s after it was sent.
func (e *engine) carryOutLate(o lateOrder, delay time.Duration) {
	time.Sleep(delay)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.finishLoads()
	before := len(e.held) + len(e.loading)
	seq := e.seq
	status := e.carryOut(o.op, o.adapter, o.version, o.fence, o.expect)
	e.rec.addf("worker %s: order %s %s@%d that expects %d, sent %.3f s ago in start %d and not answered, is carried out at count %d in start %d: %d", e.id, o.op, o.adapter, o.version, *o.expect, time.Since(o.sent).Seconds(), o.run, seq, e.runs, status)
	if after := len(e.held) + len(e.loading); after > before && after > adapterPlaces {
		e.onExcess(e, o)
	}
}

// registration returns the engine's entry in the store.
func (e *engine) registration() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return map[string]any{
		"service": e.service, "addr": e.addr, "zone": e.zone, "version": "v1", "slots": engineSlots, "state": "ready", "cold_left_ms": 0,
		"stage": "unified", "models": e.models(), "seq": e.seq, "born": e.born,
	}
}

// models returns what the engine holds. The lock is held.
func (e *engine) models() []map[string]any {
	adapters := []string{}
	for name, version := range e.held {
		adapters = append(adapters, fmt.Sprintf("%s@%d", name, version))
	}
	if e.bare {
		return []map[string]any{}
	}
	return []map[string]any{{"name": e.model, "version": 1, "adapters": adapters}}
}

// finishLoads ends the loads whose time is over. The lock is held.
func (e *engine) finishLoads() {
	if e.bare && !e.baseUntil.IsZero() && !time.Now().Before(e.baseUntil) {
		e.bare = false
	}
	for name, l := range e.loading {
		if !time.Now().Before(l.until) && e.users[name] == 0 {
			e.held[name] = l.version
			e.recent[name] = true
			delete(e.loading, name)
		}
	}
}

// readPrompts reads the prompts in turn, in pieces of a millisecond or more.
func (e *engine) readPrompts() {
	last := time.Now()
	for {
		e.mu.Lock()
		for len(e.queue) > 0 && e.queue[0].dropped {
			e.queue = e.queue[1:]
		}
		if len(e.queue) == 0 {
			e.mu.Unlock()
			<-e.wake
			last = time.Now()
			continue
		}
		now := time.Now()
		left := now.Sub(last).Seconds() * 1000 * tokensPerMs
		last = now
		for left > 0 && len(e.queue) > 0 {
			w := e.queue[0]
			if w.dropped {
				e.queue = e.queue[1:]
				continue
			}
			n := min(left, w.tokens)
			w.tokens -= n
			left -= n
			if w.tokens <= 0 {
				close(w.read)
				e.queue = e.queue[1:]
			}
		}
		e.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
	}
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("Knapweedplank-Expect-Instance"); id != "" && id != e.id {
		w.Header().Set("Knapweedplank-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/report":
		e.report(w)
	case "/order":
		e.order(w, r)
	default:
		e.serve(w, r)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.finishLoads()
	coming := []string{}
	for name, l := range e.loading {
		coming = append(coming, fmt.Sprintf("%s/%s@%d", e.model, name, l.version))
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"stage": "unified", "models": e.models(), "busy": false, "seq": e.seq, "waiting": len(e.queue), "running": e.running, "kv_used": 0, "kv_total": engineMemory,
		"handles": 0, "coming": coming, "born": e.born, "state": "ready",
	})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller may be gone
}

// order carries out an order as PROTOCOL.md tells.
func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op, Model, Adapter, Holder string
		Expect                     *uint64
		Fence                      uint64
		Version                    int
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.finishLoads()
	if o.Expect != nil && o.Adapter != "" && e.lateShare > 0 && e.rng.Float64() < e.lateShare {
		go e.carryOutLate(lateOrder{o.Op, o.Adapter, o.Version, o.Fence, o.Expect, time.Now(), e.runs}, time.Duration((2+10*e.rng.Float64())*float64(time.Second)))
		e.rec.addf("worker %s: order %s %s@%d of %s that expects %d gets no answer", e.id, o.Op, o.Adapter, o.Version, o.Holder, *o.Expect)
		e.mu.Unlock()
		<-r.Context().Done()
		e.mu.Lock()
		return
	}
	status := e.carryOut(o.Op, o.Adapter, o.Version, o.Fence, o.Expect)
	e.rec.addf("worker %s: order %s %s@%d of %s, fence %d: %d", e.id, o.Op, o.Adapter, o.Version, o.Holder, o.Fence, status)
	w.WriteHeader(status)
}

// carryOut returns the status of an order. The lock is held.
func (e *engine) carryOut(op, adapter string, version int, fence uint64, expect *uint64) int {
	if fence < e.fence {
		return http.StatusPreconditionFailed
	}
	e.fence = fence
	if adapter == "" {
		switch {
		case !e.bare:
			return http.StatusOK
		case !e.baseUntil.IsZero():
			return http.StatusAccepted
		case expect != nil && *expect != e.seq:
			return http.StatusConflict
		}
		e.seq++
		e.baseUntil = time.Now().Add(baseLoad)
		return http.StatusAccepted
	}
	if e.bare {
		return http.StatusConflict // the order that loads the model is in progress, or to come
	}
	want := max(version, 1) // no other version is named
	l, isLoading := e.loading[adapter]
	held, isHeld := e.held[adapter]
	switch {
	case op == "load" && isLoading && l.version == want:
		return http.StatusAccepted
	case op == "load" && isHeld && !isLoading && held == want, op == "unload" && !isHeld && !isLoading:
		return http.StatusOK
	case expect != nil && *expect != e.seq:
		return http.StatusConflict
	}
	e.seq++
	if op == "unload" {
		delete(e.held, adapter)
		delete(e.loading, adapter)
		return http.StatusOK
	}
	took := adapterLoad
	if e.recent[adapter] && !isHeld {
		took = recentLoad
	}
	e.loading[adapter] = load{version: want, until: time.Now().Add(took)}
	if len(e.held)+len(e.loading) > adapterPlaces+1 {
		e.rec.addf("worker %s: more adapters than places", e.id)
	}
	return http.StatusAccepted
}

// serve runs a request.
func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Knapweedplank-Attempt-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	_, adapter, _ := strings.Cut(r.Header.Get("Knapweedplank-Model"), "/")
	prompt, output, _ := strings.Cut(r.Header.Get("Knapweedplank-Token-Usage"), ",")
	tokens, _ := strconv.ParseFloat(prompt, 64)
	most, _ := strconv.ParseFloat(output, 64)
	w.Header().Set("Knapweedplank-Attempt-Id", id)
	e.mu.Lock()
	e.finishLoads()
	version, isHeld := e.held[adapter]
	_, isLoading := e.loading[adapter]
	expected := r.Header.Get("Knapweedplank-Expect-Version")
	switch {
	case isHeld && isLoading, e.running >= engineSlots:
		e.mu.Unlock()
		w.Header().Set("Knapweedplank-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case !isHeld, expected != "" && expected != strconv.Itoa(version):
		e.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	job := &work{tokens: tokens, read: make(chan struct{})}
	e.queue = append(e.queue, job)
	e.users[adapter]++
	e.running++
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		job.dropped = true
		e.users[adapter]--
		e.running--
	}()
	select {
	case <-job.read:
	case <-r.Context().Done():
		return
	}
	if e.onBegin != nil {
		e.onBegin(e, id, adapter, version)
	}
	w.Header().Set("Knapweedplank-Server-Stamp", "stamp-"+e.id+"-"+id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Knapweedplank-Weight-Versions", strconv.Itoa(version))
	for n, events := 1, int(max(1, most/4)); n <= events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, id); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-time.After(stepTime):
		case <-r.Context().Done():
			return
		}
	}
}
