package grant

import (
	"errors"
	"time"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/wire"
)

// This file gives tests access to an Engine without a Scheduler.

// A TestReservation is a reservation and its outcome, which is nil until it is
// settled.
type TestReservation struct {
	res     *reservation
	Outcome *Outcome
}

// Reserve queues a request.
func (e *Engine) Reserve(r Request) *TestReservation {
	res := &TestReservation{}
	res.res = &reservation{Request: r, settle: func(o Outcome) { res.Outcome = &o }}
	e.reserve(res.res)
	return res
}

// MarkStarted records the first event of a reservation.
func (e *Engine) MarkStarted(res *TestReservation) { e.markStarted(res.res, time.Time{}) }

// Begin records the first event of a reservation at a time.
func (e *Engine) Begin(res *TestReservation, now time.Time) { e.markStarted(res.res, now) }

// MarkStartedAt records the first event of a reservation that arrived at now.
func (e *Engine) MarkStartedAt(res *TestReservation, now time.Time) {
	e.recordFirstEvent(res.res, now)
	e.markStarted(res.res, now)
}

// Release releases a reservation.
func (e *Engine) Release(res *TestReservation, now time.Time) { e.release(res.res, now) }

// Step admits queued reservations and returns the next action.
func (e *Engine) Step(now time.Time, cold bool) (Action, bool) {
	e.admitQueued(now)
	return e.nextAction(now, func() bool { return cold })
}

// HandleOrderResult processes the result of an order.
func (e *Engine) HandleOrderResult(o plank.Order, r plank.OrderResult, err error, now time.Time) bool {
	return e.handleOrderResult(o, r, err, now)
}

// HandleStatus processes a status read from the engine.
func (e *Engine) HandleStatus(s plank.EngineStatus, now time.Time) { e.handleStatus(s, nil, now) }

// State returns the state that is published to other VMs.
func (e *Engine) State(now time.Time) *wire.EngineState { return e.wireState(now) }

// MoveWaiting moves queued reservations to engines with capacity and returns how
// many it moved.
func MoveWaiting(engines []*Engine, now time.Time) int {
	ms := planMoves(engines, now, true)
	for _, m := range ms {
		m.res.requeueAt(m.to)
	}
	return len(ms)
}

// BestEngine returns the engine with the lowest cost for a request.
func BestEngine(engines []*Engine, r Request, now time.Time) *Engine {
	res := &reservation{Request: r, engine: engines[0]}
	engines[0].setPrompt(res)
	return bestEngine(engines, res, now, (*Engine).isReady)
}

// MarkAdapterMissing records that the engine refused a call because its adapter is missing.
func (e *Engine) MarkAdapterMissing(res *TestReservation, now time.Time) {
	e.markAdapterMissing(res.res, now)
}

// MarkFailed records that the engine failed a call.
func (e *Engine) MarkFailed(res *TestReservation) { e.markFailed(res.res) }

// KeptParts returns the number of prompt parts that the engine is expected to keep.
func (e *Engine) KeptParts() int { return e.parts.Len() }

// Endpoint returns the engine at which the reservation is queued or runs.
func (res *TestReservation) Endpoint() plank.EndpointID { return res.res.engine.inst.ID }

// Release releases the reservation at its engine.
func (res *TestReservation) Release(now time.Time) { res.res.engine.release(res.res, now) }

// ColdLoads counts the cold loads in progress.
func (e *Engine) ColdLoads(now time.Time) int { return e.coldLoads(now) }

// MayStartColdLoad is mayStartColdLoad with the limit that a fleet begins with.
func MayStartColdLoad(held, engines, here, elsewhere int) bool {
	return mayStartColdLoad(coldLoadLimit(engines), held, engines, here, elsewhere)
}

// A ColdLimiter is a coldLimiter, for tests.
type ColdLimiter = coldLimiter

// NewColdLimiter returns the limiter of a fleet of that many engines.
func NewColdLimiter(engines int) *ColdLimiter {
	c := new(coldLimiter)
	c.setEngines(engines)
	return c
}

// MayStart reports whether a holder of held engines may start a load.
func (c *ColdLimiter) MayStart(held, here, elsewhere int) bool {
	if mayStartColdLoad(c.current(), held, c.engines, here, elsewhere) {
		return true
	}
	c.refused = true
	return false
}

// RecordLoad records the end of a load.
func (c *ColdLimiter) RecordLoad(took time.Duration, now time.Time) { c.recordLoad(took, now) }

// Adjust changes the limit if it is time.
func (c *ColdLimiter) Adjust(inProgress int, now time.Time) { c.adjust(inProgress, now) }

// SetContended sets whether loads are ordered by their value.
func (e *Engine) SetContended(on bool) { e.contended = on }

// FailStatus processes a status that could not be read.
func (e *Engine) FailStatus(now time.Time) {
	e.handleStatus(plank.EngineStatus{}, errors.New("no answer"), now)
}

// ColdLoadTook returns how long the cold load took whose end the last order's response reported.
func (e *Engine) ColdLoadTook() time.Duration { return e.coldLoadTook }
