// Package runner dispatches requests to one engine and loads and evicts its
// adapters, on the VM that owns the engine. The owner's runner is the only user
// of the engine, so it knows which adapters are in use and never evicts those.
package runner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/health"
	"knapweedplank.org/plank/internal/poison"
)

// A LoadLimiter limits the adapter loads of the whole fleet.
type LoadLimiter interface {
	// Acquire blocks until one load may start.
	Acquire(ctx context.Context) error
}

// Options holds the settings that differ between endpoints and experiments.
type Options struct {
	Endpoint     plank.EndpointID
	AdapterSlots int // number of adapters that can be resident at once
	Batch        int // number of requests that run at once
	Queue        plank.Queue
	Evictor      plank.Evictor
	Order        plank.LoadOrder
}

// Deps holds the dependencies of a Runner.
type Deps struct {
	Engine      plank.Engine
	Clock       plank.Clock
	LoadLimiter LoadLimiter
	Poison      *poison.Table
	Log         *logrus.Entry
	// ValidUntil returns the time at which the VM's lease, and with it the claim
	// on the endpoint, expires.
	ValidUntil func() time.Time
	// Copies returns the number of endpoints on which a model is known to be
	// resident.
	Copies func(plank.Model) int
	// ObserveWait, if not nil, is called for each dispatched request.
	ObserveWait func(Wait)
}

// A Wait is the time that a request waited on an endpoint before its dispatch.
type Wait struct {
	// Resident is set when the model was resident as the request arrived.
	Resident bool
	// Load is the time until the model was loaded; 0 if it was resident.
	Load time.Duration
	// Queue is the remaining time until the dispatch.
	Queue time.Duration
}

// The time constants and limits of a runner.
const (
	// orderMargin is the time before the claim expires after which no eviction
	// is ordered, so that each order ends before another VM may own the engine.
	orderMargin = 2 * time.Second
	// unloadTimeout must be less than orderMargin.
	unloadTimeout = time.Second
	loadTimeout   = 15 * time.Second
	// cancelTimeout is the time within which an engine ends a request whose connection
	// was closed.
	cancelTimeout = time.Second
	// reportInterval is the pause between requests for the engine's report.
	reportInterval = time.Second
	// maxReportAge is the longest time by which a report may lag behind the
	// engine's actual state.
	maxReportAge = 2 * time.Second
	// maxInactivity is how long the runner may do nothing, at most two report intervals
	// and a request for a report, before the process counts as paused.
	maxInactivity = 4 * time.Second
	// drainPatienceDivisor divides the time from a request's arrival to its
	// deadline. After that part of it a slot in use is drained, if the request
	// still waits for a load.
	drainPatienceDivisor = 4
	// aloneDelay is the time that a request that must run alone waits before
	// the dispatch of other requests stops.
	aloneDelay = 100 * time.Millisecond
	// maxLoadFailures is the number of consecutive failed loads of a model after
	// which the requests that wait for it are refused.
	maxLoadFailures = 2
)

// A Runner queues and dispatches the requests of one engine. It is safe for
// concurrent use.
type Runner struct {
	opts Options
	deps Deps

	mu   sync.Mutex
	term plank.Term
	// pinnedUntil is the time until which requests of a previous owner may run on
	// the models that were resident when this runner started.
	pinnedUntil time.Time
	slots       map[plank.Model]*slot
	// loading is the model that is being loaded, or the zero Model.
	loading      plank.Model
	loadFailures map[plank.Model]int // consecutive failures
	queue        plank.Queue
	waiting      map[uint64]*request
	running      map[uint64]*request
	lastHandle   uint64
	// exclusive is the running request beside which no other is dispatched until
	// its first chunk, or nil.
	exclusive  *request
	boot       plank.BootID // of the last report; empty before the first
	reportedAt time.Time    // when the last report was requested
	up         bool         // the engine answers requests for reports
	leaving    bool         // the endpoint is draining and accepts no new requests
	restarts   int64        // of the engine, as far as reports told
	// pauses holds the end of the pause that the engine asked for. New requests are refused
	// until then, and it gets no requests for reports.
	pauses  *health.Pauses
	closing bool // this VM releases the endpoint
	// activeAt is when the runner last did anything. unconfirmed is set if the lease
	// expired in a pause of the process, so that another VM may own the engine.
	activeAt    time.Time
	unconfirmed bool
	lastOrder   time.Time           // when the last load or eviction was ordered or ended
	createdAt   time.Time           // time of the call of New
	suspects    []plank.Fingerprint // requests that ran as a stream broke
	crashCheck  *crashCheck         // the check in progress, or nil
	idle        chan struct{}       // closed once closing is set and nothing runs or loads

	wakeLoader chan struct{} // signals loadLoop that a model waits to be loaded
	reportNow  chan struct{} // requests a report before reportInterval has passed
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// A slot is an adapter slot that a resident model takes.
type slot struct {
	inUse    int     // number of running requests
	uses     float64 // decayed number of uses as of lastUse
	lastUse  time.Time
	loadedAt time.Time
	// pinned is set when the slot may still serve requests of a previous owner.
	pinned bool
	// keepUntil is when a request that was given up counts as ended on the engine.
	keepUntil time.Time
	// draining is set when the slot gets no new requests, so that its model can be
	// evicted.
	draining bool
}

// A request is a waiting or running request.
type request struct {
	handle    uint64
	job       plank.Job
	arrivedAt time.Time
	// residentAt is the time at which the model became resident, arrivedAt if it was
	// resident on arrival, or zero if it is still to be loaded.
	residentAt time.Time
	decision   chan error // receives nil on dispatch, or else the refusal
	run        plank.Run  // of the engine to which the request was dispatched
	// slot is the slot that the running request uses. It does not change if the
	// model is lost and loaded again meanwhile.
	slot *slot
	// stop cancels the running request when the endpoint is down.
	stop context.CancelCauseFunc
}

// errDown is the cause with which requests are cancelled when their endpoint is
// down.
var errDown = errors.New("the endpoint no longer answers")

// New starts the runner of an endpoint that is owned under the given term.
// pinnedUntil is the time until which requests of a previous owner may run.
func New(opts Options, deps Deps, term plank.Term, pinnedUntil time.Time) *Runner {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Runner{
		opts: opts, deps: deps, term: term, pinnedUntil: pinnedUntil,
		slots: make(map[plank.Model]*slot), loadFailures: make(map[plank.Model]int),
		queue: opts.Queue, lastOrder: deps.Clock.Now(), createdAt: deps.Clock.Now(), activeAt: deps.Clock.Now(), waiting: make(map[uint64]*request), running: make(map[uint64]*request),
		pauses: health.NewPauses(deps.Clock), idle: make(chan struct{}), wakeLoader: make(chan struct{}, 1), reportNow: make(chan struct{}, 1), cancel: cancel,
	}
	r.goroutines.Add(2)
	go func() {
		defer r.goroutines.Done()
		r.pollReports(ctx)
	}()
	go func() {
		defer r.goroutines.Done()
		r.loadLoop(ctx)
	}()
	return r
}

// A BrokenStreamError reports that the connection to an engine broke while the
// engine ran a job.
type BrokenStreamError struct {
	Endpoint plank.EndpointID
	// EngineAlive is set when the engine has not crashed, so that the job is not
	// suspected of crashing it.
	EngineAlive bool
	Err         error
}

// Error returns the message.
func (e *BrokenStreamError) Error() string {
	return fmt.Sprintf("endpoint %s broke off (alive %t): %v", e.Endpoint, e.EngineAlive, e.Err)
}

// Unwrap returns the cause.
func (e *BrokenStreamError) Unwrap() error { return e.Err }

// enqueue adds a job to the queue, or returns a refusal.
func (r *Runner) enqueue(job plank.Job, stop context.CancelCauseFunc) (*request, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checkPause()
	switch {
	case r.closing, r.unconfirmed:
		return nil, plank.Refuse(plank.CodeWrongOwner, "endpoint %s changes its owner", r.opts.Endpoint)
	case r.leaving:
		return nil, plank.Refuse(plank.CodeNoEndpoint, "endpoint %s is leaving", r.opts.Endpoint)
	case !r.up:
		return nil, plank.Refuse(plank.CodeNoEndpoint, "endpoint %s is down", r.opts.Endpoint)
	case r.pauses.IsPaused(r.run()):
		return nil, r.pauseRefusal()
	}
	r.lastHandle++
	req := &request{handle: r.lastHandle, job: job, arrivedAt: r.deps.Clock.Now(), decision: make(chan error, 1), stop: stop}
	r.waiting[req.handle] = req
	if r.slots[job.Model] != nil {
		req.residentAt = req.arrivedAt
	}
	r.queue.Push(req.handle, plank.QueueItem{
		Workspace: job.Workspace, Weight: job.Weight, Cost: job.Cost, Arrived: req.arrivedAt, Deadline: job.Deadline,
	})
	r.schedule()
	return req, nil
}

// abandon removes a waiting request from the queue. It reports false if the
// request no longer waits.
func (r *Runner) abandon(req *request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.waiting[req.handle]; !ok {
		return false
	}
	r.queue.Remove(req.handle)
	delete(r.waiting, req.handle)
	r.schedule()
	return true
}

// keepSlot keeps the slot of a request that is given up while the engine runs it:
// the engine ends the request only when it notices that the connection is closed.
func (r *Runner) keepSlot(req *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	req.slot.keepUntil = r.deps.Clock.Now().Add(cancelTimeout)
}

// finish removes a running request.
func (r *Runner) finish(req *request, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.running[req.handle]; !ok {
		return
	}
	delete(r.running, req.handle)
	if r.exclusive == req {
		r.exclusive = nil
	}
	req.slot.inUse--
	req.slot.lastUse = r.deps.Clock.Now()
	if err != nil {
		r.deps.Log.WithFields(logrus.Fields{"request": req.job.ID, "endpoint": r.opts.Endpoint}).WithError(err).Info("runner: request ended early")
	}
	r.schedule()
	r.closeIfIdle()
}

// endExclusive lets other requests run beside one that had to start alone.
func (r *Runner) endExclusive(req *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.exclusive == req {
		r.exclusive = nil
		r.schedule()
	}
}

// dropSlot removes the slot of a request whose model the engine reports as not
// resident, and requests a report at once, since the engine may have lost others as
// well. A slot of the same model that was loaded meanwhile is kept.
func (r *Runner) dropSlot(req *request) {
	r.mu.Lock()
	if r.slots[req.job.Model] == req.slot {
		delete(r.slots, req.job.Model)
	}
	r.mu.Unlock()
	select {
	case r.reportNow <- struct{}{}:
	default:
	}
}

// run returns the engine's current run. The lock is held.
func (r *Runner) run() plank.Run { return plank.Run{Endpoint: r.opts.Endpoint, Born: r.restarts} }

// startPause refuses waiting and new requests until the end of the pause that the engine
// asked for as it refused req.
func (r *Runner) startPause(req *request, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.pauses.RecordPause(req.run, until) || req.run != r.run() {
		return
	}
	r.deps.Log.WithFields(logrus.Fields{
		"endpoint": r.opts.Endpoint, "request": req.job.ID, "pause_ms": until.Sub(r.deps.Clock.Now()).Milliseconds(),
	}).Info("runner: the engine asks for a pause, waiting requests are refused")
	r.refuseWaiting(r.pauseRefusal())
}

// pauseRefusal returns the refusal of a request during a pause. The lock is held.
func (r *Runner) pauseRefusal() *plank.RefusalError {
	refusal := plank.Refuse(plank.CodeNoEndpoint, "endpoint %s wants no requests for now", r.opts.Endpoint)
	refusal.RetryAfter = r.pauses.PausedUntil(r.run()).Sub(r.deps.Clock.Now())
	return refusal
}

// SetLeaving sets whether the endpoint is draining. A draining endpoint accepts
// no new requests, and those that wait are refused.
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

// Drain prepares the release of the endpoint: new and waiting requests are
// refused, and running ones continue. The channel is closed once nothing runs or
// loads.
func (r *Runner) Drain() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closing = true
	r.refuseWaiting(plank.Refuse(plank.CodeWrongOwner, "endpoint %s changes its owner", r.opts.Endpoint))
	r.closeIfIdle()
	return r.idle
}

// closeIfIdle closes idle if the runner is closing and nothing runs or loads. The
// lock is held.
func (r *Runner) closeIfIdle() {
	if !r.closing || len(r.running) > 0 || r.loading != (plank.Model{}) {
		return
	}
	select {
	case <-r.idle:
	default:
		close(r.idle)
	}
}

// refuseWaiting refuses all waiting requests with err. The lock is held.
func (r *Runner) refuseWaiting(err error) {
	for h, req := range r.waiting {
		r.queue.Remove(h)
		delete(r.waiting, h)
		req.decision <- err
	}
}

// Close stops the runner's goroutines. Running requests continue until their
// contexts end.
func (r *Runner) Close() {
	r.Drain()
	r.cancel()
	r.goroutines.Wait()
}

// A Status is the state of a runner, for routing and heartbeats.
type Status struct {
	Endpoint    plank.EndpointID
	Term        plank.Term
	Up          bool
	Leaving     bool
	Outstanding int // number of waiting and running requests
	Loads       int // number of models in Loading
	Resident    []plank.Model
	Loading     []plank.Model // requested models that are not resident
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
	pending := make(map[plank.Model]bool)
	for _, req := range r.waiting {
		if r.slots[req.job.Model] == nil {
			pending[req.job.Model] = true
		}
	}
	for m := range pending {
		st.Loading = append(st.Loading, m)
	}
	st.Loads = len(pending)
	return st
}
