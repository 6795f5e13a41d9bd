package mesh

import (
	"time"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/wire"
)

// A Peer is the last known state of another VM.
type Peer struct {
	VM      plank.VMID
	Boot    plank.BootID
	Domain  plank.DomainID
	Address string
	// LastReceived is when the VM's last message arrived.
	LastReceived time.Time
	Leaving      bool
	// Settled is set once the VM has run for some seconds.
	Settled  bool
	Manifest plank.ManifestVersion
	// InFlight holds the VM's calls in flight by endpoint.
	InFlight map[plank.EndpointID]InFlightCalls
	// Leases holds the VM's dispatch leases by domain.
	Leases map[plank.DomainID]Lease
	// LastStoreResponse is when the store last answered all of the VM's own watches;
	// zero if the VM's last message gave none.
	LastStoreResponse time.Time
	// Capacity has no unit and compares VMs.
	Capacity float64
	// sendInterval is the minimum interval of the VM's messages.
	sendInterval time.Duration
	// ColdLoads is the number of loads from the weight store that the VM has ordered.
	ColdLoads int
}

// InFlightCalls are a VM's calls in flight at one endpoint.
type InFlightCalls struct {
	Calls    int
	Adapters []string // adapters that the calls use
}

// A Lease is the lease to dispatch to the engines of a domain.
type Lease struct {
	Term plank.Term
	// Version is the version of the lease object at its last renewal.
	Version plank.ObjectVersion
}

// IsAlive reports whether a message from the VM arrived within its alive timeout.
func (p *Peer) IsAlive(now time.Time) bool { return now.Sub(p.LastReceived) < p.aliveTimeout() }

// isCurrent reports whether the VM's counts are current.
func (p *Peer) isCurrent(now time.Time) bool {
	return now.Sub(p.LastReceived) < currentTimeout+2*p.sendInterval
}

// aliveTimeout returns how long the VM counts as alive after a message.
func (p *Peer) aliveTimeout() time.Duration { return AliveTimeout + 2*p.sendInterval }

// merge applies a message that arrived at now.
func (p *Peer) merge(g *wire.Gossip, now time.Time) {
	if p.Boot != plank.BootID(g.Boot) {
		p.Boot = plank.BootID(g.Boot)
	}
	p.Domain, p.Address, p.Leaving = plank.DomainID(g.Domain), g.Address, g.Leaving
	p.Settled = g.Settled
	p.LastReceived, p.Manifest, p.ColdLoads = now, plank.ManifestVersion(g.Manifest), int(g.ColdLoads)
	p.Capacity, p.LastStoreResponse = g.Capacity, time.Time{}
	if g.NewsMicros >= 0 {
		p.LastStoreResponse = now.Add(-time.Duration(g.NewsMicros) * time.Microsecond)
	}
	p.InFlight = make(map[plank.EndpointID]InFlightCalls, len(g.Flights))
	for _, f := range g.Flights {
		p.InFlight[plank.EndpointID(f.Endpoint)] = InFlightCalls{Calls: int(f.Calls), Adapters: f.Adapters}
	}
	p.Leases = make(map[plank.DomainID]Lease, len(g.Duties))
	for _, d := range g.Duties {
		p.Leases[plank.DomainID(d.Domain)] = Lease{Term: plank.Term(d.Term), Version: plank.ObjectVersion(d.Version)}
	}
}
