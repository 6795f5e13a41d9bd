package mesh

import "time"

// CountReachable gives the tests access to countReach.
var CountReachable = countReachable

// SetGiveUpAfter changes how long a VM that does not answer is tried. It is to be
// called before the first contact.
func (m *Mesh) SetGiveUpAfter(d time.Duration) { m.forget = d }

// ProbeLost looks once for the VMs that were given up.
func (m *Mesh) ProbeLost() { m.probeLost() }

// Senders returns to how many addresses the mesh sends.
func (m *Mesh) Senders() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.senders)
}
