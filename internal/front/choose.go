package front

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/health"
	"knapweedplank.org/plank/internal/mesh"
	"knapweedplank.org/plank/internal/pick"
	"knapweedplank.org/plank/internal/view"
	"knapweedplank.org/plank/internal/wire"
)

// doubtTime is how long a holder that did not answer is asked last. A VM that is
// cut off counts as silent a little later.
const doubtTime = 600 * time.Millisecond

// A Chooser chooses engines by what this VM knows of them.
type Chooser struct {
	Domain plank.DomainID
	View   *view.Holder
	Mesh   *mesh.Mesh
	Health *health.Table
	Clock  plank.Clock

	mu sync.Mutex
	// doubts holds until when holders, by address, are asked last.
	doubts map[string]time.Time
}

// MarkUnresponsive records that the holder at an address did not answer.
func (c *Chooser) MarkUnresponsive(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.doubts == nil {
		c.doubts = make(map[string]time.Time)
	}
	c.doubts[addr] = c.Clock.Now().Add(doubtTime)
}

// IsUnresponsive tells whether a holder did not answer lately.
func (c *Chooser) IsUnresponsive(addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.doubts[addr].After(c.Clock.Now())
}

// A Choice is the engine that serves a call soonest.
type Choice struct {
	// StateKnown is set when the state of any engine is known here.
	StateKnown bool
	Engine     pick.Engine
	State      mesh.Engine
	// Expected is the time to the first token.
	Expected time.Duration
	of       int
}

// fields describes a choice for the log.
func (c *Choice) fields() logrus.Fields {
	e := &c.Engine
	return logrus.Fields{
		"endpoint": e.Instance.ID, "expected_ms": c.Expected.Milliseconds(), "resident": e.Resident, "loading": e.Loading,
		"lately": e.RecentlyResident, "running": e.Running, "queued": e.Queued, "backlog": e.Backlog, "of": c.of,
	}
}

// Choose returns the best engine of a service, if there is one.
func (c *Chooser) Choose(service plank.ServiceID, pool *plank.EnginePool, w pick.Call, skip func(plank.EndpointID) bool) (Choice, bool) {
	v := c.View.Load()
	newest := v.Versions[w.Adapter]
	var engines []pick.Engine
	var states []mesh.Engine
	var choice Choice
	for _, inst := range v.Endpoints(service) {
		if inst.Leaving {
			continue
		}
		state, alive := c.Mesh.Engine(inst.ID)
		choice.StateKnown = choice.StateKnown || state.State != nil
		e := pick.Engine{
			Instance: inst, BaseLoad: pool.BaseLoad(w.Adapter.Base), AdapterSlots: pool.MaxAdapters, Slots: pool.Slots, KVCapacity: pool.KVCapacity,
			FailRate: c.Health.FailRate(inst.ID), Avoid: c.Health.IsAvoided(inst.ID), Remote: inst.Domain != c.Domain,
		}
		if state.State != nil && state.State.Born == inst.Born.UnixMilli() {
			e.StateKnown = alive && !c.IsUnresponsive(state.Address)
			describe(&e, state.State, w.Adapter, newest)
			e.RecentlyResident = c.Mesh.RecentlyResident(inst.ID, w.Adapter.String())
		} else {
			state = mesh.Engine{}
		}
		e.Avoid = e.Avoid || !e.StateKnown
		engines = append(engines, e)
		states = append(states, state)
	}
	i, expected := pick.BestEngine(engines, w, skip)
	if i < 0 {
		return choice, false
	}
	choice.Engine, choice.State, choice.Expected, choice.of = engines[i], states[i], expected, len(engines)
	return choice, true
}

// describe takes what an engine's holder tells.
func describe(e *pick.Engine, s *wire.EngineState, ref plank.AdapterRef, newest plank.VersionNumber) {
	e.Running, e.Queued, e.PrefillRate = int(s.Running), int(s.Queued), s.Reading
	e.Backlog, e.KVUsed = plank.Tokens(s.Backlog), plank.Tokens(s.Used)
	e.Avoid = e.Avoid || s.Silent
	e.NoBaseModel, e.WaitingAdapters = s.Bare, int(s.Wanted)
	e.TakenAdapterSlots = len(s.Places)
	name := ref.String()
	for _, p := range s.Places {
		if p.Adapter == name {
			e.Loading = p.Loading
			e.Resident = !p.Loading
			e.Stale = plank.VersionNumber(p.Version) < newest
		} else if p.Users == 0 && !p.Loading {
			e.IdleAdapterSlots++
		}
	}
}
