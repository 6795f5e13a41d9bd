package grant

import (
	"slices"
	"time"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/pick"
)

// This file moves queued calls between the engines of one lease holder, so that no
// call waits while another engine has capacity: the order in which adapter slots
// become free is not known when a call is routed.

// A move is a reservation to be queued at another engine.
type move struct {
	res *reservation
	to  *Engine
}

// planMoves returns the moves of reservations that are blocked at their engine and
// can proceed at another one. Each engine gets at most one at a time. mayLoadCold is
// set if another cold load may start.
func planMoves(engines []*Engine, now time.Time, mayLoadCold bool) []move {
	var out []move
	// Thousands of reservations may be queued, so the capacities of the engines are
	// computed once and not for each of them.
	var capacities map[*Engine]capacity
	planned := make(map[plank.AdapterRef]bool) // adapters whose new versions get a move
	for _, e := range engines {
		for _, res := range e.movable(now) {
			// Calls for a cold engine move although their adapter is resident there.
			isNewVersion := e.slots[res.Adapter] != nil && !e.isCold()
			if isNewVersion && (planned[res.Adapter] || isAwaitedElsewhere(engines, e, res.Adapter)) {
				continue // it can move once the new version is resident there
			}
			if capacities == nil {
				capacities = make(map[*Engine]capacity, len(engines))
				for _, e := range engines {
					capacities[e] = e.capacity(now)
				}
			}
			if to := bestEngine(engines, res, now, func(o *Engine) bool { return o != e && o.accepts(res, now, mayLoadCold, capacities[o]) }); to != nil {
				out = append(out, move{res: res, to: to})
				planned[res.Adapter] = planned[res.Adapter] || isNewVersion
				delete(capacities, to)
			}
		}
	}
	return out
}

// isAwaitedElsewhere reports whether an engine other than e loads an adapter, or will for a
// queued call.
func isAwaitedElsewhere(engines []*Engine, e *Engine, ref plank.AdapterRef) bool {
	return slices.ContainsFunc(engines, func(o *Engine) bool {
		if o == e {
			return false
		}
		slot := o.slots[ref]
		return slot == nil && o.isQueuedFor(ref) || slot != nil && slot.state != resident
	})
}

// A capacity is what an engine can accept from the queues of other engines.
type capacity struct {
	usable   bool
	freeSlot bool // an adapter without a slot can get one
}

func (e *Engine) capacity(now time.Time) capacity {
	usable := e.isReady() && !e.isAvoided() && !e.isOut()
	return capacity{usable: usable, freeSlot: usable && !now.Before(e.noLoadsUntil) && !e.isPaused(now) && e.freeSlots(now) > e.wantedAdapters()}
}

// bestEngine returns the allowed engine with the lowest cost for a reservation, or
// nil if there is none.
func bestEngine(engines []*Engine, res *reservation, now time.Time, allowed func(*Engine) bool) *Engine {
	w := pick.Call{Adapter: res.Adapter, Prompt: res.Prompt, Output: res.Output, MaxGap: res.MaxGap, Target: res.Target.Sub(now)}
	var found []*Engine
	var views []pick.Engine
	for _, e := range engines {
		if e.inst.Service == res.engine.inst.Service && !slices.Contains(res.Skip, e.inst.ID) && allowed(e) {
			found = append(found, e)
			v := e.view(res.Adapter, now)
			if !v.Stale {
				v.Kept = e.estimate(res).Kept
			}
			views = append(views, v)
		}
	}
	i, _ := pick.BestEngine(views, w, func(plank.EndpointID) bool { return false })
	if i < 0 {
		return nil
	}
	return found[i]
}

// view returns the description of the engine that package pick chooses by.
func (e *Engine) view(ref plank.AdapterRef, now time.Time) pick.Engine {
	failRate, avoid := e.health(e.inst.ID)
	v := pick.Engine{
		Instance: e.inst, StateKnown: e.statusKnown, NoBaseModel: e.hasNoBase(), RecentlyResident: e.recent.Has(ref),
		TakenAdapterSlots: len(e.slots), IdleAdapterSlots: len(e.idleSlots(now)), AdapterSlots: e.limits.MaxAdapters, WaitingAdapters: e.wantedAdapters(),
		Running: len(e.running), Queued: len(e.queue), Slots: e.limits.MaxRunning, Backlog: e.pendingPrefill(),
		PrefillRate: e.prefillRate(now), KVUsed: e.usedMemory + e.overruns.reserve(), KVCapacity: e.limits.Memory, ColdWait: e.coldCost(now), FailRate: failRate, Avoid: e.unresponsive || avoid,
		Pace: e.pace(), EventTokens: e.limits.EventTokens, StrictGaps: float64(e.strict.count), StrictGap: e.strict.meanGap(),
	}
	if slot := e.slots[ref]; slot != nil {
		v.Resident, v.Loading = slot.state == resident, slot.state != resident
		v.Stale = v.Resident && e.isStale(slot, now, 0)
		v.InUse = e.users[ref] > 0
	}
	return v
}

// freeSlots returns how many more adapters could be loaded now.
func (e *Engine) freeSlots(now time.Time) int {
	free := e.limits.MaxAdapters - len(e.slots) + len(e.idleSlots(now))
	return min(free, maxLoading-e.loadingCount())
}

// isAvoided reports whether the engine should get no calls.
func (e *Engine) isAvoided() bool {
	_, avoid := e.health(e.inst.ID)
	return avoid
}

// movable returns the queued reservations that wait for an adapter slot while none is
// available or the engine wants no orders, or for the calls on an old version of their adapter
// to end, or behind the first one for a cold engine. It returns all of them if the engine is to be avoided.
func (e *Engine) movable(now time.Time) []*reservation {
	if len(e.queue) == 0 {
		return nil
	}
	if e.isAvoided() {
		return e.queue
	}
	left := e.freeSlots(now)
	if e.isPaused(now) {
		left = 0
	}
	var out []*reservation
	seen := make(map[plank.AdapterRef]bool)
	for n, res := range e.queue {
		if n > 0 && e.isCold() {
			out = append(out, res) // the engine gets the first one next
			continue
		}
		slot := e.slots[res.Adapter]
		if slot != nil && e.isBlockedByUsers(slot, now, res) {
			out = append(out, res)
			continue
		}
		if res.Adapter.Name == "" || slot != nil || seen[res.Adapter] {
			continue
		}
		if left > 0 && e.isReady() {
			seen[res.Adapter] = true
			left--
			continue
		}
		out = append(out, res)
	}
	return out
}

// isBlockedByUsers reports whether a reservation waits for the calls on an old version of its
// adapter, which may run for long.
func (e *Engine) isBlockedByUsers(slot *adapterSlot, now time.Time, res *reservation) bool {
	return slot.state == resident && e.isStale(slot, now, res.Version) && e.users[slot.ref] > 0
}

// isReady reports whether the engine responds, its status is known and it holds a
// base model.
func (e *Engine) isReady() bool {
	return e.statusKnown && !e.unresponsive && len(e.bases) > 0
}

// accepts reports whether a reservation queued elsewhere could proceed on this
// engine at once or after the load of its adapter.
func (e *Engine) accepts(res *reservation, now time.Time, mayLoadCold bool, c capacity) bool {
	if !c.usable || !e.fits(res, e.estimate(res)) || !e.mayGrant(now) {
		return false
	}
	if slot := e.slots[res.Adapter]; slot != nil {
		return slot.state == resident && !e.isStale(slot, now, res.Version)
	}
	return c.freeSlot && (mayLoadCold || e.recent.Has(res.Adapter))
}

// requeueAt moves the reservation to the queue of another engine.
func (res *reservation) requeueAt(to *Engine) {
	from := res.engine
	from.queue = slices.DeleteFunc(from.queue, func(q *reservation) bool { return q == res })
	to.reserve(res)
}
