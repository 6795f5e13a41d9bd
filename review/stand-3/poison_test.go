//go:build review

package stand3_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// This file holds the case of BUDGET: a request that crashes the workers that run it comes again
// after all machines were killed at the same moment.

const (
	poisonPath    = "/order/77"
	poisonEvery   = 3 * time.Second
	poisonDown    = 2 * time.Second // how long a crashed worker is away
	poisonWorkers = 5
	mostRetries   = 3
)

// A poisonCase is the state of the case.
type poisonCase struct {
	rec     *record
	fleet   *fleet
	mu      sync.Mutex
	crashes int
	third   time.Time // when the request crashed its third worker
	started time.Time // when all machines were started last
	retries int       // that reached workers, by machines in touch, later than contactTime after the third crash
}

// A crashWorker is a worker that crashes as it begins to run the request, and is back later.
type crashWorker struct {
	plainWorker
	c     *poisonCase
	conns map[net.Conn]bool
}

// listen serves on the worker's address, or on a free port at the first start.
func (w *crashWorker) listen() error {
	addr := w.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	var ln net.Listener
	var err error
	for range 100 {
		if ln, err = net.Listen("tcp", addr); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addr, w.born, w.state = ln.Addr().String(), time.Now().UnixMilli(), "ready"
	w.conns = make(map[net.Conn]bool)
	conns := w.conns
	w.server = &http.Server{Handler: w, ConnState: func(c net.Conn, state http.ConnState) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if state == http.StateNew {
			conns[c] = true
		} else if state == http.StateClosed {
			delete(conns, c)
		}
	}}
	server := w.server
	go func() { _ = server.Serve(ln) }()
	return nil
}

// crash ends the worker at once, and starts it again later.
func (w *crashWorker) crash() {
	w.mu.Lock()
	server, conns := w.server, w.conns
	w.mu.Unlock()
	server.Close()
	w.mu.Lock()
	for c := range conns {
		c.Close()
	}
	w.mu.Unlock()
	time.AfterFunc(poisonDown, func() {
		if err := w.listen(); err != nil {
			w.c.rec.addf("worker %s: %v", w.id, err)
			return
		}
		w.c.fleet.store.Put("servers/"+w.id, w.registration("ready"))
		w.c.rec.addf("worker %s: is back", w.id)
	})
}

// ServeHTTP implements http.Handler.
func (w *crashWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Knapweedplank-Expect-Instance") == w.id && strings.HasPrefix(r.URL.Path, poisonPath) {
		w.c.poisoned(w, r.Header.Get("Knapweedplank-Attempt-Id"))
		w.crash()
		return
	}
	w.plainWorker.ServeHTTP(rw, r)
}

// poisoned counts a begin of the request at a worker.
func (c *poisonCase) poisoned(w *crashWorker, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.crashes++
	text := ""
	if !c.third.IsZero() && now.Sub(c.third) > contactTime {
		if now.Sub(c.started) > contactTime {
			c.retries++
			text = fmt.Sprintf("; retry %d by machines in touch after the third crash", c.retries)
		} else {
			text = "; by a machine that is not in touch yet"
		}
	}
	if c.crashes == 3 {
		c.third = now
	}
	c.rec.addf("worker %s: request %s crashes it, crash %d%s", w.id, id, c.crashes, text)
}

// runPoison runs the case.
func runPoison(rec *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(rec)
	if err != nil {
		return false, err
	}
	defer f.close()
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": "shop.example", "path_prefix": prefix, "route_kind": kind, "timeout_ms": 2000, "target_latency_ms": 300,
			"priority": 2, "service": app, "max_attempts": attempts, "public": false,
		}
	}
	f.store.Put("config/main", map[string]any{
		"version": 3, "routes": []map[string]any{route("r-lookup", "/lookup/", "idempotent", 2), route("r-order", "/order/", "non_idempotent", 1)},
		"services": []map[string]any{{"name": app, "health_path": "/healthz", "max_conns": 96}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "tenant-1", "api_keys": []string{"key-1"}, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 0, "burst": 0}},
	})
	c := &poisonCase{rec: rec, fleet: f}
	for n := range poisonWorkers {
		w := &crashWorker{plainWorker: plainWorker{id: fmt.Sprintf("i-%d", n), zone: fmt.Sprintf("z%d", n%3+1), onRequest: func(*plainWorker, string) {}}, c: c}
		if err := w.listen(); err != nil {
			return false, err
		}
		f.store.Put("servers/"+w.id, w.registration("ready"))
	}
	for n := range 6 {
		if _, err := f.addVM(fmt.Sprintf("vm-%d", n), fmt.Sprintf("z%d", n%3+1)); err != nil {
			return false, err
		}
	}
	for _, v := range f.vms {
		if err := f.start(v); err != nil {
			return false, err
		}
	}
	if err := f.waitReady(15 * time.Second); err != nil {
		return false, err
	}
	f.bootstrap = false
	time.Sleep(2 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	calls := &lookups{fleet: f, rec: rec}
	go calls.run(ctx)
	go c.sendPoison(ctx)
	time.Sleep(20 * time.Second)
	for range 3 {
		if trouble {
			for _, v := range f.vms {
				f.signal(v, syscall.SIGKILL)
			}
			for _, v := range f.vms {
				<-v.exited
			}
			time.Sleep(500 * time.Millisecond)
			for _, v := range f.vms {
				if err := f.start(v); err != nil {
					return false, err
				}
			}
			c.mu.Lock()
			c.started = time.Now()
			c.mu.Unlock()
		}
		time.Sleep(24 * time.Second)
	}
	cancel()
	rec.addf("sent %d sound requests, answered with 200 %d", calls.sent.Load(), calls.ok.Load())
	c.mu.Lock()
	defer c.mu.Unlock()
	rec.addf("the request crashed %d workers; %d retries reached workers by machines in touch after the third crash, allowed %d", c.crashes, c.retries, mostRetries)
	if calls.ok.Load() < calls.sent.Load()/2 {
		return false, fmt.Errorf("only %d of %d requests had an answer", calls.ok.Load(), calls.sent.Load())
	}
	return c.retries > mostRetries, nil
}

// sendPoison sends the request again and again, with the same path, caller and body, at any machine.
func (c *poisonCase) sendPoison(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 4 * time.Second}
	for n := 1; ctx.Err() == nil; n++ {
		v := c.fleet.vms[n%len(c.fleet.vms)]
		id := fmt.Sprintf("ff%014x", n)
		r, err := http.NewRequest(http.MethodPost, "http://"+v.callers+poisonPath, strings.NewReader(`{"order":77}`))
		if err != nil {
			return
		}
		r.Host = "shop.example"
		r.Header.Set("Knapweedplank-Attempt-Id", id)
		r.Header.Set("Knapweedplank-Deadline-Ms", "4000")
		r.Header.Set("Authorization", "Token key-1")
		resp, err := client.Do(r)
		if err != nil {
			c.rec.addf("client: request %s to %s: %v", id, v.name, err)
		} else {
			text, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			c.rec.addf("client: request %s to %s: status %d, %s", id, v.name, resp.StatusCode, strings.TrimSpace(string(text)))
		}
		select {
		case <-time.After(poisonEvery):
		case <-ctx.Done():
		}
	}
}
