//go:build review

package stand3_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"
)

// This file holds the case of MIXED: a client that the users do not control asks for the options of
// the server as a whole.

// runOptions runs the case. With trouble, the target of the client's requests is "*", without it a
// path on which there is no route.
func runOptions(rec *record, trouble bool) (broken bool, err error) {
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
	ran := 0
	worker := &plainWorker{id: "i-0", zone: "z1", onRequest: func(p *plainWorker, id string) {
		ran++
		rec.addf("worker %s: request %s", p.id, id)
	}}
	if err := worker.start(); err != nil {
		return false, err
	}
	f.store.Put("servers/"+worker.id, worker.registration("ready"))
	for n := range 3 {
		v, err := f.addVM(fmt.Sprintf("vm-%d", n), fmt.Sprintf("z%d", n+1))
		if err != nil {
			return false, err
		}
		if err := f.start(v); err != nil {
			return false, err
		}
	}
	if err := f.waitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	target := "/none/"
	if trouble {
		target = "*"
	}
	for n, v := range f.vms {
		id := fmt.Sprintf("%016x", n+1)
		status, stamp, err := options(v.callers, target, id)
		if err != nil {
			rec.addf("client: OPTIONS %s, request %s to %s: %v", target, id, v.name, err)
			continue
		}
		rec.addf("client: OPTIONS %s, request %s to %s: status %d, signature %q", target, id, v.name, status, stamp)
		if status/100 == 2 && stamp == "" {
			rec.addf("MIXED broken: a success without a worker's signature; workers ran %d requests", ran)
			broken = true
		}
	}
	return broken, nil
}

// options sends one request, without a key, and returns the status of the answer and the worker's signature.
func options(addr, target, id string) (status int, stamp string, err error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return 0, "", err
	}
	if _, err := fmt.Fprintf(conn, "OPTIONS %s HTTP/1.1\r\nHost: shop.example\r\nKnapweedplank-Attempt-Id: %s\r\nKnapweedplank-Deadline-Ms: 4000\r\n\r\n", target, id); err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	return resp.StatusCode, resp.Header.Get("Knapweedplank-Server-Stamp"), nil
}
