package mesh

import (
	"context"
	"time"

	"knapweedplank.org/plank/internal/wire"
)

// This file defines how VMs reconnect after a long partition, in which both sides
// stopped sending to each other.

// addLost marks an address as one that is only probed. The lock is held.
func (m *Mesh) addLost(addr string) {
	delete(m.contacts, addr)
	delete(m.targetUntil, addr)
	if _, ok := m.lost[addr]; !ok {
		m.lost[addr] = m.clock.Now().Add(maxProbeTime)
	}
}

// maxProbes is the number of addresses that are probed at once. One that answers is
// enough, since VMs send each other all addresses that they know.
const maxProbes = 4

// probeLost sends one message to some of the lost addresses. A VM that receives it
// starts sending to this VM, which then contacts it in turn.
func (m *Mesh) probeLost() {
	for _, addr := range m.lostAddresses(m.clock.Now()) {
		go func() {
			ctx, cancel := context.WithTimeout(m.ctx, time.Second)
			defer cancel()
			s, err := m.transport.Open(ctx, addr, &wire.Call{Body: &wire.Call_Gossip{Gossip: m.compose(&position{}, addr)}})
			if err != nil {
				return // probed again later
			}
			s.Close()
		}()
	}
}

// lostAddresses returns addresses to probe, in no particular order. It drops those
// whose probe time has passed and those that have a send loop again.
func (m *Mesh) lostAddresses(now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for addr, until := range m.lost {
		if m.senders[addr] != nil || now.After(until) {
			delete(m.lost, addr)
			continue
		}
		if len(out) < maxProbes {
			out = append(out, addr)
		}
	}
	return out
}
