package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The case of two requests that a client sends at once on one connection, as HTTP/1.1 allows,
// while the daemon is stopped.

const (
	pipelinedClients = 8
	pipelinedWork    = 1100 * time.Millisecond
)

func playPipelined(p *play) (verdict, error) {
	p.routes = []map[string]any{route("look", "idempotent", plainService, 1, 4000)}
	p.configure()
	var mu sync.Mutex
	ran := make(map[string]string) // results by attempt
	serve := func(rw http.ResponseWriter, a *arrival) {
		p.rec.note("worker %s runs %s", a.worker.id, a.id)
		result := "its caller left"
		if a.work(pipelinedWork) {
			result = "answered"
			fmt.Fprintf(rw, "the answer to %s", a.id)
		}
		mu.Lock()
		defer mu.Unlock()
		ran[a.id] = result
		p.rec.note("worker %s ends %s: %s", a.worker.id, a.id, result)
	}
	for _, zone := range []string{"a", "b"} {
		if err := p.addWorker(&worker{zone: zone, service: plainService, serve: serve}); err != nil {
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
	look := func() request { return request{method: http.MethodGet, path: "/look/2f"} }
	if err := p.warmUp(look); err != nil {
		return verdict{}, err
	}
	time.Sleep(contact)
	d := p.daemons[0]
	if p.trouble {
		if err := d.signal(syscall.SIGTERM); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(time.Second) // the platform still sends connections to the daemon
	lost := 0
	var clients sync.WaitGroup
	for range pipelinedClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			first, second := look(), look()
			first.id, second.id = newID(), newID()
			conn, err := net.Dial("tcp", d.frontend)
			if err != nil {
				p.rec.note("client: %v", err)
				return
			}
			defer conn.Close()
			p.rec.note("client sends %s and %s to %s on one connection", first.id, second.id, d.name)
			if _, err := conn.Write(append(first.bytes(), second.bytes()...)); err != nil {
				p.rec.note("client: %v", err)
				return
			}
			_ = conn.SetReadDeadline(time.Now().Add(6 * time.Second)) // fails only on a closed connection
			br := bufio.NewReader(conn)
			for _, id := range []string{first.id, second.id} {
				a := readAnswer(br, http.MethodGet)
				p.rec.note("client gets for %s: %v", id, a)
				if a.ofClose || !a.whole {
					mu.Lock()
					lost++
					mu.Unlock()
					return
				}
			}
		}()
	}
	clients.Wait()
	time.Sleep(pipelinedWork)
	mu.Lock()
	defer mu.Unlock()
	return verdict{
		broken: lost > 0,
		reason: fmt.Sprintf("%d of %d requests that the daemon had read ended with their connection, without an answer", lost, 2*pipelinedClients),
	}, nil
}
