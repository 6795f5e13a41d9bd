// Package mesh defines what the VMs of a fleet tell each other: each sends its
// state to the others on a lasting stream, at once when it changed and else at
// a steady pace, so that a silent VM is noticed.
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

// The times of messages between VMs.
const (
	// beatEvery is the pause between messages while nothing changes.
	beatEvery = 200 * time.Millisecond
	// minGap and gapPerPeer bound the pace of messages when things change: each
	// VM sends to all others, so the pace falls as the fleet grows.
	minGap     = 20 * time.Millisecond
	gapPerPeer = 6 * time.Millisecond
	// minFarGap is the least pause between messages to another failure domain,
	// whose bytes have their price. Limits and counts of calls tolerate it: it is
	// shorter than the calls of plain services take.
	minFarGap = 60 * time.Millisecond
	// largeFleet is from how many VMs on messages to other failure domains go at
	// half the pace.
	largeFleet = 17
	// AliveTimeout is how long a VM counts as reachable after a message: four
	// messages may be late or lost.
	AliveTimeout = 900 * time.Millisecond
	// heardTime is how long a VM's counts are taken to be current: two messages
	// at the steady pace.
	heardTime = 500 * time.Millisecond
	// goneTime is how long a VM is silent until it no longer counts as part of the
	// fleet. Single VMs are cut off for some seconds, up to 12 on the users'
	// sites.
	goneTime = 15 * time.Second
	// redialAfter is the pause before a VM that does not answer is tried again.
	redialAfter = 300 * time.Millisecond
	// forgetTime is how long a VM that does not answer is tried at full pace.
	forgetTime = 30 * time.Second
	// probeEvery is the pause between later attempts to reach it, and lostTime how
	// long they go on: the users' regions lose each other for minutes.
	probeEvery = 5 * time.Second
	lostTime   = time.Hour
	// maxSpread is the most states, of engines times VMs, that a holder tells all
	// VMs; beyond it only other holders are told.
	maxSpread = 300
	// sendTimeout bounds one message.
	sendTimeout = time.Second
)

// A LocalState composes this VM's part of a message.
type LocalState interface {
	// Gossip returns the state, with the parts that changed after the given
	// changes, and the last changes that it covers.
	Gossip(after GossipOptions) (*wire.Gossip, Covered)
	// Merge takes the parts of a peer's message that the mesh does not keep.
	Merge(vm plank.VMID, boot plank.BootID, g *wire.Gossip)
}

// An GossipOptions tells which changes a stream has carried.
type GossipOptions struct {
	AfterChange uint64
	// AfterObjects is the same for the store's objects, which are told only while the
	// sender's news from the store are fresh.
	AfterObjects uint64
	// AfterEngines is the same for the engines' states, which are left out if
	// Withhold is set.
	AfterEngines uint64
	OmitEngines  bool
	// SameDomain is set when the receiver is in the same failure domain.
	SameDomain bool
	// OmitEngineCalls is set when the receiver needs no counts of calls on engines: it
	// orders none, and the fleet is large.
	OmitEngineCalls bool
}

// Covered are the last changes that a message tells of.
type Covered struct {
	Change uint64
	// Objects is the same for the store's objects. It is behind Change while the
	// sender's news are old, or while they do not fit a message.
	Objects uint64
}

// Self names this VM.
type Self struct {
	VM      plank.VMID
	Boot    plank.BootID
	Domain  plank.DomainID
	Address string
	// Capacity compares VMs; the holders of duties should have much of it.
	Capacity float64
}

// A Mesh knows the other VMs. It is safe for concurrent use.
type Mesh struct {
	self  Self
	hub   *peer.Transport
	local LocalState
	clock plank.Clock
	log   *logrus.Entry
	ctx   context.Context
	// forget is how long a VM that does not answer is tried at full pace.
	forget time.Duration

	mu    sync.Mutex
	peers map[plank.VMID]*Peer
	// met lists the addresses of VMs that were heard, in the order of meeting.
	met []string
	// lost holds the addresses of VMs that were given up, and until when they are
	// probed.
	lost map[string]time.Time
	// senders holds the addresses to which a loop sends, with its wake-up.
	senders map[string]chan struct{}
	engines map[plank.EndpointID]Engine
	lately  map[plank.EndpointID]*lately
}

// New returns a mesh whose loops end with ctx.
func New(ctx context.Context, self Self, hub *peer.Transport, local LocalState, clock plank.Clock, log *logrus.Entry) *Mesh {
	m := &Mesh{
		self: self, hub: hub, local: local, clock: clock, log: log, ctx: ctx, forget: forgetTime,
		peers: make(map[plank.VMID]*Peer), lost: make(map[string]time.Time), senders: make(map[string]chan struct{}),
		engines: make(map[plank.EndpointID]Engine), lately: make(map[plank.EndpointID]*lately),
	}
	go func() {
		for pause.For(ctx, redialAfter) {
			m.sweep()
		}
	}()
	go func() {
		for pause.For(ctx, probeEvery) {
			m.probeLost()
		}
	}()
	return m
}

// Contact begins to send to the VM at addr, if it does not yet.
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

// Wake sends changes to all VMs soon.
func (m *Mesh) Wake() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, wake := range m.senders {
		select {
		case wake <- struct{}{}:
		default: // it is due already
		}
	}
}

// heardFrom tells whether the VM at addr was heard of lately.
func (m *Mesh) heardFrom(addr string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if p.Address == addr && p.IsAlive(now) {
			return true
		}
	}
	return false
}

// lastHeard returns when the VM at addr was last heard of; the zero time for
// never.
func (m *Mesh) lastHeard(addr string) time.Time {
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

// Serve takes the messages of one stream.
func (m *Mesh) Serve(first *wire.Gossip, s *peer.Stream) {
	for g := first; ; {
		m.take(g)
		g = new(wire.Gossip)
		if s.SetDeadline(time.Now().Add(2*AliveTimeout)) != nil || s.Receive(g) != nil {
			return
		}
		g.Vm, g.Boot, g.Domain, g.Address, g.Capacity = first.Vm, first.Boot, first.Domain, first.Address, first.Capacity
	}
}

// take merges one message.
func (m *Mesh) take(g *wire.Gossip) {
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
		m.log.WithFields(logrus.Fields{"vm": vm, "addr": g.Address}).Info("mesh: peer heard")
	}
	p.merge(g, now)
	p.pace = m.gapLocked(p.Domain == m.self.Domain)
	if !slices.Contains(m.met, g.Address) {
		m.met = append(m.met, g.Address)
	}
	if g.EnginesWithheld {
		m.dropEngines(vm)
	}
	for _, e := range g.Engines {
		m.takeEngine(p, e, now)
	}
	m.mu.Unlock()
	for _, addr := range append(g.Addresses, g.Address) {
		m.Contact(addr)
	}
	m.local.Merge(vm, plank.BootID(g.Boot), g)
}

// Each calls f with what is known of each other VM, in no order. The peer is
// valid during the call only, and f must not call the mesh.
func (m *Mesh) Each(f func(*Peer)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		f(p)
	}
}

// Size returns how many other VMs are known: those that were heard, or those
// that are sent to if these are more, as right after the start.
func (m *Mesh) Size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(len(m.peers), len(m.senders))
}

// Reachable returns which VMs are heard at the moment, and how many VMs there are as
// far as is known, this one included.
func (m *Mesh) Reachable() (heard []plank.VMID, known int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	heard, known = countReachable(m.self.Domain, m.peers, m.clock.Now())
	met := make(map[string]bool, len(m.peers))
	for _, p := range m.peers {
		met[p.Address] = true
	}
	for addr := range m.senders {
		if !met[addr] {
			known++
		}
	}
	return heard, known
}

// countReachable returns which VMs are heard and how many there are, without those
// that were never met. A VM that is silent for long while others of its domain
// are heard has been taken away: a cut between domains would hide them all.
func countReachable(own plank.DomainID, peers map[plank.VMID]*Peer, now time.Time) (heard []plank.VMID, known int) {
	known = 1
	domains := map[plank.DomainID]bool{own: true} // with a VM that is heard
	for vm, p := range peers {
		if p.isCurrent(now) {
			heard = append(heard, vm)
			domains[p.Domain] = true
		}
	}
	for _, p := range peers {
		gone := p.Leaving || now.Sub(p.LastReceived) > goneTime && domains[p.Domain]
		if p.isCurrent(now) || !gone {
			known++
		}
	}
	return heard, known
}

// sweep forgets VMs that were silent for long, and logs those that fell silent.
func (m *Mesh) sweep() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	for id := range m.lately {
		if _, ok := m.engines[id]; !ok {
			delete(m.lately, id)
		}
	}
	for vm, p := range m.peers {
		silent := now.Sub(p.LastReceived)
		if limit := p.aliveTime(); silent > limit && silent <= limit+redialAfter {
			m.log.WithFields(logrus.Fields{"vm": vm, "silent_ms": silent.Milliseconds()}).Warn("mesh: peer silent")
		}
		if silent > forgetTime {
			delete(m.peers, vm)
		}
	}
}
