package grant

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/cold"
	"knapweedplank.org/plank/internal/pace"
	"knapweedplank.org/plank/internal/wire"
)

// Timing of a scheduler.
const (
	// orderTimeout is many times an engine's usual response time of a few
	// milliseconds. An order without a response is repeated.
	orderTimeout  = 90 * time.Millisecond
	statusTimeout = 600 * time.Millisecond
	// maxSleep is the maximum time between two steps.
	maxSleep = 250 * time.Millisecond
	// idleSleep is the same for a VM that holds no lease.
	idleSleep = time.Second
	// unconfirmedRetry is the time between checks whether the leases were confirmed.
	unconfirmedRetry = 20 * time.Millisecond
	// waitLogInterval is the time between log lines on what calls wait for.
	waitLogInterval = time.Second
)

// Deps are the dependencies of a Scheduler.
type Deps struct {
	Self       plank.VMID
	Controller plank.EngineController
	Evictor    plank.Evictor
	Clock      plank.Clock
	Log        *logrus.Entry
	// NewestVersion returns the newest announced version of an adapter.
	NewestVersion func(plank.AdapterRef) plank.VersionNumber
	// SupersededAt returns when the first version of an adapter that is newer than the
	// given one became known; the zero time if none is known.
	SupersededAt func(plank.AdapterRef, plank.VersionNumber) time.Time
	// InUseElsewhere reports whether other VMs have calls on an adapter of an engine.
	InUseElsewhere func(plank.EndpointID, plank.AdapterRef) bool
	// RecentAdapters returns the adapters that an engine held recently, the latest
	// last.
	RecentAdapters func(plank.Instance) []plank.AdapterRef
	// RemoteColdLoads returns the number of cold loads that other VMs have in
	// progress.
	RemoteColdLoads func() int
	// Contended is set if loads go first to the calls that gain most by them.
	Contended bool
	// Health returns the fraction of an engine's recent calls that failed, and
	// whether the engine should get no calls.
	Health func(plank.EndpointID) (failRate float64, avoid bool)
	// PausedUntil returns the time until which a run of an engine wants no requests of this
	// VM, or the zero time. Meanwhile it gets no orders.
	PausedUntil func(plank.Run) time.Time
	// IsOutOfService reports whether the operators took a failure domain out of service. Its
	// engines get no calls, no orders and no status requests meanwhile. Nil for none.
	IsOutOfService func(plank.DomainID) bool
	// Cold holds which engines are cold; nil if none ever is. ColdBound limits their requests.
	Cold      *cold.Table
	ColdBound cold.Bound
	// Paces holds the learned paces of engines; nil if none are learned.
	Paces *pace.Table
	// CountOrder is called with the result of each order.
	CountOrder func(unload bool, result string)
	// PublishColdLoads publishes to other VMs how many cold loads this VM has in
	// progress.
	PublishColdLoads func(n int)
	// PublishState publishes the state of an engine to other VMs; nil withdraws it.
	PublishState func(id plank.EndpointID, s *wire.EngineState)
	// IsUnconfirmed reports whether the process was paused and its leases were not checked
	// since. Meanwhile no orders are given and no calls granted.
	IsUnconfirmed func() bool
	// ReportFenced is called when an engine refused an order of the given term
	// because it has seen a higher one.
	ReportFenced func(domain plank.DomainID, term plank.Term)
	// LearnsCost reports whether the estimates for a service's calls include what engines
	// keep of prompts; nil for no service.
	LearnsCost func(plank.ServiceID) bool
}

// A Scheduler runs the engines of the domains whose dispatch lease this VM holds.
// Its methods are safe for concurrent use; its state belongs to one goroutine.
type Scheduler struct {
	deps Deps
	ctx  context.Context
	cmds chan func()

	directories directories

	// The fields below are accessed only by the run goroutine.
	engines       map[plank.EndpointID]*Engine
	sorted        []*Engine // engines, sorted by ID
	fleetSize     int       // number of engines in the fleet
	publishedCold int       // cold loads, as last published
	cold          coldLimiter
	nextLogAt     time.Time // of the next log line on waiting calls
	changed       map[plank.EndpointID]bool
	nextPacesAt   time.Time // of the next check of the published paces
}

// A NotHeldError reports that this VM is not the lease holder for the engine.
type NotHeldError struct {
	Endpoint plank.EndpointID
}

// Error implements error.
func (e *NotHeldError) Error() string { return "not the holder of " + string(e.Endpoint) }

// NewScheduler starts a scheduler without engines. It stops when ctx is done.
func NewScheduler(ctx context.Context, deps Deps) *Scheduler {
	s := &Scheduler{
		deps: deps, ctx: ctx, cmds: make(chan func(), 64),
		engines: make(map[plank.EndpointID]*Engine), changed: make(map[plank.EndpointID]bool),
	}
	go func() { s.run() }()
	return s
}

func (s *Scheduler) run() {
	timer := time.NewTimer(maxSleep)
	defer timer.Stop()
	for {
		select {
		case cmd := <-s.cmds:
			cmd()
			for more := true; more; {
				select {
				case cmd := <-s.cmds:
					cmd()
				default:
					more = false
				}
			}
		case <-timer.C:
		case <-s.ctx.Done():
			return
		}
		timer.Reset(s.step())
	}
}

// step processes all engines and returns the time until the next step is due.
func (s *Scheduler) step() time.Duration {
	if len(s.engines) == 0 && len(s.changed) == 0 && s.publishedCold == 0 {
		return idleSleep
	}
	if s.deps.IsUnconfirmed() {
		return unconfirmedRetry
	}
	now := s.deps.Clock.Now()
	wait := maxSleep
	here, elsewhere := s.coldLoads(), s.deps.RemoteColdLoads()
	s.cold.adjust(here+elsewhere, now)
	mayLoadCold := func() bool {
		if mayStartColdLoad(s.cold.current(), len(s.sorted), s.fleetSize, here, elsewhere) {
			return true
		}
		s.cold.refused = true
		return false
	}
	s.clearEvacuated(now)
	s.moveWaiting(now, mayLoadCold())
	if !now.Before(s.nextLogAt) {
		s.nextLogAt = now.Add(waitLogInterval)
		s.logWaiting(now)
	}
	for _, e := range s.byUrgency(now) {
		if s.stepEngine(e, now, mayLoadCold) {
			s.changed[e.inst.ID] = true
		}
		if e.coldOrder {
			here = s.coldLoads()
		}
		if !e.busy && !e.isPaused(now) {
			wait = min(wait, max(time.Millisecond, e.nextDue(now).Sub(now)))
		}
	}
	s.publishPaces(now)
	for id := range s.changed {
		if e := s.engines[id]; e != nil {
			s.deps.PublishState(id, e.wireState(now))
		} else {
			s.deps.PublishState(id, nil)
		}
	}
	clear(s.changed)
	if here != s.publishedCold {
		s.publishedCold = here
		s.deps.PublishColdLoads(here)
	}
	return wait
}

// byUrgency returns the engines with the most urgent calls first, so that these get
// the cold loads that the limit allows.
func (s *Scheduler) byUrgency(now time.Time) []*Engine {
	var waiting, rest []*Engine
	for _, e := range s.sorted {
		if len(e.queue) > 0 {
			waiting = append(waiting, e)
		} else {
			rest = append(rest, e)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *Engine) int { return a.queue[0].compare(b.queue[0], now) })
	return append(waiting, rest...)
}

// coldLoads counts the cold loads in progress on all engines.
func (s *Scheduler) coldLoads() int {
	n, now := 0, s.deps.Clock.Now()
	for _, e := range s.sorted {
		n += e.coldLoads(now)
	}
	return n
}

// stepEngine admits queued calls and starts the next action. It reports whether
// the length of the queue changed.
func (s *Scheduler) stepEngine(e *Engine, now time.Time, mayLoadCold func() bool) bool {
	before, turned := len(e.queue), e.updateCold(now)
	e.admitQueued(now)
	if a, ok := e.nextAction(now, mayLoadCold); ok {
		s.execute(e, a)
	}
	return before != len(e.queue) || turned
}

// moveWaiting moves queued calls to engines that have capacity for them.
func (s *Scheduler) moveWaiting(now time.Time, mayLoadCold bool) {
	if !slices.ContainsFunc(s.sorted, func(e *Engine) bool { return len(e.queue) > 0 }) {
		return
	}
	for _, m := range planMoves(s.sorted, now, mayLoadCold) {
		s.reassign(m.res, m.to, "another engine has room")
	}
}

// reassign moves a reservation to the queue of another engine.
func (s *Scheduler) reassign(res *reservation, to *Engine, reason string) {
	s.deps.Log.WithFields(logrus.Fields{
		"request": res.ID, "adapter": res.Adapter.String(), "from": res.engine.inst.ID, "endpoint": to.inst.ID, "queued": len(res.engine.queue),
		"places": len(to.slots), "reason": reason,
	}).Info("grant: moved")
	s.changed[res.engine.inst.ID], s.changed[to.inst.ID] = true, true
	res.requeueAt(to)
}

// removeEngine removes an engine. Its queued calls move to other engines if
// possible and are refused otherwise.
func (s *Scheduler) removeEngine(e *Engine, reason string) {
	delete(s.engines, e.inst.ID)
	s.sortEngines()
	now := s.deps.Clock.Now()
	for _, res := range slices.Clone(e.queue) {
		if to := bestEngine(s.sorted, res, now, func(o *Engine) bool { return o.isReady() && !o.isOut() }); to != nil {
			s.reassign(res, to, reason)
		}
	}
	e.refuseQueued(reason)
}

// sortEngines rebuilds the sorted list of engines from the map.
func (s *Scheduler) sortEngines() {
	s.sorted = s.sorted[:0]
	for _, id := range slices.Sorted(maps.Keys(s.engines)) {
		s.sorted = append(s.sorted, s.engines[id])
	}
	s.directories.publish(s.sorted)
}

// execute performs an action in a new goroutine and posts its result to the run
// goroutine.
func (s *Scheduler) execute(e *Engine, a Action) {
	inst := e.inst
	go func() {
		if a.ReadStatus {
			ctx, cancel := context.WithTimeout(s.ctx, statusTimeout)
			defer cancel()
			status, err := s.deps.Controller.Status(ctx, inst)
			s.post(func() { s.handleStatus(e, status, err) })
			return
		}
		ctx, cancel := context.WithTimeout(s.ctx, orderTimeout)
		defer cancel()
		result, err := s.deps.Controller.Order(ctx, inst, *a.Order)
		s.post(func() { s.handleOrderResult(e, *a.Order, result, err) })
	}()
}

func (s *Scheduler) handleStatus(e *Engine, status plank.EngineStatus, err error) {
	if err == nil && !status.Born.Equal(e.inst.Born) && status.Born.UnixMilli() > 0 {
		err = errors.New("response is from another start of the engine")
	}
	wasKnown := e.statusKnown
	e.handleStatus(status, err, s.deps.Clock.Now())
	s.changed[e.inst.ID] = true
	switch {
	case err != nil:
		s.deps.Log.WithField("endpoint", e.inst.ID).WithError(err).Warn("grant: engine status not read")
	case !wasKnown && e.statusKnown:
		s.deps.Log.WithFields(logrus.Fields{
			"endpoint": e.inst.ID, "seq": e.seq, "bases": len(e.bases), "adapters": len(e.slots), "running": status.Running,
		}).Info("grant: state of an engine read")
	}
}

func (s *Scheduler) handleOrderResult(e *Engine, o plank.Order, result plank.OrderResult, err error) {
	now := s.deps.Clock.Now()
	fenced := e.handleOrderResult(o, result, err, now)
	if e.coldLoadTook > 0 {
		s.cold.recordLoad(e.coldLoadTook, now)
	}
	s.changed[e.inst.ID] = true
	log := s.deps.Log.WithFields(logrus.Fields{
		"endpoint": e.inst.ID, "adapter": o.Target.Adapter.String(), "version": o.Target.Version, "unload": o.Unload,
		"expect": o.Expect, "fence": o.Fence.Term, "result": result,
	})
	if err != nil {
		log.WithError(err).Warn("grant: order without an answer")
		s.deps.CountOrder(o.Unload, "unanswered")
	} else {
		log.Info("grant: order")
		s.deps.CountOrder(o.Unload, string(result))
	}
	if fenced && s.engines[e.inst.ID] == e {
		s.deps.ReportFenced(e.inst.Domain, o.Fence.Term)
	}
}

// post queues f for execution in the run goroutine.
func (s *Scheduler) post(f func()) {
	select {
	case s.cmds <- f:
	case <-s.ctx.Done():
	}
}

// A HeldEngine is an engine for which this VM is the lease holder.
type HeldEngine struct {
	Instance plank.Instance
	Limits   Limits
	Term     plank.Term
}

// Sync sets the engines for which this VM is the lease holder, and the number of
// engines in the fleet.
func (s *Scheduler) Sync(held []HeldEngine, total int) {
	s.post(func() {
		if s.fleetSize != total {
			s.fleetSize = total
			s.cold.setEngines(total)
		}
		keep := make(map[plank.EndpointID]bool, len(held))
		for _, h := range held {
			keep[h.Instance.ID] = true
			s.addEngine(h)
		}
		for id, e := range s.engines {
			if !keep[id] {
				s.removeEngine(e, "the engine is gone")
				s.changed[id] = true
			}
		}
	})
}

// addEngine adds an engine, or updates the registration and limits of a known one.
func (s *Scheduler) addEngine(h HeldEngine) {
	old := s.engines[h.Instance.ID]
	if old != nil && old.inst.Born.Equal(h.Instance.Born) && old.inst.Addr == h.Instance.Addr && old.fencingToken.Term == h.Term {
		old.inst = h.Instance
		old.limits = h.Limits
		return
	}
	if old != nil {
		s.removeEngine(old, "the engine started anew")
	}
	e := NewEngine(h, &s.deps)
	e.keepCold(old)
	s.engines[h.Instance.ID] = e
	s.sortEngines()
	s.changed[h.Instance.ID] = true
}

// A Reservation is the permission to send a call to an engine, or its refusal. It
// must be released.
type Reservation struct {
	Outcome
	// Instance is the engine to use, which may differ from the requested one.
	Instance  plank.Instance
	scheduler *Scheduler
	state     *reservation
}

// Reserve requests a reservation on the engine, or on another one of the same
// service if that has capacity sooner. It blocks until the request is granted or
// refused, at the latest at its deadline, or until ctx is done. It returns a
// *NotHeldError if this VM is not the lease holder for the engine.
func (s *Scheduler) Reserve(ctx context.Context, id plank.EndpointID, born time.Time, r Request) (*Reservation, error) {
	settled := make(chan *Reservation, 1)
	held := make(chan bool, 1)
	res := &Reservation{scheduler: s, state: &reservation{Request: r}}
	s.post(func() {
		e := s.engines[id]
		if e == nil || !e.inst.Born.Equal(born) {
			held <- false
			return
		}
		res.state.settle = func(o Outcome) {
			res.Outcome, res.Instance = o, res.state.engine.inst
			settled <- res
		}
		e.reserve(res.state)
		s.changed[id] = true
		held <- true
	})
	select {
	case ok := <-held:
		if !ok {
			return nil, &NotHeldError{Endpoint: id}
		}
	case <-s.ctx.Done():
		return nil, &NotHeldError{Endpoint: id}
	}
	select {
	case res := <-settled:
		return res, nil
	case <-ctx.Done():
		res.Release()
		return nil, ctx.Err()
	}
}

// MarkStarted records that the first event of the call has arrived.
func (res *Reservation) MarkStarted() {
	res.scheduler.post(func() {
		now := res.scheduler.deps.Clock.Now()
		res.state.engine.recordFirstEvent(res.state, now)
		res.state.engine.markStarted(res.state, now)
		res.scheduler.changed[res.state.engine.inst.ID] = true
	})
}

// MarkAdapterMissing records that the engine refused the call because the adapter
// is not resident.
func (res *Reservation) MarkAdapterMissing() {
	res.scheduler.post(func() {
		res.state.engine.markAdapterMissing(res.state, res.scheduler.deps.Clock.Now())
		res.scheduler.changed[res.state.engine.inst.ID] = true
	})
}

// Release releases the reservation.
func (res *Reservation) Release() {
	res.scheduler.post(func() {
		res.state.engine.release(res.state, res.scheduler.deps.Clock.Now())
		res.scheduler.changed[res.state.engine.inst.ID] = true
	})
}
