package grant

import (
	"math"
	"slices"
	"time"

	"knapweedplank.org/plank"
)

// evictDemand is told to evictors as the demand for a place. It is more than any
// adapter's uses, so that no idle place is kept from a call that waits: engines
// load what they held lately in 25 ms.
const evictDemand = math.MaxInt32

func exp2(x float64) float64 { return math.Exp2(x) }

// next returns what is to be done now, and when to ask again at the latest. cold
// tells whether another load from the weight store may begin.
func (e *Engine) next(now time.Time, cold func() bool) (Action, bool) {
	if e.busy {
		return Action{}, false
	}
	if !e.known || !now.Before(e.nextStatus) {
		if now.Before(e.readAfter) {
			return Action{}, false
		}
		return e.begin(Action{ReadStatus: true})
	}
	if e.unanswered != nil {
		return e.begin(Action{Order: e.unanswered})
	}
	if o := e.baseOrder(); o != nil {
		return e.begin(Action{Order: o})
	}
	if e.baseLoad {
		return Action{}, false
	}
	if o := e.pollOrder(now); o != nil {
		return e.begin(Action{Order: o})
	}
	if o := e.adapterOrder(now, cold); o != nil {
		return e.begin(Action{Order: o})
	}
	return Action{}, false
}

func (e *Engine) begin(a Action) (Action, bool) {
	e.busy = true
	return a, true
}

// baseOrder loads the base model on an engine that holds none, as after its
// restart.
func (e *Engine) baseOrder() *plank.Order {
	if e.limits.Base == "" || len(e.bases) > 0 || e.baseLoad {
		return nil
	}
	return e.order(plank.Residency{Adapter: plank.AdapterRef{Base: e.limits.Base}}, false)
}

// pollOrder repeats the order of a load that may have ended: engines answer
// that it holds, or is under way.
func (e *Engine) pollOrder(now time.Time) *plank.Order {
	for _, p := range e.places {
		if p.state == loading && !p.poll.After(now) {
			return e.order(plank.Residency{Adapter: p.ref, Version: p.version}, false)
		}
	}
	return nil
}

// adapterOrder makes room for and loads the adapter of the first ticket that
// needs one.
func (e *Engine) adapterOrder(now time.Time, cold func() bool) *plank.Order {
	if e.loadingCount() >= maxLoading || now.Before(e.calm) {
		return nil
	}
	for _, t := range e.queue {
		if t.Adapter.Name == "" || !e.bases[t.Adapter.Base] {
			continue
		}
		p := e.places[t.Adapter]
		if p != nil && (p.state != resident || !e.isStale(p, now, t.Version)) {
			continue
		}
		if p != nil && e.users[p.ref] > 0 {
			continue // a replacement would wait for its runs and hold up others
		}
		if !e.recent.Has(t.Adapter) && !cold() {
			continue // others need no load from the weight store
		}
		want := e.wanted(t)
		if p == nil && len(e.places) >= e.limits.MaxAdapters {
			if victim := e.victim(now); victim != nil {
				victim.state = doubtful // no call is granted on it any more
				return e.order(plank.Residency{Adapter: victim.ref}, true)
			}
			return nil
		}
		if p != nil {
			p.state = doubtful // it is replaced
		}
		e.ordersCold = !e.recent.Has(t.Adapter)
		return e.order(want, false)
	}
	return nil
}

// wanted returns what to load for a ticket.
func (e *Engine) wanted(t *ticket) plank.Residency {
	newest, _ := e.newest(t.Adapter)
	return plank.Residency{Adapter: t.Adapter, Version: max(newest, t.Version)}
}

func (e *Engine) loadingCount() int {
	n := 0
	for _, p := range e.places {
		if p.state != resident {
			n++
		}
	}
	return n
}

// coldCount counts loads from the weight store that are under way. Those that
// should have ended long ago are not: the engine may be gone or have lost them.
func (e *Engine) coldCount(now time.Time) int {
	n := 0
	if e.ordersCold {
		n++
	}
	for _, p := range e.places {
		if p.state != resident && now.Before(p.cold) {
			n++
		}
	}
	return n
}

// victim picks an idle place that no ticket waits for.
func (e *Engine) victim(now time.Time) *place {
	idle := e.idle(now)
	var slots []plank.ResidentModel
	for _, p := range idle {
		slots = append(slots, plank.ResidentModel{
			Model: plank.Model{Adapter: plank.AdapterID(p.ref.String())}, Uses: p.agedUses(now),
			LastUse: p.used, LoadedAt: p.loaded, Copies: 1,
		})
	}
	if i := e.evictor.Victim(slots, evictDemand, now); i >= 0 {
		return idle[i]
	}
	return nil
}

// idle returns the places that may be taken for another adapter.
func (e *Engine) idle(now time.Time) []*place {
	var idle []*place
	for _, p := range e.places {
		if p.state != resident || e.users[p.ref] > 0 || e.isAwaited(p.ref) || now.Before(p.keep) {
			continue
		}
		if now.Sub(e.adopted) < adoptTime && e.inUse(e.inst.ID, p.ref) {
			continue
		}
		idle = append(idle, p)
	}
	return idle
}

func (e *Engine) isAwaited(ref plank.AdapterRef) bool {
	return slices.ContainsFunc(e.queue, func(t *ticket) bool { return t.Adapter == ref })
}

// order returns an order with the fence and the count of orders so far.
func (e *Engine) order(target plank.Residency, unload bool) *plank.Order {
	return &plank.Order{Unload: unload, Target: target, Expect: e.seq, Fence: e.fence}
}

// ordered takes the result of an order. fenced tells that the duty is lost.
func (e *Engine) ordered(o plank.Order, result plank.OrderResult, err error, now time.Time) (fenced bool) {
	e.busy, e.ordersCold = false, false
	e.unanswered = nil
	if err != nil {
		e.repeat(o, now)
		return false
	}
	e.silent = false
	if result == plank.OrderPending || o.Unload {
		e.ordersAt = now
	}
	if result == plank.OrderConflict {
		e.calm = now.Add(conflictPause)
		if p := e.places[o.Target.Adapter]; p != nil && o.Unload {
			p.keep = now.Add(keepTime)
		}
	}
	if result == plank.OrderConflict || result == plank.OrderMoved || result == plank.OrderRejected {
		e.doubt(now)
		return false
	}
	if result == plank.OrderFenced {
		return true
	}
	if o.Target.Adapter.Name == "" {
		e.baseLoad = result == plank.OrderPending
		if e.baseLoad {
			e.seq++
			e.nextStatus = now.Add(basePoll)
		} else {
			e.bases[o.Target.Adapter.Base] = true
		}
		return false
	}
	if o.Unload {
		e.unloaded(o, result, now)
	} else {
		e.loaded(o, result, now)
	}
	return false
}

func (e *Engine) unloaded(o plank.Order, result plank.OrderResult, now time.Time) {
	e.seq++
	e.misses = 0
	delete(e.places, o.Target.Adapter)
	if result == plank.OrderPending {
		// Calls of a former holder still run on it; the state tells when it is
		// gone.
		e.doubt(now)
	}
}

func (e *Engine) loaded(o plank.Order, result plank.OrderResult, now time.Time) {
	p := e.places[o.Target.Adapter]
	isPoll := p != nil && p.state == loading && p.version == o.Target.Version
	if p == nil {
		p = &place{ref: o.Target.Adapter, used: now}
		e.places[p.ref] = p
	}
	e.misses = 0
	p.version = o.Target.Version
	switch {
	case result == plank.OrderDone:
		p.state = resident
		p.loaded, p.cold = now, time.Time{}
		e.recent.Add(p.ref)
	case isPoll:
		p.poll = now.Add(pollEvery)
		if early := now.Sub(p.loaded); early < coldPoll {
			p.poll = now.Add(coldPoll - early)
			p.cold = p.loaded.Add(maxColdTime)
		}
	default:
		p.state = loading
		p.loaded = now // of the order, until the load has ended
		p.poll, p.cold = now.Add(warmPoll), time.Time{}
		if !e.recent.Has(p.ref) {
			p.poll, p.cold = now.Add(coldPoll), now.Add(maxColdTime)
		}
	}
	if !isPoll && result == plank.OrderPending {
		e.seq++
	}
}

// repeat prepares to give an order again that was not answered. It carries the
// same count of orders, so it is void if the engine has accepted it, and the
// earlier one is void once the engine has accepted this one. Until then the
// adapter keeps its place.
func (e *Engine) repeat(o plank.Order, now time.Time) {
	e.misses++
	if p := e.places[o.Target.Adapter]; p != nil && p.state == loading && !o.Unload && p.version == o.Target.Version {
		// It was a check of a load, which engines do not count.
		p.poll = now.Add(pollEvery)
		if e.misses >= maxMisses {
			e.silent = true
			e.doubt(now)
		}
		return
	}
	e.unanswered = &o
	if e.misses >= maxMisses {
		e.silent = true
		e.doubt(now)
	}
	p := e.places[o.Target.Adapter]
	if p == nil && !o.Unload && o.Target.Adapter.Name != "" {
		p = &place{ref: o.Target.Adapter, version: o.Target.Version, used: now, loaded: now}
		e.places[o.Target.Adapter] = p
	}
	if p != nil {
		p.state = doubtful
	}
}

// doubt makes the engine's state unknown until it was read anew.
func (e *Engine) doubt(now time.Time) {
	e.known = false
	e.readAfter = now
}

// read takes the engine's own state. One that covers fewer orders than were
// accepted is too old.
func (e *Engine) read(s plank.EngineStatus, err error, now time.Time) {
	e.busy = false
	e.nextStatus = now.Add(statusEvery)
	e.silent = err != nil
	if err != nil {
		e.known = false
		e.readAfter = now.Add(basePoll)
		return
	}
	if e.counted && s.Seq < e.seq && now.Sub(e.ordersAt) < maxReportLag {
		e.nextStatus = now.Add(reportPace)
		e.readAfter = now.Add(reportPace)
		return
	}
	if s.Seq != e.seq {
		e.unanswered = nil // it was carried out, or is void
	}
	e.known, e.counted = true, true
	e.misses = 0
	e.seq = s.Seq
	clear(e.bases)
	for _, b := range s.Bases {
		e.bases[b] = true
	}
	e.baseLoad = e.baseLoad && len(e.bases) == 0
	if e.baseLoad {
		e.nextStatus = now.Add(basePoll)
	}
	e.readPlaces(s, now)
	for ref := range e.places {
		if !e.recent.Has(ref) {
			e.recent.Add(ref)
		}
	}
}

// readPlaces brings the places in line with the engine's own state.
func (e *Engine) readPlaces(s plank.EngineStatus, now time.Time) {
	seen := make(map[plank.AdapterRef]bool)
	take := func(r plank.Residency, state placeState) {
		seen[r.Adapter] = true
		p := e.places[r.Adapter]
		if p == nil {
			p = &place{ref: r.Adapter, used: now, loaded: now}
			e.places[r.Adapter] = p
		}
		if state == loading && p.state == resident && p.version == r.Version {
			return // it arrived since
		}
		p.state, p.version = state, r.Version
		if state == loading {
			p.poll = now
		}
		if e.unanswered != nil && e.unanswered.Target.Adapter == r.Adapter {
			p.state = doubtful // an unload may still be carried out
		}
	}
	for _, r := range s.Resident {
		take(r, resident)
	}
	for _, r := range s.Loading {
		take(r, loading)
	}
	for ref, p := range e.places {
		if !seen[ref] && e.users[p.ref] == 0 {
			delete(e.places, ref)
		}
	}
}
