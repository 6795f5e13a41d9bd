package runner_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/order"
	"knapweedplank.org/plank/internal/place"
	"knapweedplank.org/plank/internal/poison"
	"knapweedplank.org/plank/internal/queue"
	"knapweedplank.org/plank/internal/runner"
)

// A fakeEngine runs each request until it is released, and fails the test when
// an adapter is evicted in use.
type fakeEngine struct {
	t *testing.T

	mu       sync.Mutex
	resident map[plank.Model]int
	orders   int
	report   plank.EngineReport
	release  map[plank.RequestID]chan struct{}
	running  []plank.RequestID
}

func newFakeEngine(t *testing.T, resident ...plank.Model) *fakeEngine {
	e := &fakeEngine{t: t, resident: make(map[plank.Model]int), release: make(map[plank.RequestID]chan struct{}), report: plank.EngineReport{Boot: "1", Running: 1}}
	for _, m := range resident {
		e.resident[m] = 0
	}
	return e
}

// Generate implements plank.Engine.
func (e *fakeEngine) Generate(ctx context.Context, job plank.Job, emit func(plank.Chunk) error) (func(), error) {
	done := make(chan struct{})
	e.mu.Lock()
	if _, ok := e.resident[job.Model]; !ok {
		e.t.Errorf("%s was dispatched without its adapter", job.ID)
	}
	e.resident[job.Model]++
	e.release[job.ID] = done
	e.running = append(e.running, job.ID)
	e.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
	}
	e.mu.Lock()
	e.resident[job.Model]--
	e.mu.Unlock()
	return nil, emit(plank.Chunk{})
}

// Load implements plank.Engine.
func (e *fakeEngine) Load(_ context.Context, m plank.Model, _ plank.Term) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders++
	e.resident[m] = 0
	return nil
}

// Unload implements plank.Engine.
func (e *fakeEngine) Unload(_ context.Context, m plank.Model, _ plank.Term) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders++
	if e.resident[m] > 0 {
		e.t.Errorf("%s was evicted in use", m)
	}
	delete(e.resident, m)
	return nil
}

// Report implements plank.Engine.
func (e *fakeEngine) Report(context.Context) (plank.EngineReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.report
	for m := range e.resident {
		r.Resident = append(r.Resident, m)
	}
	return r, nil
}

func (e *fakeEngine) end(id plank.RequestID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.release[id])
}

func (e *fakeEngine) count() (orders, running int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders, len(e.running)
}

type freeBudget struct{}

// Acquire implements runner.Budget.
func (freeBudget) Acquire(context.Context) error { return nil }

func model(i int) plank.Model {
	return plank.Model{Adapter: plank.AdapterID(fmt.Sprint("ad-", i)), Version: "1"}
}

// newRunner returns a runner of an engine with two slots that is up.
func newRunner(t *testing.T, e *fakeEngine, q plank.Queue, valid time.Time, pinned time.Time) *runner.Runner {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := runner.New(runner.Options{Endpoint: "e", AdapterSlots: 2, Batch: 4, Queue: q, Evictor: place.LowestValue{}, Order: order.HighestValue{}}, runner.Deps{
		Engine: e, Clock: plank.SystemClock{}, LoadLimiter: freeBudget{}, Poison: poison.New(plank.SystemClock{}, nil), Log: logrus.NewEntry(log),
		ValidUntil: func() time.Time { return valid }, Copies: func(plank.Model) int { return 1 },
	}, 2, pinned)
	t.Cleanup(r.Close)
	wait(t, "up", func() bool { return r.Status().Up })
	return r
}

func wait(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !cond(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "not %s", what)
	}
}

// submit runs a request in the background.
func submit(r *runner.Runner, id string, m plank.Model, alone bool) chan error {
	out := make(chan error, 1)
	go func() {
		job := plank.Job{ID: plank.RequestID(id), Workspace: "w", Model: m, Deadline: time.Now().Add(time.Minute), Alone: alone}
		out <- r.Submit(context.Background(), job, func(plank.Chunk) error { return nil })
	}()
	return out
}

// far is longer than any test.
const far = 24 * time.Hour

// settle is long enough for a wrong order to show.
const settle = 300 * time.Millisecond

// TestNoOrderWithoutLease checks that an owner whose lease has ended serves what
// is loaded and orders nothing.
func TestNoOrderWithoutLease(t *testing.T) {
	e := newFakeEngine(t, model(1))
	r := newRunner(t, e, queue.NewFair(), time.Now().Add(-time.Second), time.Time{})
	submit(r, "cold", model(2), false)
	done := submit(r, "warm", model(1), false)
	wait(t, "running", func() bool { _, n := e.count(); return n == 1 })
	e.end("warm")
	assert.NilError(t, <-done)
	time.Sleep(settle)
	orders, _ := e.count()
	assert.Equal(t, orders, 0)
}

// TestNoEvictionNearEndOfLease checks that the last eviction ends before another
// owner may begin; loads into free slots go on.
func TestNoEvictionNearEndOfLease(t *testing.T) {
	e := newFakeEngine(t, model(1))
	r := newRunner(t, e, queue.NewFair(), time.Now().Add(1500*time.Millisecond), time.Time{})
	submit(r, "second", model(2), false)
	wait(t, "loaded", func() bool { orders, _ := e.count(); return orders == 1 })
	submit(r, "third", model(3), false)
	time.Sleep(settle)
	orders, _ := e.count()
	assert.Equal(t, orders, 1)
}

// TestNoEvictionWhilePinned checks that a new owner evicts nothing while requests
// of the earlier one may run.
func TestNoEvictionWhilePinned(t *testing.T) {
	e := newFakeEngine(t, model(1), model(2))
	r := newRunner(t, e, queue.NewFair(), time.Now().Add(far), time.Now().Add(far))
	submit(r, "cold", model(3), false)
	time.Sleep(settle)
	orders, _ := e.count()
	assert.Equal(t, orders, 0)
	// Once the engine reports that one of them no longer serves, and had time
	// to say otherwise, that one may go.
	e.mu.Lock()
	e.report.Serving = []plank.Model{model(1)}
	e.resident[model(1)]++ // evicting it would fail the test
	e.mu.Unlock()
	wait(t, "loaded", func() bool { orders, _ := e.count(); return orders == 2 })
}

// TestInUseStays fills both slots with running requests: a third adapter waits
// until one of them ends.
func TestInUseStays(t *testing.T) {
	e := newFakeEngine(t, model(1), model(2))
	r := newRunner(t, e, queue.NewFair(), time.Now().Add(far), time.Time{})
	one, two := submit(r, "one", model(1), false), submit(r, "two", model(2), false)
	wait(t, "running", func() bool { _, n := e.count(); return n == 2 })
	three := submit(r, "three", model(3), false)
	time.Sleep(settle)
	orders, _ := e.count()
	assert.Equal(t, orders, 0)
	e.end("one")
	assert.NilError(t, <-one)
	wait(t, "third running", func() bool { _, n := e.count(); return n == 3 })
	e.end("three")
	assert.NilError(t, <-three)
	e.end("two")
	assert.NilError(t, <-two)
}

// TestColdHoldsUpNobody contrasts the fair queue with the FIFO baseline: behind a
// request that waits for a load, one whose adapter is loaded runs.
func TestColdHoldsUpNobody(t *testing.T) {
	for _, c := range []struct {
		queue plank.Queue
		runs  int
	}{{queue.NewFair(), 1}, {queue.NewFIFO(), 0}} {
		e := newFakeEngine(t, model(1))
		r := newRunner(t, e, c.queue, time.Now().Add(-time.Second), time.Time{})
		submit(r, "cold", model(2), false)
		wait(t, "queued", func() bool { return r.Status().Outstanding == 1 })
		submit(r, "warm", model(1), false)
		time.Sleep(settle)
		_, running := e.count()
		assert.Equal(t, running, c.runs, c.queue.Name())
	}
}

// TestAloneRunsAlone checks that a suspect waits for the others to end and holds
// them up until its first chunk.
func TestAloneRunsAlone(t *testing.T) {
	e := newFakeEngine(t, model(1))
	r := newRunner(t, e, queue.NewFair(), time.Now().Add(far), time.Time{})
	first := submit(r, "first", model(1), false)
	wait(t, "running", func() bool { _, n := e.count(); return n == 1 })
	suspect := submit(r, "suspect", model(1), true)
	time.Sleep(settle)
	last := submit(r, "last", model(1), false)
	time.Sleep(settle)
	_, running := e.count()
	assert.Equal(t, running, 1)
	e.end("first")
	assert.NilError(t, <-first)
	wait(t, "suspect running", func() bool { _, n := e.count(); return n == 2 })
	time.Sleep(settle)
	_, running = e.count()
	assert.Equal(t, running, 2)
	e.end("suspect")
	assert.NilError(t, <-suspect)
	wait(t, "last running", func() bool { _, n := e.count(); return n == 3 })
	e.end("last")
	assert.NilError(t, <-last)
}
