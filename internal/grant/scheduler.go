package grant

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/wire"
)

// The limits of a keeper's calls to engines.
const (
	// orderTimeout is many times an engine's usual answer of a few milliseconds.
	// An order without an answer is given again.
	orderTimeout  = 90 * time.Millisecond
	statusTimeout = 600 * time.Millisecond
	// maxIdleWait bounds the keeper's sleep.
	maxIdleWait = 250 * time.Millisecond
	// waitsPace is the pause between log lines that tell what calls wait for.
	waitsPace = time.Second
)

// Deps are what a keeper works with.
type Deps struct {
	Self     plank.VMID
	Operator plank.EngineController
	Evictor  plank.Evictor
	Clock    plank.Clock
	Log      *logrus.Entry
	// NewestVersion returns the newest announced version of an adapter and when it
	// became known.
	NewestVersion func(plank.AdapterRef) (plank.VersionNumber, time.Time)
	// InUseElsewhere tells whether other VMs have calls on an adapter of an engine.
	InUseElsewhere func(plank.EndpointID, plank.AdapterRef) bool
	// RecentAdapters returns the adapters that an engine held lately, the latest last.
	RecentAdapters func(plank.Instance) []plank.AdapterRef
	// RemoteColdLoads returns the loads from the weight store that other VMs have under
	// way.
	RemoteColdLoads func() int
	// Health returns the part of an engine's calls that failed lately, and whether
	// it should get no calls.
	Health func(plank.EndpointID) (failRate float64, avoid bool)
	// CountOrder is told the result of each order.
	CountOrder func(unload bool, result string)
	// PublishColdLoads tells others how many loads from the weight store are under way
	// here.
	PublishColdLoads func(n int)
	// PublishState tells others the state of an engine; nil ends it.
	PublishState func(id plank.EndpointID, s *wire.EngineState)
	// ReportFenced is told that another VM has a higher term for a domain.
	ReportFenced func(domain plank.DomainID, term plank.Term)
}

// A Scheduler runs the engines whose domains this VM has the duty of. Its state
// belongs to one goroutine.
type Scheduler struct {
	deps Deps
	ctx  context.Context
	cmds chan func()

	// The fields below belong to the goroutine.
	engines map[plank.EndpointID]*Engine
	list    []*Engine // the same, by ID
	total   int       // engines of the fleet
	cold    int       // as told last
	nextLog time.Time // of what calls wait for
	dirty   map[plank.EndpointID]bool
}

// A NotHeldError reports that this VM does not order the engine.
type NotHeldError struct {
	Endpoint plank.EndpointID
}

// Error returns the message.
func (e *NotHeldError) Error() string { return "not the holder of " + string(e.Endpoint) }

// NewScheduler starts a keeper without engines. It ends with ctx.
func NewScheduler(ctx context.Context, deps Deps) *Scheduler {
	k := &Scheduler{
		deps: deps, ctx: ctx, cmds: make(chan func(), 64),
		engines: make(map[plank.EndpointID]*Engine), dirty: make(map[plank.EndpointID]bool),
	}
	go func() { k.run() }()
	return k
}

func (k *Scheduler) run() {
	timer := time.NewTimer(maxIdleWait)
	defer timer.Stop()
	for {
		select {
		case cmd := <-k.cmds:
			cmd()
			for more := true; more; {
				select {
				case cmd := <-k.cmds:
					cmd()
				default:
					more = false
				}
			}
		case <-timer.C:
		case <-k.ctx.Done():
			return
		}
		timer.Reset(k.pump())
	}
}

// pump brings all engines on and returns how long nothing more is due.
func (k *Scheduler) pump() time.Duration {
	now := k.deps.Clock.Now()
	wait := maxIdleWait
	here, elsewhere := k.coldLoads(), k.deps.RemoteColdLoads()
	mayLoad := func() bool { return mayLoadCold(len(k.list), k.total, here, elsewhere) }
	k.move(now, mayLoad())
	if !now.Before(k.nextLog) {
		k.nextLog = now.Add(waitsPace)
		k.logWaits(now)
	}
	for _, e := range k.byUrgency(now) {
		if k.pumpEngine(e, now, mayLoad) {
			k.dirty[e.inst.ID] = true
		}
		if e.ordersCold {
			here = k.coldLoads()
		}
		if !e.busy {
			wait = min(wait, max(time.Millisecond, e.due(now).Sub(now)))
		}
	}
	for id := range k.dirty {
		if e := k.engines[id]; e != nil {
			k.deps.PublishState(id, e.state(now))
		} else {
			k.deps.PublishState(id, nil)
		}
	}
	clear(k.dirty)
	if here != k.cold {
		k.cold = here
		k.deps.PublishColdLoads(here)
	}
	return wait
}

// byUrgency returns the engines, those first whose calls are the most urgent, so
// that these get the loads that the weight store allows.
func (k *Scheduler) byUrgency(now time.Time) []*Engine {
	var waiting, rest []*Engine
	for _, e := range k.list {
		if len(e.queue) > 0 {
			waiting = append(waiting, e)
		} else {
			rest = append(rest, e)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *Engine) int { return a.queue[0].compare(b.queue[0], now) })
	return append(waiting, rest...)
}

// coldLoads counts the loads from the weight store on all engines.
func (k *Scheduler) coldLoads() int {
	n, now := 0, k.deps.Clock.Now()
	for _, e := range k.list {
		n += e.coldCount(now)
	}
	return n
}

// pumpEngine settles what can be settled and begins the next action. It
// reports whether the engine changed.
func (k *Scheduler) pumpEngine(e *Engine, now time.Time, mayLoad func() bool) bool {
	before := len(e.queue)
	e.settle(now)
	a, ok := e.next(now, mayLoad)
	if ok {
		k.act(e, a)
	}
	return before != len(e.queue)
}

// move lets calls that wait go on at engines with room.
func (k *Scheduler) move(now time.Time, cold bool) {
	if !slices.ContainsFunc(k.list, func(e *Engine) bool { return len(e.queue) > 0 }) {
		return
	}
	for _, m := range moves(k.list, now, cold) {
		k.rehome(m.ticket, m.to, "another engine has room")
	}
}

// rehome makes a ticket wait at another engine.
func (k *Scheduler) rehome(t *ticket, to *Engine, reason string) {
	k.deps.Log.WithFields(logrus.Fields{
		"request": t.ID, "adapter": t.Adapter.String(), "from": t.engine.inst.ID, "endpoint": to.inst.ID, "queued": len(t.engine.queue),
		"places": len(to.places), "reason": reason,
	}).Info("grant: moved")
	k.dirty[t.engine.inst.ID], k.dirty[to.inst.ID] = true, true
	t.moveTo(to)
}

// abandon gives an engine up. The calls that wait there go to others.
func (k *Scheduler) abandon(e *Engine, reason string) {
	delete(k.engines, e.inst.ID)
	k.listEngines()
	now := k.deps.Clock.Now()
	for _, t := range slices.Clone(e.queue) {
		if to := best(k.list, t, now, (*Engine).isOrderable); to != nil {
			k.rehome(t, to, reason)
		}
	}
	e.fail(reason)
}

// listEngines brings the list of engines in line with the map.
func (k *Scheduler) listEngines() {
	k.list = k.list[:0]
	for _, id := range slices.Sorted(maps.Keys(k.engines)) {
		k.list = append(k.list, k.engines[id])
	}
}

// act carries out an action and hands its result back to the goroutine.
func (k *Scheduler) act(e *Engine, a Action) {
	inst := e.inst
	go func() {
		if a.ReadStatus {
			ctx, cancel := context.WithTimeout(k.ctx, statusTimeout)
			defer cancel()
			s, err := k.deps.Operator.Status(ctx, inst)
			k.do(func() { k.read(e, s, err) })
			return
		}
		ctx, cancel := context.WithTimeout(k.ctx, orderTimeout)
		defer cancel()
		result, err := k.deps.Operator.Order(ctx, inst, *a.Order)
		k.do(func() { k.ordered(e, *a.Order, result, err) })
	}()
}

func (k *Scheduler) read(e *Engine, s plank.EngineStatus, err error) {
	if err == nil && !s.Born.Equal(e.inst.Born) && s.Born.UnixMilli() > 0 {
		err = errors.New("another start of the engine answers")
	}
	wasKnown := e.known
	e.read(s, err, k.deps.Clock.Now())
	k.dirty[e.inst.ID] = true
	switch {
	case err != nil:
		k.deps.Log.WithField("endpoint", e.inst.ID).WithError(err).Warn("grant: no state from an engine")
	case !wasKnown && e.known:
		k.deps.Log.WithFields(logrus.Fields{
			"endpoint": e.inst.ID, "seq": e.seq, "bases": len(e.bases), "adapters": len(e.places), "running": s.Running,
		}).Info("grant: state of an engine read")
	}
}

func (k *Scheduler) ordered(e *Engine, o plank.Order, result plank.OrderResult, err error) {
	fenced := e.ordered(o, result, err, k.deps.Clock.Now())
	k.dirty[e.inst.ID] = true
	log := k.deps.Log.WithFields(logrus.Fields{
		"endpoint": e.inst.ID, "adapter": o.Target.Adapter.String(), "version": o.Target.Version, "unload": o.Unload,
		"expect": o.Expect, "fence": o.Fence.Term, "result": result,
	})
	if err != nil {
		log.WithError(err).Warn("grant: order without an answer")
		k.deps.CountOrder(o.Unload, "unanswered")
	} else {
		log.Info("grant: order")
		k.deps.CountOrder(o.Unload, string(result))
	}
	if fenced && k.engines[e.inst.ID] == e {
		k.deps.ReportFenced(e.inst.Domain, o.Fence.Term)
	}
}

// do runs f in the keeper's goroutine, soon.
func (k *Scheduler) do(f func()) {
	select {
	case k.cmds <- f:
	case <-k.ctx.Done():
	}
}

// A HeldEngine is an engine that this VM is to order.
type HeldEngine struct {
	Instance plank.Instance
	Limits   Limits
	Term     plank.Term
}

// Sync sets the engines that this VM orders, and how many there are in all.
func (k *Scheduler) Sync(held []HeldEngine, total int) {
	k.do(func() {
		k.total = total
		keep := make(map[plank.EndpointID]bool, len(held))
		for _, h := range held {
			keep[h.Instance.ID] = true
			k.adopt(h)
		}
		for id, e := range k.engines {
			if !keep[id] {
				k.abandon(e, "the engine is gone")
				k.dirty[id] = true
			}
		}
	})
}

// adopt begins to order an engine, or takes its news.
func (k *Scheduler) adopt(h HeldEngine) {
	old := k.engines[h.Instance.ID]
	if old != nil && old.inst.Born.Equal(h.Instance.Born) && old.inst.Addr == h.Instance.Addr && old.fence.Term == h.Term {
		old.inst = h.Instance
		old.limits = h.Limits
		return
	}
	if old != nil {
		k.abandon(old, "the engine started anew")
	}
	k.engines[h.Instance.ID] = NewEngine(h, &k.deps)
	k.listEngines()
	k.dirty[h.Instance.ID] = true
}

// A Reservation is room on an engine. It must be released.
type Reservation struct {
	Outcome
	// Instance is the engine that has room, which need not be the one asked.
	Instance plank.Instance
	keeper   *Scheduler
	ticket   *ticket
}

// Reserve waits for room on an engine until ctx ends or the request's deadline,
// or on another one of the same service if that has room sooner. A *NotHeldError reports that this VM does not order the engine.
func (k *Scheduler) Reserve(ctx context.Context, id plank.EndpointID, born time.Time, r Request) (*Reservation, error) {
	settled := make(chan *Reservation, 1)
	held := make(chan bool, 1)
	t := &Reservation{keeper: k, ticket: &ticket{Request: r}}
	k.do(func() {
		e := k.engines[id]
		if e == nil || !e.inst.Born.Equal(born) {
			held <- false
			return
		}
		t.ticket.settle = func(o Outcome) {
			t.Outcome, t.Instance = o, t.ticket.engine.inst
			settled <- t
		}
		e.reserve(t.ticket)
		k.dirty[id] = true
		held <- true
	})
	select {
	case ok := <-held:
		if !ok {
			return nil, &NotHeldError{Endpoint: id}
		}
	case <-k.ctx.Done():
		return nil, &NotHeldError{Endpoint: id}
	}
	select {
	case t := <-settled:
		return t, nil
	case <-ctx.Done():
		t.Release()
		return nil, ctx.Err()
	}
}

// Began records that the first event has arrived.
func (t *Reservation) Began() {
	t.keeper.do(func() {
		t.ticket.engine.started(t.ticket)
		t.keeper.dirty[t.ticket.engine.inst.ID] = true
	})
}

// Missing records that the engine does not hold the adapter.
func (t *Reservation) Missing() {
	t.keeper.do(func() {
		t.ticket.engine.missing(t.ticket, t.keeper.deps.Clock.Now())
		t.keeper.dirty[t.ticket.engine.inst.ID] = true
	})
}

// Release gives the room back.
func (t *Reservation) Release() {
	t.keeper.do(func() {
		t.ticket.engine.release(t.ticket, t.keeper.deps.Clock.Now())
		t.keeper.dirty[t.ticket.engine.inst.ID] = true
	})
}
