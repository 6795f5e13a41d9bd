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

// This file defines how a keeper takes over from VMs whose lease lapsed.

// fence marks the leases that lapsed for certain, and returns the members whose
// leases are fenced or given up.
func (k *Manager) fence(ctx context.Context, r claim.Record, listed []plank.VMID) ([]plank.VMID, error) {
	now := k.clock.Now()
	var gone []plank.VMID
	for _, m := range r.Members {
		if m.VM == k.self.VM {
			continue
		}
		heard := k.table.LastReceived(m.VM)
		if now.Sub(heard) < member.HeartbeatTimeout {
			k.suspector.forget(m.VM)
			continue
		}
		o, err := k.store.Get(ctx, Key(k.self.Domain, m.VM))
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
		absent := listed != nil && !slices.Contains(listed, m.VM)
		if !k.suspector.mayTake(m.VM, o.Version, heard, now) || !l.mayFence(k.self.VM) && !absent {
			continue
		}
		// The lease may be of another run than the member: the VM died between
		// the two writes of a restart. Writing it keeps the holder from renewing
		// it, whichever run that is.
		l.Boot = m.Boot
		ok, err := k.fenceOne(ctx, l, o.Version)
		if err != nil {
			return nil, err
		}
		if ok {
			gone = append(gone, m.VM)
		}
	}
	return gone, nil
}

// fenceOne marks one lease as taken over. It reports false if the holder
// renewed it meanwhile.
func (k *Manager) fenceOne(ctx context.Context, l Lease, version plank.ObjectVersion) (bool, error) {
	l.State = StateFenced
	l.FencedBy = k.self.VM
	l.Token = plank.WriteToken(fmt.Sprintf("%s-f%d", k.bootID(), rand.Uint64()))
	value, err := l.Encode()
	if err != nil {
		return false, err
	}
	_, err = k.store.Put(ctx, Key(k.self.Domain, l.VM), value, version)
	var conflict *plank.ConflictError
	if errors.As(err, &conflict) {
		k.suspector.forget(l.VM)
		return false, nil
	}
	if err != nil {
		return false, err
	}
	k.log.WithField("vm", l.VM).Warn("lease: fenced a silent VM")
	return true, nil
}
