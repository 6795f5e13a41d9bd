//go:build review

package stand

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
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
	if err := f.startDaemons(1, 1, 1); err != nil {
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
	if err := f.startDaemons(1, 1, 1); err != nil {
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

// playCrashing sends a request that crashes each engine that begins to run it, with the same
// path, caller and body, again and again beside sound ones, and checks the rule BUDGET.
func playCrashing(r *run) ([]string, error) {
	const (
		poisonPause = 4 * time.Second
		poisons     = 11
		allowed     = 3 // retries that may reach engines later
	)
	f, err := newFleet(r)
	if err != nil {
		return nil, err
	}
	defer f.close()
	var engines []*engine
	for i := range 6 {
		e, err := f.startEngine(fmt.Sprintf("engine-%d", i), zones[i%len(zones)])
		if err != nil {
			return nil, err
		}
		engines = append(engines, e)
	}
	for i := range 4 {
		f.announce(fmt.Sprintf("a%d", i), 1)
	}
	if err := f.startDaemons(1, 1, 1); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	served, broken := 0, 0
	end := time.Now().Add(3*time.Second + poisons*poisonPause)
	done := make(chan struct{})
	go func() {
		defer close(done)
		every(50*time.Millisecond, end, func(n int) {
			q := request{id: f.nextID(), method: http.MethodPost, path: "/planner-ask/x", body: fmt.Sprintf("question %d", n), adapter: fmt.Sprintf("a%d", n%4), deadline: 15 * time.Second}
			got := f.send(f.daemons[n%len(f.daemons)], q)
			mu.Lock()
			defer mu.Unlock()
			if got.err == nil && got.status == http.StatusOK {
				served++
			} else if got.status == http.StatusOK {
				broken++
			}
		})
	}()
	time.Sleep(3 * time.Second)
	for n := range poisons {
		q := request{id: f.nextID(), method: http.MethodPost, path: "/planner-ask/y", body: poisonBody, adapter: "a0", deadline: 15 * time.Second}
		if !r.trouble {
			q.body = "a sound prompt"
		}
		f.send(f.daemons[n%len(f.daemons)], q)
		time.Sleep(poisonPause)
	}
	<-done
	var arrivals []time.Time
	cut := 0
	for _, e := range engines {
		arrived, n := e.poisonArrivals()
		arrivals, cut = append(arrivals, arrived...), cut+n
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	f.logf("sound requests: %d served, %d broken off in their streams, %d running at engines that crashed", served, broken, cut)
	if served < 100 {
		return nil, fmt.Errorf("only %d requests were served", served)
	}
	var violations []string
	for i := 3; i < len(arrivals); i++ {
		if after := arrivals[i].Sub(arrivals[2]); after > contactTime {
			violations = append(violations, fmt.Sprintf("BUDGET: the request reached an engine again %d ms after it had crashed the third", ms(after)))
		}
	}
	if len(violations) <= allowed {
		return nil, nil
	}
	return violations, nil
}

// watchers returns the daemon of each zone that watches the store for the others, and the other
// daemons.
func (f *fleet) watchers() (watching, rest []*daemon) {
	rank := func(d *daemon) uint64 { return xxhash.Sum64String("watch/" + d.name) }
	first := make(map[string]*daemon)
	for _, d := range f.daemons {
		if o := first[d.zone]; o == nil || rank(d) < rank(o) {
			first[d.zone] = d
		}
	}
	for _, d := range f.daemons {
		if first[d.zone] == d {
			watching = append(watching, d)
		} else {
			rest = append(rest, d)
		}
	}
	return watching, rest
}

// playRemoved kills three of seven daemons at the same moment and starts them again after a
// short delay, in which a worker's entry is removed, and checks the rule DRAIN at the others.
func playRemoved(r *run) ([]string, error) {
	const (
		removalDelay = 50 * time.Millisecond
		restartDelay = 100 * time.Millisecond // of the first, and the pause until the next one
	)
	f, err := newBookingFleet(r)
	if err != nil {
		return nil, err
	}
	defer f.close()
	killed, rest := f.watchers()
	f.beginBookings(rest, 12*time.Second)
	time.Sleep(3 * time.Second)
	if r.trouble {
		if err := f.kill(killed...); err != nil {
			return nil, err
		}
	}
	time.Sleep(removalDelay)
	f.removeWorker()
	if r.trouble {
		for _, d := range killed {
			time.Sleep(restartDelay)
			if err := f.start(d, false); err != nil {
				return nil, err
			}
		}
	}
	return f.lateArrivals()
}

// playOldOutage lets the store be down for a while. Long after that it kills three of seven
// daemons, removes a worker's entry, and checks the rule DRAIN at the others.
func playOldOutage(r *run) ([]string, error) {
	const (
		outage       = 4500 * time.Millisecond
		calm         = 10 * time.Second // after the outage
		removalDelay = 50 * time.Millisecond
		downTime     = 2 * time.Second
	)
	f, err := newBookingFleet(r)
	if err != nil {
		return nil, err
	}
	defer f.close()
	killed, rest := f.watchers()
	f.beginBookings(rest, 12*time.Second+outage+calm)
	time.Sleep(3 * time.Second)
	if r.trouble && !r.killOnly {
		f.logf("store: answers 503 to all calls")
		f.store.SetErrorStatus(http.StatusServiceUnavailable)
	}
	time.Sleep(outage)
	f.store.SetErrorStatus(0)
	f.logf("store: answers")
	time.Sleep(calm)
	if r.trouble {
		if err := f.kill(killed...); err != nil {
			return nil, err
		}
	}
	time.Sleep(removalDelay)
	f.removeWorker()
	if r.trouble {
		time.Sleep(downTime)
		for _, d := range killed {
			if err := f.start(d, false); err != nil {
				return nil, err
			}
		}
	}
	return f.lateArrivals()
}

// A bookingFleet is a fleet of seven daemons before three booking workers, the first of which
// leaves.
type bookingFleet struct {
	*fleet
	leaving *worker
	removed time.Time // when the removal of its entry was acknowledged
	done    chan struct{}

	mu     sync.Mutex
	served int
}

// lingerTime is how long a worker goes on serving after drain_ms, as on the small sites.
const lingerTime = 1500 * time.Millisecond

func newBookingFleet(r *run) (*bookingFleet, error) {
	f, err := newFleet(r)
	if err != nil {
		return nil, err
	}
	b := &bookingFleet{fleet: f, done: make(chan struct{})}
	for _, zone := range zones {
		w, err := f.startWorker("worker-"+zone, zone, 30*time.Millisecond)
		if err != nil {
			return nil, err
		}
		if b.leaving == nil {
			b.leaving = w
		}
	}
	return b, f.startDaemons(3, 2, 2)
}

// beginBookings sends bookings to some of the daemons for a time.
func (b *bookingFleet) beginBookings(to []*daemon, length time.Duration) {
	go func() {
		defer close(b.done)
		every(15*time.Millisecond, time.Now().Add(length), func(n int) {
			got := b.send(to[n%len(to)], request{id: b.nextID(), method: http.MethodPost, path: "/hold-book/x", body: "two strings", deadline: time.Second})
			if got.err == nil && got.status == http.StatusOK {
				b.mu.Lock()
				defer b.mu.Unlock()
				b.served++
			}
		})
	}()
}

// removeWorker removes the entry of the worker that leaves, which goes on serving for a while.
func (b *bookingFleet) removeWorker() {
	b.store.Delete("servers/" + b.leaving.id)
	b.removed = time.Now()
	b.logf("worker %s: removal of its entry acknowledged; it goes on serving", b.leaving.id)
	time.AfterFunc(drainTime+lingerTime, b.leaving.exit)
}

// lateArrivals waits for the end of the bookings and returns the violations of DRAIN.
func (b *bookingFleet) lateArrivals() ([]string, error) {
	<-b.done
	if b.served < 100 {
		return nil, fmt.Errorf("only %d requests were served", b.served)
	}
	var violations []string
	for _, a := range b.leaving.arrivalsAfter(b.removed.Add(drainTime)) {
		violations = append(violations, fmt.Sprintf("DRAIN: %s reached %s %d ms after the removal of its entry was acknowledged", a.id, b.leaving.id, ms(a.at.Sub(b.removed))))
	}
	return violations, nil
}
