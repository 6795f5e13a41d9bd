//go:build review

package stand

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The case of a stream without a length that its worker breaks off within an event, on a service
// without engines.

const (
	spoiledEvents  = 12
	spoiledStreams = 200
	spoiledClients = 8
	// spoiledEach is the number of answers of which a faulty worker spoils one.
	spoiledEach = 20
)

func playSpoiled(p *play) (verdict, error) {
	p.routes = []map[string]any{route("sheet", "streaming", plainService, 1, 15000)}
	p.configure()
	var mu sync.Mutex
	cut := make(map[string]int) // events of the answers that were broken off, by attempt
	answered := 0
	whole := ""
	for n := 1; n <= spoiledEvents; n++ {
		whole += event(n)
	}
	serve := func(isFaulty bool) func(http.ResponseWriter, *arrival) {
		return func(rw http.ResponseWriter, a *arrival) {
			mu.Lock()
			if isFaulty {
				answered++
			}
			spoil := p.trouble && isFaulty && answered%spoiledEach == 0
			mu.Unlock()
			if !spoil {
				a.stream(rw, spoiledEvents, 5*time.Millisecond)
				return
			}
			conn, buf, err := http.NewResponseController(rw).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			const events = spoiledEvents / 2
			mu.Lock()
			cut[a.id] = events
			mu.Unlock()
			p.rec.note("worker %s breaks its answer to %s off within event %d", a.worker.id, a.id, events+1)
			fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nKnapweedplank-Attempt-Id: %s\r\nKnapweedplank-Server-Stamp: stamp-%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", a.id, a.worker.id)
			for n := 1; n <= events; n++ {
				fmt.Fprint(buf, event(n))
			}
			fmt.Fprint(buf, event(events + 1)[:20])
			_ = buf.Flush() // the caller may have left
		}
	}
	for i, zone := range []string{"a", "b"} {
		if err := p.addWorker(&worker{zone: zone, service: plainService, serve: serve(i == 0)}); err != nil {
			return verdict{}, err
		}
	}
	for _, zone := range []string{"a", "b"} {
		if err := p.addDaemon(zone); err != nil {
			return verdict{}, err
		}
	}
	if err := p.startDaemons(); err != nil {
		return verdict{}, err
	}
	sheet := func() request {
		return request{method: http.MethodPost, path: "/sheet/2f", body: "colours " + newID(), deadline: 15 * time.Second}
	}
	if err := p.warmUp(sheet); err != nil {
		return verdict{}, err
	}
	wrong := 0
	begin := time.Now()
	var clients sync.WaitGroup
	for i := range spoiledClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for range spoiledStreams / spoiledClients {
				r := sheet()
				r.id = newID()
				a := p.daemons[i%2].send(r)
				mu.Lock()
				if events, isCut := cut[r.id]; isCut {
					p.rec.note("client gets for %s: %v, Content-Length %q", r.id, a, a.header.Get("Content-Length"))
					if a.status == http.StatusOK && a.whole {
						p.rec.note("it looks complete, but holds %d whole events of %d; the worker sent %d", strings.Count(a.body, "\n\n"), spoiledEvents, events)
					}
				}
				if a.status == http.StatusOK && a.whole && a.body != whole {
					wrong++
				}
				mu.Unlock()
			}
		}()
	}
	clients.Wait()
	p.rec.note("%d streams in %v", spoiledStreams, time.Since(begin).Round(time.Millisecond))
	return verdict{
		broken: wrong > 0,
		reason: fmt.Sprintf("%d of %d streams were broken off by their worker; %d looked complete to their clients", len(cut), spoiledStreams, wrong),
	}, nil
}
