//go:build review

package stand

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The case of clients that send two requests at once on one connection, as HTTP/1.1 allows, while
// the daemon is stopped.

const (
	pipelinedClients = 8
	pipelinedWork    = 60 * time.Millisecond
	// pipelinedTime is how long the clients send: from a second before the signal until the
	// daemon has long closed their connections.
	pipelinedTime = 6 * time.Second
)

func playPipelined(p *play) (verdict, error) {
	p.routes = []map[string]any{route("look", "idempotent", plainService, 1, 4000)}
	p.configure()
	var mu sync.Mutex
	ran := make(map[string]string) // what became of a request at its worker, by attempt
	serve := func(rw http.ResponseWriter, a *arrival) {
		result := "its caller left"
		if a.work(pipelinedWork) {
			result = "answered"
			fmt.Fprintf(rw, "the answer to %s", a.id)
		}
		mu.Lock()
		defer mu.Unlock()
		ran[a.id] = result
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
	begin := time.Now()
	sent := 0
	var unanswered []string // the oldest request without an answer of each connection
	var clients sync.WaitGroup
	for range pipelinedClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			conn, err := net.Dial("tcp", d.frontend)
			if err != nil {
				p.rec.note("client: %v", err)
				return
			}
			defer conn.Close()
			br := bufio.NewReader(conn)
			for time.Since(begin) < pipelinedTime {
				first, second := look(), look()
				first.id, second.id = newID(), newID()
				if _, err := conn.Write(append(first.bytes(), second.bytes()...)); err != nil {
					return // the daemon has closed the connection between two pairs
				}
				_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second)) // fails only on a closed connection
				for _, id := range []string{first.id, second.id} {
					a := readAnswer(br, http.MethodGet)
					mu.Lock()
					sent++
					if a.ofClose || !a.whole {
						unanswered = append(unanswered, id)
					}
					mu.Unlock()
					if a.ofClose || !a.whole {
						p.rec.note("client sent %s and %s on one connection to %s, and gets for %s: %v", first.id, second.id, d.name, id, a)
						return
					}
					if a.header.Get("Connection") == "close" {
						return
					}
				}
			}
		}()
	}
	time.Sleep(time.Second)
	if p.trouble {
		if err := d.signal(syscall.SIGTERM); err != nil {
			return verdict{}, err
		}
	}
	clients.Wait()
	time.Sleep(2 * pipelinedWork)
	mu.Lock()
	defer mu.Unlock()
	lost := 0
	for _, id := range unanswered {
		if result, ok := ran[id]; ok {
			lost++
			p.rec.note("%s had been passed on to a worker, which worked on it: %s", id, result)
		}
	}
	return verdict{
		broken: lost > 0,
		reason: fmt.Sprintf("%d of %d requests had been passed on to a worker when their connection ended without an answer", lost, sent),
	}, nil
}
