package mesh

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"
	"knapweedplank.org/plank/internal/pause"
	"knapweedplank.org/plank/internal/wire"
)

// This file defines the send loop for one VM.

// sendTo sends to one address until the VM there has been silent for giveUpTimeout.
func (m *Mesh) sendTo(addr string, wake <-chan struct{}) {
	lastAnswer := m.clock.Now() // or the first attempt
	for m.ctx.Err() == nil {
		ctx, cancel := context.WithCancel(m.ctx)
		m.stream(ctx, addr, wake)
		cancel()
		// A VM that receives messages sends its own in return.
		if received := m.lastReceived(addr); received.After(lastAnswer) {
			lastAnswer = received
		}
		if m.clock.Now().Sub(lastAnswer) > m.giveUpTimeout {
			m.log.WithField("addr", addr).Info("mesh: gave up an address that does not answer")
			m.addLost(addr)
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
		if !m.waitNextSend(ctx, addr, wake) {
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
	sameDomain, _, _ := m.receiver(addr)
	interval := m.sendInterval(sameDomain)
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

// sendInterval returns the minimum interval of messages to a VM.
func (m *Mesh) sendInterval(sameDomain bool) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sendIntervalLocked(sameDomain)
}

func (m *Mesh) sendIntervalLocked(sameDomain bool) time.Duration {
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
	identified bool   // the sender's identity was sent
	change     uint64 // last change of the local state
	objects    uint64 // last change of the store's objects
	engines    uint64 // last change of the engines' states
	addresses  int    // number of addresses sent from Mesh.addresses
}

// compose returns the next message of a stream and advances its position.
func (m *Mesh) compose(pos *position, addr string) *wire.Gossip {
	sameDomain, omitEngines, omitCalls := m.receiver(addr)
	if omitEngines {
		pos.engines = 0
	}
	g, covered := m.local.Gossip(GossipOptions{AfterChange: pos.change, AfterObjects: pos.objects, AfterEngines: pos.engines, OmitEngines: omitEngines, SameDomain: sameDomain, OmitEngineCalls: omitCalls})
	if !pos.identified {
		g.Vm, g.Boot, g.Domain, g.Address = string(m.self.VM), string(m.self.Boot), string(m.self.Domain), m.self.Address
		g.Capacity = m.self.Capacity
		pos.identified = true
	}
	g.EnginesWithheld = omitEngines
	m.mu.Lock()
	defer m.mu.Unlock()
	g.Addresses = slices.Clone(m.addresses[pos.addresses:])
	pos.change, pos.objects, pos.addresses = covered.Change, covered.Objects, len(m.addresses)
	if !omitEngines {
		pos.engines = covered.Change
	}
	return g
}

// receiver reports whether the VM at addr is in this VM's domain, and whether
// engine states and counts of calls on engines are omitted for it: in a large fleet
// only lease holders receive them, and the other VMs send their requests to a holder.
func (m *Mesh) receiver(addr string) (sameDomain, omitEngines, omitCalls bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	ownEngines := 0
	for _, e := range m.engines {
		if e.Holder == m.self.VM {
			ownEngines++
		}
	}
	omitEngines, omitCalls = ownEngines*len(m.senders) > maxEngineStates, len(m.senders)+1 >= largeFleet
	for _, p := range m.peers {
		if p.Address == addr {
			sameDomain = p.Domain == m.self.Domain
			omitEngines, omitCalls = omitEngines && len(p.Leases) == 0, omitCalls && len(p.Leases) == 0
		}
	}
	return sameDomain, omitEngines, omitCalls
}
