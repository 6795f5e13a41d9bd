package grant

import (
	"time"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/wire"
)

// This file gives the tests access to an Engine without a Keeper.

// A TestTicket is a ticket and what became of it.
type TestTicket struct {
	t       *ticket
	Settled *Outcome
}

// Ask queues a request.
func (e *Engine) Ask(r Request) *TestTicket {
	tt := &TestTicket{}
	tt.t = &ticket{Request: r, settle: func(o Outcome) { tt.Settled = &o }}
	e.reserve(tt.t)
	return tt
}

// Begin records the first event of a ticket.
func (e *Engine) Begin(tt *TestTicket) { e.started(tt.t) }

// End releases a ticket.
func (e *Engine) End(tt *TestTicket, now time.Time) { e.release(tt.t, now) }

// Step settles tickets and returns the next action.
func (e *Engine) Step(now time.Time, cold bool) (Action, bool) {
	e.settle(now)
	return e.next(now, func() bool { return cold })
}

// Ordered takes the result of an order.
func (e *Engine) Ordered(o plank.Order, r plank.OrderResult, err error, now time.Time) bool {
	return e.ordered(o, r, err, now)
}

// Read takes the engine's state.
func (e *Engine) Read(s plank.EngineStatus, now time.Time) { e.read(s, nil, now) }

// State returns what other VMs are told.
func (e *Engine) State(now time.Time) *wire.EngineState { return e.state(now) }

// Move lets tickets that wait go on at engines with room and returns how many.
func Move(engines []*Engine, now time.Time) int {
	ms := moves(engines, now, true)
	for _, m := range ms {
		m.ticket.moveTo(m.to)
	}
	return len(ms)
}

// Where returns the engine at which a ticket waits or runs.
func (tt *TestTicket) Where() plank.EndpointID { return tt.t.engine.inst.ID }

// End releases the ticket where it is.
func (tt *TestTicket) End(now time.Time) { tt.t.engine.release(tt.t, now) }

// ColdLoads counts the loads from the weight store.
func (e *Engine) ColdLoads(now time.Time) int { return e.coldCount(now) }

// MayLoadCold gives the tests access to mayLoadCold.
var MayLoadCold = mayLoadCold
