package ctrl

import (
	"cmp"
	"maps"
	"slices"
	"sync/atomic"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/member"
	"knapweedplank.org/plank/internal/runner"
	"knapweedplank.org/plank/pkg/notes"
)

// This file defines how snapshots are built.

// inFlightCounter returns the counter of this VM's requests on an engine.
func (c *Controller) inFlightCounter(id plank.EndpointID) *atomic.Int64 {
	n := c.inFlight[id]
	if n == nil {
		n = new(atomic.Int64)
		c.inFlight[id] = n
	}
	return n
}

// publish builds a new snapshot and makes it the current one.
func (c *Controller) publish() {
	now := c.deps.Clock.Now()
	s := &Snapshot{
		Catalog: c.catalog, Routes: c.routes, Record: c.view.Record, Joined: c.view.Joined,
		Services: c.availableServices(),
	}
	for _, p := range c.deps.Peers.Peers() {
		c.highestKnown = max(c.highestKnown, p.Applied)
		if !p.IsReachable(now, c.self.Domain) {
			continue
		}
		// The note number of a reachable peer serves as well as the platform's.
		c.synced = c.synced || p.Applied > 0
		s.Peers = append(s.Peers, p)
		for id, e := range p.Endpoints {
			if spec, ok := c.catalog.Endpoints[string(id)]; ok {
				s.Engines = append(s.Engines, c.engine(spec, p.VM, p.Address, e, nil))
			}
		}
	}
	for id, o := range c.runners {
		st := o.runner.Status()
		e := member.EndpointState{Term: st.Term, Up: st.Up, Leaving: st.Leaving, Outstanding: st.Outstanding, WaitingLoads: st.Loads, Resident: modelSet(st.Resident), Loading: modelSet(st.Loading)}
		if o.drained != nil {
			e.Leaving = true
		}
		s.Engines = append(s.Engines, c.engine(c.catalog.Endpoints[string(id)], c.self.VM, "", e, o.runner))
	}
	s.Engines = newestOwners(s.Engines)
	s.Ready = !c.draining && c.synced && c.catalog.Number > 0 && c.catalog.Number >= c.highestKnown
	c.snap.Store(s)
}

func (c *Controller) engine(spec notes.Endpoint, vm plank.VMID, addr string, st member.EndpointState, r *runner.Runner) Engine {
	e := Engine{
		Endpoint: spec, Owner: vm, Address: addr, State: st, Runner: r,
		Local: spec.Domain == c.self.Domain, InFlight: c.inFlightCounter(spec.Id),
	}
	return e.WithHashSeed()
}

// newestOwners sorts the engines by endpoint, and keeps only the entry with the
// highest term where several VMs report that they own the same one.
func newestOwners(engines []Engine) []Engine {
	slices.SortFunc(engines, func(a, b Engine) int {
		if c := cmp.Compare(a.Endpoint.Id, b.Endpoint.Id); c != 0 {
			return c
		}
		return cmp.Compare(b.State.Term, a.State.Term)
	})
	return slices.CompactFunc(engines, func(a, b Engine) bool { return a.Endpoint.Id == b.Endpoint.Id })
}

// availableServices returns the services without the replicas whose VM is marked
// as leaving in the platform's list.
func (c *Controller) availableServices() map[plank.ServiceID][]notes.Endpoint {
	if len(c.leavingVMs) == 0 {
		return c.services
	}
	available := maps.Clone(c.services)
	for id, replicas := range available {
		available[id] = slices.DeleteFunc(slices.Clone(replicas), func(e notes.Endpoint) bool { return c.leavingVMs[e.VM] })
	}
	return available
}

func modelSet(models []plank.Model) map[plank.Model]bool {
	m := make(map[plank.Model]bool, len(models))
	for _, model := range models {
		m[model] = true
	}
	return m
}
