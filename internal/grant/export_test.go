package grant

import (
	"time"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/wire"
)

// This file gives the tests access to an Engine without a Keeper.

// A TestReservation is a ticket and what became of it.
type TestReservation struct {
	t       *ticket
	Outcome *Outcome
}

// Reserve queues a request.
func (e *Engine) Reserve(r Request) *TestReservation {
	tt := &TestReservation{}
	tt.t = &ticket{Request: r, settle: func(o Outcome) { tt.Outcome = &o }}
	e.reserve(tt.t)
	return tt
}

// MarkStarted records the first event of a ticket.
func (e *Engine) MarkStarted(tt *TestReservation) { e.started(tt.t) }

// Release releases a ticket.
func (e *Engine) Release(tt *TestReservation, now time.Time) { e.release(tt.t, now) }

// Step settles tickets and returns the next action.
func (e *Engine) Step(now time.Time, cold bool) (Action, bool) {
	e.settle(now)
	return e.next(now, func() bool { return cold })
}

// HandleOrderResult takes the result of an order.
func (e *Engine) HandleOrderResult(o plank.Order, r plank.OrderResult, err error, now time.Time) bool {
	return e.ordered(o, r, err, now)
}

// HandleStatus takes the engine's state.
func (e *Engine) HandleStatus(s plank.EngineStatus, now time.Time) { e.read(s, nil, now) }

// State returns what other VMs are told.
func (e *Engine) State(now time.Time) *wire.EngineState { return e.state(now) }

// MoveWaiting lets tickets that wait go on at engines with room and returns how many.
func MoveWaiting(engines []*Engine, now time.Time) int {
	ms := moves(engines, now, true)
	for _, m := range ms {
		m.ticket.moveTo(m.to)
	}
	return len(ms)
}

// Endpoint returns the engine at which a ticket waits or runs.
func (tt *TestReservation) Endpoint() plank.EndpointID { return tt.t.engine.inst.ID }

// Release releases the ticket where it is.
func (tt *TestReservation) Release(now time.Time) { tt.t.engine.release(tt.t, now) }

// ColdLoads counts the loads from the weight store.
func (e *Engine) ColdLoads(now time.Time) int { return e.coldCount(now) }

// MayStartColdLoad gives the tests access to mayLoadCold.
var MayStartColdLoad = mayLoadCold
