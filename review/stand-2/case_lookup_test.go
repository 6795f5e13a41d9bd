//go:build review

package stand

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The case of a lookup that several callers ask for while one worker crashes.

const (
	lookupCallers = 18
	// usualRunning is the number of requests in progress at the worker that crashes: the mean of
	// the callers over four workers, rounded down.
	usualRunning = lookupCallers / 4
	lookupWork   = 60 * time.Millisecond
	// refusedPause is the pause of a caller after an answer that is no success.
	refusedPause = 200 * time.Millisecond
)

// A tally counts the requests of a route and those that were served.
type tally struct {
	sent, served int
	others       map[int]int // by status
}

// count adds an answer.
func (t *tally) count(a answer) {
	t.sent++
	if a.status == http.StatusOK && a.whole {
		t.served++
		return
	}
	if t.others == nil {
		t.others = make(map[int]int)
	}
	t.others[a.status]++
}

// share returns the part that was served.
func (t *tally) share() float64 { return float64(t.served) / float64(max(1, t.sent)) }

// String describes the tally for the record.
func (t *tally) String() string {
	return fmt.Sprintf("%d sent, %d served, others by status %v", t.sent, t.served, t.others)
}

// Phases of the case.
const (
	before = iota
	during // the disruption and until machines are in touch again
	after
)

func playLookup(p *play) (verdict, error) {
	p.routes = []map[string]any{route("book", "non_idempotent", plainService, 1, 4000)}
	p.configure()
	var running [4]atomic.Int64 // requests in progress, by worker
	serve := func(i int) func(http.ResponseWriter, *arrival) {
		return func(rw http.ResponseWriter, a *arrival) {
			running[i].Add(1)
			defer running[i].Add(-1)
			if !a.work(lookupWork) {
				return
			}
			fmt.Fprintf(rw, "the answer to %s %s", a.Method, a.URL.Path)
		}
	}
	for i, zone := range []string{"a", "a", "b", "b"} {
		if err := p.addWorker(&worker{zone: zone, service: plainService, downtime: 2 * time.Second, serve: serve(i)}); err != nil {
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
	look := func() request { return request{method: http.MethodGet, path: "/look/2f"} }
	if err := p.warmUp(book); err != nil {
		return verdict{}, err
	}
	p.routes = append(p.routes, route("look", "idempotent", plainService, 2, 4000))
	p.configure()
	time.Sleep(configApply + contact)

	var mu sync.Mutex
	phase := before
	var first, added [3]tally // by phase: of the first route, and of the one that was added
	stop := make(chan struct{})
	var callers sync.WaitGroup
	call := func(d *daemon, r func() request, pause time.Duration, tallies *[3]tally) {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
				mu.Lock()
				begun := phase
				mu.Unlock()
				a := d.send(r())
				mu.Lock()
				tallies[begun].count(a)
				mu.Unlock()
				if a.status != http.StatusOK {
					time.Sleep(refusedPause)
				}
			}
		}()
	}
	for i := range lookupCallers {
		call(p.daemons[i%2], look, time.Millisecond, &added)
	}
	for i := range 2 {
		call(p.daemons[i], book, 200*time.Millisecond, &first)
	}
	enter := func(next int, pause time.Duration) {
		mu.Lock()
		phase = next
		mu.Unlock()
		time.Sleep(pause)
	}
	enter(before, 5*time.Second)
	if p.trouble {
		busy := 0
		if err := await(time.Second, func() bool {
			for i := range running {
				if running[i].Load() > running[busy].Load() {
					busy = i
				}
			}
			return running[busy].Load() >= usualRunning
		}); err != nil {
			return verdict{}, err
		}
		p.rec.note("the worker has %d requests in progress", running[busy].Load())
		p.workers[busy].crash()
	}
	enter(during, 2*time.Second+2*contact)
	enter(after, 15*time.Second)
	close(stop)
	callers.Wait()
	for i, name := range []string{"before the crash", "from the crash until 6 s after the worker is back", "the 15 s after that"} {
		p.rec.note("%s: first route: %v", name, &first[i])
		p.rec.note("%s: route that was added later, one lookup by %d callers: %v", name, lookupCallers, &added[i])
	}
	return verdict{
		broken: added[after].sent >= 20 && added[after].share() < first[after].share()/4,
		reason: fmt.Sprintf("in steady state, of requests on the route that was added later %.2f are served, on the first route %.2f", added[after].share(), first[after].share()),
	}, nil
}
