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

// This file defines how messages go to one VM.

// sendTo sends to one address until the VM there is given up.
func (m *Mesh) sendTo(addr string, wake <-chan struct{}) {
	answered := m.clock.Now() // or first tried
	for m.ctx.Err() == nil {
		ctx, cancel := context.WithCancel(m.ctx)
		m.stream(ctx, addr, wake)
		cancel()
		// A VM that gets messages sends its own.
		if heard := m.lastHeard(addr); heard.After(answered) {
			answered = heard
		}
		if m.clock.Now().Sub(answered) > m.forget {
			m.log.WithField("addr", addr).Info("mesh: gave up an address that does not answer")
			m.lose(addr)
			return
		}
		pause.For(m.ctx, redialAfter)
	}
}

// stream sends messages on one stream until it fails, or until the VM was not
// heard of for so long that the connection is in doubt.
func (m *Mesh) stream(ctx context.Context, addr string, wake <-chan struct{}) {
	at := position{}
	g := m.compose(&at, addr)
	s, err := m.hub.Open(ctx, addr, &wire.Call{Body: &wire.Call_Gossip{Gossip: g}})
	if err != nil {
		return
	}
	defer s.Close()
	opened := m.clock.Now()
	ended := func(reason string, message int) {
		m.log.WithFields(logrus.Fields{
			"addr": addr, "reason": reason, "sent_bytes": s.SentBytes(), "message_bytes": message, "open_ms": m.clock.Now().Sub(opened).Milliseconds(),
		}).Warn("mesh: stream ended")
	}
	for {
		if !m.waitTurn(ctx, addr, wake) {
			return
		}
		if now := m.clock.Now(); now.Sub(opened) > 2*AliveTimeout && !m.heardFrom(addr, now) {
			ended("peer silent", 0)
			m.hub.Discard(addr)
			return
		}
		g := m.compose(&at, addr)
		err := s.SetDeadline(time.Now().Add(sendTimeout))
		if err == nil {
			err = s.Send(g)
		}
		if err != nil {
			ended(err.Error(), proto.Size(g))
			m.hub.Discard(addr)
			return
		}
	}
}

// waitTurn waits for the next message's time: soon after a change, or the
// steady pace. It reports false when ctx has ended.
func (m *Mesh) waitTurn(ctx context.Context, addr string, wake <-chan struct{}) bool {
	near, _, _ := m.receiver(addr)
	gap := m.gap(near)
	if !pause.For(ctx, gap) {
		return false
	}
	timer := time.NewTimer(beatEvery - min(gap, beatEvery/2))
	defer timer.Stop()
	select {
	case <-wake:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// gap returns the least pause between messages to a VM.
func (m *Mesh) gap(near bool) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.gapLocked(near)
}

func (m *Mesh) gapLocked(near bool) time.Duration {
	gap := max(minGap, time.Duration(len(m.senders))*gapPerPeer)
	if near {
		return gap
	}
	if len(m.senders)+1 >= largeFleet {
		gap *= 2
	}
	return max(gap, minFarGap)
}

// A position is what a stream has carried.
type position struct {
	named   bool   // who sends
	change  uint64 // the last change of the local state
	objects uint64 // the last change of the store's objects
	engines uint64 // the last change of the engines' states
	met     int    // addresses of Mesh.met
}

// compose returns the next message of a stream.
func (m *Mesh) compose(at *position, addr string) *wire.Gossip {
	near, withhold, brief := m.receiver(addr)
	if withhold {
		at.engines = 0
	}
	g, covered := m.local.Gossip(GossipOptions{AfterChange: at.change, AfterObjects: at.objects, AfterEngines: at.engines, OmitEngines: withhold, SameDomain: near, OmitEngineCalls: brief})
	if !at.named {
		g.Vm, g.Boot, g.Domain, g.Address = string(m.self.VM), string(m.self.Boot), string(m.self.Domain), m.self.Address
		g.Capacity = m.self.Capacity
		at.named = true
	}
	g.EnginesWithheld = withhold
	m.mu.Lock()
	defer m.mu.Unlock()
	g.Addresses = slices.Clone(m.met[at.met:])
	at.change, at.objects, at.met = covered.Change, covered.Objects, len(m.met)
	if !withhold {
		at.engines = covered.Change
	}
	return g
}

// receiver tells whether the VM at addr is in this VM's domain, and whether
// the engines' states are withheld from it: in a large fleet only the holders
// of duties are told, and others ask them. brief tells the same of the calls on
// engines.
func (m *Mesh) receiver(addr string) (near, withhold, brief bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	own := 0
	for _, e := range m.engines {
		if e.Holder == m.self.VM {
			own++
		}
	}
	withhold, brief = own*len(m.senders) > maxSpread, len(m.senders)+1 >= largeFleet
	for _, p := range m.peers {
		if p.Address == addr {
			near = p.Domain == m.self.Domain
			withhold, brief = withhold && len(p.Leases) == 0, brief && len(p.Leases) == 0
		}
	}
	return near, withhold, brief
}
