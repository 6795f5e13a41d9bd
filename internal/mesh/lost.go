package mesh

import (
	"context"
	"time"

	"knapweedplank.org/plank/internal/wire"
)

// This file defines how VMs find each other again after a long cut, in which both
// sides gave the other up.

// lose makes an address one that is only probed.
func (m *Mesh) lose(addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.lost[addr]; !ok {
		m.lost[addr] = m.clock.Now().Add(lostTime)
	}
}

// maxProbes is how many addresses are probed at once. One that answers is enough:
// VMs tell each other whom they met.
const maxProbes = 4

// probeLost sends one message to some of the addresses that are lost. A VM that
// gets it contacts this one, and is contacted once it is heard.
func (m *Mesh) probeLost() {
	for _, addr := range m.lostAddresses(m.clock.Now()) {
		go func() {
			ctx, cancel := context.WithTimeout(m.ctx, time.Second)
			defer cancel()
			s, err := m.hub.Open(ctx, addr, &wire.Call{Body: &wire.Call_Gossip{Gossip: m.compose(&position{}, addr)}})
			if err != nil {
				return // it is probed again
			}
			s.Close()
		}()
	}
}

// lostAddresses returns addresses to probe, in no order, and drops those that are
// probed no longer or are sent to again.
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
