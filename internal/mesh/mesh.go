// Package mesh exchanges state between the VMs of a fleet. Each VM sends its
// state to all others on long-lived streams, soon after a change and otherwise
// at a fixed interval, so that a failed VM is detected by its silence.
package mesh

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/pause"
	"knapweedplank.org/plank/internal/peer"
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
	// Merge applies the parts of a peer's message that the mesh does not store.
	Merge(vm plank.VMID, boot plank.BootID, g *wire.Gossip)
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
	// receivers in a large fleet that hold no lease.
	OmitEngineCalls bool
}

// Covered gives the numbers of the changes up to which a message is complete.
type Covered struct {
	Change uint64
	// Objects is the same for store objects. It lags behind Change while the sender's
	// view of the store is outdated, or while the changes do not fit into a message.
	Objects uint64
}

// Self identifies this VM.
type Self struct {
	VM      plank.VMID
	Boot    plank.BootID
	Domain  plank.DomainID
	Address string
	// Capacity has no unit and compares VMs: those with more should hold the leases.
	Capacity float64
}

// A Mesh exchanges state with the other VMs. It is safe for concurrent use.
type Mesh struct {
	self      Self
	transport *peer.Transport
	local     LocalState
	clock     plank.Clock
	log       *logrus.Entry
	ctx       context.Context
	// giveUpTimeout is the silence after which an address is only probed.
	giveUpTimeout time.Duration

	mu    sync.Mutex
	peers map[plank.VMID]*Peer
	// addresses lists the addresses of all VMs that sent a message, in the order of their
	// first messages.
	addresses []string
	// lost maps each address that was silent for giveUpTimeout to the time until
	// which it is probed.
	lost map[string]time.Time
	// senders maps each address that has a send loop to the loop's wake-up channel.
	senders map[string]chan struct{}
	engines map[plank.EndpointID]Engine
	recent  map[plank.EndpointID]*recentAdapters
}

// New returns a mesh whose loops end with ctx.
func New(ctx context.Context, self Self, transport *peer.Transport, local LocalState, clock plank.Clock, log *logrus.Entry) *Mesh {
	m := &Mesh{
		self: self, transport: transport, local: local, clock: clock, log: log, ctx: ctx, giveUpTimeout: forgetTimeout,
		peers: make(map[plank.VMID]*Peer), lost: make(map[string]time.Time), senders: make(map[string]chan struct{}),
		engines: make(map[plank.EndpointID]Engine), recent: make(map[plank.EndpointID]*recentAdapters),
	}
	go func() {
		for pause.For(ctx, redialDelay) {
			m.sweep()
		}
	}()
	go func() {
		for pause.For(ctx, probeInterval) {
			m.probeLost()
		}
	}()
	return m
}

// Contact starts sending to the VM at addr, unless this is already done.
func (m *Mesh) Contact(addr string) {
	if addr == "" || addr == m.self.Address {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.senders[addr] != nil {
		return
	}
	wake := make(chan struct{}, 1)
	m.senders[addr] = wake
	go func() {
		m.sendTo(addr, wake)
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.senders, addr)
	}()
}

// Wake makes the send loops send changes without waiting for the next heartbeat.
func (m *Mesh) Wake() {
	m.mu.Lock()
	defer m.mu.Unlock()
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
	for _, p := range m.peers {
		if p.Address == addr && p.IsAlive(now) {
			return true
		}
	}
	return false
}

// lastReceived returns when the last message from the VM at addr arrived; the zero
// time for none.
func (m *Mesh) lastReceived(addr string) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	var last time.Time
	for _, p := range m.peers {
		if p.Address == addr && p.LastReceived.After(last) {
			last = p.LastReceived
		}
	}
	return last
}

// Serve receives the messages of one stream until it fails or stays silent.
func (m *Mesh) Serve(first *wire.Gossip, s *peer.Stream) {
	for g := first; ; {
		m.merge(g)
		g = new(wire.Gossip)
		if s.SetDeadline(time.Now().Add(2*AliveTimeout)) != nil || s.Receive(g) != nil {
			return
		}
		g.Vm, g.Boot, g.Domain, g.Address, g.Capacity = first.Vm, first.Boot, first.Domain, first.Address, first.Capacity
	}
}

// merge applies one message.
func (m *Mesh) merge(g *wire.Gossip) {
	vm := plank.VMID(g.Vm)
	if vm == "" || vm == m.self.VM {
		return
	}
	now := m.clock.Now()
	m.mu.Lock()
	p := m.peers[vm]
	if p == nil {
		p = &Peer{VM: vm}
		m.peers[vm] = p
	}
	if !p.IsAlive(now) {
		m.log.WithFields(logrus.Fields{"vm": vm, "addr": g.Address}).Info("mesh: peer reachable")
	}
	p.merge(g, now)
	p.sendInterval = m.sendIntervalLocked(p.Domain == m.self.Domain)
	if !slices.Contains(m.addresses, g.Address) {
		m.addresses = append(m.addresses, g.Address)
	}
	if g.EnginesWithheld {
		m.dropEngines(vm)
	}
	for _, e := range g.Engines {
		m.mergeEngine(p, e, now)
	}
	m.mu.Unlock()
	for _, addr := range append(g.Addresses, g.Address) {
		m.Contact(addr)
	}
	m.local.Merge(vm, plank.BootID(g.Boot), g)
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
// that are sent to if these are more, as right after the start.
func (m *Mesh) Size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(len(m.peers), len(m.senders))
}

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
		gone := p.Leaving || now.Sub(p.LastReceived) > goneTimeout && reachableDomains[p.Domain]
		if p.isCurrent(now) || !gone {
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
		silent := now.Sub(p.LastReceived)
		if limit := p.aliveTimeout(); silent > limit && silent <= limit+redialDelay {
			m.log.WithFields(logrus.Fields{"vm": vm, "silent_ms": silent.Milliseconds()}).Warn("mesh: peer silent")
		}
		if silent > forgetTimeout {
			delete(m.peers, vm)
		}
	}
}
