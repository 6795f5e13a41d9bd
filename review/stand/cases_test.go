//go:build review

package stand

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// every calls send at an interval until the end, each call in a goroutine, and waits for all.
func every(interval time.Duration, end time.Time, send func(n int)) {
	var wg sync.WaitGroup
	for n := 0; time.Now().Before(end); n++ {
		wg.Go(func() { send(n) })
		time.Sleep(interval)
	}
	wg.Wait()
}

// playVersions announces new versions of an adapter in quick succession while it is in use,
// and checks the rule VERSION.
func playVersions(r *run) ([]string, error) {
	const (
		adapterName = "a1"
		bumps       = 14
		bumpPause   = 1500 * time.Millisecond
	)
	f, err := newFleet(r)
	if err != nil {
		return nil, err
	}
	defer f.close()
	e, err := f.startEngine("engine-"+zones[0], zones[0])
	if err != nil {
		return nil, err
	}
	acked := []time.Time{0: {}, 1: f.announce(adapterName, 1)} // by version
	if err := f.startDaemons(len(zones)); err != nil {
		return nil, err
	}
	end := time.Now().Add(5*time.Second + bumps*bumpPause + 3*time.Second)
	done := make(chan struct{})
	var mu sync.Mutex
	served := 0
	go func() {
		defer close(done)
		every(100*time.Millisecond, end, func(n int) {
			q := request{id: f.nextID(), method: http.MethodPost, path: "/planner-ask/x", body: "prompt", adapter: adapterName, deadline: 15 * time.Second}
			if got := f.send(f.daemons[n%len(f.daemons)], q); got.err == nil && got.status == http.StatusOK {
				mu.Lock()
				defer mu.Unlock()
				served++
			}
		})
	}()
	time.Sleep(5 * time.Second)
	if r.trouble {
		for i := range bumps {
			acked = append(acked, f.announce(adapterName, 2+i))
			time.Sleep(bumpPause)
		}
	}
	<-done
	if served < 100 {
		return nil, fmt.Errorf("only %d requests were served", served)
	}
	var violations []string
	for _, b := range e.begun() {
		if b.version+1 >= len(acked) {
			continue
		}
		if late := b.at.Sub(acked[b.version+1]); late > versionTime {
			violations = append(violations, fmt.Sprintf("VERSION: %s began on %s@%d at %s, %d ms after version %d was acknowledged", b.id, b.adapter, b.version, e.id, ms(late), b.version+1))
		}
	}
	return violations, nil
}

// playHalfLeft lets clients leave by ending their side of the connection, and checks the rules
// MIXED and ORDER for what they still receive.
func playHalfLeft(r *run) ([]string, error) {
	f, err := newFleet(r)
	if err != nil {
		return nil, err
	}
	defer f.close()
	for _, zone := range zones {
		if _, err := f.startWorker("worker-"+zone, zone, 100*time.Millisecond); err != nil {
			return nil, err
		}
		if _, err := f.startEngine("engine-"+zone, zone); err != nil {
			return nil, err
		}
	}
	f.announce("a1", 1)
	if err := f.startDaemons(len(zones)); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var violations []string
	served := 0
	check := func(q request, got reply) {
		mu.Lock()
		defer mu.Unlock()
		if got.err != nil || got.status/100 != 2 {
			return
		}
		stamp := got.header.Get("Knapweedplank-Server-Stamp")
		switch events := len(got.events()); {
		case stamp == "":
			violations = append(violations, fmt.Sprintf("MIXED: the client of %s %s got %d without a stamp, with a whole body of %d bytes", q.path, q.id, got.status, len(got.body)))
		case q.adapter != "" && events < streamEvents:
			violations = append(violations, fmt.Sprintf("ORDER: the stream of %s %s ended as complete after event %d of %d", q.path, q.id, events, streamEvents))
		default:
			served++
		}
	}
	every(60*time.Millisecond, time.Now().Add(8*time.Second), func(n int) {
		q := request{id: f.nextID(), method: http.MethodPost, path: "/hold-book/x", body: "two strings", deadline: time.Second}
		if n%4 == 3 {
			q = request{id: f.nextID(), method: http.MethodPost, path: "/planner-ask/x", body: "prompt", adapter: "a1", deadline: 15 * time.Second}
		}
		if r.trouble && n%5 == 0 { // 0.2 of the clients
			q.leaveAfter = 50 * time.Millisecond
			if q.adapter != "" {
				q.leaveAfter = 500 * time.Millisecond
			}
		}
		check(q, f.send(f.daemons[n%len(f.daemons)], q))
	})
	if served < 50 {
		return nil, fmt.Errorf("only %d requests were served", served)
	}
	return violations, nil
}
