package test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/fault"
	"knapweedplank.org/plank/internal/stand/objapi"
	"knapweedplank.org/plank/internal/stand/plain"
)

// A bookInput is one call of one booking.
type bookInput struct{ booking string }

// The outcomes of a booking call as its caller sees them.
const (
	outcomeRan     = "ran"
	outcomeNotRun  = "not run"
	outcomeUnknown = "unknown"
)

// bookModel is the history of one booking: it runs at most once, an answer
// shows that it ran, and a call that says "not run" did not run it. A call whose
// outcome is unknown may have run it or not.
func bookModel() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			by := make(map[string][]porcupine.Operation)
			for _, op := range history {
				name := op.Input.(bookInput).booking
				by[name] = append(by[name], op)
			}
			var parts [][]porcupine.Operation
			for _, ops := range by {
				parts = append(parts, ops)
			}
			return parts
		},
		Init: func() []any { return []any{false} },
		Step: func(state, _, output any) []any {
			ran := state.(bool)
			switch output.(string) {
			case outcomeRan:
				return []any{true}
			case outcomeNotRun:
				return []any{ran}
			}
			return []any{ran, true}
		},
		Equal: func(a, b any) bool { return a == b },
	}
	return m.ToModel()
}

// outcome reads a result.
func outcome(r result) string {
	switch {
	case r.status == http.StatusOK && r.whole:
		return outcomeRan
	case r.status != http.StatusOK && r.ran == plank.NotRun:
		return outcomeNotRun
	}
	return outcomeUnknown
}

// TestBookingsRunAtMostOnce repeats bookings on all daemons while answers of the
// platform and of the services are lost, a daemon is killed, one is paused
// beyond its lease, and the platform goes away. The services count each run.
func TestBookingsRunAtMostOnce(t *testing.T) {
	t.Parallel()
	const seed, bookings, repeats = 7, 120, 5
	s := small()
	s.daemons = 2
	s.seconds = 8
	f := newFleet(t, s)
	rng := rand.New(rand.NewPCG(seed, seed))
	t.Logf("seed %d", seed)
	var mu sync.Mutex
	var history []porcupine.Operation
	began := time.Now()
	record := func(client int, name string, r result) {
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{
			ClientId: client, Input: bookInput{name}, Call: r.began.Sub(began).Nanoseconds(),
			Output: outcome(r), Return: r.ended.Sub(began).Nanoseconds(),
		})
	}
	faults := make(chan struct{})
	go func() {
		defer close(faults)
		f.bookingFaults()
	}()
	var clients sync.WaitGroup
	for b := range bookings {
		name := fmt.Sprintf("booking-%d", b)
		order := rng.Perm(len(f.daemons))
		pause := time.Duration(rng.IntN(10_000)) * time.Millisecond
		clients.Go(func() {
			time.Sleep(pause)
			for i := range repeats {
				v := f.daemons[order[i%len(order)]]
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				record(b, name, v.book(ctx, keyOne, "key-"+name, name))
				cancel()
			}
		})
	}
	clients.Wait()
	<-faults
	counts := map[string]int{}
	for _, op := range history {
		counts[op.Output.(string)]++
	}
	t.Logf("outcomes %v", counts)
	assert.Assert(t, counts[outcomeRan] > bookings, "too few bookings went through: %v", counts)
	f.checkBookings(history)
}

// bookingFaults brings about, one after another and partly together, the faults
// that bookings have to survive.
func (f *fleet) bookingFaults() {
	step := func() { time.Sleep(time.Second) }
	for i := range f.services {
		post(f.t, f.services[i].addr, "/test/faults", plain.Faults{LoseAnswers: 3, SlowMillis: 20})
	}
	f.platformFaults(objapi.Faults{LoseAnswers: 4})
	step()
	f.daemons[0].platform.SetMode(fault.Mode{LoseAnswers: 10})
	step()
	f.daemons[1].proc.kill()
	f.services[0].proxy.Cut()
	step()
	f.platformFaults(objapi.Faults{SlowMillis: 400, LoseAnswers: 4})
	f.services[0].proxy.Heal()
	f.daemons[2].proc.signal(syscall.SIGSTOP)
	step()
	f.platformFaults(objapi.Faults{Away: true})
	f.daemons[1].start()
	step()
	step()
	f.platformFaults(objapi.Faults{})
	f.services[1].proxy.SetMode(fault.Mode{LoseAnswers: 5})
	step()
	f.daemons[3].platform.SetMode(fault.Mode{DropToClient: true})
	step()
	step()
	f.daemons[3].platform.Heal()
	f.daemons[2].proc.signal(syscall.SIGCONT)
	step()
}

// checkBookings compares the history with what the services ran.
func (f *fleet) checkBookings(history []porcupine.Operation) {
	f.t.Helper()
	runs := f.runs()
	said := make(map[string]map[string]bool)
	end := int64(0)
	for _, op := range history {
		name := op.Input.(bookInput).booking
		if said[name] == nil {
			said[name] = make(map[string]bool)
		}
		said[name][op.Output.(string)] = true
		end = max(end, op.Return)
	}
	for name, outcomes := range said {
		assert.Assert(f.t, runs[name] <= 1, "%s ran %d times", name, runs[name])
		if outcomes[outcomeRan] {
			assert.Equal(f.t, runs[name], 1, "%s was answered", name)
		}
		if !outcomes[outcomeRan] && !outcomes[outcomeUnknown] {
			assert.Equal(f.t, runs[name], 0, "%s was only ever not run", name)
		}
		// What the services counted closes each history.
		last := outcomeNotRun
		if runs[name] == 1 {
			last = outcomeRan
		}
		history = append(history, porcupine.Operation{ClientId: 100_000, Input: bookInput{name}, Call: end + 1, Output: last, Return: end + 2})
	}
	result := porcupine.CheckOperationsTimeout(bookModel(), history, time.Minute)
	assert.Equal(f.t, result, porcupine.Ok)
}

// TestBookingWithoutKeyIsSentOnce loses the service's answer to calls without an
// idempotency key: each runs once and its caller is told that it may have run.
func TestBookingWithoutKeyIsSentOnce(t *testing.T) {
	t.Parallel()
	f := newFleet(t, small())
	for _, s := range f.services {
		post(t, s.addr, "/test/faults", plain.Faults{LoseAnswers: 1})
	}
	for i, v := range f.daemons {
		name := fmt.Sprintf("bare-%d", i)
		r := v.book(context.Background(), keyOne, "", name)
		assert.Equal(t, r.ran, plank.Unknown)
		assert.Equal(t, f.runs()[name], 1)
	}
}

// TestNotRunIsTrue cuts all replicas and the platform: what is refused as not
// run has not run, and a repeat runs it once.
func TestNotRunIsTrue(t *testing.T) {
	t.Parallel()
	f := newFleet(t, small())
	v := f.daemons[0]
	for _, s := range f.services {
		s.proxy.Cut()
	}
	r := v.book(context.Background(), keyOne, "k1", "cut")
	// A proxy that accepts and closes is a connection that may have carried
	// bytes, so only "unknown" is true here.
	assert.Equal(t, r.ran, plank.Unknown)
	assert.Equal(t, f.runs()["cut"], 0)
	for _, s := range f.services {
		s.proxy.Heal()
	}
	f.platformFaults(objapi.Faults{Away: true})
	r = v.book(context.Background(), keyOne, "k2", "away")
	assert.Equal(t, r.code, plank.CodeLedgerUnavailable)
	assert.Equal(t, r.ran, plank.NotRun)
	assert.Equal(t, f.runs()["away"], 0)
	f.platformFaults(objapi.Faults{})
	eventually(t, 10*time.Second, "repeat runs", func() bool {
		return v.book(context.Background(), keyOne, "k2", "away").status == http.StatusOK
	})
	assert.Equal(t, f.runs()["away"], 1)
	r = v.book(context.Background(), keyOne, "k2", "other content")
	assert.Equal(t, r.code, plank.CodeKeyReused)
}
