package mesh

import (
	"time"

	"knapweedplank.org/plank"
)

// isKnown reports whether the VM counts as part of the fleet. reachableDomains are the domains
// with a reachable VM.
func (p *Peer) isKnown(now time.Time, reachableDomains map[plank.DomainID]bool) bool {
	gone := p.Leaving || now.Sub(p.lastNews()) > goneTimeout && reachableDomains[p.Domain]
	return p.isCurrent(now) || !gone
}

// Known returns the other VMs that count as part of the fleet, as Reachable counts them, and
// the number of those that have not sent a message, whose names are not known.
func (m *Mesh) Known() (vms []plank.VMID, unnamed int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	reachable, _ := countReachable(m.self.Domain, m.peers, now)
	reachableDomains := map[plank.DomainID]bool{m.self.Domain: true}
	for _, vm := range reachable {
		reachableDomains[m.peers[vm].Domain] = true
	}
	received := make(map[string]bool, len(m.peers))
	for vm, p := range m.peers {
		received[p.Address] = true
		if p.isKnown(now, reachableDomains) {
			vms = append(vms, vm)
		}
	}
	for addr := range m.senders {
		if !received[addr] {
			unnamed++
		}
	}
	return vms, unnamed
}
