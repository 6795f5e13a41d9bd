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

// A bookingInput is the input of a call in the history: the booking's name.
type bookingInput struct{ booking string }

// Outcomes of a booking call, as reported to its caller.
const (
	outcomeRan     = "ran"
	outcomeNotRun  = "not run"
	outcomeUnknown = "unknown"
)

// bookingModel returns the model of a booking's history. A booking runs at most
// once: an answer shows that it ran, a call with the outcome "not run" did not run
// it, and a call whose outcome is unknown may have run it or not.
func bookingModel() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			by := make(map[string][]porcupine.Operation)
			for _, op := range history {
				name := op.Input.(bookingInput).booking
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

// outcome returns the outcome that a result reports.
func outcome(r result) string {
	switch {
	case r.status == http.StatusOK && r.complete:
		return outcomeRan
	case r.status != http.StatusOK && r.ran == plank.NotRun:
		return outcomeNotRun
	}
	return outcomeUnknown
}

// TestBookingsRunAtMostOnce repeats bookings on all daemons while answers of the
// platform and of the services are lost, a daemon is killed, one is paused for
// longer than its lease, and the platform is unavailable. The services count each
// run.
func TestBookingsRunAtMostOnce(t *testing.T) {
	t.Parallel()
	const seed, bookings, repeats = 7, 120, 5
	s := smallFleet()
	s.daemons = 2
	s.patienceSec = 8
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
			ClientId: client, Input: bookingInput{name}, Call: r.began.Sub(began).Nanoseconds(),
			Output: outcome(r), Return: r.ended.Sub(began).Nanoseconds(),
		})
	}
	faultsDone := make(chan struct{})
	go func() {
		defer close(faultsDone)
		f.injectBookingFaults()
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
	<-faultsDone
	byOutcome := map[string]int{}
	for _, op := range history {
		byOutcome[op.Output.(string)]++
	}
	t.Logf("outcomes %v", byOutcome)
	assert.Assert(t, byOutcome[outcomeRan] > bookings, "too few calls answered as run: %v", byOutcome)
	f.checkBookings(history)
}

// injectBookingFaults injects the faults of TestBookingsRunAtMostOnce one after
// another, some of them overlapping.
func (f *fleet) injectBookingFaults() {
	step := func() { time.Sleep(time.Second) }
	for i := range f.services {
		post(f.t, f.services[i].addr, "/test/faults", plain.Faults{LoseAnswers: 3, SlowMillis: 20})
	}
	f.platformFaults(objapi.Faults{LoseAnswers: 4})
	step()
	f.daemons[0].platformProxy.SetMode(fault.Mode{LoseAnswers: 10})
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
	f.daemons[3].platformProxy.SetMode(fault.Mode{DropToClient: true})
	step()
	step()
	f.daemons[3].platformProxy.Heal()
	f.daemons[2].proc.signal(syscall.SIGCONT)
	step()
}

// checkBookings checks the history against the runs that the services counted.
func (f *fleet) checkBookings(history []porcupine.Operation) {
	f.t.Helper()
	runs := f.bookingRuns()
	outcomesOf := make(map[string]map[string]bool)
	end := int64(0)
	for _, op := range history {
		name := op.Input.(bookingInput).booking
		if outcomesOf[name] == nil {
			outcomesOf[name] = make(map[string]bool)
		}
		outcomesOf[name][op.Output.(string)] = true
		end = max(end, op.Return)
	}
	for name, outcomes := range outcomesOf {
		assert.Assert(f.t, runs[name] <= 1, "%s ran %d times", name, runs[name])
		if outcomes[outcomeRan] {
			assert.Equal(f.t, runs[name], 1, "%s was answered as run", name)
		}
		if !outcomes[outcomeRan] && !outcomes[outcomeUnknown] {
			assert.Equal(f.t, runs[name], 0, "%s was answered only as not run", name)
		}
		// A last operation with the services' count ends each history.
		last := outcomeNotRun
		if runs[name] == 1 {
			last = outcomeRan
		}
		history = append(history, porcupine.Operation{ClientId: 100_000, Input: bookingInput{name}, Call: end + 1, Output: last, Return: end + 2})
	}
	result := porcupine.CheckOperationsTimeout(bookingModel(), history, time.Minute)
	assert.Equal(f.t, result, porcupine.Ok)
}

// TestBookingWithoutKeyIsSentOnce loses the services' answers to calls without an
// idempotency key. Each call runs once, and its caller receives "unknown".
func TestBookingWithoutKeyIsSentOnce(t *testing.T) {
	t.Parallel()
	f := newFleet(t, smallFleet())
	for _, s := range f.services {
		post(t, s.addr, "/test/faults", plain.Faults{LoseAnswers: 1})
	}
	for i, v := range f.daemons {
		name := fmt.Sprintf("bare-%d", i)
		r := v.book(context.Background(), keyOne, "", name)
		assert.Equal(t, r.ran, plank.Unknown)
		assert.Equal(t, f.bookingRuns()[name], 1)
	}
}

// TestRefusedBookingHasNotRun makes first all replicas and then the platform
// unavailable. A booking that is refused as not run has not run, and its repeat runs
// once.
func TestRefusedBookingHasNotRun(t *testing.T) {
	t.Parallel()
	f := newFleet(t, smallFleet())
	v := f.daemons[0]
	for _, s := range f.services {
		s.proxy.Cut()
	}
	r := v.book(context.Background(), keyOne, "k1", "cut")
	// The proxy accepts connections and closes them, so the daemon cannot exclude
	// that the service received the request: the outcome is "unknown".
	assert.Equal(t, r.ran, plank.Unknown)
	assert.Equal(t, f.bookingRuns()["cut"], 0)
	for _, s := range f.services {
		s.proxy.Heal()
	}
	f.platformFaults(objapi.Faults{Away: true})
	r = v.book(context.Background(), keyOne, "k2", "away")
	assert.Equal(t, r.code, plank.CodeLedgerUnavailable)
	assert.Equal(t, r.ran, plank.NotRun)
	assert.Equal(t, f.bookingRuns()["away"], 0)
	f.platformFaults(objapi.Faults{})
	eventually(t, 10*time.Second, "repeat runs", func() bool {
		return v.book(context.Background(), keyOne, "k2", "away").status == http.StatusOK
	})
	assert.Equal(t, f.bookingRuns()["away"], 1)
	r = v.book(context.Background(), keyOne, "k2", "other content")
	assert.Equal(t, r.code, plank.CodeKeyReused)
}
