package lease

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/claim"
)

// This file defines how a keeper moves the domain's record.

// readRecord takes the domain's record from the watch, which spares a call. It
// reads the platform where the watch has nothing, or nothing new for an own
// write that failed.
func (k *Manager) readRecord(ctx context.Context) error {
	if r, version, ok := k.host.Record(); ok && !k.doubt && version >= k.recVersion {
		k.setRecord(r, version)
		return nil
	}
	o, err := k.store.Get(ctx, claim.Key(k.self.Domain))
	if err != nil {
		return err
	}
	k.doubt = false
	if o.Version < k.recVersion {
		return nil // a stale read
	}
	r, err := claim.Decode(k.self.Domain, o.Value)
	if err != nil {
		return err
	}
	k.setRecord(r, o.Version)
	return nil
}

func (k *Manager) setRecord(r claim.Record, version plank.ObjectVersion) {
	if k.capped && version > k.capVersion {
		k.capped = false
	}
	k.record, k.recVersion = r, version
}

// step applies all changes that are due to the record in one write.
func (k *Manager) step(ctx context.Context) (bool, error) {
	if k.leaving {
		return true, k.stepLeave(ctx)
	}
	desire := k.host.DesiredState()
	r, changed := k.record, false
	apply := func(next claim.Record, ok bool) {
		if ok {
			r, changed = next, true
		}
	}
	rejoin := k.isLost()
	if rejoin {
		// A new membership begins without what the fenced one held.
		apply(r.Remove(k.self.VM))
		k.epoch++
	}
	if old, ok := r.Member(k.self.VM); ok && old.Boot != k.bootID() && !rejoin {
		k.settled = k.clock.Now().Add(RestartHoldoff)
	}
	apply(r.Join(claim.Member{VM: k.self.VM, Boot: k.bootID(), Address: k.self.Address}))
	apply(r.SetShare(desire.Share))
	gone, err := k.fence(ctx, r, desire.ListedVMs)
	if err != nil {
		return false, err
	}
	for _, vm := range gone {
		apply(r.Remove(vm))
	}
	given := k.giveExcess(r)
	if given > 0 {
		apply(r.ReleaseShare(k.self.VM, given))
	} else {
		apply(r.AcquireShare(k.self.VM))
	}
	apply(r.ClaimEndpoints(k.self.VM, desire.Endpoints))
	if e, to, ok := r.SurplusEndpoint(k.self.VM); ok && k.host.DrainEndpoint(e) {
		apply(r.TransferEndpoint(k.self.VM, e, to))
	}
	if !changed {
		return false, nil
	}
	if err := k.writeRecord(ctx, r); err != nil {
		return false, err
	}
	if rejoin {
		k.rejoined()
	}
	return true, nil
}

// giveExcess lowers the VM's share in force to what it should hold, or repeats
// a lowering whose write was lost. It returns by how much the record is to be
// lowered.
func (k *Manager) giveExcess(r claim.Record) plank.PPM {
	m, ok := r.Member(k.self.VM)
	if !ok {
		return 0
	}
	if !k.capped {
		excess := r.ExcessShare(k.self.VM)
		if excess <= 0 {
			return 0
		}
		k.shareCap = m.Share - k.host.ReleaseShare(excess)
		k.capVersion, k.capped = k.recVersion, true
	}
	return m.Share - k.shareCap
}

// rejoined begins a new membership after the VM was fenced. The record no
// longer holds what the VM held before.
func (k *Manager) rejoined() {
	if m, ok := k.record.Member(k.self.VM); ok && m.Boot == k.bootID() {
		k.lease.State = StateLive
		k.setLost(false)
	}
}

// writeRecord stores r if nobody changed the record meanwhile. A conflict is
// not an error: the next tick reads and tries again.
func (k *Manager) writeRecord(ctx context.Context, r claim.Record) error {
	r.Token = plank.WriteToken(fmt.Sprintf("%s-r%d", k.bootID(), rand.Uint64()))
	value, err := r.Encode()
	if err != nil {
		return err
	}
	version, err := k.store.Put(ctx, claim.Key(k.self.Domain), value, k.recVersion)
	var conflict *plank.ConflictError
	if errors.As(err, &conflict) {
		k.capped, k.doubt = false, true
		return nil
	}
	if err != nil {
		k.doubt = true
		return err
	}
	k.setRecord(r, version)
	return nil
}
