package grant_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/grant"
)

// A domain is a set of engines of one lease holder.
type domain struct {
	harnesses []*harness
	engines   []*grant.Engine
}

func newDomain(ids ...string) *domain {
	d := &domain{}
	for _, id := range ids {
		h := newNamedHarness(id, limits)
		d.harnesses = append(d.harnesses, h)
		d.engines = append(d.engines, h.engine)
	}
	return d
}

// advance advances the time at all engines and returns how many calls moved.
func (d *domain) advance(total time.Duration) int {
	const step = 10 * time.Millisecond
	moved := 0
	for ; total > 0; total -= step {
		moved += grant.MoveWaiting(d.engines, d.harnesses[0].now)
		for _, h := range d.harnesses {
			h.advance(step)
		}
	}
	return moved
}

// Calls must not wait until their deadline at an engine whose slots are all in use by
// long-running calls while another engine has idle slots.
func TestCallsMoveToEnginesWithCapacity(t *testing.T) {
	d := newDomain("full", "room")
	var running []*grant.TestReservation
	for n := range 3 {
		running = append(running, d.harnesses[0].reserve(n, 0))
	}
	d.advance(600 * time.Millisecond)
	waits := []*grant.TestReservation{d.harnesses[0].reserve(10, 0), d.harnesses[0].reserve(11, 0), d.harnesses[0].reserve(12, 0)}
	d.advance(700 * time.Millisecond)
	for _, res := range waits {
		assert.Assert(t, res.Outcome != nil && res.Outcome.Granted)
		assert.Equal(t, res.Endpoint(), plank.EndpointID("room"))
	}
	for _, res := range running {
		assert.Equal(t, res.Endpoint(), plank.EndpointID("full"))
	}
	for _, h := range d.harnesses {
		assert.Assert(t, h.peakAdapters <= limits.MaxAdapters)
	}
}

// Calls that needed a load were held until their deadline at an engine that wanted no orders
// for so long.
func TestCallsWaitAtAnEngineThatWantsNoOrders(t *testing.T) {
	const deadline = 10 * time.Second // of the calls
	tests := []struct {
		name  string
		pause time.Duration
		room  bool // another engine has room
		// wantMoved is set if calls move there, wantRefused if they are refused at once.
		wantMoved, wantRefused bool
	}{
		{"another has room", 2 * deadline, true, true, false},
		{"another has room, short pause", time.Second, true, true, false},
		{"none has room, short pause", time.Second, false, false, false},
		{"none has room", 2 * deadline, false, false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := newDomain("paused", "other")
			paused, other := d.harnesses[0], d.harnesses[1]
			held := paused.reserve(1, 0)
			for n := range 3 {
				if !test.room {
					other.reserve(20+n, 0)
				}
			}
			d.advance(600 * time.Millisecond)
			assert.Assert(t, held.Outcome != nil && held.Outcome.Granted)
			paused.pausedUntil = paused.now.Add(test.pause)
			sent := len(paused.trace)
			call, resident := paused.reserve(10, 0), paused.reserve(1, 0)
			d.advance(500 * time.Millisecond)
			assert.Assert(t, resident.Outcome != nil && resident.Outcome.Granted, "its adapter needs no order")
			assert.Equal(t, call.Endpoint() == "other" && call.Outcome != nil && call.Outcome.Granted, test.wantMoved)
			assert.Equal(t, call.Outcome != nil && !call.Outcome.Granted, test.wantRefused)
			assert.Equal(t, len(paused.trace), sent, "no order in the pause")
			d.advance(test.pause)
			assert.Assert(t, call.Outcome != nil)
			assert.Equal(t, call.Outcome.Granted, !test.wantRefused)
		})
	}
}

// With all slots in use no call moves; the first slot that becomes idle is assigned to
// the call, at whichever engine it is queued.
func TestCallsDoNotMoveWithoutCapacity(t *testing.T) {
	d := newDomain("a", "b")
	var second []*grant.TestReservation
	for n := range 3 {
		d.harnesses[0].reserve(n, 0)
		second = append(second, d.harnesses[1].reserve(20+n, 0))
	}
	d.advance(600 * time.Millisecond)
	call := d.harnesses[0].reserve(10, 0)
	assert.Equal(t, d.advance(500*time.Millisecond), 0)
	second[1].Release(d.harnesses[1].now)
	d.advance(400 * time.Millisecond)
	assert.Assert(t, call.Outcome != nil && call.Outcome.Granted)
	assert.Equal(t, call.Endpoint(), plank.EndpointID("b"))
}

// A call does not move to an engine on its Skip list.
func TestCallsDoNotMoveToSkippedEngines(t *testing.T) {
	d := newDomain("full", "tried")
	for n := range 3 {
		d.harnesses[0].reserve(n, 0)
	}
	d.advance(600 * time.Millisecond)
	now := d.harnesses[0].now
	d.harnesses[0].engine.Reserve(grant.Request{Adapter: adapter(9), Prompt: 100, Deadline: now.Add(time.Second), Skip: []plank.EndpointID{"tried"}})
	assert.Equal(t, d.advance(500*time.Millisecond), 0)
}

// Calls that are queued at an engine to be avoided move to another engine.
func TestCallsLeaveAvoidedEngine(t *testing.T) {
	d := newDomain("fails", "room")
	d.advance(50 * time.Millisecond)
	call := d.harnesses[0].reserve(1, 0)
	d.harnesses[0].avoid = true
	d.advance(400 * time.Millisecond)
	assert.Assert(t, call.Outcome != nil && call.Outcome.Granted)
	assert.Equal(t, call.Endpoint(), plank.EndpointID("room"))
}

// The cost of planning moves per queued call must not grow with the number of engines.
// It did: a holder that had been frozen for three seconds, in which some thousand
// calls arrived, was then blocked for up to nineteen seconds, since it scanned all
// engines' queues for each call, many times a second.
func TestMovePlanningCostPerCall(t *testing.T) {
	const engines, waiting = 47, 40 // engines of a domain at a large site; calls queued at each engine
	var ids []string
	for i := range engines {
		ids = append(ids, fmt.Sprint("e", i))
	}
	d := newDomain(ids...)
	for i, h := range d.harnesses {
		for n := range limits.MaxAdapters {
			h.reserve(i*10+n, 0) // keeps its slot
		}
	}
	d.advance(700 * time.Millisecond)
	for i, h := range d.harnesses {
		for n := range waiting {
			h.reserve(1000+i*waiting+n, 0)
		}
	}
	allocs := testing.AllocsPerRun(1, func() { assert.Equal(t, grant.MoveWaiting(d.engines, d.harnesses[0].now), 0) })
	perCall := allocs / (engines * waiting)
	assert.Assert(t, perCall < 10, "%v allocations per queued call", perCall)
}

// While long calls ran on an old version of an adapter, calls for the new one waited at its
// engine and were refused, a third of all refusals in a large fleet. They move to one engine
// with a free slot, which loads the new version once for all of them.
func TestCallsForANewVersionDoNotWaitForThoseOnTheOldOne(t *testing.T) {
	d := newDomain("old", "b", "c")
	running := d.harnesses[0].reserve(1, 0)
	d.advance(600 * time.Millisecond)
	assert.Assert(t, running.Outcome != nil && running.Outcome.Granted)
	for _, h := range d.harnesses {
		h.newest[adapter(1)], h.supersededAt = 2, h.now.Add(-3*time.Second)
	}
	var waits []*grant.TestReservation
	for range 6 {
		waits = append(waits, d.harnesses[0].reserve(1, 0))
	}
	d.advance(500 * time.Millisecond)
	for _, res := range waits {
		assert.Assert(t, res.Outcome != nil && res.Outcome.Granted)
		assert.Equal(t, res.Outcome.Version, plank.VersionNumber(2))
		assert.Equal(t, res.Endpoint(), waits[0].Endpoint())
	}
	assert.Equal(t, running.Endpoint(), plank.EndpointID("old"))
	assert.Equal(t, d.harnesses[0].resident[adapter(1)], plank.VersionNumber(1))
}
