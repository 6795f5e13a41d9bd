// Package runner defines the owner's side of one engine: the only place from
// which requests are dispatched to it and from which adapters are loaded and
// evicted. Because all use of the engine passes here, the runner knows which
// adapters serve and never evicts those.
package runner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/poison"
)

// A LoadLimiter bounds the loads of the whole fleet.
type LoadLimiter interface {
	// Acquire waits for permission to begin one load.
	Acquire(ctx context.Context) error
}

// Options are what differs between endpoints and experiments.
type Options struct {
	Endpoint     plank.EndpointID
	AdapterSlots int // adapters held at once
	Batch        int // requests run at once
	Queue        plank.Queue
	Evictor      plank.Evictor
	Order        plank.LoadOrder
}

// Deps are what a runner works with.
type Deps struct {
	Engine      plank.Engine
	Clock       plank.Clock
	LoadLimiter LoadLimiter
	Poison      *poison.Table
	Log         *logrus.Entry
	// ValidUntil returns until when the VM's lease, and so the claim, holds.
	ValidUntil func() time.Time
	// Copies returns how many endpoints hold a model, as known.
	Copies func(plank.Model) int
	// ObserveWait, if not nil, is told how long each dispatched request waited.
	ObserveWait func(Wait)
}

// A Wait is how long a request waited on an endpoint before its dispatch.
type Wait struct {
	// Resident is set when the model was loaded as the request came.
	Resident bool
	// Load is the time until the model was loaded, 0 for a resident one.
	Load time.Duration
	// Queue is the rest of the time until the dispatch.
	Queue time.Duration
}

// The times of a runner.
const (
	// orderMargin is how long before the end of the claim the last eviction
	// may be ordered: the order has ended before another owner may begin.
	orderMargin = 2 * time.Second
	// unloadTimeout is less than orderMargin.
	unloadTimeout = time.Second
	loadTimeout   = 15 * time.Second
	// reportEvery is the pause between load reports.
	reportEvery = time.Second
	// reportAge is the oldest that a load report may be.
	reportAge = 2 * time.Second
	// drainAfter is the part of its patience that a request waits for a load
	// before a slot that is in use is drained for it.
	drainAfter = 4
	// aloneAfter is how long a request that must run alone waits before it
	// holds up all others.
	aloneAfter = 100 * time.Millisecond
	// maxLoadFailures is after how many failed loads in a row the requests
	// that wait for the model are sent elsewhere.
	maxLoadFailures = 2
)

// A Runner is safe for concurrent use.
type Runner struct {
	opts Options
	deps Deps

	mu   sync.Mutex
	term plank.Term
	// pinned is until when requests of an earlier owner may still run on the
	// models that were loaded as this runner began.
	pinned time.Time
	slots  map[plank.Model]*slot
	// loading is the model whose load is under way, if any.
	loading  plank.Model
	failures map[plank.Model]int
	queue    plank.Queue
	waiting  map[uint64]*waiter
	running  map[uint64]*waiter
	next     uint64
	// exclusive is the running request that must be alone until its first
	// chunk, or nil.
	exclusive *waiter
	boot      plank.BootID
	up        bool
	leaving   bool // the endpoint takes no new work
	closing   bool // this VM gives the endpoint up
	lastOrder time.Time
	began     time.Time           // when this runner took the engine over
	broken    []plank.Fingerprint // ran as the connection broke
	check     *crashCheck         // under way, or nil
	idle      chan struct{}       // closed once closing and nothing runs

	wake    chan struct{} // tells the loader of a want
	lookNow chan struct{} // asks for a load report at once
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

// A slot is a resident model.
type slot struct {
	inUse    int
	uses     float64 // aged count, as of lastUse
	lastUse  time.Time
	loadedAt time.Time
	// foreign slots may still serve requests of an earlier owner.
	foreign bool
	// draining slots get no new requests, so that they can be evicted.
	draining bool
}

// A waiter is a request that waits or runs.
type waiter struct {
	handle  uint64
	job     plank.Job
	arrived time.Time
	// loaded is when the model was first seen loaded; zero before.
	loaded  time.Time
	granted chan error // holds nil once the request may run
	// slot is what the running request uses. It stays the same if the model is
	// lost and loaded again meanwhile.
	slot *slot
	// stop ends the running request when the endpoint is found to be down.
	stop context.CancelCauseFunc
}

// errDown is the cause with which requests on a silent endpoint end.
var errDown = errors.New("the endpoint no longer answers")

// New returns the runner of an endpoint owned under the given term. pinned is
// until when requests of an earlier owner may run.
func New(opts Options, deps Deps, term plank.Term, pinned time.Time) *Runner {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Runner{
		opts: opts, deps: deps, term: term, pinned: pinned,
		slots: make(map[plank.Model]*slot), failures: make(map[plank.Model]int),
		queue: opts.Queue, lastOrder: deps.Clock.Now(), began: deps.Clock.Now(), waiting: make(map[uint64]*waiter), running: make(map[uint64]*waiter),
		idle: make(chan struct{}), wake: make(chan struct{}, 1), lookNow: make(chan struct{}, 1), cancel: cancel,
	}
	r.done.Add(2)
	go func() {
		defer r.done.Done()
		r.watch(ctx)
	}()
	go func() {
		defer r.done.Done()
		r.loadLoop(ctx)
	}()
	return r
}

// A BrokenStreamError reports that the connection to an engine broke while it ran a
// job.
type BrokenStreamError struct {
	Endpoint plank.EndpointID
	// EngineAlive is set when the engine goes on, so that it was not the job that
	// broke it.
	EngineAlive bool
	Err         error
}

// Error returns the message.
func (e *BrokenStreamError) Error() string {
	return fmt.Sprintf("endpoint %s broke off (alive %t): %v", e.Endpoint, e.EngineAlive, e.Err)
}

// Unwrap returns the cause.
func (e *BrokenStreamError) Unwrap() error { return e.Err }

// enqueue takes a job in.
func (r *Runner) enqueue(job plank.Job, stop context.CancelCauseFunc) (*waiter, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.closing:
		return nil, plank.Refuse(plank.CodeWrongOwner, "endpoint %s changes its owner", r.opts.Endpoint)
	case r.leaving:
		return nil, plank.Refuse(plank.CodeNoEndpoint, "endpoint %s is leaving", r.opts.Endpoint)
	case !r.up:
		return nil, plank.Refuse(plank.CodeNoEndpoint, "endpoint %s is down", r.opts.Endpoint)
	}
	r.next++
	w := &waiter{handle: r.next, job: job, arrived: r.deps.Clock.Now(), granted: make(chan error, 1), stop: stop}
	r.waiting[w.handle] = w
	if r.slots[job.Model] != nil {
		w.loaded = w.arrived
	}
	r.queue.Push(w.handle, plank.QueueItem{
		Workspace: job.Workspace, Weight: job.Weight, Cost: job.Cost, Arrived: w.arrived, Deadline: job.Deadline,
	})
	r.schedule()
	return w, nil
}

// abandon takes a waiting request out. It reports false if it was granted.
func (r *Runner) abandon(w *waiter) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.waiting[w.handle]; !ok {
		return false
	}
	r.queue.Remove(w.handle)
	delete(r.waiting, w.handle)
	r.schedule()
	return true
}

// finish takes a running request out.
func (r *Runner) finish(w *waiter, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.running[w.handle]; !ok {
		return
	}
	delete(r.running, w.handle)
	if r.exclusive == w {
		r.exclusive = nil
	}
	w.slot.inUse--
	w.slot.lastUse = r.deps.Clock.Now()
	if err != nil {
		r.deps.Log.WithFields(logrus.Fields{"request": w.job.ID, "endpoint": r.opts.Endpoint}).WithError(err).Info("runner: request ended early")
	}
	r.schedule()
	r.checkIdle()
}

// endExclusive lets others run beside a request that had to be alone.
func (r *Runner) endExclusive(w *waiter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.exclusive == w {
		r.exclusive = nil
		r.schedule()
	}
}

// dropSlot forgets a model that the engine says it does not hold, and has the
// engine asked at once what else it lost.
func (r *Runner) dropSlot(m plank.Model) {
	r.mu.Lock()
	delete(r.slots, m)
	r.mu.Unlock()
	select {
	case r.lookNow <- struct{}{}:
	default:
	}
}

// SetLeaving stops new work for an endpoint that is going away.
func (r *Runner) SetLeaving(leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving == leaving {
		return
	}
	r.leaving = leaving
	if leaving {
		r.refuseWaiting(plank.Refuse(plank.CodeNoEndpoint, "endpoint %s is leaving", r.opts.Endpoint))
	}
}

// Drain gives the endpoint up: new and waiting requests are sent elsewhere,
// and running ones end. The channel is closed when nothing runs any more.
func (r *Runner) Drain() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closing = true
	r.refuseWaiting(plank.Refuse(plank.CodeWrongOwner, "endpoint %s changes its owner", r.opts.Endpoint))
	r.checkIdle()
	return r.idle
}

// checkIdle closes idle once a closing runner runs nothing. The lock is held.
func (r *Runner) checkIdle() {
	if !r.closing || len(r.running) > 0 || r.loading != (plank.Model{}) {
		return
	}
	select {
	case <-r.idle:
	default:
		close(r.idle)
	}
}

// refuseWaiting sends all waiting requests away. The lock is held.
func (r *Runner) refuseWaiting(err error) {
	for h, w := range r.waiting {
		r.queue.Remove(h)
		delete(r.waiting, h)
		w.granted <- err
	}
}

// Close stops the runner's goroutines. Running requests end by their contexts.
func (r *Runner) Close() {
	r.Drain()
	r.cancel()
	r.done.Wait()
}

// A Status is a runner's state for routing and heartbeats.
type Status struct {
	Endpoint    plank.EndpointID
	Term        plank.Term
	Up          bool
	Leaving     bool
	Outstanding int
	Loads       int // models that wait for a load
	Resident    []plank.Model
	Loading     []plank.Model
}

// Status returns the runner's state.
func (r *Runner) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	st := Status{
		Endpoint: r.opts.Endpoint, Term: r.term, Up: r.up, Leaving: r.leaving || r.closing,
		Outstanding: len(r.waiting) + len(r.running),
	}
	for m := range r.slots {
		st.Resident = append(st.Resident, m)
	}
	wants := make(map[plank.Model]bool)
	for _, w := range r.waiting {
		if r.slots[w.job.Model] == nil {
			wants[w.job.Model] = true
		}
	}
	for m := range wants {
		st.Loading = append(st.Loading, m)
	}
	st.Loads = len(wants)
	return st
}
