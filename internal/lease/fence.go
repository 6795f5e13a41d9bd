package lease

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/claim"
	"knapweedplank.org/plank/internal/member"
)

// This file implements the fencing of VMs whose lease has expired.

// fenceExpired fences the leases that have certainly expired, and returns the
// members whose leases are fenced or released.
func (mgr *Manager) fenceExpired(ctx context.Context, r claim.Record, listed []plank.VMID) ([]plank.VMID, error) {
	now := mgr.clock.Now()
	var gone []plank.VMID
	for _, m := range r.Members {
		if m.VM == mgr.self.VM {
			continue
		}
		lastReceived := mgr.table.LastReceived(m.VM)
		if now.Sub(lastReceived) < member.HeartbeatTimeout {
			mgr.expiry.forget(m.VM)
			continue
		}
		o, err := mgr.store.Get(ctx, Key(mgr.self.Domain, m.VM))
		if err != nil {
			return nil, err
		}
		l, err := Decode(o.Value)
		if err != nil {
			return nil, err
		}
		if l.Boot == m.Boot && (l.State == StateFenced || l.State == StateGone) {
			gone = append(gone, m.VM)
			continue
		}
		unlisted := listed != nil && !slices.Contains(listed, m.VM)
		if !mgr.expiry.hasExpired(m.VM, o.Version, lastReceived, now) || !l.mayFence(mgr.self.VM) && !unlisted {
			continue
		}
		// Lease and member are of different runs if the VM crashed between the two
		// writes of a restart. The write changes the lease's version, so the next
		// renewal fails, whichever run sends it.
		l.Boot = m.Boot
		ok, err := mgr.fenceLease(ctx, l, o.Version)
		if err != nil {
			return nil, err
		}
		if ok {
			gone = append(gone, m.VM)
		}
	}
	return gone, nil
}

// fenceLease stores a lease as fenced. It reports false if the holder has renewed
// it since version.
func (mgr *Manager) fenceLease(ctx context.Context, l Lease, version plank.ObjectVersion) (bool, error) {
	l.State = StateFenced
	l.FencedBy = mgr.self.VM
	l.Token = plank.WriteToken(fmt.Sprintf("%s-f%d", mgr.bootID(), rand.Uint64()))
	value, err := l.Encode()
	if err != nil {
		return false, err
	}
	_, err = mgr.store.Put(ctx, Key(mgr.self.Domain, l.VM), value, version)
	var conflict *plank.ConflictError
	if errors.As(err, &conflict) {
		mgr.expiry.forget(l.VM)
		return false, nil
	}
	if err != nil {
		return false, err
	}
	mgr.log.WithField("vm", l.VM).Warn("lease: fenced a VM whose lease expired")
	return true, nil
}
