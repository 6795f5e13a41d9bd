// Package mesh exchanges state between the VMs of a fleet. Each VM sends its
// state on long-lived streams, soon after a change and otherwise at a fixed
// interval, so that a failed VM is detected by its silence: to all others in a
// small fleet, by relays in a large one.
package mesh

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/pause"
	"knapweedplank.org/plank/internal/wire"
)

// Timing and size limits of messages between VMs.
const (
	// heartbeatInterval is the interval of messages while nothing changes.
	heartbeatInterval = 200 * time.Millisecond
	// minInterval and intervalPerPeer bound the rate of messages during changes: each
	// VM sends to all others, so the rate falls as the fleet grows.
	minInterval     = 20 * time.Millisecond
	intervalPerPeer = 6 * time.Millisecond
	// minCrossDomainInterval is the minimum interval of messages to another failure
	// domain, since traffic between domains is billed. Limits and call counts tolerate
	// the delay: it is shorter than calls to plain services take.
	minCrossDomainInterval = 60 * time.Millisecond
	// largeFleet is the least number of VMs at which messages to other failure domains
	// are sent at half the rate.
	largeFleet = 17
	// relayInterval and relayCrossInterval are the intervals of messages to VMs of the
	// same and of other domains in a fleet with relays.
	relayInterval      = 220 * time.Millisecond
	relayCrossInterval = 360 * time.Millisecond
	// planInterval is the interval at which silent VMs are noted and the targets are
	// chosen, and targetLinger how long a stream stays open to a VM that is no longer a
	// target.
	planInterval = 250 * time.Millisecond
	targetLinger = 2 * time.Second
	// seedInterval is how long a VM that seeks relays sends to a seed before the next.
	seedInterval = 700 * time.Millisecond
	// relayTimeout is how much longer than other VMs of its domain a VM may be silent to
	// be taken for a relay, and shunTime how long a relay that was silent is not.
	relayTimeout = 1500 * time.Millisecond
	shunTime     = 3 * time.Second
	// AliveTimeout is how long a VM counts as alive after a message: four messages
	// may be late or lost.
	AliveTimeout = 900 * time.Millisecond
	// currentTimeout is how long a VM's counts are considered current: two heartbeat
	// intervals and a margin.
	currentTimeout = 500 * time.Millisecond
	// goneTimeout is the silence after which a VM no longer counts as part of the
	// fleet. Single VMs are disconnected for some seconds, up to 12 s at users'
	// sites.
	goneTimeout = 15 * time.Second
	// redialDelay is the pause before reconnecting to a VM that does not answer.
	redialDelay = 300 * time.Millisecond
	// forgetTimeout is the silence after which a VM's state is removed and its address
	// is only probed.
	forgetTimeout = 30 * time.Second
	// probeInterval is the interval of the probes, and maxProbeTime how long they
	// continue: users' regions are sometimes disconnected for minutes.
	probeInterval = 5 * time.Second
	maxProbeTime  = time.Hour
	// maxEngineStates is the maximum number of engine states, own engines times
	// receivers, that a holder sends to all VMs; beyond it only holders receive them.
	maxEngineStates = 300
	// sendTimeout bounds the sending of one message.
	sendTimeout = time.Second
)

// A LocalState provides this VM's state for messages and receives that of peers.
type LocalState interface {
	// Gossip returns the state, including the parts that changed after the changes
	// given in the options, and the last changes that it covers.
	Gossip(opts GossipOptions) (*wire.Gossip, Covered)
	// Merge applies the parts of a VM's message that the mesh does not store. age is
	// how long ago a relay received it, if it was forwarded.
	Merge(vm plank.VMID, boot plank.BootID, g *wire.Gossip, age time.Duration)
}

// GossipOptions select the contents of a message by what its stream has already
// carried and by its receiver.
type GossipOptions struct {
	// AfterChange is the number of the last change that the stream has carried.
	AfterChange uint64
	// AfterObjects is the same for store objects, which are sent only while the
	// sender's view of the store is current.
	AfterObjects uint64
	// AfterEngines is the same for engine states, which are left out if OmitEngines
	// is set.
	AfterEngines uint64
	OmitEngines  bool
	// SameDomain is set when the receiver is in the same failure domain.
	SameDomain bool
	// OmitEngineCalls leaves out the counts of calls on engines. It is set for
	// receivers in a large fleet that hold no lease and are no relays.
	OmitEngineCalls bool
	// Relaying is set if this VM forwards what it receives to its domain.
	Relaying bool
	// Followed is what the stream has last carried of the revisions that the sender follows.
	Followed plank.Coverage
}

// Covered gives the numbers of the changes up to which a message is complete.
type Covered struct {
	Change uint64
	// Objects is the same for store objects. It lags behind Change while the sender's
	// view of the store is outdated, or while the changes do not fit into a message.
	Objects uint64
	// Followed is what the stream has carried with this message of the revisions that the
	// sender follows.
	Followed plank.Coverage
}

// Self identifies this VM.
type Self struct {
	VM      plank.VMID
	Boot    plank.BootID
	Domain  plank.DomainID
	Address string
	// Capacity has no unit and compares VMs: those with more should hold the leases.
	Capacity float64
	// Quiet is how long after its start this VM sends only to a seed, and to VMs that send
	// to it. In a fleet that starts as a whole, VMs learn meanwhile how large it is.
	Quiet time.Duration
}

// A Mesh exchanges state with the other VMs. It is safe for concurrent use.
type Mesh struct {
	self      Self
	transport Transport
	local     LocalState
	clock     plank.Clock
	log       *logrus.Entry
	ctx       context.Context
	// giveUpTimeout is the silence after which an address is only probed.
	giveUpTimeout time.Duration
	// relayFleet is the least number of VMs at which relays are used.
	relayFleet int

	// composeMu makes the numbers of messages follow the order of their contents, and
	// mergeMu the local state merge a VM's messages in the order of their numbers.
	composeMu, mergeMu sync.Mutex
	sequence           uint64 // number of the last message

	mu    sync.Mutex
	peers map[plank.VMID]*Peer
	// byAddress holds the peers by the addresses that they had at some time.
	byAddress map[string]*Peer
	// changes is the number of the last change of a peer's state.
	changes uint64
	// addresses lists the addresses of all VMs that sent a message, in the order of their
	// first messages.
	addresses []string
	// contacts holds the addresses that this VM sends to in a small fleet, and seeds
	// those that it was given.
	contacts map[string]bool
	seeds    []string
	// slow is set while this VM gets too little processor time to act for others.
	slow bool
	// startedAt is when this VM started. Until quietUntil it sends only to a seed, and to
	// VMs that send to it.
	startedAt, quietUntil time.Time
	// largeUntil is the time until which the fleet counts as large because another VM
	// said so.
	largeUntil time.Time
	// topology is used in a large fleet. targetUntil maps the addresses to send to to the
	// time until which streams to them stay open.
	topology    topology
	targetUntil map[string]time.Time
	// planned is when the targets were last chosen.
	planned time.Time
	// lost maps each address that was silent for giveUpTimeout to the time until
	// which it is probed.
	lost map[string]time.Time
	// senders maps each address that has a send loop to the loop's wake-up channel.
	senders map[string]chan struct{}
	engines map[plank.EndpointID]Engine
	recent  map[plank.EndpointID]*recentAdapters
}

// New returns a mesh whose loops end with ctx.
func New(ctx context.Context, self Self, transport Transport, local LocalState, clock plank.Clock, log *logrus.Entry) *Mesh {
	now := clock.Now()
	m := &Mesh{
		startedAt: now, quietUntil: now.Add(self.Quiet),
		self: self, transport: transport, local: local, clock: clock, log: log, ctx: ctx, giveUpTimeout: forgetTimeout, relayFleet: relayFleet,
		peers: make(map[plank.VMID]*Peer), byAddress: make(map[string]*Peer), contacts: make(map[string]bool), lost: make(map[string]time.Time), senders: make(map[string]chan struct{}), targetUntil: make(map[string]time.Time),
		engines: make(map[plank.EndpointID]Engine), recent: make(map[plank.EndpointID]*recentAdapters),
	}
	go func() {
		for pause.For(ctx, probeInterval) {
			m.probeLost()
		}
	}()
	go func() {
		for pause.For(ctx, planInterval) {
			m.sweep()
			m.updateTargets()
		}
	}()
	return m
}

// Contact makes this VM send to the VM at addr in a small fleet, and while it seeks
// relays.
func (m *Mesh) Contact(addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if addr != m.self.Address && !slices.Contains(m.seeds, addr) {
		m.seeds = append(m.seeds, addr)
	}
	now := m.clock.Now()
	m.learn(addr, now)
	if seed := m.seed(now); seed != "" {
		m.target(seed, now)
	}
}

// learn adds an address to the contacts. The lock is held.
func (m *Mesh) learn(addr string, now time.Time) {
	if addr == "" || addr == m.self.Address {
		return
	}
	m.contacts[addr] = true
	if !m.large() && !now.Before(m.quietUntil) {
		m.target(addr, now)
	}
}

// large reports whether the fleet uses relays: this VM knows so many VMs, or one that sends
// to it does. The lock is held.
func (m *Mesh) large() bool {
	return m.knowsLarge() || m.clock.Now().Before(m.largeUntil)
}

// knowsLarge reports whether this VM knows so many VMs that the fleet uses relays. The
// lock is held.
func (m *Mesh) knowsLarge() bool { return m.size()+1 >= m.relayFleet }

// Wake makes the send loops send changes without waiting for the next heartbeat.
func (m *Mesh) Wake() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wake()
}

// wake implements Wake. The lock is held.
func (m *Mesh) wake() {
	for _, wake := range m.senders {
		select {
		case wake <- struct{}{}:
		default: // already woken
		}
	}
}

// isAlive reports whether the VM at addr is alive.
func (m *Mesh) isAlive(addr string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.byAddress[addr]
	return p != nil && p.Address == addr && p.IsAlive(now)
}

// lastReceived returns when the last message from the VM at addr arrived; the zero
// time for none.
func (m *Mesh) lastReceived(addr string) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.byAddress[addr]; p != nil && p.Address == addr {
		return p.LastReceived
	}
	return time.Time{}
}

// Serve receives the messages of one stream until it fails or stays silent.
func (m *Mesh) Serve(first *wire.Gossip, s Stream) {
	table := make(recordTable)
	for g := first; ; {
		m.merge(g, table)
		g = new(wire.Gossip)
		if s.SetDeadline(time.Now().Add(2*AliveTimeout)) != nil || s.Receive(g) != nil {
			return
		}
		g.Vm, g.Boot, g.Domain, g.Address, g.Capacity = first.Vm, first.Boot, first.Domain, first.Address, first.Capacity
	}
}

// merge applies one message of a stream whose records have named the VMs of table.
func (m *Mesh) merge(g *wire.Gossip, table recordTable) {
	vm := plank.VMID(g.Vm)
	if vm == "" || vm == m.self.VM {
		return
	}
	m.mergeMu.Lock()
	defer m.mergeMu.Unlock()
	received := m.clock.Now()
	for _, part := range m.mergePeers(vm, g, table, received) {
		m.local.Merge(part.vm, part.boot, part.state, part.age)
	}
	m.recordStoreResponse(vm, g, received)
}

// recordStoreResponse records when the store last answered all of a VM's watches, once the
// objects that it sent have been merged: a relay passes the time on.
func (m *Mesh) recordStoreResponse(vm plank.VMID, g *wire.Gossip, received time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[vm]
	if p == nil {
		return
	}
	p.LastStoreResponse, p.StoreResponseRelayed = time.Time{}, g.NewsRelayed
	if g.NewsMicros >= 0 {
		p.LastStoreResponse = received.Add(-time.Duration(g.NewsMicros) * time.Microsecond)
	}
	if g.FollowedUntil > 0 {
		p.Followed = plank.Coverage{Since: plank.Revision(g.FollowedSince), Until: plank.Revision(g.FollowedUntil)}
	}
}

// mergePeers applies what a message that arrived at now says of VMs and returns what the
// local state is to merge. mergeMu is held.
func (m *Mesh) mergePeers(vm plank.VMID, g *wire.Gossip, table recordTable, now time.Time) []merged {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peer(vm, now)
	m.identify(p, plank.BootID(g.Boot), plank.DomainID(g.Domain), g.Address, g.Capacity)
	p.direct, p.lastDirect, p.readsRecords, p.seeking, p.usesAsRelay = true, now, g.ReadsRecords, g.Seeking, g.ToRelay
	p.sendInterval = m.sendInterval(p.Domain == m.self.Domain)
	if g.Large {
		m.largeUntil = now.Add(goneTimeout)
	}
	m.markReceived(p, now, now)
	if g.Sequence == 0 || g.Sequence > p.sequence {
		p.sequence = g.Sequence
		m.changes++
		p.merge(g, m.changes)
	} else {
		// A relay was faster: what this message says of usages is outdated.
		g.Usages = nil
	}
	if g.EnginesWithheld {
		m.dropEngines(vm)
	}
	for _, e := range g.Engines {
		m.mergeEngine(p, e, now)
	}
	out := []merged{{vm: vm, boot: p.Boot, state: g}}
	changed := len(g.Usages) > 0 || p.statusChange == m.changes
	for _, r := range g.Records {
		changed = changed || r.State != nil
		out = append(out, m.mergeRecord(table, r, now)...)
	}
	if changed && m.large() && m.topology.relaying {
		m.wake() // to forward it
	}
	if !slices.Contains(m.addresses, g.Address) {
		m.addresses = append(m.addresses, g.Address)
	}
	for _, addr := range append(g.Addresses, g.Address) {
		m.learn(addr, now)
	}
	if !m.large() {
		m.target(g.Address, now)
	}
	return out
}

// peer returns the state of a VM, which is new if the VM was not known. The lock is held.
func (m *Mesh) peer(vm plank.VMID, now time.Time) *Peer {
	p := m.peers[vm]
	if p == nil {
		p = &Peer{VM: vm, weight: relayWeight(vm), firstKnown: now}
		m.peers[vm] = p
	}
	return p
}

// identify sets what the first message of a stream says of a VM. The lock is held.
func (m *Mesh) identify(p *Peer, boot plank.BootID, domain plank.DomainID, addr string, capacity float64) {
	p.identify(boot, domain, addr, capacity)
	m.byAddress[addr] = p
}

// markReceived records when a VM's last message arrived, here or at a relay. The lock is
// held.
func (m *Mesh) markReceived(p *Peer, received, now time.Time) {
	wasAlive := p.IsAlive(now)
	if received.After(p.LastReceived) {
		p.LastReceived = received
	}
	if !wasAlive && p.IsAlive(now) {
		level := logrus.InfoLevel
		if !p.direct {
			level = logrus.DebugLevel // a large fleet would log each VM at each other
		}
		m.log.WithFields(logrus.Fields{"vm": p.VM, "addr": p.Address}).Log(level, "mesh: peer reachable")
	}
}

// Each calls f for each known peer, in no particular order. The pointer is valid
// only during the call, and f must not call the mesh.
func (m *Mesh) Each(f func(*Peer)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		f(p)
	}
}

// Size returns the number of other known VMs: those that sent a message, or those
// whose addresses are known if these are more, as right after the start.
func (m *Mesh) Size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.size()
}

// size implements Size. The lock is held.
func (m *Mesh) size() int { return max(len(m.peers), len(m.contacts)) }

// Reachable returns the peers whose messages are current, and the number of known
// VMs, including this one.
func (m *Mesh) Reachable() (reachable []plank.VMID, known int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	reachable, known = countReachable(m.self.Domain, m.peers, m.clock.Now())
	received := make(map[string]bool, len(m.peers))
	for _, p := range m.peers {
		received[p.Address] = true
	}
	for addr := range m.senders {
		if !received[addr] {
			known++
		}
	}
	return reachable, known
}

// SetSlow tells the other VMs whether this VM gets too little processor time to act for
// others.
func (m *Mesh) SetSlow(slow bool) {
	m.mu.Lock()
	m.slow = slow
	m.mu.Unlock()
	m.Wake()
}

// IsRelay reports whether this VM forwards the states of others.
func (m *Mesh) IsRelay() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.large() && m.topology.relaying
}

// countReachable returns the reachable peers, and the number of known VMs without
// those that never sent a message. A VM that is silent for long while others of its
// domain are reachable has been removed: a partition would silence the whole domain.
func countReachable(own plank.DomainID, peers map[plank.VMID]*Peer, now time.Time) (reachable []plank.VMID, known int) {
	known = 1
	reachableDomains := map[plank.DomainID]bool{own: true} // domains with a reachable VM
	for vm, p := range peers {
		if p.isCurrent(now) {
			reachable = append(reachable, vm)
			reachableDomains[p.Domain] = true
		}
	}
	for _, p := range peers {
		if p.isKnown(now, reachableDomains) {
			known++
		}
	}
	return reachable, known
}

// sweep removes VMs that have been silent for long, and logs newly silent ones.
func (m *Mesh) sweep() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	for id := range m.recent {
		if _, ok := m.engines[id]; !ok {
			delete(m.recent, id)
		}
	}
	for vm, p := range m.peers {
		silent := now.Sub(p.lastNews())
		if limit := p.aliveTimeout(); silent > limit && silent <= limit+planInterval {
			m.log.WithFields(logrus.Fields{"vm": vm, "silent_ms": silent.Milliseconds()}).Warn("mesh: peer silent")
		}
		if silent > forgetTimeout {
			delete(m.peers, vm)
			delete(m.byAddress, p.Address)
			if m.senders[p.Address] == nil {
				m.addLost(p.Address)
			}
		}
	}
}
