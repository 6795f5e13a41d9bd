package mesh

import (
	"time"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/wire"
)

// A Peer is what a VM knows of another one.
type Peer struct {
	VM      plank.VMID
	Boot    plank.BootID
	Domain  plank.DomainID
	Address string
	// LastReceived is when the VM's last message arrived. It is zero if the VM is only
	// known by name.
	LastReceived time.Time
	Leaving      bool
	// Settled is set when the VM has run for some seconds.
	Settled  bool
	Manifest plank.ManifestVersion
	// InFlight counts the VM's calls by endpoint.
	InFlight map[plank.EndpointID]InFlightCalls
	// Leases holds the VM's terms by domain.
	Leases map[plank.DomainID]Lease
	// LastStoreResponse is when the VM last had news from the store by itself; zero for
	// none.
	LastStoreResponse time.Time
	// Capacity compares VMs.
	Capacity float64
	// pace is the least pause between the VM's messages.
	pace time.Duration
	// ColdLoads counts the loads from the weight store that the VM has ordered.
	ColdLoads int
}

// A InFlightCalls is a VM's calls at one endpoint.
type InFlightCalls struct {
	Calls    int
	Adapters []string // that they use
}

// A Lease is a domain whose engines a VM orders.
type Lease struct {
	Term plank.Term
	// Version is the lease object's when it was last renewed.
	Version plank.ObjectVersion
}

// IsAlive tells whether the VM was heard of lately.
func (p *Peer) IsAlive(now time.Time) bool { return now.Sub(p.LastReceived) < p.aliveTime() }

// isCurrent tells whether the VM's counts are up to date.
func (p *Peer) isCurrent(now time.Time) bool { return now.Sub(p.LastReceived) < heardTime+2*p.pace }

// aliveTime is how long the VM may be silent.
func (p *Peer) aliveTime() time.Duration { return AliveTimeout + 2*p.pace }

// merge takes a message. It returns the usage changes for the caller.
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
