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

// This file defines how snapshots are made.

// counter returns the count of this VM's requests on an engine.
func (c *Controller) counter(id plank.EndpointID) *atomic.Int64 {
	n := c.sent[id]
	if n == nil {
		n = new(atomic.Int64)
		c.sent[id] = n
	}
	return n
}

// publish makes a new snapshot.
func (c *Controller) publish() {
	now := c.deps.Clock.Now()
	s := &Snapshot{
		Catalog: c.catalog, Routes: c.routes, Record: c.view.Record, Joined: c.view.Joined,
		Services: c.presentServices(),
	}
	for _, p := range c.deps.Peers.Peers() {
		c.known = max(c.known, p.Applied)
		if !p.IsReachable(now, c.self.Domain) {
			continue
		}
		// A reachable peer tells the head as well as the platform does.
		c.confirmed = c.confirmed || p.Applied > 0
		s.Peers = append(s.Peers, p)
		for id, e := range p.Endpoints {
			if spec, ok := c.catalog.Endpoints[string(id)]; ok {
				s.Engines = append(s.Engines, c.engine(spec, p.VM, p.Address, e, nil))
			}
		}
	}
	for id, o := range c.runners {
		st := o.runner.Status()
		e := member.EndpointState{Term: st.Term, Up: st.Up, Leaving: st.Leaving, Outstanding: st.Outstanding, WaitingLoads: st.Loads, Resident: set(st.Resident), Loading: set(st.Loading)}
		if o.drain != nil {
			e.Leaving = true
		}
		s.Engines = append(s.Engines, c.engine(c.catalog.Endpoints[string(id)], c.self.VM, "", e, o.runner))
	}
	s.Engines = newestOwners(s.Engines)
	s.Ready = !c.draining && c.confirmed && c.catalog.Number > 0 && c.catalog.Number >= c.known
	c.snap.Store(s)
}

func (c *Controller) engine(spec notes.Endpoint, vm plank.VMID, addr string, st member.EndpointState, r *runner.Runner) Engine {
	e := Engine{
		Endpoint: spec, Owner: vm, Address: addr, State: st, Runner: r,
		Local: spec.Domain == c.self.Domain, InFlight: c.counter(spec.Id),
	}
	return e.WithHashSeed()
}

// newestOwners keeps, of engines that two VMs say they own, the one with the
// higher term, and sorts by endpoint.
func newestOwners(engines []Engine) []Engine {
	slices.SortFunc(engines, func(a, b Engine) int {
		if c := cmp.Compare(a.Endpoint.Id, b.Endpoint.Id); c != 0 {
			return c
		}
		return cmp.Compare(b.State.Term, a.State.Term)
	})
	return slices.CompactFunc(engines, func(a, b Engine) bool { return a.Endpoint.Id == b.Endpoint.Id })
}

// presentServices leaves out replicas whose VM the platform says is leaving.
func (c *Controller) presentServices() map[plank.ServiceID][]notes.Endpoint {
	if len(c.away) == 0 {
		return c.services
	}
	present := maps.Clone(c.services)
	for id, replicas := range present {
		present[id] = slices.DeleteFunc(slices.Clone(replicas), func(e notes.Endpoint) bool { return c.away[e.VM] })
	}
	return present
}

func set(models []plank.Model) map[plank.Model]bool {
	m := make(map[plank.Model]bool, len(models))
	for _, model := range models {
		m[model] = true
	}
	return m
}
