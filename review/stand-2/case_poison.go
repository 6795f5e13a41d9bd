package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The case of a request that crashes each worker that begins to run it, after its first event.

const (
	poisonBody   = "the request that crashes"
	poisonSends  = 9
	poisonPeriod = 4 * time.Second
	// ordinaryCallers is the number of callers of ordinary streams beside it.
	ordinaryCallers = 6
	// crashAfter is the time from the first event to the crash.
	crashAfter = 15 * time.Millisecond
	// maxPoisonRetries is the rule's bound.
	maxPoisonRetries = 3
)

// modelRequest returns a request for an adapter.
func modelRequest(body, lastPart string) request {
	return request{method: http.MethodPost, path: "/ask/2f", body: body, deadline: 15 * time.Second, header: map[string]string{
		"Knapweedplank-Model": model + "/a1", "Knapweedplank-Token-Usage": "828,290",
		"Knapweedplank-Prompt-Prefix": "5c1e07a2:119,91bd3f06:79," + lastPart + ":630",
	}}
}

// warmUp sends ordinary requests to each daemon until it serves one.
func (s *site) warmUp(r func() request) error {
	for _, d := range s.daemons {
		if err := await(20*time.Second, func() bool { a := d.send(r()); return a.status == http.StatusOK && a.whole }); err != nil {
			return fmt.Errorf("%s does not serve: %w", d.name, err)
		}
	}
	s.rec.note("all daemons serve")
	return nil
}

func playPoison(p *play) (verdict, error) {
	p.routes = []map[string]any{route("ask", "streaming", modelService, 1, 15000)}
	p.configure()
	var mu sync.Mutex
	var arrivals, crashes []time.Duration // of the request
	serve := func(rw http.ResponseWriter, a *arrival) {
		if a.body != poisonBody {
			a.stream(rw, 20, 40*time.Millisecond)
			return
		}
		mu.Lock()
		arrivals = append(arrivals, a.at)
		mu.Unlock()
		p.rec.note("worker %s runs the request %s", a.worker.id, a.id)
		if !p.trouble {
			a.stream(rw, 10, 40*time.Millisecond)
			return
		}
		a.stream(rw, 1, 40*time.Millisecond)
		if a.work(crashAfter) {
			mu.Lock()
			crashes = append(crashes, p.rec.now())
			mu.Unlock()
			a.worker.crash()
		}
	}
	for _, zone := range []string{"a", "a", "b", "b"} {
		if err := p.addWorker(&worker{zone: zone, service: modelService, model: model, slots: 64, downtime: 2 * time.Second, serve: serve}); err != nil {
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
	ordinary := func() request { return modelRequest("a question "+newID(), newID()[:8]) }
	if err := p.warmUp(ordinary); err != nil {
		return verdict{}, err
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var sent, whole int
	var cut []time.Duration // when ordinary streams were broken off
	for i := range ordinaryCallers {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				a := p.daemons[i%len(p.daemons)].send(ordinary())
				mu.Lock()
				sent++
				switch {
				case a.status == http.StatusOK && a.whole:
					whole++
				case !a.whole:
					cut = append(cut, p.rec.now())
				}
				mu.Unlock()
			}
		}()
	}
	for i := range poisonSends {
		d := p.daemons[i%len(p.daemons)]
		r := modelRequest(poisonBody, "e4402b7d")
		r.id = newID()
		p.rec.note("client sends the request again as attempt %s to %s", r.id, d.name)
		a := d.send(r)
		p.rec.note("client gets %v", a)
		time.Sleep(poisonPeriod)
	}
	close(stop)
	callers.Wait()
	mu.Lock()
	defer mu.Unlock()
	p.rec.note("ordinary requests: %d sent, %d answered whole", sent, whole)
	if len(crashes) < 3 {
		return verdict{reason: fmt.Sprintf("%d crashes", len(crashes))}, nil
	}
	late := 0
	for _, at := range arrivals {
		if at > crashes[2]+contact {
			late++
		}
	}
	lost := 0
	for _, at := range cut {
		if at > crashes[2]+contact {
			lost++
		}
	}
	p.rec.note("ordinary streams that were broken off later than contact_ms after the third crash: %d", lost)
	return verdict{
		broken: late > maxPoisonRetries,
		reason: fmt.Sprintf("%d crashes; %d retries reached workers later than contact_ms after the third crash, %d are allowed", len(crashes), late, maxPoisonRetries),
	}, nil
}
