package mesh

import "time"

// CountReachable exposes countReachable to tests.
var CountReachable = countReachable

// SetGiveUpTimeout sets the silence after which an address is only probed. It must be
// called before the first Contact.
func (m *Mesh) SetGiveUpTimeout(d time.Duration) { m.giveUpTimeout = d }

// SetRelayFleet sets the least number of VMs at which relays are used. It must be called
// before the first Contact.
func (m *Mesh) SetRelayFleet(n int) { m.relayFleet = n }

// ProbeLost probes the lost addresses once.
func (m *Mesh) ProbeLost() { m.probeLost() }

// Senders returns the number of addresses that have a send loop.
func (m *Mesh) Senders() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.senders)
}
