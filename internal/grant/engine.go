// Package grant implements reservations on engines: it decides which calls may be
// sent to an engine, and which adapters the engine loads and unloads for them.
//
// An Engine is the state of one engine and performs no I/O. A Scheduler runs the
// engines of the domains whose dispatch lease this VM holds.
//
// It is designed for requests that are skewed over many more adapters than an
// engine has adapter slots. A slot whose adapter is in use is never reassigned; an
// idle one is reassigned at once to a waiting call; calls for the same adapter share
// its slot.
//
// A cold load is the load of an adapter from the weight store. An engine loads an
// adapter that it held recently from its own memory, which is faster.
package grant

import (
	"cmp"
	"math"
	"slices"
	"time"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/pace"
	"knapweedplank.org/plank/internal/prefix"
	"knapweedplank.org/plank/internal/recent"
	"knapweedplank.org/plank/internal/wire"
)

// Timing of loads and orders, and limits per engine.
const (
	// recentLoadPoll is the time from the order of a load to its first check, if the
	// engine held the adapter recently: such loads take 25 ms.
	recentLoadPoll = 27 * time.Millisecond
	// coldLoadPoll is the time from the order of a cold load to its first check: cold
	// loads take 250 ms.
	coldLoadPoll = 253 * time.Millisecond
	// maxColdLoadTime is how long a load counts against the limit of cold loads; one
	// that takes four times the usual 250 ms is considered lost.
	maxColdLoadTime = time.Second
	// maxCheckDelay is how late the check of a load may be to tell how long it took.
	maxCheckDelay = 30 * time.Millisecond
	// pollInterval is the time between further checks.
	pollInterval = 20 * time.Millisecond
	// conflictPause is how long no load or unload is ordered after the engine refused
	// an order because its state is not the expected one.
	conflictPause = 100 * time.Millisecond
	// unloadRetryDelay is how long a slot is not reassigned after the engine refused
	// to unload its adapter: calls from a previous lease holder still run on it.
	unloadRetryDelay = 400 * time.Millisecond
	// takeoverGrace is how long calls that a previous lease holder admitted may still run
	// after a takeover.
	takeoverGrace = 20 * time.Second
	// staleStatusDelay is the delay before an outdated status is read again; the
	// status lags by some hundred milliseconds.
	staleStatusDelay = 70 * time.Millisecond
	// maxStatusLag is the time without orders after which an engine's own order count
	// is considered current, even if it is lower than expected.
	maxStatusLag = 800 * time.Millisecond
	// maxUnanswered is the number of consecutive orders without a response after which
	// the engine counts as unresponsive and its status is read.
	maxUnanswered = 4
	// statusInterval is the time between reads of an engine's status.
	statusInterval = 2 * time.Second
	// basePollInterval is the time between reads of the status while a base model
	// loads or after a read has failed.
	basePollInterval = 300 * time.Millisecond
	// maxLoading is the maximum number of adapters that an engine loads at once.
	maxLoading = 4
	// versionGrace is how long calls still get a version of an adapter that is in use
	// after the first newer one became known, so that a replacement does not block all
	// of its calls.
	versionGrace = 2 * time.Second
	// prefillHalfLife is the half-life of the decayed count of prompt tokens.
	prefillHalfLife = time.Second
	// maxBacklog is the maximum backlog of an engine of the usual pace in prompt tokens,
	// about a second of prefill; further calls wait in the queue, where they are ordered by
	// priority.
	maxBacklog = 38_000
	// useHalfLife is the half-life of the decayed count of an adapter's uses.
	useHalfLife = 10 * time.Second
)

// Limits are the limits of one engine.
type Limits struct {
	MaxRunning  int          // calls in the batch
	Memory      plank.Tokens // capacity of the KV cache
	MaxAdapters int          // adapter slots
	EventTokens plank.Tokens // in an event of a stream; 0 if not known
	Base        plank.BaseID // loaded if the engine holds no base model; may be empty
}

// A Request is a request for a reservation.
type Request struct {
	ID      plank.RequestID
	Adapter plank.AdapterRef
	// Version is the minimum adapter version; 0 means any.
	Version plank.VersionNumber
	Prompt  plank.Tokens
	Output  plank.Tokens // expected number
	// MaxOutput is the maximum of the output; 0 if not known.
	MaxOutput plank.Tokens
	// MaxGap is the longest pause between events that is not late; 0 for no limit.
	MaxGap   time.Duration
	Priority int // lower values go first
	// Target is the time by which the first token is due.
	Target time.Time
	// Deadline is when the request is refused if it has not been granted.
	Deadline time.Time
	// Skip lists engines that must not be used for the call.
	Skip []plank.EndpointID
	// Parts are the parts of the prompt, in order.
	Parts []plank.PromptPart
}

// An Outcome is the final result of a request.
type Outcome struct {
	Granted    bool
	Version    plank.VersionNumber
	Reason     string
	RetryAfter time.Duration // when capacity is expected; 0 if unknown
	Kept       plank.Tokens  // of the prompt, that the engine is expected not to process again
}

// A reservation is a request and its state.
type reservation struct {
	Request
	engine  *Engine // at which it is queued or runs
	granted bool
	started bool
	settle  func(Outcome)

	prompt    *prefix.Prompt // nil if parts are not considered
	unread    plank.Tokens   // of the prompt, to be processed; as of the grant once granted
	use       *prefix.Use    // of the engine's parts while granted; nil without a prompt
	ownMemory plank.Tokens   // that no other call shares, while granted
	failed    bool           // the engine failed the call
	spread    plank.Tokens   // of the output beyond Output, as counted in Engine.overruns
	overrunAt time.Time      // when the output may exceed Output; zero before the first event

	// grantedAt is when the reservation was granted, and ahead counts the prompt tokens to
	// be processed then, with its own.
	grantedAt time.Time
	ahead     plank.Tokens
	// strict is set while the reservation counts in the engine's strict streams.
	strict bool
}

type slotState int

const (
	resident  slotState = iota
	loading             // may still hold an older version, which gets no more calls
	uncertain           // an order for it has no response yet, or the engine reported it missing
)

// An adapterSlot is an adapter that an engine holds or loads.
type adapterSlot struct {
	ref      plank.AdapterRef
	state    slotState
	version  plank.VersionNumber // resident or being loaded
	uses     float64             // decayed count as of lastUsed
	lastUsed time.Time           // when a call was last granted or released
	loadedAt time.Time
	pollAt   time.Time // time of the next check of the load
	// coldUntil is when the load stops counting against the limit of cold loads.
	coldUntil time.Time
	// checkLost is set if a check of the load got no response, so that its end is noticed late.
	checkLost bool
	// keepUntil is when the slot may be reassigned again after the engine refused to
	// unload the adapter.
	keepUntil time.Time
}

// An Action is the next operation to perform on an engine: either a read of its
// status or an order.
type Action struct {
	ReadStatus bool
	Order      *plank.Order
}

// An Engine is the state of one engine. It is not safe for concurrent use.
type Engine struct {
	inst         plank.Instance
	limits       Limits
	fencingToken plank.FencingToken
	evictor      plank.Evictor
	// newestVersion returns the newest announced version of an adapter.
	newestVersion func(plank.AdapterRef) plank.VersionNumber
	// supersededAt returns when the first version of an adapter that is newer than the
	// given one became known; the zero time if none is known.
	supersededAt func(plank.AdapterRef, plank.VersionNumber) time.Time
	// inUseElsewhere reports whether other VMs have calls on an adapter of the engine.
	// It lags, and is used only while calls from a previous lease holder may run.
	inUseElsewhere func(plank.EndpointID, plank.AdapterRef) bool
	// health returns the fraction of the engine's recent calls that failed, and
	// whether the engine should get no calls.
	health func(plank.EndpointID) (failRate float64, avoid bool)
	// pausedUntil returns the time until which a run of an engine wants no requests of this
	// VM, or the zero time.
	pausedUntil func(plank.Run) time.Time
	// isOutOfService is as in Deps.
	isOutOfService func(plank.DomainID) bool

	paces         *pace.Table // may be nil
	publishedPace float64     // in the state that was published last
	strict        strictStreams

	// bases and slots are what the engine holds according to the last status and the
	// orders since.
	bases  map[plank.BaseID]bool
	slots  map[plank.AdapterRef]*adapterSlot
	recent recent.List[plank.AdapterRef]
	seq    uint64 // orders that the engine has accepted
	// statusKnown is set once the status has been read since the lease was acquired
	// or the status was last invalidated.
	statusKnown     bool
	seqKnown        bool      // seq was read from the engine
	statusNotBefore time.Time // earliest time of the next read while the status is unknown
	nextStatusAt    time.Time // of the next periodic read
	lastOrderAt     time.Time // when an order was last accepted
	// unanswered is the order that got no response; it is repeated before any other
	// order is sent.
	unanswered      *plank.Order
	unansweredCount int       // consecutive orders without a response
	unresponsive    bool      // the engine does not respond
	noLoadsUntil    time.Time // end of the pause after a conflict
	adoptedAt       time.Time // when this VM became the holder
	contended       bool      // loads are ordered by their value
	busy            bool      // an action is in progress
	coldOrder       bool      // the action is a cold load
	// coldLoadTook is how long the cold load took whose end the last order's response
	// reported; 0 if it reported none.
	coldLoadTook time.Duration
	baseLoading  bool // a base model is being loaded

	queue   []*reservation
	running map[*reservation]bool
	// users counts the granted reservations by adapter. While there are any, the
	// adapter keeps its slot, whatever the state of the slot is.
	users      map[plank.AdapterRef]int
	usedMemory plank.Tokens
	// learnsCost reports whether parts of a service's prompts are considered; parts are those
	// that the engine keeps, and partMemory the tokens of those in use, which usedMemory includes.
	learnsCost func(plank.ServiceID) bool
	parts      *prefix.Directory
	partMemory plank.Tokens
	// overruns is what granted calls may put out beyond their estimates, without those that
	// may have exceeded them, whose maximum counts in usedMemory. nextOverrun is when the
	// next call may exceed its own; zero for none.
	overruns    overruns
	nextOverrun time.Time
	backlog     plank.Tokens // unread tokens of granted reservations that have not started
	prefill     float64      // decayed count of prompt tokens granted, as of prefillAt
	prefillAt   time.Time    // when prefill was last updated
	cold        coldGate
}

// NewEngine returns an engine whose status has not been read yet.
func NewEngine(h HeldEngine, deps *Deps) *Engine {
	e := &Engine{
		inst: h.Instance, limits: h.Limits, fencingToken: plank.FencingToken{Holder: deps.Self, Term: h.Term},
		evictor: deps.Evictor, newestVersion: deps.NewestVersion, supersededAt: deps.SupersededAt, inUseElsewhere: deps.InUseElsewhere, health: deps.Health, pausedUntil: deps.PausedUntil, isOutOfService: deps.IsOutOfService, contended: deps.Contended, paces: deps.Paces, adoptedAt: deps.Clock.Now(),
		bases: make(map[plank.BaseID]bool), slots: make(map[plank.AdapterRef]*adapterSlot), running: make(map[*reservation]bool),
		users: make(map[plank.AdapterRef]int), cold: newColdGate(deps), learnsCost: deps.learnsCost, parts: prefix.NewDirectory(prefix.MaxEntries(1)),
	}
	for _, ref := range deps.RecentAdapters(h.Instance) {
		e.recent.Add(ref)
	}
	return e
}

// Instance returns the engine's registration.
func (e *Engine) Instance() plank.Instance { return e.inst }

// memory returns the KV cache tokens that the reservation accounts for.
func (res *reservation) memory() plank.Tokens { return res.Prompt + res.Output }

// reserve queues a reservation.
func (e *Engine) reserve(res *reservation) {
	res.engine = e
	e.setPrompt(res)
	e.queue = append(e.queue, res)
}

// markStarted records that the first event of a granted reservation has arrived,
// which ends its prefill.
func (e *Engine) markStarted(res *reservation, now time.Time) {
	if e.running[res] && !res.started {
		res.failed = false // it was only late
		e.startOutput(res, now)
		e.endPrefill(res)
		e.beginParts(res)
	}
}

// endPrefill removes the prompt of a granted reservation from the backlog.
func (e *Engine) endPrefill(res *reservation) {
	if !res.started {
		res.started = true
		e.backlog -= res.unread
	}
}

// markAdapterMissing records that the engine refused a granted call because the
// adapter is not resident: the known status is wrong.
func (e *Engine) markAdapterMissing(res *reservation, now time.Time) {
	if slot := e.slots[res.Adapter]; slot != nil {
		slot.state = uncertain
	}
	e.parts.Forget(res.Adapter)
	e.invalidateStatus(now)
}

// release ends a reservation, granted or not.
func (e *Engine) release(res *reservation, now time.Time) {
	if !e.running[res] {
		e.queue = slices.DeleteFunc(e.queue, func(q *reservation) bool { return q == res })
		return
	}
	e.endPrefill(res)
	e.strict.remove(res)
	delete(e.running, res)
	e.releaseParts(res)
	e.removeOverrun(res)
	if e.users[res.Adapter]--; e.users[res.Adapter] <= 0 {
		delete(e.users, res.Adapter)
	}
	if slot := e.slots[res.Adapter]; slot != nil {
		slot.lastUsed = now
	}
}

// compare orders reservations: those whose target has not passed before those
// whose target has, then by priority, target and deadline.
func (res *reservation) compare(o *reservation, now time.Time) int {
	late, otherLate := !res.Target.After(now), !o.Target.After(now)
	switch {
	case late != otherLate && late:
		return 1
	case late != otherLate:
		return -1
	}
	return cmp.Or(cmp.Compare(res.Priority, o.Priority), res.Target.Compare(o.Target), res.Deadline.Compare(o.Deadline))
}

// admitQueued grants the queued reservations for which the engine has capacity,
// and refuses those that have expired or whose engine does not respond.
func (e *Engine) admitQueued(now time.Time) {
	e.expire(now)
	e.updateCold(now)
	e.countOverruns(now)
	slices.SortStableFunc(e.queue, func(a, b *reservation) int { return a.compare(b, now) })
	waiting := e.queue[:0]
	for _, res := range e.queue {
		kept := e.estimate(res)
		res.unread = res.Prompt - kept.Kept
		switch {
		case e.exceedsMemory(res):
			res.settle(Outcome{Reason: "the call may need more than the engine's memory"})
		case e.fits(res, kept) && e.serves(res, now) && e.mayGrant(now):
			e.admit(res, now)
		case e.unresponsive:
			res.settle(Outcome{Reason: "the engine does not answer"})
		case e.pauseEnd().After(res.Deadline) && !e.serves(res, now):
			res.settle(Outcome{Reason: "the engine takes no orders in time"})
		case e.refusesCold(res, len(waiting), now):
		default:
			waiting = append(waiting, res)
		}
	}
	clear(e.queue[len(waiting):])
	e.queue = waiting
}

// pauseEnd returns the time until which the engine wants no orders and no status requests of
// this VM.
func (e *Engine) pauseEnd() time.Time { return e.pausedUntil(e.inst.Run()) }

// isPaused reports whether the engine gets no orders and no status requests now.
func (e *Engine) isPaused(now time.Time) bool { return e.isOut() || e.pauseEnd().After(now) }

// expire refuses the queued reservations whose deadline has passed.
func (e *Engine) expire(now time.Time) {
	expired := func(res *reservation) bool { return !res.Deadline.After(now) }
	for _, res := range e.queue {
		if expired(res) {
			res.settle(Outcome{Reason: "no room in time, waited for: " + string(e.waitCause(res, now)), RetryAfter: e.expectedWait(res, now)})
		}
	}
	e.queue = slices.DeleteFunc(e.queue, expired)
}

// fits reports whether the batch, the KV cache and the backlog have capacity for a
// reservation of whose prompt the engine keeps a part. An engine without running calls accepts any.
func (e *Engine) fits(res *reservation, kept prefix.Estimate) bool {
	if len(e.running) == 0 {
		return true
	}
	if e.exceedsBacklog(res.Prompt - kept.Kept) {
		return false
	}
	return len(e.running) < e.limits.MaxRunning && e.usedMemory+res.memory()-kept.InUse+e.overruns.with(e.spread(res), 1).reserve() <= e.limits.Memory
}

// serves reports whether the reservation's adapter is resident in an acceptable
// version.
func (e *Engine) serves(res *reservation, now time.Time) bool {
	if res.Adapter.Name == "" {
		return e.bases[res.Adapter.Base]
	}
	slot := e.slots[res.Adapter]
	if slot == nil || slot.state != resident {
		return false
	}
	return !e.isStale(slot, now, res.Version)
}

// isStale reports whether a slot holds a version that gets no new calls. minVersion
// is the caller's minimum version.
func (e *Engine) isStale(slot *adapterSlot, now time.Time, minVersion plank.VersionNumber) bool {
	if slot.version >= max(e.newestVersion(slot.ref), minVersion) {
		return false
	}
	return e.users[slot.ref] == 0 || now.Sub(e.supersededAt(slot.ref, slot.version)) > versionGrace
}

func (e *Engine) admit(res *reservation, now time.Time) {
	res.granted = true
	e.recordGrant(now)
	e.running[res] = true
	e.acquireParts(res)
	e.addOverrun(res)
	e.backlog += res.unread
	res.grantedAt, res.ahead = now, e.backlog
	e.countStrict(res)
	e.prefill, e.prefillAt = e.agedPrefill(now)+float64(res.unread), now
	out := Outcome{Granted: true, Kept: res.Prompt - res.unread}
	e.users[res.Adapter]++
	if slot := e.slots[res.Adapter]; slot != nil && res.Adapter.Name != "" {
		slot.uses = slot.agedUses(now) + 1
		slot.lastUsed = now
		out.Version = slot.version
	}
	res.settle(out)
}

// agedPrefill returns the decayed count of prompt tokens granted.
func (e *Engine) agedPrefill(now time.Time) float64 {
	return e.prefill * exp2(-now.Sub(e.prefillAt).Seconds()/prefillHalfLife.Seconds())
}

// prefillRate returns the recent rate of granted prompt tokens per second.
func (e *Engine) prefillRate(now time.Time) float64 {
	return e.agedPrefill(now) * math.Ln2 / prefillHalfLife.Seconds()
}

// pendingPrefill returns the prompt tokens of queued calls and of granted calls
// that have not started.
func (e *Engine) pendingPrefill() plank.Tokens {
	n := e.backlog
	for _, res := range e.queue {
		n += res.unread
	}
	return n
}

// agedUses returns the decayed count of uses.
func (slot *adapterSlot) agedUses(now time.Time) float64 {
	halfLives := now.Sub(slot.lastUsed).Seconds() / useHalfLife.Seconds()
	return slot.uses * exp2(-halfLives)
}

// nextDue returns when the engine is to be processed next.
func (e *Engine) nextDue(now time.Time) time.Time {
	due := e.nextStatusAt
	if e.unanswered != nil {
		due = now
	}
	if !e.statusKnown {
		due = e.statusNotBefore
	}
	for _, slot := range e.slots {
		if slot.state == loading && e.statusKnown && slot.pollAt.Before(due) {
			due = slot.pollAt
		}
	}
	for _, res := range e.queue {
		if res.Deadline.Before(due) {
			due = res.Deadline
		}
	}
	if len(e.queue) > 0 && due.Sub(now) > pollInterval {
		due = now.Add(pollInterval) // a cold load on another engine may end
	}
	return due
}

// wireState returns the state that is published to other VMs.
func (e *Engine) wireState(now time.Time) *wire.EngineState {
	s := &wire.EngineState{
		Endpoint: string(e.inst.ID), Born: e.inst.Born.UnixMilli(), Silent: e.unresponsive, Bare: e.hasNoBase(), Wanted: uint32(e.wantedAdapters()),
		Backlog: float64(e.pendingPrefill()), Reading: e.prefillRate(now), Running: uint32(len(e.running)), Used: float64(e.usedMemory + e.overruns.reserve()), Queued: uint32(len(e.queue)),
	}
	e.publishCold(s, now)
	for _, slot := range e.slots {
		s.Places = append(s.Places, &wire.Place{
			Adapter: slot.ref.String(), Version: uint64(slot.version), Users: uint32(e.users[slot.ref]), Loading: slot.state != resident,
		})
	}
	slices.SortFunc(s.Places, func(a, b *wire.Place) int {
		if a.Adapter < b.Adapter {
			return -1
		}
		return 1
	})
	e.addPace(s)
	return s
}

// hasNoBase reports whether the engine holds no base model. Until the status has
// been read, it reports what the registration says.
func (e *Engine) hasNoBase() bool {
	if e.seqKnown {
		return len(e.bases) == 0
	}
	return len(e.inst.Bases) == 0
}

// wantedAdapters counts the adapters without a slot that reservations wait for.
func (e *Engine) wantedAdapters() int {
	seen := make(map[plank.AdapterRef]bool)
	for _, res := range e.queue {
		if res.Adapter.Name != "" && e.slots[res.Adapter] == nil {
			seen[res.Adapter] = true
		}
	}
	return len(seen)
}

// refuseQueued refuses all queued reservations.
func (e *Engine) refuseQueued(reason string) {
	for _, res := range e.queue {
		res.settle(Outcome{Reason: reason})
	}
	e.queue = nil
}
