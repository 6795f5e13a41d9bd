package mesh

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"knapweedplank.org/plank"
)

// This file decides which VMs exchange messages directly. It is free of I/O.
//
// In a small fleet each VM sends to all others. In a large one a VM would spend its
// link and processor on messages in proportion to the fleet, so each domain has a few
// relays: a VM sends to the relays of its domain, and these forward its state to the
// other VMs of the domain and to one relay of each other domain. There is no election:
// each VM ranks the VMs that it knows. VMs that disagree for a while forward more than
// needed, since a VM that another one of its domain takes for a relay acts as one.

const (
	// relayFleet is the least number of VMs at which relays are used.
	relayFleet = 32
	// relaysPerDomain is the number of relays of a domain: one may fail.
	relaysPerDomain = 2
)

// A neighbor is what the choice of targets depends on for one VM.
type neighbor struct {
	vm       plank.VMID
	domain   plank.DomainID
	addr     string
	capacity float64
	weight   uint64 // of relayWeight
	// usable is set if the VM may be a relay: nothing suggests that it is down.
	usable bool
	// isHolder is set if the VM holds a dispatch lease. Holders send engine states
	// to each other.
	isHolder bool
	// readsRecords is unset for VMs of a version that knows no relays.
	readsRecords bool
	// sendsHere is set if the VM sends to this VM directly. Its messages say whether it
	// seeks relays, and whether it takes this VM for one.
	sendsHere, seeking, usesAsRelay bool
}

// A topology is which VMs this VM sends to.
type topology struct {
	// relaying is set if this VM forwards the states of others.
	relaying bool
	// targets maps the addresses that this VM sends to.
	targets map[string]bool
	// relays holds the VMs that this VM takes for the relays of its domain, which may
	// include itself.
	relays []plank.VMID
}

// planTopology returns the topology of the VM self in a large fleet, given the other
// known VMs.
func planTopology(self neighbor, others []neighbor) topology {
	byDomain := map[plank.DomainID][]neighbor{self.domain: {self}}
	for _, n := range others {
		byDomain[n.domain] = append(byDomain[n.domain], n)
	}
	relays := rankRelays(byDomain[self.domain])
	t := topology{targets: make(map[string]bool)}
	rank := -1
	for i, n := range relays {
		t.relays = append(t.relays, n.vm)
		if n.vm == self.vm {
			rank = i
		}
	}
	t.relaying = rank >= 0 || slices.ContainsFunc(others, func(n neighbor) bool {
		return n.domain == self.domain && n.sendsHere && n.usesAsRelay
	})
	for _, n := range relays {
		t.targets[n.addr] = true
	}
	for _, n := range others {
		if !n.readsRecords || n.sendsHere && n.seeking || self.isHolder && n.isHolder || t.relaying && n.domain == self.domain {
			t.targets[n.addr] = true
		}
	}
	if t.relaying {
		for domain, vms := range byDomain {
			if remote := rankRelays(vms); domain != self.domain && len(remote) > 0 {
				t.targets[remote[max(rank, 0)%len(remote)].addr] = true
			}
		}
	}
	delete(t.targets, self.addr)
	return t
}

// rankRelays returns the relays of a domain with the given VMs: the usable ones with the
// most capacity, in the same order on all VMs. If none is usable it takes any, so that a
// domain that is cut off is tried again.
func rankRelays(vms []neighbor) []neighbor {
	ranked := slices.DeleteFunc(slices.Clone(vms), func(n neighbor) bool { return !n.usable })
	if len(ranked) == 0 {
		ranked = slices.Clone(vms)
	}
	best := ranked[:min(relaysPerDomain, len(ranked))]
	for i := range best {
		for j := i + 1; j < len(ranked); j++ {
			if compareRelays(ranked[j], ranked[i]) < 0 {
				ranked[i], ranked[j] = ranked[j], ranked[i]
			}
		}
	}
	return best
}

// compareRelays compares two VMs of a domain as relays, the better first.
func compareRelays(a, b neighbor) int {
	return cmp.Or(cmp.Compare(b.capacity, a.capacity), cmp.Compare(a.weight, b.weight), cmp.Compare(a.vm, b.vm))
}

// relayWeight returns the key by which VMs of equal capacity are ranked as relays.
func relayWeight(vm plank.VMID) uint64 { return xxhash.Sum64String("relay/" + string(vm)) }
