package mesh

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/wire"
)

// A Peer is the last known state of another VM.
type Peer struct {
	VM      plank.VMID
	Boot    plank.BootID
	Domain  plank.DomainID
	Address string
	// LastReceived is when the VM's last message arrived, here or at a relay.
	LastReceived time.Time
	Leaving      bool
	// Settled is set once the VM has run for some seconds.
	Settled  bool
	Manifest plank.ManifestVersion
	// InFlight holds the VM's calls in flight by endpoint.
	InFlight map[plank.EndpointID]InFlightCalls
	// Leases holds the VM's dispatch leases by domain.
	Leases map[plank.DomainID]Lease
	// LastStoreResponse is when the store last answered all of the VM's watches, or those
	// of a VM that sends to it; zero if the VM's last message to this VM gave none.
	LastStoreResponse time.Time
	// Followed are the revisions between which the VM knows all changes of the endpoints.
	// It has told this VM of them; empty if it did not say.
	Followed plank.Coverage
	// StoreResponseRelayed is set if LastStoreResponse is that of another VM's watches.
	StoreResponseRelayed bool
	// Capacity has no unit and compares VMs.
	Capacity float64
	// ColdLoads is the number of loads from the weight store that the VM has ordered.
	ColdLoads int
	// Relaying is set if the VM forwards the states of others.
	Relaying bool
	// Slow is set if the VM gets too little processor time to act for others.
	Slow bool

	weight uint64 // of relayWeight
	// sendInterval is the minimum interval of the VM's messages.
	sendInterval time.Duration
	// direct is set if the last message arrived here, not at a relay.
	direct bool
	// lastDirect is when the VM's last message to this VM arrived, and firstKnown when
	// this VM learned of it.
	lastDirect, firstKnown time.Time
	// sequence is the number of the VM's last message; 0 if it does not number them.
	sequence uint64
	// readsRecords, seeking and usesAsRelay are as in its last message to this VM.
	readsRecords, seeking, usesAsRelay bool
	// targetSince is when this VM began to send to it; zero if it does not.
	targetSince time.Time
	// shunnedUntil is the time until which it is not taken for a relay, since it was
	// silent as one.
	shunnedUntil time.Time

	// status and flights are what records carry of the VM's last message beside its
	// usages. statusChange is the number of their last change here.
	status       *wire.Gossip
	flights      []*wire.Flight
	statusChange uint64
	// record and recordWithoutCalls are the state that records carry beside identity and
	// usages, with and without the calls on engines; nil until one is needed. Many streams
	// share them, so they are not modified.
	record, recordWithoutCalls *wire.Gossip
	// usages holds the VM's usages by workspace, and usagesChange the number of the last
	// change of any.
	usages       map[string]usageChange
	usagesChange uint64
}

// A usageChange is a usage with the number of its last change.
type usageChange struct {
	usage  *wire.Usage
	change uint64
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

// lastNews returns when the VM's last message arrived, or when this VM learned of it if
// none did.
func (p *Peer) lastNews() time.Time {
	if p.LastReceived.IsZero() {
		return p.firstKnown
	}
	return p.LastReceived
}

// isCurrent reports whether the VM's counts are current.
func (p *Peer) isCurrent(now time.Time) bool {
	return now.Sub(p.LastReceived) < currentTimeout+2*p.sendInterval
}

// aliveTimeout returns how long the VM counts as alive after a message.
func (p *Peer) aliveTimeout() time.Duration { return AliveTimeout + 2*p.sendInterval }

// isDirectlyAlive reports whether the VM sends to this VM.
func (p *Peer) isDirectlyAlive(now time.Time) bool { return now.Sub(p.lastDirect) < AliveTimeout }

// identify sets what the first message of a stream says of the VM. A VM that started
// anew has sent nothing yet.
func (p *Peer) identify(boot plank.BootID, domain plank.DomainID, addr string, capacity float64) {
	if p.Boot != boot {
		p.Boot, p.sequence, p.status, p.usages, p.Followed = boot, 0, nil, nil, plank.Coverage{}
	}
	p.Domain, p.Address, p.Capacity = domain, addr, capacity
}

// merge applies the state in a message. change is the number of this change.
func (p *Peer) merge(g *wire.Gossip, change uint64) {
	p.Leaving, p.Settled, p.Relaying, p.Slow = g.Leaving, g.Settled, g.Relaying, g.Slow
	p.Manifest, p.ColdLoads = plank.ManifestVersion(g.Manifest), int(g.ColdLoads)
	inFlight := make(map[plank.EndpointID]InFlightCalls, len(g.Flights))
	for _, f := range g.Flights {
		slices.Sort(f.Adapters)
		inFlight[plank.EndpointID(f.Endpoint)] = InFlightCalls{Calls: int(f.Calls), Adapters: f.Adapters}
	}
	sameCalls := maps.EqualFunc(p.InFlight, inFlight, func(a, b InFlightCalls) bool {
		return a.Calls == b.Calls && slices.Equal(a.Adapters, b.Adapters)
	})
	p.InFlight = inFlight
	p.Leases = make(map[plank.DomainID]Lease, len(g.Duties))
	for _, d := range g.Duties {
		p.Leases[plank.DomainID(d.Domain)] = Lease{Term: plank.Term(d.Term), Version: plank.ObjectVersion(d.Version)}
	}
	status := statusOf(g)
	if p.status == nil || !sameCalls || !proto.Equal(p.status, status) {
		p.statusChange = change
	}
	p.status, p.flights, p.record, p.recordWithoutCalls = status, g.Flights, nil, nil
	if p.usages == nil {
		p.usages = make(map[string]usageChange)
	}
	for _, u := range g.Usages {
		p.usages[u.Workspace] = usageChange{usage: u, change: change}
		p.usagesChange = change
	}
}

// statusOf returns the part of a VM's state that records carry beside its calls, usages and
// identity.
func statusOf(g *wire.Gossip) *wire.Gossip {
	return &wire.Gossip{
		Leaving: g.Leaving, Settled: g.Settled, Relaying: g.Relaying, Slow: g.Slow, Manifest: g.Manifest, ColdLoads: g.ColdLoads, Duties: g.Duties,
		NewsMicros: -1,
	}
}

// sharedRecord returns the state that records carry beside identity and usages.
func (p *Peer) sharedRecord(omitCalls bool) *wire.Gossip {
	record := &p.record
	if omitCalls {
		record = &p.recordWithoutCalls
	}
	if *record == nil {
		*record = statusOf(p.status)
		(*record).Flights = p.flights
		if omitCalls {
			(*record).Flights = slices.DeleteFunc(slices.Clone(p.flights), func(f *wire.Flight) bool { return len(f.Adapters) > 0 })
		}
	}
	return *record
}
