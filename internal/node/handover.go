package node

import (
	"slices"
	"time"

	"knapweedplank.org/plank"
)

// The rules of handing duties over to VMs with more capacity. Small VMs get
// duties while the large ones of their domain are restarted.
const (
	// handoverFactor is the least ratio of the other VM's capacity to the holder's.
	handoverFactor = 2.0
	// minHeldLeases is how long a duty is held at least, as a multiple of the
	// lease's duration, so that VMs do not alternate as holders within one lease.
	minHeldLeases = 1.5
	// handoverRetryInterval is the pause between attempts, which fail for example
	// while the store is unavailable.
	handoverRetryInterval = time.Second
)

// A candidate is a VM that could hold a duty.
type candidate struct {
	vm       plank.VMID
	capacity float64
	// settled is set when the VM has run for a few seconds, and slow if it gets too
	// little processor time.
	settled, slow bool
}

// handoverTarget returns the VM to which a holder hands over a duty that it has
// held for heldFor, or "" if it keeps the duty. The candidates are those of the
// domain, the largest first and slow ones last; a holder of another domain is not
// among them. A holder that is slow hands over at once, if another VM is not.
func handoverTarget(self plank.VMID, candidates []candidate, heldFor, lease time.Duration) plank.VMID {
	own := slices.IndexFunc(candidates, func(c candidate) bool { return c.vm == self })
	if own >= 0 && candidates[own].slow {
		i := slices.IndexFunc(candidates, func(c candidate) bool { return c.settled && !c.slow })
		if i < 0 {
			return ""
		}
		return candidates[i].vm
	}
	if heldFor < time.Duration(minHeldLeases*float64(lease)) {
		return ""
	}
	for i, c := range candidates {
		switch {
		case i == own:
			return ""
		case !c.settled, c.slow:
			continue
		case own < 0 || c.capacity >= handoverFactor*candidates[own].capacity:
			return c.vm
		}
	}
	return ""
}
