//go:build review

package stand

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The case of a crowd of callers of a public route that keep their connections.

const (
	crowdSize = 2100
	// crowdLines is the number of short header lines of a request of the crowd.
	crowdLines = 200
	// crowdTime is the time in which the crowd arrives, and crowdPause the pause between two
	// requests on a connection: less than four fifths of the idle timeout of 15 s.
	crowdTime       = 4 * time.Second
	crowdPause      = 11500 * time.Millisecond
	ordinaryClients = 10
	// minFiles is the number of descriptors of the small sites' machines.
	minFiles = 4100
	// tryTime is the time in which ordinary clients try new connections. It is longer than
	// contact_ms.
	tryTime = 5 * time.Second
)

func playCrowd(p *play) (verdict, error) {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil || files.Max < minFiles {
		return verdict{}, fmt.Errorf("processes may open %d files, %d are needed (%v)", files.Max, minFiles, err)
	}
	public := route("catalogue", "idempotent", plainService, 2, 4000)
	public["public"] = true
	p.routes = []map[string]any{route("book", "non_idempotent", plainService, 1, 4000), public}
	p.configure()
	serve := func(rw http.ResponseWriter, a *arrival) {
		if a.work(10 * time.Millisecond) {
			fmt.Fprintf(rw, "the answer to %s", a.id)
		}
	}
	for _, zone := range []string{"a", "b", "b"} {
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
	book := func() request {
		return request{method: http.MethodPost, path: "/book/2f", body: "order " + newID()}
	}
	if err := p.warmUp(book); err != nil {
		return verdict{}, err
	}
	d := p.daemons[0]
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var open, answered atomic.Int64
	if p.trouble {
		for i := range crowdSize {
			callers.Add(1)
			go func() {
				defer callers.Done()
				time.Sleep(crowdTime / crowdSize * time.Duration(i))
				keepConnection(d, stop, &open, &answered)
			}()
		}
	}
	time.Sleep(crowdTime + 500*time.Millisecond)
	p.rec.note("the crowd holds %d connections to %s, and got %d answers", open.Load(), d.name, answered.Load())
	var mu sync.Mutex
	served, refused := 0, make(map[string]int)
	ready, asked := 0, 0
	begin := time.Now()
	for i := range ordinaryClients {
		callers.Add(1)
		go func() {
			defer callers.Done()
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			for time.Since(begin) < tryTime {
				a := d.send(book())
				mu.Lock()
				if a.status == http.StatusOK && a.whole {
					served++
				} else {
					refused[a.kind()]++
				}
				mu.Unlock()
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
	for time.Since(begin) < tryTime {
		if asked++; d.isReady() {
			ready++
		}
		time.Sleep(time.Second)
	}
	close(stop)
	callers.Wait()
	p.rec.note("in %v, %d ordinary clients tried new connections to %s: %d requests served; not served: %v", tryTime, ordinaryClients, d.name, served, refused)
	p.rec.note("%s said %d times of %d that it is ready; its process has ended: %t; at the end the crowd held %d connections", d.name, ready, asked, d.hasEnded(), open.Load())
	other := p.daemons[1].send(book())
	p.rec.note("%s serves: %v", p.daemons[1].name, other)
	return verdict{
		broken: served == 0 && ready == asked,
		reason: fmt.Sprintf("%d ordinary requests on new connections served in %v, ready %d of %d times", served, tryTime, ready, asked),
	}, nil
}

// keepConnection sends requests on one connection, with pauses, until stop is closed.
func keepConnection(d *daemon, stop <-chan struct{}, open, answered *atomic.Int64) {
	conn, err := net.DialTimeout("tcp", d.frontend, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	open.Add(1)
	defer open.Add(-1)
	br := bufio.NewReader(conn)
	header := make(map[string]string, crowdLines)
	for n := range crowdLines {
		header[fmt.Sprintf("X-%d", n)] = "1"
	}
	for {
		r := request{method: http.MethodGet, path: "/catalogue/2f", withoutKey: true, header: header}
		if _, err := conn.Write(r.bytes()); err != nil {
			return
		}
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second)) // fails only on a closed connection
		if a := readAnswer(br, http.MethodGet); !a.whole {
			return
		}
		answered.Add(1)
		select {
		case <-stop:
			return
		case <-time.After(crowdPause):
		}
	}
}
