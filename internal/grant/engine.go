// Package grant defines the room on engines: which calls may be sent to an
// engine, and which adapters it loads and unloads for them.
//
// An Engine is the state of one engine and performs no I/O. A Keeper runs the
// engines of the domains whose duty this VM holds.
//
// The load it is made for: requests that are skewed over many more adapters
// than an engine has places. A place whose adapter runs is never taken; an idle
// one is taken at once for whoever waits; calls of one adapter share its place.
package grant

import (
	"cmp"
	"math"
	"slices"
	"time"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/recent"
	"knapweedplank.org/plank/internal/wire"
)

// The times of loads and orders.
const (
	// warmPoll is when a load is first checked: engines load an adapter that
	// they held lately in 25 ms.
	warmPoll = 27 * time.Millisecond
	// coldPoll is when the check of a load from the weight store begins, which
	// takes 250 ms.
	coldPoll = 253 * time.Millisecond
	// maxColdTime is how long a load counts against what the weight store allows;
	// one that takes four times the usual is taken for lost.
	maxColdTime = time.Second
	// pollEvery is the pause between further checks.
	pollEvery = 20 * time.Millisecond
	// conflictPause is the pause after an order that the engine refused because
	// its state is not what was expected.
	conflictPause = 100 * time.Millisecond
	// keepTime is how long a place is kept that the engine refused to unload:
	// calls of an earlier holder still run on it.
	keepTime = 400 * time.Millisecond
	// adoptTime is how long calls that an earlier holder granted may still run.
	adoptTime = 20 * time.Second
	// reportPace is the pause before a state that was too old is read again;
	// reports lag by some hundred milliseconds.
	reportPace = 70 * time.Millisecond
	// maxReportLag is after which time without orders an engine's own count is
	// right, even if it is lower than thought.
	maxReportLag = 800 * time.Millisecond
	// maxMisses is how many orders in a row may go unanswered before the
	// engine's state is read.
	maxMisses = 4
	// statusEvery is the pause between readings of an engine's state.
	statusEvery = 2 * time.Second
	// basePoll is the pause between readings while a base model loads.
	basePoll = 300 * time.Millisecond
	// maxLoading is how many adapters may be on their way to an engine.
	maxLoading = 4
	// versionGrace is how long calls still get the old version of an adapter
	// whose place is in use, so that a replacement does not stop them all.
	versionGrace = 2 * time.Second
	// readHalfLife is the time in which the count of prompt tokens halves.
	readHalfLife = time.Second
	// maxBacklog is how many prompt tokens may wait in an engine, about a second
	// of its work; beyond that calls wait here, in the order of their priority.
	maxBacklog = 38_000
	// useHalfLife is the time in which the count of uses of an adapter halves.
	useHalfLife = 10 * time.Second
)

// Limits are the bounds of one engine.
type Limits struct {
	MaxRunning  int
	Memory      plank.Tokens
	MaxAdapters int
	Base        plank.BaseID // to be loaded if the engine holds none; may be empty
}

// A Request asks for room.
type Request struct {
	ID      plank.RequestID
	Adapter plank.AdapterRef
	// Version is the oldest that will do; 0 is any.
	Version  plank.VersionNumber
	Prompt   plank.Tokens
	Output   plank.Tokens // expected
	Priority int          // 0 first
	// Target is until when the first token is in time.
	Target time.Time
	// Deadline is when the caller stops waiting for room.
	Deadline time.Time
	// Skip lists engines that the call must not get.
	Skip []plank.EndpointID
}

// An Outcome settles a request.
type Outcome struct {
	Granted    bool
	Version    plank.VersionNumber
	Reason     string
	RetryAfter time.Duration // when room is expected; 0 if not known
}

// A ticket is a request with its state.
type ticket struct {
	Request
	engine  *Engine // where it waits or runs
	granted bool
	began   bool
	settle  func(Outcome)
}

type placeState int

const (
	resident placeState = iota
	loading             // on its way; may hold an older version that serves no more
	doubtful            // an order for it was not answered
)

// A place is one adapter on an engine.
type place struct {
	ref     plank.AdapterRef
	state   placeState
	version plank.VersionNumber // held, or on its way
	uses    float64             // aged count
	used    time.Time           // when a call last began or ended on it
	loaded  time.Time
	poll    time.Time // when the load is checked next
	// cold is until when a load takes from what the weight store allows.
	cold time.Time
	// keep is until when the place is not taken, because the engine refused to
	// unload it.
	keep time.Time
}

// An Action is what an Engine wants done next.
type Action struct {
	ReadStatus bool
	Order      *plank.Order
}

// An Engine is the state of one engine. It is used by one goroutine.
type Engine struct {
	inst    plank.Instance
	limits  Limits
	fence   plank.FencingToken
	evictor plank.Evictor
	// newest returns the newest announced version of an adapter and when it
	// became known.
	newest func(plank.AdapterRef) (plank.VersionNumber, time.Time)
	// inUse tells whether other VMs have calls on an adapter of the engine. It
	// lags, and is asked only while calls of an earlier holder may run.
	inUse func(plank.EndpointID, plank.AdapterRef) bool
	// health returns how many of its calls the engine failed lately, and whether
	// it should get none.
	health func(plank.EndpointID) (failRate float64, avoid bool)

	// bases and places are what the engine holds, as far as is known.
	bases  map[plank.BaseID]bool
	places map[plank.AdapterRef]*place
	recent recent.List[plank.AdapterRef]
	seq    uint64
	// known is set once the state was read since the duty began or an order was
	// left unanswered.
	known      bool
	counted    bool      // seq is the engine's own count
	readAfter  time.Time // until when the state is not asked for
	nextStatus time.Time // of a reading without a cause
	ordersAt   time.Time // of the last order that was accepted
	// unanswered is the order that was not answered; it is given again before
	// any other.
	unanswered *plank.Order
	misses     int       // answers missing in a row
	silent     bool      // the engine does not answer
	calm       time.Time // until when no adapter is ordered, after a conflict
	adopted    time.Time // since when this VM orders the engine
	busy       bool      // an action is in progress
	ordersCold bool      // the action is a load from the weight store
	baseLoad   bool      // a base model is on its way

	queue   []*ticket
	running map[*ticket]bool
	// users counts the granted tickets by adapter. They keep the adapter's
	// place, whatever is thought of the place meanwhile.
	users   map[plank.AdapterRef]int
	used    plank.Tokens
	backlog plank.Tokens // prompts of granted tickets that have not begun
	reading float64      // aged count of prompt tokens granted
	readAt  time.Time    // of reading
}

// NewEngine returns an engine whose state is not known yet.
func NewEngine(h HeldEngine, deps *Deps) *Engine {
	e := &Engine{
		inst: h.Instance, limits: h.Limits, fence: plank.FencingToken{Holder: deps.Self, Term: h.Term},
		evictor: deps.Evictor, newest: deps.NewestVersion, inUse: deps.InUseElsewhere, health: deps.Health, adopted: deps.Clock.Now(),
		bases: make(map[plank.BaseID]bool), places: make(map[plank.AdapterRef]*place), running: make(map[*ticket]bool),
		users: make(map[plank.AdapterRef]int),
	}
	for _, ref := range deps.RecentAdapters(h.Instance) {
		e.recent.Add(ref)
	}
	return e
}

// Instance returns the engine's registration.
func (e *Engine) Instance() plank.Instance { return e.inst }

// size is the memory that a ticket speaks for.
func (t *ticket) size() plank.Tokens { return t.Prompt + t.Output }

// reserve queues a ticket.
func (e *Engine) reserve(t *ticket) {
	t.engine = e
	e.queue = append(e.queue, t)
}

// started records that the first event of a granted ticket has arrived.
func (e *Engine) started(t *ticket) {
	if e.running[t] && !t.began {
		t.began = true
		e.backlog -= t.Prompt
	}
}

// missing records that the engine refused a granted ticket because it does not
// hold the adapter: what is known of the engine is wrong.
func (e *Engine) missing(t *ticket, now time.Time) {
	if p := e.places[t.Adapter]; p != nil {
		p.state = doubtful
	}
	e.doubt(now)
}

// release ends a ticket, granted or not.
func (e *Engine) release(t *ticket, now time.Time) {
	if !e.running[t] {
		e.queue = slices.DeleteFunc(e.queue, func(q *ticket) bool { return q == t })
		return
	}
	e.started(t)
	delete(e.running, t)
	e.used -= t.size()
	if e.users[t.Adapter]--; e.users[t.Adapter] <= 0 {
		delete(e.users, t.Adapter)
	}
	if p := e.places[t.Adapter]; p != nil {
		p.used = now
	}
}

// compare orders tickets: those that can still be in time before those that are
// late anyway, then by priority, then by when they have to begin.
func (t *ticket) compare(o *ticket, now time.Time) int {
	late, otherLate := !t.Target.After(now), !o.Target.After(now)
	switch {
	case late != otherLate && late:
		return 1
	case late != otherLate:
		return -1
	}
	return cmp.Or(cmp.Compare(t.Priority, o.Priority), t.Target.Compare(o.Target), t.Deadline.Compare(o.Deadline))
}

// settle grants what there is room for.
func (e *Engine) settle(now time.Time) {
	e.expire(now)
	slices.SortStableFunc(e.queue, func(a, b *ticket) int { return a.compare(b, now) })
	waiting := e.queue[:0]
	for _, t := range e.queue {
		switch {
		case e.fits(t) && e.serves(t, now):
			e.admit(t, now)
		case e.silent:
			t.settle(Outcome{Reason: "the engine does not answer"})
		default:
			waiting = append(waiting, t)
		}
	}
	clear(e.queue[len(waiting):])
	e.queue = waiting
}

// expire refuses the tickets that have waited until their deadline.
func (e *Engine) expire(now time.Time) {
	expired := func(t *ticket) bool { return !t.Deadline.After(now) }
	for _, t := range e.queue {
		if expired(t) {
			t.settle(Outcome{Reason: "no room in time, waited for: " + string(e.waitsFor(t, now)), RetryAfter: e.roomIn(t, now)})
		}
	}
	e.queue = slices.DeleteFunc(e.queue, expired)
}

// fits tells whether the batch and the memory have room for a ticket.
func (e *Engine) fits(t *ticket) bool {
	if len(e.running) == 0 {
		return true
	}
	if e.backlog > 0 && e.backlog+t.Prompt > maxBacklog {
		return false
	}
	return len(e.running) < e.limits.MaxRunning && e.used+t.size() <= e.limits.Memory
}

// serves tells whether the engine holds the ticket's adapter in a version that
// will do.
func (e *Engine) serves(t *ticket, now time.Time) bool {
	if t.Adapter.Name == "" {
		return e.bases[t.Adapter.Base]
	}
	p := e.places[t.Adapter]
	if p == nil || p.state != resident {
		return false
	}
	return !e.isStale(p, now, t.Version)
}

// isStale tells whether a place holds a version that serves no new calls.
func (e *Engine) isStale(p *place, now time.Time, least plank.VersionNumber) bool {
	newest, since := e.newest(p.ref)
	newest = max(newest, least)
	if p.version >= newest {
		return false
	}
	return e.users[p.ref] == 0 || now.Sub(since) > versionGrace
}

func (e *Engine) admit(t *ticket, now time.Time) {
	t.granted = true
	e.running[t] = true
	e.used += t.size()
	e.backlog += t.Prompt
	e.reading, e.readAt = e.readingNow(now)+float64(t.Prompt), now
	out := Outcome{Granted: true}
	e.users[t.Adapter]++
	if p := e.places[t.Adapter]; p != nil && t.Adapter.Name != "" {
		p.uses = p.agedUses(now) + 1
		p.used = now
		out.Version = p.version
	}
	t.settle(out)
}

// readingNow returns the aged count of prompt tokens granted.
func (e *Engine) readingNow(now time.Time) float64 {
	return e.reading * exp2(-now.Sub(e.readAt).Seconds()/readHalfLife.Seconds())
}

// readingRate returns the prompt tokens granted a second, lately.
func (e *Engine) readingRate(now time.Time) float64 {
	return e.readingNow(now) * math.Ln2 / readHalfLife.Seconds()
}

// waitingPrompts returns the prompt tokens that have not been read, of calls
// that were granted or wait.
func (e *Engine) waitingPrompts() plank.Tokens {
	n := e.backlog
	for _, t := range e.queue {
		n += t.Prompt
	}
	return n
}

// agedUses returns the count of uses as of now.
func (p *place) agedUses(now time.Time) float64 {
	half := now.Sub(p.used).Seconds() / useHalfLife.Seconds()
	return p.uses * exp2(-half)
}

// due returns when the engine needs attention next.
func (e *Engine) due(now time.Time) time.Time {
	due := e.nextStatus
	if e.unanswered != nil {
		due = now
	}
	if !e.known {
		due = e.readAfter
	}
	for _, p := range e.places {
		if p.state == loading && e.known && p.poll.Before(due) {
			due = p.poll
		}
	}
	for _, t := range e.queue {
		if t.Deadline.Before(due) {
			due = t.Deadline
		}
	}
	if len(e.queue) > 0 && due.Sub(now) > pollEvery {
		due = now.Add(pollEvery) // other engines' loads may end
	}
	return due
}

// state returns what other VMs are told.
func (e *Engine) state(now time.Time) *wire.EngineState {
	s := &wire.EngineState{
		Endpoint: string(e.inst.ID), Born: e.inst.Born.UnixMilli(), Silent: e.silent, Bare: e.isBare(), Wanted: uint32(e.wantedPlaces()),
		Backlog: float64(e.waitingPrompts()), Reading: e.readingRate(now), Running: uint32(len(e.running)), Used: float64(e.used), Queued: uint32(len(e.queue)),
	}
	for _, p := range e.places {
		s.Places = append(s.Places, &wire.Place{
			Adapter: p.ref.String(), Version: uint64(p.version), Users: uint32(e.users[p.ref]), Loading: p.state != resident,
		})
	}
	slices.SortFunc(s.Places, func(a, b *wire.Place) int {
		if a.Adapter < b.Adapter {
			return -1
		}
		return 1
	})
	return s
}

// isBare tells whether the engine holds no base model. Until its state was read,
// its registration tells.
func (e *Engine) isBare() bool {
	if e.counted {
		return len(e.bases) == 0
	}
	return len(e.inst.Bases) == 0
}

// wantedPlaces counts the adapters that tickets wait for without a place.
func (e *Engine) wantedPlaces() int {
	seen := make(map[plank.AdapterRef]bool)
	for _, t := range e.queue {
		if t.Adapter.Name != "" && e.places[t.Adapter] == nil {
			seen[t.Adapter] = true
		}
	}
	return len(seen)
}

// fail settles all that waits, when the engine is given up.
func (e *Engine) fail(reason string) {
	for _, t := range e.queue {
		t.settle(Outcome{Reason: reason})
	}
	e.queue = nil
}
