package grant

import (
	"time"

	"knapweedplank.org/plank/internal/cold"
	"knapweedplank.org/plank/internal/wire"
)

// This file limits the grants for cold engines. Only the holder grants, so it enforces the
// bound on the requests that a cold engine gets.

// A coldGate paces the grants for one engine while it is cold. It has no effect on engines of
// services whose endpoints are never cold.
type coldGate struct {
	table *cold.Table // nil in tests that have no cold engines
	pacer *cold.Pacer
	until time.Time // the end of the cold period; zero while the engine is warm
}

// updateCold reads whether the engine is cold. It reports whether this has changed.
func (e *Engine) updateCold(now time.Time) (changed bool) {
	e.cold.until = e.cold.table.Until(e.inst)
	return e.cold.pacer.SetCold(e.isCold(), now)
}

func (e *Engine) isCold() bool { return !e.cold.until.IsZero() }

// coldRate returns the requests per second that the engine tolerates while it is cold; 0 if it
// is never cold.
func (e *Engine) coldRate() float64 { return e.cold.table.Rate(e.inst.Service) }

// mayGrant reports whether a grant stays within the bound of a cold engine. A VM that is
// paused may send its granted calls at any later time, so the grants whose answers have not
// begun may not exceed half of the bound; new ones need the other half.
func (e *Engine) mayGrant(now time.Time) bool {
	if !e.isCold() {
		return true
	}
	unbegun := 0
	for res := range e.running {
		if !res.started {
			unbegun++
		}
	}
	rate := e.coldRate()
	return unbegun < e.cold.pacer.MaxUnbegun(rate) && !e.cold.pacer.NextAt(rate).After(now)
}

// recordGrant records a grant.
func (e *Engine) recordGrant(now time.Time) {
	if rate := e.coldRate(); rate > 0 {
		e.cold.pacer.Record(rate, now)
	}
}

// coldWait returns how long a call waits for a cold engine, behind a number of others. The
// engine is warm at the end of the period at the latest.
func (e *Engine) coldWait(ahead int, now time.Time) time.Duration {
	if !e.isCold() {
		return 0
	}
	return max(0, min(e.cold.pacer.WaitAt(e.coldRate(), ahead, now).Sub(now), e.cold.until.Sub(now)))
}

// coldCost returns the cost of the engine for a further call while it is cold: the wait, and
// half of an interval, so that a warm engine that is as free is preferred.
func (e *Engine) coldCost(now time.Time) time.Duration {
	if !e.isCold() {
		return 0
	}
	return e.coldWait(len(e.queue), now) + e.cold.pacer.Interval(e.coldRate())/2
}

// refusesCold refuses a reservation that a cold engine would not get before its target, behind
// the number of reservations ahead: its VM requests another engine at once. One whose target
// has passed, as of a stream that is resumed, may wait until its deadline.
func (e *Engine) refusesCold(res *reservation, ahead int, now time.Time) bool {
	wait, latest := e.coldWait(ahead, now), res.Target
	if !latest.After(now) {
		latest = res.Deadline
	}
	if wait == 0 || !now.Add(wait).After(latest) {
		return false
	}
	res.settle(Outcome{Reason: "the engine is cold", RetryAfter: wait})
	return true
}

// publishCold adds to the state that other VMs receive whether the engine is cold.
func (e *Engine) publishCold(s *wire.EngineState, now time.Time) {
	if !e.isCold() {
		return
	}
	s.ColdMillis = max(1, e.cold.until.Sub(now).Milliseconds())
	if e.mayGrant(now) {
		s.ColdRoom = 1
	}
}

// markColdContact records whether the engine, which did not answer its holder before, could
// be reached: it may have started again.
func (e *Engine) markColdContact(wasUnresponsive bool) {
	switch {
	case e.coldRate() <= 0:
	case e.unresponsive:
		e.cold.table.MarkUnreached(e.inst)
	case wasUnresponsive:
		e.cold.table.RecordContact(e.inst)
	}
}

// MarkUnreached records that the engine of the reservation could not be reached.
func (res *Reservation) MarkUnreached() {
	if t := res.scheduler.deps.Cold; t != nil {
		t.MarkUnreached(res.Instance)
	}
}

// keepCold takes over the grants of an earlier run of the engine, which may still arrive.
func (e *Engine) keepCold(old *Engine) {
	if old != nil {
		e.cold.pacer = old.cold.pacer
	}
}

// newColdGate returns the gate of an engine.
func newColdGate(deps *Deps) coldGate {
	return coldGate{table: deps.Cold, pacer: cold.NewPacer(deps.ColdBound)}
}
