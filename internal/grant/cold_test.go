package grant_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/cold"
	"knapweedplank.org/plank/internal/grant"
	"knapweedplank.org/plank/internal/place"
)

type movingClock struct{ now time.Time }

// Now implements plank.Clock.
func (c *movingClock) Now() time.Time { return c.now }

// A coldHarness runs engines, all of which hold the adapter a1.
type coldHarness struct {
	clock   *movingClock
	table   *cold.Table
	engines []*grant.Engine
}

func newColdHarness(n int) *coldHarness {
	h := &coldHarness{clock: &movingClock{start}}
	h.table = cold.NewTable(h.clock, func(plank.ServiceID) plank.Service {
		return plank.Service{ColdRate: 6.9, ColdTime: 3 * time.Second}
	})
	for i := range n {
		h.engines = append(h.engines, h.newEngine(plank.EndpointID(fmt.Sprint("e", i))))
	}
	return h
}

// newEngine returns the state of an engine at a new holder.
func (h *coldHarness) newEngine(id plank.EndpointID) *grant.Engine {
	log := logrus.New()
	e := grant.NewEngine(grant.HeldEngine{Instance: plank.Instance{ID: id, Bases: []plank.BaseID{"m"}}, Limits: grant.Limits{MaxRunning: 64, Memory: 250_000, MaxAdapters: 7}, Term: 1}, &grant.Deps{
		Self: "vm1", Evictor: place.LowestValue{}, Clock: h.clock, Log: log.WithField("t", 1), Cold: h.table, ColdBound: cold.Bound{Overage: 1.5, Slack: 5},
		NewestVersion:  func(plank.AdapterRef) plank.VersionNumber { return 1 },
		SupersededAt:   func(plank.AdapterRef, plank.VersionNumber) time.Time { return time.Time{} },
		Health:         func(plank.EndpointID) (float64, bool) { return 0, false },
		PausedUntil:    func(plank.Run) time.Time { return time.Time{} },
		InUseElsewhere: func(plank.EndpointID, plank.AdapterRef) bool { return false },
		RecentAdapters: func(plank.Instance) []plank.AdapterRef { return nil },
	})
	e.HandleStatus(plank.EngineStatus{Bases: []plank.BaseID{"m"}, Resident: []plank.Residency{{Adapter: adapter(1), Version: 1}}}, h.clock.now)
	return e
}

func (h *coldHarness) setCold(e *grant.Engine, left time.Duration) {
	h.table.Record(e.Instance(), h.clock.now.Add(left), cold.Answer, true)
}

func (h *coldHarness) reserve(e *grant.Engine, target time.Duration, priority int) *grant.TestReservation {
	return e.Reserve(grant.Request{Adapter: adapter(1), Prompt: 100, Output: 50, Priority: priority, Target: h.clock.now.Add(target), Deadline: h.clock.now.Add(target + time.Second)})
}

// Guards against the crash of engines of a failure domain that comes back cold: every call
// that waited was granted at once. The engine gets the most urgent call, a warm one takes the
// others without a wait, and calls that no engine serves by their target are refused with the
// time to wait.
func TestColdEngineGetsFewCalls(t *testing.T) {
	h := newColdHarness(2)
	e, warm := h.engines[0], h.engines[1]
	h.setCold(e, 3*time.Second)
	h.engines[0].Step(h.clock.now, true)
	h.clock.now = h.clock.now.Add(200 * time.Millisecond)
	urgent := h.reserve(e, time.Second, 0)
	var rest []*grant.TestReservation
	for range 5 {
		rest = append(rest, h.reserve(e, time.Second, 1))
	}
	e.Step(h.clock.now, true)
	assert.Assert(t, urgent.Outcome.Granted)
	assert.Equal(t, urgent.Endpoint(), e.Instance().ID)
	for range rest {
		grant.MoveWaiting(h.engines, h.clock.now)
		warm.Step(h.clock.now, true)
	}
	for _, res := range rest[1:] { // the first one waits for the next grant
		assert.Assert(t, res.Outcome != nil && res.Outcome.Granted && res.Endpoint() == warm.Instance().ID)
	}
	late := h.reserve(e, 50*time.Millisecond, 0)
	e.Step(h.clock.now, true)
	assert.Assert(t, !late.Outcome.Granted && late.Outcome.RetryAfter > 50*time.Millisecond, "%+v", late.Outcome)
	resumed := h.reserve(e, -100*time.Millisecond, 0)
	e.Step(h.clock.now, true)
	assert.Assert(t, resumed.Outcome == nil, "a call past its target is refused though it can be served")
	assert.Assert(t, e.State(h.clock.now).ColdMillis > 2000 && warm.State(h.clock.now).ColdMillis == 0)
}

// Guards against crashes by VMs that are paused with granted calls, which they send at once
// when they go on, and by a new holder that begins with a full bucket: the requests of any
// second stay within the bound. Each VM is one of the sizes of the fleet.
func TestColdEngineBesidePausedVMs(t *testing.T) {
	for _, size := range []int{2, 7, 68, 360} {
		h := newColdHarness(1)
		e := h.engines[0]
		h.setCold(e, 20*time.Second)
		rng := rand.New(rand.NewPCG(uint64(size), 1))
		var pending, sent []*grant.TestReservation
		var held []*grant.TestReservation // by paused VMs
		var arrivals []time.Time
		for end := start.Add(12 * time.Second); h.clock.now.Before(end); h.clock.now = h.clock.now.Add(10 * time.Millisecond) {
			elapsed := h.clock.now.Sub(start)
			if elapsed == 4*time.Second {
				e, pending = h.newEngine(e.Instance().ID), nil // a new holder
			}
			isPaused := elapsed > 6*time.Second && elapsed < 9*time.Second
			if len(pending) < size {
				pending = append(pending, h.reserve(e, 5*time.Second, 1))
			}
			e.Step(h.clock.now, true)
			rest := pending[:0]
			for _, res := range pending {
				switch {
				case res.Outcome == nil:
					rest = append(rest, res)
				case res.Outcome.Granted && isPaused && rng.IntN(2) == 0:
					held = append(held, res)
				case res.Outcome.Granted:
					sent = append(sent, res)
					arrivals = append(arrivals, h.clock.now)
				}
			}
			pending = rest
			if !isPaused {
				for range held {
					arrivals = append(arrivals, h.clock.now)
				}
				sent, held = append(sent, held...), nil
			}
			for _, res := range sent {
				e.MarkStarted(res)
				e.Release(res, h.clock.now)
			}
			sent = nil
		}
		most := 0
		for i := range arrivals {
			for k := i; k < len(arrivals) && arrivals[k].Sub(arrivals[i]) < time.Second; k++ {
				most = max(most, k-i+1)
			}
		}
		assert.Assert(t, most <= 15, "%d VMs: %d requests in a second", size, most)
		assert.Assert(t, len(arrivals) > 12*3, "%d VMs: %d requests in 12 s", size, len(arrivals))
	}
}

// Guards against a burst at an engine that its holder could not reach, and that may have
// started again meanwhile.
func TestEngineThatAnswersAgainCountsAsCold(t *testing.T) {
	h := newColdHarness(1)
	e := h.engines[0]
	e.FailStatus(h.clock.now)
	e.HandleStatus(plank.EngineStatus{Bases: []plank.BaseID{"m"}, Resident: []plank.Residency{{Adapter: adapter(1), Version: 1}}}, h.clock.now)
	granted := 0
	for range 10 {
		res := h.reserve(e, 5*time.Second, 1)
		e.Step(h.clock.now, true)
		if res.Outcome != nil {
			granted++
		}
	}
	assert.Equal(t, granted, 0)
	h.setCold(e, 0) // it states that it is warm
	e.Step(h.clock.now, true)
	assert.Equal(t, int(e.State(h.clock.now).Running), 10)
}
