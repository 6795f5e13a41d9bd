package mesh

import "time"

// CountReach gives the tests access to countReach.
var CountReach = countReach

// SetForget changes how long a VM that does not answer is tried. It is to be
// called before the first contact.
func (m *Mesh) SetForget(d time.Duration) { m.forget = d }

// Probe looks once for the VMs that were given up.
func (m *Mesh) Probe() { m.probeLost() }

// Senders returns to how many addresses the mesh sends.
func (m *Mesh) Senders() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.senders)
}
