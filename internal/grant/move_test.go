package grant_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/grant"
)

// A domain is some engines of one holder.
type domain struct {
	worlds  []*world
	engines []*grant.Engine
}

func newDomain(ids ...string) *domain {
	d := &domain{}
	for _, id := range ids {
		w := newNamedWorld(id, limits)
		d.worlds = append(d.worlds, w)
		d.engines = append(d.engines, w.engine)
	}
	return d
}

// advance moves the time on at all engines and returns how many calls moved.
func (d *domain) advance(total time.Duration) int {
	const step = 10 * time.Millisecond
	moved := 0
	for ; total > 0; total -= step {
		moved += grant.MoveWaiting(d.engines, d.worlds[0].now)
		for _, w := range d.worlds {
			w.advance(step)
		}
	}
	return moved
}

// The load at which calls waited in vain: all places of one engine are kept by
// long answers while the others' become free.
func TestCallsMoveToEnginesWithRoom(t *testing.T) {
	d := newDomain("full", "room")
	var running []*grant.TestReservation
	for n := range 3 {
		running = append(running, d.worlds[0].ask(n, 0))
	}
	d.advance(600 * time.Millisecond)
	waits := []*grant.TestReservation{d.worlds[0].ask(10, 0), d.worlds[0].ask(11, 0), d.worlds[0].ask(12, 0)}
	d.advance(700 * time.Millisecond)
	for _, tt := range waits {
		assert.Assert(t, tt.Outcome != nil && tt.Outcome.Granted)
		assert.Equal(t, tt.Endpoint(), plank.EndpointID("room"))
	}
	for _, tt := range running {
		assert.Equal(t, tt.Endpoint(), plank.EndpointID("full"))
	}
	for _, w := range d.worlds {
		assert.Assert(t, w.most <= limits.MaxAdapters)
	}
}

// With all places in use nothing moves; the first that becomes free gets the
// call, wherever it waits.
func TestCallsDoNotMoveWithoutRoom(t *testing.T) {
	d := newDomain("a", "b")
	var second []*grant.TestReservation
	for n := range 3 {
		d.worlds[0].ask(n, 0)
		second = append(second, d.worlds[1].ask(20+n, 0))
	}
	d.advance(600 * time.Millisecond)
	call := d.worlds[0].ask(10, 0)
	assert.Equal(t, d.advance(500*time.Millisecond), 0)
	second[1].Release(d.worlds[1].now)
	d.advance(400 * time.Millisecond)
	assert.Assert(t, call.Outcome != nil && call.Outcome.Granted)
	assert.Equal(t, call.Endpoint(), plank.EndpointID("b"))
}

// A call that was tried at an engine does not get there again.
func TestCallsDoNotMoveToWhereTheyFailed(t *testing.T) {
	d := newDomain("full", "tried")
	for n := range 3 {
		d.worlds[0].ask(n, 0)
	}
	d.advance(600 * time.Millisecond)
	now := d.worlds[0].now
	d.worlds[0].engine.Reserve(grant.Request{Adapter: adapter(9), Prompt: 100, Deadline: now.Add(time.Second), Skip: []plank.EndpointID{"tried"}})
	assert.Equal(t, d.advance(500*time.Millisecond), 0)
}

// Calls that wait at an engine which fails others' calls go elsewhere.
func TestCallsLeaveAnEngineThatFails(t *testing.T) {
	d := newDomain("fails", "room")
	d.advance(50 * time.Millisecond)
	call := d.worlds[0].ask(1, 0)
	d.worlds[0].avoid = true
	d.advance(400 * time.Millisecond)
	assert.Assert(t, call.Outcome != nil && call.Outcome.Granted)
	assert.Equal(t, call.Endpoint(), plank.EndpointID("room"))
}

// The load after which a holder that had been frozen for three seconds did nothing
// else for up to nineteen: some thousand calls had come meanwhile, and for each it
// looked at all engines' queues, many times a second.
func TestManyWaitingCallsAreLookedAtOnce(t *testing.T) {
	const engines, waiting = 47, 40 // of a domain of the users' grown sites; at each engine
	var ids []string
	for i := range engines {
		ids = append(ids, fmt.Sprint("e", i))
	}
	d := newDomain(ids...)
	for i, w := range d.worlds {
		for n := range limits.MaxAdapters {
			w.ask(i*10+n, 0) // keeps its place
		}
	}
	d.advance(700 * time.Millisecond)
	for i, w := range d.worlds {
		for n := range waiting {
			w.ask(1000+i*waiting+n, 0)
		}
	}
	allocs := testing.AllocsPerRun(1, func() { assert.Equal(t, grant.MoveWaiting(d.engines, d.worlds[0].now), 0) })
	perCall := allocs / (engines * waiting)
	assert.Assert(t, perCall < 10, "%v allocations for each call that waits", perCall)
}
