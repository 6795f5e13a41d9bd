package grant

import (
	"slices"
	"time"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/pick"
)

// This file defines how calls that wait at one engine go on at another of the
// same holder, so that none waits while another engine has room: places become
// free in an order that nobody knows when the call is placed.

// A move is a ticket that is to wait at another engine.
type move struct {
	ticket *ticket
	to     *Engine
}

// moves returns the tickets that can begin at once at another engine, and
// cannot where they wait. Each engine gets at most one at a time.
// cold tells whether another load from the weight store may begin.
func moves(engines []*Engine, now time.Time, cold bool) []move {
	var out []move
	// Thousands of tickets may wait, so what an engine has to offer is not worked
	// out for each of them.
	offers := make(map[*Engine]offer, len(engines))
	for _, e := range engines {
		offers[e] = e.offer(now)
	}
	for _, e := range engines {
		for _, t := range e.stuck(now) {
			if to := best(engines, t, now, func(o *Engine) bool { return o != e && o.takes(t, now, cold, offers[o]) }); to != nil {
				out = append(out, move{ticket: t, to: to})
				delete(offers, to)
			}
		}
	}
	return out
}

// An offer is what an engine has for tickets that wait elsewhere.
type offer struct {
	usable bool
	place  bool // for an adapter that is not there
}

func (e *Engine) offer(now time.Time) offer {
	usable := e.isOrderable() && !e.isAvoided()
	return offer{usable: usable, place: usable && !now.Before(e.calm) && e.openings(now) > e.wantedPlaces()}
}

// best returns the engine with the least cost for a ticket among those allowed.
func best(engines []*Engine, t *ticket, now time.Time, allowed func(*Engine) bool) *Engine {
	w := pick.Call{Adapter: t.Adapter, Prompt: t.Prompt, Output: t.Output, Target: t.Target.Sub(now)}
	var found []*Engine
	var views []pick.Engine
	for _, e := range engines {
		if e.inst.Service == t.engine.inst.Service && !slices.Contains(t.Skip, e.inst.ID) && allowed(e) {
			found = append(found, e)
			views = append(views, e.view(t.Adapter, now))
		}
	}
	i, _ := pick.BestEngine(views, w, func(plank.EndpointID) bool { return false })
	if i < 0 {
		return nil
	}
	return found[i]
}

// view describes the engine to a choice.
func (e *Engine) view(ref plank.AdapterRef, now time.Time) pick.Engine {
	failRate, avoid := e.health(e.inst.ID)
	v := pick.Engine{
		Instance: e.inst, StateKnown: e.known, NoBaseModel: e.isBare(), RecentlyResident: e.recent.Has(ref),
		TakenAdapterSlots: len(e.places), IdleAdapterSlots: len(e.idle(now)), AdapterSlots: e.limits.MaxAdapters, WaitingAdapters: e.wantedPlaces(),
		Running: len(e.running), Queued: len(e.queue), Slots: e.limits.MaxRunning, Backlog: e.waitingPrompts(),
		PrefillRate: e.readingRate(now), KVUsed: e.used, KVCapacity: e.limits.Memory, FailRate: failRate, Avoid: e.silent || avoid,
	}
	if p := e.places[ref]; p != nil {
		v.Resident, v.Loading = p.state == resident, p.state != resident
		v.Stale = v.Resident && e.isStale(p, now, 0)
	}
	return v
}

// openings returns how many more adapters could be loaded now.
func (e *Engine) openings(now time.Time) int {
	free := e.limits.MaxAdapters - len(e.places) + len(e.idle(now))
	return min(free, maxLoading-e.loadingCount())
}

// isAvoided tells whether the engine should get no calls.
func (e *Engine) isAvoided() bool {
	_, avoid := e.health(e.inst.ID)
	return avoid
}

// stuck returns the tickets that wait for a place while none is to be had, or
// for an engine that fails.
func (e *Engine) stuck(now time.Time) []*ticket {
	if len(e.queue) == 0 {
		return nil
	}
	if e.isAvoided() {
		return e.queue
	}
	left := e.openings(now)
	var out []*ticket
	seen := make(map[plank.AdapterRef]bool)
	for _, t := range e.queue {
		if t.Adapter.Name == "" || e.places[t.Adapter] != nil || seen[t.Adapter] {
			continue
		}
		if left > 0 && e.isOrderable() {
			seen[t.Adapter] = true
			left--
			continue
		}
		out = append(out, t)
	}
	return out
}

// isOrderable tells whether the engine's state is known and it has a base model.
func (e *Engine) isOrderable() bool {
	return e.known && !e.silent && len(e.bases) > 0
}

// takes tells whether a ticket that waits elsewhere could begin here at once, or
// after its adapter's load.
func (e *Engine) takes(t *ticket, now time.Time, cold bool, o offer) bool {
	if !o.usable || !e.fits(t) {
		return false
	}
	if p := e.places[t.Adapter]; p != nil {
		return p.state == resident && !e.isStale(p, now, t.Version)
	}
	return o.place && (cold || e.recent.Has(t.Adapter))
}

// moveTo makes a ticket wait at another engine.
func (t *ticket) moveTo(to *Engine) {
	from := t.engine
	from.queue = slices.DeleteFunc(from.queue, func(q *ticket) bool { return q == t })
	to.reserve(t)
}
