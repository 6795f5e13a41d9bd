package mesh

import "time"

// CountReachable exposes countReachable to tests.
var CountReachable = countReachable

// SetGiveUpTimeout sets the silence after which an address is only probed. It must be
// called before the first Contact.
func (m *Mesh) SetGiveUpTimeout(d time.Duration) { m.giveUpTimeout = d }

// ProbeLost probes the lost addresses once.
func (m *Mesh) ProbeLost() { m.probeLost() }

// Senders returns the number of addresses that have a send loop.
func (m *Mesh) Senders() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.senders)
}
