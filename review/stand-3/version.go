package main

import (
	"bufio"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// This file holds the case of VERSION: a new version of an adapter is named just after a model
// worker has turned slow.

const (
	versionBound = 5 * time.Second // bounds.version_ms
	llm          = "svc-llm"
	modelName    = "base"
	adapterCount = 3000
)

// A versionCase is the state of the case.
type versionCase struct {
	rec     *record
	fleet   *fleet
	engines []*engine

	mu    sync.Mutex
	named map[string][]naming
	late  []string
	most  time.Duration
	begun atomic.Int64
}

// A naming is a version of an adapter, and when the store acknowledged it.
type naming struct {
	version int
	at      time.Time
}

// newest returns the newest version of an adapter.
func (c *versionCase) newest(adapter string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := c.named[adapter]; len(n) > 0 {
		return n[len(n)-1].version
	}
	return 1
}

// name names a new version of an adapter.
func (c *versionCase) name(adapter string) {
	v := c.newest(adapter) + 1
	c.fleet.store.Put("versions/"+modelName+"."+adapter, map[string]any{"model": modelName, "adapter": adapter, "version": v})
	c.mu.Lock()
	c.named[adapter] = append(c.named[adapter], naming{v, time.Now()})
	c.mu.Unlock()
	c.rec.addf("store: version %d of %s acknowledged", v, adapter)
}

// begin judges the begin of a request on a worker.
func (c *versionCase) begin(e *engine, id, adapter string, version int) {
	now := time.Now()
	c.begun.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.named[adapter] {
		if n.version <= version {
			continue
		}
		age := now.Sub(n.at)
		c.most = max(c.most, age)
		text := ""
		if age > versionBound {
			text = "  LATE"
			c.late = append(c.late, fmt.Sprintf("request %s on %s@%d at %s, %.3f s after version %d", id, adapter, version, e.id, age.Seconds(), n.version))
		}
		if age > 3*time.Second {
			c.rec.addf("worker %s: request %s begins on %s@%d, %.3f s after version %d was acknowledged%s", e.id, id, adapter, version, age.Seconds(), n.version, text)
		}
		return
	}
}

// busiest returns the worker with the most requests on one adapter.
func (c *versionCase) busiest() *engine {
	var found *engine
	most := 0
	for _, e := range c.engines {
		e.mu.Lock()
		for _, n := range e.users {
			if n > most {
				most, found = n, e
			}
		}
		e.mu.Unlock()
	}
	if found == nil {
		return c.engines[0]
	}
	return found
}

// hot returns the adapters of a worker on which requests run.
func (e *engine) hot() (adapters []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for a, n := range e.users {
		if n > 0 {
			adapters = append(adapters, a)
		}
	}
	return adapters
}

// newDeployment starts 6 machines and 9 model workers in 3 zones, like the users' small sites.
func newDeployment(ctx context.Context, rec *record) (*versionCase, error) {
	f, err := newFleet(rec)
	if err != nil {
		return nil, err
	}
	c := &versionCase{rec: rec, fleet: f, named: make(map[string][]naming)}
	f.store.Put("config/main", map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "r-quote", "host": "shop.example", "path_prefix": "/quote/", "route_kind": "streaming", "timeout_ms": 6000, "target_latency_ms": 1000,
			"gap_aim_ms": 400, "priority": 2, "service": llm, "max_attempts": 2, "public": false, "sticky": true, "resumable": true,
		}},
		"services": []map[string]any{{
			"name": llm, "health_path": "/healthz", "max_conns": 360, "engine": map[string]any{
				"slots": engineSlots, "kv_capacity": engineMemory, "max_adapters": adapterPlaces, "loads_per_s": 2.1, "weights_mb": 67100, "stride": 4,
				"models": []map[string]any{{"name": modelName, "adapters": adapterCount, "weights_mb": 65500, "load_time_s": 1.9, "adapter_size_mb": 40}},
			},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "tenant-1", "api_keys": []string{"key-1"}, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 0, "burst": 0}},
	})
	for n := range 9 {
		zone := fmt.Sprintf("z%d", n%3+1)
		e := &engine{id: fmt.Sprintf("i-%s-%d", zone, n), service: llm, zone: zone, model: modelName, rec: rec, onBegin: c.begin, newest: c.newest}
		if err := e.start(); err != nil {
			return nil, err
		}
		c.engines = append(c.engines, e)
		f.store.Put("servers/"+e.id, e.registration())
	}
	for n := range 6 {
		if _, err := f.addVM(fmt.Sprintf("vm-%d", n), fmt.Sprintf("z%d", n%3+1)); err != nil {
			return nil, err
		}
	}
	for _, e := range c.engines {
		go func() {
			for {
				select {
				case <-time.After(1200 * time.Millisecond):
					f.store.Put("servers/"+e.id, e.registration())
				case <-ctx.Done():
					return
				}
			}
		}()
	}
	for _, v := range f.vms {
		if err := f.start(v); err != nil {
			return nil, err
		}
	}
	if err := f.waitReady(15 * time.Second); err != nil {
		return nil, err
	}
	return c, nil
}

// runVersion runs the case. With trouble, a worker turns slow before each new version.
func runVersion(rec *record, trouble bool) (broken bool, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c, err := newDeployment(ctx, rec)
	if err != nil {
		return false, err
	}
	defer c.fleet.close()
	time.Sleep(3 * time.Second)
	load := newVersionLoad(c, 30, 6300)
	go load.run(ctx)
	time.Sleep(8 * time.Second)
	const cycles, cycle = 6, 13 * time.Second
	delta := 400 * time.Millisecond
	if x := os.Getenv("DELTA"); x != "" {
		var ms int
		fmt.Sscan(x, &ms)
		delta = time.Duration(ms) * time.Millisecond
	}
	for range cycles {
		e := c.busiest()
		hot := e.hot()
		if trouble {
			e.setSlow(4)
			rec.addf("worker %s turns slow, 4 times", e.id)
		}
		time.Sleep(delta)
		for _, a := range hot {
			c.name(a)
		}
		time.Sleep(6500*time.Millisecond - delta)
		if trouble {
			e.setSlow(1)
			rec.addf("worker %s is as fast as before", e.id)
		}
		time.Sleep(cycle - 6500*time.Millisecond)
	}
	cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	rec.addf("sent %d, whole answers %d, refused %d, given up or broken %d; begun at workers %d", load.sent.Load(), load.whole.Load(), load.refused.Load(), load.failed.Load(), c.begun.Load())
	rec.addf("latest begin on an older version: %.3f s after the acknowledgement, allowed %.3f s", c.most.Seconds(), versionBound.Seconds())
	for _, l := range c.late {
		rec.addf("VERSION broken: %s", l)
	}
	if load.whole.Load() < load.sent.Load()/2 {
		return false, fmt.Errorf("only %d of %d requests had a whole answer", load.whole.Load(), load.sent.Load())
	}
	return len(c.late) > 0, nil
}

// A versionLoad sends requests as the users' clients do.
type versionLoad struct {
	c                            *versionCase
	client                       *http.Client
	sent, whole, refused, failed atomic.Int64
	ids                          atomic.Int64
	perS, prompt                 float64 // requests a second, and tokens of their prompts at the median
}

func newVersionLoad(c *versionCase, perS, prompt float64) *versionLoad {
	if x := os.Getenv("RATE"); x != "" {
		fmt.Sscan(x, &perS)
	}
	return &versionLoad{c: c, perS: perS, prompt: prompt, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}}}
}

// run sends requests until ctx ends.
func (l *versionLoad) run(ctx context.Context) {
	rng := rand.New(rand.NewPCG(7, 7))
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rng.ExpFloat64() / l.perS * float64(time.Second)))
		adapter := fmt.Sprintf("a%d", zipf(rng))
		prompt := min(39600, int(l.prompt*math.Exp(0.6*rng.NormFloat64())))
		output := 8 + rng.IntN(80)
		go l.send(ctx, rng.IntN(len(l.c.fleet.vms)), adapter, prompt, output)
	}
}

// zipf draws the rank of an adapter, as skewed as the users' (1.3).
func zipf(rng *rand.Rand) int {
	for {
		u := rng.Float64()
		if k := int(math.Pow(u, -1/0.3)); k >= 1 && k <= adapterCount {
			return k
		}
	}
}

// send sends a request, and once more after a refusal, as the page on clients says.
func (l *versionLoad) send(ctx context.Context, at int, adapter string, prompt, output int) {
	deadline := time.Now().Add(6 * time.Second)
	l.sent.Add(1)
	for try := range 2 {
		id := fmt.Sprintf("%016x", l.ids.Add(1))
		retry, outcome := l.try(ctx, (at+try)%len(l.c.fleet.vms), id, adapter, prompt, output, deadline)
		switch {
		case outcome == "whole":
			l.whole.Add(1)
			return
		case outcome == "failed":
			l.failed.Add(1)
			return
		case try == 1:
			l.refused.Add(1)
			return
		}
		time.Sleep(min(retry, time.Until(deadline)/3))
	}
}

// try makes one client attempt.
func (l *versionLoad) try(ctx context.Context, at int, id, adapter string, prompt, output int, deadline time.Time) (time.Duration, string) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	// Clients leave after a gap of four times the objective.
	gap := time.AfterFunc(4*time.Second, cancel)
	defer gap.Stop()
	v := l.c.fleet.vms[at]
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.callers+"/quote/2f", strings.NewReader("{}"))
	if err != nil {
		return 0, "failed"
	}
	r.Host = "shop.example"
	r.Header.Set("Knapweedplank-Attempt-Id", id)
	r.Header.Set("Knapweedplank-Model", modelName+"/"+adapter)
	r.Header.Set("Knapweedplank-Token-Usage", fmt.Sprintf("%d,%d", prompt, output))
	r.Header.Set("Knapweedplank-Prompt-Prefix", fmt.Sprintf("%s:%d", id[8:], prompt))
	r.Header.Set("Knapweedplank-Deadline-Ms", fmt.Sprint(max(1, time.Until(deadline).Milliseconds())))
	r.Header.Set("Authorization", "Token key-1")
	resp, err := l.client.Do(r)
	if err != nil {
		return 0, "failed"
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
		var seconds float64
		_, _ = fmt.Sscan(resp.Header.Get("Retry-After"), &seconds)
		return time.Duration(seconds * float64(time.Second)), "refused"
	}
	lines, pieces := bufio.NewScanner(resp.Body), 0
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id:") {
			pieces++
			gap.Reset(3200 * time.Millisecond)
		}
	}
	if resp.StatusCode != http.StatusOK || lines.Err() != nil || pieces != max(1, output/4) {
		return 0, "failed"
	}
	return 0, "whole"
}
