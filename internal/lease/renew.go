package lease

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"knapweedplank.org/plank"
)

// This file implements the renewal of the lease.

// bootID identifies the VM's current membership: its run and epoch.
func (mgr *Manager) bootID() plank.BootID {
	return plank.BootID(fmt.Sprintf("%s.%d", mgr.self.Boot, mgr.epoch))
}

// renew stores the lease with a new sequence number.
func (mgr *Manager) renew(ctx context.Context) error {
	sent := mgr.clock.Now()
	next := mgr.lease
	next.Boot = mgr.bootID()
	next.Seq++
	next.Token = plank.WriteToken(fmt.Sprintf("%s-%d", next.Boot, next.Seq))
	next.Applied = mgr.host.DesiredState().Applied
	next.Members = nil
	for _, m := range mgr.record.Members {
		if m.VM != mgr.self.VM {
			next.Members = append(next.Members, m.VM)
		}
	}
	if mgr.leaving {
		next.State = StateLeaving
	}
	value, err := next.Encode()
	if err != nil {
		return err
	}
	// Until the write is confirmed, either member list may be the stored one.
	mgr.addFencers(next.Members)
	version, err := mgr.store.Put(ctx, Key(mgr.self.Domain, mgr.self.VM), value, mgr.version)
	var conflict *plank.ConflictError
	if errors.As(err, &conflict) {
		return mgr.resolveConflict(ctx)
	}
	if err != nil {
		return err
	}
	mgr.confirm(next, version, sent)
	return nil
}

func (mgr *Manager) addFencers(vms []plank.VMID) {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	for _, vm := range vms {
		if !slices.Contains(mgr.fencers, vm) {
			mgr.fencers = append(slices.Clone(mgr.fencers), vm)
		}
	}
}

// confirm records a renewal, sent at the given time, that the platform stored.
func (mgr *Manager) confirm(l Lease, version plank.ObjectVersion, sent time.Time) {
	mgr.lease, mgr.version = l, version
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	mgr.expires = sent.Add(TTL)
	mgr.fencers = l.Members
}

// resolveConflict reads the stored lease after a version conflict and handles its
// cause.
func (mgr *Manager) resolveConflict(ctx context.Context) error {
	o, err := mgr.store.Get(ctx, Key(mgr.self.Domain, mgr.self.VM))
	if err != nil {
		return err
	}
	stored, err := Decode(o.Value)
	if err != nil {
		return err
	}
	mgr.version = o.Version
	switch {
	case stored.Boot == mgr.bootID() && stored.State != StateFenced:
		// The response to an earlier renewal was lost. The next renewal is based on
		// the stored version.
		mgr.lease.Seq = max(mgr.lease.Seq, stored.Seq)
	case stored.State == StateFenced && stored.Boot == mgr.bootID():
		mgr.log.WithField("by", stored.FencedBy).Warn("lease: fenced by another VM")
		mgr.setLost(true)
	default:
		// The lease is of an earlier run; the next renewal replaces it.
		mgr.log.WithField("boot", stored.Boot).Info("lease: replacing the lease of an earlier run")
	}
	return nil
}
