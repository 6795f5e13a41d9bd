package lease

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"knapweedplank.org/plank"
)

// This file defines how a keeper renews its lease.

// bootID names the VM's present membership.
func (k *Manager) bootID() plank.BootID {
	return plank.BootID(fmt.Sprintf("%s.%d", k.self.Boot, k.epoch))
}

// renew writes the lease anew.
func (k *Manager) renew(ctx context.Context) error {
	sent := k.clock.Now()
	next := k.lease
	next.Boot = k.bootID()
	next.Seq++
	next.Token = plank.WriteToken(fmt.Sprintf("%s-%d", next.Boot, next.Seq))
	next.Applied = k.host.DesiredState().Applied
	next.Members = nil
	for _, m := range k.record.Members {
		if m.VM != k.self.VM {
			next.Members = append(next.Members, m.VM)
		}
	}
	if k.leaving {
		next.State = StateLeaving
	}
	value, err := next.Encode()
	if err != nil {
		return err
	}
	// Until the write is confirmed, either list may be the stored one.
	k.addConsenters(next.Members)
	version, err := k.store.Put(ctx, Key(k.self.Domain, k.self.VM), value, k.version)
	var conflict *plank.ConflictError
	if errors.As(err, &conflict) {
		return k.resolve(ctx)
	}
	if err != nil {
		return err
	}
	k.confirm(next, version, sent)
	return nil
}

func (k *Manager) addConsenters(vms []plank.VMID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, vm := range vms {
		if !slices.Contains(k.consenters, vm) {
			k.consenters = append(slices.Clone(k.consenters), vm)
		}
	}
}

// confirm takes a stored lease as the VM's own.
func (k *Manager) confirm(l Lease, version plank.ObjectVersion, sent time.Time) {
	k.lease, k.version = l, version
	k.mu.Lock()
	defer k.mu.Unlock()
	k.until = sent.Add(TTL)
	k.consenters = l.Members
}

// resolve finds out why the lease was at another version.
func (k *Manager) resolve(ctx context.Context) error {
	o, err := k.store.Get(ctx, Key(k.self.Domain, k.self.VM))
	if err != nil {
		return err
	}
	stored, err := Decode(o.Value)
	if err != nil {
		return err
	}
	k.version = o.Version
	switch {
	case stored.Boot == k.bootID() && stored.State != StateFenced:
		// An own renewal whose answer was lost. The next one extends it.
		k.lease.Seq = max(k.lease.Seq, stored.Seq)
	case stored.State == StateFenced && stored.Boot == k.bootID():
		k.log.WithField("by", stored.FencedBy).Warn("lease: fenced by another VM")
		k.setLost(true)
	default:
		// The lease of an earlier run; this run replaces it.
		k.log.WithField("boot", stored.Boot).Info("lease: replaces that of an earlier run")
	}
	return nil
}
