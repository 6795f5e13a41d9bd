package node

import (
	"slices"
	"time"

	"knapweedplank.org/plank"
)

// The rules of handing duties over to VMs with more room. Small VMs get duties
// when the large ones of their domain are restarted.
const (
	// handoverFactor is how many times the capacity of the holder the other VM
	// must have.
	handoverFactor = 2.0
	// minHeldLeases is how long a duty is held at least, in times of its lease,
	// so that holders do not take turns within one.
	minHeldLeases = 1.5
	// handoverRetryInterval is the pause between attempts, as while the store is away.
	handoverRetryInterval = time.Second
)

// A candidate is a VM that could hold a duty.
type candidate struct {
	vm       plank.VMID
	capacity float64
	// settled is set when the VM has run for some seconds.
	settled bool
}

// handoverTarget returns the VM to which a holder gives a duty that it has held for
// some time, or "". The candidates are those of the domain, the fittest first; a
// holder of another domain is not among them.
func handoverTarget(self plank.VMID, candidates []candidate, heldFor, lease time.Duration) plank.VMID {
	if heldFor < time.Duration(minHeldLeases*float64(lease)) {
		return ""
	}
	own := slices.IndexFunc(candidates, func(c candidate) bool { return c.vm == self })
	for i, c := range candidates {
		switch {
		case i == own:
			return ""
		case !c.settled:
			continue
		case own < 0 || c.capacity >= handoverFactor*candidates[own].capacity:
			return c.vm
		}
	}
	return ""
}
