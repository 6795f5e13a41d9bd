package mesh

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/pause"
	"knapweedplank.org/plank/internal/wire"
)

// This file defines the send loop for one VM, and starts and ends the loops.

// updateTargets chooses anew which VMs this VM sends to, and forgets what those that no
// longer send to it would have to keep current.
func (m *Mesh) updateTargets() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	m.planned = now
	m.forgetUnsentEngines(now)
	var targets map[string]bool
	if m.large() {
		targets = m.planTargets(now)
	} else {
		m.topology = topology{}
		if !now.Before(m.quietUntil) {
			targets = m.contacts
		} else if seed := m.seed(now); seed != "" {
			targets = map[string]bool{seed: true}
		}
	}
	for addr := range targets {
		m.target(addr, now)
	}
	for _, p := range m.peers {
		switch {
		case !targets[p.Address]:
			p.targetSince = time.Time{}
		case p.targetSince.IsZero():
			p.targetSince = now
		}
	}
}

// planTargets updates the topology of a large fleet and returns the addresses to send
// to. The lock is held.
func (m *Mesh) planTargets(now time.Time) map[string]bool {
	latest := make(map[plank.DomainID]time.Time) // last message of any VM of a domain
	for _, p := range m.peers {
		if p.LastReceived.After(latest[p.Domain]) {
			latest[p.Domain] = p.LastReceived
		}
	}
	isHolder := false
	for _, e := range m.engines {
		isHolder = isHolder || e.Holder == m.self.VM
	}
	self := neighbor{vm: m.self.VM, domain: m.self.Domain, addr: m.self.Address, capacity: m.self.Capacity, weight: relayWeight(m.self.VM), usable: !m.slow, isHolder: isHolder}
	others := make([]neighbor, 0, len(m.peers))
	for _, p := range m.peers {
		if !p.targetSince.IsZero() && now.Sub(p.targetSince) > relayTimeout && now.Sub(p.LastReceived) > relayTimeout {
			p.shunnedUntil, p.targetSince = now.Add(shunTime), time.Time{}
		}
		others = append(others, neighbor{
			vm: p.VM, domain: p.Domain, addr: p.Address, capacity: p.Capacity, weight: p.weight,
			usable:   !p.Leaving && !p.Slow && !now.Before(p.shunnedUntil) && latest[p.Domain].Sub(p.LastReceived) < relayTimeout,
			isHolder: len(p.Leases) > 0 && p.IsAlive(now), readsRecords: p.readsRecords || p.LastReceived.IsZero(),
			sendsHere: p.isDirectlyAlive(now), seeking: p.seeking, usesAsRelay: p.usesAsRelay,
		})
	}
	m.topology = planTopology(self, others)
	targets := m.topology.targets
	if seed := m.seed(now); seed != "" && m.seeking(now) {
		targets[seed] = true
	}
	return targets
}

// seed returns the seed that this VM sends to while it seeks relays; "" if it has none.
// Different VMs begin with different seeds, which would be overloaded otherwise when a large
// fleet starts. The lock is held.
func (m *Mesh) seed(now time.Time) string {
	if len(m.seeds) == 0 {
		return ""
	}
	turn := int(now.Sub(m.startedAt) / seedInterval)
	return m.seeds[(turn+int(relayWeight(m.self.VM)%uint64(len(m.seeds))))%len(m.seeds)]
}

// seeking reports whether no relay of this VM's domain sends to it. The lock is held.
func (m *Mesh) seeking(now time.Time) bool {
	if !m.large() {
		return true
	}
	for _, p := range m.peers {
		if p.Domain == m.self.Domain && p.isDirectlyAlive(now) && (p.Relaying || m.topology.relaying) {
			return false
		}
	}
	return true
}

// target keeps a stream to an address open, and starts its send loop if there is none.
// The lock is held.
func (m *Mesh) target(addr string, now time.Time) {
	m.targetUntil[addr] = now.Add(targetLinger)
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

// isTarget reports whether the stream to an address stays open.
func (m *Mesh) isTarget(addr string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	// A VM that was paused, or is too slow to choose, keeps its streams.
	if m.planned.Before(m.targetUntil[addr]) {
		return true
	}
	delete(m.targetUntil, addr)
	return false
}

// sendTo sends to one address until it is no longer a target, or the VM there has been
// silent for giveUpTimeout.
func (m *Mesh) sendTo(addr string, wake <-chan struct{}) {
	lastAnswer := m.clock.Now() // or the first attempt
	for m.ctx.Err() == nil && m.isTarget(addr) {
		ctx, cancel := context.WithCancel(m.ctx)
		m.stream(ctx, addr, wake)
		cancel()
		// A VM that receives messages sends its own in return, to this VM or to a relay.
		if received := m.lastReceived(addr); received.After(lastAnswer) {
			lastAnswer = received
		}
		if m.clock.Now().Sub(lastAnswer) > m.giveUpTimeout {
			m.log.WithField("addr", addr).Info("mesh: gave up an address that does not answer")
			m.mu.Lock()
			m.addLost(addr)
			m.mu.Unlock()
			return
		}
		pause.For(m.ctx, redialDelay)
	}
}

// stream sends messages on one stream until it fails, or until the VM is no longer
// alive, so that the connection may be dead.
func (m *Mesh) stream(ctx context.Context, addr string, wake <-chan struct{}) {
	pos := position{}
	g := m.compose(&pos, addr)
	s, err := m.transport.Open(ctx, addr, &wire.Call{Body: &wire.Call_Gossip{Gossip: g}})
	if err != nil {
		return
	}
	defer s.Close()
	opened := m.clock.Now()
	logEnd := func(reason string, message int) {
		m.log.WithFields(logrus.Fields{
			"addr": addr, "reason": reason, "sent_bytes": s.SentBytes(), "message_bytes": message, "open_ms": m.clock.Now().Sub(opened).Milliseconds(),
		}).Warn("mesh: stream ended")
	}
	for {
		if !m.waitNextSend(ctx, addr, wake) || !m.isTarget(addr) {
			return
		}
		if now := m.clock.Now(); now.Sub(opened) > 2*AliveTimeout && !m.isAlive(addr, now) {
			logEnd("peer silent", 0)
			m.transport.Discard(addr)
			return
		}
		g := m.compose(&pos, addr)
		err := s.SetDeadline(time.Now().Add(sendTimeout))
		if err == nil {
			err = s.Send(g)
		}
		if err != nil {
			logEnd(err.Error(), proto.Size(g))
			m.transport.Discard(addr)
			return
		}
	}
}

// waitNextSend waits until the next message is due: soon after a change, or after
// the heartbeat interval. It reports false if ctx has ended.
func (m *Mesh) waitNextSend(ctx context.Context, addr string, wake <-chan struct{}) bool {
	m.mu.Lock()
	interval := m.sendInterval(m.receiver(addr).domain == m.self.Domain)
	m.mu.Unlock()
	if !pause.For(ctx, interval) {
		return false
	}
	timer := time.NewTimer(heartbeatInterval - min(interval, heartbeatInterval/2))
	defer timer.Stop()
	select {
	case <-wake:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// sendInterval returns the minimum interval of messages to a VM. The lock is held.
func (m *Mesh) sendInterval(sameDomain bool) time.Duration {
	if m.large() {
		if sameDomain {
			return relayInterval
		}
		return relayCrossInterval
	}
	interval := max(minInterval, time.Duration(len(m.senders))*intervalPerPeer)
	if sameDomain {
		return interval
	}
	if len(m.senders)+1 >= largeFleet {
		interval *= 2
	}
	return max(interval, minCrossDomainInterval)
}

// A position records what a stream has carried.
type position struct {
	identified bool           // the sender's identity was sent
	change     uint64         // last change of the local state
	objects    uint64         // last change of the store's objects
	engines    uint64         // last change of the engines' states
	followed   plank.Coverage // revisions that this VM follows
	addresses  int            // number of addresses sent from Mesh.addresses
	records    map[plank.VMID]*sentRecord
}

// compose returns the next message of a stream and advances its position.
func (m *Mesh) compose(pos *position, addr string) *wire.Gossip {
	m.composeMu.Lock()
	defer m.composeMu.Unlock()
	m.mu.Lock()
	now := m.clock.Now()
	to := m.receiver(addr)
	relaying, seeking, large, slow := m.large() && m.topology.relaying, m.seeking(now), m.knowsLarge(), m.slow
	m.mu.Unlock()
	if to.omitEngines {
		pos.engines = 0
	}
	g, covered := m.local.Gossip(GossipOptions{
		AfterChange: pos.change, AfterObjects: pos.objects, AfterEngines: pos.engines,
		OmitEngines: to.omitEngines, SameDomain: to.domain == m.self.Domain, OmitEngineCalls: to.omitCalls, Relaying: relaying, Followed: pos.followed,
	})
	m.sequence++
	g.Sequence, g.ReadsRecords, g.Relaying, g.Seeking = m.sequence, true, relaying, seeking
	if !pos.identified {
		g.Vm, g.Boot, g.Domain, g.Address = string(m.self.VM), string(m.self.Boot), string(m.self.Domain), m.self.Address
		g.Capacity = m.self.Capacity
		pos.identified = true
	}
	g.EnginesWithheld, g.ToRelay, g.Large, g.Slow = to.omitEngines, to.isRelay, large, slow
	m.mu.Lock()
	defer m.mu.Unlock()
	g.Records = m.composeRecords(pos, &to, now)
	if !m.large() || !to.readsRecords {
		g.Addresses = slices.Clone(m.addresses[pos.addresses:])
		pos.addresses = len(m.addresses)
	}
	pos.change, pos.objects, pos.followed = covered.Change, covered.Objects, covered.Followed
	if !to.omitEngines {
		pos.engines = covered.Change
	}
	return g
}

// A receiver is what a message depends on beside its stream's position.
type receiver struct {
	addr   string
	domain plank.DomainID // empty if not known
	// omitEngines and omitCalls are set if engine states and counts of calls on
	// engines are omitted: in a large fleet only lease holders and relays receive
	// them, and the other VMs send their requests to a holder.
	omitEngines, omitCalls bool
	// isRelay is set if this VM takes the receiver for a relay of its domain.
	isRelay               bool
	readsRecords, seeking bool
}

// receiver returns what messages to an address depend on. The lock is held.
func (m *Mesh) receiver(addr string) receiver {
	ownEngines := 0
	for _, e := range m.engines {
		if e.Holder == m.self.VM {
			ownEngines++
		}
	}
	to := receiver{addr: addr, omitEngines: ownEngines*m.size() > maxEngineStates, omitCalls: m.size()+1 >= largeFleet}
	if p := m.byAddress[addr]; p != nil && p.Address == addr {
		isHolder := len(p.Leases) > 0
		to.domain, to.readsRecords, to.seeking = p.Domain, p.readsRecords, p.seeking
		to.isRelay = m.large() && slices.Contains(m.topology.relays, p.VM)
		to.omitEngines, to.omitCalls = to.omitEngines && !isHolder, to.omitCalls && !isHolder && !to.isRelay && !(m.large() && p.Relaying)
	}
	return to
}
