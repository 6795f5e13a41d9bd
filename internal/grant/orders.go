package grant

import (
	"math"
	"slices"
	"time"

	"knapweedplank.org/plank"
)

// evictDemand is the demand for an adapter slot, in uses, that is passed to evictors.
// It exceeds the uses of any adapter, so that no idle slot is withheld from a waiting
// call: engines load an adapter that they held recently in 25 ms.
const evictDemand = math.MaxInt32

func exp2(x float64) float64 { return math.Exp2(x) }

// nextAction returns the action to perform now and whether there is one.
// mayLoadCold reports whether another cold load may start.
func (e *Engine) nextAction(now time.Time, mayLoadCold func() bool) (Action, bool) {
	if e.busy || e.isPaused(now) {
		return Action{}, false
	}
	if !e.statusKnown || !now.Before(e.nextStatusAt) {
		if now.Before(e.statusNotBefore) {
			return Action{}, false
		}
		return e.startAction(Action{ReadStatus: true})
	}
	if e.unanswered != nil {
		return e.startAction(Action{Order: e.unanswered})
	}
	if o := e.baseOrder(); o != nil {
		return e.startAction(Action{Order: o})
	}
	if e.baseLoading {
		return Action{}, false
	}
	if o := e.pollOrder(now); o != nil {
		return e.startAction(Action{Order: o})
	}
	if o := e.loadOrder(now, mayLoadCold); o != nil {
		return e.startAction(Action{Order: o})
	}
	return Action{}, false
}

func (e *Engine) startAction(a Action) (Action, bool) {
	e.busy = true
	return a, true
}

// baseOrder returns an order to load the base model if the engine holds none, as
// after its restart.
func (e *Engine) baseOrder() *plank.Order {
	if e.limits.Base == "" || len(e.bases) > 0 || e.baseLoading {
		return nil
	}
	return e.order(plank.Residency{Adapter: plank.AdapterRef{Base: e.limits.Base}}, false)
}

// pollOrder returns the repeated order of a load that may have ended: the engine
// responds that the adapter is resident or still loading.
func (e *Engine) pollOrder(now time.Time) *plank.Order {
	for _, slot := range e.slots {
		if slot.state == loading && !slot.pollAt.After(now) {
			return e.order(plank.Residency{Adapter: slot.ref, Version: slot.version}, false)
		}
	}
	return nil
}

// loadOrder returns an order to load the adapter of the first queued reservation
// that needs one, or to unload another adapter for it.
func (e *Engine) loadOrder(now time.Time, mayLoadCold func() bool) *plank.Order {
	if e.loadingCount() >= maxLoading || now.Before(e.noLoadsUntil) {
		return nil
	}
	queue := e.queue
	if e.contended {
		queue = e.byLoadValue(now)
	}
	for _, res := range queue {
		if res.Adapter.Name == "" || !e.bases[res.Adapter.Base] {
			continue
		}
		slot := e.slots[res.Adapter]
		if slot != nil && (slot.state != resident || !e.isStale(slot, now, res.Version)) {
			continue
		}
		if slot != nil && e.users[slot.ref] > 0 {
			continue // a replacement would wait for the running calls and block others
		}
		if !e.recent.Has(res.Adapter) && !mayLoadCold() {
			continue // reservations behind it may need no cold load
		}
		want := e.wantedResidency(res)
		if slot == nil && len(e.slots) >= e.limits.MaxAdapters {
			if victim := e.victim(now); victim != nil {
				victim.state = uncertain // no more calls are granted on it
				return e.order(plank.Residency{Adapter: victim.ref}, true)
			}
			return nil
		}
		if slot != nil {
			slot.state = uncertain // it is being replaced
		}
		e.coldOrder = !e.recent.Has(res.Adapter)
		return e.order(want, false)
	}
	return nil
}

// wantedResidency returns the adapter version to load for a reservation.
func (e *Engine) wantedResidency(res *reservation) plank.Residency {
	return plank.Residency{Adapter: res.Adapter, Version: max(e.newestVersion(res.Adapter), res.Version)}
}

func (e *Engine) loadingCount() int {
	n := 0
	for _, slot := range e.slots {
		if slot.state != resident {
			n++
		}
	}
	return n
}

// coldLoads counts the cold loads in progress. It leaves out those that are long
// overdue, which the engine may have lost, for example by a crash.
func (e *Engine) coldLoads(now time.Time) int {
	n := 0
	if e.coldOrder {
		n++
	}
	for _, slot := range e.slots {
		if slot.state != resident && now.Before(slot.coldUntil) {
			n++
		}
	}
	return n
}

// victim returns the idle slot to reassign, or nil if there is none.
func (e *Engine) victim(now time.Time) *adapterSlot {
	idle := e.idleSlots(now)
	var slots []plank.ResidentModel
	for _, slot := range idle {
		slots = append(slots, plank.ResidentModel{
			Model: plank.Model{Adapter: plank.AdapterID(slot.ref.String())}, Uses: slot.agedUses(now),
			LastUse: slot.lastUsed, LoadedAt: slot.loadedAt, Copies: 1,
		})
	}
	if i := e.evictor.Victim(slots, evictDemand, now); i >= 0 {
		return idle[i]
	}
	return nil
}

// idleSlots returns the slots that may be reassigned to another adapter.
func (e *Engine) idleSlots(now time.Time) []*adapterSlot {
	var idle []*adapterSlot
	for _, slot := range e.slots {
		if slot.state != resident || e.users[slot.ref] > 0 || e.isQueuedFor(slot.ref) || now.Before(slot.keepUntil) {
			continue
		}
		if now.Sub(e.adoptedAt) < takeoverGrace && e.inUseElsewhere(e.inst.ID, slot.ref) {
			continue
		}
		idle = append(idle, slot)
	}
	return idle
}

func (e *Engine) isQueuedFor(ref plank.AdapterRef) bool {
	return slices.ContainsFunc(e.queue, func(res *reservation) bool { return res.Adapter == ref })
}

// order returns an order with the fencing token and the expected order count.
func (e *Engine) order(target plank.Residency, unload bool) *plank.Order {
	return &plank.Order{Unload: unload, Target: target, Expect: e.seq, Fence: e.fencingToken}
}

// handleOrderResult processes the result of an order. It reports whether the engine
// refused the order because it has seen a higher term.
func (e *Engine) handleOrderResult(o plank.Order, result plank.OrderResult, err error, now time.Time) (fenced bool) {
	e.busy, e.coldOrder, e.coldLoadTook = false, false, 0
	e.unanswered = nil
	if err != nil {
		e.handleUnanswered(o, now)
		return false
	}
	wasUnresponsive := e.unresponsive
	e.unresponsive = false
	e.markColdContact(wasUnresponsive)
	if result == plank.OrderPending || o.Unload {
		e.lastOrderAt = now
	}
	if result == plank.OrderConflict {
		e.noLoadsUntil = now.Add(conflictPause)
		if slot := e.slots[o.Target.Adapter]; slot != nil && o.Unload {
			slot.keepUntil = now.Add(unloadRetryDelay)
		}
	}
	if result == plank.OrderConflict || result == plank.OrderMoved || result == plank.OrderRejected {
		e.invalidateStatus(now)
		return false
	}
	if result == plank.OrderFenced {
		return true
	}
	if o.Target.Adapter.Name == "" {
		e.baseLoading = result == plank.OrderPending
		if e.baseLoading {
			e.seq++
			e.nextStatusAt = now.Add(basePollInterval)
		} else {
			e.bases[o.Target.Adapter.Base] = true
		}
		return false
	}
	if o.Unload {
		e.handleUnloaded(o, result, now)
	} else {
		e.handleLoaded(o, result, now)
	}
	e.retainParts()
	return false
}

func (e *Engine) handleUnloaded(o plank.Order, result plank.OrderResult, now time.Time) {
	e.seq++
	e.unansweredCount = 0
	delete(e.slots, o.Target.Adapter)
	if result == plank.OrderPending {
		// Calls from a previous lease holder still run on it; the status shows when
		// it has been unloaded.
		e.invalidateStatus(now)
	}
}

func (e *Engine) handleLoaded(o plank.Order, result plank.OrderResult, now time.Time) {
	slot := e.slots[o.Target.Adapter]
	isPoll := slot != nil && slot.state == loading && slot.version == o.Target.Version
	if slot == nil {
		slot = &adapterSlot{ref: o.Target.Adapter, lastUsed: now}
		e.slots[slot.ref] = slot
	}
	e.unansweredCount = 0
	slot.version = o.Target.Version
	switch {
	case result == plank.OrderDone:
		slot.state = resident
		if !slot.coldUntil.IsZero() && !slot.checkLost && now.Sub(slot.pollAt) < maxCheckDelay {
			e.coldLoadTook = now.Sub(slot.loadedAt)
		}
		slot.loadedAt, slot.coldUntil = now, time.Time{}
		e.recent.Add(slot.ref)
	case isPoll:
		slot.pollAt = now.Add(pollInterval)
		if elapsed := now.Sub(slot.loadedAt); elapsed < coldLoadPoll {
			slot.pollAt = now.Add(coldLoadPoll - elapsed)
			slot.coldUntil = slot.loadedAt.Add(maxColdLoadTime)
		}
	default:
		slot.state = loading
		slot.loadedAt, slot.checkLost = now, false // time of the order, until the load has ended
		slot.pollAt, slot.coldUntil = now.Add(recentLoadPoll), time.Time{}
		if !e.recent.Has(slot.ref) {
			slot.pollAt, slot.coldUntil = now.Add(coldLoadPoll), now.Add(maxColdLoadTime)
		}
	}
	if !isPoll && result == plank.OrderPending {
		e.seq++
	}
}

// handleUnanswered schedules the repetition of an order that got no response. The
// repetition has the same expected order count, so the engine carries out at most
// one of the two. Until one is accepted, the adapter keeps its slot.
func (e *Engine) handleUnanswered(o plank.Order, now time.Time) {
	e.unansweredCount++
	if slot := e.slots[o.Target.Adapter]; slot != nil && slot.state == loading && !o.Unload && slot.version == o.Target.Version {
		// The order was a check of a load, which engines do not count.
		slot.pollAt, slot.checkLost = now.Add(pollInterval), true
		if e.unansweredCount >= maxUnanswered {
			e.unresponsive = true
			e.markColdContact(true)
			e.invalidateStatus(now)
		}
		return
	}
	e.unanswered = &o
	if e.unansweredCount >= maxUnanswered {
		e.unresponsive = true
		e.markColdContact(true)
		e.invalidateStatus(now)
	}
	slot := e.slots[o.Target.Adapter]
	if slot == nil && !o.Unload && o.Target.Adapter.Name != "" {
		slot = &adapterSlot{ref: o.Target.Adapter, version: o.Target.Version, lastUsed: now, loadedAt: now}
		e.slots[o.Target.Adapter] = slot
	}
	if slot != nil {
		slot.state = uncertain
	}
}

// invalidateStatus makes the engine's status unknown until it is read again.
func (e *Engine) invalidateStatus(now time.Time) {
	e.statusKnown = false
	e.statusNotBefore = now
}

// handleStatus processes the status that was read from the engine. A status that
// covers fewer orders than were accepted is outdated and ignored, unless the last
// accepted order is older than maxStatusLag.
func (e *Engine) handleStatus(s plank.EngineStatus, err error, now time.Time) {
	e.busy = false
	e.nextStatusAt = now.Add(statusInterval)
	wasUnresponsive := e.unresponsive
	e.unresponsive = err != nil
	e.markColdContact(wasUnresponsive)
	if err != nil {
		e.statusKnown = false
		e.statusNotBefore = now.Add(basePollInterval)
		return
	}
	if e.seqKnown && s.Seq < e.seq && now.Sub(e.lastOrderAt) < maxStatusLag {
		e.nextStatusAt = now.Add(staleStatusDelay)
		e.statusNotBefore = now.Add(staleStatusDelay)
		return
	}
	if s.Seq != e.seq {
		e.unanswered = nil // it was carried out or can no longer be
	}
	e.statusKnown, e.seqKnown = true, true
	e.unansweredCount = 0
	e.seq = s.Seq
	clear(e.bases)
	for _, b := range s.Bases {
		e.bases[b] = true
	}
	e.baseLoading = e.baseLoading && len(e.bases) == 0
	if e.baseLoading {
		e.nextStatusAt = now.Add(basePollInterval)
	}
	e.updateSlots(s, now)
	e.retainParts()
	for ref := range e.slots {
		if !e.recent.Has(ref) {
			e.recent.Add(ref)
		}
	}
}

// updateSlots updates the slots from the engine's status.
func (e *Engine) updateSlots(s plank.EngineStatus, now time.Time) {
	seen := make(map[plank.AdapterRef]bool)
	update := func(r plank.Residency, state slotState) {
		seen[r.Adapter] = true
		slot := e.slots[r.Adapter]
		if slot == nil {
			slot = &adapterSlot{ref: r.Adapter, lastUsed: now, loadedAt: now}
			e.slots[r.Adapter] = slot
		}
		if state == loading && slot.state == resident && slot.version == r.Version {
			return // the load ended after the status was taken
		}
		slot.state, slot.version = state, r.Version
		if state == loading {
			slot.pollAt = now
		}
		if e.unanswered != nil && e.unanswered.Target.Adapter == r.Adapter {
			slot.state = uncertain // an unanswered unload may still be carried out
		}
	}
	for _, r := range s.Resident {
		update(r, resident)
	}
	for _, r := range s.Loading {
		update(r, loading)
	}
	for ref, slot := range e.slots {
		if !seen[ref] && e.users[slot.ref] == 0 {
			delete(e.slots, ref)
		}
	}
}
