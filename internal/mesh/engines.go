package mesh

import (
	"slices"
	"time"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/recent"
	"knapweedplank.org/plank/internal/wire"
)

// This file defines what a VM knows of the engines.

// An Engine is what the holder of a domain tells of one of its engines.
type Engine struct {
	Holder plank.VMID
	// Address reaches the holder; it is empty for this VM.
	Address  string
	State    *wire.EngineState
	Received time.Time
}

// takeEngine keeps what a holder tells. The lock is held.
func (m *Mesh) takeEngine(p *Peer, e *wire.EngineState, now time.Time) {
	id := plank.EndpointID(e.Endpoint)
	if !e.Gone {
		m.keepEngine(id, Engine{Holder: p.VM, Address: p.Address, State: e, Received: now})
	} else if m.engines[id].Holder == p.VM {
		delete(m.engines, id)
	}
}

// dropEngines forgets the states that a VM no longer tells. The lock is held.
func (m *Mesh) dropEngines(vm plank.VMID) {
	for id, e := range m.engines {
		if e.Holder == vm {
			delete(m.engines, id)
		}
	}
}

// SetOwnEngine keeps what this VM knows of an engine that it orders; nil ends it.
func (m *Mesh) SetOwnEngine(id plank.EndpointID, state *wire.EngineState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if state != nil {
		m.keepEngine(id, Engine{Holder: m.self.VM, State: state, Received: m.clock.Now()})
	} else if m.engines[id].Holder == m.self.VM {
		delete(m.engines, id)
	}
}

// keepEngine keeps the state of an engine. The lock is held.
func (m *Mesh) keepEngine(id plank.EndpointID, e Engine) {
	m.engines[id] = e
	l := m.lately[id]
	if l == nil || l.born != e.State.Born {
		l = &lately{born: e.State.Born}
		m.lately[id] = l
	}
	for _, p := range e.State.Places {
		l.adapters.Add(p.Adapter)
	}
}

// A lately holds what one start of an engine held lately.
type lately struct {
	born     int64 // Unix milliseconds
	adapters recent.List[string]
}

// RecentlyResident tells whether an engine held an adapter so lately that it loads
// it fast.
func (m *Mesh) RecentlyResident(id plank.EndpointID, adapter string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.lately[id]
	return l != nil && l.adapters.Has(adapter)
}

// RecentAdapters returns the adapters that an engine held lately, the latest last, as far
// as this VM was told since the engine's start.
func (m *Mesh) RecentAdapters(id plank.EndpointID, born time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.lately[id]
	if l == nil || l.born != born.UnixMilli() {
		return nil
	}
	return l.adapters.All()
}

// Engine returns what is known of an engine, and whether its holder is alive.
func (m *Mesh) Engine(id plank.EndpointID) (e Engine, alive bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.engines[id]
	if !ok {
		return Engine{}, false
	}
	if e.Holder == m.self.VM {
		return e, true
	}
	p := m.peers[e.Holder]
	return e, p != nil && p.IsAlive(m.clock.Now())
}

// InUse tells whether a VM that is alive has calls on an adapter of an engine.
func (m *Mesh) InUse(id plank.EndpointID, adapter string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	for _, p := range m.peers {
		if p.IsAlive(now) && slices.Contains(p.InFlight[id].Adapters, adapter) {
			return true
		}
	}
	return false
}
