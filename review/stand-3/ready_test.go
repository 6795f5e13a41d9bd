//go:build review

package stand3_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// This file holds the case of DRAIN: a worker's earlier entry is written late, after the store has
// acknowledged that the worker is draining.

const (
	app            = "svc-app"
	drainBound     = 2 * time.Second // bounds.drain_ms
	heartbeat      = 1200 * time.Millisecond
	contactTime    = 3 * time.Second // bounds.contact_ms
	lostFor        = 4500 * time.Millisecond
	lateBy         = 5800 * time.Millisecond // a late write is done 1 to 6 s later
	lingersFor     = 8 * time.Second         // how long a draining worker goes on serving
	lookupsPerS    = 6.0
	workTime       = 30 * time.Millisecond
	appWorkers     = 3
	readyCycles    = 6
	readyCycleTime = 16 * time.Second
)

// A plainWorker is a stand-in of a worker of an application service.
type plainWorker struct {
	id, zone, addr string
	born           int64
	onRequest      func(w *plainWorker, id string)

	mu      sync.Mutex
	state   string
	drainAt time.Time // when the store acknowledged that it is draining
	running int
	server  *http.Server
}

// start serves on a free port.
func (p *plainWorker) start() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.addr, p.born, p.state = ln.Addr().String(), time.Now().UnixMilli(), "ready"
	p.server = &http.Server{Handler: p}
	go func() { _ = p.server.Serve(ln) }()
	return nil
}

// registration returns the worker's entry in the store, with a state.
func (p *plainWorker) registration(state string) map[string]any {
	return map[string]any{
		"service": app, "addr": p.addr, "zone": p.zone, "version": "v1", "slots": 6, "state": state, "cold_left_ms": 0, "seq": 0, "born": p.born,
	}
}

// ServeHTTP implements http.Handler.
func (p *plainWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Knapweedplank-Expect-Instance") != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("Knapweedplank-Attempt-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	p.onRequest(p, id)
	p.mu.Lock()
	p.running++
	p.mu.Unlock()
	time.Sleep(workTime)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
	w.Header().Set("Knapweedplank-Attempt-Id", id)
	w.Header().Set("Knapweedplank-Server-Stamp", "stamp-"+p.id+"-"+id)
	w.Header().Set("Knapweedplank-Server-Load", fmt.Sprintf("%d,0,6", p.running))
	w.Header().Set("Keep-Alive", "timeout=5")
	if p.state == "draining" {
		w.Header().Set("Server-Leaving", "1")
		w.Header().Set("Connection", "close")
	}
	fmt.Fprintf(w, "answer to %s\n", id)
}

// runLateReady runs the case.
func runLateReady(rec *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(rec)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.store.Put("config/main", map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "r-lookup", "host": "shop.example", "path_prefix": "/lookup/", "route_kind": "idempotent", "timeout_ms": 2000, "target_latency_ms": 300,
			"priority": 2, "service": app, "max_attempts": 2, "public": false,
		}},
		"services": []map[string]any{{"name": app, "health_path": "/healthz", "max_conns": 96}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "tenant-1", "api_keys": []string{"key-1"}, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 0, "burst": 0}},
	})
	var mu sync.Mutex
	late := 0
	onRequest := func(p *plainWorker, id string) {
		p.mu.Lock()
		drainAt := p.drainAt
		p.mu.Unlock()
		text := ""
		if age := time.Since(drainAt); !drainAt.IsZero() {
			text = fmt.Sprintf(", %.3f s after its draining was acknowledged", age.Seconds())
			if age > drainBound {
				mu.Lock()
				late++
				mu.Unlock()
				rec.addf("DRAIN broken: request %s reaches worker %s%s", id, p.id, text)
			}
		}
		rec.addf("worker %s: request %s%s", p.id, id, text)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	next := 0
	var workers []*plainWorker
	add := func() error {
		p := &plainWorker{id: fmt.Sprintf("i-%d", next), zone: fmt.Sprintf("z%d", next%3+1), onRequest: onRequest}
		next++
		if err := p.start(); err != nil {
			return err
		}
		workers = append(workers, p)
		f.store.Put("servers/"+p.id, p.registration("ready"))
		rec.addf("worker %s: has started", p.id)
		return nil
	}
	for range appWorkers {
		if err := add(); err != nil {
			return false, err
		}
	}
	for n := range 6 {
		v, err := f.addVM(fmt.Sprintf("vm-%d", n), fmt.Sprintf("z%d", n%3+1))
		if err != nil {
			return false, err
		}
		_ = v
	}
	for _, v := range f.vms {
		if err := f.start(v); err != nil {
			return false, err
		}
	}
	if err := f.waitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	calls := &lookups{fleet: f, rec: rec}
	go calls.run(ctx)
	for n := range readyCycles {
		begun := time.Now()
		p := workers[n]
		if trouble {
			rec.addf("store: of the writes of worker %s, one is done late and not answered", p.id)
		}
		// The last heartbeat within the disruption gets no answer and is done late.
		time.Sleep(lostFor - 100*time.Millisecond)
		if trouble {
			old := p.registration("ready")
			time.AfterFunc(lateBy, func() {
				f.store.Put("servers/"+p.id, old)
				rec.addf("store: the entry of worker %s that was sent %.3f s before is written", p.id, lateBy.Seconds())
			})
		}
		// The worker that follows starts first.
		if err := add(); err != nil {
			return false, err
		}
		time.Sleep(100*time.Millisecond + contactTime + 100*time.Millisecond)
		p.mu.Lock()
		p.state = "draining"
		p.mu.Unlock()
		f.store.Put("servers/"+p.id, p.registration("draining"))
		p.mu.Lock()
		p.drainAt = time.Now()
		p.mu.Unlock()
		rec.addf("store: worker %s is draining, acknowledged", p.id)
		for until := time.Now().Add(lingersFor); time.Now().Add(heartbeat).Before(until); {
			time.Sleep(heartbeat)
			f.store.Put("servers/"+p.id, p.registration("draining"))
			rec.addf("worker %s: heartbeat, draining", p.id)
		}
		f.store.Delete("servers/" + p.id)
		p.server.Close()
		rec.addf("worker %s: has left", p.id)
		time.Sleep(time.Until(begun.Add(readyCycleTime)))
	}
	cancel()
	rec.addf("sent %d, answered with 200 %d", calls.sent.Load(), calls.ok.Load())
	if calls.ok.Load() < calls.sent.Load()/2 {
		return false, fmt.Errorf("only %d of %d requests had an answer", calls.ok.Load(), calls.sent.Load())
	}
	mu.Lock()
	defer mu.Unlock()
	return late > 0, nil
}
