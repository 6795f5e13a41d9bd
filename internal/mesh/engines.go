package mesh

import (
	"slices"
	"time"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/recent"
	"knapweedplank.org/plank/internal/wire"
)

// This file defines the engine states that a VM has received.

// An Engine is the state of an engine as reported by the lease holder of its domain.
type Engine struct {
	Holder plank.VMID
	// Address is the holder's address; it is empty if this VM is the holder.
	Address  string
	State    *wire.EngineState
	Received time.Time
}

// mergeEngine applies a state reported by a holder. The lock is held.
func (m *Mesh) mergeEngine(p *Peer, e *wire.EngineState, now time.Time) {
	id := plank.EndpointID(e.Endpoint)
	if !e.Gone {
		m.storeEngine(id, Engine{Holder: p.VM, Address: p.Address, State: e, Received: now})
	} else if m.engines[id].Holder == p.VM {
		delete(m.engines, id)
	}
}

// dropEngines removes the states that a VM no longer sends. The lock is held.
func (m *Mesh) dropEngines(vm plank.VMID) {
	for id, e := range m.engines {
		if e.Holder == vm {
			delete(m.engines, id)
		}
	}
}

// forgetUnsentEngines removes the states of holders that are alive but no longer send to this
// VM: without them the VM lets a holder choose the engine. The lock is held.
func (m *Mesh) forgetUnsentEngines(now time.Time) {
	for id, e := range m.engines {
		if p := m.peers[e.Holder]; p != nil && p.IsAlive(now) && now.Sub(p.lastDirect) > p.aliveTimeout() {
			delete(m.engines, id)
		}
	}
}

// SetOwnEngine sets the state of an engine whose lease this VM holds; nil removes it.
func (m *Mesh) SetOwnEngine(id plank.EndpointID, state *wire.EngineState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if state != nil {
		m.storeEngine(id, Engine{Holder: m.self.VM, State: state, Received: m.clock.Now()})
	} else if m.engines[id].Holder == m.self.VM {
		delete(m.engines, id)
	}
}

// storeEngine records the state of an engine. The lock is held.
func (m *Mesh) storeEngine(id plank.EndpointID, e Engine) {
	m.engines[id] = e
	r := m.recent[id]
	if r == nil || r.born != e.State.Born {
		r = &recentAdapters{born: e.State.Born}
		m.recent[id] = r
	}
	for _, p := range e.State.Places {
		r.adapters.Add(p.Adapter)
	}
}

// recentAdapters holds the adapters recently resident in an engine that started at born.
type recentAdapters struct {
	born     int64 // Unix milliseconds
	adapters recent.List[string]
}

// RecentlyResident reports whether an adapter was resident in an engine so recently
// that loading it again is fast.
func (m *Mesh) RecentlyResident(id plank.EndpointID, adapter string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.recent[id]
	return r != nil && r.adapters.Has(adapter)
}

// RecentAdapters returns the adapters recently resident in an engine, the latest last,
// according to the states that this VM received since the engine started at born.
func (m *Mesh) RecentAdapters(id plank.EndpointID, born time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.recent[id]
	if r == nil || r.born != born.UnixMilli() {
		return nil
	}
	return r.adapters.All()
}

// Engine returns the known state of an engine and reports whether its holder is alive.
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

// InUse reports whether a live peer has calls in flight on an adapter of an engine.
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
