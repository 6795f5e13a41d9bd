//go:build review

package stand

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The sizes of an engine, and its times, as on the sheet of brightline-ops.
const (
	engineSlots    = 64
	engineAdapters = 7
	adapterTime    = 250 * time.Millisecond
	baseTime       = 760 * time.Millisecond // from the worker's own disk, after a restart
	firstEventTime = 60 * time.Millisecond
	eventTime      = 22 * time.Millisecond // five tokens
	streamEvents   = 58
	// downTime is how long a crashed engine is down, and heartbeat the interval of its writes
	// to the store, after three of which a silent engine's entry is removed.
	downTime  = 3 * time.Second
	heartbeat = 1200 * time.Millisecond
)

// poisonBody is the body of the request that crashes each engine that begins to run it.
const poisonBody = "crashes each engine that begins to run it"

// An engine is a stand-in of a model worker. It holds one base model and loads adapters.
type engine struct {
	f          *fleet
	name, zone string
	addr       string

	mu sync.Mutex
	// id and born are those of the current incarnation, starts counts the incarnations.
	id     string
	born   int64
	starts int
	down   bool
	server *http.Server
	// hasBase is set while the base model is held, baseAt is when its load ends.
	hasBase  bool
	baseAt   time.Time
	poisoned []time.Time // arrivals of the request that crashes engines
	cut      int         // other requests that a crash cut off
	running  int
	adapters map[string]*adapter
	seq      uint64
	fence    uint64
	begins   []begin
}

// An adapter is an adapter that an engine holds or loads.
type adapter struct {
	version int // 0 while the first load is under way
	coming  int // version being loaded or waiting for the runs to end; 0 for none
	runs    int
	loadAt  time.Time // when the load ends; zero while it waits for the runs
}

// A begin is a request that began to run.
type begin struct {
	id, adapter string
	version     int
	at          time.Time
}

// startEngine starts an engine that holds its base model and registers it as ready.
func (f *fleet) startEngine(name, zone string) (*engine, error) {
	e := &engine{f: f, name: name, zone: zone, addr: "127.0.0.1:0", hasBase: true}
	if err := e.start(); err != nil {
		return nil, err
	}
	return e, nil
}

// start starts the next incarnation.
func (e *engine) start() error {
	ln, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addr = ln.Addr().String()
	e.starts++
	e.id = fmt.Sprintf("%s-%d", e.name, e.starts)
	e.born = time.Now().UnixMilli()
	e.down, e.seq, e.fence, e.adapters = false, 0, 0, make(map[string]*adapter)
	e.server = &http.Server{Handler: e}
	server := e.server
	go func() { _ = server.Serve(ln) }()
	e.f.register(e.id, map[string]any{
		"service": modelService, "addr": e.addr, "zone": e.zone, "version": "v1", "slots": engineSlots, "state": "ready", "cold_left_ms": 0, "stage": "unified",
		"models": e.models(), "seq": 0, "born": e.born,
	})
	return nil
}

// models returns what the engine holds. The lock is held.
func (e *engine) models() []any {
	if !e.hasBase {
		return []any{}
	}
	held := []string{}
	for name, a := range e.adapters {
		if a.coming == 0 {
			held = append(held, fmt.Sprintf("%s@%d", name, a.version))
		}
	}
	slices.Sort(held)
	return []any{map[string]any{"name": baseModel, "version": 1, "adapters": held}}
}

// crash closes all connections at once. The engine starts again, empty, after downTime; the
// entry of the old incarnation is removed after three heartbeats.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return
	}
	old := e.id
	e.down, e.hasBase, e.baseAt = true, false, time.Time{}
	e.cut += e.running - 1
	e.f.logf("engine %s: crashes, with %d other requests running", old, e.running-1)
	_ = e.server.Close() // closes the listener and all connections
	time.AfterFunc(downTime, func() {
		if err := e.start(); err != nil {
			e.f.logf("engine %s: does not start again: %v", e.name, err)
		}
	})
	time.AfterFunc(3*heartbeat, func() { e.f.store.Delete("servers/" + old) })
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	id := e.id
	e.mu.Unlock()
	if expected := r.Header.Get("Knapweedplank-Expect-Instance"); expected != "" && expected != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("Knapweedplank-Instance-Id", id)
	case "/report":
		e.report(w)
	case "/order":
		e.order(w, r)
	default:
		e.generate(w, r)
	}
}

// advance ends the loads whose time has come. The lock is held.
func (e *engine) advance() {
	now := time.Now()
	if !e.baseAt.IsZero() && !now.Before(e.baseAt) {
		e.hasBase, e.baseAt = true, time.Time{}
	}
	for name, a := range e.adapters {
		if a.coming == 0 {
			continue
		}
		if a.loadAt.IsZero() && a.runs == 0 {
			a.loadAt = now.Add(adapterTime)
		}
		if !a.loadAt.IsZero() && !now.Before(a.loadAt) {
			a.version, a.coming, a.loadAt = a.coming, 0, time.Time{}
			e.f.logf("engine %s: holds %s@%d", e.id, name, a.version)
		}
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	coming, running := []string{}, 0
	for name, a := range e.adapters {
		if a.coming > 0 {
			coming = append(coming, fmt.Sprintf("%s/%s@%d", baseModel, name, a.coming))
		}
		running += a.runs
	}
	writeJSON(w, map[string]any{
		"stage": "unified", "models": e.models(), "busy": !e.baseAt.IsZero(), "seq": e.seq,
		"waiting": 0, "running": running, "kv_used": 900 * running, "kv_total": 255303, "handles": 0, "coming": coming, "state": "ready", "born": e.born,
	})
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // the caller may have left
}

// An order is the body of a call to /order.
type order struct {
	Op, Model, Adapter, Holder string
	Version                    int
	Expect                     *uint64
	Fence                      uint64
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 || o.Model != baseModel {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := e.execute(o)
	e.f.logf("engine %s: order %s %s@%d of %s, fence %d: %d", e.id, o.Op, o.Adapter, o.Version, o.Holder, o.Fence, status)
	w.WriteHeader(status)
}

// execute carries an order out and returns the status of its answer.
func (e *engine) execute(o order) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	if o.Fence < e.fence {
		return http.StatusPreconditionFailed
	}
	e.fence = o.Fence
	a := e.adapters[o.Adapter]
	version := o.Version
	if version == 0 {
		version = e.f.newestVersion(o.Adapter)
	}
	switch {
	case o.Adapter == "" && e.hasBase:
		return http.StatusOK
	case !e.baseAt.IsZero():
		return http.StatusConflict // another order is under way
	case o.Adapter == "" && (o.Expect == nil || *o.Expect == e.seq):
		e.seq++
		e.baseAt = time.Now().Add(baseTime)
		return http.StatusAccepted
	case !e.hasBase:
		return http.StatusConflict
	case o.Op == "load" && a != nil && a.coming == version:
		return http.StatusAccepted // under way
	case o.Op == "load" && a != nil && a.coming == 0 && a.version >= version, o.Op == "unload" && a == nil:
		return http.StatusOK // holds already
	case o.Expect != nil && *o.Expect != e.seq, a != nil && a.coming > 0:
		return http.StatusConflict
	}
	e.seq++
	switch {
	case o.Op == "unload" && a.runs == 0:
		delete(e.adapters, o.Adapter)
		return http.StatusOK
	case o.Op == "unload":
		e.seq-- // not needed here: the adapters in use are never unloaded
		return http.StatusConflict
	case a == nil:
		a = &adapter{}
		e.adapters[o.Adapter] = a
	}
	a.coming = version
	e.advance()
	return http.StatusAccepted
}

// generate runs a request and streams its events.
func (e *engine) generate(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Knapweedplank-Attempt-Id")
	_, name, _ := strings.Cut(r.Header.Get("Knapweedplank-Model"), "/")
	w.Header().Set("Knapweedplank-Attempt-Id", id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	isPoison := string(body) == poisonBody
	if isPoison {
		e.recordPoison(id)
	}
	version, status := e.admit(name, r.Header.Get("Knapweedplank-Expect-Version"))
	if status != http.StatusOK {
		e.f.logf("engine %s: %s not run: %d", e.id, id, status)
		w.Header().Set("Knapweedplank-Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	defer e.end(name)
	first := 1
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = n + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Knapweedplank-Server-Stamp", "stamp-"+e.id+"-"+id)
	w.Header().Set("Knapweedplank-Weight-Versions", strconv.Itoa(version))
	pause := firstEventTime
	e.addRunning(1)
	defer e.addRunning(-1)
	for n := first; n <= streamEvents; n++ {
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			e.f.logf("engine %s: dropped %s before event %d, its connection was closed", e.id, id, n)
			return
		}
		pause = eventTime
		if n == first {
			e.recordBegin(begin{id: id, adapter: name, version: version, at: time.Now()})
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, id); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		if isPoison {
			time.Sleep(time.Millisecond) // the event leaves the engine
			e.crash()
			return
		}
	}
	e.f.logf("engine %s: ran %s to its end, %d events", e.id, id, streamEvents)
}

// admit starts a run on an adapter. It returns the adapter's version and the status.
func (e *engine) admit(name, expected string) (int, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	a := e.adapters[name]
	switch {
	case a == nil:
		return 0, http.StatusMisdirectedRequest
	case a.coming > 0:
		return 0, http.StatusServiceUnavailable // an order concerns it
	case expected != "" && expected != strconv.Itoa(a.version):
		return 0, http.StatusMisdirectedRequest
	}
	a.runs++
	return a.version, http.StatusOK
}

func (e *engine) end(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a := e.adapters[name]; a != nil { // not after a crash
		a.runs--
	}
	e.advance()
}

func (e *engine) recordBegin(b begin) {
	e.f.logf("engine %s: %s begins on %s@%d", e.id, b.id, b.adapter, b.version)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.begins = append(e.begins, b)
}

// newestVersion returns the newest announced version of an adapter, at least 1.
func (f *fleet) newestVersion(name string) int {
	var rec struct{ Version int }
	if data := f.store.Get("versions/" + baseModel + "." + name); data != nil {
		if err := json.Unmarshal(data, &rec); err != nil {
			panic(err) // written by announce
		}
	}
	return max(1, rec.Version)
}

// announce names a new version of an adapter and returns when that was acknowledged.
func (f *fleet) announce(name string, version int) time.Time {
	f.store.Put("versions/"+baseModel+"."+name, map[string]any{"model": baseModel, "adapter": name, "version": version})
	now := time.Now()
	f.logf("operator: version %d of %s acknowledged", version, name)
	return now
}

// begun returns the requests that have begun to run.
func (e *engine) begun() []begin {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.begins)
}

func (e *engine) addRunning(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running += n
}

func (e *engine) recordPoison(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.f.logf("engine %s: %s arrives, which crashes engines", e.id, id)
	e.poisoned = append(e.poisoned, time.Now())
}

// poisonArrivals returns when the request that crashes engines arrived, and how many other
// requests the crashes cut off.
func (e *engine) poisonArrivals() (arrivals []time.Time, cut int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.poisoned), e.cut
}
