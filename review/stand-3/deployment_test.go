//go:build review

package stand3_test

import (
	"bufio"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// This file holds a deployment with model workers and the clients of its streaming route.

const (
	llm          = "svc-llm"
	modelName    = "base"
	adapterCount = 3000
)

// A deployment is a fleet with model workers.
type deployment struct {
	fleet   *fleet
	engines []*engine
}

// newDeployment starts 6 machines and 9 model workers in 3 zones, like the users' small sites. The
// names of all begin with name.
func newDeployment(ctx context.Context, rec *record, name string) (*deployment, error) {
	f, err := newFleet(rec)
	if err != nil {
		return nil, err
	}
	c := &deployment{fleet: f}
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
		e := &engine{id: fmt.Sprintf("%si-%s-%d", name, zone, n), service: llm, zone: zone, model: modelName, rec: rec}
		if err := e.start(); err != nil {
			return nil, err
		}
		c.engines = append(c.engines, e)
		f.store.Put("servers/"+e.id, e.registration())
	}
	for n := range 6 {
		if _, err := f.addVM(fmt.Sprintf("%svm-%d", name, n), fmt.Sprintf("z%d", n%3+1)); err != nil {
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

// streams sends requests of a streaming route as the users' clients do.
type streams struct {
	c                            *deployment
	client                       *http.Client
	sent, whole, refused, failed atomic.Int64
	ids                          atomic.Int64
	perS, prompt                 float64 // requests a second, and tokens of their prompts at the median
}

// newStreams returns clients that send perS requests a second, with prompts of the given length at
// the median.
func newStreams(c *deployment, perS, prompt float64) *streams {
	return &streams{c: c, perS: perS, prompt: prompt, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}}}
}

// run sends requests until ctx ends.
func (l *streams) run(ctx context.Context) {
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
func (l *streams) send(ctx context.Context, at int, adapter string, prompt, output int) {
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
func (l *streams) try(ctx context.Context, at int, id, adapter string, prompt, output int, deadline time.Time) (time.Duration, string) {
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
