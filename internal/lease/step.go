package lease

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/claim"
)

// This file implements the updates of the domain's record.

// readRecord sets the domain's record from the watch, which saves a call to the
// platform. It reads the record from the platform if the watch has none, if that
// is older than the known version, or after a failed write of the record.
func (mgr *Manager) readRecord(ctx context.Context) error {
	if r, version, ok := mgr.host.Record(); ok && !mgr.mustReadRecord && version >= mgr.recordVersion {
		mgr.setRecord(r, version)
		return nil
	}
	o, err := mgr.store.Get(ctx, claim.Key(mgr.self.Domain))
	if err != nil {
		return err
	}
	mgr.mustReadRecord = false
	if o.Version < mgr.recordVersion {
		return nil // a stale read
	}
	r, err := claim.Decode(mgr.self.Domain, o.Value)
	if err != nil {
		return err
	}
	mgr.setRecord(r, o.Version)
	return nil
}

func (mgr *Manager) setRecord(r claim.Record, version plank.ObjectVersion) {
	if mgr.shareCapped && version > mgr.shareCapVersion {
		mgr.shareCapped = false
	}
	mgr.record, mgr.recordVersion = r, version
}

// step applies all changes that are due to the record in one write. It reports
// whether more steps may be due.
func (mgr *Manager) step(ctx context.Context) (bool, error) {
	if mgr.leaving {
		return true, mgr.stepLeave(ctx)
	}
	desired := mgr.host.DesiredState()
	r, changed := mgr.record, false
	apply := func(next claim.Record, ok bool) {
		if ok {
			r, changed = next, true
		}
	}
	rejoin := mgr.isLost()
	if rejoin {
		// A new membership begins without the share and endpoints of the fenced one.
		apply(r.Remove(mgr.self.VM))
		mgr.epoch++
	}
	if old, ok := r.Member(mgr.self.VM); ok && old.Boot != mgr.bootID() && !rejoin {
		mgr.holdoffUntil = mgr.clock.Now().Add(RestartHoldoff)
	}
	apply(r.Join(claim.Member{VM: mgr.self.VM, Boot: mgr.bootID(), Address: mgr.self.Address}))
	apply(r.SetShare(desired.Share))
	gone, err := mgr.fenceExpired(ctx, r, desired.ListedVMs)
	if err != nil {
		return false, err
	}
	for _, vm := range gone {
		apply(r.Remove(vm))
	}
	released := mgr.releaseExcess(r)
	if released > 0 {
		apply(r.ReleaseShare(mgr.self.VM, released))
	} else {
		apply(r.AcquireShare(mgr.self.VM))
	}
	apply(r.ClaimEndpoints(mgr.self.VM, desired.Endpoints))
	if e, to, ok := r.SurplusEndpoint(mgr.self.VM); ok && mgr.host.DrainEndpoint(e) {
		apply(r.TransferEndpoint(mgr.self.VM, e, to))
	}
	if !changed {
		return false, nil
	}
	if err := mgr.writeRecord(ctx, r); err != nil {
		return false, err
	}
	if rejoin {
		mgr.finishRejoin()
	}
	return true, nil
}

// releaseExcess lowers the share that the VM uses to its target, or repeats a
// reduction whose write may have been lost. It returns the amount by which to
// lower the VM's share in the record.
func (mgr *Manager) releaseExcess(r claim.Record) plank.PPM {
	m, ok := r.Member(mgr.self.VM)
	if !ok {
		return 0
	}
	if !mgr.shareCapped {
		excess := r.ExcessShare(mgr.self.VM)
		if excess <= 0 {
			return 0
		}
		mgr.shareCap = m.Share - mgr.host.ReleaseShare(excess)
		mgr.shareCapVersion, mgr.shareCapped = mgr.recordVersion, true
	}
	return m.Share - mgr.shareCap
}

// finishRejoin begins a new membership after the VM was fenced, once the stored
// record no longer contains the share and endpoints of the fenced one.
func (mgr *Manager) finishRejoin() {
	if m, ok := mgr.record.Member(mgr.self.VM); ok && m.Boot == mgr.bootID() {
		mgr.lease.State = StateLive
		mgr.setLost(false)
	}
}

// writeRecord stores r if the record has not changed since it was read. A conflict
// is not an error: the next tick reads the record and tries again.
func (mgr *Manager) writeRecord(ctx context.Context, r claim.Record) error {
	r.Token = plank.WriteToken(fmt.Sprintf("%s-r%d", mgr.bootID(), rand.Uint64()))
	value, err := r.Encode()
	if err != nil {
		return err
	}
	version, err := mgr.store.Put(ctx, claim.Key(mgr.self.Domain), value, mgr.recordVersion)
	var conflict *plank.ConflictError
	if errors.As(err, &conflict) {
		mgr.shareCapped, mgr.mustReadRecord = false, true
		return nil
	}
	if err != nil {
		mgr.mustReadRecord = true
		return err
	}
	mgr.setRecord(r, version)
	return nil
}
