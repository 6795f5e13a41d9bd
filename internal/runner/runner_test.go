package runner_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
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

// A fakeEngine runs each request until finish is called. It fails the test if a
// request is dispatched without its adapter or an adapter is evicted in use.
type fakeEngine struct {
	t *testing.T

	mu    sync.Mutex
	inUse map[plank.Model]int // running requests of each resident model
	// orders counts loads and evictions.
	orders  int
	report  plank.EngineReport
	release map[plank.RequestID]chan struct{}
	started []plank.RequestID
	// refuse holds the requests that are refused for a missing adapter, each once its
	// channel is closed.
	refuse map[plank.RequestID]chan struct{}
	// pauses holds the requests that are refused with a time for which the engine wants no
	// requests.
	pauses  map[plank.RequestID]time.Duration
	reports int // requests for reports
	// answerLoads, if not nil, delays the answers to loads until it is closed.
	answerLoads chan struct{}
	// endDelay is how long a cancelled request remains in use.
	endDelay time.Duration
}

func newFakeEngine(t *testing.T, resident ...plank.Model) *fakeEngine {
	e := &fakeEngine{t: t, inUse: make(map[plank.Model]int), release: make(map[plank.RequestID]chan struct{}), report: plank.EngineReport{Boot: "1", Running: 1}}
	for _, m := range resident {
		e.inUse[m] = 0
	}
	return e
}

// Generate implements plank.Engine.
func (e *fakeEngine) Generate(ctx context.Context, job plank.Job, emit func(plank.Chunk) error) (func(), error) {
	done := make(chan struct{})
	e.mu.Lock()
	if refused := e.refuse[job.ID]; refused != nil {
		e.started = append(e.started, job.ID)
		e.mu.Unlock()
		<-refused
		return nil, plank.Refuse(plank.CodeNoModel, "not resident")
	}
	if pause := e.pauses[job.ID]; pause > 0 {
		e.started = append(e.started, job.ID)
		e.mu.Unlock()
		refusal := plank.Refuse(plank.CodeNoEndpoint, "busy")
		refusal.RetryAfter = pause
		return nil, refusal
	}
	if _, ok := e.inUse[job.Model]; !ok {
		e.t.Errorf("request %s dispatched while its adapter was not resident", job.ID)
	}
	e.inUse[job.Model]++
	e.release[job.ID] = done
	e.started = append(e.started, job.ID)
	e.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
		time.AfterFunc(e.endDelay, func() { e.end(job.Model) })
		return nil, ctx.Err()
	}
	e.end(job.Model)
	return nil, emit(plank.Chunk{})
}

// end ends a request of m.
func (e *fakeEngine) end(m plank.Model) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.inUse[m] > 0 {
		e.inUse[m]--
	}
}

// Load implements plank.Engine.
func (e *fakeEngine) Load(_ context.Context, m plank.Model, _ plank.Term) error {
	e.mu.Lock()
	e.orders++
	if _, ok := e.inUse[m]; !ok {
		e.inUse[m] = 0
	}
	answer := e.answerLoads
	e.mu.Unlock()
	if answer != nil {
		<-answer
	}
	return nil
}

// restart empties the engine, as a crash does.
func (e *fakeEngine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report.Boot += "+"
	clear(e.inUse)
}

// Unload implements plank.Engine.
func (e *fakeEngine) Unload(_ context.Context, m plank.Model, _ plank.Term) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders++
	if e.inUse[m] > 0 {
		e.t.Errorf("model %s evicted while in use", m)
	}
	delete(e.inUse, m)
	return nil
}

// Report implements plank.Engine.
func (e *fakeEngine) Report(context.Context) (plank.EngineReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reports++
	r := e.report
	for m := range e.inUse {
		r.Resident = append(r.Resident, m)
	}
	return r, nil
}

// countReports returns the number of requests for reports.
func (e *fakeEngine) countReports() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reports
}

func (e *fakeEngine) finish(id plank.RequestID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.release[id])
}

func (e *fakeEngine) counts() (orders, started int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders, len(e.started)
}

type unlimitedLoads struct{}

// Acquire implements runner.LoadLimiter.
func (unlimitedLoads) Acquire(context.Context) error { return nil }

func model(i int) plank.Model {
	return plank.Model{Adapter: plank.AdapterID(fmt.Sprint("ad-", i)), Version: "1"}
}

// newRunner returns the runner of an engine with two adapter slots, once the runner
// has a report of the engine.
func newRunner(t *testing.T, e *fakeEngine, q plank.Queue, validUntil time.Time, pinnedUntil time.Time) *runner.Runner {
	t.Helper()
	return newRunnerWithClock(t, plank.SystemClock{}, e, q, validUntil, pinnedUntil)
}

// newRunnerWithClock is like newRunner with a clock that the test may advance.
func newRunnerWithClock(t *testing.T, clock plank.Clock, e *fakeEngine, q plank.Queue, validUntil time.Time, pinnedUntil time.Time) *runner.Runner {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := runner.New(runner.Options{Endpoint: "e", AdapterSlots: 2, Batch: 4, Queue: q, Evictor: place.LowestValue{}, Order: order.HighestValue{}}, runner.Deps{
		Engine: e, Clock: clock, LoadLimiter: unlimitedLoads{}, Poison: poison.New(clock, nil), Log: logrus.NewEntry(log),
		ValidUntil: func() time.Time { return validUntil }, Copies: func(plank.Model) int { return 1 },
	}, 2, pinnedUntil)
	t.Cleanup(r.Close)
	waitFor(t, "up", func() bool { return r.Status().Up })
	return r
}

func waitFor(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !cond(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "not %s", what)
	}
}

// submit runs a request in the background. The channel receives its result.
func submit(r *runner.Runner, id string, m plank.Model, alone bool) chan error {
	out := make(chan error, 1)
	go func() {
		job := plank.Job{ID: plank.RequestID(id), Workspace: "w", Model: m, Deadline: time.Now().Add(time.Minute), Alone: alone}
		out <- r.Submit(context.Background(), job, func(plank.Chunk) error { return nil })
	}()
	return out
}

// farFuture is longer than any test takes.
const farFuture = 24 * time.Hour

// settleTime is enough for the runner to send an order that it should not send.
const settleTime = 300 * time.Millisecond

// TestNoOrderWithoutLease checks that an owner whose lease has expired dispatches
// requests of resident adapters but orders no load.
func TestNoOrderWithoutLease(t *testing.T) {
	e := newFakeEngine(t, model(1))
	r := newRunner(t, e, queue.NewFair(), time.Now().Add(-time.Second), time.Time{})
	submit(r, "cold", model(2), false)
	done := submit(r, "warm", model(1), false)
	waitFor(t, "running", func() bool { _, n := e.counts(); return n == 1 })
	e.finish("warm")
	assert.NilError(t, <-done)
	time.Sleep(settleTime)
	orders, _ := e.counts()
	assert.Equal(t, orders, 0)
}

// A jumpingClock is a clock that a test advances, as a pause of the process does.
type jumpingClock struct{ ahead atomic.Int64 }

// Now implements plank.Clock.
func (c *jumpingClock) Now() time.Time { return time.Now().Add(time.Duration(c.ahead.Load())) }

// TestPausedOwnerDispatchesNothing pauses an owner until its lease has run out. Another VM
// may own the engine then, so a request that waits, or comes, is not sent to it.
func TestPausedOwnerDispatchesNothing(t *testing.T) {
	e := newFakeEngine(t, model(1))
	clock := &jumpingClock{}
	r := newRunnerWithClock(t, clock, e, queue.NewFair(), time.Now().Add(5*time.Second), time.Time{})
	for i := range 4 { // fills the batch
		submit(r, fmt.Sprint("running", i), model(1), false)
	}
	waitFor(t, "running", func() bool { _, n := e.counts(); return n == 4 })
	waiting := submit(r, "waiting", model(1), false)
	waitFor(t, "queued", func() bool { return r.Status().Outstanding == 5 })
	clock.ahead.Store(int64(10 * time.Second))
	e.finish("running0")
	var refusal *plank.RefusalError
	assert.Assert(t, errors.As(<-waiting, &refusal))
	assert.Equal(t, refusal.Code, plank.CodeWrongOwner)
	assert.Assert(t, errors.As(<-submit(r, "late", model(1), false), &refusal))
	_, started := e.counts()
	assert.Equal(t, started, 4)
}

// An engine that had refused a request and asked for a pause got the requests that waited, new
// ones and requests for reports.
func TestEngineThatWantsAPauseGetsRequests(t *testing.T) {
	const pause = 1500 * time.Millisecond
	e := newFakeEngine(t, model(1))
	e.pauses = map[plank.RequestID]time.Duration{"refused": pause}
	r := newRunner(t, e, queue.NewFIFO(), time.Now().Add(time.Minute), time.Time{})
	for i := range 4 {
		submit(r, fmt.Sprint("running", i), model(1), false)
	}
	started := func() int {
		_, n := e.counts()
		return n
	}
	waitFor(t, "running", func() bool { return started() == 4 })
	refused := submit(r, "refused", model(1), false)
	waitFor(t, "queued", func() bool { return r.Status().Outstanding == 5 })
	waiting := submit(r, "waiting", model(1), false)
	waitFor(t, "queued", func() bool { return r.Status().Outstanding == 6 })
	begin := time.Now()
	e.finish("running0")
	var refusal *plank.RefusalError
	assert.Assert(t, errors.As(<-refused, &refusal))
	reports := e.countReports()
	for _, done := range []chan error{waiting, submit(r, "late", model(1), false)} {
		assert.Assert(t, errors.As(<-done, &refusal))
		assert.Assert(t, refusal.Ran == plank.NotRun && refusal.RetryAfter > 0 && refusal.RetryAfter <= pause, "%+v", refusal)
	}
	assert.Assert(t, time.Since(begin) < pause/2)
	time.Sleep(time.Until(begin.Add(pause - 100*time.Millisecond)))
	assert.Equal(t, started(), 5)
	assert.Assert(t, e.countReports() <= reports+1, "the engine was asked for %d reports", e.countReports()-reports)
	time.Sleep(time.Until(begin.Add(pause + 100*time.Millisecond)))
	submit(r, "afterwards", model(1), false)
	waitFor(t, "served again", func() bool { return started() == 6 })
}

// TestNoEvictionNearEndOfLease checks that no eviction is ordered shortly before the
// lease expires, since it might still be carried out under the next owner. Loads
// into free slots continue.
func TestNoEvictionNearEndOfLease(t *testing.T) {
	e := newFakeEngine(t, model(1))
	r := newRunner(t, e, queue.NewFair(), time.Now().Add(1500*time.Millisecond), time.Time{})
	submit(r, "second", model(2), false)
	waitFor(t, "loaded", func() bool { orders, _ := e.counts(); return orders == 1 })
	submit(r, "third", model(3), false)
	time.Sleep(settleTime)
	orders, _ := e.counts()
	assert.Equal(t, orders, 1)
}

// TestNoEvictionWhilePinned checks that a new owner evicts no adapter that requests
// of the previous owner may use.
func TestNoEvictionWhilePinned(t *testing.T) {
	e := newFakeEngine(t, model(1), model(2))
	r := newRunner(t, e, queue.NewFair(), time.Now().Add(farFuture), time.Now().Add(farFuture))
	submit(r, "cold", model(3), false)
	time.Sleep(settleTime)
	orders, _ := e.counts()
	assert.Equal(t, orders, 0)
	// Once a recent enough report shows that one of them is not in use, that one
	// may be evicted.
	e.mu.Lock()
	e.report.Serving = []plank.Model{model(1)}
	e.inUse[model(1)]++ // evicting model 1 would fail the test
	e.mu.Unlock()
	waitFor(t, "loaded", func() bool { orders, _ := e.counts(); return orders == 2 })
}

// TestNoEvictionInUse checks that with running requests on both slots, the load of a
// third adapter waits until one of them has ended.
func TestNoEvictionInUse(t *testing.T) {
	e := newFakeEngine(t, model(1), model(2))
	r := newRunner(t, e, queue.NewFair(), time.Now().Add(farFuture), time.Time{})
	one, two := submit(r, "one", model(1), false), submit(r, "two", model(2), false)
	waitFor(t, "running", func() bool { _, n := e.counts(); return n == 2 })
	three := submit(r, "three", model(3), false)
	time.Sleep(settleTime)
	orders, _ := e.counts()
	assert.Equal(t, orders, 0)
	e.finish("one")
	assert.NilError(t, <-one)
	waitFor(t, "third running", func() bool { _, n := e.counts(); return n == 3 })
	e.finish("three")
	assert.NilError(t, <-three)
	e.finish("two")
	assert.NilError(t, <-two)
}

// reportTime is enough for the runner to get a new report of the engine.
const reportTime = 1500 * time.Millisecond

// TestNoEvictionInUseAfterRestart lets requests begin on a restarted engine before
// the runner gets the report that tells of the restart. Their adapters stay in use.
func TestNoEvictionInUseAfterRestart(t *testing.T) {
	e := newFakeEngine(t)
	r := newRunner(t, e, queue.NewFair(), time.Now().Add(farFuture), time.Time{})
	e.restart()
	submit(r, "one", model(1), false)
	submit(r, "two", model(2), false)
	waitFor(t, "running", func() bool { _, n := e.counts(); return n == 2 })
	submit(r, "three", model(3), false)
	time.Sleep(reportTime)
	orders, _ := e.counts()
	assert.Equal(t, orders, 2)
}

// TestNoEvictionInUseAfterLateLoadAnswer lets a request begin on an adapter that the
// report of a restarted engine lists while the answer to the load is still awaited.
func TestNoEvictionInUseAfterLateLoadAnswer(t *testing.T) {
	e := newFakeEngine(t)
	r := newRunner(t, e, queue.NewFair(), time.Now().Add(farFuture), time.Time{})
	e.restart()
	e.answerLoads = make(chan struct{})
	submit(r, "one", model(1), false)
	waitFor(t, "running", func() bool { _, n := e.counts(); return n == 1 })
	close(e.answerLoads)
	submit(r, "two", model(2), false)
	waitFor(t, "both running", func() bool { _, n := e.counts(); return n == 2 })
	submit(r, "three", model(3), false)
	time.Sleep(settleTime)
	orders, _ := e.counts()
	assert.Equal(t, orders, 2)
}

// TestNoEvictionInUseAfterLateRefusal refuses two requests for a lost adapter, the
// second after the adapter was loaded again and another request uses it.
func TestNoEvictionInUseAfterLateRefusal(t *testing.T) {
	e := newFakeEngine(t, model(1), model(2))
	early, late := make(chan struct{}), make(chan struct{})
	e.refuse = map[plank.RequestID]chan struct{}{"early": early, "late": late}
	r := newRunner(t, e, queue.NewFair(), time.Now().Add(farFuture), time.Time{})
	submit(r, "other", model(2), false)
	submit(r, "early", model(1), false)
	lateResult := submit(r, "late", model(1), false)
	waitFor(t, "running", func() bool { _, n := e.counts(); return n == 3 })
	e.mu.Lock()
	delete(e.inUse, model(1))
	e.mu.Unlock()
	close(early)
	waitFor(t, "refused", func() bool { return r.Status().Outstanding == 2 })
	submit(r, "one", model(1), false)
	waitFor(t, "loaded again", func() bool { _, n := e.counts(); return n == 4 })
	close(late)
	assert.ErrorContains(t, <-lateResult, "not resident")
	submit(r, "more", model(1), false)
	waitFor(t, "next running", func() bool { _, n := e.counts(); return n == 5 })
	e.finish("more")
	submit(r, "three", model(3), false)
	time.Sleep(settleTime)
	orders, _ := e.counts()
	assert.Equal(t, orders, 1)
}

// TestNoEvictionInUseAfterCancel cancels a request that the engine ends some time
// after the connection was closed. Its adapter stays in use until then.
func TestNoEvictionInUseAfterCancel(t *testing.T) {
	e := newFakeEngine(t, model(1), model(2))
	e.endDelay = 200 * time.Millisecond
	r := newRunner(t, e, queue.NewFair(), time.Now().Add(farFuture), time.Time{})
	submit(r, "two", model(2), false)
	ctx, cancel := context.WithCancel(t.Context())
	one := make(chan error, 1)
	go func() {
		job := plank.Job{ID: "one", Workspace: "w", Model: model(1), Deadline: time.Now().Add(time.Minute)}
		one <- r.Submit(ctx, job, func(plank.Chunk) error { return nil })
	}()
	waitFor(t, "running", func() bool { _, n := e.counts(); return n == 2 })
	three := submit(r, "three", model(3), false)
	cancel()
	assert.ErrorIs(t, <-one, context.Canceled)
	waitFor(t, "third running", func() bool { _, n := e.counts(); return n == 3 })
	e.finish("three")
	assert.NilError(t, <-three)
}

// TestPendingLoadDelaysNoOthers checks that with the fair queue a request whose
// adapter is resident overtakes one that waits for a load. With the FIFO baseline
// it does not.
func TestPendingLoadDelaysNoOthers(t *testing.T) {
	for _, c := range []struct {
		queue       plank.Queue
		wantStarted int
	}{{queue.NewFair(), 1}, {queue.NewFIFO(), 0}} {
		e := newFakeEngine(t, model(1))
		r := newRunner(t, e, c.queue, time.Now().Add(-time.Second), time.Time{})
		submit(r, "cold", model(2), false)
		waitFor(t, "queued", func() bool { return r.Status().Outstanding == 1 })
		submit(r, "warm", model(1), false)
		time.Sleep(settleTime)
		_, started := e.counts()
		assert.Equal(t, started, c.wantStarted, c.queue.Name())
	}
}

// TestAloneStartsAlone checks that a request that must run alone, such as one suspected
// of a crash, waits for the running requests to end, and that no others start until
// its first chunk.
func TestAloneStartsAlone(t *testing.T) {
	e := newFakeEngine(t, model(1))
	r := newRunner(t, e, queue.NewFair(), time.Now().Add(farFuture), time.Time{})
	first := submit(r, "first", model(1), false)
	waitFor(t, "running", func() bool { _, n := e.counts(); return n == 1 })
	suspect := submit(r, "suspect", model(1), true)
	time.Sleep(settleTime)
	last := submit(r, "last", model(1), false)
	time.Sleep(settleTime)
	_, started := e.counts()
	assert.Equal(t, started, 1)
	e.finish("first")
	assert.NilError(t, <-first)
	waitFor(t, "suspect running", func() bool { _, n := e.counts(); return n == 2 })
	time.Sleep(settleTime)
	_, started = e.counts()
	assert.Equal(t, started, 2)
	e.finish("suspect")
	assert.NilError(t, <-suspect)
	waitFor(t, "last running", func() bool { _, n := e.counts(); return n == 3 })
	e.finish("last")
	assert.NilError(t, <-last)
}
