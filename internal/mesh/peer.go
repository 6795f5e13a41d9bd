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
	// Heard is when the VM's last message arrived. It is zero if the VM is only
	// known by name.
	Heard   time.Time
	Leaving bool
	// Settled is set when the VM has run for some seconds.
	Settled  bool
	Manifest plank.ManifestVersion
	// Flights counts the VM's calls by endpoint.
	Flights map[plank.EndpointID]Flight
	// Duties holds the VM's terms by domain.
	Duties map[plank.DomainID]Duty
	// News is when the VM last had news from the store by itself; zero for
	// none.
	News time.Time
	// Capacity compares VMs.
	Capacity float64
	// pace is the least pause between the VM's messages.
	pace time.Duration
	// Cold counts the loads from the weight store that the VM has ordered.
	Cold int
}

// A Flight is a VM's calls at one endpoint.
type Flight struct {
	Calls    int
	Adapters []string // that they use
}

// A Duty is a domain whose engines a VM orders.
type Duty struct {
	Term plank.Term
	// Version is the lease object's when it was last renewed.
	Version plank.ObjectVersion
}

// IsAlive tells whether the VM was heard of lately.
func (p *Peer) IsAlive(now time.Time) bool { return now.Sub(p.Heard) < p.aliveTime() }

// isCurrent tells whether the VM's counts are up to date.
func (p *Peer) isCurrent(now time.Time) bool { return now.Sub(p.Heard) < heardTime+2*p.pace }

// aliveTime is how long the VM may be silent.
func (p *Peer) aliveTime() time.Duration { return AliveTime + 2*p.pace }

// merge takes a message. It returns the usage changes for the caller.
func (p *Peer) merge(g *wire.Gossip, now time.Time) {
	if p.Boot != plank.BootID(g.Boot) {
		p.Boot = plank.BootID(g.Boot)
	}
	p.Domain, p.Address, p.Leaving = plank.DomainID(g.Domain), g.Address, g.Leaving
	p.Settled = g.Settled
	p.Heard, p.Manifest, p.Cold = now, plank.ManifestVersion(g.Manifest), int(g.ColdLoads)
	p.Capacity, p.News = g.Capacity, time.Time{}
	if g.NewsMicros >= 0 {
		p.News = now.Add(-time.Duration(g.NewsMicros) * time.Microsecond)
	}
	p.Flights = make(map[plank.EndpointID]Flight, len(g.Flights))
	for _, f := range g.Flights {
		p.Flights[plank.EndpointID(f.Endpoint)] = Flight{Calls: int(f.Calls), Adapters: f.Adapters}
	}
	p.Duties = make(map[plank.DomainID]Duty, len(g.Duties))
	for _, d := range g.Duties {
		p.Duties[plank.DomainID(d.Domain)] = Duty{Term: plank.Term(d.Term), Version: plank.ObjectVersion(d.Version)}
	}
}
