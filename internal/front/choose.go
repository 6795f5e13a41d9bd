package front

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/cold"
	"knapweedplank.org/plank/internal/health"
	"knapweedplank.org/plank/internal/mesh"
	"knapweedplank.org/plank/internal/pace"
	"knapweedplank.org/plank/internal/pick"
	"knapweedplank.org/plank/internal/prefix"
	"knapweedplank.org/plank/internal/view"
	"knapweedplank.org/plank/internal/wire"
)

// A Chooser selects engines by the state that this VM has of them. It is safe for
// concurrent use.
type Chooser struct {
	Domain plank.DomainID
	View   *view.Publisher
	Mesh   *mesh.Mesh
	Health *health.Table
	Cold   *cold.Table // nil if no endpoint is ever cold
	Clock  plank.Clock
	// LearnsCost reports whether the estimates for a service's calls include what engines
	// keep of prompts; nil for no service.
	LearnsCost func(plank.ServiceID) bool
	// Directories returns the directories of kept parts of the engines held by this VM.
	Directories func() map[plank.Run]*prefix.Directory
	Paces       *pace.Table // nil if none are learned

	mu      sync.Mutex
	holders holderTable
}

// MarkUnresponsive records that the holder at addr did not answer.
func (c *Chooser) MarkUnresponsive(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holders.recordMiss(addr, c.Clock.Now())
}

// MarkResponsive records that the holder at addr answered.
func (c *Chooser) MarkResponsive(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holders.recordAnswer(addr)
}

// IsUnresponsive reports whether the holder at addr failed to answer so recently that it is
// not to be asked.
func (c *Chooser) IsUnresponsive(addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holders.silent[addr] != nil && c.holders.isSilent(addr, c.Clock.Now())
}

// MayAsk reports whether a request may be sent to the holder at addr now.
func (c *Chooser) MayAsk(addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holders.mayAsk(addr, c.Clock.Now())
}

// isAvailable reports whether calls may be sent to an endpoint that was chosen or granted
// some time ago: it is registered, does not leave, wants no pause and is not out of service.
func (c *Chooser) isAvailable(inst plank.Instance) bool {
	current, ok := c.View.Load().Instances[inst.ID]
	return ok && current.Run() == inst.Run() && !current.Leaving && !c.Health.IsPaused(inst.Run()) && !c.isOut(inst)
}

// pauseEnd returns the first time at which an endpoint of a service wants requests again. It
// returns the zero time unless all that are registered, do not leave and are not out of service
// want none now.
func (c *Chooser) pauseEnd(service plank.ServiceID) time.Time {
	var first time.Time
	v := c.View.Load()
	for _, inst := range v.Endpoints(service) {
		if inst.Leaving || v.IsOut(inst) {
			continue
		}
		until := c.Health.PausedUntil(inst.Run())
		if until.IsZero() {
			return until
		}
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	return first
}

// A Choice is the engine selected for a call.
type Choice struct {
	// AnyStateKnown is set if this VM has the state of at least one engine.
	AnyStateKnown bool
	Engine        pick.Engine
	State         mesh.Engine
	// Expected is the expected time to the first token.
	Expected time.Duration
	// Cost is the cost of the choice.
	Cost       time.Duration
	candidates int // number of engines considered
	excluded   exclusions
}

// exclusions counts the endpoints of a service that a choice left out.
type exclusions struct {
	leaving, paused, outOfService, cold, full int
}

// add counts an endpoint if it leaves or wants a pause, and reports whether it does.
func (x *exclusions) add(inst plank.Instance, h *health.Table) bool {
	switch {
	case inst.Leaving:
		x.leaving++
	case h.IsPaused(inst.Run()):
		x.paused++
	default:
		return false
	}
	return true
}

// logTo adds the counts to the fields of a log line.
func (x *exclusions) logTo(fields logrus.Fields) {
	if x.leaving > 0 {
		fields["leaving"] = x.leaving
	}
	if x.paused > 0 {
		fields["paused"] = x.paused
	}
	if x.outOfService > 0 {
		fields["out_of_service"] = x.outOfService
	}
	if x.cold > 0 {
		fields["cold"] = x.cold
	}
	if x.full > 0 {
		fields["full"] = x.full
	}
}

// logFields returns the log fields of a choice.
func (c *Choice) logFields() logrus.Fields {
	e := &c.Engine
	fields := logrus.Fields{
		"endpoint": e.Instance.ID, "expected_ms": c.Expected.Milliseconds(), "resident": e.Resident, "loading": e.Loading,
		"lately": e.RecentlyResident, "running": e.Running, "queued": e.Queued, "backlog": e.Backlog, "of": c.candidates,
	}
	if e.ColdWait > 0 {
		fields["cold_wait_ms"] = e.ColdWait.Milliseconds()
	}
	if e.Kept > 0 {
		fields["kept"] = e.Kept
	}
	if e.Pace > 0 {
		fields["pace"], fields["cost_ms"] = e.Pace, c.Cost.Milliseconds()
	}
	c.excluded.logTo(fields)
	return fields
}

// Choose returns the engine of a service with the least expected cost for call. It
// reports false if there is none outside skip.
func (c *Chooser) Choose(service plank.ServiceID, pool *plank.EnginePool, call pick.Call, skip func(plank.EndpointID) bool) (Choice, bool) {
	v, now := c.View.Load(), c.Clock.Now()
	newest, name := v.Versions[call.Adapter], call.Adapter.String()
	gap := strictestGap(v.Manifest, service)
	engines := make([]pick.Engine, 0, len(v.Endpoints(service)))
	states := make([]mesh.Engine, 0, cap(engines))
	var choice Choice
	coldRate := c.Cold.Rate(service)
	for _, inst := range v.Endpoints(service) {
		if choice.excluded.addOut(inst, v) || choice.excluded.add(inst, c.Health) {
			continue
		}
		state, alive := c.Mesh.Engine(inst.ID)
		choice.AnyStateKnown = choice.AnyStateKnown || state.State != nil
		e := pick.Engine{
			Instance: inst, BaseLoad: pool.BaseLoad(call.Adapter.Base), AdapterSlots: pool.MaxAdapters, Slots: pool.Slots, KVCapacity: pool.KVCapacity,
			FailRate: c.Health.FailRate(inst.ID), Avoid: c.Health.IsAvoided(inst.ID), Remote: inst.Domain != c.Domain,
		}
		if state.State != nil && state.State.Born == inst.Born.UnixMilli() {
			e.StateKnown = alive && !c.IsUnresponsive(state.Address)
			applyState(&e, state.State, call.Adapter, newest)
			e.RecentlyResident = c.Mesh.RecentlyResident(inst.ID, name)
		} else {
			state = mesh.Engine{}
		}
		e.ColdWait = c.coldWait(inst, state, coldRate)
		if e.Pace == 0 || state.Address == "" {
			e.Pace = c.Paces.Pace(service, inst.Run())
		}
		e.EventTokens, e.StrictGap = pool.EventTokens, gap
		e.Avoid = e.Avoid || !e.StateKnown || v.HoldsBack(inst, call.Hash, now)
		engines = append(engines, e)
		states = append(states, state)
	}
	c.setKept(service, engines, states, call)
	i, expected := pick.BestEngine(engines, call, skip)
	if i < 0 {
		return choice, false
	}
	choice.Engine, choice.State, choice.Expected, choice.candidates = engines[i], states[i], expected, len(engines)
	choice.Cost, _ = pick.Cost(&engines[i], call)
	return choice, true
}

// applyState copies the state that an engine's holder reports.
func applyState(e *pick.Engine, s *wire.EngineState, ref plank.AdapterRef, newest plank.VersionNumber) {
	e.Running, e.Queued, e.PrefillRate = int(s.Running), int(s.Queued), s.Reading
	e.Pace, e.StrictGaps = s.Pace, s.StrictGaps
	e.Backlog, e.KVUsed = plank.Tokens(s.Backlog), plank.Tokens(s.Used)
	e.Avoid = e.Avoid || s.Silent
	e.NoBaseModel, e.WaitingAdapters = s.Bare, int(s.Wanted)
	e.TakenAdapterSlots = len(s.Places)
	name := ref.String()
	for _, p := range s.Places {
		if p.Adapter == name {
			e.Loading = p.Loading
			e.Resident = !p.Loading
			e.InUse = p.Users > 0
			e.Stale = plank.VersionNumber(p.Version) < newest
		} else if p.Users == 0 && !p.Loading {
			e.IdleAdapterSlots++
		}
	}
}
